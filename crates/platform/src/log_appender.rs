//! Appends records to a stream in batches, each record once.

use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{
    append_budget::AppendBudget,
    append_handle::AppendHandle,
    append_worker::{AppendWorker, PendingRecord},
    backoff::RetryBackoff,
    envelope::RecordEnvelope,
    error::{ErrorKind, PlatformError},
    log_client::LogClient,
};

/// Appends records to one stream in batches, in the order in which they were submitted.
///
/// If the answer to an append is lost, the worker reads the log from the end offset that it knew
/// before the append and searches for the batch by the identifier of its first record. It sends
/// the batch again only if the log does not hold that record. One kind of duplicate cannot be
/// avoided: if the platform delays a request for longer than the call's timeout, the first copy
/// may reach the log after the search. A [`LogReader`](crate::log_reader::LogReader) detects the
/// second copy by its identifier.
#[derive(Clone, Debug)]
pub struct LogAppender {
    sender: mpsc::Sender<PendingRecord>,
}

impl LogAppender {
    /// Spawns the worker task and returns the appender and the task's handle.
    ///
    /// Once all clones of the appender are dropped, the worker appends the pending records and
    /// ends. If `cancel` is cancelled, the worker ends at once and the outcome of the pending
    /// records stays unknown.
    pub fn spawn(
        client: LogClient,
        budget: AppendBudget,
        backoff: RetryBackoff,
        cancel: CancellationToken,
    ) -> (LogAppender, JoinHandle<()>) {
        let (sender, receiver) = mpsc::channel(budget.max_pending.max(1));
        let worker = AppendWorker::new(client, budget, backoff, receiver, cancel);
        (LogAppender { sender }, tokio::spawn(worker.run()))
    }

    /// Appends a record, waits for the outcome and returns the record's offset.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, the platform rejects the record, the log has trimmed the offsets
    /// where the record may be, or the worker has stopped. The record may be in the log
    /// nevertheless, see [`PlatformError::may_have_taken_effect`].
    pub async fn append<T: Serialize>(&self, id: &str, body: &T) -> Result<u64, PlatformError> {
        self.submit(id, body)?.wait().await
    }

    /// Queues a record and returns a handle to wait for the outcome.
    ///
    /// The record is appended even if the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the worker has stopped.
    pub fn submit<T: Serialize>(&self, id: &str, body: &T) -> Result<AppendHandle, PlatformError> {
        let (reply, receiver) = oneshot::channel();
        let envelope = RecordEnvelope::new(id, body);
        let pending = PendingRecord { id: id.into(), line: envelope.encode(), reply };
        match self.sender.try_send(pending) {
            Ok(()) => Ok(AppendHandle::new(receiver)),
            Err(mpsc::error::TrySendError::Full(_)) => {
                let limit = self.sender.max_capacity();
                Err(PlatformError::new(ErrorKind::QueueFull { limit }))
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Err(PlatformError::new(ErrorKind::Stopped { accepted: false }))
            }
        }
    }
}
