//! The times of a planned stop.

use std::{sync::OnceLock, time::Duration};

use pimentorock_kernel::time::TimePoint;
use tokio_util::sync::CancellationToken;

/// Maximum time from the stop signal until the entry accepts no more connections. The load balancer
/// checks readiness once a second and needs two answers to take the entry out of service.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);

/// How long before the end of the grace period the process stops waiting for open connections.
pub(crate) const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Time in which callers get the last answers.
const ANSWER_TIME: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct StopTimes {
    /// When the entry stops accepting connections.
    closes: TimePoint,
    /// When each request that was taken has its answer.
    answers_due: TimePoint,
    /// When the process stops waiting for open connections.
    ends: TimePoint,
}

/// The planned stop of the entry, if it was told to stop.
#[derive(Debug, Default)]
pub(crate) struct PlannedStop {
    times: OnceLock<StopTimes>,
    /// Cancelled when the answers are due.
    due: CancellationToken,
}

impl PlannedStop {
    /// Notes at `now` that the entry has to stop within `grace`.
    pub(crate) fn begin(&self, now: TimePoint, grace: Duration) {
        let ends = now + grace.saturating_sub(GRACE_MARGIN);
        let answers_due = now + grace.saturating_sub(GRACE_MARGIN + ANSWER_TIME);
        let closes = now + DRAIN_NOTICE.min(grace / 3);
        // A second signal does not prolong the stop.
        let _ = self.times.set(StopTimes { closes, answers_due, ends });
    }

    /// Reports whether the entry was told to stop.
    pub(crate) fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Returns the time from `now` until the entry stops accepting connections.
    pub(crate) fn until_closed(&self, now: TimePoint) -> Duration {
        self.times.get().map_or(Duration::MAX, |times| now.until(times.closes))
    }

    /// Returns the time from `now` until the answers are due; the longest time if the entry does not stop.
    pub(crate) fn until_due(&self, now: TimePoint) -> Duration {
        self.times.get().map_or(Duration::MAX, |times| now.until(times.answers_due))
    }

    /// Returns the time from `now` until the process stops waiting for open connections.
    pub(crate) fn until_end(&self, now: TimePoint) -> Duration {
        self.times.get().map_or(Duration::MAX, |times| now.until(times.ends))
    }

    /// Reports whether a request that has come whole at `now`, and whose caller waits for `time_left`, is
    /// turned away, as its answer may come too late.
    ///
    /// While the load balancer still sends connections, requests are taken, since most answers come long before
    /// their callers stop waiting.
    pub(crate) fn turns_away(&self, now: TimePoint, time_left: Duration) -> bool {
        self.times
            .get()
            .is_some_and(|times| now >= times.closes && now + time_left > times.answers_due)
    }

    /// Wakes all that wait until the answers are due.
    pub(crate) fn end_answers(&self) {
        self.due.cancel();
    }

    /// Waits until the answers are due.
    pub(crate) async fn answers_due(&self) {
        self.due.cancelled().await;
    }
}
