//! A problem that a check of settings found.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem in settings, with its position and an optional hint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Name of the settings file, or `settings` for the tree in the platform's log.
    pub file: Box<str>,
    /// Line, counted from 1, or `None` if the position in a file is unknown.
    pub line: Option<u32>,
    /// Column in characters, counted from 1, or `None` if the position in a file is unknown.
    pub column: Option<u32>,
    /// Settings path of the value, or empty for the root.
    pub path: Box<str>,
    /// Description of the problem.
    pub problem: Box<str>,
    /// Suggested correction, or `None` if there is none.
    pub hint: Option<Box<str>>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(column) = self.column {
            write!(f, ":{column}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.problem)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}
