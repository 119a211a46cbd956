//! Report of all findings of one check.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;

/// All findings of one check; never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingReport {
    /// Findings, sorted by file, position and path.
    pub findings: Vec<Finding>,
}

impl FindingReport {
    /// Returns a report of `findings`, sorted by file, position and path.
    pub fn new(mut findings: Vec<Finding>) -> FindingReport {
        findings.sort_by(|a, b| {
            let place = |finding: &Finding| (finding.line, finding.column);
            a.file.cmp(&b.file).then(place(a).cmp(&place(b))).then(a.path.cmp(&b.path))
        });
        FindingReport { findings }
    }

    /// Reports whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }
}

impl fmt::Display for FindingReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingReport {}
