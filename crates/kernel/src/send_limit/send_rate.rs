//! A number of requests a second.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lowest rate at which an endpoint is asked, in requests a second. An endpoint that names a lower
/// limit, such as 0, is still asked once in ten seconds, since only an answer can end its limit.
const LOWEST_RATE: f64 = 0.1;

/// Highest rate that is distinguished from no limit, in requests a second.
const HIGHEST_RATE: f64 = 1e6;

/// Time for which unused sends accumulate. It covers the time in which a ticket passes through two
/// hubs and the word of its use comes back, so that the rate can be used up.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Sends that may accumulate at any rate.
const BASE_BURST: f64 = 1.0;

/// A number of requests a second, 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct SendRate(f64);

impl SendRate {
    /// Returns a rate, or `None` for numbers below 0 and values that are no number.
    pub fn new(per_second: f64) -> Option<SendRate> {
        (per_second >= 0.0).then_some(SendRate(per_second))
    }

    /// Returns the rate as it was stated, in requests a second.
    pub fn stated(self) -> f64 {
        self.0
    }

    /// Returns the rate at which requests are sent, in requests a second.
    pub fn usable(self) -> f64 {
        // What is no number, which a message may hold, counts as the lowest rate.
        if self.0 > LOWEST_RATE { self.0.min(HIGHEST_RATE) } else { LOWEST_RATE }
    }

    /// Returns the sends that may accumulate while none is made.
    pub fn burst(self) -> f64 {
        BASE_BURST + self.usable() * BURST_TIME.as_secs_f64()
    }
}
