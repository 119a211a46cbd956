//! The endpoints that an entry may send to, and the choice among them.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::SlotMap;

use crate::{
    ids::EndpointKey,
    place::{
        EndpointNotice, ExclusionTable, PlacedEndpoint, PlacedRequest, PlacementDiagnosis,
        WarmupLimit, cost::cost, endpoint::EndpointState, limited_choice::RankedEndpoint,
        part_homes::PartHomes, pools::EndpointPools,
    },
    reason::DecisionReason,
    route::mix,
    send_limit::LimitTable,
    stream_origin::VersionKey,
    time::TimePoint,
};

/// Share of all slots in use below which uncached tokens do not lower an endpoint's load limit.
const LIGHT_LOAD_SHARE: f64 = 0.3;

/// The load limit of an endpoint is lowered for a request by this factor times the uncached share
/// of the prompt. Under overload, the prefill of uncached tokens uses capacity that would serve
/// more requests with cached prompts, and the caller may retry later.
const UNCACHED_RESERVE: f64 = 2.4;

/// Share of a request's shared tokens that counts as uncached at the second home of the request's
/// last shared part. The part is prefilled there once and then stays cached.
const SECOND_HOME_COST: f64 = 0.05;

/// Share of an endpoint's memory that running requests may occupy. The rest is for shared parts and
/// for answers that are longer than expected.
const USABLE_MEMORY_SHARE: f64 = 0.7;

/// The endpoint chosen for a request, with the facts behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceChoice {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Version of the endpoint's software.
    pub software: Box<str>,
    /// Cost of the request at the endpoint, in prompt tokens.
    pub cost: f64,
    /// Whether the endpoint is presumed to have the request's last shared part cached.
    pub cached: bool,
    /// Prompt tokens of all entries' requests that the endpoint has not prefilled yet.
    pub pending_prefill: u32,
    /// Requests of all entries at the endpoint.
    pub load: u32,
    /// Whether the endpoint is reserved for strict classes.
    pub strict: bool,
    /// Rank of the endpoint among the two homes of the request's last shared part, 0 for the first
    /// home; `None` if the endpoint is not a home.
    pub home_rank: Option<usize>,
    /// Age of the last report on other entries' requests; `None` if there was no report.
    pub others_age: Option<Duration>,
    /// Time until which the request must be sent; `None` if the endpoint names no limit.
    pub send_by: Option<TimePoint>,
    /// Number of endpoints that were preferred, but have a limit that left no send.
    pub limited: u32,
}

/// Tracks the endpoints that an entry may send to and chooses among them.
#[derive(Debug)]
pub struct PlacementTable {
    /// Failure domain of the entry.
    domain: Box<str>,
    pub(super) endpoints: SlotMap<EndpointKey, EndpointState>,
    names: HashMap<Box<str>, EndpointKey>,
    pub(super) pools: EndpointPools,
    /// Memory of one endpoint of each service, in tokens.
    memories: HashMap<Box<str>, u64>,
    /// Endpoints that asked to get no requests.
    exclusions: ExclusionTable,
    /// Limits that endpoints name.
    pub(super) limits: LimitTable,
    /// Limits for endpoints that warm up, by service.
    pub(super) warmups: HashMap<Box<str>, WarmupLimit>,
    /// Failure domains whose endpoints get no requests.
    pub(super) evacuated: BTreeSet<Box<str>>,
}

