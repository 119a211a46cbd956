//! Remote procedure calls between entries.
//!
//! Entries exchange store records, load and usage shares through hubs; the kernel's `hub` module
//! describes how the hubs are chosen.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use pimentorock_kernel::{
    duty::{SightingRow, UsageShare},
    hub::{GroupLoad, KnownEntry},
    ids::ProcessId,
    send_limit::{LimitAnswer, LimitReport},
    stream_origin::{
        OriginAnswer, OriginDelta, OriginMarker, OriginQuestion, OriginRecord, SpanAck, VersionNews,
    },
    suspect::{LedgerPosition, PartDelta, SuspectDelta},
    time::MAX_WALL_MS,
    transfer::{RecordOutline, RecordStamp},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{
    codec::{LengthDelimitedCodec, length_delimited::Builder},
    sync::CancellationToken,
};

use crate::{
    acceptor::accept_connections,
    byte_meter::{ByteMeter, CountedStream},
    clock,
    config_copy::TransferAnswer,
    connection,
    copy_messages::{CopyAnswer, CopyQuestion, CopyState},
    logs::part,
    state::GatewayState,
    store::StoreRecord,
};

/// Maximum size of one message in bytes. An update with the records of some thousand endpoints has about
/// a megabyte; configurations are sent in parts.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum time of a call to a peer in which no byte arrives, and maximum time to connect.
pub(crate) const PEER_SILENCE: Duration = Duration::from_millis(400);

/// A record of the store in the form in which entries exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerRecord {
    offset: u64,
    key: Box<str>,
    value: Option<Vec<u8>>,
}

impl From<StoreRecord> for PeerRecord {
    fn from(record: StoreRecord) -> PeerRecord {
        let value = record.value.map(|value| value.to_vec());
        PeerRecord { offset: record.offset, key: record.key, value }
    }
}

impl From<PeerRecord> for StoreRecord {
    fn from(record: PeerRecord) -> StoreRecord {
        let value = record.value.map(Into::into);
        StoreRecord { offset: record.offset, key: record.key, value }
    }
}

/// A usage share: the request counts of an entry up to a point in time, and the entry's address for
/// peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryShare {
    /// Address where peers reach the entry.
    pub(crate) peer: SocketAddr,
    /// Request counts.
    pub(crate) usage: UsageShare,
}

/// The state that an entry sends to another entry, including how much of the store it has read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// Identifier of the sending process.
    pub(crate) process: ProcessId,
    /// Address where peers reach the sender.
    pub(crate) peer: SocketAddr,
    /// Failure domain of the sender.
    pub(crate) domain: Box<str>,
    /// State of the sender's group, which is the sender and the entries that report to it, for the
    /// sender's hub; `None` if the receiver is not the
    /// sender's hub.
    pub(crate) group: Option<GroupReport>,
    /// Usage shares that the receiver, or the entries to which it passes them on, do not have yet.
    pub(crate) shares: Vec<EntryShare>,
    /// How much of the store the sender has.
    pub(crate) copy: CopyState,
    /// Newest record of the usage duty that the sender has heard of.
    pub(crate) duty_seen: Option<SightingRow>,
    /// Wall-clock time of most entries of the sender's group, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Whether the sender asks for a list of other entries; the sender then includes its own list in
    /// `entries`.
    pub(crate) wants_entries: bool,
    /// Entries that the receiver may not know; empty unless `wants_entries` is true.
    pub(crate) entries: Vec<KnownEntry>,
    /// Suspects that changed since the sender last reported to the receiver.
    pub(crate) suspects: SuspectDelta,
    /// Position in the receiver's changes of suspects that the sender has reached.
    pub(crate) suspects_seen: LedgerPosition,
    /// Histories of prompt parts that changed since the sender last reported to the receiver.
    pub(crate) part_suspects: PartDelta,
    /// Position in the receiver's changes of prompt parts that the sender has reached.
    pub(crate) part_suspects_seen: LedgerPosition,
    /// Versions that began streams, which the sender has not reported to the receiver yet.
    pub(crate) origins: OriginDelta,
    /// Software versions that the receiver may not know.
    pub(crate) versions: VersionNews,
    /// Time at which the marker of stream origins that the sender knows was written, 0 for none.
    pub(crate) marker_ms: u64,
}

