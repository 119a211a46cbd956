//! An entry's backup of its agents' usage counts.
//!
//! The entry appends the counts that a lost agent did not write to the log.

use std::collections::BTreeMap;

use crate::{
    control::usage_meter::UsageSums,
    ids::ProcessId,
    record::{StateRecord, UsageBatch, UsageCounts, UsageFence, UsageSupplement},
};

/// Counts of one attempt that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AttemptCount {
    window: u64,
    account: Box<str>,
    counts: UsageCounts,
}

/// Attempts that the entry sent to one run of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AgentAttempts {
    /// Number of the last attempt.
    last: u64,
    /// Attempts that no batch covers; `None` while an attempt runs.
    open: BTreeMap<u64, Option<AttemptCount>>,
    /// Whether the agent's run was reported as lost.
    lost: bool,
    /// Whether the log contains a fence of the agent's run.
    fenced: bool,
}

/// Keeps an entry's counts of attempts that are not in the log yet.
///
/// The attempts that a batch of the agent covers are removed. If the agent is lost, the entry
/// appends a fence for the agent's run and waits until it reads the fence. By then it has read
/// every batch that takes effect, and it appends the remaining counts as a supplement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UsageBackup {
    entry: ProcessId,
    sequence: u64,
    /// Attempts by run of the agent.
    by_agent: BTreeMap<ProcessId, AgentAttempts>,
    /// Counts for the next supplement of each fenced run.
    sums: BTreeMap<ProcessId, UsageSums>,
    /// Supplement that has not been read back from the log.
    pending: Option<UsageSupplement>,
}

impl UsageBackup {
    /// Returns a backup without attempts.
    pub fn new(entry: ProcessId) -> UsageBackup {
        let (by_agent, sums) = (BTreeMap::new(), BTreeMap::new());
        UsageBackup { entry, sequence: 0, by_agent, sums, pending: None }
    }

    /// Records an attempt that is about to be sent to the agent's run.
    ///
    /// Returns the attempt's number, which the entry sends to the agent with the request.
    pub fn begin(&mut self, agent: &ProcessId) -> u64 {
        let attempts = self.by_agent.entry(agent.clone()).or_default();
        attempts.last += 1;
        attempts.open.insert(attempts.last, None);
        attempts.last
    }

    /// Records the end of an attempt with the counts of its answer, zero if it did not run.
    pub fn end(
        &mut self,
        agent: &ProcessId,
        number: u64,
        window: u64,
        account: &str,
        counts: UsageCounts,
    ) {
        let Some(attempts) = self.by_agent.get_mut(agent) else { return };
        let Some(attempt) = attempts.open.get_mut(&number) else { return };
        *attempt = Some(AttemptCount { window, account: account.into(), counts });
        self.settle(agent);
    }

    /// Records that the agent's run is lost: its process is gone or was restarted.
    pub fn agent_lost(&mut self, agent: &ProcessId) {
        if let Some(attempts) = self.by_agent.get_mut(agent) {
            attempts.lost = true;
        }
    }

    /// Returns the number of attempts that are not part of a batch or a supplement.
    pub fn open_attempts(&self) -> usize {
        self.by_agent.values().map(|attempts| attempts.open.len()).sum()
    }

    /// Returns the records to append now: fences of lost runs, and at most one supplement.
    ///
    /// Each record is returned again, unchanged, until it is read back from the log.
    pub fn next_appends(&mut self) -> Vec<StateRecord> {
        let waiting = |attempts: &AgentAttempts| {
            attempts.lost && !attempts.fenced && !attempts.open.is_empty()
        };
        let lost = self.by_agent.iter().filter(|(_, attempts)| waiting(attempts));
        let by = &self.entry;
        let fence = |agent: &ProcessId| UsageFence { agent: agent.clone(), by: by.clone() };
        let mut records: Vec<StateRecord> =
            lost.map(|(agent, _)| StateRecord::UsageFence(fence(agent))).collect();
        if self.pending.is_none() {
            self.pending = self.next_supplement();
        }
        records.extend(self.pending.clone().map(StateRecord::UsageSupplement));
        records
    }

    /// Applies a record of the `state` stream.
    pub fn read(&mut self, record: &StateRecord) {
        match record {
            StateRecord::UsageBatch(batch) => self.drop_covered(batch),
            StateRecord::UsageFence(fence) => {
                if let Some(attempts) = self.by_agent.get_mut(&fence.agent) {
                    attempts.fenced = true;
                    self.settle(&fence.agent);
                }
            }
            StateRecord::UsageSupplement(supplement)
                if self.pending.as_ref() == Some(supplement) =>
            {
                self.pending = None;
            }
            _ => {}
        }
    }

    /// Drops all attempts after a gap in the log, and returns their number.
    ///
    /// A record in the gap may contain their counts, and no attempt may be counted twice.
    pub fn forget(&mut self) -> usize {
        let forgotten = self.open_attempts();
        self.by_agent.values_mut().for_each(|attempts| attempts.open.clear());
        forgotten
    }

    /// Removes the attempts that a batch of a run that is not fenced covers.
    fn drop_covered(&mut self, batch: &UsageBatch) {
        let Some(attempts) = self.by_agent.get_mut(&batch.agent) else { return };
        if attempts.fenced {
            return;
        }
        let own = batch.covered.iter().filter(|covered| covered.entry == self.entry);
        for &(first, last) in own.flat_map(|covered| &covered.ranges) {
            attempts.open.retain(|number, _| !(first..=last).contains(number));
        }
    }

    /// Moves ended attempts of a fenced run into the sums of the next supplement.
    fn settle(&mut self, agent: &ProcessId) {
        let Some(attempts) = self.by_agent.get_mut(agent) else { return };
        if !attempts.fenced {
            return;
        }
        let sums = self.sums.entry(agent.clone()).or_default();
        attempts.open.retain(|_, attempt| {
            let Some(ended) = attempt else { return true };
            sums.add(ended.window, &ended.account, ended.counts);
            false
        });
        if attempts.open.is_empty() {
            self.by_agent.remove(agent);
        }
    }

    /// Returns a supplement with the counts of one fenced run, or `None` if there are no counts.
    fn next_supplement(&mut self) -> Option<UsageSupplement> {
        self.sums.retain(|_, sums| !sums.is_empty());
        let (agent, sums) = self.sums.iter_mut().next()?;
        let (agent, lines) = (agent.clone(), sums.take_lines());
        if lines.is_empty() {
            return self.next_supplement();
        }
        self.sequence += 1;
        Some(UsageSupplement { entry: self.entry.clone(), sequence: self.sequence, agent, lines })
    }
}
