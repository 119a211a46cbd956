//! Reads and writes the versions that began streams at the store, on behalf of all entries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pimentorock_kernel::{
    hub::{HubChoice, ReadRole, ReadTurn},
    stream_origin::{ArchiveRecord, MarkerInput, OriginMarker},
    time::TimePoint,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    shared_view::EraChange,
    state::GatewayState,
    store::{LogRead, MAX_READ_BYTES, NewRecord, RecordBatch, StoreError, StoreRecord, StoreTopic},
};

/// Time between two writes to the store.
const WRITE_PERIOD: Duration = Duration::from_millis(200);

/// Time between two looks whether an entry that starts must read the store.
const START_PERIOD: Duration = Duration::from_millis(25);

/// Minimum time between two calls to the store that do not wait for their turn, and for which records are
/// collected before they go up to the hub.
const URGENT_PERIOD: Duration = Duration::from_millis(20);

/// Time between two reads of what other entries wrote, if no question asks for one.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// Age of the list of endpoints up to which it tells the shares by which streams begin.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

impl GatewayState {
    /// Returns what the next marker says of the fleet; no shares if the list of endpoints may be old.
    fn marker_input(&self, era: u64) -> MarkerInput {
        let is_current = self.store_age() <= MAX_LIST_AGE;
        let shares = if is_current { self.shares() } else { BTreeMap::new() };
        MarkerInput { era, shares }
    }

    /// Applies a record of the topic of streams' versions.
    pub(crate) fn apply_origin(&self, record: &StoreRecord) {
        let value = record.value.as_deref().unwrap_or_default();
        if let Err(error) = self.origins().take_archived(clock::now(), &record.key, value) {
            self.metrics.note_unreadable("origins");
            log::warn!(
                target: part::FOLLOW, key = &*record.key, offset = record.offset,
                error = error.to_string();
                "stream origins unreadable"
            );
        }
    }
}

/// Reads and writes the versions that began streams at the store, on behalf of all entries.
struct OriginPublisher {
    state: Arc<GatewayState>,
    /// Era of the store, and offset of the next record to read in it; `None` if all are to be read.
    next: Option<(u64, u64)>,
}

/// Why the publisher of origins takes a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepCause {
    /// The time between two steps is over.
    Period,
    /// A question waits until the store was read.
    Question,
    /// Records or shares should not wait for the next step.
    News,
    /// The entry stops.
    Stop,
}

/// Writes the versions that began streams to the store, and reads what other entries wrote, as long
/// as this entry reads the store on behalf of others and until `stop` is cancelled; writes once more
/// after `stop`.
pub(crate) async fn publish_origins(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut publisher = OriginPublisher { state: Arc::clone(&state), next: None };
    let mut turn = ReadTurn::new();
    // An entry that starts serves callers once it has read the marker.
    let mut pause = Duration::ZERO;
    let mut cause = StepCause::Period;
    while cause != StepCause::Stop {
        cause = tokio::select! {
            () = stop.cancelled() => StepCause::Stop,
            () = state.origin_calls.read_wanted() => StepCause::Question,
            () = state.origin_calls.write_wanted() => StepCause::News,
            () = sleep(pause) => StepCause::Period,
        };
        pause = if state.origins().knows_marker() { WRITE_PERIOD } else { START_PERIOD };
        let now = clock::now();
        let role = state.view().role(now);
        if !state.view().serves_others(now) {
            publisher.retire();
            continue;
        }
        match publisher.step(cause).await {
            Ok(()) if matches!(cause, StepCause::Question | StepCause::News) => {
                sleep(URGENT_PERIOD).await;
            }
            Ok(()) => {}
            Err(error) => {
                state.origins().note_failed_read(clock::now());
                log::warn!(
                    target: part::FOLLOW, error = error.to_string();
                    "stream origins not exchanged with the store"
                );
                let budget = state.roster().budget();
                pause = turn.note_failure(now, role, budget);
                sleep(URGENT_PERIOD).await;
            }
        }
    }
}

/// Passes records that must not wait for the next exchange on to the hub, or to the store, until `stop` is
/// cancelled.
pub(crate) async fn pass_on_origins(state: Arc<GatewayState>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = state.origin_calls.records_wanted() => {}
        }
        let now = clock::now();
        let hub = state.view().roster.hub(now);
        match hub {
            HubChoice::Own => {
                state.origin_calls.take_records();
                state.origin_calls.want_write();
            }
            HubChoice::Peer(hub) => {
                let records = state.origin_calls.take_records();
                // Records that do not arrive go with the next exchange.
                state.peer_pool.note_origins(hub, records).await;
                sleep(URGENT_PERIOD).await;
            }
        }
    }
}

impl OriginPublisher {
    /// Forgets what the store has, because another entry may write from now on.
    fn retire(&mut self) {
        if self.next.take().is_some() {
            self.state.origins().forget_archive();
        }
    }

    /// Reads if that is due, and writes what the store lacks.
    async fn step(&mut self, cause: StepCause) -> Result<(), StoreError> {
        let (now, read_at) = (clock::now(), self.state.origins().read_at());
        let is_due = read_at.is_none_or(|at| now.since(at) >= READ_PERIOD);
        if is_due || cause == StepCause::Question {
            self.read().await?;
        }
        match self.write().await {
            // Another entry has written since.
            Err(StoreError::Conflict) => {
                self.state.metrics.note_marker_conflict();
                self.read().await?;
                self.write().await
            }
            written => written,
        }
    }

