//! Reads one stream of the log continuously.

use std::{
    collections::{HashSet, VecDeque},
    marker::PhantomData,
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    backoff::RetryBackoff,
    envelope::RecordEnvelope,
    error::PlatformError,
    log_client::LogClient,
    read_event::ReadEvent,
    wire::{LogEntry, ReadAnswer},
};

/// Number of most recent identifiers that are remembered to detect duplicates.
///
/// A duplicate follows the first copy within the appender's timeout and backoff, which is a few
/// seconds. The whole fleet appends at most a few thousand records in that time.
const MAX_REMEMBERED_IDS: usize = 8192;

/// Default time that the platform may hold one read open until a record is available.
const DEFAULT_READ_WAIT: Duration = Duration::from_secs(1);

/// Reads one stream from a given offset on, retries failed reads and skips damaged records.
#[derive(Debug)]
pub struct LogReader<T> {
    client: LogClient,
    next: u64,
    wait: Duration,
    backoff: RetryBackoff,
    failing: bool,
    events: VecDeque<ReadEvent<T>>,
    seen: HashSet<Box<str>>,
    seen_order: VecDeque<Box<str>>,
    body: PhantomData<T>,
}

impl<T: DeserializeOwned> LogReader<T> {
    /// Returns a reader whose first read begins at offset `from`.
    pub fn new(client: LogClient, from: u64) -> LogReader<T> {
        LogReader {
            client,
            next: from,
            wait: DEFAULT_READ_WAIT,
            backoff: RetryBackoff::default(),
            failing: false,
            events: VecDeque::new(),
            seen: HashSet::new(),
            seen_order: VecDeque::new(),
            body: PhantomData,
        }
    }

    /// Sets how long the platform may hold one read open until a record is available.
    pub fn with_wait(mut self, wait: Duration) -> LogReader<T> {
        self.wait = wait;
        self
    }

    /// Sets the backoff between retries of a failed read.
    pub fn with_backoff(mut self, backoff: RetryBackoff) -> LogReader<T> {
        self.backoff = backoff;
        self
    }

    /// Continues at offset `from`, after the earlier state was loaded from a snapshot or a peer.
    pub fn seek(&mut self, from: u64) {
        self.next = from;
        self.events.clear();
        // After a seek to a lower offset, records are read a second time and must not be reported as
        // duplicates.
        self.seen.clear();
        self.seen_order.clear();
    }

    /// Reports whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Returns the next event, or `None` once `cancel` is cancelled.
    ///
    /// A failed read produces no event: the reader retries with backoff until a read succeeds.
    pub async fn next(&mut self, cancel: &CancellationToken) -> Option<ReadEvent<T>> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Some(event);
            }
            tokio::select! {
                biased;
                () = cancel.cancelled() => return None,
                () = self.fetch() => {}
            }
        }
    }

    /// Sends one read and queues its events, or sleeps for the backoff if the read fails.
    async fn fetch(&mut self) {
        let sent = Instant::now();
        let answer = self.client.read(self.next, self.wait).await;
        match answer.and_then(|answer| self.check_end(answer)) {
            Ok(answer) => {
                if std::mem::take(&mut self.failing) {
                    log::info!(
                        target: "log",
                        "stream \"{}\" can be read again",
                        self.client.stream()
                    );
                }
                self.backoff.reset();
                self.queue_events(answer, sent);
            }
            Err(error) => {
                if !std::mem::replace(&mut self.failing, true) {
                    let stream = self.client.stream();
                    log::warn!(
                        target: "log",
                        "stream \"{stream}\" cannot be read, retrying: {error}"
                    );
                }
                sleep(self.backoff.next_pause()).await;
            }
        }
    }

    /// Rejects an answer whose end offset lies below the next offset to read.
    ///
    /// Such an answer comes from a log that has lost records. The records that were already
    /// delivered cannot be undone, and the reader must not report that it has caught up.
    fn check_end(&self, answer: ReadAnswer) -> Result<ReadAnswer, PlatformError> {
        if answer.end >= self.next {
            return Ok(answer);
        }
        let problem = format!(
            "the log ends at offset {}, below the expected offset {}",
            answer.end, self.next
        );
        Err(PlatformError::damaged(&problem))
    }

    /// Queues the events of one answer to a read that was sent at `sent`.
    fn queue_events(&mut self, answer: ReadAnswer, sent: Instant) {
        for entry in answer.entries {
            if entry.offset < self.next {
                continue;
            }
            self.report_trimmed(entry.offset);
            self.next = entry.offset + 1;
            let event = self.decode(&entry);
            self.events.push_back(event);
        }
        self.report_trimmed(answer.head);
        if self.next >= answer.end {
            self.events.push_back(ReadEvent::CaughtUp { end: answer.end, sent });
        }
    }

    /// Queues a [`ReadEvent::Trimmed`] for the offsets from the next one up to `head`, the lowest
    /// offset that the log still holds, if there are any.
    fn report_trimmed(&mut self, head: u64) {
        if head > self.next {
            self.events.push_back(ReadEvent::Trimmed { from: self.next, head });
            self.next = head;
        }
    }

    /// Decodes one log entry into an event.
    fn decode(&mut self, entry: &LogEntry) -> ReadEvent<T> {
        let offset = entry.offset;
        let damaged = |error: PlatformError| {
            log::error!(target: "log", "skipping record at offset {offset}: {error}");
            ReadEvent::Damaged { offset, problem: error.to_string().into() }
        };
        let envelope = match RecordEnvelope::decode(&entry.record) {
            Ok(envelope) => envelope,
            Err(error) => return damaged(error),
        };
        let id: Box<str> = envelope.id().into();
        if self.seen.contains(&id) {
            return ReadEvent::Duplicate { offset, id };
        }
        match envelope.body() {
            Ok(body) => {
                self.remember_id(id.clone());
                ReadEvent::Entry { offset, at_ms: entry.at_ms, id, body }
            }
            Err(error) => damaged(error),
        }
    }

    /// Remembers an identifier and forgets the oldest one above the limit.
    fn remember_id(&mut self, id: Box<str>) {
        self.seen.insert(id.clone());
        self.seen_order.push_back(id);
        if self.seen_order.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
    }
}
