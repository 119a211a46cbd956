//! Reads a topic of the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    hub::{AgeBudget, ReadRole, ReadTurn},
    log_position::LogPosition,
    time::TimePoint,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    shared_view::{EraChange, age_ms, reader_name},
    state::GatewayState,
    store::{LogRead, MAX_READ_BYTES, RecordBatch, StoreError, StoreRecord, StoreTopic},
};

/// Time between checks whether this entry must read the suspects.
const SUSPECTS_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Size in bytes of unread configurations from which on only the newest one is read.
const MAX_BACKLOG_BYTES: usize = 64 << 10;

/// Place of an entry's attempt within its part of the order of attempts.
const PLACE_CENTRE: f64 = 0.5;

/// Times between the reads of a topic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadPace {
    /// Maximum time that one read waits for new records.
    pub(crate) wait: Duration,
    /// Pause between reads.
    pub(crate) period: Duration,
    /// Pause between reads as long as the topic is empty.
    pub(crate) empty_period: Duration,
}

/// How far a read got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadExtent {
    /// No record was new.
    Nothing,
    /// All new records were read.
    Whole,
    /// Records are left, as the answer reached its size limit.
    Cut,
}

/// Reads one topic of the store while this entry must read the store itself.
pub(crate) struct TopicReader {
    state: Arc<GatewayState>,
    topic: StoreTopic,
    pace: ReadPace,
    turn: ReadTurn,
    /// Why the topic was read or not at the last step.
    role: Option<ReadRole>,
    /// Time at which the last read was sent.
    sent_at: TimePoint,
    /// Whether the last read failed.
    failing: bool,
    /// Whether the last read returned records, so that the next one does not wait: only its answer shows
    /// that the copy is current.
    continues: bool,
    /// Whether the newest configuration is to be read in place of those that follow the last one.
    skips_backlog: bool,
}

impl TopicReader {
    /// Returns a reader that has read nothing.
    pub(crate) fn new(state: Arc<GatewayState>, topic: StoreTopic, pace: ReadPace) -> TopicReader {
        let turn = match topic {
            StoreTopic::Endpoints => ReadTurn::new().with_second_place(),
            _ => ReadTurn::new(),
        };
        TopicReader {
            state,
            topic,
            pace,
            turn,
            role: None,
            sent_at: TimePoint::ZERO,
            failing: false,
            continues: false,
            skips_backlog: false,
        }
    }

