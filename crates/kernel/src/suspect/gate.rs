//! Keeps suspects apart at one endpoint.

use crate::{
    reason::DecisionReason,
    suspect::{SuspectTable, SuspectVerdict},
    time::TimePoint,
};

/// Lets one suspect at a time run at an endpoint; the agent beside it keeps one gate.
///
/// The agent is the only writer to its endpoint, so no two suspects run there together,
/// whichever entries sent them. A send that an entry marks as isolated carries the entry's
/// [`SuspectTable::report`], so that the gate knows what it must be kept apart from.
#[derive(Debug, Default)]
pub struct SuspectGate {
    table: SuspectTable,
    running: Option<u64>,
}

impl SuspectGate {
    /// Returns an open gate that knows no suspect.
    pub fn new() -> SuspectGate {
        SuspectGate::default()
    }

    /// Takes the suspects of an entry.
    pub fn merge(&mut self, now: TimePoint, report: &SuspectTable) {
        self.table.advance(now);
        self.table.merge(report);
    }

    /// Notes a crash of the own endpoint.
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

    /// Lets a request start, or says why it may not; it was then not run.
    ///
    /// `isolated` tells whether the entry sent it as a suspect, and `running` holds the
    /// fingerprints at the endpoint now. A suspect holds the gate until
    /// [`release`](SuspectGate::release).
    ///
    /// # Errors
    ///
    /// Fails with [`DecisionReason::SuspectedOfCrashes`] for a request that no endpoint may run,
    /// and with [`DecisionReason::IsolatedAfterCrash`] for a suspect that came while another one
    /// runs, or through an entry that did not know yet that it is one.
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

    /// Opens the gate when the suspect that holds it ended; `completed` proves its innocence.
    pub fn release(&mut self, now: TimePoint, fingerprint: u64, completed: bool) {
        self.running = self.running.filter(|&running| running != fingerprint);
        if completed {
            self.table.exonerate(now, fingerprint);
        }
    }
}
