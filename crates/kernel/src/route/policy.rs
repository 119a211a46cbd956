//! Routing policies: plug-ins that register themselves by name.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::EndpointKey;

/// Name of the policy that is used if the settings name an unregistered policy.
pub(crate) const DEFAULT_POLICY: &str = "expected";

/// Maximum difference in expected completion time at which two endpoints count as equal.
const TIE_WIDTH: Duration = Duration::from_millis(2);

/// Maximum difference in requests per slot at which two loads count as equal.
const LOAD_TIE_WIDTH: f64 = 0.05;

/// A candidate endpoint with the properties that a routing policy compares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Expected time to completion of the request at this endpoint.
    pub expected: Duration,
    /// Number of requests that run or wait at the endpoint, divided by the number of slots.
    pub load: f64,
    /// Number of blocks of the prompt's prefix that the endpoint caches.
    pub cached_blocks: u32,
    /// Whether the endpoint is in the same failure domain as the entry.
    pub same_domain: bool,
}

/// A registered routing policy.
#[derive(Debug)]
pub struct RoutePolicy {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Function that returns the index of the chosen option; the slice is never empty.
    pub pick: fn(&mut ChaCha8Rng, &[EndpointOption]) -> usize,
}

inventory::collect!(RoutePolicy);

inventory::submit! { RoutePolicy { name: "expected", pick: pick_expected } }
inventory::submit! { RoutePolicy { name: "least-loaded", pick: pick_least_loaded } }
inventory::submit! { RoutePolicy { name: "random", pick: pick_random } }

/// Returns the names of all registered policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<RoutePolicy>.into_iter().map(|policy| policy.name).collect();
    names.sort_unstable();
    names
}

/// Returns the policy with `name`, or the default policy if `name` is not registered.
pub(crate) fn policy(name: &str) -> Option<&'static RoutePolicy> {
    let find = |name: &str| inventory::iter::<RoutePolicy>.into_iter().find(|p| p.name == name);
    find(name).or_else(|| find(DEFAULT_POLICY))
}

/// Picks the option with the shortest expected completion time.
///
/// Ties are decided by the lower load, then by the same failure domain as the entry, and then by
/// the probe order, which differs between requests. The load is compared before the failure domain
/// because otherwise all entries of a failure domain would send their requests to the same
/// endpoint between two digests, while another endpoint is idle.
fn pick_expected(_random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    let mut best = 0;
    for index in 1..options.len() {
        if is_better(&options[index], &options[best]) {
            best = index;
        }
    }
    best
}

/// Reports whether `option` is better than `leader`.
fn is_better(option: &EndpointOption, leader: &EndpointOption) -> bool {
    if option.expected.abs_diff(leader.expected) > TIE_WIDTH {
        return option.expected < leader.expected;
    }
    if (option.load - leader.load).abs() > LOAD_TIE_WIDTH {
        return option.load < leader.load;
    }
    option.same_domain && !leader.same_domain
}

/// Picks the option with the fewest requests per slot.
fn pick_least_loaded(_random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    let mut best = 0;
    for (index, option) in options.iter().enumerate().skip(1) {
        if option.load < options[best].load {
            best = index;
        }
    }
    best
}

/// Picks an option uniformly at random.
fn pick_random(random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    random.random_range(0..options.len())
}
