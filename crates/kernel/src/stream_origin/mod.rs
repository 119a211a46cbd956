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
//! While the store is away, records may die with all entries, so versions follow from identifiers
//! then. The root hub writes a marker ([`OriginMarker`]) with the shares of the versions, at least every
//! 0.4 s, and entries pass it on. An entry that knows no marker of the last second or so begins streams
//! at the version that follows from the stream's identifier and the shares
//! ([`StreamOrigins::strict_version`]). The next root hub finds the marker in the store and adds the gap
//! ([`OriginGap`]) to its own.
//!
//! A take-up asks up the same way, its own entry first ([`StreamOrigins::find`]). Without a record the
//! root hub answers with the only version that has served within [`STREAM_LIFE`], as its endpoints
//! and the history in the store say, or with the version that follows from the identifier, if the
//! caller first asked within a gap. The time at which it first asked follows from how long it still waits
//! and how long callers of the service wait at most. Otherwise the stream is unknown, and does not
//! go on.
//!
//! # Bound
//!
//! A stream goes on at another version than the one that began it only if no record of it is found
//! and
//!
//! * a second version has served, and the root hub that answers knows of one only. Its copy of the store
//!   and of the history is at most [`MAX_SOLE_AGE`] old, so the second version was listed by another
//!   entry less than that before; or neither the store nor an entry that it reaches knows of that
//!   version any more: those that did died before they had written it, or the store has lost it;
//! * or the entry that began it was out of touch when the marker before a gap was written, and was not missed
//!   because as many entries reported as before, such as after one was added; or it served without the
//!   marker, which it waits for 2 s after its first configuration;
//! * or its caller first asked within a gap, or waits less long than others and asked just after one, and
//!   the stream began after the gap at an entry that died before it had reported it and before it was missed;
//! * or its caller waits longer than any caller of the service did before, or than [`STREAM_LIFE`];
//!
//! or the entry that began it did not know the version of the endpoint, since an endpoint had returned
//! under its name with other software.
//!
//! Records merge by a join: one that says otherwise than another makes the stream unknown. So messages
//! that are late, doubled or out of order, entries that are out of touch, and views that differ
//! cost take-ups, but join nothing.
//!
//! A take-up is refused although its version serves if the record died: with the entry that
//! began the stream, its hubs and whatever they had not written. While the store answers, these are
//! the streams whose first event came less than two exchange periods and one write before that. While it does
//! not, a record lives as long as an entry that was told of it. After a kill of all entries meanwhile,
//! the streams that began in the first one and a half seconds of the outage are unknown, and all of it if
//! the shares had changed just before or an entry was missing, unless one version has served. Of a stream that
//! began before the second version was known to its entry, nothing is found if the entry died before
//! it knew.
//!
//! # Alternatives
//!
//! docs/design/stream-origins.md weighs what else could survive: the endpoints, the callers, and versions that
//! follow from identifiers at all times.

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
