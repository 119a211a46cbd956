//! The reasons why no endpoint accepted a request.

use std::time::Duration;

use crate::{
    ids::EndpointKey,
    place::{PlacedRequest, endpoint::EndpointState},
    time::TimePoint,
};

/// Summarizes why no endpoint of a service accepted a request, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementDiagnosis {
    /// Endpoints that accept new work for the service.
    pub open: u32,
    /// Open endpoints that asked to be left alone.
    pub excluded: u32,
    /// Open endpoints that name a limit.
    pub limited: u32,
    /// Other open endpoints that are down.
    pub down: u32,
    /// Endpoints that are up but have too little free memory for the request.
    pub short_of_memory: u32,
    /// Requests at the least loaded endpoint that is up; 0 if none is up.
    pub least_load: u32,
    /// Number of requests below which the least loaded endpoint accepts this request, provided that
    /// the endpoint has all shared parts cached.
    pub load_limit: u32,
    /// Age of the last report on other entries' requests at the least loaded endpoint; `None` if
    /// there was no report.
    pub others_age: Option<Duration>,
}

impl PlacementDiagnosis {
    /// Summarizes the open endpoints of a service; `has_memory` tells whether one has room, and
    /// `is_limited` whether it names a limit.
    pub(super) fn new<'a>(
        now: TimePoint,
        request: &PlacedRequest,
        open: impl Iterator<Item = (EndpointKey, &'a EndpointState)>,
        has_memory: impl Fn(&EndpointState) -> bool,
        is_limited: impl Fn(EndpointKey) -> bool,
    ) -> PlacementDiagnosis {
        let mut diagnosis = PlacementDiagnosis::default();
        let mut least: Option<(f64, &EndpointState)> = None;
        for (key, state) in open {
            diagnosis.open += 1;
            diagnosis.limited += u32::from(is_limited(key));
            if now < state.excluded_until {
                diagnosis.excluded += 1;
                continue;
            }
            if state.is_down(now) {
                diagnosis.down += 1;
                continue;
            }
            diagnosis.short_of_memory += u32::from(!has_memory(state));
            let load = state.load(now);
            if least.is_none_or(|(known, _)| load < known) {
                least = Some((load, state));
            }
        }
        if let Some((load, state)) = least {
            diagnosis.least_load = load as u32;
            diagnosis.load_limit = request.load_limit(state.spec.slots, state.strict) as u32;
            diagnosis.others_age = state.others.map(|(at, _)| now.since(at));
        }
        diagnosis
    }
}
