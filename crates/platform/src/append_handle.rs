//! Handle to a pending append.

use tokio::sync::oneshot;

use crate::error::{ErrorKind, PlatformError};

/// A handle to wait for the outcome of one append.
#[derive(Debug)]
pub struct AppendHandle {
    receiver: oneshot::Receiver<Result<u64, PlatformError>>,
}

impl AppendHandle {
    pub(crate) fn new(receiver: oneshot::Receiver<Result<u64, PlatformError>>) -> AppendHandle {
        AppendHandle { receiver }
    }

    /// Waits until the record is in the log and returns the record's offset.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the record, the log has trimmed the offsets where the record
    /// may be, or the worker stops first.
    pub async fn wait(self) -> Result<u64, PlatformError> {
        match self.receiver.await {
            Ok(outcome) => outcome,
            Err(_) => Err(PlatformError::new(ErrorKind::Stopped { accepted: true })),
        }
    }
}
