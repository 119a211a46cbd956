//! A model of continuous batching that advances step by step and does not read a clock.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a run in a [`BatchModel`].
    pub struct RunKey;
}

/// A request in the batch, which waits for a slot, holds a slot, or is paused.
#[derive(Clone, Debug)]
pub struct BatchRun {
    /// Priority; waiting runs with a lower value get slots first.
    pub priority: u8,
    /// Prompt tokens to prefill when the run gets a slot; 0 once they are prefilled.
    pub prefill_tokens: u32,
    /// Number of tokens of the complete answer.
    pub tokens: u32,
    /// Number of steps per output token.
    pub stride: u32,
    /// Number of tokens generated so far.
    pub done: u32,
    paused: bool,
    joined: bool,
    steps: u32,
    sequence: u64,
}

impl BatchRun {
    /// Returns a run that generates a token in each step.
    pub fn new(priority: u8, prefill_tokens: u32, tokens: u32) -> BatchRun {
        BatchRun {
            priority,
            prefill_tokens,
            tokens,
            stride: 1,
            done: 0,
            paused: false,
            joined: false,
            steps: 0,
            sequence: 0,
        }
    }

    /// Returns the run with one token every `stride` steps; 0 counts as 1.
    pub fn with_stride(self, stride: u32) -> BatchRun {
        BatchRun { stride: stride.max(1), ..self }
    }
}

/// A token that a step generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepToken {
    /// The run that generated the token.
    pub run: RunKey,
    /// Position of the token in the answer, from 0.
    pub index: u32,
    /// Whether the token completes the answer, in which case the run has left the batch.
    pub last: bool,
}

/// The slots and runs of an engine and the duration of its steps.
#[derive(Clone, Debug)]
pub struct BatchModel {
    slots: u32,
    step: Duration,
    prefill_per_token: Duration,
    speed: f64,
    runs: SlotMap<RunKey, BatchRun>,
    next_sequence: u64,
}

impl BatchModel {
    /// Returns a batch without runs.
    pub fn new(slots: u32, step: Duration, prefill_per_token: Duration) -> BatchModel {
        BatchModel {
            slots,
            step,
            prefill_per_token,
            speed: 1.0,
            runs: SlotMap::with_key(),
            next_sequence: 0,
        }
    }

    /// Sets the speed, which is 1 at first; 0.25 makes each step four times as long.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(f64::MIN_POSITIVE);
    }

    /// Adds a run, which waits for a slot.
    pub fn add(&mut self, run: BatchRun) -> RunKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.runs.insert(BatchRun { sequence, ..run })
    }

    /// Removes a run and returns it, or `None` if it has already left the batch.
    pub fn remove(&mut self, run: RunKey) -> Option<BatchRun> {
        self.runs.remove(run)
    }

    /// Pauses or resumes a run; a paused run releases its slot and keeps its progress.
    pub fn set_paused(&mut self, run: RunKey, paused: bool) {
        if let Some(run) = self.runs.get_mut(run) {
            run.paused = paused;
            run.joined &= !paused;
        }
    }

    /// Reports whether a run is paused.
    pub fn is_paused(&self, run: RunKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.paused)
    }

    /// Returns the number of runs that hold a slot.
    pub fn running(&self) -> u32 {
        self.runs.values().filter(|run| run.joined).count() as u32
    }

    /// Returns the number of runs that wait for a slot or are paused.
    pub fn waiting(&self) -> u32 {
        self.runs.len() as u32 - self.running()
    }

    /// Gives free slots to waiting runs and returns the duration of the step.
    ///
    /// Returns `None` if no run holds a slot.
    pub fn begin_step(&mut self) -> Option<Duration> {
        let mut free = self.slots.saturating_sub(self.running());
        let mut prefill_tokens = 0;
        while free > 0 {
            let Some(run) = self.next_waiting() else { break };
            prefill_tokens += std::mem::take(&mut self.runs[run].prefill_tokens);
            self.runs[run].joined = true;
            free -= 1;
        }
        if self.running() == 0 {
            return None;
        }
        let time = self.step + self.prefill_per_token * prefill_tokens;
        Some(time.div_f64(self.speed))
    }

    /// Generates the tokens of the step and removes the runs whose answers are complete.
    pub fn finish_step(&mut self) -> Vec<StepToken> {
        let mut tokens = Vec::new();
        for (key, run) in self.runs.iter_mut().filter(|(_, run)| run.joined) {
            run.steps += 1;
            if !run.steps.is_multiple_of(run.stride) {
                continue;
            }
            tokens.push(StepToken { run: key, index: run.done, last: run.done + 1 >= run.tokens });
            run.done += 1;
        }
        for token in tokens.iter().filter(|token| token.last) {
            self.runs.remove(token.run);
        }
        tokens
    }

    fn next_waiting(&self) -> Option<RunKey> {
        let waiting = self.runs.iter().filter(|(_, run)| !run.joined && !run.paused);
        waiting.min_by_key(|(_, run)| (run.priority, run.sequence)).map(|(key, _)| key)
    }
}
