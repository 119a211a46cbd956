//! What an entry knows of one limit.

use std::time::Duration;

use crate::{
    send_limit::{LimitRow, LimitScope, SendRate},
    time::TimePoint,
};

/// A limit ends with an answer that does not name it, if its request was sent at least this time
/// after the last answer that did. The time covers the delay of news, so that news which arrives late
/// or out of order does not end a limit that is in force.
const END_DELAY: Duration = Duration::from_secs(1);

/// Time to which the ages of a message refer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgeBase {
    pub(super) at: TimePoint,
    /// The same time on the wall clock, in milliseconds since 1970.
    pub(super) wall_ms: u64,
}

/// What an entry knows of one limit.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LimitRecord {
    /// Start of the run that named the limit, as known to the entry that got the answer.
    pub(super) started_ms: Option<u64>,
    pub(super) rate: SendRate,
    /// Time of the last answer that named the limit.
    pub(super) named_at: TimePoint,
    /// The same on the wall clock, in milliseconds since 1970.
    named_ms: u64,
    /// Time at which the last request was sent whose answer named no limit.
    unnamed_at: TimePoint,
    pub(super) ended: bool,
}

impl LimitRecord {
    /// Returns the record of a limit that was named in an answer at `base`.
    pub(super) fn new(started_ms: Option<u64>, rate: SendRate, base: AgeBase) -> LimitRecord {
        LimitRecord {
            started_ms,
            rate,
            named_at: base.at,
            named_ms: base.wall_ms,
            unnamed_at: TimePoint::ZERO,
            ended: false,
        }
    }

    /// Returns the record of a row of a message.
    pub(super) fn from_row(row: &LimitRow, base: AgeBase) -> LimitRecord {
        let age = Duration::from_millis(row.named_age_ms.into());
        let named = AgeBase {
            at: base.at - age,
            wall_ms: base.wall_ms.saturating_sub(row.named_age_ms.into()),
        };
        let unnamed_at = row.unnamed_age_ms.map(|age| base.at - Duration::from_millis(age.into()));
        LimitRecord {
            unnamed_at: unnamed_at.unwrap_or(TimePoint::ZERO),
            ended: row.ended,
            ..LimitRecord::new(row.started_ms, row.rate, named)
        }
    }

    /// Returns the row for a message that is sent now.
    pub(super) fn row(&self, now: TimePoint, scope: LimitScope) -> LimitRow {
        let age_ms = |at: TimePoint| now.since(at).as_millis().min(u32::MAX.into()) as u32;
        let has_unnamed = self.unnamed_at > TimePoint::ZERO;
        LimitRow {
            scope,
            started_ms: self.started_ms,
            rate: self.rate,
            named_age_ms: age_ms(self.named_at),
            unnamed_age_ms: has_unnamed.then(|| age_ms(self.unnamed_at)),
            ended: self.ended,
        }
    }

    /// Reports whether the limit holds for the run that started at `started_ms`. The run may have
    /// named the limit although the store listed an earlier run at that time.
    pub(super) fn covers(&self, started_ms: Option<u64>) -> bool {
        let is_earlier = started_ms.is_some_and(|started_ms| started_ms <= self.named_ms);
        !self.ended && (started_ms == self.started_ms || (is_earlier && self.started_ms.is_some()))
    }

    /// Takes over an answer that named the limit, unless it is older than what is known. Of two
    /// answers at the same time the lower limit counts. A limit that has ended holds again if it would
    /// not have ended with this answer known.
    pub(super) fn note_named(&mut self, other: &LimitRecord) {
        let is_newer = if self.ended {
            other.named_at + END_DELAY > self.unnamed_at
        } else {
            (other.named_at, self.rate.stated()) >= (self.named_at, other.rate.stated())
        };
        if is_newer {
            let unnamed_at = self.unnamed_at.max(other.unnamed_at);
            *self = LimitRecord { unnamed_at, ended: false, ..other.clone() };
        }
    }

    /// Takes over that the answer to a request which was sent at `sent_at` named no limit, and
    /// reports whether that may end the limit.
    pub(super) fn note_unnamed(&mut self, sent_at: TimePoint) -> bool {
        let is_new = !self.ended && sent_at > self.unnamed_at;
        self.unnamed_at = self.unnamed_at.max(sent_at);
        is_new && self.may_end()
    }

    fn may_end(&self) -> bool {
        self.unnamed_at >= self.named_at + END_DELAY
    }

    /// Ends the limit if the answers say so; only the root hub decides that.
    pub(super) fn decide_end(&mut self) {
        self.ended = self.ended || self.may_end();
    }

    /// Takes over the hub's decision that the limit has ended, unless this entry or one of its askers
    /// got an answer since that named it.
    pub(super) fn note_ended(&mut self, other: &LimitRecord) {
        if other.unnamed_at >= self.named_at {
            self.unnamed_at = self.unnamed_at.max(other.unnamed_at);
            self.ended = true;
        }
    }

    /// Reports whether requests are treated alike under both records.
    pub(super) fn is_like(&self, other: &LimitRecord) -> bool {
        let key = |record: &LimitRecord| (record.started_ms, record.rate.stated(), record.ended);
        key(self) == key(other)
    }

    /// Returns the time since the last answer that spoke of the limit.
    pub(super) fn age(&self, now: TimePoint) -> Duration {
        now.since(self.named_at.max(self.unnamed_at))
    }
}
