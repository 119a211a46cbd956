//! Measurement of an endpoint's prefill and output speed.

use std::time::Duration;

use crate::time::TimePoint;

/// Time between two output tokens of one request if the settings give no speed.
const DEFAULT_TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// Until a measurement exists, the prefill of one prompt token is assumed to take the time between
/// two output tokens divided by this number.
const PREFILL_INTERVAL_DIVISOR: u64 = 20;

/// Prompt tokens added to each request for its fixed cost before the first prompt token.
const PROMPT_OVERHEAD: u64 = 64;

/// Length of the moving average of the time per output token, in output tokens. A sample over `n`
/// tokens counts `n` parts of this length.
const INTERVAL_AVERAGE_TOKENS: u64 = 256;

/// Length of the moving average of the prefill time, in first tokens or calls to a plain service,
/// of which each counts one part of this length.
const PREFILL_AVERAGE_SAMPLES: u64 = 16;

/// Time without a measurement after which the configured speed replaces the measured one.
///
/// Without this reset, an endpoint whose measured speed is too low for every deadline would
/// receive no requests and would never be measured again.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Measured speed of one endpoint: nanoseconds per output token and per prompt token. For a plain
/// service, a call counts as one output token.
#[derive(Clone, Debug)]
pub(crate) struct SpeedMeter {
    configured_interval: u64,
    token_interval: u64,
    prefill: u64,
    last_sample: TimePoint,
}

impl SpeedMeter {
    /// Returns a meter that uses the configured speed until a measurement exists.
    pub(crate) fn new(slots: u32, tokens_per_second: f64) -> SpeedMeter {
        let token_interval = if tokens_per_second > 0.0 && slots > 0 {
            (f64::from(slots) / tokens_per_second * 1e9) as u64
        } else {
            DEFAULT_TOKEN_INTERVAL.as_nanos() as u64
        };
        let token_interval = token_interval.max(1);
        SpeedMeter {
            configured_interval: token_interval,
            token_interval,
            prefill: token_interval / PREFILL_INTERVAL_DIVISOR,
            last_sample: TimePoint::ZERO,
        }
    }

    /// Records that `tokens` output tokens of one request took `elapsed`.
    pub(crate) fn record_tokens(&mut self, now: TimePoint, tokens: u32, elapsed: Duration) {
        let tokens = u64::from(tokens.max(1));
        let sample = elapsed.as_nanos() as u64 / tokens;
        self.token_interval =
            moving_average(self.token_interval, sample, tokens, INTERVAL_AVERAGE_TOKENS).max(1);
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
        self.token_interval = moving_average(
            self.token_interval,
            elapsed.as_nanos() as u64,
            1,
            PREFILL_AVERAGE_SAMPLES,
        )
        .max(1);
        self.prefill = moving_average(self.prefill, 0, 1, PREFILL_AVERAGE_SAMPLES);
        self.last_sample = now;
    }

    /// Restores the configured speed if the last measurement is older than `STALE_AFTER`;
    /// called only while no request runs.
    pub(crate) fn reset_if_stale(&mut self, now: TimePoint) {
        if now.since(self.last_sample) > STALE_AFTER {
            self.token_interval = self.configured_interval;
            self.prefill = self.configured_interval / PREFILL_INTERVAL_DIVISOR;
            self.last_sample = now;
        }
    }

    /// Returns the mean time between two output tokens of one request or, for a plain service, the
    /// mean time of a call.
    pub(crate) fn token_interval(&self) -> Duration {
        Duration::from_nanos(self.token_interval)
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
            + Duration::from_nanos(self.token_interval * u64::from(tokens))
    }
}

/// Returns the weighted average of `value` and `sample`, where `sample` counts `weight / length`,
/// at most a quarter.
fn moving_average(value: u64, sample: u64, weight: u64, length: u64) -> u64 {
    let weight = weight.min(length / 4);
    (value * (length - weight) + sample * weight) / length
}
