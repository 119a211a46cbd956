//! A limit that holds for an endpoint by the configuration.

use crate::{
    send_limit::{
        LimitScope, LimitTable, SendRate, limit_record::LimitRecord, limit_table::LimitState,
    },
    time::TimePoint,
};

/// A number of requests a second that holds without any answer of the endpoint, with the number of
/// sends that may accumulate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StandingRate {
    /// Requests a second of all entries together.
    pub rate: SendRate,
    /// Sends that may accumulate while none is made.
    pub burst: f64,
}

impl LimitTable {
    /// Sets a limit that every entry knows from the configuration, so that it is not passed on.
    /// Whoever places requests decides when it applies.
    pub fn put_standing(&mut self, scope: LimitScope, standing: StandingRate) {
        let state = self
            .limits
            .entry(scope)
            .or_insert_with(|| LimitState::new(LimitRecord::standing(standing.rate)));
        state.record.rate = standing.rate;
        state.standing = Some(standing);
    }

    /// Removes a limit that was set by [`put_standing`](LimitTable::put_standing).
    pub fn remove_standing(&mut self, scope: LimitScope) {
        if self.limits.get(&scope).is_some_and(|state| state.standing.is_some()) {
            self.limits.remove(&scope);
        }
    }
}

impl LimitRecord {
    /// Returns the record of a limit that no answer has named.
    fn standing(rate: SendRate) -> LimitRecord {
        let base = crate::send_limit::limit_record::AgeBase { at: TimePoint::ZERO, wall_ms: 0 };
        LimitRecord::new(None, rate, base)
    }
}
