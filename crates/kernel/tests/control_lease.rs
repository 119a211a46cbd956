//! Guards against two processes that act under the same lease at the same time.
//!
//! That can happen when a process stalls or crashes between the check of its lease and the writing
//! of an order while another process claims the lease. The tests search every interleaving of a
//! small model and run random sessions of a larger one.

mod naive_control;

use std::{
    collections::{HashSet, VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    time::Duration,
};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{LeaseHolder, LeaseLimits, LeaseTable, SuccessionRule},
    ids::{FencingNumber, ProcessId},
    record::{LeaseEvidence, StateRecord},
    time::TimePoint,
};

const TICK: Duration = Duration::from_secs(1);

/// Fault injected into the processes of a model; the tests must detect each.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Fault {
    None,
    /// A successor waits only for the term, although receivers do not check fencing numbers.
    WaitsOnlyForTerm,
    /// A claim takes effect even if the lease changed before it.
    AnyClaimWins,
    /// A process confirms that it relinquished the lease while it writes an order.
    AnswersWhileActing,
    /// The lease is checked when the process last ran instead of immediately before the order.
    ChecksEarly,
    /// The host list omits a host that still runs.
    DropsLiveHost,
}

/// One process of the model.
#[derive(Clone, Hash)]
struct Member {
    holder: LeaseHolder,
    read: usize,
    /// Time of the last `Step::Run`, kept only for `Fault::ChecksEarly`.
    ran: TimePoint,
    /// Record in transit to the log.
    append: Option<StateRecord>,
    appends: u32,
    /// Fencing number of the order that is being written.
    writing: Option<FencingNumber>,
    up: bool,
}

/// Processes, the log, and the platform as receiver of orders, which checks no fencing numbers.
#[derive(Clone, Hash)]
struct Model {
    fault: Fault,
    /// Whether an order is written at the instant of the check.
    instant: bool,
    now: TimePoint,
    log: Vec<StateRecord>,
    members: Vec<Member>,
    /// Process and fencing number of the last order that was written.
    written: Option<(usize, FencingNumber)>,
    checks: u32,
    bounds: ModelBounds,
}

/// Limits on the steps of a model.
#[derive(Clone, Copy, Hash)]
struct ModelBounds {
    ticks: u32,
    appends: u32,
    checks: u32,
}

const SEARCH_BOUNDS: ModelBounds = ModelBounds { ticks: 3, appends: 2, checks: 2 };

/// One step of the model; each index names a process.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time advances by one tick.
    Advance,
    /// The process reads the log and may append a record.
    Run(usize),
    /// The process's record in transit reaches the log.
    Land(usize),
    /// The process's record in transit is lost.
    Lose(usize),
    /// The process checks its lease before an order.
    Check(usize),
    /// The process writes its order.
    Write(usize),
    Crash(usize),
    /// The first process asks the second whether it relinquished the lease.
    Ask(usize, usize),
    /// The process reads the host list.
    ReadHosts(usize),
}

fn process(index: usize) -> ProcessId {
    ProcessId { name: format!("p{index}").into(), incarnation: 1 }
}

fn limits(succession: SuccessionRule) -> LeaseLimits {
    LeaseLimits {
        term: TICK * 2,
        renew_interval: TICK,
        clock_margin: Duration::from_millis(500),
        max_observation_age: TICK,
        max_clock_jump: TICK,
        succession,
    }
}

