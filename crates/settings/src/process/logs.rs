//! Log settings of a process.

use std::collections::BTreeMap;

use crate::{reader::ObjectReader, sink::FindingSink};

/// Most detailed level that a part of the process logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Logs nothing.
    Off,
    /// Logs failures.
    Error,
    /// Logs also events that may lead to a failure.
    Warn,
    /// Logs also changes of state.
    Info,
    /// Logs also single decisions.
    Debug,
    /// Logs everything.
    Trace,
}

impl LogLevel {
    /// Returns the name of the level in settings, which the `log` crate also parses.
    pub fn as_str(self) -> &'static str {
        let (name, _) = LOG_LEVELS[self as usize];
        name
    }
}

/// Names of the levels, in the order of the variants.
const LOG_LEVELS: [(&str, LogLevel); 6] = [
    ("off", LogLevel::Off),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people.
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// Log settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of the parts that [`parts`](LogSettings::parts) does not name.
    pub level: LogLevel,
    /// Format of the log lines.
    pub format: LogFormat,
    /// Level of single parts, by the name of the part.
    pub parts: BTreeMap<Box<str>, LogLevel>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: LogLevel::Info, format: LogFormat::Text, parts: BTreeMap::new() }
    }
}

/// Reads the log settings; absent and invalid fields keep their defaults.
pub(crate) fn read_logs(mut reader: ObjectReader<'_>, sink: &mut FindingSink<'_>) -> LogSettings {
    let mut logs = LogSettings::default();
    if let Some(level) = reader.choice(sink, "level", &LOG_LEVELS) {
        logs.level = level;
    }
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    if let Some(format) = reader.choice(sink, "format", &formats) {
        logs.format = format;
    }
    if let Some(parts) = reader.object(sink, "parts") {
        for (part, value) in parts.named_fields(sink) {
            let word = value.as_str().unwrap_or_default();
            match LOG_LEVELS.iter().find(|(name, _)| *name == word) {
                Some(&(_, level)) => _ = logs.parts.insert(part.into(), level),
                None => {
                    parts.report_unknown(sink, part, word, LOG_LEVELS.iter().map(|(name, _)| *name))
                }
            }
        }
    }
    reader.finish(sink);
    logs
}
