//! An exhaustive search over the interleavings of two processes that share the usage duty, over a
//! few seconds.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use pimentorock_kernel::{
    duty::{ClosedWindow, DutyHolder, DutyLimits, DutyRecord},
    ids::ProcessId,
    time::TimePoint,
};

/// Time within which reports of two holders must not alternate.
const LEASE: Duration = Duration::from_secs(2);

/// Longest time that a report is in transit.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Limits in whole seconds, so that steps of one second hit each limit exactly.
const LIMITS: DutyLimits = DutyLimits {
    report_span: Duration::from_secs(3),
    takeover_span: Duration::from_secs(6),
    released_span: Duration::from_secs(3),
    latest_close: Duration::from_secs(1),
};

/// Length of the search in seconds, enough for one takeover or two releases.
const SECONDS: u64 = 7;

/// Largest number of windows that are closed.
const WINDOWS: u64 = 2;

/// The action of a process in one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// The process does nothing because it is stalled, cut off or slow.
    Idle,
    /// Reads the log.
    Read,
    /// Reads, appends and receives the answer.
    Append,
    /// Reads and appends; the answer is lost.
    AppendUnanswered,
    /// Reads and appends; the append is executed later or never.
    AppendLate,
    /// Releases the duty.
    Release,
    /// Sends the next report.
    Report,
    /// The process is killed and restarts.
    Restart,
}

const ACTIONS: [Action; 8] = [
    Action::Idle,
    Action::Read,
    Action::Append,
    Action::AppendUnanswered,
    Action::AppendLate,
    Action::Release,
    Action::Report,
    Action::Restart,
];

/// State of the log, of both processes and of the receiver of the reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SearchState {
    now: TimePoint,
    /// End of the log.
    end: u64,
    newest: Option<(u64, DutyRecord)>,
    holders: [DutyHolder; 2],
    /// Incarnation of each process.
    incarnations: [u64; 2],
    /// An append that may still be executed.
    late: Option<(u64, DutyRecord)>,
    /// Figures that the receiver has of each window.
    figures: BTreeMap<u64, ClosedWindow>,
    /// Highest fencing number that the receiver has seen.
    fencing: u64,
    /// Index of the process that reported last, the time of that report, and the time of the last
    /// report of the other process before it.
    last: Option<(usize, TimePoint, Option<TimePoint>)>,
}

impl SearchState {
    fn new(limits: DutyLimits) -> SearchState {
        let now = TimePoint::from_millis(10_000);
        let holder = |index| DutyHolder::new(now, process(index, 1), limits);
        SearchState {
            now,
            end: 0,
            newest: None,
            holders: [holder(0), holder(1)],
            incarnations: [1, 1],
            late: None,
            figures: BTreeMap::new(),
            fencing: 0,
            last: None,
        }
    }

    /// Returns the state after an action, the violation that it caused, or `None` if the action is
    /// not possible.
    fn after(
        &self,
        index: usize,
        action: Action,
        limits: DutyLimits,
    ) -> Option<Result<SearchState, String>> {
        let mut state = self.clone();
        match action {
            Action::Idle => {}
            Action::Read => state.read(index),
            Action::Append | Action::AppendUnanswered | Action::AppendLate => {
                state.append(index, action)?
            }
            Action::Release => {
                let record = state.holders[index].release()?;
                let expected = state.holders[index].end();
                let offset = state.execute_append(expected, &record)?;
                state.holders[index].appended(state.now, state.now, offset, record);
            }
            Action::Report => {
                let report = state.holders[index].next_report(state.now, MAX_REPORT_DELAY, 0)?;
                state.holders[index].note_reported(report.closed.window);
                if let Err(violation) = state.receive(index, report.fencing.0, report.closed) {
                    return Some(Err(violation));
                }
            }
            Action::Restart => {
                state.incarnations[index] += 1;
                let process = process(index, state.incarnations[index]);
                state.holders[index] = DutyHolder::new(state.now, process, limits);
            }
        }
        Some(Ok(state))
    }

    fn read(&mut self, index: usize) {
        if let Some((offset, record)) = self.newest.clone() {
            self.holders[index].read(self.now, offset, record);
        }
        self.holders[index].skip_to(self.now, self.end);
    }

