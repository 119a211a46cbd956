//! The usage duty: a lease on reporting usage, kept in a log with conditional appends.
//!
//! The log accepts an append only if the log still ends at the offset up to which the writer has
//! read it. This makes the lease simple. A [`DutyRecord`] makes the figures of usage windows final,
//! and the process that appended the record may report these windows for a limited time
//! ([`DutyHolder`]). The offset of a holder's first record is its fencing number. Processes send
//! their counts to the holder in [`UsageShare`]s, which a [`WindowAggregator`] adds up.

mod holder;
mod limits;
mod record;
mod share;
mod window_aggregator;

pub use self::{
    holder::{DutyHolder, UsageReport},
    limits::DutyLimits,
    record::{ClosedWindow, DutyRecord},
    share::{UsageCounter, UsageShare},
    window_aggregator::WindowAggregator,
};
