//! Log output: one JSON object per line on standard output, through a bounded queue that never
//! blocks.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, OnceLock},
    time::Duration,
};

use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};

use crate::{
    clock::wall_ms,
    error::{ErrorKind, GatewayError},
    log_queue::LogQueue,
};

/// Names of the parts of the entry, used as the targets of log calls.
pub(crate) mod part {
    pub(crate) const CALLERS: &str = "callers";
    pub(crate) const DUTY: &str = "duty";
    pub(crate) const FOLLOW: &str = "follow";
    pub(crate) const PEER: &str = "peer";
    pub(crate) const PROCESS: &str = "process";
    pub(crate) const REQUEST: &str = "request";
}

/// Log queue of the process; read by the metric of dropped lines.
static QUEUE: OnceLock<LogQueue> = OnceLock::new();

/// Returns the number of log lines dropped so far; 0 before logging has started.
pub(crate) fn dropped() -> u64 {
    QUEUE.get().map_or(0, LogQueue::dropped)
}

/// Time for which the end of the process waits for its last log lines to be written: the time for
/// which lines are collected, and a little more.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(230);

/// Writes the log lines that are still queued.
pub(crate) fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails if another logger was installed before or if the writer thread cannot be started.
pub(crate) fn start(process: &str) -> Result<(), GatewayError> {
    let failed = |source| GatewayError::new(ErrorKind::Start { part: "logging", source });
    let queue = LogQueue::start(io::stdout()).map_err(failed)?;
    let queue = QUEUE.get_or_init(|| queue);
    let process: Arc<str> = process.into();
    let output = fern::Output::call(move |record| queue.push(json_line(&process, record)));
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for name in [part::CALLERS, part::DUTY, part::FOLLOW, part::PEER, part::PROCESS, part::REQUEST]
    {
        dispatch = dispatch.level_for(name, LevelFilter::Info);
    }
    dispatch.chain(output).apply().map_err(|error| failed(io::Error::other(error)))
}

fn json_line(process: &str, record: &Record<'_>) -> String {
    let mut fields = FieldVisitor(BTreeMap::new());
    // If a field cannot be visited, the line is still written without that field.
    let _ = record.key_values().visit(&mut fields);
    let mut line = serde_json::json!({
        "at_ms": wall_ms(),
        "process": process,
        "level": record.level().as_str(),
        "part": record.target(),
        "message": record.args().to_string(),
    });
    if let Some(object) = line.as_object_mut() {
        object.extend(fields.0);
    }
    line.to_string()
}

/// Collects the key-value fields of a log record as JSON.
struct FieldVisitor(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (_, _, Some(flag)) => flag.into(),
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
