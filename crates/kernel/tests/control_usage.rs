//! Usage to the token over crashes, and windows closed by racing processes.

mod naive_control;

use std::{
    collections::{BTreeMap, HashSet, VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{UsageLedger, UsageMeter, UsageWitness},
    ids::{FencingNumber, ProcessId},
    record::{StateRecord, UsageBatch, UsageCounts, UsageFence, UsageLine, WindowClosed},
};

/// What is wrong with the processes of a model; each must be found.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Fault {
    None,
    /// An entry fills in without reading up to the fence.
    FillsUnread,
    /// An entry does not fill in.
    NeverFills,
    /// A batch is given a new number when it is appended again.
    Renumbers,
    /// A process reports the figures it proposed instead of those in the log.
    ReportsOwn,
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

/// Sums all closed windows and what is pending, by account.
fn billed(ledger: &UsageLedger, closed: &[WindowClosed]) -> Totals {
    let mut totals = Totals::new();
    for figures in closed.iter().flat_map(|close| &close.figures) {
        add(&mut totals, &figures.account, figures.served);
        add(&mut totals, &figures.account, figures.adjustment);
    }
    ledger.pending().for_each(|line| add(&mut totals, &line.account, line.counts));
    totals
}

/// Replays a log; returns the ledger and the records that closed windows.
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

struct Attempt {
    entry: usize,
    agent: usize,
    run: ProcessId,
    number: u64,
    window: u64,
    account: String,
    counts: UsageCounts,
}

/// Two entries and two agents over a log that delays, repeats and loses appends.
struct Fleet {
    fault: Fault,
    log: Vec<StateRecord>,
    network: Vec<StateRecord>,
    entries: Vec<(UsageWitness, usize, bool)>,
    agents: Vec<(UsageMeter, usize, bool)>,
    running: Vec<Attempt>,
    served: Totals,
}

impl Fleet {
    fn new(fault: Fault) -> Fleet {
        let entry = |index| (UsageWitness::new(process("e", index, 1)), 0, true);
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

    fn begin(&mut self, dice: &mut SeededRng, window: u64) {
        let (entry, agent) = (dice.below(2) as usize, dice.below(2) as usize);
        let (meter, _, up) = &self.agents[agent];
        if !up || !self.entries[entry].2 || meter.is_fenced() {
            return;
        }
        let run = meter.run().clone();
        let number = self.entries[entry].0.begin(&run);
        let account = format!("t/{}", dice.below(3));
        let counts = counts(1 + dice.below(500));
        self.running.push(Attempt { entry, agent, run, number, window, account, counts });
    }

    /// Ends an attempt; every token has come out by then, so it is served whoever is left.
    fn end(&mut self, index: usize) {
        let attempt = self.running.swap_remove(index);
        let Attempt { entry, agent, run, number, window, account, counts } = attempt;
        add(&mut self.served, &account, counts);
        let name = process("e", entry, 1);
        let (meter, _, up) = &mut self.agents[agent];
        if *up && *meter.run() == run {
            meter.count(&name, number, window, &account, counts);
        }
        let (witness, _, up) = &mut self.entries[entry];
        if *up {
            witness.end(&run, number, window, &account, counts);
        }
    }

    fn append(&mut self) {
        for (meter, _, _) in self.agents.iter_mut().filter(|(_, _, up)| *up) {
            self.network.extend(meter.next_append());
        }
        if self.fault != Fault::NeverFills {
            for (witness, _, _) in self.entries.iter_mut().filter(|(_, _, up)| *up) {
                self.network.extend(witness.next_appends());
            }
        }
    }

    fn land(&mut self, dice: &mut SeededRng) {
        if self.network.is_empty() {
            return;
        }
        let index = dice.below(self.network.len() as u64) as usize;
        let mut record = self.network[index].clone();
        if !dice.one_in(4) {
            self.network.swap_remove(index);
        }
        if let (Fault::Renumbers, StateRecord::UsageBatch(batch)) = (self.fault, &mut record) {
            batch.sequence = self.log.len() as u64 + 1;
        }
        self.log.push(record);
    }

    fn read(&mut self) {
        for (witness, position, _) in &mut self.entries {
            self.log[*position..].iter().for_each(|record| witness.read(record));
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

    /// Takes an agent's run for lost, rightly or not.
    fn lose_agent(&mut self, index: usize) {
        let run = self.agents[index].0.run().clone();
        for (witness, _, _) in &mut self.entries {
            witness.agent_lost(&run);
        }
        if self.fault == Fault::FillsUnread {
            let fence = UsageFence { agent: run, by: process("e", 0, 1) };
            let fence = StateRecord::UsageFence(fence);
            self.entries.iter_mut().for_each(|(witness, _, _)| witness.read(&fence));
            self.log.push(fence);
        }
    }
}

/// Serves with one crash or one false suspicion; returns what was served and what is billed.
fn session(seed: u64, fault: Fault) -> (Totals, Totals) {
    let mut dice = SeededRng::new(seed);
    let mut fleet = Fleet::new(fault);
    let trouble = 40 + dice.below(120);
    let kind = dice.below(3);
    for step in 0..240 {
        match dice.below(8) {
            0..3 => fleet.begin(&mut dice, step / 40),
            3 | 4 if !fleet.running.is_empty() => {
                let index = dice.below(fleet.running.len() as u64) as usize;
                fleet.end(index);
            }
            5 => fleet.append(),
            6 => fleet.land(&mut dice),
            7 if dice.one_in(2) => fleet.read(),
            _ => {}
        }
        if step % 40 == 39 {
            let (ledger, _) = replay(&fleet.log);
            fleet.network.extend(ledger.close(step / 40, FencingNumber(1)));
        }
        if step == trouble {
            match kind {
                0 => fleet.agents[0].2 = false,
                1 => fleet.entries[0].2 = false,
                _ => {}
            }
        }
        if step == trouble + 20 && kind != 1 {
            fleet.lose_agent(0);
        }
    }
    while !fleet.running.is_empty() {
        fleet.end(0);
    }
    for _ in 0..200 {
        fleet.append();
        while !fleet.network.is_empty() {
            fleet.land(&mut dice);
        }
        fleet.read();
    }
    let (ledger, closed) = replay(&fleet.log);
    (fleet.served, billed(&ledger, &closed))
}

#[test]
fn every_token_is_billed_once_after_any_single_crash() {
    for seed in 0..120 {
        let (served, billed) = session(seed, Fault::None);
        assert_eq!(billed, served, "seed {seed}");
    }
    for fault in [Fault::FillsUnread, Fault::NeverFills, Fault::Renumbers] {
        let wrong = (0..120).filter(|&seed| {
            let (served, billed) = session(seed, fault);
            served != billed
        });
        assert!(wrong.count() > 5, "{fault:?} went unseen");
    }
}

/// Two processes that both close and report windows whenever they can.
#[derive(Clone, Hash)]
struct Closers {
    fault: Fault,
    log: Vec<StateRecord>,
    batches: u64,
    members: [Closer; 2],
    /// Every report that the platform got.
    reports: Vec<WindowClosed>,
}

#[derive(Clone, Default, Hash)]
struct Closer {
    ledger: UsageLedger,
    read: usize,
    append: Option<StateRecord>,
    proposed: Option<WindowClosed>,
    appends: u32,
}

#[derive(Clone, Copy)]
enum Step {
    Batch,
    Read(usize),
    Close(usize),
    Land(usize),
    Report(usize),
}

impl Closers {
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
                    Fault::ReportsOwn => own.unwrap_or(close),
                    _ => close,
                };
                let reported = member.ledger.reported(report.window, FencingNumber(0));
                member.ledger.apply(0, &reported);
                self.reports.push(report);
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        for (index, report) in self.reports.iter().enumerate() {
            let same = |other: &&WindowClosed| other.window == report.window;
            let unlike = self.reports[..index].iter().filter(same);
            if unlike.into_iter().any(|other| other.figures != report.figures) {
                return Err(format!("window {} has two figures", report.window));
            }
        }
        let (ledger, closed) = replay(&self.log);
        let total = billed(&ledger, &closed).remove("t/a").unwrap_or_default();
        if total.requests != self.batches {
            return Err(format!("{} requests billed of {}", total.requests, self.batches));
        }
        Ok(())
    }
}

/// Takes every step in every order; returns the states seen, or the first fault found.
fn search(fault: Fault) -> Result<usize, String> {
    let (log, reports) = (Vec::new(), Vec::new());
    let members = [Closer::default(), Closer::default()];
    let first = Closers { fault, log, batches: 0, members, reports };
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([first]);
    while let Some(closers) = open.pop_front() {
        for step in closers.steps() {
            let mut next = closers.clone();
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
fn no_interleaving_gives_a_window_two_figures() {
    let states = search(Fault::None).unwrap();
    assert!(states > 10_000, "the search ended early, after {states} states");
    assert!(search(Fault::ReportsOwn).is_err());
}

#[test]
fn a_usage_session_reads_like_this() {
    let (entry, agent) = (process("e", 0, 1), process("a", 0, 1));
    let mut witness = UsageWitness::new(entry.clone());
    let mut meter = UsageMeter::new(agent.clone());
    let mut ledger = UsageLedger::new();
    let mut text = String::new();
    let mut offset = 0;
    let mut append = |record: StateRecord, witness: &mut UsageWitness, ledger: &mut UsageLedger| {
        witness.read(&record);
        let change = ledger.apply(offset, &record);
        text += &format!("{offset}: {}\n   {change:?}\n", serde_json::to_string(&record).unwrap());
        offset += 1;
    };
    for (tokens, counted) in [(10, true), (20, true), (30, false)] {
        let number = witness.begin(&agent);
        witness.end(&agent, number, 7, "t/a", counts(tokens));
        if counted {
            meter.count(&entry, number, 7, "t/a", counts(tokens));
        }
    }
    let batch = meter.next_append().unwrap();
    append(batch.clone(), &mut witness, &mut ledger);
    append(batch, &mut witness, &mut ledger);
    append(ledger.close(7, FencingNumber(3)).unwrap(), &mut witness, &mut ledger);
    append(ledger.reported(7, FencingNumber(3)), &mut witness, &mut ledger);
    witness.agent_lost(&agent);
    append(witness.next_appends().remove(0), &mut witness, &mut ledger);
    append(witness.next_appends().remove(0), &mut witness, &mut ledger);
    append(ledger.close(8, FencingNumber(5)).unwrap(), &mut witness, &mut ledger);
    let snapshot = serde_json::to_string_pretty(&ledger.snapshot()).unwrap();
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("control_usage_session", text + &snapshot);
    });
}
