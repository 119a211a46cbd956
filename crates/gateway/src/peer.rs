//! What entries ask each other while the store refuses one of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    link,
    logs::part,
    state::GatewayState,
    store::{StoreRecord, StoreTopic},
};

/// Longest time to connect to a peer and hear from it.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

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

/// What an entry tells a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerNews {
    /// The configuration in force, if it is newer than the peer's.
    pub(crate) config: Option<PeerRecord>,
    /// The newest record of each endpoint.
    pub(crate) endpoints: Vec<PeerRecord>,
}

/// Calls between entries.
#[tarpc::service]
pub(crate) trait GatewayPeer {
    /// Returns what a peer lacks that has the configuration at `config_offset`.
    async fn news(config_offset: Option<u64>) -> PeerNews;
}

/// Answers peers from the state.
#[derive(Clone)]
struct PeerServer {
    state: Arc<GatewayState>,
}

impl GatewayPeer for PeerServer {
    async fn news(self, _: context::Context, config_offset: Option<u64>) -> PeerNews {
        let record = self.state.config_record();
        let config = record.filter(|record| config_offset.is_none_or(|at| record.offset > at));
        let endpoints = self.state.endpoint_records().into_iter().map(PeerRecord::from).collect();
        PeerNews { config: config.map(PeerRecord::from), endpoints }
    }
}

/// Answers peers on `listener` until `stop` is cancelled.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        if let Err(error) = link::guard(&stream) {
            log::warn!(target: part::PEER, error = error.to_string(); "socket refused options");
        }
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let calls = BaseChannel::with_defaults(transport);
        let server = PeerServer { state: Arc::clone(&state) };
        tokio::spawn(calls.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

/// Asks the peer at `address` what this entry lacks.
pub(crate) async fn ask(state: &GatewayState, address: SocketAddr) -> Option<PeerNews> {
    let config_offset = state.config_record().map(|record| record.offset);
    match tokio::time::timeout(PEER_TIMEOUT, call(address, config_offset)).await {
        Ok(Ok(news)) => Some(news),
        Ok(Err(reason)) => {
            log::info!(target: part::PEER, peer = address.to_string(), reason = reason; "peer lost");
            None
        }
        Err(_) => {
            log::info!(target: part::PEER, peer = address.to_string(); "peer did not answer");
            None
        }
    }
}

async fn call(address: SocketAddr, config_offset: Option<u64>) -> Result<PeerNews, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    link::guard(&stream).map_err(|error| error.to_string())?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let peer = GatewayPeerClient::new(client::Config::default(), transport).spawn();
    peer.news(context::current(), config_offset).await.map_err(|error| error.to_string())
}

/// Takes what a peer told.
pub(crate) fn take(state: &GatewayState, news: PeerNews) {
    if let Some(record) = news.config {
        state.take_record(StoreTopic::Config, &record.into(), "peer");
    }
    for record in news.endpoints {
        state.take_record(StoreTopic::Endpoints, &record.into(), "peer");
    }
}
