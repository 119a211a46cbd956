//! Connections to other entries that several tasks use at once.

use std::{collections::HashMap, net::SocketAddr, sync::MutexGuard, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    stream_origin::{OriginAnswer, OriginQuestion, OriginRecord},
    transfer::{RecordOutline, RecordStamp},
};
use tarpc::{client::RpcError, context};
use tokio::time::timeout;

use crate::{
    config_copy::TransferAnswer,
    copy_messages::{CopyAnswer, CopyQuestion},
    peer::{GatewayPeerClient, PEER_SILENCE, PeerConnection, connect},
    state_lock::StateLock,
};

/// Maximum time without any byte of one question for the version of a stream, and to connect for it.
const ORIGIN_SILENCE: Duration = Duration::from_millis(200);

/// Why a call to another entry has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// The entry was not reached, or its connection was lost.
    Lost,
    /// Nothing came from the entry for too long.
    Late,
}

/// Open connections to other entries, shared by tasks whose calls need not wait for each other.
#[derive(Debug, Default)]
pub(crate) struct PeerPool {
    open: StateLock<HashMap<SocketAddr, PeerConnection>>,
}

impl PeerPool {
    /// Asks the entry at `address` for the version of a stream.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, or sends nothing for [`ORIGIN_SILENCE`].
    pub(crate) async fn find_origin(
        &self,
        address: SocketAddr,
        question: OriginQuestion,
        hops: u32,
    ) -> Result<OriginAnswer, CallFault> {
        let ask = async |client: GatewayPeerClient| {
            client.find_origin(context::current(), question, hops).await
        };
        self.call(address, ORIGIN_SILENCE, ask).await
    }

    /// Asks the entry at `address` for a newer copy of the store.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, or sends nothing for [`PEER_SILENCE`].
    pub(crate) async fn fetch_copy(
        &self,
        address: SocketAddr,
        question: CopyQuestion,
    ) -> Result<CopyAnswer, CallFault> {
        let ask =
            async |client: GatewayPeerClient| client.fetch_copy(context::current(), question).await;
        self.call(address, PEER_SILENCE, ask).await
    }

    /// Asks the entry at `address` for the outline of a configuration, on behalf of the entry at `asker`.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, or sends nothing for [`PEER_SILENCE`].
    pub(crate) async fn fetch_outline(
        &self,
        address: SocketAddr,
        asker: SocketAddr,
        stamp: RecordStamp,
    ) -> Result<TransferAnswer<RecordOutline>, CallFault> {
        let ask = async |client: GatewayPeerClient| {
            client.fetch_outline(context::current(), asker, stamp).await
        };
        self.call(address, PEER_SILENCE, ask).await
    }

    /// Asks the entry at `address` for chunks of a configuration, on behalf of the entry at `asker`.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, or sends nothing for [`PEER_SILENCE`].
    pub(crate) async fn fetch_chunks(
        &self,
        address: SocketAddr,
        asker: SocketAddr,
        stamp: RecordStamp,
        chunks: Vec<u32>,
    ) -> Result<TransferAnswer<Vec<Bytes>>, CallFault> {
        let ask = async |client: GatewayPeerClient| {
            client.fetch_chunks(context::current(), asker, stamp, chunks).await
        };
        self.call(address, PEER_SILENCE, ask).await
    }

    /// Passes records on to the entry at `address`.
    pub(crate) async fn note_origins(&self, address: SocketAddr, records: Vec<OriginRecord>) {
        let note = async |client: GatewayPeerClient| {
            client.note_origins(context::current(), records).await
        };
        // What is lost goes with the next exchange.
        let _ = self.call(address, ORIGIN_SILENCE, note).await;
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.open().clear();
    }

    /// Returns the result of a call to the entry at `address`, which ends once no byte arrives for
    /// `silence`.
    async fn call<T>(
        &self,
        address: SocketAddr,
        silence: Duration,
        call: impl AsyncFnOnce(GatewayPeerClient) -> Result<T, RpcError>,
    ) -> Result<T, CallFault> {
        let PeerConnection { client, meter } = self.connection(address, silence).await?;
        let answer = match meter.until_silent(silence, call(client)).await {
            Some(answer) => answer.map_err(|_| CallFault::Lost),
            None => Err(CallFault::Late),
        };
        if answer.is_err() {
            self.open().remove(&address);
        }
        answer
    }

    async fn connection(
        &self,
        address: SocketAddr,
        time: Duration,
    ) -> Result<PeerConnection, CallFault> {
        let known = self.open().get(&address).cloned();
        if let Some(known) = known {
            return Ok(known);
        }
        let connected = timeout(time, connect(address)).await.map_err(|_| CallFault::Late)?;
        let connection = connected.map_err(|_| CallFault::Lost)?;
        self.open().insert(address, connection.clone());
        Ok(connection)
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerConnection>> {
        self.open.lock()
    }
}
