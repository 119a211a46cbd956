//! What tells a record apart from all others.

use serde::{Deserialize, Serialize};

/// Maximum size of a record in bytes.
pub const MAX_RECORD_BYTES: u64 = 16 << 20;

/// The version, the position and the contents of a record, without the contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStamp {
    /// Version of the record; a record with a higher one replaces it.
    pub version: u64,
    /// Offset of the record in its topic.
    pub offset: u64,
    /// Size of the record in bytes.
    pub bytes: u64,
    /// Digest of the record's outline.
    pub digest: u64,
}

impl RecordStamp {
    /// Reports whether records with the two stamps have the same version and contents. A store that comes
    /// back from an older copy may give the same record another offset.
    pub fn is_same_record(&self, other: &RecordStamp) -> bool {
        let contents = |stamp: &RecordStamp| (stamp.version, stamp.bytes, stamp.digest);
        contents(self) == contents(other)
    }

    /// Reports whether a record can have the stamp.
    pub fn is_readable(&self) -> bool {
        (1..=MAX_RECORD_BYTES).contains(&self.bytes)
    }
}
