//! Who reports usage, where the log takes conditional appends.
//!
//! A log that appends only if it still ends where the writer read it to makes a lease simple: a
//! [`DutyRecord`] closes usage windows for good, and the process that appended it may report them
//! for a while ([`DutyHolder`]). Its reign's first offset is the fencing number. What processes
//! counted reaches the holder in [`UsageShare`]s, which a [`WindowBook`] adds up.

mod holder;
mod limits;
mod record;
mod share;
mod window_book;

pub use self::{
    holder::{DutyHolder, UsageReport},
    limits::DutyLimits,
    record::{ClosedWindow, DutyRecord},
    share::{UsageShare, UsageTally},
    window_book::WindowBook,
};
