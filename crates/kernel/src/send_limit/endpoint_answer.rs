//! What an answer of an endpoint says of its limit.

use crate::{
    send_limit::{LimitScope, LimitWord},
    time::TimePoint,
};

/// An answer of an endpoint, as far as it concerns its limit.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAnswer {
    /// The endpoint.
    pub scope: LimitScope,
    /// Start of the endpoint's run as the store lists it, in milliseconds since 1970, if known.
    pub started_ms: Option<u64>,
    /// When the request was sent.
    pub sent_at: TimePoint,
    /// The limit that the answer names; `None` if it names none.
    pub word: Option<LimitWord>,
}
