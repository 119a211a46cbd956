//! Guards against usage that is lost or billed twice, and against windows with two reports.
//!
//! Usage can be lost or counted twice when an agent or an entry crashes, or when an agent is
//! considered lost while it still runs. A window can get two reports when two processes close and
//! report it at the same time.

mod naive_control;

use std::{
    collections::{BTreeMap, HashSet, VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{UsageBackup, UsageLedger, UsageMeter},
    ids::{FencingNumber, ProcessId},
    record::{StateRecord, UsageBatch, UsageCounts, UsageFence, UsageLine, WindowClosed},
};

/// Fault injected into the processes of a model; the tests must detect each.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Fault {
    None,
    /// An entry appends supplements before it has read the log up to the fence.
    FillsBeforeFenceRead,
    /// An entry never appends supplements.
    NeverFills,
    /// A batch gets a new sequence number when it is appended again.
    Renumbers,
    /// A process reports the figures that it proposed instead of those in the log.
    ReportsProposed,
}

fn process(name: &str, index: usize, incarnation: u64) -> ProcessId {
    ProcessId { name: format!("{name}{index}").into(), incarnation }
}

fn counts(tokens: u64) -> UsageCounts {
    UsageCounts { requests: 1, prompt_tokens: 2 * tokens, output_tokens: tokens }
}

type Totals = BTreeMap<String, UsageCounts>;

fn add(totals: &mut Totals, account: &str, counts: UsageCounts) {
    *totals.entry(account.to_string()).or_default() += counts;
}

/// Returns the sums of all closed windows and of the pending counts, by account.
fn billed(ledger: &UsageLedger, closed: &[WindowClosed]) -> Totals {
    let mut totals = Totals::new();
    for figures in closed.iter().flat_map(|close| &close.figures) {
        add(&mut totals, &figures.account, figures.served);
        add(&mut totals, &figures.account, figures.adjustment);
    }
    ledger.pending().for_each(|line| add(&mut totals, &line.account, line.counts));
    totals
}

/// Replays a log, and returns the ledger and the records that closed windows.
fn replay(log: &[StateRecord]) -> (UsageLedger, Vec<WindowClosed>) {
    let mut ledger = UsageLedger::new();
    let mut closed = Vec::new();
    for (offset, record) in log.iter().enumerate() {
        let before = ledger.last_closed();
        ledger.apply(offset as u64, record);
        if let StateRecord::WindowClosed(close) = record
            && ledger.last_closed() != before
        {
            closed.push(close.clone());
        }
    }
    (ledger, closed)
}

/// An attempt that has not ended.
struct Attempt {
    entry: usize,
    agent: usize,
    run: ProcessId,
    number: u64,
    window: u64,
    account: String,
    counts: UsageCounts,
}

/// Two entries and two agents with a log that delays, reorders and repeats appended records.
struct Fleet {
    fault: Fault,
    log: Vec<StateRecord>,
    network: Vec<StateRecord>,
    /// Each entry's counts, next offset to read, and whether the entry is up.
    entries: Vec<(UsageBackup, usize, bool)>,
    /// Each agent's counts, next offset to read, and whether the agent is up.
    agents: Vec<(UsageMeter, usize, bool)>,
    running: Vec<Attempt>,
    served: Totals,
}

impl Fleet {
    fn new(fault: Fault) -> Fleet {
        let entry = |index| (UsageBackup::new(process("e", index, 1)), 0, true);
        let agent = |index| (UsageMeter::new(process("a", index, 1)), 0, true);
        Fleet {
            fault,
            log: Vec::new(),
            network: Vec::new(),
            entries: (0..2).map(entry).collect(),
            agents: (0..2).map(agent).collect(),
            running: Vec::new(),
            served: Totals::new(),
        }
    }

