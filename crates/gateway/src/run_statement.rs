//! What the server behind a connection stated of its run.

/// What the server behind a connection stated of its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStatement {
    /// It was not asked.
    Unasked,
    /// It started at this wall-clock time, in milliseconds since 1970.
    Started(u64),
    /// It was asked, and states no start time.
    Unstated,
}

impl RunStatement {
    /// Returns the name of the statement in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RunStatement::Unasked => "unasked",
            RunStatement::Started(_) => "stated",
            RunStatement::Unstated => "unstated",
        }
    }
}
