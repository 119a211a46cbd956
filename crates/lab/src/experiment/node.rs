//! A simulated endpoint with the queue of its agent.

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

/// Number of recent crashes that digests report.
const MAX_REPORTED_CRASHES: usize = 4;

/// Measurements of a class at an endpoint during one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassSecond {
    /// Number of output tokens that were generated.
    pub tokens: u64,
    /// Whether the endpoint was up and requests of the class waited during the whole second.
    pub has_waiting: bool,
}

/// Measurements of a class at an endpoint.
#[derive(Clone, Debug, Default)]
pub struct ClassMeter {
    /// Number of requests that are waiting.
    pub waiting: u32,
    /// Whether no request was waiting at some time in the current second.
    had_idle_time: bool,
    tokens: u64,
    /// Measurements of each complete second since the start.
    pub seconds: Vec<ClassSecond>,
}

/// A simulated endpoint with the queue of its agent.
#[derive(Debug)]
pub struct EndpointNode {
    /// Key of the endpoint in the catalog.
    pub key: EndpointKey,
    /// Settings of the endpoint.
    pub spec: EndpointSpec,
    /// Queue of the agent.
    pub queue: EndpointQueue,
    /// Step model of the engine.
    pub batch: BatchModel,
    /// Index of the request of each run.
    pub runs: SecondaryMap<RunKey, usize>,
    /// Whether the engine is within a step.
    pub step_in_progress: bool,
    /// Number of the engine's current run, which grows with each crash, so that the end of a step
    /// that began before a crash can be ignored.
    pub engine_run: u64,
    /// Whether the endpoint is up.
    pub up: bool,
    /// Measurements by class.
    pub meters: BTreeMap<ClassKey, ClassMeter>,
    /// Gate that isolates requests suspected of crashing an endpoint.
    pub gate: SuspectGate,
    sequence: u64,
    entry_progress: Vec<EntryProgress>,
    crashes: Vec<CrashReport>,
}

impl EndpointNode {
    /// Returns an idle endpoint, or `None` if the catalog's queue order does not exist.
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
            step_in_progress: false,
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

    /// Reports whether the endpoint is a model engine.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == EndpointKind::Engine
    }

    /// Returns the number of runs that are not paused.
    pub fn active_runs(&self) -> usize {
        self.runs.keys().filter(|&run| !self.batch.is_paused(run)).count()
    }

    /// Returns the index of the request that a token belongs to, and removes the request's run if
    /// the token is the last.
    pub fn request_for_token(&mut self, token: StepToken) -> Option<usize> {
        if token.last { self.runs.remove(token.run) } else { self.runs.get(token.run).copied() }
    }

    /// Records the highest ordinal of the requests that an entry has sent to the endpoint.
    pub fn record_sent_ordinal(&mut self, entry: &ProcessId, ordinal: u64) {
        match self.entry_progress.iter_mut().find(|progress| progress.entry == *entry) {
            Some(progress) => progress.ordinal = progress.ordinal.max(ordinal),
            None => self.entry_progress.push(EntryProgress { entry: entry.clone(), ordinal }),
        }
    }

    /// Adds `change` to the number of waiting requests of a class.
    pub fn adjust_waiting(&mut self, class: ClassKey, change: i32) {
        let meter = self.meters.entry(class).or_default();
        meter.waiting = meter.waiting.saturating_add_signed(change);
        meter.had_idle_time |= meter.waiting == 0;
    }

    /// Adds output tokens to the current second of a class.
    pub fn add_tokens(&mut self, class: ClassKey, tokens: u64) {
        self.meters.entry(class).or_default().tokens += tokens;
    }

    /// Completes the current second of all classes.
    pub fn end_second(&mut self) {
        for meter in self.meters.values_mut() {
            let has_waiting = !meter.had_idle_time && meter.waiting > 0 && self.up;
            meter
                .seconds
                .push(ClassSecond { tokens: std::mem::take(&mut meter.tokens), has_waiting });
            meter.had_idle_time = meter.waiting == 0;
        }
    }

    /// Crashes the engine: removes all runs and returns the indices of their requests.
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
        self.step_in_progress = false;
        self.up = false;
        lost
    }

    /// Returns the digest that the agent sends to the entries.
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

/// Returns the index of a request in the simulator's list of requests.
pub fn index_of(request: RequestId) -> usize {
    request.0 as usize - 1
}
