//! Counts of what was served: an agent's, and an entry's until the agent's are in the log.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use pimentorock_kernel::{
    control::{UsageBackup, UsageMeter},
    ids::ProcessId,
    record::{StateRecord, UsageCounts},
    request::RunOutcome,
};

use crate::{clock::wall_ms, event_stream::TokenUsage};

/// Returns the number of the usage window that was open the time `ago` before now.
pub(crate) fn open_window(length: Duration, ago: Duration) -> u64 {
    wall_ms().saturating_sub(ago.as_millis() as u64) / window_ms(length)
}

/// Returns the length of a window in milliseconds, at least one.
pub(crate) fn window_ms(length: Duration) -> u64 {
    (length.as_millis() as u64).max(1)
}

/// Returns what a client account is billed for one attempt.
///
/// Billed are whole answers, and what a caller got that hung up; an answer that the endpoint
/// cut is not.
pub(crate) fn billed(outcome: RunOutcome, usage: TokenUsage, prompt_estimate: u32) -> UsageCounts {
    let served = match outcome {
        RunOutcome::Completed => true,
        RunOutcome::Cancelled => usage.output > 0,
        RunOutcome::NotRun | RunOutcome::Failed | RunOutcome::Lost => false,
    };
    if !served {
        return UsageCounts::default();
    }
    let prompt_tokens = if usage.prompt > 0 { usage.prompt } else { u64::from(prompt_estimate) };
    UsageCounts { requests: 1, prompt_tokens, output_tokens: usage.output }
}

/// Names one attempt on the link from an entry to an agent's run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptTicket {
    /// The agent's run.
    pub(crate) agent: ProcessId,
    /// Number of the attempt, from 1.
    pub(crate) number: u64,
}

/// An entry's counts.
#[derive(Debug)]
pub(crate) struct UsageEntry {
    witness: Mutex<UsageBackup>,
}

impl UsageEntry {
    /// Returns the counts of an entry's run that has served nothing.
    pub(crate) fn new(entry: ProcessId) -> UsageEntry {
        UsageEntry { witness: Mutex::new(UsageBackup::new(entry)) }
    }

    /// Notes an attempt that is about to be sent to the agent's run.
    pub(crate) fn begin(&self, agent: &ProcessId) -> AttemptTicket {
        AttemptTicket { agent: agent.clone(), number: self.lock().begin(agent) }
    }

    /// Notes the end of an attempt.
    pub(crate) fn end(
        &self,
        ticket: &AttemptTicket,
        window: Duration,
        account: &str,
        counts: UsageCounts,
    ) {
        self.lock().end(
            &ticket.agent,
            ticket.number,
            open_window(window, Duration::ZERO),
            account,
            counts,
        );
    }

    /// Notes that an agent's run has ended without a last batch.
    pub(crate) fn agent_lost(&self, agent: &ProcessId) {
        self.lock().agent_lost(agent);
    }

    /// Returns how many attempts the log does not hold yet.
    pub(crate) fn open_attempts(&self) -> usize {
        self.lock().open_attempts()
    }

    /// Returns the records to append now.
    pub(crate) fn next_appends(&self) -> Vec<StateRecord> {
        self.lock().next_appends()
    }

    /// Takes a record of the `state` stream.
    pub(crate) fn read(&self, record: &StateRecord) {
        self.lock().read(record);
    }

    /// Forgets open attempts after records were missed.
    pub(crate) fn forget(&self) -> usize {
        self.lock().forget()
    }

    fn lock(&self) -> MutexGuard<'_, UsageBackup> {
        self.witness.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// An agent's counts.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    meter: Mutex<UsageMeter>,
}

impl UsageCounter {
    /// Returns the counts of an agent's run that has served nothing.
    pub(crate) fn new(agent: ProcessId) -> UsageCounter {
        UsageCounter { meter: Mutex::new(UsageMeter::new(agent)) }
    }

    /// Returns the run that entries must name with their attempts.
    pub(crate) fn run(&self) -> ProcessId {
        self.lock().run().clone()
    }

    /// Counts an attempt that ended.
    pub(crate) fn count(
        &self,
        entry: &ProcessId,
        number: u64,
        window: Duration,
        account: &str,
        counts: UsageCounts,
    ) {
        self.lock().count(entry, number, open_window(window, Duration::ZERO), account, counts);
    }

    /// Returns the record to append now.
    pub(crate) fn next_append(&self) -> Option<StateRecord> {
        self.lock().next_append()
    }

    /// Takes a record of the `state` stream; a run that was fenced is followed by another.
    pub(crate) fn read(&self, record: &StateRecord, closing: bool) {
        let mut meter = self.lock();
        meter.read(record);
        if meter.is_fenced() && !closing {
            let former = meter.run();
            let incarnation = wall_ms().max(former.incarnation + 1);
            *meter = UsageMeter::new(ProcessId { name: former.name.clone(), incarnation });
        }
    }

    /// Begins a planned stop: the run fences itself after its last batch.
    pub(crate) fn close(&self) {
        self.lock().close();
    }

    /// Returns whether the run is fenced, so that nothing of it is missing in the log.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().is_fenced()
    }

    fn lock(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
