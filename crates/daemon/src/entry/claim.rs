//! Claims for requests with an idempotency key: the first request runs, repeats get its answer.

use std::time::Duration;

use pimentorock_kernel::{
    control::{RepeatAnswer, claim_key},
    ids::ProcessId,
    record::ClaimOutcome,
};
use poem::http::StatusCode;
use sha2::{Digest, Sha256};

use crate::{
    entry::{
        api_error::ApiError, caller_channel::CallerChannel, caller_request::CallerRequest,
        final_answer::outcome_unknown, state::EntryState,
    },
    peer::fetch_answer,
    state::{ClaimAttempt, ClaimVerdict, HeldAnswer},
};

/// Retry delay sent to a repeat while the first request is still running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay sent to the caller when the log does not accept the claim.
const LOG_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum time for which a repeat waits for the entry that holds the answer.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(2);

/// Time between two calls to the entry that holds the answer, or two checks whether it is known.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of claiming the right to run a request.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// The request has no idempotency key and needs no claim.
    Unclaimed,
    /// The request is the first with its key and may run.
    Won(ClaimAttempt),
    /// The request repeats an earlier request, whose answer was sent to the caller.
    Answered,
}

/// Claims the right to run a request that has an idempotency key.
///
/// # Errors
///
/// Returns the final error for the caller if the request must not run and no answer of an earlier
/// request is available.
pub(crate) async fn acquire(
    state: &EntryState,
    request: &CallerRequest,
    caller: &mut CallerChannel,
) -> Result<ClaimResult, ApiError> {
    let Some(idempotency_key) = &request.idempotency_key else {
        return Ok(ClaimResult::Unclaimed);
    };
    let view = state.parts.views.load();
    let account = &view.catalog.accounts[request.account].name;
    let claim = ClaimAttempt {
        key: claim_key(account, idempotency_key),
        request: request.id,
        fingerprint: request.fingerprint,
    };
    // A process that has just started has not heard from all others, so an unknown one may live.
    let may_live =
        |process: &ProcessId| state.is_starting() && !view.processes.contains_key(&process.name);
    let is_alive = |process: &ProcessId| {
        *process == state.parts.process || view.is_alive(process) || may_live(process)
    };
    let claims = &state.parts.claims;
    match claims.claim(&claim, view.log_up, is_alive, request.time_allowed).await {
        ClaimVerdict::Run => Ok(ClaimResult::Won(claim)),
        ClaimVerdict::NotRun => Err(log_unavailable()),
        ClaimVerdict::Repeat(answer) => {
            let held = first_answer(state, &claim, answer).await?;
            let status = StatusCode::from_u16(held.status).unwrap_or(StatusCode::OK);
            caller.answer(status, held.headers, held.body.into());
            Ok(ClaimResult::Answered)
        }
    }
}

/// Settles a claim with the outcome of its request, and stores a complete answer for repeats.
pub(crate) fn settle(
    state: &EntryState,
    claim: &ClaimAttempt,
    outcome: &Result<(), ApiError>,
    caller: &mut CallerChannel,
) {
    let captured = caller.take_captured();
    let end = match (outcome, captured) {
        (Ok(()), Some(answer)) => {
            let (status, digest) = (answer.status, body_hash(&answer.body));
            state.parts.answers.insert(&claim.key, answer);
            ClaimOutcome::Completed { status, digest }
        }
        (Err(error), _) if error.is_not_run() => ClaimOutcome::NotRun,
        _ => ClaimOutcome::Unknown,
    };
    state.parts.claims.settle(claim, end);
}

/// Returns the answer of the first request with the same key.
///
/// # Errors
///
/// Returns the error for the caller if the answer is not available.
async fn first_answer(
    state: &EntryState,
    claim: &ClaimAttempt,
    answer: RepeatAnswer,
) -> Result<HeldAnswer, ApiError> {
    match answer {
        RepeatAnswer::Held { owner, digest, .. } => {
            let held = match fetch_held_answer(state, &owner, &claim.key).await {
                Some(held) => held.filter(|held| body_hash(&held.body) == digest),
                None => return Err(holder_silent()),
            };
            held.ok_or_else(answer_gone)
        }
        RepeatAnswer::Gone { .. } => Err(answer_gone()),
        RepeatAnswer::OutcomeUnknown => Err(outcome_unknown()),
        RepeatAnswer::InProgress { .. } => {
            let message = "a request with this idempotency key is under way".to_owned();
            let error = ApiError::new(StatusCode::CONFLICT, "in_progress", message);
            Err(error.with_outcome_unknown().with_retry_after(IN_PROGRESS_RETRY_AFTER))
        }
        RepeatAnswer::Mismatch => {
            let message = "the idempotency key was used for another request".to_owned();
            Err(ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "idempotency_mismatch", message))
        }
    }
}

/// Returns the answer stored at `owner`, `Some(None)` if `owner` has no such answer, or `None` if it
/// did not answer within [`MAX_OWNER_WAIT`] or its address did not become known.
async fn fetch_held_answer(
    state: &EntryState,
    owner: &ProcessId,
    key: &str,
) -> Option<Option<HeldAnswer>> {
    if *owner == state.parts.process {
        return Some(state.parts.answers.get(key));
    }
    let fetching = async {
        loop {
            let known = state.parts.views.load().processes.get(&owner.name).map(|known| known.peer);
            if let Some(address) = known
                && let Some(held) = fetch_answer(address, key).await
            {
                return held;
            }
            tokio::time::sleep(OWNER_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(MAX_OWNER_WAIT, fetching).await.ok()
}

fn holder_silent() -> ApiError {
    let message = "the entry that holds the answer does not answer now".to_owned();
    let error = ApiError::new(StatusCode::CONFLICT, "in_progress", message);
    error.with_outcome_unknown().with_retry_after(IN_PROGRESS_RETRY_AFTER)
}

fn log_unavailable() -> ApiError {
    let message = "the log takes no claim for the idempotency key now".to_owned();
    let error = ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable", message);
    error.with_retry_after(LOG_UNAVAILABLE_RETRY_AFTER)
}

fn answer_gone() -> ApiError {
    let message = "the request ran to its end, but its answer is no longer held".to_owned();
    ApiError::new(StatusCode::BAD_GATEWAY, "answer_gone", message).with_outcome_unknown()
}

fn body_hash(body: &[u8]) -> Box<str> {
    Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
