//! The records that this entry passes on.

use std::time::Duration;

use crate::{
    time::TimePoint,
    transfer::{RecordOutline, RecordStamp},
};

/// Time after its last question for which a record that was replaced is kept for its askers.
const ASKED_LIFE: Duration = Duration::from_secs(1);

/// Bytes of all records together that are kept beside the newest one.
const MAX_EARLIER_BYTES: u64 = 8 << 20;

/// A record with its outline.
#[derive(Clone, Debug)]
pub struct ShelfRecord<V> {
    /// Stamp of the record.
    pub stamp: RecordStamp,
    /// Outline of the record's value.
    pub outline: RecordOutline,
    /// The record itself.
    pub record: V,
}

/// A record with the time at which it was last asked for, or put.
#[derive(Clone, Debug)]
struct ShelfRow<V> {
    held: ShelfRecord<V>,
    asked_at: TimePoint,
}

/// The newest version of a record, and those before it that other entries have begun to fetch.
#[derive(Clone, Debug)]
pub struct RecordShelf<V> {
    newest: Option<ShelfRow<V>>,
    /// Replaced records, the newest first.
    earlier: Vec<ShelfRow<V>>,
}

impl<V> Default for RecordShelf<V> {
    fn default() -> RecordShelf<V> {
        RecordShelf { newest: None, earlier: Vec::new() }
    }
}

impl<V> RecordShelf<V> {
    /// Returns an empty shelf.
    pub fn new() -> RecordShelf<V> {
        RecordShelf::default()
    }

    /// Returns the newest record.
    pub fn newest(&self) -> Option<&ShelfRecord<V>> {
        self.newest.as_ref().map(|row| &row.held)
    }

    /// Puts a record that replaces the newest one.
    pub fn put(&mut self, now: TimePoint, held: ShelfRecord<V>) {
        let row = ShelfRow { held, asked_at: now };
        self.earlier.splice(0..0, self.newest.replace(row));
        self.forget_unasked(now);
        let mut bytes = 0;
        self.earlier.retain(|row| {
            bytes += row.held.stamp.bytes;
            bytes <= MAX_EARLIER_BYTES
        });
    }

    /// Returns the record with this stamp, at any offset, if it is kept.
    pub fn find(&mut self, now: TimePoint, stamp: &RecordStamp) -> Option<&ShelfRecord<V>> {
        self.forget_unasked(now);
        let mut rows = self.newest.iter_mut().chain(&mut self.earlier);
        let row = rows.find(|row| row.held.stamp.is_same_record(stamp))?;
        row.asked_at = now;
        Some(&row.held)
    }

    fn forget_unasked(&mut self, now: TimePoint) {
        self.earlier.retain(|row| now.since(row.asked_at) < ASKED_LIFE);
    }
}
