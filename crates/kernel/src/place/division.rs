//! How the endpoints of a service are divided between streams that must not pause and the rest.
//!
//! An engine reads prompts in chunks between the tokens of all its streams. A stream whose class
//! allows only short pauses suffers beside long prompts; one that allows longer pauses does not.
//! So the strictest classes get endpoints of their own, as many as their share of the work needs.

use std::time::Duration;

use crate::time::TimePoint;

/// Longest pause of a class in relation to the shortest one, up to which it counts as strict too.
const STRICT_RATIO: f64 = 1.25;

/// Prompt tokens that an engine could read in the time it needs for one output token.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Endpoints that strict classes get, in relation to their share of the work; they need some
/// room, as their requests must not wait.
const STRICT_ROOM: f64 = 1.1;

/// Least share of the endpoints that strict classes get: a burst of other work must not drive
/// them out, and their requests last longer than the burst takes to come.
const LEAST_STRICT: f64 = 0.25;

/// Time in which past work loses half its weight.
const WORK_HALF_LIFE: Duration = Duration::from_secs(10);

/// Change of the ideal number of endpoints below which the division stays as it is.
const DEAD_BAND: f64 = 0.75;

/// The same as a share of all endpoints; parts of prompts move with the division.
const DEAD_SHARE: f64 = 0.08;

/// Age up to which the hub's count goes before this entry's own.
const HUB_COUNT_LIFE: Duration = Duration::from_secs(3);

/// Share of strict work that is assumed before any was seen.
const FIRST_SHARE: f64 = 0.3;

/// Work that the first assumption stands for, in prompt tokens.
const FIRST_WORK: f64 = 200_000.0;

/// Returns which of the classes with these longest pauses count as strict.
///
/// None does if all are alike.
pub fn strict_pauses(pauses: &[Option<Duration>]) -> Vec<bool> {
    let Some(shortest) = pauses.iter().flatten().min() else { return vec![false; pauses.len()] };
    let limit = shortest.mul_f64(STRICT_RATIO);
    let strict: Vec<bool> =
        pauses.iter().map(|pause| pause.is_some_and(|pause| pause <= limit)).collect();
    if strict.iter().all(|strict| *strict) { vec![false; pauses.len()] } else { strict }
}

/// Follows the work of a service and says how many endpoints its strict classes get.
#[derive(Clone, Debug)]
pub(super) struct EndpointDivision {
    strict: f64,
    rest: f64,
    seen: TimePoint,
    count: usize,
    endpoints: usize,
    /// The hub's count, and when it came.
    hub: Option<(TimePoint, usize)>,
}

impl EndpointDivision {
    pub(super) fn new() -> EndpointDivision {
        EndpointDivision {
            strict: FIRST_SHARE * FIRST_WORK,
            rest: (1.0 - FIRST_SHARE) * FIRST_WORK,
            seen: TimePoint::ZERO,
            count: 0,
            endpoints: 0,
            hub: None,
        }
    }

    /// Notes a request that was sent.
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

    /// Returns how many endpoints the strict classes have.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Takes the hub's count; returns whether it differs from the one in force.
    pub(super) fn take_count(&mut self, now: TimePoint, count: usize) -> bool {
        self.hub = Some((now, count));
        self.seen = self.seen.max(now);
        self.count != count
    }

    /// Returns how many of `endpoints` the strict classes get.
    pub(super) fn strict_count(&mut self, endpoints: usize) -> usize {
        if endpoints < 2 {
            return 0;
        }
        let all = (self.strict + self.rest).max(1.0);
        let ideal = self.strict / all * STRICT_ROOM * endpoints as f64;
        let band = DEAD_BAND.max(DEAD_SHARE * endpoints as f64);
        let moved = (ideal - self.count as f64).abs() > band;
        let hub = self.hub.filter(|(at, _)| self.seen.since(*at) < HUB_COUNT_LIFE);
        if let Some((_, count)) = hub {
            self.count = count;
            self.endpoints = endpoints;
        } else if moved || self.endpoints != endpoints {
            self.count = ideal.round() as usize;
            self.endpoints = endpoints;
        }
        let least = (LEAST_STRICT * endpoints as f64).ceil() as usize;
        self.count = self.count.clamp(least, endpoints - 1);
        self.count
    }
}
