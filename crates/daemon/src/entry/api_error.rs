//! Error answers of the HTTP interface for callers.

use std::time::Duration;

use pimentorock_kernel::ids::RequestId;
use poem::{Response, http::StatusCode};

use crate::run_header::REQUEST_ID_HEADER;

/// An error answer with an HTTP status and a stable error code.
#[derive(Clone, Debug)]
pub(crate) struct ApiError {
    status: StatusCode,
    code: &'static str,
    message: Box<str>,
    not_run: bool,
    retry_after: Option<Duration>,
}

impl ApiError {
    /// Returns an error for a request that did not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: String) -> ApiError {
        ApiError { status, code, message: message.into(), not_run: true, retry_after: None }
    }

    /// Marks the error as one for a request that may have run.
    pub(crate) fn with_outcome_unknown(mut self) -> ApiError {
        self.not_run = false;
        self
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after(mut self, span: Duration) -> ApiError {
        self.retry_after = Some(span);
        self
    }

    /// Returns whether it is certain that the request did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.not_run
    }

    /// Returns the stable error code.
    pub(crate) fn code(&self) -> &'static str {
        self.code
    }

    /// Returns the body of the error as JSON.
    pub(crate) fn body(&self) -> serde_json::Value {
        let kind = match self.status.as_u16() {
            401 | 403 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        serde_json::json!({
            "error": {
                "message": &*self.message,
                "type": kind,
                "param": null,
                "code": self.code,
                "not_run": self.not_run,
            }
        })
    }

    /// Returns the HTTP response for `request`.
    pub(crate) fn response(&self, request: RequestId) -> Response {
        let mut builder = Response::builder()
            .status(self.status)
            .content_type("application/json")
            .header(REQUEST_ID_HEADER, request.to_string());
        if let Some(span) = self.retry_after {
            let seconds = span.as_millis().div_ceil(1000).max(1);
            builder = builder.header("retry-after", seconds.to_string());
            builder = builder.header("retry-after-ms", span.as_millis().to_string());
        }
        builder.body(self.body().to_string())
    }
}
