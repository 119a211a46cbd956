//! Limits on the requests to endpoints that warm up after a start.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::EndpointKey,
    place::{PlacementTable, endpoint::EndpointState},
    send_limit::{LimitScope, SendRate, StandingRate},
    time::TimePoint,
};

/// Longest time for which an endpoint may say that it warms up.
pub(super) const MAX_WARMUP: Duration = Duration::from_secs(600);

/// Share of the requests of one second that entries use. The rest is for requests that were placed
/// apart and arrive together.
const USED_SHARE: f64 = 0.9;

/// Largest share of the requests of one second that arrives at a steady rate; the rest is the burst.
const MAX_RATE_SHARE: f64 = 0.6;

/// How far the requests to an endpoint that warms up may exceed the rate that it tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupAllowance {
    /// Multiple of the tolerated rate.
    pub ratio: f64,
    /// Requests in any second beyond that multiple.
    pub slack: f64,
}

/// The limit on requests to the endpoints of one service while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// Time for which an endpoint warms up after its start.
    span: Duration,
    rate: StandingRate,
}

impl WarmupLimit {
    /// Returns the limit for endpoints that tolerate `per_second` requests a second for `span` after
    /// their start; `None` if these figures state no limit.
    ///
    /// All entries together send at most the number of requests in any second that the allowance
    /// leaves, `ratio * per_second + slack`, at a rate of `per_second` at most.
    pub fn new(span: Duration, per_second: f64, allowance: WarmupAllowance) -> Option<WarmupLimit> {
        if span.is_zero() || per_second.is_nan() || per_second <= 0.0 {
            return None;
        }
        let allowed = per_second * allowance.ratio.max(0.0) + allowance.slack.max(0.0);
        let used = (USED_SHARE * allowed - 1.0).max(1.0);
        let rate = per_second.min(MAX_RATE_SHARE * used);
        let standing = StandingRate { rate: SendRate::new(rate)?, burst: (used - rate).max(1.0) };
        Some(WarmupLimit { span: span.min(MAX_WARMUP), rate: standing })
    }
}

impl EndpointState {
    /// Returns the key of the limit that holds while the endpoint warms up.
    pub(super) fn warmup_scope(&self) -> LimitScope {
        LimitScope::warmup(self.hash)
    }

    /// Reports whether the endpoint may be warming up: it said so, it came back lately, or it could
    /// not be reached and may have started again meanwhile.
    fn may_warm_up(&self, now: TimePoint) -> bool {
        now < self.warm_at || self.lapsed || self.is_reconnecting()
    }
}

impl PlacementTable {
    /// Sets the limits for endpoints that warm up, by service; those of other services have none.
    pub fn set_warmups(&mut self, warmups: HashMap<Box<str>, WarmupLimit>) {
        self.warmups = warmups;
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        keys.into_iter().for_each(|key| self.put_warmup_limit(key));
    }

    /// Notes that an endpoint states to warm up for `span`.
    pub fn note_warmup(&mut self, now: TimePoint, endpoint: EndpointKey, span: Duration) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.warm_at = now + span.min(MAX_WARMUP);
        }
    }

    /// Presumes that an endpoint has just started, until it says otherwise.
    pub(super) fn presume_started(&mut self, now: TimePoint, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        if let Some(limit) = self.warmups.get(&state.spec.service) {
            state.warm_at = state.warm_at.max(now + limit.span);
        }
    }

    /// Sets or removes the limit for the time in which an endpoint warms up.
    pub(super) fn put_warmup_limit(&mut self, endpoint: EndpointKey) {
        let state = &self.endpoints[endpoint];
        match self.warmups.get(&state.spec.service) {
            Some(limit) => self.limits.put_standing(state.warmup_scope(), limit.rate),
            None => self.limits.remove_standing(state.warmup_scope()),
        }
    }

    /// Returns the limits that hold for requests to an endpoint now.
    pub(super) fn limits_of(&self, now: TimePoint, endpoint: EndpointKey) -> Vec<LimitScope> {
        let state = &self.endpoints[endpoint];
        let is_limited = self.limits.is_limited(state.limit_scope(), state.spec.started_ms);
        let warms_up = state.may_warm_up(now) && self.warmups.contains_key(&state.spec.service);
        let named = is_limited.then(|| state.limit_scope());
        named.into_iter().chain(warms_up.then(|| state.warmup_scope())).collect()
    }

    /// Reports whether an endpoint gets only the requests that its warm-up allows.
    pub fn is_warming_up(&self, now: TimePoint, endpoint: EndpointKey) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| {
            state.may_warm_up(now) && self.warmups.contains_key(&state.spec.service)
        })
    }
}
