//! The chunks of a record.

use std::ops::Range;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::transfer::RecordStamp;

/// Minimum size of a chunk in bytes, but for the last one of a record.
const MIN_CHUNK_BYTES: usize = 512;

/// Maximum size of a chunk in bytes.
pub const MAX_CHUNK_BYTES: usize = 8_192;

/// A chunk ends after a byte at which these bits of the rolling hash are zero, which is once in 2,048
/// bytes on average.
const END_MASK: u64 = 0x7ff << 53;

/// Multiplier that spreads the values of a byte over all bits of a word.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// The size and the digest of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChunk {
    /// Digest of the chunk's bytes.
    pub digest: u64,
    /// Number of bytes.
    pub bytes: u32,
}

impl RecordChunk {
    fn of(bytes: &[u8]) -> RecordChunk {
        RecordChunk { digest: digest([bytes]), bytes: bytes.len() as u32 }
    }

    /// Reports whether `bytes` are the chunk's.
    pub fn is_made_of(&self, bytes: &[u8]) -> bool {
        RecordChunk::of(bytes) == *self
    }
}

/// The chunks that make up a record, in their order.
///
/// Where a chunk ends depends only on the bytes before its end, so records that differ in a few places
/// have most chunks in common.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOutline {
    chunks: Vec<RecordChunk>,
}

impl RecordOutline {
    /// Returns the outline of `record`.
    pub fn new(record: &[u8]) -> RecordOutline {
        let mut chunks = Vec::new();
        let mut rest = record;
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(first_chunk_bytes(rest));
            chunks.push(RecordChunk::of(chunk));
            rest = after;
        }
        RecordOutline { chunks }
    }

    /// Returns the stamp of the record with this outline, which has this version and offset.
    pub fn stamp(&self, version: u64, offset: u64) -> RecordStamp {
        let bytes = self.chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum();
        let rows = self.chunks.iter().map(|chunk| chunk.digest.to_be_bytes());
        RecordStamp { version, offset, bytes, digest: digest(rows) }
    }

    /// Reports whether the record with this stamp has this outline.
    pub fn belongs_to(&self, stamp: &RecordStamp) -> bool {
        let fits = |chunk: &RecordChunk| (1..=MAX_CHUNK_BYTES as u32).contains(&chunk.bytes);
        self.chunks.iter().all(fits) && self.stamp(stamp.version, stamp.offset) == *stamp
    }

    /// Returns the chunks in their order.
    pub fn chunks(&self) -> &[RecordChunk] {
        &self.chunks
    }

    /// Returns each chunk with its place in the record.
    pub fn places(&self) -> impl Iterator<Item = (RecordChunk, Range<usize>)> + '_ {
        self.chunks.iter().scan(0, |end, chunk| {
            let start = *end;
            *end += chunk.bytes as usize;
            Some((*chunk, start..*end))
        })
    }
}

/// Returns the size of the first chunk of `bytes`, which are not empty.
fn first_chunk_bytes(bytes: &[u8]) -> usize {
    let most = bytes.len().min(MAX_CHUNK_BYTES);
    let mut hash = 0_u64;
    for (index, byte) in bytes.iter().enumerate().take(most) {
        let spread = (u64::from(*byte) + 1).wrapping_mul(SPREAD);
        hash = (hash << 1).wrapping_add(spread ^ spread >> 29);
        if index + 1 >= MIN_CHUNK_BYTES && hash & END_MASK == 0 {
            return index + 1;
        }
    }
    most
}

fn digest(parts: impl IntoIterator<Item = impl AsRef<[u8]>>) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().iter().take(8).fold(0, |word, &byte| word << 8 | u64::from(byte))
}