impl Model {
    /// Returns a model whose first process holds the lease.
    ///
    /// If successors claim without evidence about the former holder, orders must be written at the
    /// instant of the check or be refused by their fencing number.
    fn new(count: usize, bounds: ModelBounds, instant: bool, fault: Fault) -> Model {
        let rule = match fault {
            _ if instant => SuccessionRule::AfterTerm,
            Fault::WaitsOnlyForTerm => SuccessionRule::AfterTerm,
            _ => SuccessionRule::OnEvidence { absent_for: TICK, force_after: None },
        };
        let now = TimePoint::from_millis(60_000);
        let member = |index| Member {
            holder: LeaseHolder::new(process(index), "orders", limits(rule), now, now.as_millis()),
            read: 0,
            ran: now,
            append: None,
            appends: 0,
            writing: None,
            up: true,
        };
        let members = (0..count).map(member).collect();
        let log = Vec::new();
        let mut model =
            Model { fault, instant, now, log, members, written: None, checks: 0, bounds };
        let opening = [Step::Run(0), Step::Land(0), Step::Run(0)];
        opening.into_iter().for_each(|step| model.take(step).expect("no order is written yet"));
        model
    }

    /// Returns all steps that are possible now.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.now < TimePoint::from_millis(60_000) + TICK * self.bounds.ticks {
            steps.push(Step::Advance);
        }
        for (index, member) in self.members.iter().enumerate() {
            if member.append.is_some() {
                steps.push(Step::Land(index));
                if member.appends < self.bounds.appends {
                    steps.push(Step::Lose(index));
                }
            }
            if !member.up {
                continue;
            }
            let wants = member.append.is_none()
                && member.appends < self.bounds.appends
                && member.holder.clone().next_append(self.now).is_some();
            if member.read < self.log.len() || wants {
                steps.push(Step::Run(index));
            }
            match member.writing {
                Some(_) => steps.push(Step::Write(index)),
                None if self.checks < self.bounds.checks && self.passes(index) => {
                    steps.push(Step::Check(index))
                }
                None => {}
            }
            if self.members.iter().all(|member| member.up) {
                steps.push(Step::Crash(index));
            }
        }
        for (index, member) in self.members.iter().enumerate().filter(|(_, member)| member.up) {
            let holder = member.holder.state().and_then(|state| state.holder.clone());
            let other = (0..self.members.len())
                .find(|&other| other != index && holder == Some(process(other)));
            let Some(other) = other else { continue };
            if self.listed(other) {
                steps.push(Step::Ask(index, other));
            } else {
                steps.push(Step::ReadHosts(index));
            }
        }
        steps
    }

    /// Takes a step.
    ///
    /// # Errors
    ///
    /// Returns a description if two processes may act, or if an order follows one with a higher
    /// fencing number.
    fn take(&mut self, step: Step) -> Result<(), String> {
        let now = self.now;
        let wall = now.as_millis();
        match step {
            Step::Advance => self.now = now + TICK,
            Step::Run(index) => {
                let member = &mut self.members[index];
                if self.fault == Fault::ChecksEarly {
                    member.ran = now;
                }
                member.holder.observe(now, wall);
                for offset in member.read..self.log.len() {
                    member.holder.read(now, offset as u64, &self.log[offset]);
                }
                member.read = self.log.len();
                if member.append.is_none() && member.appends < self.bounds.appends {
                    member.append = member.holder.next_append(now);
                    member.appends += u32::from(member.append.is_some());
                }
            }
            Step::Land(index) => {
                let mut record = self.members[index].append.take().expect("a record is in transit");
                if let (Fault::AnyClaimWins, StateRecord::LeaseClaim(claim)) =
                    (self.fault, &mut record)
                {
                    claim.seen = self.table().lease("orders").map(|state| state.last);
                }
                self.log.push(record);
            }
            Step::Lose(index) => self.members[index].append = None,
            Step::Check(index) => {
                self.checks += 1;
                let member = &mut self.members[index];
                let checked = match self.fault {
                    Fault::ChecksEarly => member.ran,
                    _ => {
                        member.holder.observe(now, wall);
                        now
                    }
                };
                member.writing = member.holder.begin_act(checked);
                if self.fault == Fault::AnswersWhileActing {
                    member.holder.end_act();
                }
                if self.instant && member.writing.is_some() {
                    return self.write(index);
                }
            }
            Step::Write(index) => return self.write(index),
            Step::Crash(index) => self.members[index].up = false,
            Step::Ask(index, other) => {
                let fencing = self.members[index].holder.state().expect("a holder").fencing;
                let asked = &mut self.members[other];
                if asked.up && asked.holder.confirm_relinquished(now, &process(other), fencing) {
                    self.members[index].holder.note_relinquished(fencing);
                }
            }
            Step::ReadHosts(index) => {
                let state = self.members[index].holder.state().expect("a holder").clone();
                let host = (0..self.members.len())
                    .find(|&other| state.holder == Some(process(other)))
                    .expect("a process of the model");
                let listed = self.listed(host);
                self.members[index].holder.note_host_list(now, state.fencing, listed);
            }
        }
        Ok(())
    }

    /// Reports whether a check now would permit the process to act.
    fn passes(&self, index: usize) -> bool {
        let member = &self.members[index];
        let mut holder = member.holder.clone();
        if self.fault == Fault::ChecksEarly {
            return holder.may_act(member.ran).is_some();
        }
        holder.observe(self.now, self.now.as_millis());
        holder.may_act(self.now).is_some()
    }

    /// Reports whether the host list contains the host.
    fn listed(&self, host: usize) -> bool {
        self.members[host].up && self.fault != Fault::DropsLiveHost
    }

    /// Writes the order of a process, and checks that no other process may act.
    fn write(&mut self, index: usize) -> Result<(), String> {
        let fencing = self.members[index].writing.take().expect("an order is being written");
        if self.fault != Fault::AnswersWhileActing {
            self.members[index].holder.end_act();
        }
        let others = self.members.iter().enumerate().filter(|(other, _)| *other != index);
        for (other, member) in others.filter(|(_, member)| member.up) {
            let acts = member.writing.or(member.holder.may_act(self.now));
            if acts.is_some() {
                return Err(format!(
                    "p{index} sends an order under {fencing} while p{other} may act too"
                ));
            }
        }
        if let Some((other, higher)) = self.written.filter(|(_, number)| *number > fencing) {
            return Err(format!(
                "p{index} sends an order under {fencing} after p{other} sent one under {higher}"
            ));
        }
        self.written = Some((index, fencing));
        Ok(())
    }

    /// Returns the lease table after the whole log.
    fn table(&self) -> LeaseTable {
        let mut table = LeaseTable::new();
        self.log.iter().enumerate().for_each(|(offset, record)| {
            table.apply(offset as u64, record);
        });
        table
    }

    /// Returns a hash of the whole state, by which the search recognises visited states.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Takes every possible step in every order, and returns the number of states.
