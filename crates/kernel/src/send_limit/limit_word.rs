//! What an endpoint says of its limit in an answer.

use crate::send_limit::SendRate;

/// A limit as an endpoint states it in an answer.
///
/// A limit on another quantity, such as concurrent requests or tokens a second, becomes a variant of
/// its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitWord {
    /// Requests that the endpoint takes from all entries together.
    Rate(SendRate),
    /// The answer states a limit that cannot be read.
    Unreadable,
}

impl LimitWord {
    /// Returns the limit of `per_second` requests a second; numbers below 0 and those that are no
    /// number cannot be read.
    pub fn new(per_second: Option<f64>) -> LimitWord {
        per_second.and_then(SendRate::new).map_or(LimitWord::Unreadable, LimitWord::Rate)
    }

    /// Returns the rate, if it can be read.
    pub fn rate(self) -> Option<SendRate> {
        match self {
            LimitWord::Rate(rate) => Some(rate),
            LimitWord::Unreadable => None,
        }
    }
}
