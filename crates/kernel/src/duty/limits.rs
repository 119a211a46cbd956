//! The time limits of the usage duty.

use std::time::Duration;

/// Time from the start of an append for which the appending process may report.
const REPORT_SPAN: Duration = Duration::from_millis(3_000);

/// Longest time that a report may be in transit, including a margin for a slow clock.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// Margin beyond the lease for which a successor waits after the duty was released.
const LEASE_GUARD: Duration = Duration::from_millis(500);

/// Lower bound of the lease, so that holders do not change often.
const MIN_LEASE: Duration = Duration::from_millis(3_000);

/// Time before the due time of a window's report at which the window is closed at the latest: the time
/// between two looks at the windows, the longest time of a report, and a margin.
const CLOSE_BEFORE_DUE: Duration = Duration::from_millis(2_000);

/// Time limits of the usage duty, derived from the deployment's requirements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DutyLimits {
    /// Time from the start of an append for which the appending process may report.
    pub report_span: Duration,
    /// Time without a record after which another process may take over. It is long enough that
    /// reports of two holders neither overtake each other nor alternate within a lease.
    pub takeover_span: Duration,
    /// Time after a record that released the duty until another process may take over.
    pub released_span: Duration,
    /// Time after a window's end for which the window waits for the counts of live processes.
    pub latest_close: Duration,
}

impl DutyLimits {
    /// Returns the limits for a deployment in which reports of two holders must not alternate
    /// within `lease` and reports are due within `due` after the end of their window.
    pub fn new(lease: Duration, due: Duration) -> DutyLimits {
        let lease = lease.max(MIN_LEASE);
        DutyLimits {
            report_span: REPORT_SPAN,
            takeover_span: (REPORT_SPAN + MAX_REPORT_DELAY).saturating_add(lease),
            released_span: lease.saturating_add(LEASE_GUARD),
            latest_close: due.saturating_sub(CLOSE_BEFORE_DUE).max(due / 2),
        }
    }
}
