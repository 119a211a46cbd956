//! Replays the `config` stream with the same code as every daemon.

use std::time::Duration;

use pimentorock_kernel::{
    control::{ConfigReplay, ReplayOutcome},
    record::ConfigRecord,
};
use pimentorock_platform::{log_reader::LogReader, read_event::ReadEvent};
use pimentorock_settings::{compile::check_tree, tree::SettingsTree};

use crate::{
    context::ToolContext,
    error::{ErrorKind, ToolError},
    stream_read::read_until,
};

/// Maximum time that one read waits for its first record.
const READ_WAIT: Duration = Duration::from_millis(500);

/// A record of the stream and the outcome of replaying it.
#[derive(Clone, Debug)]
pub(crate) struct HistoryEntry {
    /// Offset in the stream; for a change, also its revision.
    pub(crate) offset: u64,
    /// Time at which the record was appended, in milliseconds since 1970.
    pub(crate) at_ms: u64,
    pub(crate) record: ConfigRecord,
    pub(crate) outcome: ReplayOutcome,
}

impl HistoryEntry {
    fn new(offset: u64, at_ms: u64, record: ConfigRecord) -> HistoryEntry {
        HistoryEntry { offset, at_ms, record, outcome: ReplayOutcome::Ignored }
    }
}

/// The `config` stream, replayed up to its end at the time of reading.
pub(crate) struct ConfigSession {
    pub(crate) replay: ConfigReplay,
    /// The replayed records, in order of offset.
    pub(crate) history: Vec<HistoryEntry>,
    reader: LogReader<ConfigRecord>,
    /// The first gap found in the stream: the offset at which reading started, and the lowest
    /// offset that the log still contains. `None` if no record was missing.
    trimmed: Option<(u64, u64)>,
}

impl ConfigSession {
    /// Reads the stream up to its current end.
    ///
    /// # Errors
    ///
    /// Fails if no platform is given, if the log cannot be read in time, or if the log was trimmed
    /// and contains no snapshot that replaces the trimmed records.
    pub(crate) async fn load(context: &ToolContext) -> Result<ConfigSession, ToolError> {
        let client = context.config_log()?;
        // The reader retries failed calls without limit, so this first call reports a failure.
        let end = client.end().await?;
        let mut session = ConfigSession {
            replay: ConfigReplay::new(check_tree),
            history: Vec::new(),
            reader: LogReader::new(client, 0).with_wait(READ_WAIT),
            trimmed: None,
        };
        session.read_until(context, end).await?;
        match session.trimmed {
            Some((from, head)) if session.replay.next_offset() < head => {
                Err(ErrorKind::Gap { from, head }.into())
            }
            _ => Ok(session),
        }
    }

    /// Returns the settings tree at the current revision.
    pub(crate) fn tree(&self) -> SettingsTree {
        SettingsTree::with_root(self.replay.tree().clone())
    }

    /// Continues to read until all records below offset `end` are applied.
    ///
    /// # Errors
    ///
    /// Fails if the log does not deliver the records in time.
    pub(crate) async fn read_until(
        &mut self,
        context: &ToolContext,
        end: u64,
    ) -> Result<(), ToolError> {
        let ConfigSession { replay, history, reader, trimmed } = self;
        let on_event = |event| match event {
            ReadEvent::Entry { offset, at_ms, body, .. } => {
                apply(replay, history, HistoryEntry::new(offset, at_ms, body))
            }
            ReadEvent::Duplicate { offset, .. } | ReadEvent::Damaged { offset, .. } => {
                replay.skip(offset);
                None
            }
            ReadEvent::Trimmed { from, head } => {
                trimmed.get_or_insert((from, head));
                None
            }
            ReadEvent::CaughtUp { .. } => None,
        };
        read_until(context, reader, end, on_event).await
    }
}

/// Applies a record; after a snapshot, returns the offset at which to continue reading.
fn apply(
    replay: &mut ConfigReplay,
    history: &mut Vec<HistoryEntry>,
    mut entry: HistoryEntry,
) -> Option<u64> {
    entry.outcome = replay.apply(entry.offset, &entry.record);
    if let ReplayOutcome::Restored { .. } = entry.outcome {
        // A snapshot may be appended after records that it does not include: reading continues at
        // the first of them.
        let next = replay.next_offset();
        history.retain(|entry| entry.offset < next);
        return Some(next);
    }
    history.push(entry);
    None
}
