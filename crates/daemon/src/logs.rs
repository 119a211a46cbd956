//! Log output, as lines of text or as one JSON object per line.

use std::io;

use log::{LevelFilter, Record};
use pimentorock_settings::process::{LogFormat, LogLevel, LogSettings};

use crate::{
    clock::wall_ms,
    error::{DaemonError, ErrorKind},
};

/// Parts of the daemon whose log level can be set; each name is the target of the part's log calls.
pub(crate) mod part {
    pub(crate) const AGENT: &str = "agent";
    pub(crate) const CONTROL: &str = "control";
    pub(crate) const ENTRY: &str = "entry";
    pub(crate) const PEER: &str = "peer";
    pub(crate) const PROCESS: &str = "process";
    pub(crate) const USAGE: &str = "usage";
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if another logger was started before.
pub(crate) fn start(settings: &LogSettings) -> Result<(), DaemonError> {
    // Libraries use module paths as targets; only their warnings and errors concern an operator.
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for name in [part::AGENT, part::CONTROL, part::ENTRY, part::PEER, part::PROCESS, part::USAGE] {
        let level = settings.parts.get(name).copied().unwrap_or(settings.level);
        dispatch = dispatch.level_for(name, level_filter(level));
    }
    let dispatch = match settings.format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            out.finish(format_args!("{} {}: {message}", record.level(), record.target()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json_line(record, &message.to_string())));
        }),
    };
    dispatch.chain(io::stderr()).apply().map_err(|source| {
        let source = io::Error::other(source);
        DaemonError::new(ErrorKind::Start { part: "logging", source })
    })
}

/// Returns one log record as a JSON object.
fn json_line(record: &Record<'_>, message: &str) -> String {
    serde_json::json!({
        "at_ms": wall_ms(),
        "level": record.level().as_str(),
        "part": record.target(),
        "message": message,
    })
    .to_string()
}

/// Returns the logger's filter for a level of the settings.
fn level_filter(level: LogLevel) -> LevelFilter {
    level.as_str().parse().unwrap_or(LevelFilter::Info)
}
