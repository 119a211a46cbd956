//! The work that a request means for its endpoint, until it ends.

use crate::ids::EndpointKey;

/// A receipt for one send, to be handed back as the request goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTicket {
    /// Where the request went.
    pub endpoint: EndpointKey,
    /// Prompt tokens that the endpoint has yet to read.
    pub(super) prefill: f64,
    /// Tokens that the request takes of the endpoint's memory.
    pub(super) memory: u64,
    /// Whether the request has its first token.
    pub(super) started: bool,
}
