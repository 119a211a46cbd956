//! Reads saved log files of several gateway processes and selects the lines about one request.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{ErrorKind, ToolError};

/// Time in milliseconds before the first and after the last line of a request. Within this time,
/// other lines of the same process count as related.
const CONTEXT_WINDOW_MS: u64 = 2_000;

/// Maximum number of related lines; the lines nearest in time to the request's last line are
/// kept.
const MAX_CONTEXT_LINES: usize = 40;

/// Parts of a process that log the state of the process and its view of the system.
const PROCESS_STATE_PARTS: [&str; 4] = ["follow", "peer", "process", "logs"];

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// Wall-clock time in milliseconds since 1970, corrected for clock skew after reading.
    #[serde(default)]
    pub(crate) at_ms: u64,
    /// Process that logged the line.
    #[serde(default)]
    pub(crate) process: Box<str>,
    /// Part of the process that logged the line.
    #[serde(default)]
    pub(crate) part: Box<str>,
    pub(crate) message: Box<str>,
    /// Identifier of the request that the line is about; `None` if it is not about one request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request: Option<Box<str>>,
    /// Name of the endpoint that the line is about; `None` if it is not about an endpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) endpoint: Option<Box<str>>,
    /// All other fields.
    #[serde(flatten)]
    pub(crate) fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns a field as text; the text is empty if the line does not have the field.
    pub(crate) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Returns the message, the endpoint and the fields other than the level as one line of text.
    pub(crate) fn text(&self) -> String {
        let endpoint = self.endpoint.iter().map(|endpoint| format!(" endpoint={endpoint}"));
        let fields = self.fields.iter().filter(|(name, _)| *name != "level");
        let fields = fields.map(|(name, _)| format!(" {name}={}", self.field(name)));
        endpoint.chain(fields).fold(self.message.to_string(), |text, field| text + &field)
    }
}

/// The log lines of several processes, in order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct SavedLogs {
    pub(crate) lines: Vec<LogLine>,
    /// Number of lines that could not be parsed as log lines.
    pub(crate) unparsed: usize,
}

impl SavedLogs {
    /// Reads log files. Text before the JSON object of a line is ignored.
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
                Err(_) => self.unparsed += 1,
            }
        }
        Ok(())
    }

    /// Corrects the times of lines for clock skew: once a process has logged its skew, adds the
    /// skew to the time of that line and of the process's later lines.
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

    /// Returns the lines about a request, in order of time.
    pub(crate) fn request_lines(&self, request: &str) -> Vec<&LogLine> {
        self.lines.iter().filter(|line| line.request.as_deref() == Some(request)).collect()
    }

    /// Returns the lines that may explain the outcome of a request whose lines are `request_lines`.
    ///
    /// These are lines of the same processes at about the same time that name an endpoint of the
    /// request, or that name no endpoint and are logged by a part in [`PROCESS_STATE_PARTS`].
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

/// Returns a sentence that describes how a request ended, based on the lines about the request.
pub(crate) fn conclusion(request_lines: &[&LogLine]) -> String {
    let last =
        |messages: &[&str]| request_lines.iter().rfind(|line| messages.contains(&&*line.message));
    if let Some(line) = last(&["request given up"]) {
        let (status, reason) = (line.field("status"), line.field("reason"));
        let ran = match status.as_str() {
            "429" | "503" => "the request has not run",
            _ => "the request may have run",
        };
        let (sends, waited) = (line.field("sends"), line.field("waited_ms"));
        return format!(
            "The entry answered {status} after {waited} ms and {sends} sends: {reason}; {ran}."
        );
    }
    if let Some(line) = last(&["request turned away"]) {
        let (status, reason) = (line.field("status"), line.field("reason"));
        let version = line.field("version");
        return format!(
            "Turned away with status {status}: {reason} (configuration version {version})."
        );
    }
    if let Some(line) = last(&["stream broken off"]) {
        let (reason, event) = (line.field("reason"), line.field("last_event"));
        return format!("The stream broke off after event {event}: {reason}.");
    }
    match last(&["stream ended", "request ended"]) {
        Some(line) => {
            let (outcome, sends) = (line.field("outcome"), line.field("sends"));
            let total = line.field("total_ms");
            format!("Ended with outcome \"{outcome}\" after {total} ms and {sends} sends.")
        }
        None => {
            "No log line shows how the request ended: the process ended first, or lines were lost."
                .to_owned()
        }
    }
}
