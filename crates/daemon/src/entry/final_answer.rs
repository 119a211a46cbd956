//! Final errors for requests that are not retried.

use std::time::Duration;

use pimentorock_kernel::reason::DecisionReason;
use poem::http::StatusCode;

use crate::entry::api_error::ApiError;

/// Returns the error for a request that was refused and did not run.
pub(crate) fn refusal_error(reason: &DecisionReason, retry_after: Duration) -> ApiError {
    let (status, code) = match reason {
        DecisionReason::DeadlineUnreachable { .. } | DecisionReason::DeadlinePassed => {
            (StatusCode::SERVICE_UNAVAILABLE, "deadline_unreachable")
        }
        DecisionReason::OverLimit { .. } => (StatusCode::TOO_MANY_REQUESTS, "rate_limited"),
        DecisionReason::NoEndpoint | DecisionReason::EndpointDown => {
            (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint")
        }
        DecisionReason::KeyWithdrawn => {
            return ApiError::new(StatusCode::UNAUTHORIZED, "key_withdrawn", reason.to_string());
        }
        DecisionReason::SuspectedOfCrashes => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return ApiError::new(status, "suspected_of_crashes", reason.to_string());
        }
        DecisionReason::TooLarge { .. } => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return ApiError::new(status, "request_too_large", reason.to_string());
        }
        _ => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
    };
    ApiError::new(status, code, reason.to_string()).with_retry_after(retry_after)
}

/// Returns the error for a request that may have run and whose deadline passed.
pub(crate) fn deadline_error() -> ApiError {
    let message = "the deadline passed".to_owned();
    ApiError::new(StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded", message).with_outcome_unknown()
}

/// Returns the error for a request that may have run and must not be retried.
pub(crate) fn outcome_unknown() -> ApiError {
    let message = "the connection to the endpoint was lost; whether the request ran to its end is \
                   not known"
        .to_owned();
    ApiError::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message).with_outcome_unknown()
}