/// The load of an entry and of the entries that report to it, for its hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupReport {
    /// Load that the group has placed on endpoints.
    pub(crate) load: GroupLoad,
    /// Limits that endpoints name, and the group's tickets; `None` if none is known.
    pub(crate) limits: Option<LimitReport>,
    /// What the group knows of the shares by which streams begin.
    pub(crate) spans: SpanAck,
    /// Run of the hub's process that has all records from before; 0 if the sender does not know it yet.
    pub(crate) hub_run: u64,
    /// Whether the sender knows the limits that the fleet knows.
    pub(crate) knows_limits: bool,
    /// Number of entries of the group, the sender included, that reported just now.
    pub(crate) present: u32,
}

/// What a hub tells an entry of its group about limits that endpoints name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitUpdate {
    /// Limits that changed, and tickets for the group; `None` if no limit is known.
    pub(crate) answer: Option<LimitAnswer>,
    /// Number of entries of the fleet, as the root hub counts them; 0 if unknown.
    pub(crate) fleet: u32,
    /// Whether the hub knows the limits that the fleet knows.
    pub(crate) knows: bool,
}

/// The answer to an [`EntryReport`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryUpdate {
    /// What the reporting entry lacks of the store.
    pub(crate) copy: CopyAnswer,
    /// Newest record of the usage duty that the answering entry has heard of.
    pub(crate) duty_seen: Option<SightingRow>,
    /// Load that all entries outside the reporting entry's group have placed on endpoints.
    pub(crate) load: GroupLoad,
    /// Number of endpoints of the strict classes of each partitioned service.
    pub(crate) strict_counts: Vec<(Box<str>, u32)>,
    /// Wall-clock time of most entries, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Entries that the reporting entry may not know; empty unless the report asked for them.
    pub(crate) entries: Vec<KnownEntry>,
    /// Suspects that changed since the position that the report stated.
    pub(crate) suspects: SuspectDelta,
    /// Histories of prompt parts that changed since the position that the report stated.
    pub(crate) part_suspects: PartDelta,
    /// What the reporting entry lacks of limits.
    pub(crate) limits: LimitUpdate,
    /// Position in the answering entry's records of streams, which tells its runs apart.
    pub(crate) origins: LedgerPosition,
    /// Software versions that the reporting entry may not know.
    pub(crate) versions: VersionNews,
    /// A later marker of stream origins than the reporting entry knows.
    pub(crate) marker: Option<OriginMarker>,
    /// Whether the answering entry knows the marker that the fleet knows.
    pub(crate) knows_marker: bool,
    /// Digest of the entries of the reporting entry's group, as the answering entry knows them; 0 if it does
    /// not.
    pub(crate) group_entries: u64,
    /// Whether the reporting entry, after `suspects` and `part_suspects`, knows all suspects that the store has.
    pub(crate) knows_suspects: bool,
}

impl EntryUpdate {
    /// Reports whether an entry can have sent the answer.
    pub(crate) fn is_readable(&self) -> bool {
        self.copy.is_readable() && self.wall_ms <= MAX_WALL_MS
    }
}

/// Which changes of a ledger two entries know of each other.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownChanges {
    /// Position in this entry's changes that the peer has reached.
    pub(crate) by_peer: LedgerPosition,
    /// Position in the peer's changes that this entry has reached.
    pub(crate) of_peer: LedgerPosition,
}

impl KnownChanges {
    /// Returns what is known once the peer answered a report that ended at `sent` with its own
    /// changes up to `received`.
    fn after_answer(self, sent: LedgerPosition, received: LedgerPosition) -> KnownChanges {
        // Another run of the peer's process does not have what was reported to the run before.
        let is_known_run = self.of_peer.incarnation == received.incarnation;
        let by_peer = if is_known_run { sent } else { LedgerPosition::default() };
        KnownChanges { by_peer, of_peer: received }
    }
}

