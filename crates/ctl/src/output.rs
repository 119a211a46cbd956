//! Collects the output of one call.

use serde::Serialize;

/// The output of one call.
#[derive(Clone, Debug, Default)]
pub struct ToolOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

impl ToolOutput {
    /// Returns an empty output.
    pub fn new() -> ToolOutput {
        ToolOutput::default()
    }

    /// Appends a line to standard output; whitespace at the end of `text` is removed.
    pub(crate) fn line(&mut self, text: &str) {
        self.stdout.push_str(text.trim_end());
        self.stdout.push('\n');
    }

    /// Appends a line to standard error; whitespace at the end of `text` is removed.
    pub(crate) fn error_line(&mut self, text: &str) {
        self.stderr.push_str(text.trim_end());
        self.stderr.push('\n');
    }

    /// Appends a value as indented JSON to standard output.
    pub(crate) fn json<T: Serialize>(&mut self, value: &T) {
        match serde_json::to_string_pretty(value) {
            Ok(text) => self.line(&text),
            Err(error) => {
                self.error_line(&format!("the output cannot be written as JSON: {error}"))
            }
        }
    }
}
