//! Client for calls to peers, and a poller that requests the reports of one peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio::net::TcpStream;
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    control::ControlCore,
    logs::part,
    peer::counted_stream::{ByteCount, CountedStream},
    peer::service::PeerServiceClient,
    state::HeldAnswer,
};

/// Maximum interval between requests for a report, and delay before reconnecting. A change of the
/// control state causes an earlier request.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Timeout for connecting and for each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests the report of one peer periodically.
#[derive(Debug)]
pub(crate) struct PeerPoller {
    core: Arc<ControlCore>,
    address: SocketAddr,
}

impl PeerPoller {
    /// Returns a poller for the peer at `address`.
    pub(crate) fn new(core: Arc<ControlCore>, address: SocketAddr) -> PeerPoller {
        PeerPoller { core, address }
    }

    /// Polls the peer, reconnecting after failures, until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            if let Some(peer) = connect(self.address, self.core.peer_bytes()).await {
                self.poll(&peer, &stop).await;
            }
            self.core.record_peer_failure(self.address);
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(REPORT_PERIOD) => {}
            }
        }
    }

    /// Polls over one connection until a call fails or `stop` is cancelled.
    async fn poll(&self, peer: &PeerServiceClient, stop: &CancellationToken) {
        loop {
            let sent = self.core.now();
            let Ok(report) = peer.report(context()).await else { return };
            let follow_ups = self.core.record_peer_report(self.address, sent, report);
            if let Some((holder, fencing)) = follow_ups.lease_answer {
                let Ok(relinquished) = peer.is_out(context(), holder, fencing.0).await else {
                    return;
                };
                if relinquished {
                    self.core.replica().note_relinquished(fencing);
                }
            }
            if follow_ups.withdrawals {
                let Ok(withdrawn) = peer.withdrawals(context()).await else { return };
                self.core.merge_withdrawals(&withdrawn);
            }
            if let Some(next_offset) = follow_ups.configuration_above {
                let Ok(text) = peer.configuration(context(), next_offset).await else { return };
                if let Some(text) = text {
                    self.core.restore_peer_configuration(&text);
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.core.changed() => {}
                () = tokio::time::sleep(REPORT_PERIOD) => {}
            }
        }
    }
}

async fn connect(address: SocketAddr, bytes: &ByteCount) -> Option<PeerServiceClient> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CALL_TIMEOUT, connecting).await.ok()?.ok()?;
    let stream = CountedStream::new(stream, bytes.clone());
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    Some(PeerServiceClient::new(client::Config::default(), transport).spawn())
}

/// Fetches the answer that the entry at `address` stores under the key of an idempotency claim.
///
/// Returns `None` if the entry did not answer in time, and `Some(None)` if it has no such answer.
pub(crate) async fn fetch_answer(address: SocketAddr, key: &str) -> Option<Option<HeldAnswer>> {
    let peer = connect(address, &ByteCount::default()).await?;
    peer.held_answer(context(), key.into()).await.ok()
}

/// Asks the agent at `address` to accept no new requests for the endpoint `name`, which the
/// platform will stop.
pub(crate) async fn retire_endpoint(address: SocketAddr, name: &str) {
    let Some(peer) = connect(address, &ByteCount::default()).await else { return };
    if let Err(error) = peer.retire_endpoint(context(), name.into()).await {
        log::warn!(target: part::PEER, "Call to retire endpoint {name} at agent {address} failed: {error}.");
    }
}

fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}