/// Which changes of all ledgers two entries know of each other.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownLedgers {
    /// Changes of requests.
    pub(crate) requests: KnownChanges,
    /// Changes of prompt parts.
    pub(crate) parts: KnownChanges,
    /// Records of streams, which are sent one way only.
    pub(crate) origins: KnownChanges,
    /// Digest of the software versions that the peer knows.
    pub(crate) versions: u64,
    /// Digest of the entries of this entry's group that the peer knows, 0 for none.
    pub(crate) entries: u64,
}

/// Calls between entries.
#[tarpc::service]
pub(crate) trait GatewayPeer {
    /// Applies the report of an entry and returns the state that the entry lacks.
    async fn exchange(report: EntryReport) -> EntryUpdate;
    /// Returns the version that began a stream, after asking `hops` further entries at most.
    async fn find_origin(question: OriginQuestion, hops: u32) -> OriginAnswer;
    /// Returns what the asking entry lacks of the store, if this entry has a newer copy.
    async fn fetch_copy(question: CopyQuestion) -> CopyAnswer;
    /// Returns the outline of a configuration to the entry at `asker`.
    async fn fetch_outline(asker: SocketAddr, stamp: RecordStamp) -> TransferAnswer<RecordOutline>;
    /// Returns chunks of a configuration, by their indexes in the outline, to the entry at `asker`.
    async fn fetch_chunks(
        asker: SocketAddr,
        stamp: RecordStamp,
        chunks: Vec<u32>,
    ) -> TransferAnswer<Vec<Bytes>>;
    /// Takes records of streams that the store should have at once.
    async fn note_origins(records: Vec<OriginRecord>);
}

/// Answers the calls of peers from the shared state.
#[derive(Clone)]
struct PeerServer {
    state: Arc<GatewayState>,
}

impl GatewayPeer for PeerServer {
    async fn exchange(self, _: context::Context, report: EntryReport) -> EntryUpdate {
        self.state.handle_report(report)
    }

    async fn find_origin(
        self,
        _: context::Context,
        question: OriginQuestion,
        hops: u32,
    ) -> OriginAnswer {
        self.state.find_origin(&question, hops).await
    }

    async fn fetch_copy(self, _: context::Context, question: CopyQuestion) -> CopyAnswer {
        self.state.answer_copy_question(&question)
    }

    async fn fetch_outline(
        self,
        _: context::Context,
        asker: SocketAddr,
        stamp: RecordStamp,
    ) -> TransferAnswer<RecordOutline> {
        self.state.answer_outline(asker, &stamp)
    }

    async fn fetch_chunks(
        self,
        _: context::Context,
        asker: SocketAddr,
        stamp: RecordStamp,
        chunks: Vec<u32>,
    ) -> TransferAnswer<Vec<Bytes>> {
        self.state.answer_chunks(asker, &stamp, &chunks)
    }

    async fn note_origins(self, _: context::Context, records: Vec<OriginRecord>) {
        self.state.take_urgent_origins(records);
    }
}

/// Accepts peers on `listener` and answers their calls until `stop` is cancelled, which closes their connections: an
/// entry that follows the store no longer must not be taken for a hub.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let stop_calls = stop.clone();
    let spawn_server = |stream| {
        let framed = frame_codec().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let calls = BaseChannel::with_defaults(transport);
        let server = PeerServer { state: Arc::clone(&state) };
        let answering = calls.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        });
        tokio::spawn(stop_calls.clone().run_until_cancelled_owned(answering));
    };
    accept_connections(listener, connection::SERVER_TIMEOUT, stop, spawn_server).await;
}

/// Open connections to other entries, reused between calls.
#[derive(Default)]
pub(crate) struct PeerClients {
    open: HashMap<SocketAddr, PeerConnection>,
    /// Entries whose last call failed.
    lost: Vec<SocketAddr>,
    /// What entries that answered and this one know of each other's ledgers.
    ledgers: HashMap<SocketAddr, KnownLedgers>,
}

