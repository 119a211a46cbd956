//! The software version that began each stream, so that a stream goes on at this version only.
//!
//! Endpoints of several software versions may serve one service side by side, and what two versions
//! write does not fit together. Neither endpoints nor callers know which version began a stream, so
//! the entries must know it, after the one that chose the endpoint is gone too, and after all are.
//!
//! # What is kept where
//!
//! An entry notes each stream with its first event ([`StreamOrigins::begin`]), by the identifier of
//! the attempt that began it and the client account. It shares what it has noted if the version
//! cannot be inferred: while a second version of the service is known to have served within
//! [`STREAM_LIFE`], or while its own copy of the store is old. When this begins, the streams that
//! it noted before are shared too. Shared records go up the tree of hubs with the next exchange, and
//! the root hub writes them to the store. Nothing waits for this: a stream begins at once, wherever
//! its entry and the store are.
//!
//! A take-up asks up the same way, its own entry first ([`StreamOrigins::find`]). The root hub also
//! answers for streams without a record if one version only has served within [`STREAM_LIFE`], as
//! its endpoints and the history in the store say. Otherwise the stream is unknown, and it does not
//! go on.
//!
//! # Bound
//!
//! A stream goes on at another version than the one that began it only if
//!
//! * no record of it is found, a second version has served within [`STREAM_LIFE`], and the entry that
//!   answers knows of one only. Its copy of the store is at most [`MAX_SOLE_AGE`] old then, so the second version
//!   was listed by another entry that reads the store, less than [`MAX_SOLE_AGE`] before;
//! * or both the history and the records were lost: the store came back from an older copy after all
//!   entries had died, and the second version has left meanwhile;
//! * or the entry that began it did not know the version of the endpoint: an endpoint returned under
//!   its name with other software, and its record had not been read;
//! * or a caller waits for a stream for longer than [`STREAM_LIFE`].
//!
//! Records merge by a join: one that says otherwise than another makes the stream unknown. So messages
//! that are late, doubled or out of order, entries that are out of touch, and views that differ
//! cost take-ups, but join nothing.
//!
//! A take-up is refused although its version serves only if the record died: with the entry that
//! began the stream, its hubs and whatever they had not written. While the store answers, these are
//! the streams whose first event came less than two exchange periods and one write before
//! that; while it does not, a record lives as long as one hub above its entry, or the entry itself.
//! After a kill of all entries while the store is away, the streams that began since are unknown,
//! unless one version has served. Of a stream that began before the second version was known to its
//! entry, nothing is found if the entry died before it knew.
//!
//! # Alternatives
//!
//! docs/design/stream-origins.md weighs what else could survive: the endpoints, the callers, and a
//! version that all entries derive alike from the identifier of a stream.

mod origin_answer;
mod origin_archive;
mod origin_batch;
mod origin_ledger;
mod origin_marker;
mod origin_record;
mod stream_key;
mod stream_origins;
mod version_history;
mod version_key;
mod version_share;

pub use self::{
    origin_answer::{OriginAnswer, OriginEvidence, OriginQuestion},
    origin_archive::{ArchiveRecord, OriginArchive},
    origin_batch::BatchError,
    origin_ledger::{MAX_ORIGINS, OriginDelta, OriginLedger},
    origin_marker::{MarkerInput, OriginGap, OriginMarker},
    origin_record::OriginRecord,
    stream_key::StreamKey,
    stream_origins::{MAX_SOLE_AGE, StreamOrigins},
    version_history::{STREAM_LIFE, ServedVersion, VersionHistory, VersionNews},
    version_key::VersionKey,
    version_share::VersionShare,
};
