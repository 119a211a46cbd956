//! Endpoints that asked in an answer to get no requests.

use std::{collections::HashMap, time::Duration};

use crate::time::TimePoint;

/// Longest time for which an endpoint is left alone at its request.
pub const MAX_REST: Duration = Duration::from_secs(24 * 3600);

/// Time for which an endpoint is left alone if the time that it stated cannot be read.
pub const UNREADABLE_REST: Duration = Duration::from_secs(1);

/// Time for which a run of an endpoint that left is remembered. Its record may come back from an
/// older copy of the store.
const LEFT_MEMORY: Duration = Duration::from_secs(3600);

/// What an endpoint asked for in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointNotice {
    /// The endpoint leaves and gets no further requests.
    Leaving,
    /// The endpoint wants no requests for this time.
    Rest(Duration),
    /// The endpoint wants no requests for a time that cannot be read.
    RestUnreadable,
}

impl EndpointNotice {
    /// Returns the name of the notice in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            EndpointNotice::Leaving => "leaving",
            EndpointNotice::Rest(_) => "rest",
            EndpointNotice::RestUnreadable => "rest_unreadable",
        }
    }

    /// Returns the time at which a notice given at `now` ends; no time if it never does.
    fn end(self, now: TimePoint) -> TimePoint {
        match self {
            EndpointNotice::Leaving => TimePoint::FAR,
            EndpointNotice::Rest(span) => now + span.min(MAX_REST),
            EndpointNotice::RestUnreadable => now + UNREADABLE_REST,
        }
    }
}

/// The exclusion of one run of an endpoint.
#[derive(Clone, Copy, Debug)]
struct ExcludedRun {
    /// Wall-clock time at which the run started that was known when the notice came, in milliseconds
    /// since 1970, if known.
    started_ms: Option<u64>,
    noted_at: TimePoint,
    /// Wall-clock time of the notice, in milliseconds since 1970.
    noted_ms: u64,
    /// Time from which the run gets requests again; [`TimePoint::FAR`] if it leaves.
    until: TimePoint,
}

/// Tracks which endpoints get no requests because they asked for it.
///
/// A notice holds for the run of the endpoint that gave it, whatever the platform's store says of
/// that run, and ends when the store lists a run under the same name that started after the notice.
/// A run that started before may have given the notice although the store listed an earlier run at
/// that time. A notice survives the removal of the endpoint's record, since the same record may be
/// written again.
#[derive(Clone, Debug, Default)]
pub struct ExclusionTable {
    runs: HashMap<Box<str>, ExcludedRun>,
}

impl ExclusionTable {
    /// Returns a table without exclusions.
    pub fn new() -> ExclusionTable {
        ExclusionTable::default()
    }

    /// Applies a notice that the endpoint `name` gave at the wall-clock time `noted_ms`, when its
    /// newest known run was the one that started at `started_ms`.
    ///
    /// Returns the time from which the run gets requests again, or `None` if the notice does not
    /// prolong an exclusion.
    pub fn note(
        &mut self,
        now: TimePoint,
        noted_ms: u64,
        name: &str,
        started_ms: Option<u64>,
        notice: EndpointNotice,
    ) -> Option<TimePoint> {
        let until = notice.end(now);
        if until <= self.until(name, started_ms).max(now) {
            return None;
        }
        self.runs.retain(|_, run| run.is_remembered(now));
        self.runs.insert(name.into(), ExcludedRun { started_ms, noted_at: now, noted_ms, until });
        Some(until)
    }

    /// Returns the time from which a run of an endpoint gets requests.
    pub fn until(&self, name: &str, started_ms: Option<u64>) -> TimePoint {
        let run = self.runs.get(name).filter(|run| run.covers(started_ms));
        run.map_or(TimePoint::ZERO, |run| run.until)
    }
}

impl ExcludedRun {
    /// Reports whether the run that started at `started_ms` may have given the notice.
    fn covers(&self, started_ms: Option<u64>) -> bool {
        let is_earlier = started_ms.is_some_and(|started_ms| started_ms <= self.noted_ms);
        started_ms == self.started_ms || (is_earlier && self.started_ms.is_some())
    }

    fn is_remembered(&self, now: TimePoint) -> bool {
        match self.until {
            TimePoint::FAR => now.since(self.noted_at) < LEFT_MEMORY,
            until => now < until,
        }
    }
}
