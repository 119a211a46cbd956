//! The limits that an entry knows, and its tickets.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    hub::{HubChoice, exchange_period},
    ids::ProcessId,
    send_limit::{
        EndpointAnswer, HoldingRow, LimitChange, LimitEvidence, LimitScope, LimitWord,
        StandingRate,
        demand_meter::DemandMeter,
        fleet_share::FleetShare,
        group_count::GroupCount,
        limit_record::{AgeBase, LimitRecord},
        ticket_pool::TicketPool,
        want_list::{RESERVE_RANK, WantList},
    },
    suspect::{ChangeLog, LedgerPosition},
    time::TimePoint,
};

/// Shortest and longest time after which a group that does not report is no longer counted.
const MIN_GROUP_LIFE: Duration = Duration::from_millis(800);
const MAX_GROUP_LIFE: Duration = Duration::from_secs(2);

/// The same as a multiple of the time between two reports in a fleet of one failure domain.
const GROUP_LIFE_PERIODS: u32 = 3;

/// Time for which a count of the fleet is used.
const COUNT_LIFE: Duration = Duration::from_millis(20);

/// Time for which the size of the fleet is passed on after the hub told it.
const TOLD_LIFE: Duration = Duration::from_secs(2);

/// Time after its start from which a root hub takes the limits for known that it was told, if the
/// entries that it met do not know more.
const ROOT_LEARN_TIME: Duration = Duration::from_millis(600);

/// The same for any entry that met none.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// Time between two steps after which a root hub was suspended and another one may have taken its
/// place. Two exchanges that fail and the time between two steps are shorter.
const SUSPENDED_TIME: Duration = Duration::from_millis(1200);

/// Shortest time ahead for which an entry wants tickets.
const MIN_HORIZON: Duration = Duration::from_secs(1);

/// Shortest delay that a refused caller is told: a ticket takes some exchanges to arrive.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Longest delay that a refused caller is told.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Time for which a limit is remembered without answers.
const LIMIT_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// Time for which the end of a limit is remembered, so that it reaches all entries.
const END_MEMORY: Duration = Duration::from_secs(600);

/// Tickets that an entry holds are given up when the limit falls below this part of what it was when
/// they were issued; otherwise they are used up.
const KEPT_RATIO: f64 = 0.5;

/// Maximum number of limits; beyond it the one that is longest without an answer is forgotten.
const MAX_LIMITS: usize = 8192;

/// A limit with this entry's tickets.
#[derive(Debug)]
pub(super) struct LimitState {
    pub(super) record: LimitRecord,
    /// Set if the limit follows from the configuration.
    pub(super) standing: Option<StandingRate>,
    pub(super) demand: DemandMeter,
    pub(super) pool: TicketPool,
    /// Tickets that the fleet wants, as the hub told.
    pub(super) wanted: u32,
    /// What the hub was told last of the tickets.
    pub(super) told: Option<HoldingRow>,
}

impl LimitState {
    pub(super) fn new(record: LimitRecord) -> LimitState {
        LimitState {
            record,
            standing: None,
            demand: DemandMeter::new(),
            pool: TicketPool::default(),
            wanted: 0,
            told: None,
        }
    }

    /// Returns the rate at which tickets are minted, and the sends that may accumulate.
    fn minting(&self) -> (f64, f64) {
        let rate = self.record.rate;
        (rate.usable(), self.standing.map_or(rate.burst(), |standing| standing.burst))
    }

    /// Returns the tickets that this entry's own requests want beyond those that they have.
    pub(super) fn own_wants(&self, now: TimePoint, horizon: Duration) -> WantList {
        let held = self.pool.held(now);
        let mut wants = self.demand.expected(now, horizon);
        held.ranks().for_each(|(rank, count)| wants.remove(rank, count));
        if wants.total() == 0 && held.total() == 0 && self.demand.is_recent(now) {
            wants.add(RESERVE_RANK, 1);
        }
        wants
    }
}