impl PlacementTable {
    /// Returns an empty table for an entry in `domain`.
    pub fn new(domain: &str) -> PlacementTable {
        PlacementTable {
            domain: domain.into(),
            endpoints: SlotMap::with_key(),
            names: HashMap::new(),
            pools: EndpointPools::default(),
            memories: HashMap::new(),
            exclusions: ExclusionTable::new(),
            limits: LimitTable::new(0),
            warmups: HashMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets the limits that endpoints name.
    pub fn with_limits(self, limits: LimitTable) -> PlacementTable {
        PlacementTable { limits, ..self }
    }

    /// Adds an endpoint or updates a known one, and returns its key.
    pub fn put(&mut self, spec: PlacedEndpoint) -> EndpointKey {
        let excluded_until = self.exclusions.until(&spec.name, spec.started_ms);
        let known = self.names.get(&spec.name).copied();
        let key = match known.filter(|key| self.endpoints.contains_key(*key)) {
            Some(key) => {
                if self.endpoints[key].spec.started_ms != spec.started_ms {
                    self.endpoints[key].held_until = TimePoint::ZERO;
                }
                self.endpoints[key].version = VersionKey::new(&spec.service, &spec.software);
                self.endpoints[key].spec = spec;
                self.endpoints[key].lapsed = false;
                self.endpoints[key].replaced = false;
                key
            }
            None => {
                let name = spec.name.clone();
                let key = self.endpoints.insert(EndpointState::new(spec));
                self.names.insert(name, key);
                key
            }
        };
        self.endpoints[key].excluded_until = excluded_until.max(self.endpoints[key].held_until);
        let evacuated = self.evacuated.contains(&self.endpoints[key].spec.domain);
        self.endpoints[key].evacuated = evacuated;
        self.put_warmup_limit(key);
        self.pools.mark_stale();
        key
    }

    /// Applies a notice that an endpoint gave in an answer at the wall-clock time `noted_ms`, when its
    /// newest known run was the one that started at `started_ms`.
    ///
    /// Returns the time from which the run gets requests again, or `None` if the notice changes
    /// nothing.
    pub fn note_notice(
        &mut self,
        now: TimePoint,
        noted_ms: u64,
        name: &str,
        started_ms: Option<u64>,
        notice: EndpointNotice,
    ) -> Option<TimePoint> {
        let until = self.exclusions.note(now, noted_ms, name, started_ms, notice);
        let state = self.names.get(name).and_then(|key| self.endpoints.get_mut(*key));
        if let Some(state) = state {
            // The run that is listed by now may have given the notice.
            let excluded_until = self.exclusions.until(name, state.spec.started_ms);
            state.excluded_until = excluded_until.max(state.held_until);
        }
        until
    }

    /// Gives the endpoint `name` no requests before `until`, as it may have left; [`TimePoint::ZERO`] ends that.
    pub fn hold(&mut self, name: &str, until: TimePoint) {
        let state = self.names.get(name).and_then(|key| self.endpoints.get_mut(*key));
        if let Some(state) = state {
            state.held_until = until;
            let excluded_until = self.exclusions.until(name, state.spec.started_ms);
            state.excluded_until = excluded_until.max(until);
        }
    }

    /// Reports whether an endpoint asked to get no requests now.
    pub fn is_excluded(&self, now: TimePoint, endpoint: EndpointKey) -> bool {
        self.endpoints.get(endpoint).is_some_and(|state| now < state.excluded_until)
    }

    /// Notes that the endpoint's record in the store expired; the endpoint is then chosen only if
    /// no other endpoint accepts the request, and it has to be asked before whether it leaves.
    pub fn mark_lapsed(&mut self, name: &str) {
        if let Some(state) = self.names.get(name).and_then(|key| self.endpoints.get_mut(*key)) {
            state.lapsed = true;
            state.answered = false;
        }
    }

    /// Reports whether the endpoint has to be asked whether it leaves, as its record in the store expired.
    pub fn must_ask(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.get(endpoint).is_some_and(|state| state.lapsed && !state.answered)
    }

    /// Notes that the endpoint has answered that it does not leave.
    pub fn note_answered(&mut self, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.answered = true;
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            if let Some(state) = self.endpoints.remove(key) {
                self.limits.remove_standing(state.warmup_scope());
            }
            self.pools.mark_stale();
        }
    }

    /// Returns the key of the endpoint named `name`.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Reports whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the start of the known run of an endpoint, as the endpoint states it; `None` if the
    /// endpoint is not known.
    pub fn run_start(&self, name: &str) -> Option<Option<u64>> {
        let state = self.endpoints.get(*self.names.get(name)?)?;
        Some(state.spec.started_ms)
    }

    /// Returns the number of endpoints that accept new work for `service`.
    pub fn open_count(&self, service: &str) -> usize {
        let is_open = |state: &&EndpointState| !state.spec.leaving && !state.evacuated;
        let served = self.endpoints.values().filter(|state| *state.spec.service == *service);
        served.filter(is_open).count()
    }

    /// Chooses an endpoint for `request`, leaving out those in `excluded`.
    ///
    /// # Errors
    ///
    /// Returns the reason if no endpoint of the service accepts the request.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &PlacedRequest,
        excluded: &[EndpointKey],
    ) -> Result<PlaceChoice, DecisionReason> {
        self.pools.refresh(&mut self.endpoints);
        let pool = self.pools.of(&request.service);
        let may_run =
            |state: &EndpointState| request.version.is_none_or(|version| state.version == version);
        let mut open: Vec<(EndpointKey, &EndpointState)> = pool
            .iter()
            .map(|key| (*key, &self.endpoints[*key]))
            .filter(|(_, state)| may_run(state))
            .collect();
        if open.is_empty() && request.version.is_some() && request.continues {
            return Err(DecisionReason::VersionGone);
        }
        open.retain(|(key, _)| !excluded.contains(key));
        let first_return = open.iter().map(|(_, state)| state.excluded_until).min();
        open.retain(|(_, state)| state.excluded_until <= now);
        let first_return = first_return.filter(|at| open.is_empty() && *at != TimePoint::FAR);
        if let Some(first_return) = first_return {
            let millis = now.until(first_return).as_millis() as u64;
            return Err(DecisionReason::EndpointsExcluded { millis });
        }
        // A down endpoint has no load, so without this filter it would be chosen whenever the
        // other endpoints are full.
        if open.iter().any(|(_, state)| !state.is_down(now)) {
            open.retain(|(_, state)| !state.is_down(now));
        }
        if open.is_empty() {
            let is_evacuated = self.is_evacuated(&request.service);
            let reason = DecisionReason::DomainsEvacuated;
            return Err(if is_evacuated { reason } else { DecisionReason::NoEndpoint });
        }
        let lightly_loaded = is_lightly_loaded(now, &open);
        let homes = self.homes(request, pool);
        let count = open.len();
        let accepting = open
            .into_iter()
            .map(|(key, state)| (key, state, self.uncached(now, key, request, &homes)))
            .filter(|(_, state, uncached)| {
                self.accepts(now, state, request, *uncached, lightly_loaded)
            })
            .map(|(key, state, uncached)| RankedEndpoint {
                order: (state.lapsed, state.is_quarantined(now)),
                cost: cost(now, state, request, uncached, *state.spec.domain != *self.domain),
                key,
            })
            .collect();
        let (best, limited) = self.first_unlimited(now, request, accepting);
        let Some((best, send_by)) = best else {
            if limited.is_empty() || limited.len() < count {
                return Err(DecisionReason::QueueFull);
            }
            let wait = self.limits.wait(now, limited.into_iter());
            return Err(DecisionReason::EndpointsLimited { millis: wait.as_millis() as u64 });
        };
        let choice = self.choice(now, best.key, best.cost, request, homes.rank(best.key));
        Ok(PlaceChoice { send_by, limited: limited.len() as u32, ..choice })
    }