    /// Reads the topic until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let pause = self.step().await;
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(pause) => {}
            }
        }
    }

    /// Reads the topic if it is this entry's turn, and returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let now = clock::now();
        let (role, old_since, budget, knows_suspects) = {
            let view = self.state.view();
            let budget = view.roster.budget();
            (view.role(now), view.old_since(now), budget, view.knows_suspects)
        };
        self.note_role(now, role);
        let place = match role {
            ReadRole::Substitute => self.state.roster().place(now, PLACE_CENTRE),
            _ => 0.0,
        };
        // Substitutes look for configurations and endpoints; the reader among them reads the suspects.
        let is_spared =
            self.topic == StoreTopic::Suspects && role == ReadRole::Substitute && knows_suspects;
        if is_spared || !self.turn.is_due(now, role, old_since, place, budget) {
            return match self.topic {
                StoreTopic::Suspects => SUSPECTS_CHECK_PERIOD,
                _ => self.turn.until_check(now, old_since),
            };
        }
        match self.advance(role, now >= old_since, budget).await {
            Ok(ReadExtent::Cut) => Duration::ZERO,
            Ok(_) if self.is_empty() => self.pace.empty_period.min(budget.max_list_period()),
            Ok(_) => self.pace.period.min(budget.max_list_period()),
            Err(_) => self.turn.note_failure(now, role, budget),
        }
    }

    fn is_empty(&self) -> bool {
        self.next_position().is_none_or(|next| next.offset == 0)
    }

    /// Reads the records that were added since the last read, or the newest records if there was none.
    ///
    /// An entry whose copy `is_old` does not wait for new records.
    async fn advance(
        &mut self,
        role: ReadRole,
        is_old: bool,
        budget: AgeBudget,
    ) -> Result<ReadExtent, StoreError> {
        let sent_at = clock::now();
        self.sent_at = sent_at;
        let is_followed = self.topic != StoreTopic::Suspects;
        let wait = match role {
            ReadRole::Substitute => Duration::ZERO,
            _ if is_followed && (is_old || self.continues) => Duration::ZERO,
            _ if is_followed => self.pace.wait.min(budget.max_read_wait()),
            _ => self.pace.wait,
        };
        let skips = std::mem::take(&mut self.skips_backlog);
        let reading = async {
            match self.next_position() {
                Some(next) if skips => self.skip_backlog(next).await,
                Some(next) => self.read_from(next, wait).await,
                None => self.read_newest().await,
            }
        };
        let meter = self.state.store.received.topic(self.topic);
        let outcome = meter.until_silent(wait + budget.attempt_time(), reading).await;
        let outcome =
            outcome.unwrap_or_else(|| Err(StoreError::NoResponse("no answer in time".into())));
        self.state.metrics.note_store_call(topic_name(self.topic), outcome.is_ok());
        self.continues = matches!(outcome, Ok(ReadExtent::Whole | ReadExtent::Cut));
        let is_behind = outcome == Ok(ReadExtent::Cut) && self.topic == StoreTopic::Config;
        self.skips_backlog = is_behind && !skips;
        match &outcome {
            Ok(extent) => self.note_answer(sent_at, wait, *extent),
            Err(error) => self.note_failure(error),
        }
        outcome
    }

    /// Returns the position to continue reading from, or `None` if nothing was read in the current era.
    fn next_position(&self) -> Option<LogPosition> {
        let next = match self.topic {
            StoreTopic::Endpoints => self.state.endpoints().position(),
            topic => self.state.view().next_position(topic),
        };
        next.filter(|next| next.era == self.state.view().era)
    }

    async fn read_from(&self, next: LogPosition, wait: Duration) -> Result<ReadExtent, StoreError> {
        let (topic, from) = (self.topic, next.offset);
        let max_bytes = match topic {
            StoreTopic::Config => MAX_BACKLOG_BYTES,
            _ => MAX_READ_BYTES,
        };
        let read = (self.state.store.read)(LogRead { topic, from, wait, max_bytes }).await;
        let batch = match read {
            Ok(batch) => batch,
            Err(StoreError::Trimmed) => return self.read_newest().await,
            Err(error) => return Err(error),
        };
        match self.state.note_era(batch.era, "store") {
            EraChange::Outdated => Err(StoreError::Outdated),
            // The offset was one of an era before, which this read or another one found to be over.
            _ if batch.era != next.era => self.read_newest().await,
            _ => self.apply_batch(batch, Some(from)),
        }
    }

    /// Reads the newest configuration in place of the records from `next` on, which are still to be read if it
    /// does not come into force.
    async fn skip_backlog(&self, next: LogPosition) -> Result<ReadExtent, StoreError> {
        let batch = (self.state.store.newest)(self.topic).await?;
        if self.state.note_era(batch.era, "store") == EraChange::Outdated {
            return Err(StoreError::Outdated);
        }
        let before = self.state.view().config_version();
        self.apply_records(&batch, None);
        if batch.era == next.era && self.state.view().config_version() <= before {
            return Ok(ReadExtent::Cut);
        }
        let end = LogPosition { era: batch.era, offset: batch.end };
        self.state.view().advance(self.topic, end, true);
        self.state.metrics.note_skipped_backlog();
        log::info!(
            target: part::FOLLOW, from = next.offset, end = end.offset;
            "superseded configurations skipped"
        );
        Ok(ReadExtent::Whole)
    }

    async fn read_newest(&self) -> Result<ReadExtent, StoreError> {
        let batch = (self.state.store.newest)(self.topic).await?;
        if self.state.note_era(batch.era, "store") == EraChange::Outdated {
            return Err(StoreError::Outdated);
        }
        self.apply_batch(batch, None)
    }

    /// Applies the records of a read from the offset `from`, or the newest records if it is `None`.
    fn apply_batch(&self, batch: RecordBatch, from: Option<u64>) -> Result<ReadExtent, StoreError> {
        let batch_end = batch.next_offset();
        let extent = match (from, batch_end) {
            (None, _) => ReadExtent::Whole,
            (Some(_), Some(_)) if batch.is_cut() => ReadExtent::Cut,
            (Some(_), Some(_)) => ReadExtent::Whole,
            (Some(_), None) => ReadExtent::Nothing,
        };
        if self.topic == StoreTopic::Endpoints {
            let current_at = self.state.view().endpoints_current_at();
            self.state.endpoints().note_contact(clock::now(), current_at);
            let update = match from {
                Some(from) => batch.into_continuation(from),
                None => batch.into_list(),
            };
            let is_applied = self.state.apply_endpoints(update, "store");
            return if is_applied { Ok(extent) } else { Err(StoreError::Outdated) };
        }
        self.apply_records(&batch, from);
        let next = if from.is_none() { Some(batch.end) } else { batch_end };
        if let Some(offset) = next {
            let next = LogPosition { era: batch.era, offset };
            self.state.view().advance(self.topic, next, from.is_none());
        }
        if self.topic == StoreTopic::Suspects && from.is_none() {
            self.state.archive().note_read();
            self.state.view().knows_suspects = true;
        }
        Ok(extent)
    }

    /// Applies the records of a topic other than that of the endpoints.
    fn apply_records(&self, batch: &RecordBatch, from: Option<u64>) {
        if self.topic == StoreTopic::Config {
            // Before the configuration, with which an entry that starts begins to serve.
            self.state.apply_evacuations(batch, from.is_none());
        }
        let version = self.state.view().config_version();
        for record in &batch.records {
            self.state.apply_record(self.topic, record, "store");
        }
        if self.topic == StoreTopic::Config {
            self.note_configs(batch, from, version);
        }
    }

    /// Notes the answer to a read that was sent at `sent_at` and waited for `wait` at most.
    fn note_answer(&mut self, sent_at: TimePoint, wait: Duration, extent: ReadExtent) {
        if self.failing {
            log::info!(target: part::FOLLOW, topic = topic_name(self.topic); "store is back");
        }
        self.failing = false;
        if extent == ReadExtent::Cut {
            return;
        }
        // A read that returns nothing was answered when its wait ended, however late the answer arrived.
        let waited_until = sent_at + wait;
        let is_over = extent == ReadExtent::Nothing && clock::now() >= waited_until;
        let at = if is_over { waited_until } else { sent_at };
        let before = self.state.view().follower.current_at();
        self.state.view().note_read(clock::now(), self.topic, at);
        self.state.note_renewal(before, "store");
    }

    /// Logs a change of the role by which this entry reads the configuration.
    fn note_role(&mut self, now: TimePoint, role: ReadRole) {
        if self.topic != StoreTopic::Config || self.role.replace(role) == Some(role) {
            return;
        }
        let (current_at, reader) = {
            let view = self.state.view();
            (view.follower.current_at(), view.follower.reader())
        };
        log::info!(
            target: part::FOLLOW,
            role = role.name(), store_age_ms = age_ms(now, current_at),
            reader = reader_name(reader);
            "role at the store changed"
        );
        self.state.metrics.note_role(role.name());
    }

    /// Logs and counts the configurations of a read from the offset `from`, or of the newest records if it is
    /// `None`, before which the entry had the version `before`.
    fn note_configs(&self, batch: &RecordBatch, from: Option<u64>, before: Option<u64>) {
        let is_config = |record: &&StoreRecord| &*record.key == self.state.store.config_key;
        let sizes = batch
            .records
            .iter()
            .filter(is_config)
            .map(|record| record.value.as_ref().map_or(0, Bytes::len));
        let (count, bytes) = sizes.clone().fold((0_u64, 0), |(n, sum), size| (n + 1, sum + size));
        if count == 0 {
            return;
        }
        let version = self.state.view().config_version();
        let used = if version > before { sizes.last().unwrap_or(0) } else { 0 };
        log::info!(
            target: part::FOLLOW,
            from = from.map_or(-1, |from| from as i64), end = batch.end, configurations = count, bytes = bytes,
            unused_bytes = bytes - used, version = version.unwrap_or(0),
            time_ms = age_ms(clock::now(), self.sent_at);
            "configurations read"
        );
        self.state.metrics.note_config_read(used as u64, (bytes - used) as u64);
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.failing {
            log::warn!(
                target: part::FOLLOW, topic = topic_name(self.topic), error = error.to_string();
                "store lost"
            );
        }
        self.failing = true;
        if self.topic == StoreTopic::Endpoints {
            self.state.endpoints().note_failed_read();
        }
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
