//! Server for the calls of other processes.

use std::sync::Arc;

use futures::StreamExt;
use pimentorock_kernel::{
    ids::{FencingNumber, ProcessId},
    record::KeyWithdrawn,
};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpListener;
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    control::ControlCore,
    logs::part,
    peer::counted_stream::CountedStream,
    peer::service::{PeerReport, PeerService},
    state::HeldAnswer,
};

/// Serves the calls of one connection from the control state of this process.
#[derive(Clone, Debug)]
struct PeerServer {
    core: Arc<ControlCore>,
}

impl PeerService for PeerServer {
    async fn report(self, _: Context) -> PeerReport {
        self.core.report()
    }

    async fn withdrawals(self, _: Context) -> Vec<KeyWithdrawn> {
        self.core.withdrawals()
    }

    async fn is_out(self, _: Context, holder: ProcessId, fencing: u64) -> bool {
        self.core.replica().confirm_relinquished(&holder, FencingNumber(fencing))
    }

    async fn held_answer(self, _: Context, key: Box<str>) -> Option<HeldAnswer> {
        self.core.held_answer(&key)
    }

    async fn retire_endpoint(self, _: Context, name: Box<str>) {
        // `true` means that the platform will stop the endpoint.
        self.core.drain_endpoint(&name, true).await;
    }

    async fn withdraw(self, _: Context, withdrawn: Vec<KeyWithdrawn>) {
        self.core.merge_withdrawals(&withdrawn);
    }

    async fn configuration(self, _: Context, next_offset: u64) -> Option<Box<str>> {
        self.core.configuration_above(next_offset)
    }
}

/// Accepts connections on `listener` and serves their calls until `stop` is cancelled.
pub(crate) async fn serve(core: Arc<ControlCore>, listener: TcpListener, stop: CancellationToken) {
    loop {
        let socket = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => socket,
                Err(error) => {
                    log::warn!(target: part::PEER, "Accepting a peer connection failed: {error}.");
                    continue;
                }
            },
        };
        let socket = CountedStream::new(socket, core.peer_bytes().clone());
        let framed = LengthDelimitedCodec::builder().new_framed(socket);
        let transport = serde_transport::new(framed, Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let server = PeerServer { core: Arc::clone(&core) };
        let stop = stop.clone();
        tokio::spawn(async move {
            let answering = channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            });
            tokio::select! {
                () = stop.cancelled() => {}
                () = answering => {}
            }
        });
    }
}
