//! The load that one request puts on its endpoint until the request ends.

use std::time::Duration;

use crate::{ids::EndpointKey, time::TimePoint};

/// Identifies one request that was sent to an endpoint.
///
/// The sender passes the ticket back to the placement table when the first token arrives and when
/// the request ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTicket {
    /// Endpoint that the request was sent to.
    pub endpoint: EndpointKey,
    /// Prompt tokens that the endpoint was expected to prefill when the request was sent.
    pub(super) prefill: f64,
    /// Tokens that the request occupies in the endpoint's memory.
    pub(super) memory: u64,
    pub(super) sent_at: TimePoint,
    /// Time within which the first token is on time, if the class has such a target.
    pub(super) latency_target: Option<Duration>,
    /// Whether the first token has arrived or the request has ended.
    pub(super) started: bool,
}
