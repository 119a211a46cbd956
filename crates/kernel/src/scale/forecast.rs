//! Demand for one model: its level, trend, noise and peaks.

use std::{collections::VecDeque, time::Duration};

use crate::time::TimePoint;

/// Time over which the level follows demand.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Time over which the trend follows the level.
const TREND_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Time over which the noise follows the deviations from the level.
const NOISE_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Mean deviations above the forecast that capacity must cover.
const NOISE_MARGIN: f64 = 2.0;

/// Width of one slot of the record of peaks.
const PEAK_BUCKET: Duration = Duration::from_secs(10);

/// Demand for one model: smoothed level and trend (Holt's method), noise and peaks.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    updated: Option<TimePoint>,
    first: TimePoint,
    level: f64,
    trend: f64,
    noise: f64,
    /// Start and highest demand or forecast of each slot, oldest first.
    peaks: VecDeque<(TimePoint, f64)>,
}

impl DemandForecast {
    /// Returns a forecast that has seen no demand.
    pub fn new() -> DemandForecast {
        DemandForecast::default()
    }

    /// Notes the demand, in tokens a second, since the last note; peaks older than `keep` go.
    ///
    /// The forecast for `lead` ahead counts among the peaks: what made an endpoint start must
    /// be past before one is stopped.
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

    /// Returns the demand to be ready for after `lead`, noise included.
    pub fn predict(&self, lead: Duration) -> f64 {
        self.level + self.trend.max(0.0) * lead.as_secs_f64() + NOISE_MARGIN * self.noise
    }

    /// Returns the highest demand or forecast of the record.
    pub fn peak(&self) -> f64 {
        self.peaks.iter().map(|(_, peak)| *peak).fold(0.0, f64::max)
    }

    /// Returns for how long demand has been noted.
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
