//! Detection of stragglers from the response times that the entry measures.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::{
    ids::{EndpointKey, ModelKey},
    time::TimePoint,
};

/// Ratio to the median of the pool at and above which an endpoint is ejected.
pub const EJECT_RATIO: f64 = 2.5;

/// Ratio to the median below which a difference is treated as noise.
const NOISE_RATIO: f64 = 1.5;

/// Weight of the ratio of first-token times, which vary with queue lengths and prompts.
const FIRST_TOKEN_WEIGHT: f64 = 0.25;

/// Maximum share of a pool that may be ejected at the same time, in percent.
pub const MAX_EJECTED_PERCENT: usize = 30;

/// Minimum number of pool members for an ejection; the median of fewer members is meaningless.
pub const MIN_POOL_MEMBERS: usize = 3;

/// Minimum number of samples for a mean to be compared.
const MIN_SAMPLES: u32 = 5;

/// Weight of the newest sample in a moving mean.
const SAMPLE_GAIN: f64 = 0.2;

/// Age at which measured times are discarded.
const SAMPLE_TTL: Duration = Duration::from_secs(60);

/// Duration of the first ejection; the duration doubles with each consecutive ejection.
const EJECT_BASE: Duration = Duration::from_secs(10);

/// Maximum number of doublings of the ejection duration.
const EJECT_DOUBLINGS: u32 = 4;

/// Time in which the traffic share of a reinstated endpoint rises to its full value.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Initial traffic share of a reinstated endpoint.
const RAMP_START: f64 = 0.1;

/// An exponential moving mean of measured times, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    mean: f64,
    samples: u32,
}

impl MovingMean {
    fn add(&mut self, sample: f64) {
        let gain = if self.samples == 0 { 1.0 } else { SAMPLE_GAIN };
        self.mean += gain * (sample - self.mean);
        self.samples += 1;
    }

    fn reliable(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

/// The measured times of one endpoint for one model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelStats {
    first_token: MovingMean,
    between_tokens: MovingMean,
    updated: TimePoint,
}

/// The measured times and the ejection state of one endpoint.
#[derive(Debug, Default)]
struct EndpointStats {
    models: Vec<(ModelKey, ModelStats)>,
    slowdown: f64,
    ejections: u32,
    ejected_until: Option<TimePoint>,
    reinstated_at: Option<TimePoint>,
}

impl EndpointStats {
    fn model_mut(&mut self, model: ModelKey) -> &mut ModelStats {
        let known = self.models.iter().position(|(key, _)| *key == model);
        let index = known.unwrap_or_else(|| {
            self.models.push((model, ModelStats::default()));
            self.models.len() - 1
        });
        &mut self.models[index].1
    }

    fn model(&self, model: ModelKey) -> Option<&ModelStats> {
        self.models.iter().find(|(key, _)| *key == model).map(|(_, model_stats)| model_stats)
    }
}

/// Ejects endpoints that are much slower than the median of the endpoints for the same model.
#[derive(Debug, Default)]
pub struct StragglerDetector {
    endpoints: SecondaryMap<EndpointKey, EndpointStats>,
}

impl StragglerDetector {
    /// Returns a detector without measurements.
    pub fn new() -> StragglerDetector {
        StragglerDetector::default()
    }

    /// Records the time to the first token of a request.
    pub fn first_token(
        &mut self,
        now: TimePoint,
        endpoint: EndpointKey,
        model: ModelKey,
        span: Duration,
    ) {
        let model_stats = self.stats_mut(endpoint).model_mut(model);
        model_stats.first_token.add(span.as_secs_f64());
        model_stats.updated = now;
    }

    /// Records the mean time between some consecutive tokens of a request.
    pub fn between_tokens(
        &mut self,
        now: TimePoint,
        endpoint: EndpointKey,
        model: ModelKey,
        span: Duration,
    ) {
        let model_stats = self.stats_mut(endpoint).model_mut(model);
        model_stats.between_tokens.add(span.as_secs_f64());
        model_stats.updated = now;
    }

    /// Ejects stragglers and returns the endpoints that were ejected by this call.
    ///
    /// At most [`MAX_EJECTED_PERCENT`] of the members of a pool are ejected at the same time, but a
    /// pool with at least [`MIN_POOL_MEMBERS`] members may always have one ejected member.
    pub fn eject_stragglers(
        &mut self,
        now: TimePoint,
        pools: &[(ModelKey, &[EndpointKey])],
    ) -> Vec<EndpointKey> {
        self.end_ejections(now);
        self.reinstate_surplus(now, pools);
        for stats in self.endpoints.values_mut() {
            stats.slowdown = 1.0;
            stats.models.retain(|(_, model_stats)| now.since(model_stats.updated) < SAMPLE_TTL);
        }
        let mut slow = Vec::new();
        for &(model, members) in pools {
            self.compare(model, members, &mut slow);
        }
        slow.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        slow.dedup_by_key(|(endpoint, _)| *endpoint);
        let mut ejected = Vec::new();
        for (endpoint, _) in slow {
            if !self.is_ejected(endpoint) && self.fits_cap(endpoint, pools) {
                self.eject(now, endpoint);
                ejected.push(endpoint);
            }
        }
        ejected
    }

    /// Reports whether the endpoint is ejected.
    pub fn is_ejected(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.get(endpoint).is_some_and(|stats| stats.ejected_until.is_some())
    }

    /// Returns the ratio of the times of the endpoint to the median of its pool, at least 1.
    pub fn slowdown(&self, endpoint: EndpointKey) -> f64 {
        self.endpoints.get(endpoint).map_or(1.0, |stats| stats.slowdown.max(1.0))
    }

