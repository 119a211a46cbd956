//! The bytes in which records are kept in the store.

use crate::stream_origin::{OriginRecord, StreamKey, VersionKey};

/// First byte of a batch.
const FORMAT: u8 = 1;

/// Bytes of one record: the stream, the version (0 for none) and the expiry, in big-endian order.
const RECORD_BYTES: usize = 20;

/// Error for bytes that are no batch of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a batch of stream origins")]
pub struct BatchError;

/// Encodes records.
pub(super) fn encode(records: &[OriginRecord]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + RECORD_BYTES * records.len());
    bytes.push(FORMAT);
    for record in records {
        bytes.extend(record.stream.0.to_be_bytes());
        bytes.extend(record.version.map_or(0, |version| version.0).to_be_bytes());
        bytes.extend(record.expires_s.to_be_bytes());
    }
    bytes
}

/// Decodes records.
///
/// # Errors
///
/// Fails if the bytes have another format or length.
pub(super) fn decode(bytes: &[u8]) -> Result<Vec<OriginRecord>, BatchError> {
    let Some((&FORMAT, rest)) = bytes.split_first() else { return Err(BatchError) };
    let (records, []) = rest.as_chunks::<RECORD_BYTES>() else { return Err(BatchError) };
    Ok(records.iter().map(decode_record).collect())
}

fn decode_record(bytes: &[u8; RECORD_BYTES]) -> OriginRecord {
    let number = |part: &[u8]| part.iter().fold(0, |word, byte| word << 8 | u64::from(*byte));
    let version = number(&bytes[8..16]);
    OriginRecord {
        stream: StreamKey(number(&bytes[..8])),
        version: (version != 0).then_some(VersionKey(version)),
        expires_s: number(&bytes[16..]) as u32,
    }
}