    /// Reads what others wrote since the last read, or everything.
    async fn read(&mut self) -> Result<(), StoreError> {
        let era = self.state.view().era;
        let Some((_, next)) = self.next.filter(|(known, _)| *known == era) else {
            return self.read_newest().await;
        };
        let sent_at = clock::now();
        let read = LogRead {
            topic: StoreTopic::Origins,
            from: next,
            wait: Duration::ZERO,
            max_bytes: MAX_READ_BYTES,
        };
        let read = (self.state.store.read)(read).await;
        self.state.metrics.note_store_call("origins", read.is_ok());
        match read {
            Err(StoreError::Trimmed) => self.read_newest().await,
            // The offset was one of the era before.
            Ok(batch) if batch.era != era => self.read_newest().await,
            read => self.apply(read?, sent_at, false),
        }
    }

    async fn read_newest(&mut self) -> Result<(), StoreError> {
        let sent_at = clock::now();
        let read = (self.state.store.newest)(StoreTopic::Origins).await;
        self.state.metrics.note_store_call("origins", read.is_ok());
        self.apply(read?, sent_at, true)
    }

    /// Applies the answer to a read that was sent at `sent_at`; `is_list` tells whether it has the newest
    /// record of each key.
    fn apply(
        &mut self,
        batch: RecordBatch,
        sent_at: TimePoint,
        is_list: bool,
    ) -> Result<(), StoreError> {
        if self.state.note_era(batch.era, "store") == EraChange::Outdated {
            return Err(StoreError::Outdated);
        }
        for record in &batch.records {
            self.state.apply_record(StoreTopic::Origins, record, "store");
        }
        let is_first = self.next.is_none();
        // A read that reached its size limit ends before the end of the topic.
        let last = batch.records.iter().map(|record| record.offset + 1).max();
        let next = if is_list { batch.end } else { last.unwrap_or(batch.end) };
        self.next = Some((batch.era, next));
        if next >= batch.end {
            self.state.origins().note_read(sent_at);
            self.state.origin_calls.note_read(sent_at);
        }
        if is_first {
            log::info!(
                target: part::FOLLOW,
                records = batch.records.len(), streams = self.state.origins().len(),
                era = batch.era;
                "stream origins read"
            );
        }
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let state = &self.state;
        let era = state.view().era;
        let input = state.marker_input(era);
        let writer = state.process.to_string();
        let records = state.origins().pending(clock::now(), state.wall_ms(), &writer, &input);
        if records.is_empty() {
            return Ok(());
        }
        let new_record =
            |record: ArchiveRecord| NewRecord { key: record.key, value: record.value.into() };
        // A marker counts only if its writer knows all that others wrote.
        let has_marker = records.iter().any(ArchiveRecord::is_marker);
        let read = self.next.filter(|(known, _)| *known == era).map(|(_, next)| next);
        if has_marker && read.is_none() {
            return Err(StoreError::Conflict);
        }
        let expected = read.filter(|_| has_marker);
        let count = records.len() as u64;
        let records = records.into_iter().map(new_record).collect();
        let sent = (state.store.append)(StoreTopic::Origins, records, expected).await;
        state.metrics.note_store_call("origins", sent.is_ok());
        let position = sent?;
        // A store that came back from an older copy meanwhile is written anew.
        if state.note_era(position.era, "store") == EraChange::Same && position.era == era {
            if self.next == Some((era, position.offset)) {
                self.next = Some((era, position.offset + count));
            }
            let (written, fits) = {
                let mut origins = state.origins();
                (origins.note_written(), origins.fits())
            };
            let role = state.view().role(clock::now());
            written.iter().for_each(|marker| note_shares(marker, role));
            if !fits || written.is_some_and(|marker| marker.is_unsettled()) {
                state.origin_calls.want_write();
            }
        }
        Ok(())
    }
}

/// Logs by which shares streams begin, and since when no stream may have begun by others.
fn note_shares(marker: &OriginMarker, role: ReadRole) {
    for service in marker.services() {
        let spans: Vec<_> = marker.spans.iter().filter(|span| span.service == service).collect();
        let open: Vec<_> = spans.iter().filter(|span| span.until_ms.is_none()).collect();
        let announced = open.iter().filter(|span| span.is_announced).count();
        let lacking = spans.iter().filter(|span| span.lacks_records).count();
        let unknown = marker.unknown_services().contains(&service);
        let shares = open.last().map(|span| span.shares.as_slice()).unwrap_or_default();
        let shares = shares.iter().map(|share| format!("{}:{}", share.software, share.slots));
        log::info!(
            target: part::FOLLOW,
            service = &*service, role = role.name(), spans = spans.len(), open = open.len(), announced = announced,
            unknown = unknown, lacking_records = lacking, lost_ms = marker.lost_ms, entries = marker.entries.len(), era = marker.era, shares = shares.collect::<Vec<_>>().join(",");
            "stream shares written"
        );
    }
}
