//! What must not wait for the next exchange of the versions of streams.

use std::{sync::MutexGuard, time::Duration};

use pimentorock_kernel::{stream_origin::OriginRecord, time::TimePoint};
use tokio::sync::{Notify, watch};

use crate::state_lock::StateLock;

/// Wakes the tasks that exchange the versions of streams with the store and the hub.
#[derive(Debug)]
pub(crate) struct OriginCalls {
    read: Notify,
    write: Notify,
    records: Notify,
    /// Time at which the last complete read of the store was sent.
    read_at: watch::Sender<TimePoint>,
    /// Records that the hub should have at once.
    urgent: StateLock<Vec<OriginRecord>>,
}

impl OriginCalls {
    /// Returns calls of which none is wanted.
    pub(crate) fn new() -> OriginCalls {
        OriginCalls {
            read: Notify::new(),
            write: Notify::new(),
            records: Notify::new(),
            read_at: watch::Sender::new(TimePoint::ZERO),
            urgent: StateLock::new(Vec::new()),
        }
    }

    /// Waits until everything in the store was read by a call that was sent at `since` or later, for
    /// `max_wait` at most, and returns whether it was.
    pub(crate) async fn read_since(&self, since: TimePoint, max_wait: Duration) -> bool {
        let mut reads = self.read_at.subscribe();
        self.want_read();
        let reading = reads.wait_for(|read_at| *read_at >= since);
        tokio::time::timeout(max_wait, reading).await.is_ok_and(|read| read.is_ok())
    }

    /// Asks for a read of the store.
    pub(crate) fn want_read(&self) {
        self.read.notify_one();
    }

    /// Notes that everything in the store was read by a call that was sent at `sent_at`.
    pub(crate) fn note_read(&self, sent_at: TimePoint) {
        self.read_at.send_replace(sent_at);
    }

    /// Waits until a read is wanted.
    pub(crate) async fn read_wanted(&self) {
        self.read.notified().await;
    }

    /// Asks for a write to the store.
    pub(crate) fn want_write(&self) {
        self.write.notify_one();
    }

    /// Waits until a write is wanted.
    pub(crate) async fn write_wanted(&self) {
        self.write.notified().await;
    }

    /// Keeps `records` for the hub, and wakes the task that passes them on.
    pub(crate) fn pass_on(&self, records: Vec<OriginRecord>) {
        if !records.is_empty() {
            self.urgent().extend(records);
            self.records.notify_one();
        }
    }

    /// Waits until there are records to pass on.
    pub(crate) async fn records_wanted(&self) {
        self.records.notified().await;
    }

    /// Returns the records to pass on, which are then no longer kept.
    pub(crate) fn take_records(&self) -> Vec<OriginRecord> {
        std::mem::take(&mut *self.urgent())
    }

    fn urgent(&self) -> MutexGuard<'_, Vec<OriginRecord>> {
        self.urgent.lock()
    }
}