    /// Returns the factor for the expected completion time at the endpoint: the slowdown if it
    /// exceeds the noise of measured times, otherwise 1.
    pub fn penalty(&self, endpoint: EndpointKey) -> f64 {
        let slowdown = self.slowdown(endpoint);
        if slowdown < NOISE_RATIO { 1.0 } else { slowdown }
    }

    /// Returns the share of its normal traffic that the endpoint gets: 0 while it is ejected, and
    /// a value that rises to 1 after it is reinstated.
    pub fn share(&self, now: TimePoint, endpoint: EndpointKey) -> f64 {
        let Some(stats) = self.endpoints.get(endpoint) else { return 1.0 };
        if stats.ejected_until.is_some() {
            return 0.0;
        }
        let Some(reinstated_at) = stats.reinstated_at else { return 1.0 };
        let progress = now.since(reinstated_at).as_secs_f64() / RAMP_TIME.as_secs_f64();
        RAMP_START + (1.0 - RAMP_START) * progress.min(1.0)
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        let models: usize = self.endpoints.values().map(|stats| stats.models.capacity()).sum();
        models * size_of::<(ModelKey, ModelStats)>()
            + self.endpoints.capacity() * size_of::<EndpointStats>()
    }

    fn stats_mut(&mut self, endpoint: EndpointKey) -> &mut EndpointStats {
        if !self.endpoints.contains_key(endpoint) {
            self.endpoints.insert(endpoint, EndpointStats::default());
        }
        &mut self.endpoints[endpoint]
    }

    fn end_ejections(&mut self, now: TimePoint) {
        for stats in self.endpoints.values_mut() {
            if stats.ejected_until.is_some_and(|until| until <= now) {
                stats.ejected_until = None;
                stats.reinstated_at = Some(now);
                stats.models.clear();
            }
            let stable_since = stats.reinstated_at.filter(|_| stats.ejected_until.is_none());
            if stable_since.is_some_and(|at| now.since(at) >= RAMP_TIME + SAMPLE_TTL) {
                stats.ejections = 0;
                stats.reinstated_at = None;
            }
        }
    }

    /// Reinstates ejected endpoints of pools that have more ejected members than their size now
    /// allows.
    fn reinstate_surplus(&mut self, now: TimePoint, pools: &[(ModelKey, &[EndpointKey])]) {
        for (_, members) in pools {
            let until =
                |key: &EndpointKey| self.endpoints.get(*key).and_then(|stats| stats.ejected_until);
            let mut ejected: Vec<_> =
                members.iter().filter_map(|key| until(key).map(|at| (at, *key))).collect();
            ejected.sort_unstable();
            let surplus = ejected.len().saturating_sub(max_ejected(members.len()));
            for &(_, endpoint) in &ejected[..surplus] {
                self.endpoints[endpoint].ejected_until = None;
                self.endpoints[endpoint].reinstated_at = Some(now);
            }
        }
    }

    /// Updates the slowdown of each member and appends the members to be ejected to `slow`.
    fn compare(
        &mut self,
        model: ModelKey,
        members: &[EndpointKey],
        slow: &mut Vec<(EndpointKey, f64)>,
    ) {
        if members.len() < MIN_POOL_MEMBERS {
            return;
        }
        let first = self.median(model, members, |model_stats| model_stats.first_token.reliable());
        let between =
            self.median(model, members, |model_stats| model_stats.between_tokens.reliable());
        for &endpoint in members {
            let Some(stats) = self.endpoints.get_mut(endpoint) else { continue };
            let Some(&model_stats) = stats.model(model) else { continue };
            let ratio = ratio(model_stats.between_tokens.reliable(), between)
                .max(ratio(model_stats.first_token.reliable(), first) * FIRST_TOKEN_WEIGHT);
            stats.slowdown = stats.slowdown.max(ratio);
            if ratio >= EJECT_RATIO {
                slow.push((endpoint, ratio));
            }
        }
    }

    fn median(
        &self,
        model: ModelKey,
        members: &[EndpointKey],
        read: fn(&ModelStats) -> Option<f64>,
    ) -> Option<f64> {
        let value = |&key: &EndpointKey| self.endpoints.get(key)?.model(model).and_then(read);
        let mut values: Vec<f64> = members.iter().filter_map(value).collect();
        if values.len() < MIN_POOL_MEMBERS {
            return None;
        }
        values.sort_by(f64::total_cmp);
        Some(values[(values.len() - 1) / 2])
    }

    /// Reports whether each pool of the endpoint allows one more ejection.
    fn fits_cap(&self, endpoint: EndpointKey, pools: &[(ModelKey, &[EndpointKey])]) -> bool {
        pools.iter().filter(|(_, members)| members.contains(&endpoint)).all(|(_, members)| {
            let ejected = members.iter().filter(|&&key| self.is_ejected(key)).count();
            ejected < max_ejected(members.len())
        })
    }

    fn eject(&mut self, now: TimePoint, endpoint: EndpointKey) {
        let stats = &mut self.endpoints[endpoint];
        let span = EJECT_BASE * (1 << stats.ejections.min(EJECT_DOUBLINGS));
        stats.ejections += 1;
        stats.ejected_until = Some(now + span);
        stats.reinstated_at = None;
    }
}

/// Returns the maximum number of endpoints that may be ejected from a pool of `members`.
pub fn max_ejected(members: usize) -> usize {
    match members {
        0..MIN_POOL_MEMBERS => 0,
        _ => (members * MAX_EJECTED_PERCENT / 100).max(1),
    }
}

/// Returns `value / median`, or 1 if either is unknown.
fn ratio(value: Option<f64>, median: Option<f64>) -> f64 {
    match (value, median) {
        (Some(value), Some(median)) if median > 0.0 => value / median,
        _ => 1.0,
    }
}