    /// Summarizes why [`choose`] found no endpoint for a request.
    ///
    /// [`choose`]: PlacementTable::choose
    pub fn diagnose(&self, now: TimePoint, request: &PlacedRequest) -> PlacementDiagnosis {
        let pool = self.pools.of(&request.service);
        let open = pool.iter().map(|key| (*key, &self.endpoints[*key]));
        let has_memory = |state: &EndpointState| self.has_memory(now, state, request);
        let is_limited = |key: EndpointKey| !self.limits_of(now, key).is_empty();
        PlacementDiagnosis::new(now, request, open, has_memory, is_limited)
    }

    fn choice(
        &self,
        now: TimePoint,
        endpoint: EndpointKey,
        cost: f64,
        request: &PlacedRequest,
        home_rank: Option<usize>,
    ) -> PlaceChoice {
        let state = &self.endpoints[endpoint];
        let part = request.affinity_part();
        PlaceChoice {
            endpoint,
            name: state.spec.name.clone(),
            software: state.spec.software.clone(),
            cost,
            cached: part.is_some_and(|part| state.holds(now, part.id)),
            pending_prefill: state.prefill(now) as u32,
            load: state.load(now) as u32,
            strict: state.strict,
            home_rank,
            others_age: state.others.map(|(at, _)| now.since(at)),
            send_by: None,
            limited: 0,
        }
    }

    /// Reports whether an endpoint has a free slot and free memory for a request.
    fn accepts(
        &self,
        now: TimePoint,
        state: &EndpointState,
        request: &PlacedRequest,
        uncached: f64,
        lightly_loaded: bool,
    ) -> bool {
        let limit = request.load_limit(state.spec.slots, state.strict);
        let prompt = f64::from(request.prompt_tokens.max(1));
        let reduction = if lightly_loaded || request.continues {
            0.0
        } else {
            UNCACHED_RESERVE * uncached / prompt
        };
        state.load(now) < limit * (1.0 - reduction.min(1.0))
            && state.ramp_accepts(now)
            && self.has_memory(now, state, request)
    }

    /// Reports whether the endpoint's memory has room for `request`.
    ///
    /// An endpoint that runs out of memory preempts a running request and prefills it again later.
    /// An endpoint without requests accepts a request of any size, because a request that is larger
    /// than the usable memory would otherwise never be accepted.
    fn has_memory(&self, now: TimePoint, state: &EndpointState, request: &PlacedRequest) -> bool {
        let Some(all) = self.memories.get(&state.spec.service) else { return true };
        let usable = (*all as f64 * USABLE_MEMORY_SHARE) as u64;
        let taken = state.memory(now);
        taken == 0 || taken.saturating_add(request.memory_tokens()) <= usable
    }

