//! A simulated request, its progress and its outcome.

use pimentorock_kernel::{catalog::ServiceCatalog, ids::EndpointKey, time::TimePoint};
use serde::Serialize;

use super::trace::TraceRequest;
use crate::engine::RunKey;

/// Final outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The caller received the complete answer.
    Completed,
    /// The request was refused and did not run.
    Refused,
    /// The deadline passed before the answer was complete.
    Late,
    /// The request may have run at an endpoint that crashed, and was not retried successfully.
    Failed,
}

/// A simulated request.
#[derive(Clone, Debug)]
pub struct SimRequest {
    /// The request as it was drawn.
    pub trace: TraceRequest,
    /// Time of the first token, or of the answer of a plain service; `None` before that.
    pub first_token_at: Option<TimePoint>,
    /// Time and kind of the final outcome, or `None` while the request is open.
    pub end: Option<(TimePoint, EndKind)>,
    /// Number of output tokens that all runs of the request generated.
    pub produced: u32,
    /// Number of output tokens that the caller received.
    pub delivered: u32,
    pub(super) entry: usize,
    pub(super) node: Option<usize>,
    pub(super) run: Option<RunKey>,
    pub(super) starts: u32,
    pub(super) attempts: u32,
    pub(super) may_have_run: bool,
    pub(super) excluded: Vec<EndpointKey>,
}

/// Result of comparing a request with the targets of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetVerdict {
    /// The request met all targets.
    Met,
    /// The request was refused.
    Refused,
    /// The first token was late.
    FirstToken,
    /// The mean time between tokens was too long.
    BetweenTokens,
    /// The deadline passed.
    Deadline,
    /// The request failed because its endpoint crashed.
    Lost,
}

impl SimRequest {
    /// Returns a request that has not arrived yet and will arrive at the entry with index `entry`.
    pub fn new(trace: TraceRequest, entry: usize) -> SimRequest {
        SimRequest {
            trace,
            first_token_at: None,
            end: None,
            produced: 0,
            delivered: 0,
            entry,
            node: None,
            run: None,
            starts: 0,
            attempts: 0,
            may_have_run: false,
            excluded: Vec::new(),
        }
    }

    /// Reports whether the request has been started at its current endpoint.
    pub fn has_begun(&self) -> bool {
        self.run.is_some()
    }

    /// Compares the request with the targets of its class.
    pub fn verdict(&self, catalog: &ServiceCatalog) -> TargetVerdict {
        let spec = &self.trace.spec;
        let class = &catalog.classes[spec.class];
        let (end, first) = match (self.end, self.first_token_at) {
            (Some((end, EndKind::Completed)), Some(first)) => (end, first),
            (Some((_, EndKind::Refused)), _) => return TargetVerdict::Refused,
            (Some((_, EndKind::Failed)), _) => return TargetVerdict::Lost,
            _ => return TargetVerdict::Deadline,
        };
        let gaps = self.delivered.saturating_sub(1).max(1);
        match () {
            () if first.since(spec.arrived) > class.first_token => TargetVerdict::FirstToken,
            () if end.since(first) > class.between_tokens * gaps => TargetVerdict::BetweenTokens,
            () if end > spec.deadline => TargetVerdict::Deadline,
            () => TargetVerdict::Met,
        }
    }
}
