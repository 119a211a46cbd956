//! One endpoint with the queue of the agent beside it.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    catalog::{EndpointKind, EndpointSpec, ServiceCatalog},
    ids::{ClassKey, EndpointKey, ProcessId, RequestId},
    queue::{self, EndpointQueue},
    route::{CrashReport, EndpointDigest, EntryProgress},
    suspect::SuspectGate,
    time::TimePoint,
};
use slotmap::SecondaryMap;

use super::spec::step_us;
use crate::engine::{BatchModel, RunKey, StepToken};

/// Crashes that digests still name.
const MAX_REPORTED_CRASHES: usize = 4;

/// One second of a class at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassSecond {
    /// Output tokens.
    pub tokens: u64,
    /// Whether requests waited through all of the second.
    pub busy: bool,
}

/// A class at an endpoint.
#[derive(Clone, Debug, Default)]
pub struct ClassMeter {
    /// Requests that wait now.
    pub waiting: u32,
    idle: bool,
    tokens: u64,
    /// Whole seconds since the start.
    pub seconds: Vec<ClassSecond>,
}

/// One endpoint with the queue of the agent beside it.
#[derive(Debug)]
pub struct EndpointNode {
    /// Key in the catalog.
    pub key: EndpointKey,
    /// Settings.
    pub spec: EndpointSpec,
    /// The agent's queue.
    pub queue: EndpointQueue,
    /// The engine.
    pub batch: BatchModel,
    /// Request of each run.
    pub runs: SecondaryMap<RunKey, usize>,
    /// Whether a step is under way.
    pub stepping: bool,
    /// Grows with each crash, so that the end of an earlier step is told apart.
    pub engine_run: u64,
    /// Whether the endpoint answers.
    pub up: bool,
    /// Meters by class.
    pub meters: BTreeMap<ClassKey, ClassMeter>,
    /// Keeps suspects apart.
    pub gate: SuspectGate,
    sequence: u64,
    entry_progress: Vec<EntryProgress>,
    crashes: Vec<CrashReport>,
}

impl EndpointNode {
    /// Returns an idle endpoint, or `None` if the queue order does not exist.
    pub fn new(key: EndpointKey, catalog: &ServiceCatalog, prefill_us: u64) -> Option<Self> {
        let spec = catalog.endpoints[key].clone();
        let (slots, rate) = (spec.slots, spec.tokens_per_second);
        let queue = queue::build(&catalog.policies.queue, slots, spec.kv_tokens, rate)?;
        let step = Duration::from_secs_f64(step_us(&spec) / 1e6);
        let meters = catalog.classes.keys().map(|class| (class, ClassMeter::default()));
        Some(EndpointNode {
            key,
            queue,
            batch: BatchModel::new(slots, step, Duration::from_micros(prefill_us)),
            runs: SecondaryMap::new(),
            stepping: false,
            engine_run: 1,
            up: true,
            meters: meters.collect(),
            gate: SuspectGate::new(),
            sequence: 0,
            entry_progress: Vec::new(),
            crashes: Vec::new(),
            spec,
        })
    }

    /// Returns whether this is a model engine.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == EndpointKind::Engine
    }

    /// Returns how many requests run.
    pub fn active(&self) -> usize {
        self.runs.keys().filter(|&run| !self.batch.is_paused(run)).count()
    }

    /// Returns the request of a token, and forgets its run if that has ended.
    pub fn take_run(&mut self, token: StepToken) -> Option<usize> {
        if token.last { self.runs.remove(token.run) } else { self.runs.get(token.run).copied() }
    }

    /// Notes how far the sends of an entry have come.
    pub fn record_sent_ordinal(&mut self, entry: &ProcessId, ordinal: u64) {
        match self.entry_progress.iter_mut().find(|progress| progress.entry == *entry) {
            Some(progress) => progress.ordinal = progress.ordinal.max(ordinal),
            None => self.entry_progress.push(EntryProgress { entry: entry.clone(), ordinal }),
        }
    }

    /// Changes how many requests of a class wait.
    pub fn add_waiting(&mut self, class: ClassKey, change: i32) {
        let meter = self.meters.entry(class).or_default();
        meter.waiting = meter.waiting.saturating_add_signed(change);
        meter.idle |= meter.waiting == 0;
    }

    /// Counts output tokens of a class.
    pub fn add_tokens(&mut self, class: ClassKey, tokens: u64) {
        self.meters.entry(class).or_default().tokens += tokens;
    }

    /// Ends a second of all meters.
    pub fn end_second(&mut self) {
        for meter in self.meters.values_mut() {
            let busy = !meter.idle && meter.waiting > 0 && self.up;
            meter.seconds.push(ClassSecond { tokens: std::mem::take(&mut meter.tokens), busy });
            meter.idle = meter.waiting == 0;
        }
    }

    /// Takes all runs away with the engine; returns their requests.
    pub fn crash(&mut self, now: TimePoint, fingerprint: impl Fn(usize) -> u64) -> Vec<usize> {
        let lost: Vec<usize> = self.runs.values().copied().collect();
        for run in self.runs.keys().collect::<Vec<RunKey>>() {
            self.batch.remove(run);
        }
        self.runs.clear();
        let fingerprints: Vec<u64> = lost.iter().map(|&request| fingerprint(request)).collect();
        self.gate.record_crash(now, &self.spec.name, self.engine_run, &fingerprints);
        self.crashes.push(CrashReport { crash_id: self.engine_run, fingerprints });
        if self.crashes.len() > MAX_REPORTED_CRASHES {
            self.crashes.remove(0);
        }
        self.engine_run += 1;
        self.stepping = false;
        self.up = false;
        lost
    }

    /// Returns what the agent tells entries.
    pub fn digest(&mut self, now: TimePoint) -> EndpointDigest {
        let queue = self.queue.digest(now);
        self.sequence += 1;
        EndpointDigest {
            endpoint: self.spec.name.clone(),
            sequence: self.sequence,
            running: queue.running,
            waiting: queue.waiting,
            pending_tokens: queue.pending_tokens,
            tokens_per_second: queue.tokens_per_second,
            step_time: queue.step_time,
            up: self.up,
            models: self.spec.models.clone(),
            incarnation: 1,
            engine_run: self.engine_run,
            seen: self.entry_progress.clone(),
            crashes: self.crashes.clone(),
            ..EndpointDigest::default()
        }
    }
}

/// Returns the place in the trace of a request.
pub fn index_of(request: RequestId) -> usize {
    request.0 as usize - 1
}
