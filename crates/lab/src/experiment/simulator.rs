//! Discrete-event simulation of entries, agents and engines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, RequestId},
    queue::QueueEvent,
    route::{EndpointDigest, RouteEvent},
    suspect::SuspectTable,
    time::TimePoint,
};

use super::{
    invariant::InvariantCounts,
    node::EndpointNode,
    request::SimRequest,
    router::SimEntry,
    spec::{ExperimentSpec, ScenarioSpec},
    trace::TraceRequest,
};

/// Virtual time between two ticks of the queues and routers.
const TICK: Duration = Duration::from_millis(20);

/// Number of ticks per second of virtual time.
const TICKS_PER_SECOND: u64 = 50;

/// An event that is scheduled for a point in virtual time.
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// An attempt of the request with this index begins.
    Dispatch(usize),
    /// A step of the engine ends; ignored if `engine_run` is not the engine's current run.
    StepEnd { node: usize, engine_run: u64 },
    /// The deadline of the request with this index passes.
    Deadline(usize),
    /// Queues and routers receive the tick with this number.
    Tick(u64),
    /// Agents produce digests and entries produce reports of suspects.
    CollectDigests,
    /// Digests arrive at all entries.
    DeliverDigests(Vec<EndpointDigest>),
    /// Reports of suspects arrive at all entries.
    ShareSuspects(Vec<SuspectTable>),
    /// An endpoint crashes and restarts after `restart`.
    Crash { endpoint: Box<str>, restart: Duration },
    /// The endpoint with this index is up again.
    Restart(usize),
    /// The engine of an endpoint changes its speed.
    Slow { endpoint: Box<str>, speed: f64 },
}

/// Discrete-event simulator of entries, agents and engines.
#[derive(Debug)]
pub struct EventSimulator<'a> {
    /// All requests, including poison requests that were sent again.
    pub requests: Vec<SimRequest>,
    /// Endpoints with their agents.
    pub nodes: Vec<EndpointNode>,
    /// Counts of violated invariants.
    pub violations: InvariantCounts,
    /// Number of endpoint crashes that the poison request caused.
    pub poison_crashes: u32,
    spec: &'a ExperimentSpec,
    pub(super) scenario: &'a ScenarioSpec,
    pub(super) catalog: &'a ServiceCatalog,
    pub(super) now: TimePoint,
    pub(super) entries: Vec<SimEntry>,
    pub(super) node_indices: BTreeMap<EndpointKey, usize>,
    events: BinaryHeap<Reverse<(TimePoint, u64)>>,
    payloads: BTreeMap<u64, SimEvent>,
    next_sequence: u64,
    pub(super) open_requests: usize,
}

impl<'a> EventSimulator<'a> {
    /// Returns a simulator in which the arrivals of all requests of the trace are scheduled.
    ///
    /// # Errors
    ///
    /// Fails if the queue order that the catalog names does not exist.
    pub fn new(
        spec: &'a ExperimentSpec,
        scenario: &'a ScenarioSpec,
        catalog: &'a ServiceCatalog,
        trace: Vec<TraceRequest>,
        seed: u64,
    ) -> Result<EventSimulator<'a>, String> {
        let mut endpoints: Vec<EndpointKey> = catalog.live_endpoints().collect();
        endpoints.sort_unstable();
        let nodes: Option<Vec<EndpointNode>> = endpoints
            .iter()
            .map(|&key| EndpointNode::new(key, catalog, spec.prefill_us_per_token))
            .collect();
        let unknown = || format!("queue order \"{}\" does not exist", catalog.policies.queue);
        let route = &catalog.policies.route;
        let entry = |number| SimEntry::new(route, number, seed);
        let mut simulator = EventSimulator {
            requests: Vec::new(),
            nodes: nodes.ok_or_else(unknown)?,
            violations: InvariantCounts::default(),
            poison_crashes: 0,
            spec,
            scenario,
            catalog,
            now: TimePoint::ZERO,
            entries: (0..spec.entries).map(entry).collect(),
            node_indices: endpoints.iter().enumerate().map(|(index, &key)| (key, index)).collect(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_sequence: 0,
            open_requests: 0,
        };
        simulator.schedule_scenario_events();
        for request in trace {
            simulator.add_request(request);
        }
        Ok(simulator)
    }

