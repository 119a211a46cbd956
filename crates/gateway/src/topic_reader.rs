//! Reads a topic of the store.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::{hub::ReadTurn, log_position::LogPosition, time::TimePoint};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    shared_view::EraChange,
    state::GatewayState,
    store::{RecordBatch, StoreError, StoreTopic},
};

/// Times between the reads of a topic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadPace {
    /// Maximum time that one read waits for new records.
    pub(crate) wait: Duration,
    /// Pause between reads.
    pub(crate) period: Duration,
    /// Pause between reads as long as the topic is empty.
    pub(crate) empty_period: Duration,
    /// Pause between checks whether this entry must read the topic.
    pub(crate) check_period: Duration,
}

/// Reads one topic of the store while this entry must read the store itself.
pub(crate) struct TopicReader {
    state: Arc<GatewayState>,
    topic: StoreTopic,
    pace: ReadPace,
    turn: ReadTurn,
    /// Whether the last read failed.
    failing: bool,
}

impl TopicReader {
    /// Returns a reader that has read nothing.
    pub(crate) fn new(state: Arc<GatewayState>, topic: StoreTopic, pace: ReadPace) -> TopicReader {
        TopicReader { state, topic, pace, turn: ReadTurn::new(), failing: false }
    }

    /// Reads the topic until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let pause = self.step().await;
            let is_listed = self.topic == StoreTopic::Endpoints;
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.state.origin_calls.list_wanted(), if is_listed => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Reads the topic if it is this entry's turn, and returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let role = self.state.view().role(clock::now());
        let entries = self.state.live_entries();
        if !self.turn.is_due(clock::now(), role, entries, clock::random_fraction()) {
            return self.pace.check_period;
        }
        match self.advance().await {
            Ok(()) if self.is_empty() => self.pace.empty_period,
            Ok(()) => self.pace.period,
            Err(_) => {
                let random = clock::random_fraction();
                self.turn.note_failure(clock::now(), role, entries, random)
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.state.view().next_offset(self.topic).is_none_or(|next| next == 0)
    }

    /// Reads the records that were added since the last read, or the newest records if there was
    /// none.
    async fn advance(&mut self) -> Result<(), StoreError> {
        let sent_at = clock::now();
        let next = self.state.view().next_offset(self.topic);
        let outcome = match next {
            Some(next) => self.read_from(next).await,
            None => self.read_newest().await,
        };
        self.state.metrics.note_store_call(topic_name(self.topic), outcome.is_ok());
        match &outcome {
            Ok(()) => self.note_answer(sent_at),
            Err(error) => self.note_failure(error),
        }
        outcome
    }

    async fn read_from(&self, next: u64) -> Result<(), StoreError> {
        let batch = match (self.state.store.read)(self.topic, next, self.pace.wait).await {
            Ok(batch) => batch,
            Err(StoreError::Trimmed) => return self.read_newest().await,
            Err(error) => return Err(error),
        };
        match self.state.note_era(batch.era, "store") {
            EraChange::Same => {
                self.apply_batch(&batch, false);
                Ok(())
            }
            // The offset was one of the era before.
            EraChange::Entered => self.read_newest().await,
            EraChange::Outdated => Err(StoreError::Outdated),
        }
    }

    async fn read_newest(&self) -> Result<(), StoreError> {
        let batch = (self.state.store.newest)(self.topic).await?;
        if self.state.note_era(batch.era, "store") == EraChange::Outdated {
            return Err(StoreError::Outdated);
        }
        if self.topic == StoreTopic::Endpoints {
            let listed: Vec<&str> = batch.records.iter().map(|record| &*record.key).collect();
            let end = LogPosition { era: batch.era, offset: batch.end };
            let changes = self.state.directory().keep_listed(clock::now(), &listed, end);
            self.state.apply_changes(changes);
        }
        self.apply_batch(&batch, true);
        Ok(())
    }

    fn apply_batch(&self, batch: &RecordBatch, is_complete: bool) {
        if self.topic == StoreTopic::Endpoints {
            self.state.directory().note_contact(clock::now());
        }
        for record in &batch.records {
            self.state.apply_record(self.topic, batch.era, record, "store");
        }
        // A read that reached its size limit ends before the end of the topic.
        let batch_end = batch.records.iter().map(|record| record.offset + 1).max();
        let next = if is_complete { Some(batch.end) } else { batch_end };
        if let Some(next) = next {
            self.state.view().advance(self.topic, next);
        }
        if self.topic == StoreTopic::Suspects && is_complete {
            self.state.archive().note_read();
            self.state.view().knows_suspects = true;
        }
    }

    fn note_answer(&mut self, sent_at: TimePoint) {
        if self.failing {
            log::info!(target: part::FOLLOW, topic = topic_name(self.topic); "store is back");
        }
        self.failing = false;
        // A read with a wait is answered once there is a new record or the wait ends, so the data was
        // current when the answer arrived. `read_newest`, which replaces the first read and a read of
        // trimmed records, does not wait, but its answer is given the same time.
        let at = if self.pace.wait.is_zero() { sent_at } else { clock::now() };
        self.state.view().note_read(clock::now(), self.topic, at);
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.failing {
            log::warn!(
                target: part::FOLLOW, topic = topic_name(self.topic), error = error.to_string();
                "store lost"
            );
        }
        self.failing = true;
        if self.topic != StoreTopic::Suspects {
            self.state.view().follower.note_failed_read();
        }
    }
}

/// Returns the name of a topic in logs and metrics.
pub(crate) fn topic_name(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Config => "config",
        StoreTopic::Endpoints => "endpoints",
        StoreTopic::Shares => "shares",
        StoreTopic::Duty => "duty",
        StoreTopic::Suspects => "suspects",
        StoreTopic::Origins => "origins",
    }
}
