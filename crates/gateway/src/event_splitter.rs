//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Consecutive complete events of a stream, and the identifiers of the first and the last of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// The events' bytes, unchanged, with the comments and empty lines before the last event.
    pub(crate) bytes: Bytes,
    /// Number of events.
    pub(crate) count: u32,
    /// Identifier of the first event that has one.
    pub(crate) first_id: Option<Box<str>>,
    /// Identifier of the last event that has one.
    pub(crate) last_id: Option<Box<str>>,
}

/// Buffers bytes until they form complete events.
///
/// Comments and empty lines are no events. They are held back until an event follows, so that a
/// caller does not get them from an endpoint that sends nothing else.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Number of bytes of `pending` that are complete comments and empty lines.
    blank: usize,
    /// Number of bytes of `pending` that were searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, or `None` if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(bytes);
        let (mut end, mut count) = (0, 0);
        let mut position = self.searched;
        while let Some(next) = next_blank_line(&self.pending, position) {
            if has_content(&self.pending[self.blank..next]) {
                end = next;
                count += 1;
            }
            (self.blank, position) = (next, next);
        }
        self.searched = self.pending.len();
        if end == 0 {
            return None;
        }
        let complete = self.pending.split_to(end).freeze();
        self.blank -= end;
        self.searched -= end;
        let ids = event_ids(&complete);
        Some(EventBatch {
            count,
            first_id: ids.first().map(|id| (*id).into()),
            last_id: ids.last().map(|id| (*id).into()),
            bytes: complete.clone(),
        })
    }

    /// Returns and forgets the comments and empty lines that are held back, if there are any.
    pub(crate) fn take_blank(&mut self) -> Option<Bytes> {
        let blank = self.pending.split_to(std::mem::take(&mut self.blank)).freeze();
        self.searched -= blank.len();
        (!blank.is_empty()).then_some(blank)
    }

    /// Returns the number of bytes that are held back.
    pub(crate) fn held(&self) -> usize {
        self.pending.len()
    }

    /// Reports whether an event has begun that is not complete.
    pub(crate) fn is_within_event(&self) -> bool {
        self.pending.len() > self.blank
    }
}

/// Returns the offset after the first empty line whose last byte is at `from` or later.
fn next_blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    let is_blank = |end: usize| {
        let before = bytes[..end].strip_suffix(b"\r\n").or(bytes[..end].strip_suffix(b"\n"));
        before.is_some_and(|before| matches!(before, [] | [.., b'\n']))
    };
    (from + 1..=bytes.len()).find(|end| is_blank(*end))
}

/// Reports whether any line has a field; comments and empty lines have none.
fn has_content(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_ids(bytes: &[u8]) -> Vec<&str> {
    bytes
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok())
        .map(str::trim)
        .collect()
}