    /// Processes events until the experiment's time is over and every request has ended.
    pub fn run(&mut self) {
        let end = TimePoint::from_micros((self.spec.seconds * 1e6) as u64);
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            self.now = at;
            if at > end && self.open_requests == 0 {
                return;
            }
            if let Some(event) = self.payloads.remove(&sequence) {
                self.handle_event(event);
            }
        }
    }

    fn schedule_scenario_events(&mut self) {
        let start = TimePoint::from_micros((self.spec.window[0] * 1e6) as u64);
        self.schedule(TimePoint::ZERO, SimEvent::CollectDigests);
        self.schedule(TimePoint::ZERO, SimEvent::Tick(1));
        if let Some(crash) = &self.scenario.crash {
            let restart = Duration::from_millis(crash.restart_ms);
            self.schedule(start, SimEvent::Crash { endpoint: crash.endpoint.clone(), restart });
        }
        if let Some(slow) = &self.scenario.slow {
            let event = SimEvent::Slow { endpoint: slow.endpoint.clone(), speed: slow.speed };
            self.schedule(start, event);
        }
    }

    pub(super) fn schedule(&mut self, at: TimePoint, event: SimEvent) {
        self.events.push(Reverse((at, self.next_sequence)));
        self.payloads.insert(self.next_sequence, event);
        self.next_sequence += 1;
    }

    /// Adds a request and schedules its arrival and its deadline.
    pub(super) fn add_request(&mut self, mut trace: TraceRequest) {
        let index = self.requests.len();
        trace.spec.id = RequestId(index as u128 + 1);
        self.schedule(trace.spec.arrived, SimEvent::Dispatch(index));
        self.schedule(trace.spec.deadline, SimEvent::Deadline(index));
        self.open_requests += 1;
        let entry = index % self.entries.len();
        self.requests.push(SimRequest::new(trace, entry));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Dispatch(index) => self.dispatch(index),
            SimEvent::StepEnd { node, engine_run } => self.end_step(node, engine_run),
            SimEvent::Deadline(index) => self.expire_deadline(index),
            SimEvent::Tick(number) => self.tick(number),
            SimEvent::CollectDigests => self.collect_digests(),
            SimEvent::DeliverDigests(digests) => self.deliver_digests(&digests),
            SimEvent::ShareSuspects(reports) => self.share_suspects(&reports),
            SimEvent::Crash { endpoint, restart } => {
                if let Some(node) = self.node_index(&endpoint) {
                    self.crash_node(node, restart);
                }
            }
            SimEvent::Restart(node) => {
                self.nodes[node].up = true;
                let (slots, kv_tokens) =
                    (self.nodes[node].spec.slots, self.nodes[node].spec.kv_tokens);
                self.step_queue(node, QueueEvent::Resize { slots, kv_tokens });
            }
            SimEvent::Slow { endpoint, speed } => {
                if let Some(node) = self.node_index(&endpoint) {
                    self.nodes[node].batch.set_speed(speed);
                }
            }
        }
    }

    fn node_index(&self, endpoint: &str) -> Option<usize> {
        self.node_indices.get(&self.catalog.endpoint(endpoint)?).copied()
    }

    fn tick(&mut self, number: u64) {
        for node in 0..self.nodes.len() {
            self.step_queue(node, QueueEvent::Tick);
            if number.is_multiple_of(TICKS_PER_SECOND) {
                self.nodes[node].end_second();
            }
        }
        for entry in 0..self.entries.len() {
            self.step_router(entry, RouteEvent::Tick);
        }
        self.schedule(self.now + TICK, SimEvent::Tick(number + 1));
    }

    fn collect_digests(&mut self) {
        let now = self.now;
        let digests = self.nodes.iter_mut().map(|node| node.digest(now)).collect();
        let lag = self.scenario.lag_ms.unwrap_or(self.spec.lag_ms);
        self.schedule(now + Duration::from_millis(lag), SimEvent::DeliverDigests(digests));
        let reports = self.entries.iter().filter_map(|entry| entry.suspects(now)).collect();
        self.schedule(
            now + Duration::from_millis(self.spec.lag_ms),
            SimEvent::ShareSuspects(reports),
        );
        self.schedule(now + Duration::from_millis(self.spec.digest_ms), SimEvent::CollectDigests);
    }

    fn share_suspects(&mut self, reports: &[SuspectTable]) {
        for entry in &mut self.entries {
            for report in reports {
                entry.merge_suspects(self.now, report);
            }
        }
    }

    fn deliver_digests(&mut self, digests: &[EndpointDigest]) {
        for entry in 0..self.entries.len() {
            for digest in digests {
                self.step_router(entry, RouteEvent::Digest(digest.clone()));
            }
        }
    }

    pub(super) fn step_router(&mut self, entry: usize, event: RouteEvent) {
        self.entries[entry].step(self.now, event, self.catalog);
    }
}
