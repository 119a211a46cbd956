//! Follows the configuration and the endpoints in the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pimentorock_kernel::time::TimePoint;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    peer,
    state::GatewayState,
    store::{RecordBatch, StoreError, StoreTopic},
};

/// Longest wait of one read for a new configuration. A connection that went silent is noticed
/// that much later.
const CONFIG_WAIT: Duration = Duration::from_millis(1_200);

/// Time between reads of the endpoints; a heartbeat of theirs is about as long.
const ENDPOINTS_PERIOD: Duration = Duration::from_millis(400);

/// Time between tries while the store does not answer.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Time without an answer of the store after which peers are asked.
const PEER_AFTER: Duration = Duration::from_millis(900);

/// Time between questions to peers.
const PEER_PERIOD: Duration = Duration::from_millis(600);

/// Where the reading of one topic stands.
#[derive(Debug)]
struct TopicCursor {
    topic: StoreTopic,
    /// Offset of the next record; `None` before the first read.
    next: Option<u64>,
    answered: TimePoint,
    lost: bool,
}

impl TopicCursor {
    fn new(topic: StoreTopic) -> TopicCursor {
        TopicCursor { topic, next: None, answered: clock::now(), lost: false }
    }

    /// Reads what is new.
    async fn advance(&mut self, state: &GatewayState, wait: Duration) -> Result<(), StoreError> {
        let outcome = match self.next {
            Some(next) => self.read_on(state, next, wait).await,
            None => self.read_anew(state).await,
        };
        state.metrics.note_store_call(topic_name(self.topic), outcome.is_ok());
        match &outcome {
            Ok(()) => self.note_answer(state),
            Err(error) => self.note_failure(error),
        }
        outcome
    }

    async fn read_on(
        &mut self,
        state: &GatewayState,
        next: u64,
        wait: Duration,
    ) -> Result<(), StoreError> {
        match (state.store.read)(self.topic, next, wait).await {
            Ok(batch) => {
                self.take(state, batch);
                Ok(())
            }
            Err(StoreError::Trimmed) => self.read_anew(state).await,
            Err(error) => Err(error),
        }
    }

    async fn read_anew(&mut self, state: &GatewayState) -> Result<(), StoreError> {
        let batch = (state.store.newest)(self.topic).await?;
        if self.topic == StoreTopic::Endpoints {
            let listed: Vec<&str> = batch.records.iter().map(|record| &*record.key).collect();
            let changes = state.book().keep_listed(clock::now(), &listed, batch.end);
            state.apply_changes(changes);
        }
        self.take(state, batch);
        Ok(())
    }

    fn take(&mut self, state: &GatewayState, batch: RecordBatch) {
        if self.topic == StoreTopic::Endpoints {
            state.book().note_contact(clock::now());
        }
        for record in &batch.records {
            state.take_record(self.topic, record, "store");
        }
        let behind = batch.records.iter().map(|record| record.offset + 1).max();
        let known = self.next.unwrap_or(0);
        // A read that was cut at its size ends before the topic does.
        let next = behind.unwrap_or(known).max(known);
        self.next = Some(if self.next.is_none() { batch.end.max(next) } else { next });
    }

    fn note_answer(&mut self, _state: &GatewayState) {
        if self.lost {
            log::info!(target: part::FOLLOW, topic = topic_name(self.topic); "store is back");
        }
        self.lost = false;
        self.answered = clock::now();
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.lost {
            log::warn!(
                target: part::FOLLOW,
                topic = topic_name(self.topic), error = error.to_string(),
                silent_ms = clock::now().since(self.answered).as_millis() as u64;
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

/// Follows the configuration until `stop` is cancelled.
pub(crate) async fn follow_config(state: Arc<GatewayState>, stop: CancellationToken) {
    follow(&state, TopicCursor::new(StoreTopic::Config), CONFIG_WAIT, Duration::ZERO, stop).await;
}

/// Follows the endpoints until `stop` is cancelled.
pub(crate) async fn follow_endpoints(state: Arc<GatewayState>, stop: CancellationToken) {
    let cursor = TopicCursor::new(StoreTopic::Endpoints);
    follow(&state, cursor, Duration::ZERO, ENDPOINTS_PERIOD, stop).await;
}

async fn follow(
    state: &GatewayState,
    mut cursor: TopicCursor,
    wait: Duration,
    period: Duration,
    stop: CancellationToken,
) {
    let mut asked = Instant::now();
    let mut turn = 0;
    while !stop.is_cancelled() {
        let pause = match cursor.advance(state, wait).await {
            Ok(()) => period,
            Err(_) => RETRY_PERIOD,
        };
        if cursor.topic == StoreTopic::Endpoints {
            let gone = state.book().expire(clock::now());
            state.apply_changes(gone);
            state.pool.prune();
        }
        let silent = clock::now().since(cursor.answered);
        if silent >= PEER_AFTER && asked.elapsed() >= PEER_PERIOD {
            asked = Instant::now();
            ask_peer(state, turn).await;
            turn += 1;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause) => {}
        }
    }
}

/// Asks one peer after the other what this entry lacks.
async fn ask_peer(state: &GatewayState, turn: usize) {
    let peers: Vec<SocketAddr> = state.peers();
    if peers.is_empty() {
        return;
    }
    if let Some(news) = peer::ask(state, peers[turn % peers.len()]).await {
        peer::take(state, news);
    }
}
