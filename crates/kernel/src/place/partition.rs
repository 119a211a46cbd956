//! Partitions the endpoints of a service between strict classes and all other classes.
//!
//! An engine prefills prompts in chunks between the output tokens of all its streams, so a long
//! prompt delays every stream on the same endpoint. Classes that allow only short pauses between
//! tokens (strict classes) are therefore given endpoints of their own. The number of these
//! endpoints follows the strict classes' share of the work.

use std::time::Duration;

use crate::time::TimePoint;

/// Ratio between a class's longest allowed pause and the shortest one of all classes up to which
/// the class counts as strict.
const STRICT_RATIO: f64 = 1.25;

/// Prompt tokens that an engine could prefill in the time that it needs for one output token.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Factor by which the strict classes' share of the endpoints exceeds their share of the work.
/// Strict requests must not wait, so their endpoints need headroom.
const STRICT_HEADROOM: f64 = 1.1;

/// Smallest share of the endpoints that strict classes get. Without this minimum, a burst of other
/// work would take endpoints from strict requests, which run longer than the burst takes to arrive.
const MIN_STRICT_SHARE: f64 = 0.25;

/// Half-life of the weight of past work.
const WORK_HALF_LIFE: Duration = Duration::from_secs(10);

/// Difference in endpoints between the ideal and the current count up to which the count stays.
const MIN_COUNT_CHANGE: f64 = 0.75;

/// Like [`MIN_COUNT_CHANGE`], as a share of all endpoints. Changing the partition also moves the
/// shared prompt parts to other endpoints, so small changes are not worth it.
const MIN_SHARE_CHANGE: f64 = 0.08;

/// Age up to which the hub's count takes precedence over the count that this entry calculates.
const HUB_COUNT_LIFE: Duration = Duration::from_secs(3);

/// Share of strict work that is assumed before any request was sent.
const INITIAL_STRICT_SHARE: f64 = 0.3;

/// Weight of the initial assumption, in prompt tokens of work.
const INITIAL_WORK: f64 = 200_000.0;

/// Reports for each class whether it is strict, given the classes' longest allowed pauses.
///
/// A class without a limit (`None`) is never strict. If all classes would be strict, none is.
pub fn strict_pauses(pauses: &[Option<Duration>]) -> Vec<bool> {
    let Some(shortest) = pauses.iter().flatten().min() else { return vec![false; pauses.len()] };
    let limit = shortest.as_secs_f64() * STRICT_RATIO;
    let limit = Duration::try_from_secs_f64(limit).unwrap_or(Duration::MAX);
    let strict: Vec<bool> =
        pauses.iter().map(|pause| pause.is_some_and(|pause| pause <= limit)).collect();
    if strict.iter().all(|strict| *strict) { vec![false; pauses.len()] } else { strict }
}

/// Tracks the work of one service and calculates how many endpoints its strict classes get.
#[derive(Clone, Debug)]
pub(super) struct EndpointPartition {
    /// Decayed work of strict classes, in prompt tokens.
    strict: f64,
    /// Decayed work of all other classes, in prompt tokens.
    rest: f64,
    /// Time of the last update.
    seen: TimePoint,
    /// Endpoints that strict classes have.
    count: usize,
    /// Endpoints in total when `count` was last calculated.
    endpoints: usize,
    /// Count that the hub reported last, with the time of its arrival.
    hub_count: Option<(TimePoint, usize)>,
}

impl EndpointPartition {
    pub(super) fn new() -> EndpointPartition {
        EndpointPartition {
            strict: INITIAL_STRICT_SHARE * INITIAL_WORK,
            rest: (1.0 - INITIAL_STRICT_SHARE) * INITIAL_WORK,
            seen: TimePoint::ZERO,
            count: 0,
            endpoints: 0,
            hub_count: None,
        }
    }

    /// Adds the work of a request that was sent; `prompt` and `output` are in tokens.
    pub(super) fn note(&mut self, now: TimePoint, strict: bool, prompt: f64, output: u32) {
        let halves = now.since(self.seen).as_secs_f64() / WORK_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(halves.min(64.0));
        if self.seen > TimePoint::ZERO {
            self.strict *= weight;
            self.rest *= weight;
        }
        self.seen = now;
        let work = prompt + OUTPUT_WEIGHT * f64::from(output);
        if strict {
            self.strict += work;
        } else {
            self.rest += work;
        }
    }

    /// Returns the current number of endpoints of strict classes.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Stores the count reported by the hub and reports whether it differs from the current count.
    pub(super) fn take_count(&mut self, now: TimePoint, count: usize) -> bool {
        self.hub_count = Some((now, count));
        self.seen = self.seen.max(now);
        self.count != count
    }

    /// Recalculates how many of `endpoints` the strict classes get.
    ///
    /// Returns 0 if there are fewer than two endpoints.
    pub(super) fn strict_count(&mut self, endpoints: usize) -> usize {
        if endpoints < 2 {
            return 0;
        }
        let all = (self.strict + self.rest).max(1.0);
        let ideal = self.strict / all * STRICT_HEADROOM * endpoints as f64;
        let band = MIN_COUNT_CHANGE.max(MIN_SHARE_CHANGE * endpoints as f64);
        let moved = (ideal - self.count as f64).abs() > band;
        let hub_count = self.hub_count.filter(|(at, _)| self.seen.since(*at) < HUB_COUNT_LIFE);
        if let Some((_, count)) = hub_count {
            self.count = count;
            self.endpoints = endpoints;
        } else if moved || self.endpoints != endpoints {
            self.count = ideal.round() as usize;
            self.endpoints = endpoints;
        }
        let least = (MIN_STRICT_SHARE * endpoints as f64).ceil() as usize;
        self.count = self.count.clamp(least, endpoints - 1);
        self.count
    }
}
