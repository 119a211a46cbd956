//! Demand forecast for one model from the level, trend, noise and peaks of past demand.

use std::{collections::VecDeque, time::Duration};

use crate::time::TimePoint;

/// Time constant of the exponential smoothing of the level.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Time constant of the exponential smoothing of the trend.
const TREND_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Time constant of the exponential smoothing of the deviations from the expected demand.
const NOISE_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Number of mean deviations by which a prediction exceeds the expected demand.
const NOISE_MARGIN: f64 = 2.0;

/// Time span of one bucket of the peak history.
const PEAK_BUCKET: Duration = Duration::from_secs(10);

/// Forecasts the demand for one model from its smoothed level and trend (Holt's method) and its
/// noise, and keeps the recent peaks.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    updated: Option<TimePoint>,
    first: TimePoint,
    level: f64,
    trend: f64,
    noise: f64,
    /// Start time and highest demand or forecast of each bucket, oldest first.
    peaks: VecDeque<(TimePoint, f64)>,
}

impl DemandForecast {
    /// Returns a forecast without observed demand.
    pub fn new() -> DemandForecast {
        DemandForecast::default()
    }

    /// Records the demand since the previous call, in tokens per second, and removes peaks older
    /// than `keep`.
    ///
    /// The prediction for `lead` ahead is recorded among the peaks as well, so that an endpoint
    /// that was started because of a prediction is not stopped as surplus before `keep` has passed.
    pub fn observe(&mut self, now: TimePoint, demand: f64, lead: Duration, keep: Duration) {
        match self.updated {
            None => {
                self.first = now;
                self.level = demand;
            }
            Some(at) => self.smooth(now.since(at).as_secs_f64(), demand),
        }
        self.updated = Some(now);
        let needed = demand.max(self.predict(lead));
        match self.peaks.back_mut() {
            Some((start, peak)) if now.since(*start) < PEAK_BUCKET => *peak = peak.max(needed),
            _ => self.peaks.push_back((now, needed)),
        }
        while self.peaks.front().is_some_and(|(start, _)| now.since(*start) > keep + PEAK_BUCKET) {
            self.peaks.pop_front();
        }
    }

    /// Returns the predicted demand after `lead`, including a margin for noise.
    pub fn predict(&self, lead: Duration) -> f64 {
        self.level + self.trend.max(0.0) * lead.as_secs_f64() + NOISE_MARGIN * self.noise
    }

    /// Returns the highest recent demand or forecast.
    pub fn peak(&self) -> f64 {
        self.peaks.iter().map(|(_, peak)| *peak).fold(0.0, f64::max)
    }

    /// Returns the time between the first and the last recorded demand.
    pub fn observed(&self) -> Duration {
        self.updated.map_or(Duration::ZERO, |at| at.since(self.first))
    }

    fn smooth(&mut self, elapsed: f64, demand: f64) {
        if elapsed <= 0.0 {
            return;
        }
        let gain = |span: Duration| 1.0 - (-elapsed / span.as_secs_f64()).exp();
        let expected = self.level + self.trend * elapsed;
        let level = expected + gain(LEVEL_TIME_CONSTANT) * (demand - expected);
        let slope = (level - self.level) / elapsed;
        self.trend += gain(TREND_TIME_CONSTANT) * (slope - self.trend);
        self.noise += gain(NOISE_TIME_CONSTANT) * ((demand - expected).abs() - self.noise);
        self.level = level.max(0.0);
    }
}
