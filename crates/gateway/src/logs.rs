//! Log output: one JSON object a line on standard output, bounded and never blocking.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};

use crate::{
    clock::wall_ms,
    error::{ErrorKind, GatewayError},
};

/// Parts of the entry; each is the target of its log calls.
pub(crate) mod part {
    pub(crate) const CALLERS: &str = "callers";
    pub(crate) const DUTY: &str = "duty";
    pub(crate) const FOLLOW: &str = "follow";
    pub(crate) const PEER: &str = "peer";
    pub(crate) const PROCESS: &str = "process";
    pub(crate) const REQUEST: &str = "request";
}

/// Lines that wait for a slow reader; further ones are counted and dropped.
const MAX_WAITING_LINES: usize = 4_096;

/// Time for which lines are gathered before they are written, to save system calls.
const GATHER_SPAN: Duration = Duration::from_millis(200);

/// Lines that were dropped because nobody read them in time.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the lines dropped so far.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails if another logger was started before or no thread can be had.
pub(crate) fn start(process: &str) -> Result<(), GatewayError> {
    let failed = |source| GatewayError::new(ErrorKind::Start { part: "logging", source });
    let (sender, lines) = sync_channel(MAX_WAITING_LINES);
    std::thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_lines(&lines))
        .map_err(failed)?;
    let process: Arc<str> = process.into();
    let output = fern::Output::call(move |record| send_line(&sender, &process, record));
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for name in [part::CALLERS, part::DUTY, part::FOLLOW, part::PEER, part::PROCESS, part::REQUEST]
    {
        dispatch = dispatch.level_for(name, LevelFilter::Info);
    }
    dispatch.chain(output).apply().map_err(|error| failed(io::Error::other(error)))
}

fn send_line(sender: &SyncSender<String>, process: &str, record: &Record<'_>) {
    if sender.try_send(json_line(process, record)).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn json_line(process: &str, record: &Record<'_>) -> String {
    let mut fields = FieldVisitor(BTreeMap::new());
    // A field that cannot be visited is left out; the message stands.
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

/// Gathers the fields of a record.
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

fn write_lines(lines: &Receiver<String>) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER_SPAN);
        let mut text = first;
        text.push('\n');
        for line in lines.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = dropped();
        if dropped > told {
            let line = serde_json::json!({
                "at_ms": wall_ms(), "level": "WARN", "part": "logs",
                "message": "lines were dropped", "dropped": dropped - told,
            });
            text.push_str(&line.to_string());
            text.push('\n');
            told = dropped;
        }
        // Nobody may be reading, which does not concern the service.
        let _ = io::stdout().write_all(text.as_bytes());
    }
}
