//! The number of requests at an endpoint that has just started or recovered, found from how it answers.

use std::time::Duration;

use crate::{
    ids::EndpointKey,
    place::{PlacementTable, WorkTicket, endpoint::EndpointState},
    time::TimePoint,
};

/// Requests of all entries that an endpoint gets at first: enough that it answers some at once, few
/// enough that they lose little if it still fails.
const FIRST_WINDOW: f64 = 4.0;

/// Factor of the window after an answer that came late.
const LATE_FACTOR: f64 = 0.7;

/// Smallest window; without any request no answer would tell that the endpoint has recovered.
const LEAST_WINDOW: f64 = 1.0;

/// Share of an endpoint's slots from which on it gets requests like any other.
const FULL_SHARE: f64 = 0.5;

/// Time after which an endpoint gets requests like any other, if its answers do not tell sooner.
const LONGEST_RAMP: Duration = Duration::from_secs(3);

/// Lost requests without an answer between them after which an endpoint counts as one that has failed.
const RAMP_FAILURES: u32 = 2;

/// Bounds the requests at one endpoint after its start.
///
/// The window grows by one with each answer in time that some entry gets, so it doubles in the time that
/// an answer takes, and shrinks with each late one. An entry sees its own answers only, and takes the
/// others' for as many as their requests are. A lost request begins the ramp again.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartRamp {
    window: f64,
    began: TimePoint,
}

impl StartRamp {
    /// Returns the ramp of an endpoint that started or recovered at `now`.
    pub(super) fn new(now: TimePoint) -> StartRamp {
        StartRamp { window: FIRST_WINDOW, began: now }
    }

    /// Reports whether an endpoint with `load` requests gets another one.
    pub(super) fn accepts(&self, now: TimePoint, load: f64) -> bool {
        load < self.window || now.since(self.began) >= LONGEST_RAMP
    }

    /// Notes the first token of an answer, and reports whether the ramp goes on.
    /// `answers` is the number of answers of all entries that this one stands for.
    fn note_answer(&mut self, now: TimePoint, in_time: bool, answers: f64, slots: u32) -> bool {
        self.window = match in_time {
            true => self.window + answers.max(1.0),
            false => (LATE_FACTOR * self.window).max(LEAST_WINDOW),
        };
        self.window < FULL_SHARE * f64::from(slots) && now.since(self.began) < LONGEST_RAMP
    }
}

impl EndpointState {
    /// Reports whether the ramp of the endpoint, if any, leaves room for another request.
    pub(super) fn ramp_accepts(&self, now: TimePoint) -> bool {
        self.ramp.is_none_or(|ramp| ramp.accepts(now, self.load(now)))
    }
}

impl PlacementTable {
    /// Notes the first token of an answer, as [`started`](PlacementTable::started) does, and adjusts
    /// the endpoint's ramp by whether it came in time.
    pub fn first_token(&mut self, now: TimePoint, ticket: &mut WorkTicket) {
        let state = self.endpoints.get_mut(ticket.endpoint).filter(|_| !ticket.started);
        if let Some(state) = state {
            let waited = now.since(ticket.sent_at);
            let in_time = ticket.latency_target.is_none_or(|target| waited <= target);
            let slots = state.spec.slots;
            let answers = state.load(now) / f64::from(state.in_flight.max(1));
            let ramp = state.ramp.take();
            state.ramp = ramp.and_then(|mut ramp| {
                ramp.note_answer(now, in_time, answers, slots).then_some(ramp)
            });
        }
        self.started(ticket);
    }

    /// Begins the ramp of an endpoint that has started or recovered, if its service has ramps.
    pub(super) fn begin_ramp(&mut self, now: TimePoint, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        if self.warmups.contains_key(&state.spec.service) {
            state.ramp = Some(StartRamp::new(now));
        }
    }

    /// Begins the ramp of an endpoint that lost a request again, if it has one already or has not
    /// answered since it lost another one. A single lost answer is no sign of a new start.
    pub(super) fn ramp_after_failure(&mut self, now: TimePoint, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get(endpoint) else { return };
        if state.ramp.is_some() || state.failures() >= RAMP_FAILURES {
            self.begin_ramp(now, endpoint);
        }
    }

    /// Notes that an endpoint was listed at `now` for the first time, or as another run.
    pub fn note_started(&mut self, now: TimePoint, endpoint: EndpointKey) {
        self.begin_ramp(now, endpoint);
    }

    /// Returns the most requests that an endpoint gets by its ramp; `None` if it has none.
    pub fn ramp_window(&self, endpoint: EndpointKey) -> Option<u32> {
        let ramp = self.endpoints.get(endpoint)?.ramp?;
        Some(ramp.window as u32)
    }
}
