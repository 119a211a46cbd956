//! What entries tell each other: see the kernel's `hub`.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use pimentorock_kernel::{
    duty::UsageShare,
    hub::{GroupLoad, KnownEntry},
    ids::ProcessId,
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    acceptor::accept_connections, clock, connection, logs::part, state::GatewayState,
    store::StoreRecord,
};

/// Longest time to connect to a peer and hear from it.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// A record of the store as it travels between entries.
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

/// What an entry counted, and where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryShare {
    /// Where peers reach it.
    pub(crate) peer: SocketAddr,
    /// What it counted.
    pub(crate) usage: UsageShare,
}

/// What an entry tells another one, and how much of the store it has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// The entry.
    pub(crate) process: ProcessId,
    /// Where peers reach it.
    pub(crate) peer: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: Box<str>,
    /// What it tells its hub; `None` if it only makes itself known or looks for news.
    pub(crate) group: Option<GroupReport>,
    /// Offset of the configuration in force there.
    pub(crate) config_offset: Option<u64>,
    /// Offset of the next record of an endpoint; `None` before the first.
    pub(crate) endpoints_next: Option<u64>,
    /// Wall clock of most entries of its group, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
    /// Whether it wants to be told of other entries.
    pub(crate) wants_entries: bool,
    /// Entries that the other one may not know, if it wants to be told in turn.
    pub(crate) entries: Vec<KnownEntry>,
}

/// What an entry tells its hub of itself and of the entries that ask it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupReport {
    /// What they have at endpoints.
    pub(crate) load: GroupLoad,
    /// What they counted, as far as it is to be shared.
    pub(crate) shares: Vec<EntryShare>,
}

/// What the other entry answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryNews {
    /// Age of the configuration and endpoints that the entry has, in milliseconds.
    pub(crate) store_age_ms: u64,
    /// The configuration in force, if it is newer.
    pub(crate) config: Option<PeerRecord>,
    /// Records of endpoints that changed since.
    pub(crate) endpoints: Vec<PeerRecord>,
    /// Offset of the next record of an endpoint.
    pub(crate) endpoints_next: Option<u64>,
    /// What all entries outside the asking one's group have at endpoints.
    pub(crate) load: GroupLoad,
    /// Endpoints that strict classes get, by service.
    pub(crate) strict_counts: Vec<(Box<str>, u32)>,
    /// What most wall clocks show, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
    /// Entries that the asking one may not know, if it wanted to be told.
    pub(crate) entries: Vec<KnownEntry>,
}

/// Calls between entries.
#[tarpc::service]
pub(crate) trait GatewayPeer {
    /// Takes what an entry tells and returns what it lacks.
    async fn exchange(report: EntryReport) -> EntryNews;
}

/// Answers peers from the state.
#[derive(Clone)]
struct PeerServer {
    state: Arc<GatewayState>,
}

impl GatewayPeer for PeerServer {
    async fn exchange(self, _: context::Context, report: EntryReport) -> EntryNews {
        self.state.handle_report(report)
    }
}

/// Answers peers on `listener` until `stop` is cancelled.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let take = |stream| {
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let calls = BaseChannel::with_defaults(transport);
        let server = PeerServer { state: Arc::clone(&state) };
        tokio::spawn(calls.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    };
    accept_connections(listener, stop, take).await;
}

/// Connections to other entries, kept for the next call.
#[derive(Default)]
pub(crate) struct PeerClients {
    open: HashMap<SocketAddr, GatewayPeerClient>,
    /// Entries that did not answer the last call.
    lost: Vec<SocketAddr>,
}

impl PeerClients {
    /// Exchanges news with the entry at `address`; `None` if it did not answer.
    pub(crate) async fn exchange(
        &mut self,
        state: &GatewayState,
        address: SocketAddr,
        report: EntryReport,
    ) -> Option<EntryNews> {
        let answered = tokio::time::timeout(PEER_TIMEOUT, self.call(address, report)).await;
        let outcome = answered.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let now = clock::now();
        match outcome {
            Ok(news) => {
                state.roster().note_answer(now, address);
                if self.lost.contains(&address) {
                    self.lost.retain(|lost| *lost != address);
                    log::info!(target: part::PEER, peer = address.to_string(); "peer is back");
                }
                Some(news)
            }
            Err(reason) => {
                state.roster().note_failure(now, address);
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
    ) -> Result<EntryNews, String> {
        let client = match self.open.get(&address) {
            Some(client) => client,
            None => {
                let client = connect(address).await?;
                self.open.entry(address).or_insert(client)
            }
        };
        let answer = client.exchange(context::current(), report).await;
        answer.map_err(|error| error.to_string())
    }
}

async fn connect(address: SocketAddr) -> Result<GatewayPeerClient, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    connection::configure_socket(&stream).map_err(|error| error.to_string())?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    Ok(GatewayPeerClient::new(client::Config::default(), transport).spawn())
}
