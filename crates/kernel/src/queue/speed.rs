//! Measurement of an endpoint's prefill and output speed.

use std::time::Duration;

use crate::time::TimePoint;

/// Time between two output tokens of one request if the settings give no speed.
const DEFAULT_STEP: Duration = Duration::from_millis(20);

/// Prefill of one prompt token takes the time between two output tokens divided by this number
/// until a measurement exists.
const PREFILL_STEP_DIVISOR: u64 = 20;

/// Prompt tokens added to each request for its fixed cost before the first prompt token.
const PROMPT_OVERHEAD: u64 = 64;

/// Number of output tokens over which the moving average of the time per token has mostly
/// adopted a new value.
const STEP_AVERAGE_TOKENS: u64 = 256;

/// Number of first tokens over which the moving average of the prefill time has mostly adopted
/// a new value.
const PREFILL_AVERAGE_SAMPLES: u64 = 16;

/// Time without a measurement after which the configured speed replaces the measured one.
///
/// Without this reset, an endpoint whose measured speed is too low for every deadline would
/// receive no requests and would never be measured again.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Measured speed of one endpoint: nanoseconds per output token and per prompt token.
#[derive(Clone, Debug)]
pub(crate) struct SpeedMeter {
    configured_step: u64,
    step: u64,
    prefill: u64,
    last_sample: TimePoint,
}

impl SpeedMeter {
    /// Returns a meter that uses the configured speed until a measurement exists.
    pub(crate) fn new(slots: u32, tokens_per_second: f64) -> SpeedMeter {
        let step = if tokens_per_second > 0.0 && slots > 0 {
            (f64::from(slots) / tokens_per_second * 1e9) as u64
        } else {
            DEFAULT_STEP.as_nanos() as u64
        };
        let step = step.max(1);
        SpeedMeter {
            configured_step: step,
            step,
            prefill: step / PREFILL_STEP_DIVISOR,
            last_sample: TimePoint::ZERO,
        }
    }

    /// Records that `tokens` output tokens of one request took `elapsed`.
    pub(crate) fn record_tokens(&mut self, now: TimePoint, tokens: u32, elapsed: Duration) {
        let tokens = u64::from(tokens.max(1));
        let sample = elapsed.as_nanos() as u64 / tokens;
        self.step = moving_average(self.step, sample, tokens, STEP_AVERAGE_TOKENS).max(1);
        self.last_sample = now;
    }

    /// Records that the first token of a request with `prompt_tokens` took `elapsed`.
    pub(crate) fn record_first_token(
        &mut self,
        now: TimePoint,
        prompt_tokens: u32,
        elapsed: Duration,
    ) {
        let sample = elapsed.as_nanos() as u64 / (u64::from(prompt_tokens) + PROMPT_OVERHEAD);
        self.prefill = moving_average(self.prefill, sample, 1, PREFILL_AVERAGE_SAMPLES);
        self.last_sample = now;
    }

    /// Records a call to a plain service, which has neither prompt nor output tokens.
    pub(crate) fn record_call(&mut self, now: TimePoint, elapsed: Duration) {
        self.step =
            moving_average(self.step, elapsed.as_nanos() as u64, 1, PREFILL_AVERAGE_SAMPLES).max(1);
        self.prefill = moving_average(self.prefill, 0, 1, PREFILL_AVERAGE_SAMPLES);
        self.last_sample = now;
    }

    /// Restores the configured speed if the last measurement is older than `STALE_AFTER`;
    /// called only while no request runs.
    pub(crate) fn reset_if_stale(&mut self, now: TimePoint) {
        if now.since(self.last_sample) > STALE_AFTER {
            self.step = self.configured_step;
            self.prefill = self.configured_step / PREFILL_STEP_DIVISOR;
            self.last_sample = now;
        }
    }

    /// Returns the mean time between two output tokens of one request.
    pub(crate) fn step_time(&self) -> Duration {
        Duration::from_nanos(self.step)
    }

    /// Returns the expected time from the start of a request with `prompt_tokens` to its first
    /// token.
    pub(crate) fn time_to_first_token(&self, prompt_tokens: u32) -> Duration {
        Duration::from_nanos(self.prefill * (u64::from(prompt_tokens) + PROMPT_OVERHEAD))
    }

    /// Returns the expected time from the start of a request to the last of its `tokens` output
    /// tokens.
    pub(crate) fn service_time(&self, prompt_tokens: u32, tokens: u32) -> Duration {
        self.time_to_first_token(prompt_tokens)
            + Duration::from_nanos(self.step * u64::from(tokens))
    }
}

/// Returns the weighted average of `value` and `sample`, where `sample` has `weight` of
/// `memory` parts, at most a quarter.
fn moving_average(value: u64, sample: u64, weight: u64, memory: u64) -> u64 {
    let weight = weight.min(memory / 4);
    (value * (memory - weight) + sample * weight) / memory
}
