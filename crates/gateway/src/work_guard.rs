//! The count of a request in progress at its endpoint.

use std::sync::Arc;

use pimentorock_kernel::{place::WorkTicket, time::TimePoint};

use crate::{clock, crash_checks::EndpointInstance, state::GatewayState};

/// A request in progress at an endpoint; dropping the guard counts the request as ended.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) ticket: WorkTicket,
    pub(crate) instance: EndpointInstance,
    /// When the request was sent.
    pub(crate) sent_at: TimePoint,
    /// When the connection was opened, if it is not known for sure that the listed run is behind it.
    pub(crate) unproven_since: Option<TimePoint>,
    /// Whether the request was sent although a part of its prompt is suspected.
    pub(crate) excused: bool,
}

impl WorkGuard {
    /// Tells the placement table that the first token of the response arrived.
    pub(crate) fn started(&mut self) {
        self.state.table().first_token(clock::now(), &mut self.ticket);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.state.table().ended(&mut self.ticket);
    }
}
