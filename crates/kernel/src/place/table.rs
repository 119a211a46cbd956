//! The endpoints of an entry and the choice among them.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;

use crate::{
    ids::EndpointKey,
    place::{
        EndpointSample, LoadRow, PlaceOutlook, PlacedEndpoint, PlacedRequest, WorkTicket,
        cost::cost, division::EndpointDivision, endpoint::EndpointState, part_homes::PartHomes,
        spread::spread,
    },
    reason::DecisionReason,
    route::mix,
    time::TimePoint,
};

/// Time between looks whether the endpoints are divided as their work needs.
const DIVIDE_PERIOD: Duration = Duration::from_secs(1);

/// Share of all slots in use below which endpoints keep no room from long prompts.
const CALM_SHARE: f64 = 0.3;

/// Share of its load limit that an endpoint keeps from a request, times the share of the prompt
/// that it would have to read again. Under overload that reading costs more than the request is
/// worth, and its caller may come back.
const REREAD_ROOM: f64 = 2.4;

/// Share of its reading that a part costs at the second endpoint that may hold it; it is read
/// there once and then kept.
const SECOND_HOME: f64 = 0.05;

/// Share of an endpoint's memory that running requests may take; shared parts and answers that
/// turn out longer need the rest.
const MEMORY_SHARE: f64 = 0.7;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceChoice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its name.
    pub name: Box<str>,
    /// What speaks against it, in prompt tokens.
    pub cost: f64,
    /// Whether it holds the request's shared parts as far as this entry knows.
    pub cached: bool,
    /// Prompt tokens that it has yet to read, of all entries' requests.
    pub ahead: u32,
    /// Requests that it has, of all entries.
    pub load: u32,
    /// Whether it is kept for strict classes.
    pub strict: bool,
    /// Its place among the two endpoints that should hold the request's shared parts.
    pub home_rank: Option<usize>,
    /// Age of what is known of other entries' requests.
    pub others_age: Option<Duration>,
}

/// The endpoints that an entry may send to, with what it knows of each.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    domain: Box<str>,
    endpoints: SlotMap<EndpointKey, EndpointState>,
    names: HashMap<Box<str>, EndpointKey>,
    /// Endpoints of each service that take new work, as of the last division.
    pools: HashMap<Box<str>, Vec<EndpointKey>>,
    divisions: HashMap<Box<str>, EndpointDivision>,
    divided: TimePoint,
    /// Whether endpoints changed since they were divided.
    undivided: bool,
    /// Tokens that fit the memory of each service's endpoints.
    memories: HashMap<Box<str>, u64>,
}

impl PlacementTable {
    /// Returns an empty table for an entry in `domain`.
    pub fn new(domain: &str) -> PlacementTable {
        PlacementTable {
            domain: domain.into(),
            endpoints: SlotMap::with_key(),
            names: HashMap::new(),
            pools: HashMap::new(),
            divisions: HashMap::new(),
            divided: TimePoint::ZERO,
            undivided: false,
            memories: HashMap::new(),
        }
    }