/// The limits that an entry knows, and its tickets for them.
#[derive(Debug)]
pub struct LimitTable {
    pub(super) limits: HashMap<LimitScope, LimitState>,
    /// Limits that began, changed or ended, for the askers.
    pub(super) states: ChangeLog,
    /// Limits of which newer answers arrived, for the hub.
    pub(super) answers: ChangeLog,
    pub(super) role: HubChoice,
    /// Number of the current role; tickets are accounted for within one.
    pub(super) term: u32,
    /// Time of the first step.
    started_at: Option<TimePoint>,
    /// Whether this entry knows the limits that the fleet knows.
    knows: bool,
    /// Whether this entry exchanged messages with another one since its start.
    met_any: bool,
    /// When this entry took on its role.
    pub(super) role_since: TimePoint,
    /// Time of the last step.
    stepped_at: TimePoint,
    pub(super) share: FleetShare,
    /// Entries of the groups that report to this entry.
    groups: BTreeMap<Box<str>, GroupCount>,
    /// When the fleet was counted last, and the part of each limit to hand out that follows.
    counted_at: Option<TimePoint>,
    root_share: Option<f64>,
    /// Size of the fleet that the hub told last, with the time.
    pub(super) told: Option<(TimePoint, u32)>,
    /// Position in the hub's changes that this entry has reached.
    pub(super) of_hub: LedgerPosition,
    /// Position in this entry's answers that the hub has reached.
    pub(super) by_hub: LedgerPosition,
    /// Position in this entry's answers that the last report contains.
    pub(super) reported: LedgerPosition,
    /// Number of the hub's last answer that was applied.
    pub(super) hub_serial: u64,
    /// Number of answers that this entry gave.
    pub(super) serial: u64,
    /// Time ahead for which tickets are wanted.
    pub(super) horizon: Duration,
    pub(super) changes: Vec<LimitChange>,
}

impl LimitTable {
    /// Returns a table without limits for the process run `incarnation`.
    pub fn new(incarnation: u64) -> LimitTable {
        LimitTable {
            limits: HashMap::new(),
            states: ChangeLog::new(incarnation),
            answers: ChangeLog::new(incarnation),
            role: HubChoice::Own,
            term: 0,
            started_at: None,
            knows: false,
            met_any: false,
            role_since: TimePoint::ZERO,
            stepped_at: TimePoint::ZERO,
            share: FleetShare::new(),
            groups: BTreeMap::new(),
            counted_at: None,
            root_share: None,
            told: None,
            of_hub: LedgerPosition::default(),
            by_hub: LedgerPosition::default(),
            reported: LedgerPosition::default(),
            hub_serial: 0,
            serial: 0,
            horizon: MIN_HORIZON,
            changes: Vec::new(),
        }
    }

    /// Sets the number of entries that the settings name, including this one.
    pub fn set_named_entries(&mut self, entries: usize) {
        self.share.set_named(entries as u32);
    }

    /// Notes which entry is the hub and the time between two exchanges with it, mints tickets if this
    /// entry is the root hub, and reserves tickets for its own requests.
    ///
    /// Must be called before each exchange.
    pub fn step(&mut self, now: TimePoint, hub: HubChoice, period: Duration) {
        self.horizon = MIN_HORIZON.max(2 * period);
        let was_suspended = now.since(self.stepped_at) >= SUSPENDED_TIME;
        self.stepped_at = now;
        if was_suspended {
            // The askers may have another hub by now.
            self.groups.clear();
        }
        if hub != self.role || (hub == HubChoice::Own && was_suspended) {
            self.enter_role(now, hub);
        }
        let since_start = now.since(*self.started_at.get_or_insert(now));
        let is_informed_root = hub == HubChoice::Own && (self.met_any || self.share.names_none());
        self.knows |=
            since_start >= LEARN_TIME || (is_informed_root && since_start >= ROOT_LEARN_TIME);
        self.counted_at = None;
        self.forget(now);
        self.usable_share(now);
        let (horizon, scopes) = (self.horizon, self.scopes());
        for scope in scopes {
            self.refresh(now, scope);
            let Some(state) = self.limits.get_mut(&scope) else { continue };
            let wants = state.own_wants(now, horizon);
            state.pool.reserve(now, &wants);
        }
    }

    fn enter_role(&mut self, now: TimePoint, hub: HubChoice) {
        self.role = hub;
        self.role_since = now;
        self.term += 1;
        self.of_hub = LedgerPosition::default();
        self.by_hub = LedgerPosition::default();
        self.hub_serial = 0;
    }

    fn scopes(&self) -> Vec<LimitScope> {
        self.limits.keys().copied().collect()
    }

    /// Brings the tickets for one limit up to date.
    pub(super) fn refresh(&mut self, now: TimePoint, scope: LimitScope) {
        let (term, mints) = (self.term, self.role == HubChoice::Own);
        let share = self.usable_share(now);
        let Some(state) = self.limits.get_mut(&scope) else { return };
        state.pool.enter_term(term, mints);
        match share {
            Some(share) => {
                let (rate, burst) = state.minting();
                state.pool.mint(now, rate * share, burst * share);
            }
            None => {
                state.pool.pause();
                state.pool.expire(now);
            }
        }
    }

