//! Notes crashes of one endpoint and what ran there.

use std::{collections::VecDeque, time::Duration};

use pimentorock_kernel::{
    reason::DecisionReason,
    request::RunOutcome,
    route::{CrashReport, MAX_CRASH_FINGERPRINTS},
    suspect::{SuspectGate, SuspectTable},
    time::TimePoint,
};

/// Crashes that stand in digests.
const MAX_REPORTED_CRASHES: usize = 8;

/// Age up to which a lost run counts as running when the endpoint is found dead.
const MAX_LOST_RUN_AGE: Duration = Duration::from_secs(5);

/// Notes crashes of one endpoint and keeps suspects apart there.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    gate: SuspectGate,
    up: bool,
    engine_run: u64,
    lost_runs: VecDeque<(TimePoint, u64)>,
    crashes: Vec<CrashReport>,
}

impl CrashTracker {
    /// Returns a watch over an endpoint that was not seen up, for one run of the agent.
    ///
    /// Runs of the endpoint are counted from the agent's incarnation on, so that two crashes
    /// never share a name over a restart of the agent.
    pub(crate) fn new(incarnation: u64) -> CrashTracker {
        CrashTracker { engine_run: incarnation, ..CrashTracker::default() }
    }

    /// Returns the run of the endpoint.
    pub(crate) fn engine_run(&self) -> u64 {
        self.engine_run
    }

    /// Returns the latest crashes.
    pub(crate) fn recent_crashes(&self) -> &[CrashReport] {
        &self.crashes
    }

    /// Lets a request start or says why it may not.
    ///
    /// # Errors
    ///
    /// As for [`SuspectGate::admit`].
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

    /// Notes how a run ended.
    pub(crate) fn record_end(&mut self, now: TimePoint, fingerprint: u64, outcome: RunOutcome) {
        self.gate.release(now, fingerprint, outcome == RunOutcome::Completed);
        if outcome == RunOutcome::Lost {
            self.lost_runs.push_back((now, fingerprint));
        }
        while self.lost_runs.front().is_some_and(|(at, _)| now.since(*at) > MAX_LOST_RUN_AGE) {
            self.lost_runs.pop_front();
        }
    }

    /// Notes whether the endpoint `name` answers, with the fingerprints of what runs there.
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