    fn append(&mut self, index: usize, action: Action) -> Option<()> {
        self.read(index);
        let holder = &self.holders[index];
        let window = holder.last_closed().map_or(0, |last| last + 1);
        if !holder.may_close(self.now) || window >= WINDOWS {
            return None;
        }
        // The counts differ between processes and incarnations, so a window that is closed twice is
        // detected.
        let count = 10 * (index as u64 + 1) + self.incarnations[index];
        let closed = ClosedWindow { window, counts: BTreeMap::from([("a".into(), count)]) };
        let record = holder.record(vec![closed]);
        let expected = holder.end();
        if action == Action::AppendLate {
            self.late = Some((expected, record));
            return Some(());
        }
        let offset = self.execute_append(expected, &record)?;
        if action == Action::Append {
            self.holders[index].appended(self.now, self.now, offset, record);
        }
        Some(())
    }

    fn execute_append(&mut self, expected: u64, record: &DutyRecord) -> Option<u64> {
        if expected != self.end {
            return None;
        }
        self.newest = Some((self.end, record.clone()));
        self.end += 1;
        Some(self.end - 1)
    }

    /// Receives a report that arrives at once.
    ///
    /// A delayed report would arrive within [`MAX_REPORT_DELAY`]. The check whether holders
    /// alternate therefore adds this time to the lease.
    fn receive(&mut self, index: usize, fencing: u64, closed: ClosedWindow) -> Result<(), String> {
        let known = self.figures.entry(closed.window).or_insert_with(|| closed.clone());
        if *known != closed {
            return Err(format!("window {} has two figures", closed.window));
        }
        if fencing < self.fencing {
            return Err(format!("fencing number {fencing} came after {}", self.fencing));
        }
        self.fencing = fencing;
        self.last = Some(match self.last {
            Some((last, at, before)) if last != index => {
                if before.is_some_and(|before| self.now.since(before) < LEASE + MAX_REPORT_DELAY) {
                    return Err("holders alternate within a lease".to_owned());
                }
                (index, self.now, Some(at))
            }
            Some((_, _, before)) => (index, self.now, before),
            None => (index, self.now, None),
        });
        Ok(())
    }

    /// Returns the states one second later, with and without the late append executed.
    fn next_second(&self) -> Vec<SearchState> {
        let mut later = self.clone();
        later.now = later.now + Duration::from_secs(1);
        let mut states = vec![later.clone()];
        if let Some((expected, record)) = later.late.take() {
            later.execute_append(expected, &record);
            states.push(later);
        }
        states
    }
}

fn process(index: usize, incarnation: u64) -> ProcessId {
    ProcessId { name: format!("p{index}").into(), incarnation }
}

/// Searches all reachable states.
///
/// Returns the number of states, summed over all seconds, in which a report was received.
///
/// # Errors
///
/// Returns the first violation.
fn search(limits: DutyLimits) -> Result<usize, String> {
    let mut frontier = vec![SearchState::new(limits)];
    let mut count = 0;
    for _ in 0..SECONDS {
        for index in 0..2 {
            let mut seen = HashSet::new();
            for state in &frontier {
                for action in ACTIONS.into_iter().filter(|action| allowed(state, index, *action)) {
                    if let Some(after) = state.after(index, action, limits) {
                        seen.insert(after?);
                    }
                }
            }
            frontier = seen.into_iter().collect();
        }
        let next: HashSet<SearchState> =
            frontier.iter().flat_map(SearchState::next_second).collect();
        frontier = next.into_iter().collect();
        count += frontier.iter().filter(|state| !state.figures.is_empty()).count();
    }
    Ok(count)
}

/// Reports whether the search includes an action.
///
/// To keep the search small, only the first process appends late, with one late append at a time,
/// and only the second process restarts, once.
fn allowed(state: &SearchState, index: usize, action: Action) -> bool {
    match action {
        Action::AppendLate => index == 0 && state.late.is_none(),
        Action::Restart => index == 1 && state.incarnations[index] == 1,
        _ => true,
    }
}

#[test]
fn no_interleaving_violates_the_usage_duty() {
    let states = search(LIMITS).expect("no violation");
    assert!(states > 1_000, "only {states} states with a report");
}

/// Guards against a search that finds no violation at all, with limits that are known to be wrong.
#[test]
fn the_search_detects_a_takeover_span_that_is_too_short() {
    // The successor does not wait until the predecessor can no longer report.
    let second = Duration::from_secs(1);
    let limits = DutyLimits { takeover_span: second, report_span: 6 * second, ..LIMITS };
    assert!(search(limits).is_err());
}
