//! What a search of the usage duty plays.

use std::time::Duration;

use pimentorock_kernel::duty::DutyLimits;

/// Time within which reports of two holders must not alternate.
pub const LEASE: Duration = Duration::from_secs(2);

/// Longest time that a report is in transit.
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Limits in whole seconds, so that steps of one second hit each limit exactly.
pub const LIMITS: DutyLimits = DutyLimits {
    report_span: Duration::from_secs(3),
    takeover_span: Duration::from_secs(6),
    released_span: Duration::from_secs(3),
    latest_close: Duration::from_secs(1),
};

/// Length of the search in seconds, enough for one takeover or two releases.
pub const SECONDS: u64 = 7;

/// Limits for the search with a drill, for a lease of one second and reports that arrive at once.
pub const DRILL_LIMITS: DutyLimits = DutyLimits {
    report_span: Duration::from_secs(2),
    takeover_span: Duration::from_secs(3),
    released_span: Duration::from_secs(1),
    latest_close: Duration::from_secs(1),
};

/// Length of the search with a drill in seconds, enough for a takeover after it.
pub const DRILL_SECONDS: u64 = 6;

/// Length of the search with several drills in seconds, enough for a takeover before them and one after
/// them.
pub const ROW_SECONDS: u64 = 8;

/// Length of a usage window in seconds.
pub const WINDOW_SECONDS: u64 = 1;

/// Start of the search in milliseconds.
pub const START_MS: u64 = 10_000;

/// Largest number of windows that are closed.
pub const WINDOWS: u64 = 2;

/// The action of a process in one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The process does nothing because it is stalled, cut off or slow.
    Idle,
    /// Reads the log.
    Read,
    /// Reads, appends and receives the answer.
    Append,
    /// Reads and appends; the answer is lost.
    AppendUnanswered,
    /// Reads and appends; the append is executed later or never.
    AppendLate,
    /// Releases the duty.
    Release,
    /// Sends the next report.
    Report,
    /// The process is killed and restarts.
    Restart,
    /// Reads, appends what is due, receives the answer and sends all reports that are due.
    Step,
}

pub const ACTIONS: &[Action] = &[
    Action::Idle,
    Action::Read,
    Action::Append,
    Action::AppendUnanswered,
    Action::AppendLate,
    Action::Release,
    Action::Report,
    Action::Restart,
];

/// Actions of the search with several drills, in which processes freeze for seconds between steps.
pub const STEPS: &[Action] = &[Action::Idle, Action::Step];

/// What the search plays.
#[derive(Clone, Copy, Debug)]
pub struct SearchPlan {
    pub limits: DutyLimits,
    pub seconds: u64,
    /// Time within which reports of two holders must not alternate.
    pub lease: Duration,
    /// Longest time that a report is in transit.
    pub max_report_delay: Duration,
    /// Actions of the processes.
    pub actions: &'static [Action],
    /// Number of windows that may be closed.
    pub windows: u64,
    /// Number of times that the log comes back from an older copy.
    pub drills: u64,
    /// Largest number of records that a copy lacks.
    pub copies: usize,
    /// What the processes do wrong.
    pub fault: Option<ProcessFault>,
}

/// What processes do wrong with a log that comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// They ignore the era that the log states.
    IgnoreEra,
    /// They close windows that a lost record may have closed.
    CloseLost,
    /// They take records of earlier eras for records of the current one.
    TrustOldRecords,
}

impl SearchPlan {
    pub fn new(limits: DutyLimits) -> SearchPlan {
        SearchPlan {
            limits,
            seconds: SECONDS,
            lease: LEASE,
            max_report_delay: MAX_REPORT_DELAY,
            actions: ACTIONS,
            windows: WINDOWS,
            drills: 0,
            copies: 1,
            fault: None,
        }
    }

    pub fn with_drill() -> SearchPlan {
        SearchPlan {
            seconds: DRILL_SECONDS,
            lease: Duration::from_secs(1),
            max_report_delay: Duration::ZERO,
            drills: 1,
            ..SearchPlan::new(DRILL_LIMITS)
        }
    }

    pub fn with_drills_in_a_row() -> SearchPlan {
        SearchPlan {
            seconds: ROW_SECONDS,
            actions: STEPS,
            windows: u64::MAX,
            drills: 2,
            copies: 2,
            ..SearchPlan::with_drill()
        }
    }

    pub fn with_fault(self, fault: ProcessFault) -> SearchPlan {
        SearchPlan { fault: Some(fault), ..self }
    }
}
