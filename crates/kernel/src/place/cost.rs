//! What speaks against an endpoint for a request.

use crate::{
    place::{PlacedRequest, endpoint::EndpointState},
    time::TimePoint,
};

/// Prompt tokens that delay a request as much as one request beside it.
const REQUEST_WEIGHT: f64 = 250.0;

/// Prompt tokens that one request waiting at the endpoint stands for.
const WAITING_WEIGHT: f64 = 2_000.0;

/// Cost of reading shared parts again, as a multiple of their tokens.
const REREAD_WEIGHT: f64 = 100.0;

/// Tokens of shared parts from which the cost of each grows with their number: the longer an
/// endpoint reads, the more of its streams it delays for long.
const SHORT_PART: f64 = 1_000.0;

/// Cost of sending a prompt token to another failure domain, in prompt tokens.
const DISTANCE_WEIGHT: f64 = 0.3;

/// Cost of sending any request to another failure domain, in prompt tokens.
const DISTANCE_BASE: f64 = 400.0;

/// Cost for a strict request of an endpoint that is not kept for its like, in prompt tokens.
const STRICT_OUTSIDE: f64 = 20_000.0;

/// Cost of an endpoint that is kept for strict classes for any other request, in prompt tokens.
const REST_INSIDE: f64 = 2_000.0;

/// Prompt tokens that an engine reads at a stretch without a pause that strict classes notice:
/// three chunks.
const PAUSE_TOKENS: f64 = 6_000.0;

/// Cost of each further token beside strict streams, in prompt tokens.
const PAUSE_WEIGHT: f64 = 8.0;

/// Returns what speaks against an endpoint for `request`, in prompt tokens.
///
/// `reread` is the number of tokens of shared parts that it would have to read again, and `far` tells
/// whether it is in another failure domain.
pub(super) fn cost(
    now: TimePoint,
    state: &EndpointState,
    request: &PlacedRequest,
    reread: f64,
    far: bool,
) -> f64 {
    let prompt = f64::from(request.prompt_tokens);
    let ahead = state.prefill(now);
    let work =
        ahead + REQUEST_WEIGHT * state.load(now) + WAITING_WEIGHT * f64::from(state.waiting(now));
    let mixed = match (request.strict, state.strict) {
        (true, false) => STRICT_OUTSIDE,
        (false, true) => {
            let unread = prompt - f64::from(request.shared_tokens()) + reread;
            REST_INSIDE + PAUSE_WEIGHT * (ahead + unread - PAUSE_TOKENS).max(0.0)
        }
        _ => 0.0,
    };
    let distance = if far { DISTANCE_BASE + DISTANCE_WEIGHT * prompt } else { 0.0 };
    let length = f64::from(request.shared_tokens()).max(SHORT_PART) / SHORT_PART;
    work + mixed + distance + REREAD_WEIGHT * reread * length
}
