//! Sliding window over the output tokens of one class and of the whole endpoint.

use crate::time::TimePoint;

/// Length of one bucket, in microseconds.
const BUCKET_MICROS: u64 = 1_000_000;

/// Number of buckets in the window, including the current one.
pub(crate) const WINDOW_BUCKETS: usize = 8;

/// Output tokens of one class and of the endpoint, counted while the class has waiting or
/// running requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenWindow {
    own: [u32; WINDOW_BUCKETS],
    all: [u32; WINDOW_BUCKETS],
    own_sum: u64,
    all_sum: u64,
    newest: u64,
}

impl TokenWindow {
    /// Adds `all` tokens that the endpoint produced at `now`, of which `own` belong to the
    /// class.
    pub(crate) fn add(&mut self, now: TimePoint, own: u32, all: u32) {
        self.advance(now);
        let index = (self.newest % WINDOW_BUCKETS as u64) as usize;
        self.own[index] = self.own[index].saturating_add(own);
        self.all[index] = self.all[index].saturating_add(all);
        self.own_sum += u64::from(own);
        self.all_sum += u64::from(all);
    }

    /// Advances the window to `now` and returns the tokens of the class and of the endpoint in
    /// it.
    pub(crate) fn totals(&mut self, now: TimePoint) -> (u64, u64) {
        self.advance(now);
        (self.own_sum, self.all_sum)
    }

    /// Returns the endpoint's tokens per second over the complete buckets of the window.
    pub(crate) fn rate(&mut self, now: TimePoint) -> f64 {
        self.advance(now);
        let index = (self.newest % WINDOW_BUCKETS as u64) as usize;
        let whole = self.newest.min(WINDOW_BUCKETS as u64 - 1).max(1);
        (self.all_sum - u64::from(self.all[index])) as f64 / whole as f64
    }

    fn advance(&mut self, now: TimePoint) {
        let bucket = now.as_micros() / BUCKET_MICROS;
        let steps = bucket.saturating_sub(self.newest).min(WINDOW_BUCKETS as u64);
        for step in 0..steps {
            let index = ((bucket - step) % WINDOW_BUCKETS as u64) as usize;
            self.own_sum -= u64::from(self.own[index]);
            self.all_sum -= u64::from(self.all[index]);
            self.own[index] = 0;
            self.all[index] = 0;
        }
        self.newest = self.newest.max(bucket);
    }
}
