//! The cost of running a request on an endpoint.

use crate::{
    place::{PlacedRequest, endpoint::EndpointState},
    time::TimePoint,
};

/// Cost of each request that is already at the endpoint, in prompt tokens.
const RUNNING_WEIGHT: f64 = 250.0;

/// Cost of each request that waits in the endpoint's own queue, in prompt tokens.
const WAITING_WEIGHT: f64 = 2_000.0;

/// Cost of prefilling shared parts that are not cached, as a multiple of their tokens.
const UNCACHED_WEIGHT: f64 = 100.0;

/// Above this number of shared tokens, the cost of each uncached token grows in proportion to the
/// number of shared tokens. A longer prefill delays the other answers of the endpoint longer.
const SHORT_PREFIX: f64 = 1_000.0;

/// Cost of sending a prompt token to another failure domain, in prompt tokens.
const DISTANCE_WEIGHT: f64 = 0.3;

/// Cost of sending any request to another failure domain, in prompt tokens.
const DISTANCE_BASE: f64 = 400.0;

/// Cost of a strict request on an endpoint that is not reserved for strict classes, in prompt
/// tokens.
const STRICT_IN_UNRESERVED_COST: f64 = 20_000.0;

/// Cost of any other request on an endpoint that is reserved for strict classes, in prompt tokens.
const OTHER_IN_RESERVED_COST: f64 = 2_000.0;

/// Prompt tokens that an endpoint can prefill in a row without a pause that is too long for the
/// answers of strict classes. The value equals three prefill chunks, which are the pieces of a
/// prompt that an endpoint prefills between two output tokens.
const UNNOTICED_PREFILL: f64 = 6_000.0;

/// Cost of each prompt token above [`UNNOTICED_PREFILL`] on an endpoint that is reserved for strict
/// classes, in prompt tokens.
const PREFILL_PAUSE_WEIGHT: f64 = 8.0;

/// Returns the cost of running `request` on an endpoint, in prompt tokens.
///
/// `uncached` is the number of shared tokens that the endpoint would have to prefill, and
/// `is_remote` tells whether the endpoint is in another failure domain.
pub(super) fn cost(
    now: TimePoint,
    state: &EndpointState,
    request: &PlacedRequest,
    uncached: f64,
    is_remote: bool,
) -> f64 {
    let prompt = f64::from(request.prompt_tokens);
    let pending_prefill = state.prefill(now);
    let work = pending_prefill
        + RUNNING_WEIGHT * state.load(now)
        + WAITING_WEIGHT * f64::from(state.waiting(now));
    let interference = match (request.strict, state.strict) {
        (true, false) => STRICT_IN_UNRESERVED_COST,
        (false, true) => {
            let to_prefill = prompt - f64::from(request.shared_tokens()) + uncached;
            OTHER_IN_RESERVED_COST
                + PREFILL_PAUSE_WEIGHT * (pending_prefill + to_prefill - UNNOTICED_PREFILL).max(0.0)
        }
        _ => 0.0,
    };
    let distance = if is_remote { DISTANCE_BASE + DISTANCE_WEIGHT * prompt } else { 0.0 };
    let length = f64::from(request.shared_tokens()).max(SHORT_PREFIX) / SHORT_PREFIX;
    work + interference + distance + UNCACHED_WEIGHT * uncached * length
}
