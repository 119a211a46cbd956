//! Invariants that every simulated run must satisfy.

use pimentorock_kernel::{
    catalog::ServiceCatalog, queue::QueueAction, reason::DecisionReason, request::RequestSpec,
};
use serde::Serialize;

use super::{
    node::{EndpointNode, index_of},
    request::SimRequest,
};

/// Number of requests of each class that a full queue keeps regardless of their tier.
const CLASS_RESERVE: u32 = 2;

/// Number of violations of each invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InvariantCounts {
    /// A request was refused because the queue was full although a class of a lower tier had more
    /// requests waiting than its reserve, or was displaced by a request whose tier is not higher.
    pub shed_for_lower: u64,
    /// A request was preempted although no request of a higher tier waited.
    pub preempted_for_lower: u64,
    /// A request that is not idempotent was started twice.
    pub run_twice: u64,
    /// A request was refused as not run although it had been started.
    pub false_not_run: u64,
    /// A request was started although all slots of the endpoint were in use.
    pub over_capacity: u64,
    /// A request had two final outcomes.
    pub two_ends: u64,
    /// A request had no final outcome.
    pub no_end: u64,
    /// The poison request crashed an endpoint after it had already caused two crashes.
    pub poison: u64,
}

impl InvariantCounts {
    /// Returns the total number of violations.
    pub fn total(&self) -> u64 {
        self.shed_for_lower
            + self.preempted_for_lower
            + self.run_twice
            + self.false_not_run
            + self.over_capacity
            + self.two_ends
            + self.no_end
            + self.poison
    }

    /// Checks a queue action before the action is executed.
    pub(crate) fn check(
        &mut self,
        action: &QueueAction,
        node: &EndpointNode,
        requests: &[SimRequest],
        catalog: &ServiceCatalog,
    ) {
        let tier = |spec: &RequestSpec| catalog.classes[spec.class].tier;
        let waiting = |beyond: u32| {
            let waiting = node.meters.iter().filter(move |(_, meter)| meter.waiting > beyond);
            waiting.map(|(&class, _)| catalog.classes[class].tier)
        };
        match action {
            QueueAction::Start { .. } => {
                self.over_capacity += u64::from(node.active_runs() >= node.spec.slots as usize);
            }
            QueueAction::Refuse { request, reason, .. } => {
                let request = &requests[index_of(*request)];
                let own = tier(&request.trace.spec);
                self.false_not_run += u64::from(request.has_begun());
                self.shed_for_lower += u64::from(match reason {
                    DecisionReason::QueueFull => {
                        waiting(CLASS_RESERVE).any(|waiting| waiting > own)
                    }
                    DecisionReason::DisplacedByHigherTier { tier } => *tier >= own,
                    _ => false,
                });
            }
            QueueAction::Preempt { request, .. } => {
                let own = tier(&requests[index_of(*request)].trace.spec);
                self.preempted_for_lower += u64::from(!waiting(0).any(|waiting| waiting < own));
            }
            QueueAction::Abort { .. } => {}
        }
    }
}
