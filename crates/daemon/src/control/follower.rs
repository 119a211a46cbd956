//! Follows the `config` stream and appends withdrawals that it does not hold yet.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::record::{CONFIG_STREAM, ConfigRecord};
use pimentorock_platform::{
    envelope::RecordEnvelope, error::PlatformError, log_client::LogClient, wire::LogEntry,
};
use tokio_util::sync::CancellationToken;

use crate::{control::ControlCore, logs::part, state::SnapshotLog};

/// Longest time that one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Delay after a failed read.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time between checks for withdrawals to append.
const APPEND_PERIOD: Duration = Duration::from_millis(500);

/// Reads the `config` stream into the control state and appends missing withdrawals.
#[derive(Debug)]
pub(crate) struct ConfigFollower {
    core: Arc<ControlCore>,
    log: LogClient,
    snapshots: SnapshotLog,
}

impl ConfigFollower {
    /// Returns a follower of the stream at the platform URL `base`.
    pub(crate) fn new(core: Arc<ControlCore>, http: reqwest::Client, base: &str) -> ConfigFollower {
        let snapshots = SnapshotLog::new(http.clone(), base);
        ConfigFollower { core, log: LogClient::new(http, base, CONFIG_STREAM), snapshots }
    }

    /// Reads and appends until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let reading = self.read_all();
        let appending = self.append_all();
        tokio::select! {
            () = stop.cancelled() => {}
            () = reading => {}
            () = appending => {}
        }
    }

    async fn read_all(&self) {
        loop {
            if let Err(error) = self.read_once().await {
                self.core.record_log_failure(&error);
                tokio::time::sleep(RETRY_AFTER).await;
            }
        }
    }

    async fn read_once(&self) -> Result<(), PlatformError> {
        let from = self.core.next_offset();
        let sent = self.core.now();
        let answer = self.log.read(from, READ_WAIT).await?;
        if answer.head > from {
            return self.restore_snapshot(from, answer.head).await;
        }
        for entry in &answer.entries {
            self.apply_entry(entry);
        }
        // If the end lies before the offset that was already read, the log has lost records. Such a
        // read does not confirm the withdrawals.
        if answer.end >= from && self.core.next_offset() >= answer.end {
            self.core.record_log_read(sent);
        }
        Ok(())
    }

    /// Restores the last snapshot, since the log has dropped records that were not read.
    async fn restore_snapshot(&self, from: u64, head: u64) -> Result<(), PlatformError> {
        if let Some(snapshot) = self.snapshots.config().await? {
            self.core.restore_configuration(&snapshot, "a snapshot");
        }
        if self.core.next_offset() < head {
            log::warn!(target: part::CONTROL, "Config records {from} to {head} are no longer in the log, and no snapshot covers them.");
            // A peer may have the missing records. Without them later records cannot be applied.
            self.core.note_gap();
            tokio::time::sleep(RETRY_AFTER).await;
        }
        Ok(())
    }

    fn apply_entry(&self, entry: &LogEntry) {
        let record = RecordEnvelope::decode(&entry.record)
            .and_then(|envelope| envelope.body::<ConfigRecord>());
        match record {
            Ok(record) => self.core.apply(entry.offset, &record),
            Err(error) => {
                log::warn!(target: part::CONTROL, "Config record {} is skipped: {error}.", entry.offset);
                self.core.skip(entry.offset);
            }
        }
    }

    async fn append_all(&self) {
        loop {
            tokio::time::sleep(APPEND_PERIOD).await;
            for withdrawn in self.core.due_appends() {
                // Two processes may append the same withdrawal; the second record has no effect.
                let id = format!("withdraw-{}", withdrawn.hash);
                let record = ConfigRecord::KeyWithdrawn(withdrawn);
                if let Err(error) = self.log.append(&id, &record).await {
                    log::warn!(target: part::CONTROL, "The withdrawal of a key was not appended: {error}.");
                }
            }
        }
    }
}
