//! The limits from which a suspect is refused.

use std::time::Duration;

/// Time to live of a crash record in deployments whose agents admit suspects one at a time.
pub const CRASH_RECORD_TTL: Duration = Duration::from_secs(3600);

/// Time to live of a crash record in deployments without agents.
///
/// A request that comes again after this time crashes endpoints once more, so the time is a whole
/// day.
const UNGATED_TTL: Duration = Duration::from_secs(24 * 3600);

/// The number of crashes from which a request is refused, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Crashes from which any request is refused.
    pub crashes: usize,
    /// Crashes from which a request is refused if it is the sole suspect of one of them.
    pub crashes_of_sole_suspect: usize,
    /// Time to live of a crash record.
    pub ttl: Duration,
}

impl SuspectLimits {
    /// Returns the limits for endpoints whose agents admit one suspect at a time.
    ///
    /// Suspects are never together at an endpoint, so a second crash singles out its cause.
    pub const fn gated() -> SuspectLimits {
        SuspectLimits { crashes: 2, crashes_of_sole_suspect: 2, ttl: CRASH_RECORD_TTL }
    }

    /// Returns the limits for endpoints without agents.
    ///
    /// Suspects of one crash may meet at another endpoint, so two crashes do not tell the cause from
    /// its company unless the company has completed since.
    pub const fn ungated() -> SuspectLimits {
        SuspectLimits { crashes: 3, crashes_of_sole_suspect: 2, ttl: UNGATED_TTL }
    }
}

impl Default for SuspectLimits {
    fn default() -> SuspectLimits {
        SuspectLimits::gated()
    }
}
