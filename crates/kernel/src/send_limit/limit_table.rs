//! The limits that an entry knows, and its tickets.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    hub::HubChoice,
    ids::ProcessId,
    send_limit::{
        EndpointAnswer, HoldingRow, LimitChange, LimitEvidence, LimitScope, LimitWord,
        demand_meter::DemandMeter,
        fleet_share::FleetShare,
        limit_record::{AgeBase, LimitRecord},
        ticket_pool::TicketPool,
        want_list::{RESERVE_RANK, WantList},
    },
    suspect::{ChangeLog, LedgerPosition},
    time::TimePoint,
};

/// Time after which an asker that does not report is no longer counted.
const PRESENCE_LIFE: Duration = Duration::from_secs(2);

/// Time from which a new root hub hands out its share although most of the fleet has not reported to
/// it. By then its predecessor, if it lives and is cut off, no longer counts those that left it.
const TAKEOVER_TIME: Duration = PRESENCE_LIFE;

/// Time between two steps after which a root hub was suspended and another one may have taken its
/// place.
const SUSPENDED_TIME: Duration = PRESENCE_LIFE;

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
            demand: DemandMeter::new(),
            pool: TicketPool::default(),
            wanted: 0,
            told: None,
        }
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
    /// When this entry took on its role.
    pub(super) role_since: TimePoint,
    /// Time of the last step as the root hub.
    stepped_at: TimePoint,
    pub(super) share: FleetShare,
    /// Entries of the groups that report to this entry, with the time of their last report.
    groups: BTreeMap<Box<str>, (TimePoint, u32)>,
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
            role_since: TimePoint::ZERO,
            stepped_at: TimePoint::ZERO,
            share: FleetShare::new(),
            groups: BTreeMap::new(),
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
        if hub != self.role || (hub == HubChoice::Own && was_suspended) {
            self.enter_role(now, hub);
        }
        if hub == HubChoice::Own {
            let present = self.present(now);
            self.share.note_counted(now, present);
        }
        self.forget(now);
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
        let share = if mints { self.usable_share(now) } else { None };
        let Some(state) = self.limits.get_mut(&scope) else { return };
        state.pool.enter_term(term, mints);
        match share {
            Some(share) => {
                let rate = state.record.rate;
                state.pool.mint(now, rate.usable() * share, rate.burst() * share);
            }
            None => {
                state.pool.pause();
                state.pool.expire(now);
            }
        }
    }

    /// Returns the part of each limit that this entry hands out as the root hub; `None` while its
    /// predecessor may still do so.
    pub(super) fn usable_share(&mut self, now: TimePoint) -> Option<f64> {
        if now.since(self.stepped_at) >= SUSPENDED_TIME {
            return None;
        }
        let present = self.present(now);
        let has_most = 2 * present > self.share.known(now);
        let took_over = has_most || now.since(self.role_since) >= TAKEOVER_TIME;
        took_over.then(|| self.share.of(now, present))
    }

    /// Notes that an asker whose group has `entries` entries reported.
    pub fn note_group(&mut self, now: TimePoint, asker: &ProcessId, entries: u32) {
        self.groups.insert(asker.name.clone(), (now, entries));
    }

    /// Returns the number of entries that report to this one or to its askers, and itself.
    pub(super) fn present(&mut self, now: TimePoint) -> u32 {
        self.groups.retain(|_, (at, _)| now.since(*at) < PRESENCE_LIFE);
        self.groups.values().fold(1, |sum, (_, entries)| sum.saturating_add(*entries))
    }

    /// Returns the size of the fleet for the askers; 0 if unknown.
    pub fn fleet(&self, now: TimePoint) -> u32 {
        match self.role {
            HubChoice::Own => self.share.steady(now).unwrap_or(0),
            HubChoice::Peer(_) => {
                let told = self.told.filter(|(at, _)| now.since(*at) < PRESENCE_LIFE);
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
        let oldest = self.limits.iter().min_by_key(|(_, state)| state.record.named_at);
        if let Some(scope) = oldest.map(|(scope, _)| *scope) {
            self.limits.remove(&scope);
        }
    }

    fn forget(&mut self, now: TimePoint) {
        self.limits.retain(|_, state| {
            let memory = if state.record.ended { END_MEMORY } else { LIMIT_MEMORY };
            state.record.age(now) < memory
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
        self.limits.values().filter(|state| !state.record.ended).count()
    }

    /// Returns the hub that this entry reports to, if it is not the root hub.
    pub fn hub(&self) -> Option<SocketAddr> {
        match self.role {
            HubChoice::Own => None,
            HubChoice::Peer(address) => Some(address),
        }
    }
}
