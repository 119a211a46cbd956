//! Times of the duty.

use std::time::Duration;

/// Time after the start of its append for which a process may report.
const ACT_SPAN: Duration = Duration::from_millis(3_000);

/// Longest time that a report may be on its way, with room for a slow clock.
const WAY_SPAN: Duration = Duration::from_millis(1_500);

/// Time by which a successor waits longer than the lease after the duty was given up.
const LEASE_GUARD: Duration = Duration::from_millis(500);

/// Shortest lease that is assumed, so that holders do not change often.
const LEAST_LEASE: Duration = Duration::from_millis(3_000);

/// Time before a window's report is due by which its figures are closed at the latest.
const CLOSE_BEFORE_DUE: Duration = Duration::from_millis(3_500);

/// Times of the duty, from what the deployment demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DutyLimits {
    /// Time after the start of its append for which a process may report.
    pub act_span: Duration,
    /// Time without a record after which another process may take over; so long that reports of
    /// two holders neither cross nor alternate within a lease.
    pub takeover_span: Duration,
    /// Time after a record that gave the duty up until another process may take over.
    pub released_span: Duration,
    /// Time after a window's end until which a process that counted lately is waited for.
    pub latest_close: Duration,
}

impl DutyLimits {
    /// Returns the times for a deployment in which two holders may not alternate within `lease`
    /// and reports are due within `due` of their window's end.
    pub fn new(lease: Duration, due: Duration) -> DutyLimits {
        let lease = lease.max(LEAST_LEASE);
        DutyLimits {
            act_span: ACT_SPAN,
            takeover_span: ACT_SPAN + WAY_SPAN + lease,
            released_span: lease + LEASE_GUARD,
            latest_close: due.saturating_sub(CLOSE_BEFORE_DUE).max(due / 2),
        }
    }
}