    /// Sets the memory of one endpoint of each service, in tokens; a service without a value has no
    /// memory limit.
    pub fn set_memories(&mut self, memories: HashMap<Box<str>, u64>) {
        self.memories = memories;
    }

    /// Sets the services whose endpoints are partitioned between strict and all other classes.
    pub fn partition_services(&mut self, services: &[Box<str>]) {
        self.pools.partition_services(services);
    }

    /// Returns for each partitioned service the number of endpoints of its strict classes.
    pub fn strict_counts(&self) -> Vec<(Box<str>, u32)> {
        self.pools.strict_counts()
    }

    /// Applies the hub's counts in place of this entry's own, so that all entries partition the
    /// endpoints alike.
    pub fn take_strict_counts(&mut self, now: TimePoint, counts: &[(Box<str>, u32)]) {
        self.pools.take_strict_counts(now, counts);
    }

    /// Notes that a connection to an endpoint was refused or timed out after `waited`.
    ///
    /// The endpoint is down until the reconnect delay has passed.
    pub fn note_unreached(&mut self, now: TimePoint, endpoint: EndpointKey, waited: Duration) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_unreached(now, waited);
        }
    }

    /// Notes that an endpoint accepted a connection.
    pub fn note_reached(&mut self, now: TimePoint, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        let is_back = state.is_reconnecting();
        state.note_reached();
        if is_back {
            self.presume_started(now, endpoint);
            self.begin_ramp(now, endpoint);
        }
    }

    /// Notes that another endpoint answers at the address of this one.
    ///
    /// The endpoint counts as down until [`put`](PlacementTable::put) is called for it again.
    pub fn note_replaced(&mut self, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.replaced = true;
        }
    }

    /// Returns the number of this entry's requests at an endpoint whose answer is not complete.
    pub fn in_flight(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints.get(endpoint).map_or(0, |state| state.in_flight)
    }

    /// Returns the time since the endpoint last lost a request of this entry.
    pub fn since_failure(&self, now: TimePoint, endpoint: EndpointKey) -> Option<Duration> {
        let failed_at = self.endpoints.get(endpoint)?.failed_at?;
        Some(now.since(failed_at))
    }

    /// Notes that an endpoint lost a request, and quarantines the endpoint for a while.
    pub fn note_failure(&mut self, now: TimePoint, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_failure(now);
        }
        self.ramp_after_failure(now, endpoint);
    }

    /// Returns the homes of a request's last shared part, which are the endpoints that should have
    /// the part cached.
    ///
    /// The homes are the two endpoints, of the version that must run the request, with the highest
    /// rendezvous hash of part and endpoint name, so all entries agree on them without communication.
    fn homes(&self, request: &PlacedRequest, pool: &[EndpointKey]) -> PartHomes {
        let mut homes = PartHomes::default();
        let Some(part) = request.affinity_part() else { return homes };
        for key in pool {
            let state = &self.endpoints[*key];
            let may_run = request.version.is_none_or(|version| state.version == version);
            if may_run && state.strict == request.strict {
                homes.offer(mix(part.id, state.hash), *key);
            }
        }
        homes
    }

    /// Returns the number of shared tokens that an endpoint probably does not have cached.
    fn uncached(
        &self,
        now: TimePoint,
        endpoint: EndpointKey,
        request: &PlacedRequest,
        homes: &PartHomes,
    ) -> f64 {
        let Some(part) = request.affinity_part() else { return 0.0 };
        if self.endpoints[endpoint].holds(now, part.id) {
            return 0.0;
        }
        let tokens = f64::from(request.shared_tokens());
        match homes.rank(endpoint) {
            Some(0) => 0.0,
            // A second home keeps a popular part from overloading a single endpoint.
            Some(_) => SECOND_HOME_COST * tokens,
            None => tokens,
        }
    }
}

/// Reports whether most slots of the endpoints are free.
fn is_lightly_loaded(now: TimePoint, endpoints: &[(EndpointKey, &EndpointState)]) -> bool {
    let slots: f64 = endpoints.iter().map(|(_, state)| f64::from(state.spec.slots)).sum();
    let load: f64 = endpoints.iter().map(|(_, state)| state.load(now)).sum();
    load < LIGHT_LOAD_SHARE * slots
}
