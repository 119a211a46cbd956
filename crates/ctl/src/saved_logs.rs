//! Log lines of several processes, from saved files.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{ErrorKind, ToolError};

/// Time before the first and after the last line of a request within which other lines of the same
/// process may tell of its cause, in milliseconds.
const CONTEXT_WINDOW_MS: u64 = 2_000;

/// Most lines beside a request's own; the nearest ones stay.
const MAX_CONTEXT_LINES: usize = 40;

/// Parts of a process whose lines tell what it believes.
const PROCESS_STATE_PARTS: [&str; 4] = ["follow", "peer", "process", "logs"];

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// Wall clock of the process, in milliseconds since 1970.
    #[serde(default)]
    pub(crate) at_ms: u64,
    #[serde(default)]
    pub(crate) process: Box<str>,
    #[serde(default)]
    pub(crate) part: Box<str>,
    pub(crate) message: Box<str>,
    /// Identifier of the request that it is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request: Option<Box<str>>,
    /// The endpoint that it is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) endpoint: Option<Box<str>>,
    /// All other fields.
    #[serde(flatten)]
    pub(crate) fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns a field as text; empty if it is not there.
    pub(crate) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Returns the message with its fields.
    pub(crate) fn text(&self) -> String {
        let endpoint = self.endpoint.iter().map(|endpoint| format!(" endpoint={endpoint}"));
        let fields = self.fields.iter().filter(|(name, _)| *name != "level");
        let fields = fields.map(|(name, _)| format!(" {name}={}", self.field(name)));
        endpoint.chain(fields).fold(self.message.to_string(), |text, field| text + &field)
    }
}

/// Log lines of several processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct SavedLogs {
    pub(crate) lines: Vec<LogLine>,
    /// Lines that are no log lines of ours.
    pub(crate) unreadable: usize,
}

impl SavedLogs {
    /// Reads files of log lines; whatever stands before a line's JSON is passed over.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read.
    pub(crate) fn read(files: &[PathBuf]) -> Result<SavedLogs, ToolError> {
        let mut logs = SavedLogs::default();
        for file in files {
            logs.read_file(file)?;
        }
        logs.correct_clock_skew();
        logs.lines.sort_by_key(|line| line.at_ms);
        Ok(logs)
    }

    fn read_file(&mut self, file: &Path) -> Result<(), ToolError> {
        let failed = |source| {
            ToolError::from(ErrorKind::File { action: "read", path: file.to_owned(), source })
        };
        let bytes = std::fs::read(file).map_err(failed)?;
        for line in String::from_utf8_lossy(&bytes).lines().filter(|line| !line.is_empty()) {
            let json = line.find('{').map_or("", |start| &line[start..]);
            match serde_json::from_str(json) {
                Ok(line) => self.lines.push(line),
                Err(_) => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// Adds to each time what the process itself found its clock to be behind the others.
    fn correct_clock_skew(&mut self) {
        let mut skews: BTreeMap<Box<str>, i64> = BTreeMap::new();
        for line in &mut self.lines {
            if let Some(skew) = line.fields.get("skew_ms").and_then(Value::as_i64) {
                skews.insert(line.process.clone(), skew);
            }
            let skew = skews.get(&line.process).copied().unwrap_or(0);
            line.at_ms = line.at_ms.saturating_add_signed(skew);
        }
    }

    /// Returns the lines of a request in their order.
    pub(crate) fn request_lines(&self, request: &str) -> Vec<&LogLine> {
        self.lines.iter().filter(|line| line.request.as_deref() == Some(request)).collect()
    }

    /// Returns lines that may tell of the cause of `request_lines`, the lines of a request: of the same
    /// processes at that time, about its endpoints or about what the process believes.
    pub(crate) fn context(&self, request_lines: &[&LogLine]) -> Vec<&LogLine> {
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            return Vec::new();
        };
        let span = first.at_ms.saturating_sub(CONTEXT_WINDOW_MS)..=last.at_ms + CONTEXT_WINDOW_MS;
        let processes: BTreeSet<&str> = request_lines.iter().map(|line| &*line.process).collect();
        let endpoints: BTreeSet<&str> =
            request_lines.iter().filter_map(|line| line.endpoint.as_deref()).collect();
        let is_relevant = |line: &&LogLine| {
            let near = span.contains(&line.at_ms) && processes.contains(&*line.process);
            let about_endpoint =
                line.endpoint.as_deref().map(|endpoint| endpoints.contains(endpoint));
            let about_process = PROCESS_STATE_PARTS.contains(&&*line.part);
            near && line.request.is_none() && about_endpoint.unwrap_or(about_process)
        };
        let mut context: Vec<&LogLine> = self.lines.iter().filter(is_relevant).collect();
        context.sort_by_key(|line| line.at_ms.abs_diff(last.at_ms));
        context.truncate(MAX_CONTEXT_LINES);
        context.sort_by_key(|line| line.at_ms);
        context
    }
}

/// Returns in a sentence how a request ended, from its own lines.
pub(crate) fn conclusion(request_lines: &[&LogLine]) -> String {
    let last =
        |messages: &[&str]| request_lines.iter().rfind(|line| messages.contains(&&*line.message));
    if let Some(line) = last(&["request given up"]) {
        let (status, reason) = (line.field("status"), line.field("reason"));
        let ran = match status.as_str() {
            "429" | "503" => "it has not run",
            _ => "it may have run",
        };
        let (sends, waited) = (line.field("sends"), line.field("waited_ms"));
        return format!(
            "Answered {status} by the entry itself after {waited} ms and {sends} sends: {reason}; {ran}."
        );
    }
    if let Some(line) = last(&["request turned away"]) {
        let (status, reason) = (line.field("status"), line.field("reason"));
        let version = line.field("version");
        return format!(
            "Turned away with {status}: {reason}, by version {version} of the configuration."
        );
    }
    if let Some(line) = last(&["stream broken off"]) {
        let (reason, event) = (line.field("reason"), line.field("last_event"));
        return format!("The stream broke off behind event {event}: {reason}.");
    }
    match last(&["stream ended", "request ended"]) {
        Some(line) => {
            let (outcome, sends) = (line.field("outcome"), line.field("sends"));
            let total = line.field("total_ms");
            format!("Ended as \"{outcome}\" after {total} ms and {sends} sends.")
        }
        None => "No line tells its end: the process ended first, or lines were lost.".to_owned(),
    }
}
