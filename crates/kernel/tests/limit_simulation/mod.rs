//! A simulated fleet of entries with a tree of hubs, in front of endpoints that name limits.

mod simulated_endpoint;
mod simulated_entry;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use bincode::Options;
use pimentorock_kernel::{
    hub::{HubChoice, exchange_period},
    send_limit::{EndpointAnswer, LimitAnswer, LimitReport, LimitScope, LimitWord},
    time::TimePoint,
};

pub use self::simulated_endpoint::SimulatedEndpoint;
use self::{simulated_endpoint::SimulatedArrival, simulated_entry::SimulatedEntry};

/// Maximum time for which an entry waits for the answer to a report, in milliseconds.
const EXCHANGE_TIMEOUT: u64 = 400;

/// Time for which an entry does not ask one that did not answer, in milliseconds.
const QUARANTINE: u64 = 3_000;

/// Time after a fault of an entry for which it is excused, in milliseconds.
const EXCUSED_TIME: u64 = 4_000;

/// Time after which an entry forgets one that it does not hear of, in milliseconds.
const ENTRY_LIFE: u64 = 6_000;

/// Time between two entries that a root hub asks, in milliseconds.
const ANNOUNCE_PERIOD: u64 = 2_000;

/// Milliseconds by which a message that arrives late is late.
const LATENESS: u64 = 350;

/// What goes wrong in a fleet, as the chance of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Messages in a thousand that are lost.
    pub lost: u64,
    /// Messages in a thousand that arrive late.
    pub late: u64,
    /// Messages in a thousand that arrive a second time, within two seconds.
    pub doubled: u64,
}

/// Size, traffic and faults of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    pub entries: usize,
    pub domains: usize,
    /// Requests a second of all entries.
    pub traffic: f64,
    /// Share of the traffic at the first tenth of the entries.
    pub share_of_few: f64,
    /// Share of the requests that are urgent.
    pub urgent: f64,
    pub faults: FaultRates,
}

/// What an entry sends to its hub.
#[derive(Clone, Debug)]
struct SimulatedReport {
    entries: u32,
    limits: Option<LimitReport>,
    knows: bool,
}

/// What a hub answers.
#[derive(Clone, Debug)]
struct SimulatedAnswer {
    limits: Option<LimitAnswer>,
    fleet: u32,
    knows: bool,
}

#[derive(Clone, Debug)]
enum FleetEvent {
    Exchange { entry: usize },
    Report { from: usize, to: usize, run: u64, sent: u64, report: SimulatedReport },
    Answer { to: usize, from: usize, run: u64, sent: u64, answer: SimulatedAnswer },
    Timeout { entry: usize, hub: usize, run: u64, sent: u64 },
    Request { entry: usize },
    Response { entry: usize, run: u64, sent: u64, endpoint: usize, started: u64, word: Option<f64> },
}

/// A fleet with a clock in milliseconds.
pub struct LimitSimulation {
    pub spec: FleetSpec,
    pub now: u64,
    pub endpoints: Vec<SimulatedEndpoint>,
    pub entries: Vec<SimulatedEntry>,
    /// Times at which an entry became a root hub, or one was cut off or ran again after it was suspended.
    pub root_changes: Vec<u64>,
    /// Bytes of all messages on limits so far.
    pub bytes: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, FleetEvent>,
    sequence: u64,
    random: u64,
}

impl LimitSimulation {
    /// Returns a fleet whose entries have just started, in front of `endpoints` endpoints without
    /// limits.
    pub fn new(seed: u64, spec: FleetSpec, endpoints: usize) -> LimitSimulation {
        let mut simulation = LimitSimulation {
            spec,
            now: 100_000,
            endpoints: (0..endpoints).map(SimulatedEndpoint::new).collect(),
            entries: Vec::new(),
            root_changes: Vec::new(),
            bytes: 0,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sequence: 0,
            random: seed,
        };
        for entry in 0..spec.entries {
            let domain = entry % spec.domains;
            let shift = simulation.below(50_000);
            simulation.entries.push(SimulatedEntry::new(entry, domain, spec.entries.min(3), shift));
            simulation.entries[entry].start(simulation.now);
            let first = simulation.below(100);
            simulation.push(first, FleetEvent::Exchange { entry });
            let first = simulation.request_pause(entry);
            simulation.push(first, FleetEvent::Request { entry });
        }
        simulation
    }

