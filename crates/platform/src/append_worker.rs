//! The background task of a [`LogAppender`](crate::log_appender::LogAppender).

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    append_budget::AppendBudget,
    backoff::RetryBackoff,
    envelope::RecordEnvelope,
    error::{ErrorKind, PlatformError},
    log_client::LogClient,
};

/// Age at which the known end offset is refreshed, so that a search for a batch reads few records.
const MAX_END_AGE: Duration = Duration::from_secs(10);

/// A record that is queued for its append.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    pub(crate) id: Box<str>,
    pub(crate) line: Box<str>,
    pub(crate) reply: oneshot::Sender<Result<u64, PlatformError>>,
}

/// Result of a search for a batch in the log.
enum SearchOutcome {
    /// The first record of the batch has this offset.
    Found(u64),
    /// The log does not hold the batch below this offset.
    Absent(u64),
    /// The log has trimmed offsets that may have held the batch.
    Trimmed,
}

/// Appends batches of records to one stream, one batch at a time.
pub(crate) struct AppendWorker {
    client: LogClient,
    budget: AppendBudget,
    backoff: RetryBackoff,
    receiver: mpsc::Receiver<PendingRecord>,
    cancel: CancellationToken,
    /// A record that did not fit into the last batch and begins the next one.
    deferred: Option<PendingRecord>,
    known_end: Option<KnownEnd>,
}

/// An end offset of the stream; records that are appended after `at` have at least this offset.
#[derive(Clone, Copy)]
struct KnownEnd {
    offset: u64,
    at: Instant,
}

impl AppendWorker {
    pub(crate) fn new(
        client: LogClient,
        budget: AppendBudget,
        backoff: RetryBackoff,
        receiver: mpsc::Receiver<PendingRecord>,
        cancel: CancellationToken,
    ) -> AppendWorker {
        AppendWorker { client, budget, backoff, receiver, cancel, deferred: None, known_end: None }
    }

    /// Appends batches until all senders are dropped or the token is cancelled.
    pub(crate) async fn run(mut self) {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            () = cancel.cancelled() => {}
            () = self.append_batches() => {}
        }
    }

    async fn append_batches(&mut self) {
        let mut next_start = Instant::now();
        while let Some(first) = self.next_record().await {
            sleep_until(next_start).await;
            next_start = Instant::now() + self.budget.interval;
            let batch = self.collect_batch(first);
            self.append_batch(batch).await;
        }
    }

    async fn next_record(&mut self) -> Option<PendingRecord> {
        match self.deferred.take() {
            Some(record) => Some(record),
            None => self.receiver.recv().await,
        }
    }

    /// Returns a batch of `first` and the records queued behind it, within the budget.
    fn collect_batch(&mut self, first: PendingRecord) -> Vec<PendingRecord> {
        let mut bytes = first.line.len();
        let mut batch = vec![first];
        while batch.len() < self.budget.max_records {
            let Ok(record) = self.receiver.try_recv() else { break };
            bytes += record.line.len();
            if bytes > self.budget.max_bytes {
                self.deferred = Some(record);
                break;
            }
            batch.push(record);
        }
        batch
    }

    /// Retries the append of a batch until its outcome is known, or can no longer be found out because
    /// the log was trimmed, and reports the outcome to the callers.
    async fn append_batch(&mut self, batch: Vec<PendingRecord>) {
        let lines: Vec<Box<str>> = batch.iter().map(|record| record.line.clone()).collect();
        let mut start = self.known_end_offset().await;
        loop {
            let error = match self.client.append_all(lines.clone()).await {
                Ok(first) => return self.report_appended(batch, first),
                Err(error) => error,
            };
            if error.is_permanent() {
                return self.handle_rejection(batch, error).await;
            }
            self.warn_append_delayed(&error);
            self.pause().await;
            if !error.may_have_taken_effect() {
                continue;
            }
            match self.find_batch(start, &batch[0].id).await {
                SearchOutcome::Found(first) => return self.report_appended(batch, first),
                SearchOutcome::Absent(end) => start = end,
                SearchOutcome::Trimmed => return self.report_trimmed(batch),
            }
        }
    }

    /// Sends each caller the offset of its record.
    fn report_appended(&mut self, batch: Vec<PendingRecord>, first: u64) {
        self.backoff.reset();
        let offset = first + batch.len() as u64;
        self.known_end = Some(KnownEnd { offset, at: Instant::now() });
        for (offset, record) in (first..).zip(batch) {
            // The send fails if the caller has dropped its handle and needs no answer.
            _ = record.reply.send(Ok(offset));
        }
    }

    /// Reports a rejected record to its caller, or appends each record of a rejected batch alone to
    /// find the records that the platform rejects.
    async fn handle_rejection(&mut self, mut batch: Vec<PendingRecord>, error: PlatformError) {
        if batch.len() > 1 {
            for record in batch {
                Box::pin(self.append_batch(vec![record])).await;
            }
            return;
        }
        if let Some(record) = batch.pop() {
            _ = record.reply.send(Err(error));
        }
    }

    /// Tells the callers that the outcome is unknown because the log was trimmed.
    fn report_trimmed(&mut self, batch: Vec<PendingRecord>) {
        self.known_end = None;
        for record in batch {
            let id = record.id;
            _ = record.reply.send(Err(PlatformError::new(ErrorKind::Trimmed { id })));
        }
    }

    /// Returns an end offset of the stream, which is a lower bound for the offsets of the next
    /// batch.
    async fn known_end_offset(&mut self) -> u64 {
        loop {
            if let Some(end) = self.known_end
                && end.at.elapsed() < MAX_END_AGE
            {
                return end.offset;
            }
            let at = Instant::now();
            match (self.client.end().await, self.known_end) {
                (Ok(offset), _) => self.known_end = Some(KnownEnd { offset, at }),
                // An old end offset is still a valid lower bound and only makes a search longer.
                (Err(_), Some(end)) => return end.offset,
                (Err(error), None) => {
                    self.warn_append_delayed(&error);
                    self.pause().await;
                }
            }
        }
    }

    /// Searches the log from offset `start` to its end for the batch whose first record is `id`.
    ///
    /// Batches are appended atomically, so the first record shows whether the log holds the batch.
    async fn find_batch(&mut self, start: u64, id: &str) -> SearchOutcome {
        let mut from = start;
        loop {
            let asked = from;
            let answer = match self.client.read(asked, Duration::ZERO).await {
                Ok(answer) => answer,
                Err(error) => {
                    self.warn_append_delayed(&error);
                    self.pause().await;
                    continue;
                }
            };
            for entry in &answer.entries {
                let envelope = RecordEnvelope::decode(&entry.record);
                if envelope.is_ok_and(|envelope| envelope.id() == id) {
                    return SearchOutcome::Found(entry.offset);
                }
                from = from.max(entry.offset + 1);
            }
            // `head` is the lowest offset that the log still holds.
            if answer.head > asked {
                return SearchOutcome::Trimmed;
            }
            if answer.entries.is_empty() || from >= answer.end {
                return SearchOutcome::Absent(from);
            }
        }
    }

    async fn pause(&mut self) {
        let pause = self.backoff.next_pause();
        sleep(pause).await;
    }

    /// Logs that the append waits for a retry, after a failed append, search or query of the end.
    fn warn_append_delayed(&self, error: &PlatformError) {
        log::warn!(target: "log", "append to stream \"{}\" delayed: {error}", self.client.stream());
    }
}
