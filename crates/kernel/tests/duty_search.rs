//! An exhaustive search over the interleavings of two processes that share the usage duty, over a
//! few seconds.

mod duty_search_plan;

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use duty_search_plan::{Action, LIMITS, ProcessFault, START_MS, SearchPlan, WINDOW_SECONDS};
use pimentorock_kernel::{
    duty::{ClosedWindow, DutyHolder, DutyLimits, DutyRecord},
    ids::ProcessId,
    log_position::LogPosition,
    time::TimePoint,
};

/// The end of the log, and its newest record with its offset.
type LogState = (u64, Option<(u64, DutyRecord)>);

/// State of the log, of both processes and of the receiver of the reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SearchState {
    now: TimePoint,
    era: u64,
    log: LogState,
    /// The log before its last appends, from which it may come back, the newest last.
    copies: Vec<LogState>,
    holders: [DutyHolder; 2],
    /// Incarnation of each process.
    incarnations: [u64; 2],
    /// An append that may still be executed.
    late: Option<(u64, DutyRecord)>,
    /// Figures that the receiver has of each window.
    figures: BTreeMap<u64, ClosedWindow>,
    /// Highest fencing number that the receiver has seen, and the process that sent it.
    fencing: (u64, usize),
    /// Index of the process that reported last, the time of that report, and the time of the last
    /// report of the other process before it.
    last: Option<(usize, TimePoint, Option<TimePoint>)>,
}

impl SearchState {
    fn new(limits: DutyLimits) -> SearchState {
        let now = TimePoint::from_millis(START_MS);
        let holder = |index| DutyHolder::new(now, process(index, 1), limits);
        SearchState {
            now,
            era: 0,
            log: (0, None),
            copies: Vec::new(),
            holders: [holder(0), holder(1)],
            incarnations: [1, 1],
            late: None,
            figures: BTreeMap::new(),
            fencing: (0, 0),
            last: None,
        }
    }

    /// Returns the state after an action, the violation that it caused, or `None` if the action is
    /// not possible.
    fn after(
        &self,
        index: usize,
        action: Action,
        plan: &SearchPlan,
    ) -> Option<Result<SearchState, String>> {
        let mut state = self.clone();
        match action {
            Action::Idle => {}
            Action::Read => state.read(index, plan),
            Action::Append | Action::AppendUnanswered | Action::AppendLate => {
                state.append(index, action, plan)?
            }
            Action::Release => {
                let record = state.holders[index].release()?;
                let expected = state.holders[index].end();
                let position = state.execute_append(expected.offset, &record, plan)?;
                state.holders[index].appended(state.now, state.now, position, record);
            }
            Action::Report => {
                if let Err(violation) = state.report(index, plan)? {
                    return Some(Err(violation));
                }
            }
            Action::Step => {
                // It reports also if nothing is to be appended.
                let _ = state.append(index, Action::Append, plan);
                while let Some(reported) = state.report(index, plan) {
                    if let Err(violation) = reported {
                        return Some(Err(violation));
                    }
                }
            }
            Action::Restart => {
                state.incarnations[index] += 1;
                let process = process(index, state.incarnations[index]);
                state.holders[index] = DutyHolder::new(state.now, process, plan.limits);
            }
        }
        Some(Ok(state))
    }

    /// Sends the next report, if one is due.
    fn report(&mut self, index: usize, plan: &SearchPlan) -> Option<Result<(), String>> {
        let report = self.holders[index].next_report(self.now, plan.max_report_delay, 0)?;
        self.holders[index].note_reported(report.closed.window);
        Some(self.receive(index, report.fencing.0, report.closed, plan))
    }

    /// Returns the window that has not ended yet.
    fn current_window(&self) -> u64 {
        self.now.since(TimePoint::from_millis(START_MS)).as_secs() / WINDOW_SECONDS
    }

    /// Returns the era that a process sees.
    fn seen_era(&self, plan: &SearchPlan) -> u64 {
        if plan.fault == Some(ProcessFault::IgnoreEra) { 0 } else { self.era }
    }

    fn read(&mut self, index: usize, plan: &SearchPlan) {
        let era = self.seen_era(plan);
        let current = match plan.fault {
            Some(ProcessFault::CloseLost) => 0,
            _ => self.current_window(),
        };
        let holder = &mut self.holders[index];
        holder.enter_era(self.now, era, current);
        if let Some((offset, mut record)) = self.log.1.clone() {
            if plan.fault == Some(ProcessFault::TrustOldRecords) {
                // The fencing number stays that of the era in which the record was made.
                let position = LogPosition { era: record.era, offset };
                record.fencing = record.fencing.or(Some(position.fencing()));
                record.era = era;
            }
            holder.read(self.now, LogPosition { era, offset }, record);
        }
        holder.skip_to(self.now, LogPosition { era, offset: self.log.0 });
    }

    fn append(&mut self, index: usize, action: Action, plan: &SearchPlan) -> Option<()> {
        self.read(index, plan);
        let holder = &self.holders[index];
        if !holder.may_close(self.now) {
            return None;
        }
        let window = holder.last_closed().map_or(0, |last| last + 1);
        let has_ended = plan.drills == 0 || window < self.current_window();
        let is_closable = window < plan.windows && has_ended;
        let renews =
            plan.windows == u64::MAX && holder.needs_renewal(self.now, plan.max_report_delay, 0);
        if !is_closable && !renews && !holder.must_repeat() {
            return None;
        }
        // The counts differ between processes and incarnations, so a window that is closed twice is
        // detected.
        let count = 10 * (index as u64 + 1) + self.incarnations[index];
        let closed = ClosedWindow { window, counts: BTreeMap::from([("a".into(), count)]) };
        let record = holder.record(if is_closable { vec![closed] } else { Vec::new() });
        let expected = holder.end().offset;
        if action == Action::AppendLate {
            self.late = Some((expected, record));
            return Some(());
        }
        let position = self.execute_append(expected, &record, plan)?;
        if action == Action::Append {
            self.holders[index].appended(self.now, self.now, position, record);
        }
        Some(())
    }