    fn begin(&mut self, rng: &mut SeededRng, window: u64) {
        let (entry, agent) = (rng.below(2) as usize, rng.below(2) as usize);
        let (meter, _, up) = &self.agents[agent];
        if !up || !self.entries[entry].2 || meter.is_fenced() {
            return;
        }
        let run = meter.run().clone();
        let number = self.entries[entry].0.begin(&run);
        let account = format!("t/{}", rng.below(3));
        let counts = counts(1 + rng.below(500));
        self.running.push(Attempt { entry, agent, run, number, window, account, counts });
    }

    /// Ends an attempt, which counts as served even if its entry or agent has crashed.
    fn end(&mut self, index: usize) {
        let attempt = self.running.swap_remove(index);
        let Attempt { entry, agent, run, number, window, account, counts } = attempt;
        add(&mut self.served, &account, counts);
        let name = process("e", entry, 1);
        let (meter, _, up) = &mut self.agents[agent];
        if *up && *meter.run() == run {
            meter.count(&name, number, window, &account, counts);
        }
        let (backup, _, up) = &mut self.entries[entry];
        if *up {
            backup.end(&run, number, window, &account, counts);
        }
    }

    /// Puts the records that are due into transit to the log.
    fn append(&mut self) {
        for (meter, _, _) in self.agents.iter_mut().filter(|(_, _, up)| *up) {
            self.network.extend(meter.next_append());
        }
        if self.fault != Fault::NeverFills {
            for (backup, _, _) in self.entries.iter_mut().filter(|(_, _, up)| *up) {
                self.network.extend(backup.next_appends());
            }
        }
    }

    /// Appends one record in transit to the log; the record may stay in transit and be repeated.
    fn land(&mut self, rng: &mut SeededRng) {
        if self.network.is_empty() {
            return;
        }
        let index = rng.below(self.network.len() as u64) as usize;
        let mut record = self.network[index].clone();
        if !rng.one_in(4) {
            self.network.swap_remove(index);
        }
        if let (Fault::Renumbers, StateRecord::UsageBatch(batch)) = (self.fault, &mut record) {
            batch.sequence = self.log.len() as u64 + 1;
        }
        self.log.push(record);
    }

    fn read(&mut self) {
        for (backup, position, _) in &mut self.entries {
            self.log[*position..].iter().for_each(|record| backup.read(record));
            *position = self.log.len();
        }
        for (index, (meter, position, up)) in self.agents.iter_mut().enumerate() {
            self.log[*position..].iter().for_each(|record| meter.read(record));
            *position = self.log.len();
            if *up && meter.is_fenced() {
                *meter = UsageMeter::new(process("a", index, meter.run().incarnation + 1));
            }
        }
    }

    /// Tells the entries that an agent's run is lost, whether or not the agent crashed.
    fn lose_agent(&mut self, index: usize) {
        let run = self.agents[index].0.run().clone();
        for (backup, _, _) in &mut self.entries {
            backup.agent_lost(&run);
        }
        if self.fault == Fault::FillsBeforeFenceRead {
            let fence = UsageFence { agent: run, by: process("e", 0, 1) };
            let fence = StateRecord::UsageFence(fence);
            self.entries.iter_mut().for_each(|(backup, _, _)| backup.read(&fence));
            self.log.push(fence);
        }
    }
}