///
/// # Errors
///
/// Returns the description of the first violation that is found.
fn search(first: Model) -> Result<usize, String> {
    let mut seen = HashSet::from([first.key()]);
    let mut open = VecDeque::from([first]);
    while let Some(model) = open.pop_front() {
        for step in model.steps() {
            let mut next = model.clone();
            next.take(step)?;
            if seen.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

/// Injected faults, each with the value of `Model::instant` under which it is detected.
const FAULTS: [(bool, Fault); 5] = [
    (false, Fault::WaitsOnlyForTerm),
    (false, Fault::AnyClaimWins),
    (false, Fault::AnswersWhileActing),
    (false, Fault::DropsLiveHost),
    (true, Fault::ChecksEarly),
];

#[test]
fn no_interleaving_lets_two_processes_act() {
    for instant in [false, true] {
        let states = search(Model::new(2, SEARCH_BOUNDS, instant, Fault::None)).unwrap();
        assert!(states > 10_000, "the search ended early, after {states} states");
    }
}

#[test]
fn the_search_detects_each_injected_fault() {
    for (instant, fault) in FAULTS {
        let found = search(Model::new(2, SEARCH_BOUNDS, instant, fault));
        assert!(found.is_err(), "the search did not detect {fault:?}: {found:?} states");
    }
}

/// Takes random steps of three processes over twenty ticks.
///
/// # Errors
///
/// Returns the description of the first violation that is found.
fn random_walk(seed: u64, instant: bool, fault: Fault) -> Result<Model, String> {
    let mut rng = SeededRng::new(seed);
    let bounds = ModelBounds { ticks: 20, appends: 20, checks: 200 };
    let mut model = Model::new(3, bounds, instant, fault);
    for _ in 0..400 {
        let mut steps = model.steps();
        if !rng.one_in(20) {
            steps.retain(|step| !matches!(step, Step::Crash(_)));
        }
        if steps.is_empty() {
            break;
        }
        model.take(*rng.pick(&steps))?;
    }
    Ok(model)
}

#[test]
fn random_sessions_of_three_processes_never_let_two_act() {
    let mut orders = 0;
    for seed in 0..150 {
        for instant in [false, true] {
            let model = random_walk(seed, instant, Fault::None).unwrap_or_else(|found| {
                panic!("seed {seed}: {found}");
            });
            orders += u32::from(model.written.is_some());
        }
    }
    assert!(orders > 100, "{orders} sessions sent an order, expected more than 100");
    for (instant, fault) in FAULTS {
        let found = (0..2_000).any(|seed| random_walk(seed, instant, fault).is_err());
        assert!(found, "no session detects {fault:?}");
    }
}

#[test]
fn a_jump_of_either_clock_ends_the_lease() {
    // Milliseconds that pass on the monotonic and on the wall clock.
    let cases = [(900, 900, true), (900, 1_300, true), (100, 5_000, false), (900, -2_000, false)];
    for (passed, wall, acts) in cases {
        let mut model = Model::new(1, SEARCH_BOUNDS, false, Fault::None);
        let holder = &mut model.members[0].holder;
        let (now, start) = (model.now, model.now.as_millis());
        assert!(holder.may_act(now).is_some());
        let later = now + Duration::from_millis(passed);
        holder.observe(later, start.saturating_add_signed(wall));
        assert_eq!(holder.may_act(later).is_some(), acts, "{passed} ms, wall {wall} ms");
        if !acts {
            let claim = holder.next_append(later + TICK).expect("the process makes a new claim");
            let StateRecord::LeaseClaim(claim) = claim else { panic!("{claim:?}") };
            assert_eq!(claim.evidence, LeaseEvidence::Own);
        }
    }
}

#[test]
fn a_lease_session_matches_the_golden_file() {
    let mut model = Model::new(3, ModelBounds { appends: 9, ..SEARCH_BOUNDS }, false, Fault::None);
    let session: [(&str, &[Step]); 7] = [
        ("p1 sees the lease taken and waits", &[Step::Run(1)]),
        ("p0 checks, then stalls", &[Step::Check(0), Step::Advance, Step::Advance, Step::Advance]),
        ("p1 asks while p0 writes", &[Step::Run(1), Step::Ask(1, 0), Step::Run(1)]),
        ("p0's order is out", &[Step::Write(0), Step::Ask(1, 0)]),
        (
            "p1 and p2 claim on its answer",
            &[Step::Run(1), Step::Run(2), Step::Ask(2, 0), Step::Run(2)],
        ),
        (
            "p2's claim lands first",
            &[Step::Land(2), Step::Land(1), Step::Run(0), Step::Run(1), Step::Run(2)],
        ),
        ("p2 acts", &[Step::Check(2), Step::Write(2)]),
    ];
    let mut text = String::new();
    for (name, steps) in session {
        steps.iter().for_each(|&step| model.take(step).unwrap());
        text += &format!("{name}\n");
        for (index, member) in model.members.iter().enumerate() {
            let acts = member.holder.may_act(model.now).map(|number| number.0);
            text += &format!("  p{index}: may act {acts:?}, appends {:?}\n", member.append);
        }
    }
    for (offset, record) in model.log.iter().enumerate() {
        text += &format!("{offset}: {}\n", serde_json::to_string(record).unwrap());
    }
    text += &format!("{:#?}\n", model.table());
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("control_lease_session", text);
    });
}
