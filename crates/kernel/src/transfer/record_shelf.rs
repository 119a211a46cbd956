//! The records that this entry passes on.

use crate::transfer::{RecordOutline, RecordStamp};

/// Number of records before the newest one that are kept for askers which have begun to fetch them, and
/// the bytes of all of these together.
const MAX_EARLIER: usize = 2;
const MAX_EARLIER_BYTES: u64 = 4 << 20;

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

/// The newest version of a record, and a few that came before it.
#[derive(Clone, Debug)]
pub struct RecordShelf<V> {
    newest: Option<ShelfRecord<V>>,
    earlier: Vec<ShelfRecord<V>>,
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
        self.newest.as_ref()
    }

    /// Puts a record that replaces the newest one.
    pub fn put(&mut self, record: ShelfRecord<V>) {
        self.earlier.splice(0..0, self.newest.replace(record));
        let mut bytes = 0;
        let fitting = self.earlier.iter().take_while(|earlier| {
            bytes += earlier.stamp.bytes;
            bytes <= MAX_EARLIER_BYTES
        });
        let kept = fitting.count().min(MAX_EARLIER);
        self.earlier.truncate(kept);
    }

    /// Returns the record with this stamp, if it is kept.
    pub fn find(&self, stamp: &RecordStamp) -> Option<&ShelfRecord<V>> {
        self.newest.iter().chain(&self.earlier).find(|record| record.stamp == *stamp)
    }
}
