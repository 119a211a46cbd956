//! Errors of calls to the platform and of its log.

use std::fmt;

/// An error of a call to the platform or of its log.
///
/// The error is a failed call, an append without a known outcome, a full append queue, a stopped
/// append worker, a damaged log record, or a log that ends before records that were already read.
#[derive(Debug)]
pub struct PlatformError {
    kind: ErrorKind,
}

/// Cause of a [`PlatformError`].
#[derive(Debug)]
#[non_exhaustive]
pub(crate) enum ErrorKind {
    Call { interface: &'static str, source: reqwest::Error },
    Status { interface: &'static str, status: u16, text: Box<str> },
    Record { problem: Box<str> },
    Trimmed { id: Box<str> },
    QueueFull { limit: usize },
    Stopped { accepted: bool },
}

/// Statuses from 400 to 499 after which a retry may succeed: timeout and too many requests.
const RETRIED_STATUSES: [u16; 2] = [408, 429];

/// Maximum length of the platform's answer that an error quotes, in characters.
const MAX_TEXT_CHARS: usize = 200;

impl PlatformError {
    pub(crate) fn new(kind: ErrorKind) -> PlatformError {
        PlatformError { kind }
    }

    pub(crate) fn call(interface: &'static str, source: reqwest::Error) -> PlatformError {
        // The URL may contain credentials, which must not appear in error messages.
        PlatformError::new(ErrorKind::Call { interface, source: source.without_url() })
    }

    pub(crate) fn status(interface: &'static str, status: u16, text: &str) -> PlatformError {
        let text = text.chars().take(MAX_TEXT_CHARS).collect::<String>().into();
        PlatformError::new(ErrorKind::Status { interface, status, text })
    }

    pub(crate) fn damaged(problem: &str) -> PlatformError {
        PlatformError::new(ErrorKind::Record { problem: problem.into() })
    }

    /// Reports whether the call may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        match &self.kind {
            ErrorKind::Call { source, .. } => !source.is_connect(),
            ErrorKind::Status { status, .. } => *status >= 500,
            ErrorKind::Trimmed { .. } => true,
            ErrorKind::Stopped { accepted } => *accepted,
            ErrorKind::Record { .. } | ErrorKind::QueueFull { .. } => false,
        }
    }

    /// Reports whether the platform is expected to reject the same call again.
    ///
    /// Returns true for all errors that are not failed calls, such as a full append queue, although an
    /// append succeeds once the queue has room again.
    pub fn is_permanent(&self) -> bool {
        match &self.kind {
            ErrorKind::Call { .. } => false,
            ErrorKind::Status { status, .. } => {
                (400..500).contains(status) && !RETRIED_STATUSES.contains(status)
            }
            _ => true,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Call { interface, source } => {
                write!(f, "call to the platform's interface \"{interface}\" failed: {source}")?;
                let mut cause = std::error::Error::source(source);
                while let Some(error) = cause {
                    write!(f, ": {error}")?;
                    cause = error.source();
                }
                Ok(())
            }
            ErrorKind::Status { interface, status, text } => {
                write!(
                    f,
                    "the platform's interface \"{interface}\" answered with status {status}: {text}"
                )
            }
            ErrorKind::Record { problem } => write!(f, "the log record is damaged: {problem}"),
            ErrorKind::Trimmed { id } => write!(
                f,
                "the log no longer holds the offsets where record \"{id}\" may have been appended"
            ),
            ErrorKind::QueueFull { limit } => {
                write!(f, "the append queue is full: {limit} records are pending")
            }
            ErrorKind::Stopped { accepted: true } => {
                write!(f, "the append worker stopped before the outcome of the record was known")
            }
            ErrorKind::Stopped { accepted: false } => write!(f, "the append worker has stopped"),
        }
    }
}

impl std::error::Error for PlatformError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            ErrorKind::Call { source, .. } => Some(source),
            _ => None,
        }
    }
}
