//! The software version that began each stream, so that a stream goes on at this version only.
//!
//! Endpoints of several software versions may serve one service side by side, and what two versions
//! write does not fit together. Neither endpoints nor callers know which version began a stream, so
//! the entries must know it, after the one that chose the endpoint is gone too, and after all are.
//!
//! # What is kept where
//!
//! The version at which a stream begins follows from the stream's identifier and the shares that the versions
//! of the service have of the slots ([`StreamOrigins::begin_at`]). The root hub writes the shares to
//! the store, in a marker ([`OriginMarker`]) that holds the spans in which they were in force
//! ([`ShareSpan`]), under the condition that it has read all that others wrote. So the store has one sequence of
//! markers.
//!
//! A stream begins by a span that the store has, or not at all: an entry that has just started learns the marker from
//! the store or from its hub, which counts it from then on among the entries that follow it. An entry that cannot
//! learn it begins no stream, as no later process could tell at which version such a stream began. Only these
//! starts wait for the store.
//!
//! A span is *announced* first. Entries go on beginning streams by the span before, and share the streams that they
//! began. Once all of them know the announcement ([`SpanAck`]) and the store has these records, or after a second, the span
//! is *followed*: entries begin streams by it as soon as they hear of that. The span before *ends* when all
//! entries have told that they follow the later one, and the store has what they began until then.
//!
//! An entry notes each stream as it begins, by the identifier of the attempt and the client account. Records are
//! shared while a second version of the service is known to have served within [`STREAM_LIFE`], or while the
//! entry's own copy of the store is old; when this begins, the streams that it noted before are shared too.
//! Shared records go up the tree of hubs with the next exchange, and the root hub writes them to the
//! store. Where the spans that have not ended disagree on a stream, its record goes up and is written at once,
//! while the endpoint reads the prompt.
//!
//! A take-up asks up the same way, its own entry first ([`StreamOrigins::find`]). A record answers it. Without one
//! the root hub reads the store, after the question came, and answers by the spans in which such a stream may
//! have begun: those that have not ended, and for [`STREAM_LIFE`] those that ended after an entry was lost whose last
//! streams may have no record. If they name one version only, the stream began there. If they name several, its
//! version follows if all of them say the same of its identifier, and is derived if an entry was lost within
//! [`STREAM_LIFE`]; otherwise nobody began such a stream. What callers say of their patience plays no part.
//!
//! A store that comes back from an older copy may have lost spans. What the entries know of the history is whole only
//! if the entry that writes the next marker knew all spans before the loss, or if all entries that began streams by others
//! report to it. Until that is certain, streams without a record may have begun at any version, also at one of
//! which nothing is known any more: no version follows ([`ShareSpan::is_witnessed`]). If it cannot become certain, that lasts for
//! [`STREAM_LIFE`], and the streams that begin meanwhile have records. Nothing is answered without a record
//! before the marker of the present era is written. A marker that cannot be read counts as lost.
//!
//! # Bound
//!
//! A stream goes on at another version than the one that began it only if no record of it is found, since
//!
//! * its caller came back later than twice the patience that it stated before, and no entry has heard of it since;
//! * or its caller names another attempt than those that brought it events;
//! * or it began at an entry that reached no root hub for half of [`STREAM_LIFE`];
//! * or an endpoint that states no start was back under its name with other software before the store listed it,
//!   and the entry that sent the take-up had not noticed that it had ended;
//! * or the store came back from an older copy within a second of a write of one entry that others did not read, and this
//!   entry died with it.
//!
//! Records merge by a join: one that says otherwise than another makes the stream unknown. Markers merge to one
//! with the spans of both. So messages that are late, doubled or out of order, entries that stand still or are out
//! of touch, and views that differ cost take-ups, but join nothing.
//!
//! A take-up is refused although its version serves if its record died with the processes that had it, and the
//! spans disagree on it or the store has lost spans; or if the store cannot be read.
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
    stream_origins::StreamOrigins,
    version_history::{STREAM_LIFE, ServedVersion, VersionHistory, VersionNews},
    version_key::VersionKey,
    version_share::VersionShare,
};
