//! Appends snapshots of both streams before the log drops the records that they cover.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::control::{SnapshotLimits, SnapshotSchedule};
use tokio_util::sync::CancellationToken;

use crate::{
    control::ControlCore,
    logs::part,
    state::{SnapshotLog, StateReplica},
};

/// Time between checks whether a snapshot is due.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Number of checks between two reads of the snapshots that other processes appended.
const TICKS_PER_REFRESH: u32 = 30;

/// Appends snapshots of the `config` and `state` streams, in an entry.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    core: Arc<ControlCore>,
    replica: Arc<StateReplica>,
    log: SnapshotLog,
    config: SnapshotSchedule,
    state: SnapshotSchedule,
}

impl SnapshotWriter {
    /// Returns a writer that has not read any snapshot.
    pub(crate) fn new(
        core: Arc<ControlCore>,
        replica: Arc<StateReplica>,
        log: SnapshotLog,
        limits: SnapshotLimits,
    ) -> SnapshotWriter {
        let schedule = SnapshotSchedule::new(limits, core.now());
        SnapshotWriter { core, replica, log, config: schedule.clone(), state: schedule }
    }

    /// Appends snapshots when they are due, until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        if !self.replica.is_candidate() {
            return;
        }
        for tick in 0_u32.. {
            if tick.is_multiple_of(TICKS_PER_REFRESH) {
                self.refresh_schedules().await;
            }
            self.write_config().await;
            self.write_state().await;
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_PERIOD) => {}
            }
        }
    }

    /// Updates both schedules with the last snapshots in the log.
    async fn refresh_schedules(&mut self) {
        let now = self.core.now();
        if let Ok(Some(snapshot)) = self.log.config().await {
            self.config.note_snapshot(now, snapshot.next);
        }
        if let Ok(Some(snapshot)) = self.log.state().await {
            self.state.note_snapshot(now, snapshot.next);
        }
    }

    async fn write_config(&mut self) {
        let now = self.core.now();
        let live = self.core.live_entries();
        let name = &self.core.identity().process.name;
        let names = live.iter().map(|name| &**name);
        if !self.config.due(now, self.core.next_offset(), name, names) {
            return;
        }
        let snapshot = self.core.config_snapshot();
        let next = snapshot.next;
        match self.log.append_config(name, snapshot).await {
            Ok(()) => self.config.note_snapshot(now, next),
            Err(error) => warn(&error),
        }
    }

    async fn write_state(&mut self) {
        let now = self.core.now();
        let live = self.core.live_entries();
        let name = &self.core.identity().process.name;
        let names = live.iter().map(|name| &**name);
        if !self.state.due(now, self.replica.next_offset(), name, names) {
            return;
        }
        let Some(snapshot) = self.replica.snapshot() else { return };
        let next = snapshot.next;
        match self.log.append_state(name, snapshot).await {
            Ok(()) => self.state.note_snapshot(now, next),
            Err(error) => warn(&error),
        }
    }
}

fn warn(error: &dyn std::fmt::Display) {
    log::warn!(target: part::CONTROL, "A snapshot was not appended: {error}.");
}