    /// Returns the part of each limit that this entry hands out as the root hub; `None` if it is none,
    /// or while its predecessor may still do so.
    fn usable_share(&mut self, now: TimePoint) -> Option<f64> {
        let is_suspended = now.since(self.stepped_at) >= SUSPENDED_TIME;
        if self.role != HubChoice::Own || is_suspended {
            return None;
        }
        if self.counted_at.is_none_or(|at| now.since(at) >= COUNT_LIFE) {
            self.counted_at = Some(now);
            self.root_share = self.count_share(now);
        }
        self.root_share
    }

    /// Counts the fleet as its root hub, and returns the part of each limit to hand out.
    fn count_share(&mut self, now: TimePoint) -> Option<f64> {
        let life = self.group_life(now);
        self.groups.retain(|_, group| group.is_present(now, life));
        let groups = self.groups.values();
        let present = groups.fold(1_u32, |sum, group| sum.saturating_add(group.entries(now, life)));
        self.share.note_counted(now, present);
        // Until then the predecessor, if it lives, may count this entry.
        (now.since(self.role_since) >= life).then(|| self.share.of(now, present))
    }

    /// Returns the time after which a group that does not report is no longer counted. All entries
    /// that remember the same fleet determine the same time.
    fn group_life(&mut self, now: TimePoint) -> Duration {
        let known = self.share.known(now) as usize;
        (GROUP_LIFE_PERIODS * exchange_period(known)).clamp(MIN_GROUP_LIFE, MAX_GROUP_LIFE)
    }

    /// Returns the number of entries of this entry's group: itself and those that report to it.
    pub fn group_entries(&mut self, now: TimePoint) -> u32 {
        let life = self.group_life(now);
        self.groups.retain(|_, group| group.is_present(now, life));
        self.groups.values().fold(1, |sum, group| sum.saturating_add(group.newest()))
    }

    /// Notes that an asker whose group has `entries` entries reported, `delay` before now.
    pub fn note_group(&mut self, now: TimePoint, asker: &ProcessId, entries: u32, delay: Duration) {
        let life = self.group_life(now);
        self.groups.entry(asker.name.clone()).or_default().note(now - delay, entries, life);
    }

    /// Reports whether this entry knows the limits that the fleet knows.
    pub fn knows(&self) -> bool {
        self.knows
    }

    /// Notes a message of another entry. `knows` tells whether that entry knows the limits that the
    /// fleet knows, and `is_full` whether it told all that it knows.
    pub(super) fn note_met(&mut self, knows: bool, is_full: bool) {
        self.met_any |= is_full || !knows;
        self.knows |= is_full && knows;
    }

    /// Returns the size of the fleet for the askers; 0 if unknown.
    pub fn fleet(&self, now: TimePoint) -> u32 {
        match self.role {
            HubChoice::Own => self.share.steady(now).unwrap_or(0),
            HubChoice::Peer(_) => {
                let told = self.told.filter(|(at, _)| now.since(*at) < TOLD_LIFE);
                told.map_or(0, |(_, entries)| entries)
            }
        }
    }

    /// Applies what an answer of an endpoint says of its limit; `wall_ms` is the wall-clock time in
    /// milliseconds since 1970.
    pub fn note_answer(&mut self, now: TimePoint, wall_ms: u64, answer: EndpointAnswer) {
        let scope = answer.scope;
        let rate = match answer.word {
            Some(LimitWord::Rate(rate)) => rate,
            // What held before holds on.
            Some(LimitWord::Unreadable) => return,
            None => return self.note_unnamed(now, answer),
        };
        let record = LimitRecord::new(answer.started_ms, rate, AgeBase { at: now, wall_ms });
        self.note_named(now, scope, &record, LimitEvidence::Answer);
        self.answers.note(scope.number());
    }

    fn note_unnamed(&mut self, now: TimePoint, answer: EndpointAnswer) {
        let Some(state) = self.limits.get_mut(&answer.scope) else { return };
        if state.record.note_unnamed(answer.sent_at) {
            self.answers.note(answer.scope.number());
            self.decide_end(now, answer.scope, LimitEvidence::Answer);
        }
    }

    /// Takes over an answer that named a limit.
    pub(super) fn note_named(
        &mut self,
        now: TimePoint,
        scope: LimitScope,
        record: &LimitRecord,
        evidence: LimitEvidence,
    ) {
        let Some(state) = self.limits.get_mut(&scope) else {
            self.make_room();
            self.limits.insert(scope, LimitState::new(record.clone()));
            return self.note_change(now, scope, evidence);
        };
        let before = state.record.clone();
        state.record.note_named(record);
        if state.record.rate.usable() < KEPT_RATIO * before.rate.usable() {
            state.pool.give_back();
        }
        if !state.record.is_like(&before) {
            self.note_change(now, scope, evidence);
        }
    }

