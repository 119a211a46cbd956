//! Errors that prevent an entry from starting.

use std::{fmt, io};

/// An error that ends the process: a socket, a thread, the runtime or the logger could not be set
/// up.
#[derive(Debug)]
pub struct GatewayError {
    kind: ErrorKind,
}

#[derive(Debug)]
pub(crate) enum ErrorKind {
    Listen { purpose: &'static str, address: Box<str>, source: io::Error },
    Start { part: &'static str, source: io::Error },
}

impl GatewayError {
    pub(crate) fn new(kind: ErrorKind) -> GatewayError {
        GatewayError { kind }
    }
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Listen { purpose, address, source } => {
                write!(f, "address \"{address}\" for {purpose} could not be opened: {source}")
            }
            ErrorKind::Start { part, source } => write!(f, "{part} could not start: {source}"),
        }
    }
}

impl std::error::Error for GatewayError {}