impl PeerClients {
    /// Returns which changes of ledgers the entry at `address` and this one know of each other.
    pub(crate) fn known_ledgers(&self, address: SocketAddr) -> KnownLedgers {
        self.ledgers.get(&address).copied().unwrap_or_default()
    }

    /// Sends `report` to the entry at `address` and returns its answer.
    ///
    /// Returns `None` if the entry sends nothing for [`PEER_SILENCE`], and records the result in the
    /// roster in either case.
    pub(crate) async fn exchange(
        &mut self,
        state: &GatewayState,
        address: SocketAddr,
        report: EntryReport,
    ) -> Option<EntryUpdate> {
        let sent = (report.suspects.position, report.part_suspects.position);
        let sent_origins = report.origins.position;
        let outcome = self.call(address, report).await;
        let now = clock::now();
        match outcome {
            Ok(update) => {
                state.roster().note_answer(now, address);
                let known = self.ledgers.entry(address).or_default();
                known.requests = known.requests.after_answer(sent.0, update.suspects.position);
                known.parts = known.parts.after_answer(sent.1, update.part_suspects.position);
                known.origins = known.origins.after_answer(sent_origins, update.origins);
                known.versions = update.versions.digest;
                known.entries = update.group_entries;
                if self.lost.contains(&address) {
                    self.lost.retain(|lost| *lost != address);
                    log::info!(target: part::PEER, peer = address.to_string(); "peer is back");
                }
                Some(update)
            }
            Err(PeerFault { reason, is_refusal }) => {
                match is_refusal {
                    true => state.roster().note_refusal(now, address),
                    false => state.roster().note_failure(now, address),
                }
                self.open.remove(&address);
                if !self.lost.contains(&address) {
                    self.lost.push(address);
                    log::warn!(target: part::PEER, peer = address.to_string(), reason = reason; "peer lost");
                }
                None
            }
        }
    }

    async fn call(
        &mut self,
        address: SocketAddr,
        report: EntryReport,
    ) -> Result<EntryUpdate, PeerFault> {
        let late = || PeerFault::new("no answer in time");
        let connection = match self.open.get(&address) {
            Some(connection) => connection,
            None => {
                let connected = timeout(PEER_SILENCE, connect(address)).await;
                let connected = connected.map_err(|_| late())?.map_err(PeerFault::from)?;
                self.open.entry(address).or_insert(connected)
            }
        };
        let call = connection.client.exchange(context::current(), report);
        let answer = connection.meter.until_silent(PEER_SILENCE, call).await.ok_or_else(late)?;
        answer.map_err(|error| PeerFault::new(&error.to_string()))
    }
}

/// Why a call to another entry failed.
struct PeerFault {
    reason: String,
    /// Whether the entry refused the connection.
    is_refusal: bool,
}

impl PeerFault {
    fn new(reason: &str) -> PeerFault {
        PeerFault { reason: reason.to_owned(), is_refusal: false }
    }
}

impl From<io::Error> for PeerFault {
    fn from(error: io::Error) -> PeerFault {
        let is_refusal = error.kind() == io::ErrorKind::ConnectionRefused;
        PeerFault { reason: error.to_string(), is_refusal }
    }
}

/// A connection to another entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerConnection {
    pub(crate) client: GatewayPeerClient,
    /// Counts the bytes of the connection.
    pub(crate) meter: ByteMeter,
}

fn frame_codec() -> Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_MESSAGE_BYTES);
    builder
}

/// Connects to the entry at `address`.
///
/// # Errors
///
/// Fails if the entry cannot be reached.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<PeerConnection> {
    let stream = TcpStream::connect(address).await?;
    connection::configure_socket(&stream, connection::SERVER_TIMEOUT)?;
    let meter = ByteMeter::new();
    let framed = frame_codec().new_framed(CountedStream::new(stream, meter.clone()));
    let transport = serde_transport::new(framed, Bincode::default());
    let client = GatewayPeerClient::new(client::Config::default(), transport).spawn();
    Ok(PeerConnection { client, meter })
}
