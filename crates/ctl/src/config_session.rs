//! Replays the `config` stream as every daemon does.

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

/// Longest wait of one read for a first record.
const READ_WAIT: Duration = Duration::from_millis(500);

/// A record of the stream and what it did.
#[derive(Clone, Debug)]
pub(crate) struct HistoryEntry {
    pub(crate) offset: u64,
    pub(crate) at_ms: u64,
    pub(crate) record: ConfigRecord,
    pub(crate) outcome: ReplayOutcome,
}

impl HistoryEntry {
    fn new(offset: u64, at_ms: u64, record: ConfigRecord) -> HistoryEntry {
        HistoryEntry { offset, at_ms, record, outcome: ReplayOutcome::Ignored }
    }
}

/// The `config` stream up to now.
pub(crate) struct ConfigSession {
    pub(crate) replay: ConfigReplay,
    pub(crate) history: Vec<HistoryEntry>,
    reader: LogReader<ConfigRecord>,
    trimmed: Option<(u64, u64)>,
}

impl ConfigSession {
    /// Reads the stream to its end.
    pub(crate) async fn load(context: &ToolContext) -> Result<ConfigSession, ToolError> {
        let client = context.config_log()?;
        // The reader would try again without end; the first call tells what is wrong.
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

    /// Returns the settings tree in force.
    pub(crate) fn tree(&self) -> SettingsTree {
        SettingsTree::with_root(self.replay.tree().clone())
    }

    /// Reads on until all records below `end` are applied.
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

/// Applies a record and returns where to read on after a snapshot.
fn apply(
    replay: &mut ConfigReplay,
    history: &mut Vec<HistoryEntry>,
    mut entry: HistoryEntry,
) -> Option<u64> {
    entry.outcome = replay.apply(entry.offset, &entry.record);
    if let ReplayOutcome::Restored { .. } = entry.outcome {
        // Records between the state of the snapshot and its place in the stream follow.
        let next = replay.next_offset();
        history.retain(|entry| entry.offset < next);
        return Some(next);
    }
    history.push(entry);
    None
}
