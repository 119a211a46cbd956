//! The software version that began each stream, so that a stream goes on at this version only.
//!
//! Endpoints of several software versions may serve one service side by side, and what two versions
//! write does not fit together. Neither endpoints nor callers know which version began a stream, so
//! the entries must know it, after the one that chose the endpoint is gone too, and after all are.
//!
//! # What is kept where
//!
//! The version at which a stream begins follows from the stream's identifier and the shares that the versions
//! of the service have of the slots ([`StreamOrigins::begin_version`]). The root hub writes the shares to
//! the store, in a marker ([`OriginMarker`]) that holds the spans in which they were in force
//! ([`ShareSpan`]), and entries follow a span once the store has it and a hub has told them. A span ends when
//! each entry that reported lately has reported that it knows a later one ([`SpanAck`]). So a start
//! waits for nothing, and any root hub that reads the store works out the version of any stream: it is the
//! same by all spans that may have been in force since the caller first asked, or it is unknown. The time at
//! which it first asked follows from how long it still waits and how long callers of the service wait at most.
//!
//! An entry also notes each stream with its first event ([`StreamOrigins::begin`]), by the identifier of
//! the attempt that began it and the client account. Records tell the versions of streams that began while the
//! shares moved, and of take-ups under the name of a take-up. They are shared while a second version of the
//! service is known to have served within [`STREAM_LIFE`], or while the entry's own copy of the store is old. When
//! this begins, the streams that it noted before are shared too. Shared records go up the tree of hubs
//! with the next exchange, and the root hub writes them to the store.
//!
//! A take-up asks up the same way, its own entry first ([`StreamOrigins::find`]). Without a record the root hub
//! derives the version, if an entry may have died with the record since the caller first asked. It else
//! answers with the only version that has served within [`STREAM_LIFE`], as its endpoints and the history
//! in the store say. Otherwise the stream is unknown, and does not go on.
//!
//! # Bound
//!
//! A stream goes on at another version than the one that began it only if no record of it is found
//! and
//!
//! * its version is derived, and
//!   * another root hub wrote a later span less than [`MAX_DERIVED_AGE`] before, which takes a divided fleet;
//!   * or its caller waits longer than the route keeps a request, than any caller of the service did before, or
//!     than [`STREAM_LIFE`];
//!   * or its caller names another attempt than the one that brought its first event;
//!   * or the clocks of the entry that is asked and of the root hub that ended a span differ by more than 0.6 s;
//!   * or it began at an entry that served without the marker, which an entry waits for 2 s after its first
//!     configuration, or that reached no root hub for [`STREAM_LIFE`], and followed shares of before that;
//! * or a second version has served, no span says so, and the root hub that answers knows of one only: its copy
//!   of the store and of the history is at most [`MAX_SOLE_AGE`] old, so the second version was listed by
//!   another entry less than that before; or neither the store nor an entry that it reaches knows of that
//!   version any more;
//!
//! or the entry that began it did not know the version of the endpoint, since an endpoint had returned
//! under its name with other software.
//!
//! Records merge by a join: one that says otherwise than another makes the stream unknown. Markers merge to one
//! with the spans of both. So messages that are late, doubled or out of order, entries that are out of touch,
//! and views that differ cost take-ups, but join nothing.
//!
//! A take-up is refused although its version serves if the record died and the version cannot be derived: the
//! shares moved from one version to another for this identifier while the stream may have begun, or an entry
//! is missing that may still follow earlier ones; the store came back from an older copy since; or it has not been
//! read for [`MAX_DERIVED_AGE`], as it is away or no root hub has started yet.
//!
//! # Alternatives
//!
//! docs/design/stream-origins.md weighs what else could survive: the endpoints, the callers, and records alone.

mod origin_answer;
mod origin_archive;
mod origin_batch;
mod origin_ledger;
mod origin_marker;
mod origin_record;
mod share_span;
mod span_acks;
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
    origin_marker::{MarkedEntry, MarkerInput, OriginMarker},
    origin_record::OriginRecord,
    share_span::ShareSpan,
    span_acks::{EntryKey, SpanAck, SpanAcks},
    stream_key::StreamKey,
    stream_origins::{MAX_DERIVED_AGE, MAX_SOLE_AGE, StreamOrigins},
    version_history::{STREAM_LIFE, ServedVersion, VersionHistory, VersionNews},
    version_key::VersionKey,
    version_share::VersionShare,
};
