//! The usage duty: a lease on reporting usage, kept in a log with conditional appends.
//!
//! The log accepts an append only if the log still ends at the offset up to which the writer has
//! read it. This makes the lease simple. A [`DutyRecord`] makes the figures of usage windows final,
//! and the process that appended the record may report these windows for a limited time
//! ([`DutyHolder`]). The position of a holder's first record gives its fencing number. Processes send
//! their counts to the holder in [`UsageShare`]s, which a [`WindowAggregator`] adds up.
//!
//! A successor waits until the holder may no longer report. Entries tell each other since when the
//! newest record is known ([`DutySighting`]), so that any of them may be the successor in time.
//!
//! The log may come back from an older copy and give out offsets again. Positions and records
//! therefore state the era of the log, and a process that cannot know whether records were lost
//! after the last one that it has read leaves out the windows that they may have closed.

mod holder;
mod limits;
mod record;
mod share;
mod sighting;
mod window_aggregator;

pub use self::{
    holder::{DutyHolder, UsageReport},
    limits::DutyLimits,
    record::{ClosedWindow, DutyRecord},
    share::{UsageCounter, UsageShare},
    sighting::{DutySighting, SightingRow},
    window_aggregator::WindowAggregator,
};
