//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Consecutive complete events of a stream, and the identifiers of the first and the last of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// The events' bytes, unchanged.
    pub(crate) bytes: Bytes,
    /// Number of events.
    pub(crate) count: u32,
    /// Identifier of the first event that has one.
    pub(crate) first_id: Option<Box<str>>,
    /// Identifier of the last event that has one.
    pub(crate) last_id: Option<Box<str>>,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, or `None` if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending)?;
        let complete = self.pending.split_to(end).freeze();
        let ids = event_ids(&complete);
        Some(EventBatch {
            count: event_count(&complete),
            first_id: ids.first().map(|id| (*id).into()),
            last_id: ids.last().map(|id| (*id).into()),
            bytes: complete.clone(),
        })
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// Returns the offset after the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |end: usize| bytes[..end].ends_with(b"\n\n") || bytes[..end].ends_with(b"\n\r\n");
    (1..=bytes.len()).rev().find(|end| bytes[end - 1] == b'\n' && ends(*end))
}

fn event_count(bytes: &[u8]) -> u32 {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.filter(|line| line.is_empty() || *line == b"\r").count().saturating_sub(1) as u32
}

fn event_ids(bytes: &[u8]) -> Vec<&str> {
    bytes
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok())
        .map(str::trim)
        .collect()
}
