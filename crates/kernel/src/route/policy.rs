//! Policies of endpoint choice: plug-ins that register themselves by name.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::EndpointKey;

/// Name of the policy used when the settings name one that is not registered.
pub(crate) const DEFAULT_POLICY: &str = "expected";

/// Difference in expected completion below which two endpoints count as equal.
const TIE_WIDTH: Duration = Duration::from_millis(2);

/// Difference in requests for each slot below which two loads count as equal.
const LOAD_TIE_WIDTH: f64 = 0.05;

/// What a policy knows of an endpoint that it may choose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Expected time to completion of the request there.
    pub expected: Duration,
    /// Requests that run or wait there, for each of its slots.
    pub load: f64,
    /// Blocks of the prompt's prefix that it holds.
    pub cached_blocks: u32,
    /// Whether it is in the entry's own failure domain.
    pub same_domain: bool,
}

/// A policy of endpoint choice.
#[derive(Debug)]
pub struct RoutePolicy {
    /// Name that the settings use.
    pub name: &'static str,
    /// Returns the index of the chosen option; there is at least one.
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

/// Returns the policy called `name`, or the default one.
pub(crate) fn policy(name: &str) -> Option<&'static RoutePolicy> {
    let find = |name: &str| inventory::iter::<RoutePolicy>.into_iter().find(|p| p.name == name);
    find(name).or_else(|| find(DEFAULT_POLICY))
}

/// Picks the shortest expected completion; ties go to the lower load, equal loads to the
/// entry's own failure domain, and what is left to the first probe, which differs by request.
///
/// The load comes first because entries of one failure domain would otherwise fill the same
/// endpoint together between two digests, while another one stands idle.
fn pick_expected(_random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    let mut best = 0;
    for index in 1..options.len() {
        if is_better(&options[index], &options[best]) {
            best = index;
        }
    }
    best
}

/// Returns whether `option` goes before `leader`.
fn is_better(option: &EndpointOption, leader: &EndpointOption) -> bool {
    if option.expected.abs_diff(leader.expected) > TIE_WIDTH {
        return option.expected < leader.expected;
    }
    if (option.load - leader.load).abs() > LOAD_TIE_WIDTH {
        return option.load < leader.load;
    }
    option.same_domain && !leader.same_domain
}

/// Picks the fewest requests for each slot.
fn pick_least_loaded(_random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    let mut best = 0;
    for (index, option) in options.iter().enumerate().skip(1) {
        if option.load < options[best].load {
            best = index;
        }
    }
    best
}

/// Picks any option.
fn pick_random(random: &mut ChaCha8Rng, options: &[EndpointOption]) -> usize {
    random.random_range(0..options.len())
}
