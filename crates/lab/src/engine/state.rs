//! The state of the engine stand-in.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use super::{
    EngineOptions,
    batch::{BatchModel, BatchRun, RunKey, StepToken},
    cache::PrefixCache,
    order_state::OrderState,
    recorded_run::{RecordedOutcome, RecordedRun},
};
use crate::answer;

/// Weight of the latest step in the moving average of the token rate.
const RATE_WEIGHT: f64 = 0.1;

/// Load samples are at least `load_lag_ms` divided by this number apart.
const SAMPLES_PER_LAG: u32 = 20;

/// Steps per token of a run whose prompt contains [`SLOW_MARKER`].
const SLOW_STRIDE: u32 = 10;

/// Text in a prompt that slows its run down.
const SLOW_MARKER: &str = "slow-token";

/// Text in a prompt that cuts its answer off halfway.
const CUT_MARKER: &str = "cut-stream";

/// A load report of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of runs that hold a slot.
    pub running: u32,
    /// Number of runs that wait for a slot or are paused.
    pub waiting: u32,
    /// Moving average of the output tokens per second; 0 while no run holds a slot.
    pub tokens_per_second: f64,
}

/// A run that has not ended, with the channel that receives its tokens.
#[derive(Debug)]
struct OpenRun {
    recorded_index: usize,
    cut_at: Option<u32>,
    crash: bool,
    tokens: UnboundedSender<StepToken>,
}

/// The batch, prefix cache, orders, recorded runs and load samples of the engine stand-in.
#[derive(Debug)]
pub struct EngineState {
    pub(crate) batch: BatchModel,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: OrderState,
    pub(crate) recorded_runs: Vec<RecordedRun>,
    open: SecondaryMap<RunKey, OpenRun>,
    crash_on: Option<Box<str>>,
    load_lag: Duration,
    loads: VecDeque<(Instant, EngineLoad)>,
    rate: f64,
}

impl EngineState {
    /// Returns the state of an engine that has received no requests.
    pub fn new(options: &EngineOptions) -> EngineState {
        let models = options.model.split(',').map(Box::from).collect();
        let step = Duration::from_micros(options.step_us);
        let prefill = Duration::from_micros(options.prefill_us_per_token);
        EngineState {
            batch: BatchModel::new(options.slots, step, prefill),
            cache: PrefixCache::new(Duration::from_millis(options.cache_lag_ms)),
            orders: OrderState::new(options.check_fencing, models),
            recorded_runs: Vec::new(),
            open: SecondaryMap::new(),
            crash_on: options.crash_on.as_deref().map(Box::from),
            load_lag: Duration::from_millis(options.load_lag_ms),
            loads: VecDeque::from([(Instant::now(), EngineLoad::default())]),
            rate: 0.0,
        }
    }

    /// Adds a run and returns its key and the channel from which its tokens are received.
    pub fn open(
        &mut self,
        recorded: RecordedRun,
        prompt: &str,
        tokens: u32,
    ) -> (RunKey, UnboundedReceiver<StepToken>) {
        let cached = self.cache.store_prompt(&recorded.model, prompt);
        let prefill = answer::prompt_tokens(prompt).saturating_sub(cached);
        let stride = if prompt.contains(SLOW_MARKER) { SLOW_STRIDE } else { 1 };
        let run = BatchRun::new(recorded.priority, prefill, tokens).with_stride(stride);
        let key = self.batch.add(run);
        let (sender, receiver) = mpsc::unbounded_channel();
        let open = OpenRun {
            recorded_index: self.recorded_runs.len(),
            cut_at: prompt.contains(CUT_MARKER).then_some(tokens / 2),
            crash: self.crash_on.as_ref().is_some_and(|text| prompt.contains(&**text)),
            tokens: sender,
        };
        self.open.insert(key, open);
        self.recorded_runs.push(recorded);
        self.record_load();
        (key, receiver)
    }

    /// Removes a run and records its outcome, unless the run has already ended.
    pub fn close(&mut self, run: RunKey, outcome: RecordedOutcome) {
        self.batch.remove(run);
        if let Some(open) = self.open.remove(run) {
            self.recorded_runs[open.recorded_index].outcome = outcome;
        }
        self.record_load();
    }

    /// Returns the open runs whose request has the id `request_id`.
    pub fn runs_for_request(&self, request_id: &str) -> Vec<RunKey> {
        let runs = self.open.iter();
        let of_request = runs
            .filter(|(_, open)| &*self.recorded_runs[open.recorded_index].request_id == request_id);
        of_request.map(|(key, _)| key).collect()
    }

    /// Finishes a step that took `time` and delivers its tokens.
    ///
    /// Returns `true` if one of the runs with a new token crashes the engine.
    pub fn finish_step(&mut self, time: Duration) -> bool {
        let tokens = self.batch.finish_step();
        let rate = tokens.len() as f64 / time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.rate += RATE_WEIGHT * (rate - self.rate);
        let crash =
            tokens.iter().any(|token| self.open.get(token.run).is_some_and(|run| run.crash));
        for token in tokens {
            self.deliver_token(token);
        }
        self.record_load();
        crash
    }

    /// Returns the load as it was `load_lag_ms` ago.
    pub fn load(&mut self) -> EngineLoad {
        let now = Instant::now();
        while let Some((at, _)) = self.loads.get(1) {
            if now.duration_since(*at) < self.load_lag {
                break;
            }
            self.loads.pop_front();
        }
        self.loads.front().map(|&(_, load)| load).unwrap_or_default()
    }

    /// Sends a token to the client or cuts the answer off, and closes a run that has ended.
    fn deliver_token(&mut self, token: StepToken) {
        let Some(open) = self.open.get(token.run) else { return };
        let cut = open.cut_at == Some(token.index);
        if !cut {
            self.recorded_runs[open.recorded_index].tokens += 1;
            // A failed send is ignored: a dropped receiver's `RunGuard` cancels the run.
            let _ = open.tokens.send(token);
        }
        if cut {
            self.close(token.run, RecordedOutcome::Cut);
        } else if token.last {
            self.close(token.run, RecordedOutcome::Completed);
        }
    }

    /// Adds a load sample.
    ///
    /// The new sample replaces the last one if the sample before the last is less than
    /// `load_lag_ms / SAMPLES_PER_LAG` old.
    fn record_load(&mut self) {
        let now = Instant::now();
        let idle = self.batch.running() == 0;
        let load = EngineLoad {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            tokens_per_second: if idle { 0.0 } else { self.rate },
        };
        let spacing = self.load_lag / SAMPLES_PER_LAG;
        match self.loads.len().checked_sub(2).map(|previous| self.loads[previous].0) {
            Some(previous) if now.duration_since(previous) < spacing => {
                self.loads.pop_back();
            }
            _ => {}
        }
        self.loads.push_back((now, load));
        self.load();
    }
}
