//! Errors of the tool.

use std::{fmt, path::PathBuf};

use pimentorock_kernel::record::ChangeRefusal;
use pimentorock_platform::error::PlatformError;
use pimentorock_settings::{finding::Finding, report::FindingReport, tree::PathError};
use serde_json::{Value, json};

use crate::exit_code;

/// The error of a failed call of the tool.
#[derive(Debug)]
pub(crate) struct ToolError {
    kind: ErrorKind,
}

/// The kinds of errors; [`ToolError::exit_code`] gives the exit code of each.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("{0}")]
    Findings(FindingReport),
    #[error("the change was refused: {0}")]
    Refused(ChangeRefusal),
    #[error("{problem}")]
    Invalid { problem: Box<str> },
    #[error("{problem}")]
    Usage { problem: Box<str> },
    #[error("file \"{}\" cannot be {action}: {source}", path.display())]
    File { action: &'static str, path: PathBuf, source: std::io::Error },
    #[error("{0}")]
    Platform(#[from] PlatformError),
    #[error("the log did not answer within {seconds} s")]
    Timeout { seconds: u64 },
    #[error("process {url} {problem}")]
    Process { url: Box<str>, problem: Box<str> },
    #[error(
        "the log no longer contains offsets {from} to {head}, and no snapshot replaces them; \
         read from a process with --process URL"
    )]
    Gap { from: u64, head: u64 },
    #[error("{object} does not exist")]
    NotFound { object: Box<str> },
    #[error("revision {revision} is not confirmed by: {}", processes.join(", "))]
    Unconfirmed { revision: u64, processes: Vec<Box<str>> },
    #[error("the outcome of {operation} is unknown: {cause}")]
    OutcomeUnknown { operation: Box<str>, cause: Box<str> },
}

impl ToolError {
    pub(crate) fn invalid(problem: impl Into<Box<str>>) -> ToolError {
        ErrorKind::Invalid { problem: problem.into() }.into()
    }

    pub(crate) fn usage(problem: impl Into<Box<str>>) -> ToolError {
        ErrorKind::Usage { problem: problem.into() }.into()
    }

    pub(crate) fn not_found(object: impl Into<Box<str>>) -> ToolError {
        ErrorKind::NotFound { object: object.into() }.into()
    }

    /// Returns the exit code of the call.
    pub(crate) fn exit_code(&self) -> u8 {
        match &self.kind {
            ErrorKind::Findings(_) | ErrorKind::Refused(_) | ErrorKind::Invalid { .. } => {
                exit_code::REFUSED
            }
            ErrorKind::Usage { .. } | ErrorKind::File { .. } => exit_code::USAGE,
            ErrorKind::Platform(error) if error.is_permanent() => exit_code::REFUSED,
            ErrorKind::Platform(_)
            | ErrorKind::Timeout { .. }
            | ErrorKind::Process { .. }
            | ErrorKind::Gap { .. } => exit_code::UNREACHABLE,
            ErrorKind::NotFound { .. } => exit_code::NOT_FOUND,
            ErrorKind::Unconfirmed { .. } => exit_code::UNCONFIRMED,
            ErrorKind::OutcomeUnknown { .. } => exit_code::OUTCOME_UNKNOWN,
        }
    }

    /// Returns the findings of an error that consists of findings.
    ///
    /// # Errors
    ///
    /// Returns the error itself if it is of any other kind.
    pub(crate) fn into_findings(self) -> Result<Vec<Finding>, ToolError> {
        match self.kind {
            ErrorKind::Findings(report) => Ok(report.findings),
            _ => Err(self),
        }
    }

    /// Returns the error as a JSON object, for output with `--json`.
    pub(crate) fn to_json(&self) -> Value {
        let mut error = json!({ "exit_code": self.exit_code(), "message": self.to_string() });
        match &self.kind {
            ErrorKind::Findings(report) => error["findings"] = json!(report.findings),
            ErrorKind::Refused(refusal) => error["refusal"] = json!(refusal),
            ErrorKind::Unconfirmed { revision, processes } => {
                error["revision"] = json!(revision);
                error["unconfirmed"] = json!(processes);
            }
            _ => {}
        }
        json!({ "error": error })
    }
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for ToolError {}

impl From<ErrorKind> for ToolError {
    fn from(kind: ErrorKind) -> ToolError {
        ToolError { kind }
    }
}

impl From<PlatformError> for ToolError {
    fn from(error: PlatformError) -> ToolError {
        ErrorKind::Platform(error).into()
    }
}

impl From<FindingReport> for ToolError {
    fn from(report: FindingReport) -> ToolError {
        ErrorKind::Findings(report).into()
    }
}

impl From<PathError> for ToolError {
    fn from(error: PathError) -> ToolError {
        match error {
            PathError::Absent { path } => ToolError::not_found(format!("path \"{path}\"")),
            error => ToolError::invalid(error.to_string()),
        }
    }
}
