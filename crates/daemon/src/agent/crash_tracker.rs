//! Records the crashes of one endpoint and the requests that were running at each crash.

use std::{collections::VecDeque, time::Duration};

use pimentorock_kernel::{
    reason::DecisionReason,
    request::RunOutcome,
    route::{CrashReport, MAX_CRASH_FINGERPRINTS},
    suspect::{SuspectGate, SuspectTable},
    time::TimePoint,
};

/// Maximum number of crashes that are listed in a digest.
const MAX_REPORTED_CRASHES: usize = 8;

/// Maximum age of a lost run that still counts as running when a crash is detected.
const MAX_LOST_RUN_AGE: Duration = Duration::from_secs(5);

/// Records the crashes of one endpoint and isolates requests suspected of crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    gate: SuspectGate,
    up: bool,
    /// Number of the endpoint's current start, which increases each time the endpoint comes up.
    engine_run: u64,
    /// Time and fingerprint of each lost run since the last crash. Runs older than
    /// [`MAX_LOST_RUN_AGE`] are removed only when a run ends, so that some may be older.
    lost_runs: VecDeque<(TimePoint, u64)>,
    crashes: Vec<CrashReport>,
}

impl CrashTracker {
    /// Returns a tracker for an endpoint that has not been up since the agent started.
    ///
    /// The number of the endpoint's start begins at the agent's incarnation, so that crash
    /// identifiers remain unique when the agent restarts.
    pub(crate) fn new(incarnation: u64) -> CrashTracker {
        CrashTracker { engine_run: incarnation, ..CrashTracker::default() }
    }

    /// Returns the number of the endpoint's current start.
    pub(crate) fn engine_run(&self) -> u64 {
        self.engine_run
    }

    /// Returns the latest crashes, the oldest first.
    pub(crate) fn recent_crashes(&self) -> &[CrashReport] {
        &self.crashes
    }

    /// Checks whether a request may start, given the fingerprints of the running requests.
    ///
    /// # Errors
    ///
    /// Returns [`DecisionReason::SuspectedOfCrashes`] for a request that no endpoint may run, and
    /// [`DecisionReason::IsolatedAfterCrash`] for a suspected request that must not start now; see
    /// [`SuspectGate::admit`].
    pub(crate) fn admit(
        &mut self,
        now: TimePoint,
        fingerprint: u64,
        isolated: bool,
        suspects: Option<&SuspectTable>,
        running: &[u64],
    ) -> Result<(), DecisionReason> {
        if let Some(report) = suspects {
            self.gate.merge(now, report);
        }
        self.gate.admit(now, fingerprint, isolated, running)
    }

    /// Records the outcome of a run and ends the isolation of its request; a completed run also
    /// clears the request of suspicion.
    pub(crate) fn record_end(&mut self, now: TimePoint, fingerprint: u64, outcome: RunOutcome) {
        self.gate.release(now, fingerprint, outcome == RunOutcome::Completed);
        if outcome == RunOutcome::Lost {
            self.lost_runs.push_back((now, fingerprint));
        }
        while self.lost_runs.front().is_some_and(|(at, _)| now.since(*at) > MAX_LOST_RUN_AGE) {
            self.lost_runs.pop_front();
        }
    }

    /// Records whether the endpoint `name` is up.
    ///
    /// A change from up to down is recorded as a crash. `running` holds the fingerprints of the
    /// requests that run at the endpoint.
    pub(crate) fn record_health(&mut self, now: TimePoint, name: &str, up: bool, running: &[u64]) {
        if up && !self.up {
            self.engine_run += 1;
        }
        if self.up && !up {
            self.record_crash(now, name, running);
        }
        self.up = up;
    }

    fn record_crash(&mut self, now: TimePoint, name: &str, running: &[u64]) {
        let lost = self.lost_runs.drain(..).map(|(_, fingerprint)| fingerprint);
        let mut fingerprints: Vec<u64> = lost.chain(running.iter().copied()).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.truncate(MAX_CRASH_FINGERPRINTS);
        self.gate.record_crash(now, name, self.engine_run, &fingerprints);
        self.crashes.push(CrashReport { crash_id: self.engine_run, fingerprints });
        if self.crashes.len() > MAX_REPORTED_CRASHES {
            self.crashes.remove(0);
        }
    }
}
