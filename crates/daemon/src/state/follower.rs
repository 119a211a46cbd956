//! Follows the `state` stream and appends the records of this process to it.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::record::{STATE_STREAM, StateRecord};
use pimentorock_platform::{
    envelope::RecordEnvelope, log_client::LogClient, log_reader::LogReader, read_event::ReadEvent,
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::ControlCore,
    logs::part,
    state::{SnapshotLog, StateReplica},
};

/// Time between checks for records to append.
const APPEND_PERIOD: Duration = Duration::from_millis(100);

/// Number of checks between two appends of usage counts.
const TICKS_PER_BATCH: u32 = 20;

/// Reads the `state` stream into the replica and appends the records that are due.
#[derive(Debug)]
pub(crate) struct StateFollower {
    core: Arc<ControlCore>,
    replica: Arc<StateReplica>,
    log: LogClient,
    snapshots: SnapshotLog,
}

impl StateFollower {
    /// Returns a follower of the stream at the platform URL `base`.
    pub(crate) fn new(
        core: Arc<ControlCore>,
        replica: Arc<StateReplica>,
        http: reqwest::Client,
        base: &str,
    ) -> StateFollower {
        let snapshots = SnapshotLog::new(http.clone(), base);
        StateFollower { core, replica, log: LogClient::new(http, base, STATE_STREAM), snapshots }
    }

    /// Reads and appends until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::join!(self.read_all(&stop), self.append_all(&stop));
    }

    async fn read_all(&self, stop: &CancellationToken) {
        self.restore().await;
        let from = self.replica.next_offset();
        let mut reader: LogReader<StateRecord> = LogReader::new(self.log.clone(), from);
        while let Some(event) = reader.next(stop).await {
            match event {
                ReadEvent::Entry { offset, at_ms, body, .. } => {
                    let is_alive = |process: &_| self.core.is_alive(process);
                    self.replica.read(offset, at_ms, &body, is_alive);
                }
                ReadEvent::Damaged { offset, problem } => {
                    self.replica.skip(offset);
                    log::warn!(target: part::CONTROL, "State record {offset} is skipped: {problem}.");
                }
                ReadEvent::Trimmed { from, head } => {
                    self.replica.note_gap(from, head);
                    if self.restore().await && self.replica.next_offset() > head {
                        reader.seek(self.replica.next_offset());
                    }
                }
                _ => {}
            }
        }
    }

    /// Restores the last snapshot and reports whether it was newer than the replica.
    async fn restore(&self) -> bool {
        if !self.replica.is_candidate() {
            return false;
        }
        match self.snapshots.state().await {
            Ok(Some(snapshot)) => self.replica.restore(&snapshot),
            Ok(None) => false,
            Err(error) => {
                log::warn!(target: part::CONTROL, "The snapshot of the state stream could not be read: {error}.");
                false
            }
        }
    }

    async fn append_all(&self, stop: &CancellationToken) {
        let mut tick = 0;
        while !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(APPEND_PERIOD) => {}
            }
            self.replica.observe(self.core.lease_rank());
            tick += 1;
            let batches = tick % TICKS_PER_BATCH == 0;
            let records = self.replica.next_appends(batches || self.core.is_closing());
            if !records.is_empty() {
                self.append(&records).await;
            }
        }
    }

    /// Appends records without retries; the replica returns records again that are not read back.
    async fn append(&self, records: &[StateRecord]) {
        let process = &self.core.identity().process;
        let lines = records.iter().map(|record| {
            let id = format!("{process}-{:032x}", rand::random::<u128>());
            RecordEnvelope::new(&id, record).encode()
        });
        if let Err(error) = self.log.append_all(lines.collect()).await {
            log::debug!(target: part::CONTROL, "An append of state records was not confirmed: {error}.");
        }
    }
}
