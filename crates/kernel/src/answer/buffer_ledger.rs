//! The memory of messages that are being received.

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a buffer in a [`BufferLedger`].
    pub struct BufferKey;
}

/// One buffer.
#[derive(Clone, Copy, Debug, Default)]
struct BufferRow {
    bytes: u64,
    /// Whether the message is complete, so that the buffer is no longer dropped.
    settled: bool,
}

/// Counts the bytes of all buffers, and chooses the buffers to drop when they exceed the limit.
///
/// The largest incomplete message is dropped first: a few messages without end do not crowd out
/// many small ones.
#[derive(Clone, Debug)]
pub struct BufferLedger {
    limit: u64,
    used: u64,
    rows: SlotMap<BufferKey, BufferRow>,
}

impl BufferLedger {
    /// Returns a ledger without buffers; `limit` is the number of bytes that all buffers together
    /// may have.
    pub fn new(limit: u64) -> BufferLedger {
        BufferLedger { limit, used: 0, rows: SlotMap::with_key() }
    }

    /// Returns the number of bytes in all buffers.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds an empty buffer.
    pub fn open(&mut self) -> BufferKey {
        self.rows.insert(BufferRow::default())
    }

    /// Sets the size of an incomplete message to `bytes`, and returns the buffers that have to be
    /// dropped, which are removed; they may include this one.
    pub fn resize(&mut self, key: BufferKey, bytes: u64) -> Vec<BufferKey> {
        let Some(row) = self.rows.get_mut(key) else { return Vec::new() };
        self.used = self.used - row.bytes + bytes;
        row.bytes = bytes;
        let mut dropped = Vec::new();
        while self.used > self.limit {
            let incomplete = self.rows.iter().filter(|(_, row)| !row.settled);
            let Some((largest, _)) = incomplete.max_by_key(|(_, row)| row.bytes) else { break };
            self.close(largest);
            dropped.push(largest);
        }
        dropped
    }

    /// Notes that the message in a buffer is complete.
    pub fn settle(&mut self, key: BufferKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.settled = true;
        }
    }

    /// Removes a buffer.
    pub fn close(&mut self, key: BufferKey) {
        if let Some(row) = self.rows.remove(key) {
            self.used -= row.bytes;
        }
    }
}