    /// Ends a limit if the answers say so and this entry is the root hub.
    pub(super) fn decide_end(
        &mut self,
        now: TimePoint,
        scope: LimitScope,
        evidence: LimitEvidence,
    ) {
        let Some(state) = self.limits.get_mut(&scope) else { return };
        if self.role != HubChoice::Own || state.record.ended {
            return;
        }
        state.record.decide_end();
        if state.record.ended {
            self.note_change(now, scope, evidence);
        }
    }

    pub(super) fn note_change(
        &mut self,
        now: TimePoint,
        scope: LimitScope,
        evidence: LimitEvidence,
    ) {
        self.states.note(scope.number());
        let Some(state) = self.limits.get(&scope) else { return };
        let limit = (!state.record.ended).then(|| state.record.rate.stated());
        self.changes.push(LimitChange { scope, limit, evidence, age: state.record.age(now) });
    }

    /// Returns the limits that began, changed or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    fn make_room(&mut self) {
        if self.limits.len() < MAX_LIMITS {
            return;
        }
        let named = self.limits.iter().filter(|(_, state)| state.standing.is_none());
        let oldest = named.min_by_key(|(_, state)| state.record.named_at);
        if let Some(scope) = oldest.map(|(scope, _)| *scope) {
            self.limits.remove(&scope);
        }
    }

    fn forget(&mut self, now: TimePoint) {
        self.limits.retain(|_, state| {
            let memory = if state.record.ended { END_MEMORY } else { LIMIT_MEMORY };
            state.standing.is_some() || state.record.age(now) < memory
        });
        let limits = &self.limits;
        let is_kept = |scope: u64| limits.contains_key(&LimitScope::from_hash(scope));
        if self.states.len() > limits.len() {
            self.states.retain(is_kept);
        }
        if self.answers.len() > limits.len() {
            self.answers.retain(is_kept);
        }
    }

    /// Reports whether the run of an endpoint that started at `started_ms` has a limit.
    pub fn is_limited(&self, scope: LimitScope, started_ms: Option<u64>) -> bool {
        self.limits.get(&scope).is_some_and(|state| state.record.covers(started_ms))
    }

    /// Uses a ticket for a request that wants to go to a limited endpoint, and returns the time
    /// until which the request must be sent; `None` if there is no ticket for it.
    pub fn take(&mut self, now: TimePoint, scope: LimitScope, urgency: u8) -> Option<TimePoint> {
        self.limits.get_mut(&scope)?.demand.note(now, urgency);
        self.take_spare(now, scope, urgency)
    }

    /// Uses a ticket like [`take`](LimitTable::take), for a request that would rather go elsewhere:
    /// no tickets are asked for on its behalf.
    pub fn take_spare(
        &mut self,
        now: TimePoint,
        scope: LimitScope,
        urgency: u8,
    ) -> Option<TimePoint> {
        self.refresh(now, scope);
        let state = self.limits.get_mut(&scope)?;
        state.pool.take(now, urgency.min(RESERVE_RANK - 1))
    }

    /// Returns the time after which a request that none of these endpoints could take is worth
    /// another attempt.
    pub fn wait(&self, now: TimePoint, scopes: impl Iterator<Item = LimitScope>) -> Duration {
        let horizon = self.horizon;
        let pace = |scope| {
            let state: &LimitState = self.limits.get(&scope)?;
            let own = state.pool.wanted(now, &state.own_wants(now, horizon));
            // The next ticket for a caller that comes back competes with those that are wanted.
            Some(state.record.rate.usable() / (f64::from(state.wanted.max(own)) + 1.0))
        };
        let pace: f64 = scopes.filter_map(pace).sum();
        let seconds = if pace > 0.0 { 1.0 / pace } else { MAX_WAIT.as_secs_f64() };
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())).max(MIN_WAIT)
    }

    /// Returns the sends to a limited endpoint that this entry may make now.
    pub fn held(&self, now: TimePoint, scope: LimitScope) -> u32 {
        self.limits.get(&scope).map_or(0, |state| state.pool.held(now).total())
    }

    /// Returns the number of limits that are in force.
    pub fn in_force(&self) -> usize {
        let named = self.limits.values().filter(|state| state.standing.is_none());
        named.filter(|state| !state.record.ended).count()
    }

    /// Returns the hub that this entry reports to, if it is not the root hub.
    pub fn hub(&self) -> Option<SocketAddr> {
        match self.role {
            HubChoice::Own => None,
            HubChoice::Peer(address) => Some(address),
        }
    }
}
