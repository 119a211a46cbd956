//! Errors that end the daemon.

use std::{fmt, io, path::PathBuf};

use pimentorock_settings::report::FindingReport;

/// An error that ends the daemon.
#[derive(Debug)]
pub struct DaemonError {
    kind: ErrorKind,
}

/// The cause of a [`DaemonError`].
#[derive(Debug)]
pub(crate) enum ErrorKind {
    /// The settings file could not be read.
    ReadSettings { path: PathBuf, source: io::Error },
    /// The settings are invalid.
    Settings(FindingReport),
    /// A listening socket could not be opened.
    Listen { purpose: &'static str, address: Box<str>, source: io::Error },
    /// A part of the process could not start.
    Start { part: &'static str, source: io::Error },
}

impl DaemonError {
    pub(crate) fn new(kind: ErrorKind) -> DaemonError {
        DaemonError { kind }
    }

    /// Returns the exit code: 1 for invalid settings, 2 for any other error.
    pub fn exit_code(&self) -> u8 {
        match self.kind {
            ErrorKind::Settings(_) => 1,
            _ => 2,
        }
    }
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::ReadSettings { path, source } => {
                write!(f, "settings file \"{}\" could not be read: {source}", path.display())
            }
            ErrorKind::Settings(report) => write!(f, "the settings have findings\n{report}"),
            ErrorKind::Listen { purpose, address, source } => {
                write!(f, "address \"{address}\" for {purpose} could not be opened: {source}")
            }
            ErrorKind::Start { part, source } => write!(f, "{part} could not start: {source}"),
        }
    }
}

impl std::error::Error for DaemonError {}
