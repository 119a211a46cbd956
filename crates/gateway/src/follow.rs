//! Follows the configuration and the endpoints, in the store or through the hub.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pimentorock_kernel::{hub::HubChoice, time::TimePoint};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    peer::PeerClients,
    state::GatewayState,
    store::{RecordBatch, StoreError, StoreTopic},
};

/// Longest wait of one read for a new configuration; the hub answers for its age.
const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Time between reads of the endpoints; a heartbeat of theirs is longer.
const ENDPOINTS_PERIOD: Duration = Duration::from_millis(400);

/// Time between tries while the store does not answer.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Time between looks whether this entry must read the store.
const IDLE_PERIOD: Duration = Duration::from_millis(100);

/// Time between two calls of a hub to another entry, by which it makes itself known.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Time between two lists of other entries; they are forgotten after a few.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// Time between questions to other entries while neither hub nor store tells anything.
const SEEK_PERIOD: Duration = Duration::from_millis(500);

/// Reads one topic as long as this entry has to.
struct TopicReader {
    state: Arc<GatewayState>,
    topic: StoreTopic,
    /// Longest wait of one read.
    wait: Duration,
    /// Time between reads.
    period: Duration,
    lost: bool,
}

impl TopicReader {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let reads = self.state.view().reads_store(clock::now());
            let pause = match reads {
                false => IDLE_PERIOD,
                true => match self.advance().await {
                    Ok(()) => self.period,
                    Err(_) => RETRY_PERIOD,
                },
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(pause) => {}
            }
        }
    }

    /// Reads what is new.
    async fn advance(&mut self) -> Result<(), StoreError> {
        let asked = clock::now();
        let next = self.state.view().next(self.topic);
        let outcome = match next {
            Some(next) => self.read_on(next).await,
            None => self.read_anew().await,
        };
        self.state.metrics.note_store_call(topic_name(self.topic), outcome.is_ok());
        match &outcome {
            Ok(()) => self.note_answer(asked),
            Err(error) => self.note_failure(error),
        }
        outcome
    }

    async fn read_on(&self, next: u64) -> Result<(), StoreError> {
        match (self.state.store.read)(self.topic, next, self.wait).await {
            Ok(batch) => {
                self.take(&batch, false);
                Ok(())
            }
            Err(StoreError::Trimmed) => self.read_anew().await,
            Err(error) => Err(error),
        }
    }

    async fn read_anew(&self) -> Result<(), StoreError> {
        let batch = (self.state.store.newest)(self.topic).await?;
        if self.topic == StoreTopic::Endpoints {
            let listed: Vec<&str> = batch.records.iter().map(|record| &*record.key).collect();
            let changes = self.state.directory().keep_listed(clock::now(), &listed, batch.end);
            self.state.apply_changes(changes);
        }
        self.take(&batch, true);
        Ok(())
    }

    fn take(&self, batch: &RecordBatch, whole: bool) {
        if self.topic == StoreTopic::Endpoints {
            self.state.directory().note_contact(clock::now());
        }
        for record in &batch.records {
            self.state.take_record(self.topic, record, "store");
        }
        // A read that was cut at its size ends before the topic does.
        let behind = batch.records.iter().map(|record| record.offset + 1).max();
        let next = if whole { Some(batch.end) } else { behind };
        if let Some(next) = next.filter(|_| self.topic == StoreTopic::Endpoints) {
            self.state.view().advance_endpoints(next);
        }
    }

    fn note_answer(&mut self, asked: TimePoint) {
        if self.lost {
            log::info!(target: part::FOLLOW, topic = topic_name(self.topic); "store is back");
        }
        self.lost = false;
        // A read that waited was current until it was answered.
        let at = if self.wait.is_zero() { asked } else { clock::now() };
        self.state.view().note_current(self.topic, at);
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.lost {
            log::warn!(
                target: part::FOLLOW, topic = topic_name(self.topic), error = error.to_string();
                "store lost"
            );
        }
        self.lost = true;
    }
}

fn topic_name(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Config => "config",
        StoreTopic::Endpoints => "endpoints",
        StoreTopic::Shares => "shares",
        StoreTopic::Duty => "duty",
    }
}

/// Reads the configuration until `stop` is cancelled.
pub(crate) async fn follow_config(state: Arc<GatewayState>, stop: CancellationToken) {
    let topic = StoreTopic::Config;
    let reader =
        TopicReader { state, topic, wait: CONFIG_WAIT, period: Duration::ZERO, lost: false };
    reader.run(stop).await;
}

/// Reads the endpoints until `stop` is cancelled.
pub(crate) async fn follow_endpoints(state: Arc<GatewayState>, stop: CancellationToken) {
    let topic = StoreTopic::Endpoints;
    let reader =
        TopicReader { state, topic, wait: Duration::ZERO, period: ENDPOINTS_PERIOD, lost: false };
    reader.run(stop).await;
}

/// Drops endpoints that did not come back and connections that are too old.
pub(crate) async fn tidy(state: Arc<GatewayState>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let gone = state.directory().expire(clock::now());
        state.apply_changes(gone);
        state.pool.prune();
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(ENDPOINTS_PERIOD) => {}
        }
    }
}

/// Exchanges news with the hub, and as the root hub with others, until `stop` is cancelled.
pub(crate) async fn exchange(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut clients = PeerClients::default();
    let mut sought = TimePoint::ZERO;
    let mut told = None;
    let mut turn = 0;
    while !stop.is_cancelled() {
        let now = clock::now();
        let (hub, exchange_period, stale) = {
            let view = state.view();
            (view.roster.hub(now), view.roster.period(now), view.is_stale(now))
        };
        match hub {
            HubChoice::Peer(address) => {
                let wants_entries = told.is_none_or(|at| now.since(at) >= TELL_PERIOD);
                if ask_hub(&state, &mut clients, address, wants_entries).await && wants_entries {
                    told = Some(now);
                }
            }
            HubChoice::Own => {
                state.note_others_load();
                state.note_clocks();
            }
        }
        let period = if stale { SEEK_PERIOD } else { ANNOUNCE_PERIOD };
        if (hub == HubChoice::Own || stale) && now.since(sought) >= period {
            sought = now;
            turn += 1;
            let other = state.view().roster.other(now, turn);
            if let Some(address) = other {
                greet(&state, &mut clients, address).await;
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(exchange_period) => {}
        }
    }
}

/// Tells the hub of this entry's group and takes its news; returns whether it answered.
async fn ask_hub(
    state: &GatewayState,
    clients: &mut PeerClients,
    address: SocketAddr,
    wants_entries: bool,
) -> bool {
    let asked = clock::now();
    let shares = state.due_shares();
    let report = state.report(shares.clone(), wants_entries);
    let Some(news) = clients.exchange(state, address, report).await else { return false };
    state.take_news(asked, news, true);
    state.note_shared(shares);
    true
}

/// Makes this entry known to another one, and takes what that one knows.
async fn greet(state: &GatewayState, clients: &mut PeerClients, address: SocketAddr) {
    let asked = clock::now();
    if let Some(news) = clients.exchange(state, address, state.greeting(true)).await {
        state.take_news(asked, news, false);
    }
}
