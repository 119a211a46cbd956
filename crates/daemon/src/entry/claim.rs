//! Requests that carry an idempotency key: the first one runs, repeats get its answer.

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

/// Time after which a repeat may ask again for an answer that is under way.
const RETRY_IN_PROGRESS: Duration = Duration::from_secs(1);

/// Time after which a claim may be tried again when the log does not answer.
const RETRY_LOG_DOWN: Duration = Duration::from_secs(2);

/// How a request with or without an idempotency key goes on.
#[derive(Debug)]
pub(crate) enum ClaimEntry {
    /// It has no key.
    Unclaimed,
    /// It is the first with its key and runs now.
    Won(ClaimAttempt),
    /// It repeats another, and the caller has that one's answer.
    Answered,
}

/// Claims the right to run a request, if it has a key.
///
/// # Errors
///
/// Fails with the caller's final answer if the request must not run and no answer is at hand.
pub(crate) async fn enter(
    state: &EntryState,
    request: &CallerRequest,
    caller: &mut CallerChannel,
) -> Result<ClaimEntry, ApiError> {
    let Some(idempotency_key) = &request.idempotency_key else {
        return Ok(ClaimEntry::Unclaimed);
    };
    let view = state.parts.views.load();
    let account = &view.catalog.accounts[request.account].name;
    let attempt = ClaimAttempt {
        key: claim_key(account, idempotency_key),
        request: request.id,
        fingerprint: request.fingerprint,
    };
    let is_alive = |process: &ProcessId| *process == state.parts.process || view.is_alive(process);
    let claims = &state.parts.claims;
    match claims.claim(&attempt, view.log_up, is_alive, request.time_allowed).await {
        ClaimVerdict::Run => Ok(ClaimEntry::Won(attempt)),
        ClaimVerdict::NotRun => Err(log_down()),
        ClaimVerdict::Repeat(answer) => {
            let held = repeat(state, &attempt, answer).await?;
            let status = StatusCode::from_u16(held.status).unwrap_or(StatusCode::OK);
            caller.answer(status, held.headers, held.body.into());
            Ok(ClaimEntry::Answered)
        }
    }
}

/// Settles a claim by how its request ended, and keeps a whole answer for repeats.
pub(crate) fn settle(
    state: &EntryState,
    attempt: &ClaimAttempt,
    outcome: &Result<(), ApiError>,
    caller: &mut CallerChannel,
) {
    let captured = caller.take_captured();
    let end = match (outcome, captured) {
        (Ok(()), Some(answer)) if !caller.is_gone() => {
            let (status, digest) = (answer.status, digest_of(&answer.body));
            state.parts.answers.insert(&attempt.key, answer);
            ClaimOutcome::Completed { status, digest }
        }
        (Err(error), _) if error.is_not_run() => ClaimOutcome::NotRun,
        _ => ClaimOutcome::Unknown,
    };
    state.parts.claims.settle(attempt, end);
}

/// Returns the first answer, or the error that takes its place.
async fn repeat(
    state: &EntryState,
    attempt: &ClaimAttempt,
    answer: RepeatAnswer,
) -> Result<HeldAnswer, ApiError> {
    match answer {
        RepeatAnswer::Held { owner, digest, .. } => {
            let held = fetch(state, &owner, &attempt.key).await;
            held.filter(|held| digest_of(&held.body) == digest).ok_or_else(answer_gone)
        }
        RepeatAnswer::Gone { .. } => Err(answer_gone()),
        RepeatAnswer::OutcomeUnknown => Err(outcome_unknown()),
        RepeatAnswer::InProgress { .. } => {
            let message = "a request with this idempotency key is under way".to_owned();
            let error = ApiError::new(StatusCode::CONFLICT, "in_progress", message);
            Err(error.with_outcome_unknown().with_retry_after(RETRY_IN_PROGRESS))
        }
        RepeatAnswer::Mismatch => {
            let message = "the idempotency key was used for another request".to_owned();
            Err(ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "idempotency_mismatch", message))
        }
    }
}

async fn fetch(state: &EntryState, owner: &ProcessId, key: &str) -> Option<HeldAnswer> {
    if *owner == state.parts.process {
        return state.parts.answers.get(key);
    }
    let view = state.parts.views.load();
    let address = view.processes.get(&owner.name)?;
    fetch_answer(address.peer, key).await
}

fn log_down() -> ApiError {
    let message = "the log takes no claim for the idempotency key now".to_owned();
    let error = ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable", message);
    error.with_retry_after(RETRY_LOG_DOWN)
}

fn answer_gone() -> ApiError {
    let message = "the request ran to its end, but its answer is no longer held".to_owned();
    ApiError::new(StatusCode::BAD_GATEWAY, "answer_gone", message).with_outcome_unknown()
}

fn digest_of(body: &[u8]) -> Box<str> {
    Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