/// Serves attempts with one crash or one false report of a lost agent.
///
/// Returns the totals that were served and those that are billed.
fn run_session(seed: u64, fault: Fault) -> (Totals, Totals) {
    let mut rng = SeededRng::new(seed);
    let mut fleet = Fleet::new(fault);
    let failure_step = 40 + rng.below(120);
    let failure = rng.below(3);
    for step in 0..240 {
        match rng.below(8) {
            0..3 => fleet.begin(&mut rng, step / 40),
            3 | 4 if !fleet.running.is_empty() => {
                let index = rng.below(fleet.running.len() as u64) as usize;
                fleet.end(index);
            }
            5 => fleet.append(),
            6 => fleet.land(&mut rng),
            7 if rng.one_in(2) => fleet.read(),
            _ => {}
        }
        if step % 40 == 39 {
            let (ledger, _) = replay(&fleet.log);
            fleet.network.extend(ledger.close(step / 40, FencingNumber(1)));
        }
        if step == failure_step {
            match failure {
                0 => fleet.agents[0].2 = false,
                1 => fleet.entries[0].2 = false,
                _ => {}
            }
        }
        if step == failure_step + 20 && failure != 1 {
            fleet.lose_agent(0);
        }
    }
    while !fleet.running.is_empty() {
        fleet.end(0);
    }
    for _ in 0..200 {
        fleet.append();
        while !fleet.network.is_empty() {
            fleet.land(&mut rng);
        }
        fleet.read();
    }
    let (ledger, closed) = replay(&fleet.log);
    (fleet.served, billed(&ledger, &closed))
}

#[test]
fn every_token_is_billed_once_after_any_single_crash() {
    for seed in 0..120 {
        let (served, billed) = run_session(seed, Fault::None);
        assert_eq!(billed, served, "seed {seed}");
    }
    for fault in [Fault::FillsBeforeFenceRead, Fault::NeverFills, Fault::Renumbers] {
        let wrong = (0..120).filter(|&seed| {
            let (served, billed) = run_session(seed, fault);
            served != billed
        });
        assert!(wrong.count() > 5, "too few seeds detect {fault:?}");
    }
}

/// Model of two processes that both close and report windows whenever they can.
#[derive(Clone, Hash)]
struct WindowClosers {
    fault: Fault,
    log: Vec<StateRecord>,
    batches: u64,
    members: [WindowCloser; 2],
    /// All reports that the platform received.
    reports: Vec<WindowClosed>,
}

/// One process of the model.
#[derive(Clone, Default, Hash)]
struct WindowCloser {
    ledger: UsageLedger,
    read: usize,
    append: Option<StateRecord>,
    proposed: Option<WindowClosed>,
    appends: u32,
}

/// One step of the model; each index names a process.
#[derive(Clone, Copy)]
enum Step {
    /// An agent's batch reaches the log.
    Batch,
    /// The process reads the log.
    Read(usize),
    /// The process proposes to close the next window.
    Close(usize),
    /// The process's record in transit reaches the log.
    Land(usize),
    /// The process reports a closed window.
    Report(usize),
}

impl WindowClosers {
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.batches < 2 {
            steps.push(Step::Batch);
        }
        for (index, member) in self.members.iter().enumerate() {
            if member.read < self.log.len() {
                steps.push(Step::Read(index));
            }
            match &member.append {
                Some(_) => steps.push(Step::Land(index)),
                None if member.appends < 2 - index as u32 => steps.push(Step::Close(index)),
                None => {}
            }
            if member.ledger.next_report().is_some() && self.reports.len() < 2 {
                steps.push(Step::Report(index));
            }
        }
        steps
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Batch => {
                self.batches += 1;
                let (window, account, counts) = (0, "t/a".into(), counts(5));
                self.log.push(StateRecord::UsageBatch(UsageBatch {
                    agent: process("a", 0, 1),
                    sequence: self.batches,
                    lines: vec![UsageLine { window, account, counts }],
                    covered: Vec::new(),
                }));
            }
            Step::Read(index) => {
                let member = &mut self.members[index];
                for offset in member.read..self.log.len() {
                    member.ledger.apply(offset as u64, &self.log[offset]);
                }
                member.read = self.log.len();
            }
            Step::Close(index) => {
                let member = &mut self.members[index];
                let window = member.ledger.last_closed().map_or(0, |window| window + 1);
                member.append = member.ledger.close(window, FencingNumber(index as u64));
                member.appends += 1;
                if let Some(StateRecord::WindowClosed(close)) = &member.append {
                    member.proposed = Some(close.clone());
                }
            }
            Step::Land(index) => self.log.extend(self.members[index].append.take()),
            Step::Report(index) => {
                let member = &mut self.members[index];
                let close = member.ledger.next_report().expect("a closed window").clone();
                let own = member.proposed.clone().filter(|own| own.window == close.window);
                let report = match self.fault {
                    Fault::ReportsProposed => own.unwrap_or(close),
                    _ => close,
                };
                let reported = member.ledger.reported(report.window, FencingNumber(0));
                member.ledger.apply(0, &reported);
                self.reports.push(report);
            }
        }
        self.check()
    }

    /// Checks that each window has one set of reported figures and that each batch is billed once.
    fn check(&self) -> Result<(), String> {
        for (index, report) in self.reports.iter().enumerate() {
            let same = |other: &&WindowClosed| other.window == report.window;
            let earlier = self.reports[..index].iter().filter(same);
            if earlier.into_iter().any(|other| other.figures != report.figures) {
                return Err(format!(
                    "window {} was reported with different figures",
                    report.window
                ));
            }
        }
        let (ledger, closed) = replay(&self.log);
        let total = billed(&ledger, &closed).remove("t/a").unwrap_or_default();
        if total.requests != self.batches {
            return Err(format!(
                "{} requests were billed, but {} were served",
                total.requests, self.batches
            ));
        }
        Ok(())
    }
}

