//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// The end of an event in its batch, and its identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EventMark {
    end: usize,
    id: Option<Box<str>>,
}

/// Consecutive complete events of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// The events' bytes, unchanged, with the comments and empty lines before the last event.
    pub(crate) bytes: Bytes,
    events: Vec<EventMark>,
}

impl EventBatch {
    /// Returns the number of events.
    pub(crate) fn count(&self) -> u32 {
        self.events.len() as u32
    }

    /// Returns the identifier of the last event that has one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.events.iter().rev().find_map(|event| event.id.as_deref())
    }

    /// Drops the events from the first one that may not follow the event before it, and returns whether there is
    /// none; `last` is the identifier of the event before the first one.
    pub(crate) fn keep_ordered(&mut self, last: Option<&str>) -> bool {
        let mut last = last;
        let mut kept = 0;
        for event in &self.events {
            if !is_next_event(last, event.id.as_deref()) {
                break;
            }
            last = event.id.as_deref().or(last);
            kept += 1;
        }
        let is_ordered = kept == self.events.len();
        self.events.truncate(kept);
        self.bytes.truncate(self.events.last().map_or(0, |event| event.end));
        is_ordered
    }
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
        let (mut end, mut events) = (0, Vec::new());
        let mut position = self.searched;
        while let Some(next) = next_blank_line(&self.pending, position) {
            if has_content(&self.pending[self.blank..next]) {
                let id = event_id(&self.pending[end..next]).map(Into::into);
                end = next;
                events.push(EventMark { end, id });
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
        Some(EventBatch { bytes: complete, events })
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

/// Returns the identifier of an event, if it has one that is not empty; the last one counts.
fn event_id(event: &[u8]) -> Option<&str> {
    event
        .split(|byte| *byte == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id).ok())
        .map(str::trim)
        .filter(|id| !id.is_empty())
}

/// Reports whether an event with the identifier `next` may follow one with the identifier `last`.
///
/// Identifiers rise by one if they are numbers; others cannot be compared, but differ. Once an event has
/// one, an event without one has no place in the stream.
fn is_next_event(last: Option<&str>, next: Option<&str>) -> bool {
    let Some(last) = last else { return true };
    let Some(next) = next else { return false };
    match last.parse::<u64>() {
        Ok(last) => last.checked_add(1).is_some_and(|expected| next.parse() == Ok(expected)),
        Err(_) => last != next,
    }
}