    fn execute_append(
        &mut self,
        expected: u64,
        record: &DutyRecord,
        plan: &SearchPlan,
    ) -> Option<LogPosition> {
        if expected != self.log.0 {
            return None;
        }
        if self.era < plan.drills {
            self.copies.push(self.log.clone());
            let excess = self.copies.len().saturating_sub(plan.copies);
            self.copies.drain(..excess);
        }
        self.log = (expected + 1, Some((expected, record.clone())));
        Some(LogPosition { era: self.seen_era(plan), offset: expected })
    }

    /// Returns the states after the log has come back without one or several of its last records.
    fn drilled(&self, plan: &SearchPlan) -> Vec<SearchState> {
        if self.era >= plan.drills {
            return Vec::new();
        }
        let copies = self.copies.iter().enumerate().map(|(older, log)| SearchState {
            era: self.era + 1,
            log: log.clone(),
            copies: self.copies[..older].to_vec(),
            ..self.clone()
        });
        copies.collect()
    }

    /// Receives a report that arrives at once.
    ///
    /// A delayed report would arrive within the longest report delay. The check whether holders
    /// alternate therefore adds this time to the lease.
    fn receive(
        &mut self,
        index: usize,
        fencing: u64,
        closed: ClosedWindow,
        plan: &SearchPlan,
    ) -> Result<(), String> {
        let known = self.figures.entry(closed.window).or_insert_with(|| closed.clone());
        if *known != closed {
            return Err(format!("window {} has two figures", closed.window));
        }
        if fencing < self.fencing.0 {
            return Err(format!("fencing number {fencing} came after {}", self.fencing.0));
        }
        if fencing == self.fencing.0 && self.last.is_some() && index != self.fencing.1 {
            return Err(format!("fencing number {fencing} was sent by both"));
        }
        self.fencing = (fencing, index);
        self.last = Some(match self.last {
            Some((last, at, before)) if last != index => {
                if before.is_some_and(|before| {
                    self.now.since(before) < plan.lease + plan.max_report_delay
                }) {
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
    fn next_second(&self, plan: &SearchPlan) -> Vec<SearchState> {
        let mut later = self.clone();
        later.now = later.now + Duration::from_secs(1);
        let mut states = vec![later.clone()];
        states.extend(later.drilled(plan));
        for mut state in states.clone() {
            if let Some((expected, record)) = state.late.take() {
                state.execute_append(expected, &record, plan);
                states.push(state);
            }
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
fn search(plan: &SearchPlan) -> Result<usize, String> {
    let mut frontier = vec![SearchState::new(plan.limits)];
    let mut count = 0;
    for _ in 0..plan.seconds {
        for index in 0..2 {
            let mut seen = HashSet::new();
            for state in &frontier {
                for action in plan.actions.iter().filter(|action| allowed(state, index, **action)) {
                    if let Some(after) = state.after(index, *action, plan) {
                        seen.insert(after?);
                    }
                }
            }
            frontier = seen.into_iter().collect();
        }
        let next: HashSet<SearchState> =
            frontier.iter().flat_map(|state| state.next_second(plan)).collect();
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
    let states = search(&SearchPlan::new(LIMITS)).expect("no violation");
    assert!(states > 1_000, "only {states} states with a report");
}

/// Guards against a search that finds no violation at all, with limits that are known to be wrong.
#[test]
fn the_search_detects_a_takeover_span_that_is_too_short() {
    // The successor does not wait until the predecessor can no longer report.
    let second = Duration::from_secs(1);
    let limits = DutyLimits { takeover_span: second, report_span: 6 * second, ..LIMITS };
    assert!(search(&SearchPlan::new(limits)).is_err());
}

/// The log comes back once from an older copy, at any moment, and gives out an offset again.
#[test]
fn no_interleaving_with_a_log_that_loses_its_end_violates_the_usage_duty() {
    let states = search(&SearchPlan::with_drill()).expect("no violation");
    println!("{states} states with a report");
    assert!(states > 1_000, "only {states} states with a report");
}

/// Guards against a search that would not see what the era is for.
#[test]
fn the_search_detects_processes_that_ignore_the_era() {
    let plan = SearchPlan::with_drill().with_fault(ProcessFault::IgnoreEra);
    assert!(search(&plan).is_err());
}

/// Guards against a search that would not see a window which a lost record had closed.
#[test]
fn the_search_detects_windows_that_are_closed_again_after_their_record_was_lost() {
    let plan = SearchPlan::with_drills_in_a_row().with_fault(ProcessFault::CloseLost);
    assert!(search(&plan).is_err());
}

/// The log comes back twice, also without the records of two holders, while processes freeze for
/// seconds. No fencing number is lower than one that was seen before.
#[test]
fn fencing_numbers_never_fall_over_two_drills() {
    let states = search(&SearchPlan::with_drills_in_a_row()).expect("no violation");
    println!("{states} states with a report");
    assert!(states > 10_000, "only {states} states with a report");
}

/// Guards against a holder that takes the duty back once the log has lost the record of its
/// successor.
#[test]
fn the_search_detects_holders_that_trust_records_of_an_earlier_era() {
    let plan = SearchPlan::with_drills_in_a_row().with_fault(ProcessFault::TrustOldRecords);
    let violation = search(&plan).expect_err("a violation");
    println!("{violation}");
}
