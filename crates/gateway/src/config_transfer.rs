//! Fetches configurations from other entries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    time::TimePoint,
    transfer::{RecordStamp, TransferStep},
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    config_copy::TransferAnswer,
    logs::part,
    peer_pool::PeerPool,
    state::GatewayState,
    store::{StoreRecord, StoreTopic},
};

/// Time after which a fetcher that has nothing to do looks again.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Fetches newer configurations until `stop` is cancelled.
pub(crate) async fn fetch_configs(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut fetcher = ConfigFetcher { state, pool: PeerPool::default(), late_since: None };
    while !stop.is_cancelled() {
        let pause = fetcher.step().await;
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            () = fetcher.state.copy_calls.config_offered(), if !pause.is_zero() => {}
            () = sleep(pause) => {}
        }
    }
}

/// The steps by which configurations are fetched.
struct ConfigFetcher {
    state: Arc<GatewayState>,
    /// Connections that carry nothing else, so that nothing else waits behind a part.
    pool: PeerPool,
    /// The wanted record that was logged as late, by the time since which it is wanted.
    late_since: Option<TimePoint>,
}

impl ConfigFetcher {
    /// Takes one step, and returns the time until the next one.
    async fn step(&mut self) -> Duration {
        self.note_lateness();
        let step = self.state.view().configs.transfer.step(clock::now());
        match step {
            TransferStep::Idle => {
                self.pool.clear();
                IDLE_PERIOD
            }
            TransferStep::Wait(pause) => pause,
            TransferStep::FetchOutline { source, stamp } => {
                self.fetch_outline(source, stamp).await;
                Duration::ZERO
            }
            TransferStep::FetchChunks { source, stamp, chunks } => {
                self.fetch_chunks(source, stamp, chunks).await;
                Duration::ZERO
            }
            TransferStep::Complete { stamp, value } => {
                self.apply(stamp, value);
                Duration::ZERO
            }
        }
    }

    async fn fetch_outline(&self, source: SocketAddr, stamp: RecordStamp) {
        let asker = self.state.settings.peers;
        let answer = self.pool.fetch_outline(source, asker, stamp).await;
        let now = clock::now();
        let mut view = self.state.view();
        let configs = &mut view.configs;
        match answer {
            Ok(TransferAnswer::Part(outline)) => {
                let own = configs.held().cloned();
                let own = own
                    .as_ref()
                    .and_then(|held| Some((&held.outline, held.record.value.as_deref()?)));
                configs.transfer.take_outline(now, source, stamp, outline, own);
            }
            Ok(TransferAnswer::Busy(holders)) => {
                configs.transfer.note_busy(now, source, stamp, &holders);
            }
            Ok(TransferAnswer::Gone) => configs.transfer.note_gone(source, stamp),
            Err(_) => configs.transfer.note_failure(now, source),
        }
    }

    async fn fetch_chunks(&self, source: SocketAddr, stamp: RecordStamp, chunks: Vec<u32>) {
        let asker = self.state.settings.peers;
        let began = clock::now();
        let answer = self.pool.fetch_chunks(source, asker, stamp, chunks.clone()).await;
        let now = clock::now();
        let mut view = self.state.view();
        let transfer = &mut view.configs.transfer;
        match answer {
            Ok(TransferAnswer::Part(values)) => {
                let received: usize = values.iter().map(Bytes::len).sum();
                let time = now.since(began);
                let taken = transfer.take_chunks(now, source, stamp, &chunks, values, time);
                self.state.metrics.note_transfer_received(taken, received as u64 - taken);
            }
            Ok(TransferAnswer::Busy(holders)) => {
                transfer.note_busy(now, source, stamp, &holders);
            }
            Ok(TransferAnswer::Gone) => transfer.note_gone(source, stamp),
            Err(_) => transfer.note_failure(now, source),
        }
    }

    fn apply(&self, stamp: RecordStamp, value: Vec<u8>) {
        let now = clock::now();
        let (since, fetched) = {
            let view = self.state.view();
            let transfer = &view.configs.transfer;
            (transfer.wanted_since(), transfer.fetched_bytes())
        };
        let time = since.map_or(Duration::ZERO, |since| now.since(since));
        log::info!(
            target: part::FOLLOW,
            version = stamp.version, bytes = stamp.bytes, fetched = fetched,
            time_ms = time.as_millis() as u64;
            "configuration fetched"
        );
        self.state.metrics.note_config_fetched(time);
        let key = self.state.store.config_key.into();
        let record = StoreRecord { offset: stamp.offset, key, value: Some(value.into()) };
        self.state.apply_record(StoreTopic::Config, &record, "peer");
        let mut view = self.state.view();
        if view.config_version().is_none_or(|own| own < stamp.version) {
            view.configs.transfer.note_refused(now, stamp.version);
        }
    }

    /// Logs and counts a configuration that takes longer to arrive than a change may take.
    fn note_lateness(&mut self) {
        let (since, bound, wanted, fetched) = {
            let view = self.state.view();
            let transfer = &view.configs.transfer;
            let bound = view.roster.budget().bound();
            (transfer.wanted_since(), bound, transfer.wanted(), transfer.fetched_bytes())
        };
        let now = clock::now();
        let late = since.filter(|since| now.since(*since) > bound);
        if late.is_none() || late == self.late_since {
            return;
        }
        self.late_since = late;
        let wanted = wanted.unwrap_or_default();
        log::warn!(
            target: part::FOLLOW,
            version = wanted.version, bytes = wanted.bytes, fetched = fetched,
            bound_ms = bound.as_millis() as u64;
            "configuration takes longer to arrive than a change may take"
        );
        self.state.metrics.note_late_config();
    }
}