    /// Returns a number below `bound`, all equally likely (SplitMix64).
    pub fn below(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    fn fraction(&mut self) -> f64 {
        self.below(1 << 40) as f64 / (1_u64 << 40) as f64
    }

    fn push(&mut self, delay: u64, event: FleetEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    /// Time until the next request at an entry; requests come at random.
    fn request_pause(&mut self, entry: usize) -> u64 {
        let few = self.spec.entries.div_ceil(10);
        let (share, among) = if entry < few {
            (self.spec.share_of_few, few)
        } else {
            (1.0 - self.spec.share_of_few, self.spec.entries - few)
        };
        let rate = (self.spec.traffic * share / among as f64).max(1e-6);
        let pause = -self.fraction().max(1e-9).ln() / rate;
        (pause * 1_000.0).min(1e8) as u64
    }

    /// Plays the fleet for some time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_millis() as u64;
        while let Some(Reverse((at, sequence))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            let event = self.bodies.remove(&sequence).expect("each event has a body");
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: FleetEvent) {
        let entry = match &event {
            FleetEvent::Exchange { entry }
            | FleetEvent::Request { entry }
            | FleetEvent::Timeout { entry, .. }
            | FleetEvent::Response { entry, .. } => *entry,
            FleetEvent::Report { to, .. } | FleetEvent::Answer { to, .. } => *to,
        };
        // A frozen process handles everything once it runs again.
        let frozen_until = self.entries[entry].frozen_until;
        if frozen_until > self.now {
            let delay = frozen_until - self.now;
            return self.push(delay, event);
        }
        match event {
            FleetEvent::Exchange { entry } => self.exchange(entry),
            FleetEvent::Report { from, to, run, sent, report } => {
                self.answer_report((from, run), to, sent, report);
            }
            FleetEvent::Answer { to, from, run, sent, answer } => {
                self.apply_answer((to, run), from, sent, answer);
            }
            FleetEvent::Timeout { entry, hub, run, sent } => {
                if self.entries[entry].run == run && self.entries[entry].awaited == Some(sent) {
                    self.entries[entry].awaited = None;
                    self.entries[entry].quarantined.insert(hub, self.now + QUARANTINE);
                    self.push(0, FleetEvent::Exchange { entry });
                }
            }
            FleetEvent::Request { entry } => {
                self.request(entry);
                let pause = self.request_pause(entry);
                self.push(pause, FleetEvent::Request { entry });
            }
            FleetEvent::Response { entry, run, sent, endpoint, started, word } => {
                if self.entries[entry].run == run && self.entries[entry].is_alive {
                    let now = self.entries[entry].time(self.now);
                    let sent_at = self.entries[entry].time(sent);
                    let answer = EndpointAnswer {
                        scope: scope(endpoint),
                        started_ms: Some(started),
                        sent_at,
                        word: word.map(|limit| LimitWord::new(Some(limit))),
                    };
                    self.entries[entry].table.note_answer(now, self.now, answer);
                }
            }
        }
    }

    /// Reports whether two entries reach each other.
    fn connects(&self, one: usize, other: usize) -> bool {
        self.entries[one].part == self.entries[other].part
    }

    /// Reports whether an entry has heard of another one lately, by itself or by others.
    fn is_known(&self, entry: usize, other: usize) -> bool {
        let faults = [entry, other].map(|entry| self.entries[entry].faulty_at.unwrap_or(0));
        let is_running = self.entries[other].is_alive && self.connects(entry, other);
        is_running || faults.iter().any(|at| self.now < at + ENTRY_LIFE)
    }

    /// The hub of an entry: the first entry of its domain that it does not think lost, or the first
    /// entry of all.
    fn hub(&self, entry: usize) -> Option<usize> {
        let own = &self.entries[entry];
        let is_reachable = |other: &usize| {
            let is_tried = own.quarantined.get(other).is_none_or(|until| *until <= self.now);
            is_tried && self.is_known(entry, *other)
        };
        let before: Vec<usize> = (0..entry).filter(is_reachable).collect();
        let local = before.iter().find(|other| self.entries[**other].domain == own.domain);
        local.or(before.first()).copied()
    }

    fn period(&self, entry: usize, hub: Option<usize>) -> Duration {
        let is_local =
            hub.is_some_and(|hub| self.entries[hub].domain == self.entries[entry].domain);
        let askers = if is_local {
            self.spec.entries.div_ceil(self.spec.domains)
        } else {
            self.spec.domains
        };
        exchange_period(askers)
    }

    fn exchange(&mut self, entry: usize) {
        if !self.entries[entry].is_alive {
            return;
        }
        let hub = self.hub(entry);
        let period = self.period(entry, hub);
        let own = &mut self.entries[entry];
        let now = own.time(self.now);
        let choice = hub.map_or(HubChoice::Own, |hub| HubChoice::Peer(address(hub)));
        own.table.step(now, choice, period);
        if hub.is_none() && !own.is_root {
            self.root_changes.push(self.now);
        }
        own.is_root = hub.is_none();
        let (run, entries) = (own.run, own.table.group_entries(now));
        let Some(hub) = hub else {
            self.announce(entry);
            return self.push(period.as_millis() as u64, FleetEvent::Exchange { entry });
        };
        let table = &mut self.entries[entry].table;
        let report = SimulatedReport { entries, limits: table.report(now), knows: table.knows() };
        let sent = self.now;
        self.entries[entry].awaited = Some(sent);
        self.push(EXCHANGE_TIMEOUT, FleetEvent::Timeout { entry, hub, run, sent });
        self.bytes += encoded_len(&report.limits);
        let event = FleetEvent::Report { from: entry, to: hub, run, sent, report };
        self.send(entry, hub, event);
    }

    /// Lets a root hub ask another entry what it knows of limits, now and then.
    fn announce(&mut self, entry: usize) {
        if self.entries[entry].announced_at.is_some_and(|at| self.now < at + ANNOUNCE_PERIOD) {
            return;
        }
        self.entries[entry].announced_at = Some(self.now);
        let other = self.below(self.spec.entries as u64) as usize;
        let asked = &self.entries[other];
        let is_running = asked.is_alive && asked.frozen_until <= self.now;
        if other == entry || !is_running || !self.connects(entry, other) {
            return;
        }
        let (news, knows) = (asked.table.news(asked.time(self.now)), asked.table.knows());
        let is_told = !news.is_empty();
        let own = &mut self.entries[entry];
        let now = own.time(self.now);
        own.table.apply_news(now, self.now, now, &news, knows);
        own.is_told |= is_told;
    }

    /// Delivers a message, perhaps late, twice or not at all.
    fn send(&mut self, from: usize, to: usize, event: FleetEvent) {
        if !self.connects(from, to) || self.below(1_000) < self.spec.faults.lost {
            return;
        }
        if self.below(1_000) < self.spec.faults.doubled {
            let delay = self.below(2_000);
            self.push(delay, event.clone());
        }
        let is_late = self.below(1_000) < self.spec.faults.late;
        let delay = 1 + self.below(20) + if is_late { self.below(LATENESS) } else { 0 };
        self.push(delay, event);
    }

    fn answer_report(
        &mut self,
        (from, run): (usize, u64),
        to: usize,
        sent: u64,
        report: SimulatedReport,
    ) {
        if !self.entries[to].is_alive {
            return;
        }
        let asker = self.entries[from].process_of(run);
        let now = self.entries[to].time(self.now);
        // Clocks of two entries differ, so the time under way is not known exactly.
        let delay = Duration::from_millis((self.now - sent).saturating_sub(20));
        let hub = &mut self.entries[to];
        hub.is_told |= report.limits.is_some();
        hub.table.note_group(now, &asker, report.entries, delay);
        let (limits, knows) = (report.limits.as_ref(), report.knows);
        let limits = hub.table.answer(now, self.now, &asker, limits, knows, delay);
        let (fleet, knows) = (hub.table.fleet(now), hub.table.knows());
        self.bytes += encoded_len(&limits);
        let answer = SimulatedAnswer { limits, fleet, knows };
        self.send(to, from, FleetEvent::Answer { to: from, from: to, run, sent, answer });
    }

    fn apply_answer(
        &mut self,
        (entry, run): (usize, u64),
        hub: usize,
        sent: u64,
        answer: SimulatedAnswer,
    ) {
        let own = &mut self.entries[entry];
        if !own.is_alive || own.run != run {
            return;
        }
        let is_awaited = own.awaited == Some(sent);
        let (now, sent_at) = (own.time(self.now), own.time(sent));
        let choice = HubChoice::Peer(address(hub));
        // An answer that comes a second time, or after its time, is applied like the first one.
        let (limits, told) = (answer.limits.as_ref(), (answer.fleet, answer.knows));
        own.table.apply_answer(now, self.now, choice, sent_at, limits, told);
        own.is_told |= answer.limits.is_some();
        if is_awaited {
            own.awaited = None;
            let period = self.period(entry, Some(hub)).as_millis() as u64;
            self.push(period, FleetEvent::Exchange { entry });
        }
    }

    /// Sends a request to a random endpoint, unless its limit leaves no send.
    fn request(&mut self, entry: usize) {
        // An entry that does not know the limits is not ready, and gets no requests.
        if !self.entries[entry].is_alive || !self.entries[entry].table.knows() {
            return;
        }
        let endpoint = self.below(self.endpoints.len() as u64) as usize;
        let is_urgent = self.fraction() < self.spec.urgent;
        let urgency = if is_urgent { 0 } else { 8 };
        let own = &mut self.entries[entry];
        let now = own.time(self.now);
        let listed = self.endpoints[endpoint].listed_ms;
        let is_limited = own.table.is_limited(scope(endpoint), Some(listed));
        if is_limited && own.table.take(now, scope(endpoint), urgency).is_none() {
            self.endpoints[endpoint].denied.push(self.now);
            return;
        }
        let (run, sent) = (own.run, self.now);
        let arrival = SimulatedArrival {
            at: sent,
            is_urgent,
            is_told: is_limited || own.is_told,
            is_excused: own.part != 0 || own.faulty_at.is_some_and(|at| sent < at + EXCUSED_TIME),
        };
        self.endpoints[endpoint].arrivals.push(arrival);
        let head = 20 + self.below(300);
        let word = self.endpoints[endpoint].limit;
        let started = self.endpoints[endpoint].listed_ms;
        let event = FleetEvent::Response { entry, run, sent, endpoint, started, word };
        self.push(head, event);
    }

    /// Lets `count` requests arrive at each entry at once.
    pub fn burst(&mut self, count: usize) {
        for _ in 0..count {
            (0..self.spec.entries).for_each(|entry| self.request(entry));
        }
    }

    /// Kills an entry.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].is_alive = false;
        self.entries[entry].faulty_at = Some(self.now);
    }

    /// Starts an entry again that was killed.
    pub fn restart(&mut self, entry: usize) {
        let now = self.now;
        self.entries[entry].start(now);
        self.entries[entry].faulty_at = Some(now);
        self.push(0, FleetEvent::Exchange { entry });
    }

    /// Suspends an entry for a time.
    pub fn freeze(&mut self, entry: usize, span: Duration) {
        let until = self.now + span.as_millis() as u64;
        self.entries[entry].frozen_until = until;
        self.entries[entry].faulty_at = Some(until);
        if self.entries[entry].is_root {
            self.root_changes.push(until);
        }
    }

    /// Puts an entry into a part of the fleet; parts do not reach each other.
    pub fn cut(&mut self, entry: usize, part: u32) {
        let own = &mut self.entries[entry];
        if own.part != part {
            own.part = part;
            own.faulty_at = Some(self.now);
            if own.is_root {
                self.root_changes.push(self.now);
            }
        }
    }

    /// Returns the entry that is the root hub of most entries.
    pub fn root(&self) -> usize {
        self.entries.iter().position(|entry| entry.is_root && entry.is_alive).unwrap_or(0)
    }
}

/// Returns the length of a message as entries encode it.
fn encoded_len(message: &impl serde::Serialize) -> u64 {
    bincode::DefaultOptions::new().serialized_size(message).unwrap()
}

fn scope(endpoint: usize) -> LimitScope {
    LimitScope::endpoint(&format!("i-{endpoint}"))
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry >> 8) as u8, entry as u8], 7340))
}

/// Returns a point on the clock of a process that started `shift` milliseconds before the
/// simulation's clock.
fn shifted(at: u64, shift: u64) -> TimePoint {
    TimePoint::from_millis(at + shift)
}
