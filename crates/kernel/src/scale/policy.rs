//! Scaling policies: plug-ins that register themselves by name.

use std::collections::BTreeMap;

use crate::{
    ids::EndpointKey,
    reason::DecisionReason,
    scale::{EndpointPhase, PoolMember, PoolSnapshot, ScaleSettings},
};

/// Name of the policy that is used if the settings name an unregistered policy.
const DEFAULT_POLICY: &str = "steady";

/// Utilization above which the policy "threshold" starts an endpoint.
const START_SHARE: f64 = 0.8;

/// Utilization below which the policy "threshold" stops an endpoint.
const STOP_SHARE: f64 = 0.3;

/// The changes that a policy requests for the endpoints of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPlan {
    /// Failure domains; one endpoint is started for each element.
    pub starts: Vec<Box<str>>,
    /// Endpoint to drain and then stop, if any.
    pub drain: Option<EndpointKey>,
    /// Reason for the changes, unused if there are no changes; a plan without a reason has no
    /// effect.
    pub reason: Option<DecisionReason>,
}

/// A registered scaling policy.
#[derive(Debug)]
pub struct ScalePolicy {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Function that returns the requested changes for the endpoints of one model.
    pub plan: fn(&PoolSnapshot, &ScaleSettings) -> PoolPlan,
}

inventory::collect!(ScalePolicy);

inventory::submit! { ScalePolicy { name: "none", plan: |_, _| PoolPlan::default() } }
inventory::submit! { ScalePolicy { name: "steady", plan: plan_steady } }
inventory::submit! { ScalePolicy { name: "threshold", plan: plan_threshold } }

/// Returns the names of all registered policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<ScalePolicy>.into_iter().map(|policy| policy.name).collect();
    names.sort_unstable();
    names
}

/// Returns the policy with `name`, or the default policy if `name` is not registered.
pub(crate) fn policy(name: &str) -> Option<&'static ScalePolicy> {
    let find = |name: &str| inventory::iter::<ScalePolicy>.into_iter().find(|p| p.name == name);
    find(name).or_else(|| find(DEFAULT_POLICY))
}

/// Starts endpoints if the forecast or the current demand needs more than the capacity or if fewer
/// than `min_live` endpoints are in use, and stops one endpoint at a time if there was surplus
/// capacity for the whole idle span.
fn plan_steady(pool: &PoolSnapshot, settings: &ScaleSettings) -> PoolPlan {
    let wanted = pool.forecast.max(pool.demand) / settings.target_utilization;
    let capacity = pool.capacity();
    let in_use = count_in_use(pool);
    if wanted > capacity || in_use < settings.min_live {
        let missing_endpoints = settings.min_live.saturating_sub(in_use);
        return PoolPlan {
            starts: pick_starts(pool, wanted - capacity, missing_endpoints, settings.max_starts),
            drain: None,
            reason: Some(DecisionReason::ForecastOverCapacity {
                tokens_per_second: pool.forecast.max(pool.demand) as u64,
                capacity: capacity as u64,
            }),
        };
    }
    let may_stop = pool.observed >= settings.idle_span && !any_in_transition(pool);
    let drain = pick_drain(pool).filter(|member| {
        may_stop && in_use > settings.min_live && pool.can_spare(member.rate, settings)
    });
    let reason =
        DecisionReason::SurplusCapacity { peak: pool.peak as u64, capacity: capacity as u64 };
    PoolPlan {
        starts: Vec::new(),
        drain: drain.map(|member| member.endpoint),
        reason: Some(reason),
    }
}

/// Starts an endpoint above one utilization threshold or if fewer than `min_live` endpoints are in
/// use, and stops an endpoint below another threshold; uses only the current demand.
fn plan_threshold(pool: &PoolSnapshot, settings: &ScaleSettings) -> PoolPlan {
    let capacity = pool.capacity();
    let in_use = count_in_use(pool);
    let reason = DecisionReason::UseOutsideThresholds {
        tokens_per_second: pool.demand as u64,
        capacity: capacity as u64,
    };
    let mut plan = PoolPlan { reason: Some(reason), ..PoolPlan::default() };
    if pool.demand > START_SHARE * capacity || in_use < settings.min_live {
        plan.starts = pick_starts(pool, 0.0, 1, 1);
    } else if pool.demand < STOP_SHARE * capacity && in_use > settings.min_live {
        plan.drain = pick_drain(pool).map(|member| member.endpoint);
    }
    plan
}

fn count_in_use(pool: &PoolSnapshot) -> usize {
    pool.members_in(&[EndpointPhase::Live, EndpointPhase::Starting]).count()
}

fn any_in_transition(pool: &PoolSnapshot) -> bool {
    pool.members_in(&[EndpointPhase::Starting, EndpointPhase::Draining]).next().is_some()
}

/// Returns the failure domains in which stopped endpoints should be started.
///
/// The started endpoints provide at least `missing_rate` tokens per second and number at least
/// `min_starts`, but at most `max_starts`, as far as there are stopped endpoints. The domain with
/// the fewest endpoints in use comes first, and within a domain the endpoint with the lowest cost
/// per token.
fn pick_starts(
    pool: &PoolSnapshot,
    missing_rate: f64,
    min_starts: usize,
    max_starts: usize,
) -> Vec<Box<str>> {
    let mut in_use = domain_counts(pool);
    let mut stopped: Vec<&PoolMember> = pool.members_in(&[EndpointPhase::Stopped]).collect();
    let mut starts = Vec::new();
    let mut gained = 0.0;
    while (gained < missing_rate || starts.len() < min_starts) && starts.len() < max_starts {
        let domain_count = |member: &&PoolMember| in_use.get(&member.domain).copied().unwrap_or(0);
        let best = (0..stopped.len()).min_by(|&a, &b| {
            let (a, b) = (&stopped[a], &stopped[b]);
            domain_count(a)
                .cmp(&domain_count(b))
                .then(cost_per_token(a).total_cmp(&cost_per_token(b)))
        });
        let Some(best) = best else { break };
        let member = stopped.swap_remove(best);
        gained += member.rate;
        *in_use.entry(member.domain.clone()).or_default() += 1;
        starts.push(member.domain.clone());
    }
    starts
}

/// Returns the live endpoint with the highest cost per token in the failure domain with the most
/// endpoints in use.
fn pick_drain(pool: &PoolSnapshot) -> Option<&PoolMember> {
    let in_use = domain_counts(pool);
    pool.members_in(&[EndpointPhase::Live]).max_by(|a, b| {
        let counts = in_use[&a.domain].cmp(&in_use[&b.domain]);
        let costs = cost_per_token(a).total_cmp(&cost_per_token(b));
        counts.then(costs).then(b.endpoint.cmp(&a.endpoint))
    })
}

fn domain_counts(pool: &PoolSnapshot) -> BTreeMap<Box<str>, usize> {
    let mut counts = BTreeMap::new();
    for member in pool.members_in(&[EndpointPhase::Live, EndpointPhase::Starting]) {
        *counts.entry(member.domain.clone()).or_default() += 1;
    }
    counts
}

/// Returns the cost of one token at full utilization, up to a constant factor.
fn cost_per_token(member: &PoolMember) -> f64 {
    member.cost_per_hour / member.rate.max(f64::MIN_POSITIVE)
}
