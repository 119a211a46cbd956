//! Usage counts of an agent, and an entry's backup of them until they are in the log.

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

/// Returns the number of the usage window that was open `ago` before the current time.
pub(crate) fn open_window(length: Duration, ago: Duration) -> u64 {
    wall_ms().saturating_sub(ago.as_millis() as u64) / window_ms(length)
}

/// Returns the length of a usage window in milliseconds, at least 1.
pub(crate) fn window_ms(length: Duration) -> u64 {
    (length.as_millis() as u64).max(1)
}

/// Returns the usage that a client account is billed for one attempt.
///
/// The account is billed for complete answers, and for the received part of an answer if the caller
/// cancelled the request. It is not billed for an answer that the endpoint broke off. The estimate
/// replaces the prompt tokens if the endpoint reported none.
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

/// Identifies one of an entry's attempts at a run of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptTicket {
    /// Run of the agent.
    pub(crate) agent: ProcessId,
    /// Number of the attempt at this run, counted from 1.
    pub(crate) number: u64,
}

/// An entry's backup of the usage counts that agents have not written to the log yet.
#[derive(Debug)]
pub(crate) struct BackupCounter {
    backup: Mutex<UsageBackup>,
}

impl BackupCounter {
    /// Returns a backup without attempts for the run `entry` of this process.
    pub(crate) fn new(entry: ProcessId) -> BackupCounter {
        BackupCounter { backup: Mutex::new(UsageBackup::new(entry)) }
    }

    /// Records an attempt that is about to be sent to the run `agent`.
    pub(crate) fn begin(&self, agent: &ProcessId) -> AttemptTicket {
        AttemptTicket { agent: agent.clone(), number: self.lock().begin(agent) }
    }

    /// Records the end of an attempt.
    ///
    /// `window` is the length of a usage window.
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

    /// Records that an agent's run ended and will not append its last batch.
    pub(crate) fn agent_lost(&self, agent: &ProcessId) {
        self.lock().agent_lost(agent);
    }

    /// Returns the number of attempts whose counts the log does not hold yet.
    pub(crate) fn open_attempts(&self) -> usize {
        self.lock().open_attempts()
    }

    /// Returns the records to append now.
    pub(crate) fn next_appends(&self) -> Vec<StateRecord> {
        self.lock().next_appends()
    }

    /// Applies a record of the `state` stream.
    pub(crate) fn read(&self, record: &StateRecord) {
        self.lock().read(record);
    }

    /// Drops the open attempts after missed records and returns their number.
    pub(crate) fn forget(&self) -> usize {
        self.lock().forget()
    }

    fn lock(&self) -> MutexGuard<'_, UsageBackup> {
        self.backup.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// An agent's usage counts.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    meter: Mutex<UsageMeter>,
}

impl UsageCounter {
    /// Returns a counter without counts for the run `agent` of this process.
    pub(crate) fn new(agent: ProcessId) -> UsageCounter {
        UsageCounter { meter: Mutex::new(UsageMeter::new(agent)) }
    }

    /// Returns the run for which entries number their attempts.
    pub(crate) fn run(&self) -> ProcessId {
        self.lock().run().clone()
    }

    /// Counts an attempt that ended.
    ///
    /// `number` is the number of the attempt of `entry` at this run; `window` is the length of a
    /// usage window.
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

    /// Returns the record to append now, or `None` if there is none.
    pub(crate) fn next_append(&self) -> Option<StateRecord> {
        self.lock().next_append()
    }

    /// Applies a record of the `state` stream.
    ///
    /// If the run is fenced and no planned stop has begun, a new run with a higher incarnation
    /// starts.
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

    /// Reports whether the run is fenced, so that it has no more counts to append.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().is_fenced()
    }

    fn lock(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
