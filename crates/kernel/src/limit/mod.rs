//! Limits of client accounts, enforced across entries without a central counter.
//!
//! Each entry keeps a token bucket for each limited account. The bucket is filled at the account's
//! full rate and debited by the entry's own spending and by the spending that other entries report.
//! With `n` entries whose reports arrive within the exchange span `d`, a rate `r` and a burst `b`
//! of [`BURST_SPAN`] at that rate (at least 1), the fleet admits over any window `w` at most
//!
//! ```text
//! r * w + n * b + (n - 1) * r * d
//! ```
//!
//! For tokens, `n` times the largest single cost is added. A concurrency limit is exceeded by at
//! most `n - 1` requests in flight. Tokens are charged as estimated at admission and corrected when
//! the request is settled.
//!
//! An entry that stops reporting is assumed to keep spending at its last rate and to keep its last
//! requests in flight. After [`PEER_TIMEOUT`], its requests in flight and its rate are no longer
//! counted. If a fleet is partitioned for longer than that, each part admits the full limit.

mod bucket;
mod limiter;
mod report;

pub use self::{
    bucket::BURST_SPAN,
    limiter::{AccountLimiter, EXCHANGE_SPAN, LimitName, LimitRefusal, PEER_TIMEOUT},
    report::{AccountSpent, SpentReport},
};
