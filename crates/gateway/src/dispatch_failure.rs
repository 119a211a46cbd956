//! The answer to a caller whose request got no endpoint's response.

use std::time::Duration;

use http::StatusCode;

/// Minimum delay that a refused caller is asked to wait before it retries.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Why the entry has no endpoint's response to deliver to the caller.
#[derive(Clone, Debug)]
pub(crate) struct DispatchFailure {
    /// Status of the response to the caller.
    pub(crate) status: StatusCode,
    /// Reason, for the log.
    pub(crate) reason: Box<str>,
    /// Delay after which the caller may retry; `None` if the request may have run.
    pub(crate) retry_after: Option<Duration>,
    /// Code by which callers tell the reason, if they can do something about it.
    pub(crate) code: Option<&'static str>,
}

impl DispatchFailure {
    /// Sets the code by which callers tell the reason.
    pub(crate) fn with_code(self, code: &'static str) -> DispatchFailure {
        DispatchFailure { code: Some(code), ..self }
    }

    /// Prolongs the retry delay, if there is one, by `span` instead of the shortest delay.
    pub(crate) fn with_delay_of_at_least(self, span: Duration) -> DispatchFailure {
        let prolonged = |delay: Duration| span.max(MIN_RETRY_AFTER) + delay - MIN_RETRY_AFTER;
        DispatchFailure { retry_after: self.retry_after.map(prolonged), ..self }
    }
}
