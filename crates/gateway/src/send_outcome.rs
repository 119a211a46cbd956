//! The outcome of one send of a request.

use crate::endpoint_response::EndpointResponse;

/// The outcome of one send.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The head of a valid response arrived.
    Answered(Box<EndpointResponse>),
    /// No byte of the request was sent to the endpoint.
    Unreached(Box<str>),
    /// The endpoint refused the request and states that the request has not run.
    NotRun(Box<str>),
    /// No valid response arrived; the request may have run.
    Lost(Box<str>),
    /// No response head arrived before the deadline; the request may have run.
    DeadlinePassed,
}

impl SendOutcome {
    /// Returns the name of the outcome in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            SendOutcome::Answered(_) => "answered",
            SendOutcome::Unreached(_) => "unreached",
            SendOutcome::NotRun(_) => "not_run",
            SendOutcome::Lost(_) => "lost",
            SendOutcome::DeadlinePassed => "deadline_passed",
        }
    }
}
