//! Events that a reader of the log reports.

use std::time::Instant;

/// An event that a [`LogReader`](crate::log_reader::LogReader) reports, in the order of offsets.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadEvent<T> {
    /// A record that was decoded.
    Entry {
        /// Offset of the record.
        offset: u64,
        /// Time of the append by the platform's wall clock, in milliseconds since 1970.
        at_ms: u64,
        /// Identifier of the record.
        id: Box<str>,
        /// Decoded body of the record.
        body: T,
    },
    /// A second copy of a record that was reported before. The caller must not apply it.
    Duplicate {
        /// Offset of the copy.
        offset: u64,
        /// Identifier of the record.
        id: Box<str>,
    },
    /// A record that cannot be decoded.
    Damaged {
        /// Offset of the record.
        offset: u64,
        /// Text of the decoding error.
        problem: Box<str>,
    },
    /// The log no longer holds the offsets from `from` up to `head`.
    ///
    /// The reader continues at `head`. The state of the missing records must be loaded from a
    /// snapshot or a peer.
    Trimmed {
        /// First missing offset.
        from: u64,
        /// First offset that the log still holds.
        head: u64,
    },
    /// The reader has reported all records that the log held when the read was answered.
    CaughtUp {
        /// End offset of the log at that time.
        end: u64,
        /// Time at which the read was sent; `end` is at least as recent.
        sent: Instant,
    },
}
