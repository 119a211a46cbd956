//! Decides when a snapshot of a stream is appended, and by which process.

use std::time::Duration;

use crate::{control::key_table::short_hash, time::TimePoint};

/// Additional time that a process waits for each process ranked before it.
const RANK_DELAY: Duration = Duration::from_secs(10);

/// Limits that decide how often snapshots are appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Number of records since the last snapshot after which a new one is due.
    pub records: u64,
    /// Time since the last snapshot after which a new one is due if at least one record followed;
    /// must be well below the retention of the log.
    pub age: Duration,
}

impl Default for SnapshotLimits {
    fn default() -> SnapshotLimits {
        SnapshotLimits { records: 5_000, age: Duration::from_secs(1_800) }
    }
}

/// Decides when this process appends a snapshot of one stream.
///
/// Processes are ranked by rendezvous hash of their names and the offset that the last snapshot
/// covers. The first one appends a snapshot at once; each of the others appends one only if none of
/// those ranked before it has.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    limits: SnapshotLimits,
    covered: u64,
    taken: TimePoint,
    due_since: Option<TimePoint>,
}

impl SnapshotSchedule {
    /// Returns a schedule for a stream whose last snapshot is unknown; its age counts from `now`.
    pub fn new(limits: SnapshotLimits, now: TimePoint) -> SnapshotSchedule {
        SnapshotSchedule { limits, covered: 0, taken: now, due_since: None }
    }

    /// Records a snapshot, appended by any process, that covers the stream up to `next`.
    pub fn note_snapshot(&mut self, now: TimePoint, next: u64) {
        if next > self.covered {
            self.covered = next;
            self.taken = now;
            self.due_since = None;
        }
    }

    /// Reports whether this process has to append a snapshot now.
    ///
    /// `next` is the offset that this process reads next, `name` its name, and `live` the names of
    /// all live processes, including `name`.
    pub fn due<'a>(
        &mut self,
        now: TimePoint,
        next: u64,
        name: &str,
        live: impl Iterator<Item = &'a str>,
    ) -> bool {
        let records = next.saturating_sub(self.covered);
        let old = records > 0 && now.since(self.taken) >= self.limits.age;
        if records < self.limits.records && !old {
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        let slot = self.covered.to_string();
        let own = short_hash(&[&slot, name]);
        let rank = live.filter(|other| short_hash(&[&slot, other]) < own).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        now.since(since) >= RANK_DELAY.saturating_mul(rank)
    }
}