    /// Adds an endpoint, or takes over what changed of a known one.
    pub fn put(&mut self, spec: PlacedEndpoint) -> EndpointKey {
        let known = self.names.get(&spec.name).copied();
        let key = match known.filter(|key| self.endpoints.contains_key(*key)) {
            Some(key) => {
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
        self.undivided = true;
        key
    }

    /// Leaves an endpoint for the case that no other is there, since it may be gone.
    pub fn lapse(&mut self, name: &str) {
        if let Some(state) = self.names.get(name).and_then(|key| self.endpoints.get_mut(*key)) {
            state.lapsed = true;
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            self.endpoints.remove(key);
            self.undivided = true;
        }
    }

    /// Returns the key of the endpoint named `name`.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Returns the endpoints that take new work for `service`.
    pub fn open_count(&self, service: &str) -> usize {
        let open = |state: &&EndpointState| *state.spec.service == *service && !state.spec.leaving;
        self.endpoints.values().filter(open).count()
    }

    /// Chooses an endpoint for `request`, leaving out those in `excluded`.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no endpoint of the service may take it.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &PlacedRequest,
        excluded: &[EndpointKey],
    ) -> Result<PlaceChoice, DecisionReason> {
        if self.undivided {
            self.undivided = false;
            self.divide();
        }
        let pool = self.pools.get(&request.service).map_or(&[][..], Vec::as_slice);
        let mut open: Vec<(EndpointKey, &EndpointState)> = pool
            .iter()
            .filter(|key| !excluded.contains(key))
            .map(|key| (*key, &self.endpoints[*key]))
            .collect();
        // A down endpoint looks idle, so it must not be chosen when the others are merely full.
        if open.iter().any(|(_, state)| !state.is_down(now)) {
            open.retain(|(_, state)| !state.is_down(now));
        }
        if open.is_empty() {
            return Err(DecisionReason::NoEndpoint);
        }
        let calm = is_calm(now, &open);
        let homes = self.homes(request, pool);
        let best = open
            .iter()
            .map(|(key, state)| (*key, *state, self.reread(now, *key, request, &homes)))
            .filter(|(_, state, reread)| self.has_room(now, state, request, *reread, calm))
            .map(|(key, state, reread)| {
                let order = (state.lapsed, state.rests(now));
                (order, cost(now, state, request, reread, *state.spec.domain != *self.domain), key)
            })
            .min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).expect("costs are numbers"));
        let Some((_, cost, endpoint)) = best else { return Err(DecisionReason::QueueFull) };
        Ok(self.choice(now, endpoint, cost, request, homes.rank(endpoint)))
    }

    /// Returns what speaks against the endpoints for a request that [`choose`] did not place.
    ///
    /// [`choose`]: PlacementTable::choose
    pub fn outlook(&self, now: TimePoint, request: &PlacedRequest) -> PlaceOutlook {
        let pool = self.pools.get(&request.service).map_or(&[][..], Vec::as_slice);
        let mut outlook = PlaceOutlook { open: pool.len() as u32, ..PlaceOutlook::default() };
        let mut least: Option<(f64, &EndpointState)> = None;
        for state in pool.iter().map(|key| &self.endpoints[*key]) {
            if state.is_down(now) {
                outlook.down += 1;
                continue;
            }
            outlook.short_of_memory += u32::from(!self.has_memory(now, state, request));
            let load = state.load(now);
            if least.is_none_or(|(known, _)| load < known) {
                least = Some((load, state));
            }
        }
        if let Some((load, state)) = least {
            outlook.least_load = load as u32;
            outlook.load_limit = request.load_limit(state.spec.slots, state.strict) as u32;
            outlook.others_age = state.others.map(|(at, _)| now.since(at));
        }
        outlook
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
            cost,
            cached: part.is_some_and(|part| state.holds(now, part.id)),
            ahead: state.prefill(now) as u32,
            load: state.load(now) as u32,
            strict: state.strict,
            home_rank,
            others_age: state.others.map(|(at, _)| now.since(at)),
        }
    }

    /// Returns whether an endpoint may take a request beside those it has.
    fn has_room(
        &self,
        now: TimePoint,
        state: &EndpointState,
        request: &PlacedRequest,
        reread: f64,
        calm: bool,
    ) -> bool {
        let limit = request.load_limit(state.spec.slots, state.strict);
        let prompt = f64::from(request.prompt_tokens.max(1));
        let kept = if calm { 0.0 } else { REREAD_ROOM * reread / prompt };
        state.load(now) < limit * (1.0 - kept.min(1.0)) && self.has_memory(now, state, request)
    }

    /// Returns whether a request fits the endpoint's memory beside those that are there.
    ///
    /// Otherwise the endpoint would stop a running request and read it again later.
    fn has_memory(&self, now: TimePoint, state: &EndpointState, request: &PlacedRequest) -> bool {
        let Some(all) = self.memories.get(&state.spec.service) else { return true };
        let usable = (*all as f64 * MEMORY_SHARE) as u64;
        let taken = state.memory(now);
        taken == 0 || taken + request.memory_tokens() <= usable
    }

    /// Sets how many tokens fit the memory of each service's endpoints.
    pub fn set_memories(&mut self, memories: HashMap<Box<str>, u64>) {
        self.memories = memories;
    }

    /// Notes that `request` was sent to `endpoint`.
    pub fn sent(
        &mut self,
        now: TimePoint,
        endpoint: EndpointKey,
        request: &PlacedRequest,
    ) -> WorkTicket {
        let memory = request.memory_tokens();
        let mut ticket = WorkTicket { endpoint, prefill: 0.0, memory, started: false };
        let Some(state) = self.endpoints.get_mut(endpoint) else { return ticket };
        let held: u32 = request
            .shared_parts()
            .iter()
            .take_while(|part| state.holds(now, part.id))
            .map(|part| part.tokens)
            .sum();
        ticket.prefill = f64::from(request.prompt_tokens.saturating_sub(held));
        state.prefill += ticket.prefill;
        state.in_flight += 1;
        state.memory += memory;
        state.note_sent();
        for part in request.shared_parts() {
            state.note_part(now, part.id);
        }
        self.note_work(now, request, ticket.prefill);
        ticket
    }

    /// Divides the endpoints of these services between strict classes and the rest.
    pub fn divide_services(&mut self, services: &[Box<str>]) {
        self.divisions.retain(|service, _| services.contains(service));
        for service in services {
            self.divisions.entry(service.clone()).or_insert_with(EndpointDivision::new);
        }
        self.undivided = true;
    }

    /// Returns how many endpoints of each divided service its strict classes get.
    pub fn strict_counts(&self) -> Vec<(Box<str>, u32)> {
        let counts = self.divisions.iter();
        counts.map(|(service, division)| (service.clone(), division.count() as u32)).collect()
    }

    /// Takes the counts of the hub in place of this entry's own, so that all entries divide the
    /// endpoints alike.
    pub fn take_strict_counts(&mut self, now: TimePoint, counts: &[(Box<str>, u32)]) {
        let mut changed = false;
        for (service, count) in counts {
            if let Some(division) = self.divisions.get_mut(service) {
                changed |= division.take_count(now, *count as usize);
            }
        }
        self.undivided |= changed;
    }

    /// Notes work for the division of a model engine's endpoints.
    fn note_work(&mut self, now: TimePoint, request: &PlacedRequest, prompt: f64) {
        let Some(division) = self.divisions.get_mut(&request.service) else { return };
        division.note(now, request.strict, prompt, request.output_tokens);
        if now.since(self.divided) >= DIVIDE_PERIOD {
            self.divided = now;
            self.undivided = true;
        }
    }

    /// Notes the first token of an answer.
    pub fn started(&mut self, ticket: &mut WorkTicket) {
        if ticket.started {
            return;
        }
        ticket.started = true;
        if let Some(state) = self.endpoints.get_mut(ticket.endpoint) {
            state.prefill = (state.prefill - ticket.prefill).max(0.0);
            state.note_success();
        }
    }

    /// Notes that a request has left its endpoint.
    pub fn ended(&mut self, ticket: &mut WorkTicket) {
        let Some(state) = self.endpoints.get_mut(ticket.endpoint) else { return };
        if !ticket.started {
            state.prefill = (state.prefill - ticket.prefill).max(0.0);
        }
        ticket.started = true;
        state.note_ended();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.memory = state.memory.saturating_sub(ticket.memory);
    }

    /// Notes what an endpoint said of its load.
    pub fn note_sample(&mut self, now: TimePoint, endpoint: EndpointKey, sample: EndpointSample) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_sample(now, sample);
        }
    }

    /// Returns what this entry has at its endpoints, for other entries.
    pub fn own_load(&self) -> Vec<LoadRow> {
        let busy = self.endpoints.values().filter(|state| state.in_flight > 0);
        busy.map(|state| LoadRow {
            endpoint: state.hash as u32,
            in_flight: state.in_flight,
            prefill: state.prefill as u32,
            memory: state.memory.min(u64::from(u32::MAX)) as u32,
        })
        .collect()
    }

    /// Takes what all other entries have at the endpoints, in the order of their hashes; those not
    /// named have nothing.
    pub fn note_others(&mut self, now: TimePoint, rows: &[LoadRow]) {
        for state in self.endpoints.values_mut() {
            let endpoint = state.hash as u32;
            let row = rows.binary_search_by_key(&endpoint, |row| row.endpoint);
            let row = row.ok().map(|index| rows[index]);
            state.others = Some((now, row.unwrap_or(LoadRow::none(endpoint))));
        }
    }

    /// Notes that nothing listens at an endpoint's address, or nobody answers there, which took
    /// `waited` to find out: it is down for a while.
    pub fn note_unreached(&mut self, now: TimePoint, endpoint: EndpointKey, waited: Duration) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_unreached(now, waited);
        }
    }

    /// Notes that an endpoint took a connection.
    pub fn note_reached(&mut self, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_reached();
        }
    }

    /// Notes that another endpoint answers at the address of this one: it is gone until the store
    /// tells something new of it.
    pub fn note_replaced(&mut self, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.replaced = true;
        }
    }

    /// Notes that an endpoint lost a request: it rests for a while.
    pub fn note_failure(&mut self, now: TimePoint, endpoint: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_failure(now);
        }
    }

    /// Returns the endpoints that should hold the last shared part of a request.
    ///
    /// All entries agree on them without asking each other: they are the two that the part and the
    /// endpoint's name hash highest for.
    fn homes(&self, request: &PlacedRequest, pool: &[EndpointKey]) -> PartHomes {
        let mut homes = PartHomes::default();
        let Some(part) = request.affinity_part() else { return homes };
        for key in pool {
            let state = &self.endpoints[*key];
            if state.strict == request.strict {
                homes.offer(mix(part.id, state.hash), *key);
            }
        }
        homes
    }

    /// Returns the tokens of shared parts that an endpoint probably does not hold.
    fn reread(
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
            // Two endpoints may hold a part, so that neither is overrun by a part in demand.
            Some(_) => SECOND_HOME * tokens,
            None => tokens,
        }
    }

    /// Decides anew which endpoints are kept for strict classes.
    ///
    /// They are spread over the failure domains. Entries that know the same endpoints order them
    /// the same way.
    fn divide(&mut self) {
        self.pools.clear();
        for (key, state) in self.endpoints.iter().filter(|(_, state)| !state.spec.leaving) {
            match self.pools.get_mut(&state.spec.service) {
                Some(pool) => pool.push(key),
                None => {
                    self.pools.insert(state.spec.service.clone(), vec![key]);
                }
            }
        }
        for (service, pool) in &self.pools {
            let division = self.divisions.get_mut(service);
            let strict = division.map_or(0, |division| division.strict_count(pool.len()));
            let order = spread(&self.endpoints, pool);
            for (index, key) in order.into_iter().enumerate() {
                self.endpoints[key].strict = index < strict;
            }
        }
    }
}

/// Returns whether most slots of the endpoints are free.
fn is_calm(now: TimePoint, endpoints: &[(EndpointKey, &EndpointState)]) -> bool {
    let slots: f64 = endpoints.iter().map(|(_, state)| f64::from(state.spec.slots)).sum();
    let load: f64 = endpoints.iter().map(|(_, state)| state.load(now)).sum();
    load < CALM_SHARE * slots
}
