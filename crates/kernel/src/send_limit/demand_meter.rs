//! How many sends an entry expects to want.

use std::time::Duration;

use crate::{send_limit::want_list::WantList, time::TimePoint};

/// Number of urgencies of requests.
const URGENCIES: usize = 10;

/// Mean age of the requests that an expectation is based on.
const MEMORY: Duration = Duration::from_secs(1);

/// Time after the last request for which an entry keeps a send in reserve.
const RESERVE_TIME: Duration = Duration::from_secs(30);

/// Counts the requests of one entry that wanted to go to an endpoint, by urgency; past requests
/// decay.
#[derive(Clone, Debug)]
pub(super) struct DemandMeter {
    counts: [f64; URGENCIES],
    /// Time up to which `counts` have decayed.
    seen: TimePoint,
    /// Time of the last request.
    last: Option<TimePoint>,
}

impl DemandMeter {
    pub(super) fn new() -> DemandMeter {
        DemandMeter { counts: [0.0; URGENCIES], seen: TimePoint::ZERO, last: None }
    }

    /// Notes a request that wanted to go to the endpoint, whether it could or not.
    pub(super) fn note(&mut self, now: TimePoint, urgency: u8) {
        let decay = self.decay(now);
        self.counts.iter_mut().for_each(|count| *count *= decay);
        self.seen = self.seen.max(now);
        self.counts[usize::from(urgency).min(URGENCIES - 1)] += 1.0;
        self.last = Some(now);
    }

    /// Returns the requests that are expected within `horizon`.
    pub(super) fn expected(&self, now: TimePoint, horizon: Duration) -> WantList {
        let scale = self.decay(now) * horizon.as_secs_f64() / MEMORY.as_secs_f64();
        let mut wants = WantList::default();
        for (urgency, count) in self.counts.iter().enumerate() {
            wants.add(urgency as u8, (count * scale).round() as u32);
        }
        wants
    }

    /// Reports whether a request came lately, so that a send is worth keeping in reserve.
    pub(super) fn is_recent(&self, now: TimePoint) -> bool {
        self.last.is_some_and(|last| now.since(last) < RESERVE_TIME)
    }

    fn decay(&self, now: TimePoint) -> f64 {
        (-now.since(self.seen).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
