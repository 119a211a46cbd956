//! Admission control for suspects at one endpoint.

use crate::{
    reason::DecisionReason,
    suspect::{SuspectTable, SuspectVerdict},
    time::TimePoint,
};

/// Admits one suspect at a time to an endpoint; the agent of the endpoint owns the gate.
///
/// All requests reach the endpoint through its agent, so two suspects never run there together,
/// even if different entries sent them. A request that an entry marks as isolated carries the
/// [`SuspectTable::report`] of that entry, so that the gate knows from which other requests the
/// suspect must be isolated.
#[derive(Debug, Default)]
pub struct SuspectGate {
    table: SuspectTable,
    running: Option<u64>,
}

impl SuspectGate {
    /// Returns a gate without known suspects and without a running suspect.
    pub fn new() -> SuspectGate {
        SuspectGate::default()
    }

    /// Merges the suspects that an entry reported.
    pub fn merge(&mut self, now: TimePoint, report: &SuspectTable) {
        self.table.advance(now);
        self.table.merge(report);
    }

    /// Records a crash of the endpoint behind this gate.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        self.table.record_crash(now, endpoint, crash_id, fingerprints);
        self.running = None;
    }

    /// Admits a request to the endpoint, or returns the reason why the request must not start.
    ///
    /// `isolated` is true if the entry sent the request as a suspect, and `running` contains the
    /// fingerprints of the requests that run at the endpoint. An isolated request occupies the
    /// gate until [`release`](SuspectGate::release).
    ///
    /// # Errors
    ///
    /// Returns [`DecisionReason::SuspectedOfCrashes`] for a request that no endpoint may run, and
    /// [`DecisionReason::IsolatedAfterCrash`] for a suspect that arrives while another suspect
    /// runs, or that was sent by an entry that did not know yet that the request is a suspect.
    pub fn admit(
        &mut self,
        now: TimePoint,
        fingerprint: u64,
        isolated: bool,
        running: &[u64],
    ) -> Result<(), DecisionReason> {
        match self.table.verdict(now, fingerprint) {
            SuspectVerdict::Refuse => return Err(DecisionReason::SuspectedOfCrashes),
            SuspectVerdict::Isolate if !isolated => return Err(DecisionReason::IsolatedAfterCrash),
            _ if !isolated => return Ok(()),
            _ => {}
        }
        let suspected = |&other: &u64| self.table.verdict(now, other) != SuspectVerdict::Clear;
        if self.running.is_some() || running.iter().any(suspected) {
            return Err(DecisionReason::IsolatedAfterCrash);
        }
        self.running = Some(fingerprint);
        Ok(())
    }

    /// Releases the gate if the request with `fingerprint` occupies it.
    ///
    /// If `completed` is true, the request is also exonerated, since it ran without a crash.
    pub fn release(&mut self, now: TimePoint, fingerprint: u64, completed: bool) {
        self.running = self.running.filter(|&running| running != fingerprint);
        if completed {
            self.table.exonerate(now, fingerprint);
        }
    }
}
