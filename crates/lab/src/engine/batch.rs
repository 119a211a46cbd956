//! The step model of continuous batching, without a clock.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a run in a [`BatchModel`].
    pub struct RunKey;
}

/// One run that waits or holds a slot.
#[derive(Clone, Debug)]
pub struct BatchRun {
    /// Lower runs first.
    pub priority: u8,
    /// Prompt tokens still to be worked through when the run joins.
    pub prefill_tokens: u32,
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Steps for each token.
    pub stride: u32,
    /// Tokens given so far.
    pub done: u32,
    paused: bool,
    joined: bool,
    steps: u32,
    sequence: u64,
}

impl BatchRun {
    /// Returns a run that gets a token in each step.
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

    /// Returns the run with one token in `stride` steps.
    pub fn with_stride(self, stride: u32) -> BatchRun {
        BatchRun { stride: stride.max(1), ..self }
    }
}

/// A token that a step gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepToken {
    /// The run.
    pub run: RunKey,
    /// Position in the answer, from 0.
    pub index: u32,
    /// Whether the answer is whole; the run has left the batch then.
    pub last: bool,
}

/// Slots, their runs, and the time of a step.
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
    /// Returns an idle engine.
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

    /// Sets the speed; 0.25 makes each step four times as long.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(f64::MIN_POSITIVE);
    }

    /// Adds a run that waits for a slot.
    pub fn add(&mut self, run: BatchRun) -> RunKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.runs.insert(BatchRun { sequence, ..run })
    }

    /// Removes a run and returns it, if it is still there.
    pub fn remove(&mut self, run: RunKey) -> Option<BatchRun> {
        self.runs.remove(run)
    }

    /// Pauses or resumes a run; a paused one gives its slot up and keeps its tokens.
    pub fn set_paused(&mut self, run: RunKey, paused: bool) {
        if let Some(run) = self.runs.get_mut(run) {
            run.paused = paused;
            run.joined &= !paused;
        }
    }

    /// Returns whether a run is paused.
    pub fn is_paused(&self, run: RunKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.paused)
    }

    /// Returns how many runs hold a slot.
    pub fn running(&self) -> u32 {
        self.runs.values().filter(|run| run.joined).count() as u32
    }

    /// Returns how many runs wait or are paused.
    pub fn waiting(&self) -> u32 {
        self.runs.len() as u32 - self.running()
    }

    /// Lets waiting runs join and returns the time of the step, or `None` if nothing runs.
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

    /// Gives each running run its token; whole runs leave.
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
