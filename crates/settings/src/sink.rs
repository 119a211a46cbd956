//! Collector for the findings of one check.

use crate::{finding::Finding, position::PositionMap, report::FindingReport};

/// File name in findings whose value does not come from a file.
const TREE_FILE: &str = "settings";

/// Collects findings and adds the file position of each, if known.
pub(crate) struct FindingSink<'a> {
    positions: Option<&'a PositionMap>,
    findings: Vec<Finding>,
}

impl<'a> FindingSink<'a> {
    pub(crate) fn new(positions: Option<&'a PositionMap>) -> FindingSink<'a> {
        FindingSink { positions, findings: Vec::new() }
    }

    /// Adds a finding without a hint.
    pub(crate) fn report(&mut self, path: &str, problem: impl Into<Box<str>>) {
        self.push(path, problem.into(), None);
    }

    /// Adds a finding with a hint.
    pub(crate) fn report_with_hint(
        &mut self,
        path: &str,
        problem: impl Into<Box<str>>,
        hint: impl Into<Box<str>>,
    ) {
        self.push(path, problem.into(), Some(hint.into()));
    }

    /// Returns `value` if there are no findings, otherwise a report of them.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, FindingReport> {
        if self.findings.is_empty() { Ok(value) } else { Err(FindingReport::new(self.findings)) }
    }

    fn push(&mut self, path: &str, problem: Box<str>, hint: Option<Box<str>>) {
        let position = self.positions.and_then(|positions| positions.find(path));
        // A path without a position comes from the settings tree that the file is applied to.
        let file = match self.positions {
            Some(positions) if position.is_some() || path.is_empty() => positions.file(),
            _ => TREE_FILE,
        };
        self.findings.push(Finding {
            file: file.into(),
            line: position.map(|position| position.line),
            column: position.map(|position| position.column),
            path: path.into(),
            problem,
            hint,
        });
    }
}