/// Takes every possible step in every order, and returns the number of states.
///
/// # Errors
///
/// Returns the description of the first violation that is found.
fn search(fault: Fault) -> Result<usize, String> {
    let (log, reports) = (Vec::new(), Vec::new());
    let members = [WindowCloser::default(), WindowCloser::default()];
    let first = WindowClosers { fault, log, batches: 0, members, reports };
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([first]);
    while let Some(model) = open.pop_front() {
        for step in model.steps() {
            let mut next = model.clone();
            next.take(step)?;
            let mut hasher = DefaultHasher::new();
            next.hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                open.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_reports_different_figures_for_a_window() {
    let states = search(Fault::None).unwrap();
    assert!(states > 10_000, "the search ended early, after {states} states");
    assert!(search(Fault::ReportsProposed).is_err());
}

#[test]
fn a_usage_session_matches_the_golden_file() {
    let (entry, agent) = (process("e", 0, 1), process("a", 0, 1));
    let mut backup = UsageBackup::new(entry.clone());
    let mut meter = UsageMeter::new(agent.clone());
    let mut ledger = UsageLedger::new();
    let mut text = String::new();
    let mut offset = 0;
    let mut append = |record: StateRecord, backup: &mut UsageBackup, ledger: &mut UsageLedger| {
        backup.read(&record);
        let change = ledger.apply(offset, &record);
        text += &format!("{offset}: {}\n   {change:?}\n", serde_json::to_string(&record).unwrap());
        offset += 1;
    };
    for (tokens, counted) in [(10, true), (20, true), (30, false)] {
        let number = backup.begin(&agent);
        backup.end(&agent, number, 7, "t/a", counts(tokens));
        if counted {
            meter.count(&entry, number, 7, "t/a", counts(tokens));
        }
    }
    let batch = meter.next_append().unwrap();
    append(batch.clone(), &mut backup, &mut ledger);
    append(batch, &mut backup, &mut ledger);
    append(ledger.close(7, FencingNumber(3)).unwrap(), &mut backup, &mut ledger);
    append(ledger.reported(7, FencingNumber(3)), &mut backup, &mut ledger);
    backup.agent_lost(&agent);
    append(backup.next_appends().remove(0), &mut backup, &mut ledger);
    append(backup.next_appends().remove(0), &mut backup, &mut ledger);
    append(ledger.close(8, FencingNumber(5)).unwrap(), &mut backup, &mut ledger);
    let snapshot = serde_json::to_string_pretty(&ledger.snapshot()).unwrap();
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("control_usage_session", text + &snapshot);
    });
}
