//! Keeps the requests that may crash endpoints in the store, so that they are known after a restart
//! of all entries.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    suspect::{ArchivedPart, ArchivedSuspect, LedgerPosition, StoredCrash, StoredHistory},
    time::TimePoint,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    duty::SHARE_PERIOD,
    logs::part,
    shared_view::EraChange,
    state::GatewayState,
    store::{NewRecord, StoreRecord, StoreTopic},
};

/// Maximum time for which an entry that has a configuration waits for the suspects before it serves
/// requests without them.
const MAX_SUSPECTS_DELAY: Duration = Duration::from_secs(2);

/// Time between two writes if no process would miss a crash without them.
const TIDY_PERIOD: Duration = Duration::from_secs(10);

impl GatewayState {
    /// Applies a record of the topic of suspects.
    pub(crate) fn apply_suspect(&self, record: &StoreRecord) {
        if let Some(key) = record.key.strip_prefix(PART_KEY) {
            return self.apply_part(record, key);
        }
        let crashes = match &record.value {
            None => Ok(Vec::new()),
            Some(value) => serde_json::from_slice::<Vec<StoredCrash>>(value),
        };
        let crashes = crashes.ok().filter(|crashes| crashes.iter().all(StoredCrash::is_readable));
        let (Some(crashes), Ok(fingerprint)) = (crashes, u64::from_str_radix(&record.key, 16))
        else {
            self.metrics.note_unreadable("suspects");
            log::warn!(
                target: part::FOLLOW, key = &*record.key, offset = record.offset;
                "crash record unreadable"
            );
            return;
        };
        let suspect = ArchivedSuspect { fingerprint, crashes };
        let mut archive = self.archive();
        archive.take(clock::now(), self.wall_ms(), &mut self.suspects(), suspect);
    }

    /// Applies a record of the prompt part `key`.
    fn apply_part(&self, record: &StoreRecord, key: &str) {
        let history = match &record.value {
            None => Ok(StoredHistory::default()),
            Some(value) => serde_json::from_slice::<StoredHistory>(value),
        };
        let history = history.ok().filter(StoredHistory::is_readable);
        let (Some(history), Ok(part)) = (history, u64::from_str_radix(key, 16)) else {
            self.metrics.note_unreadable("suspects");
            log::warn!(
                target: part::FOLLOW, key = &*record.key, offset = record.offset;
                "crash record unreadable"
            );
            return;
        };
        let archived = ArchivedPart { part, history };
        let mut archive = self.part_archive();
        archive.take(clock::now(), self.wall_ms(), &mut self.part_suspects(), archived);
    }

    /// Stops waiting for the suspects if neither the store nor a peer provides them in time.
    pub(crate) fn give_up_on_suspects(&self) {
        let mut view = self.view();
        let waits_since = view.configured_at.filter(|_| !view.knows_suspects);
        if waits_since.is_some_and(|at| clock::now().since(at) >= MAX_SUSPECTS_DELAY) {
            view.knows_suspects = true;
            log::warn!(
                target: part::FOLLOW,
                "serving without the crash records: neither the store nor a peer provides them"
            );
        }
    }
}

/// Beginning of the keys of prompt parts; those of requests have none.
const PART_KEY: &str = "part-";

/// State of this entry and the store when the store last lacked no suspects.
#[derive(Clone, Copy, Debug, Default)]
struct WrittenState {
    /// Positions in the changes of this entry's requests and prompt parts.
    positions: (LedgerPosition, LedgerPosition),
    /// Era of the store. A store that came back from an older copy may have lost the suspects.
    era: u64,
    /// Time of the last write that included changes which no process would miss.
    tidied_at: TimePoint,
}

/// Writes the suspects to the store as long as this entry reads the store on behalf of others and
/// until `stop` is cancelled; writes them once more after `stop`.
pub(crate) async fn publish_suspects(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut written = WrittenState::default();
    let mut stopping = false;
    while !stopping {
        tokio::select! {
            () = stop.cancelled() => stopping = true,
            () = sleep(SHARE_PERIOD) => {}
        }
        let now = clock::now();
        state.metrics.note_suspects(state.suspects().table().len());
        {
            let part_suspects = state.part_suspects();
            let table = part_suspects.table();
            state.metrics.note_part_suspects(table.len(), table.suspected());
        }
        let positions = (state.suspects().position(), state.part_suspects().position());
        let era = state.view().era;
        let tidies = stopping || now.since(written.tidied_at) >= TIDY_PERIOD;
        let is_due = positions != written.positions || era != written.era || tidies;
        if !is_due || !state.view().serves_others(now) {
            continue;
        }
        if write_pending(&state, now, tidies).await {
            let tidied_at = if tidies { now } else { written.tidied_at };
            written = WrittenState { positions, era, tidied_at };
        }
    }
}

/// Writes the suspects that the store lacks; returns whether it is known to lack none of them.
///
/// Changes that no process would miss are written only if `tidies` is true or if there are others.
async fn write_pending(state: &GatewayState, now: TimePoint, tidies: bool) -> bool {
    let era = state.view().era;
    let pending = {
        let archive = state.archive();
        if !archive.is_read() {
            return false;
        }
        let pending = archive.pending(now, state.wall_ms(), &state.suspects());
        let is_urgent = pending.iter().any(|suspect| archive.is_urgent(suspect));
        if tidies || is_urgent { pending } else { Vec::new() }
    };
    let pending_parts = {
        let archive = state.part_archive();
        archive.pending(now, state.wall_ms(), &state.part_suspects(), tidies)
    };
    if pending.is_empty() && pending_parts.is_empty() {
        return true;
    }
    let records = pending.iter().map(record).chain(pending_parts.iter().map(part_record)).collect();
    let sent = (state.store.append)(StoreTopic::Suspects, records, None).await;
    state.metrics.note_store_call("suspects", sent.is_ok());
    match sent {
        Ok(position) => {
            log::info!(
                target: part::FOLLOW,
                requests = pending.len(), parts = pending_parts.len(), era = position.era, offset = position.offset;
                "crash records written"
            );
            // A store that came back from an older copy meanwhile is compared anew.
            if position.era == era && state.note_era(era, "store") == EraChange::Same {
                state.archive().note_written(&pending);
                state.part_archive().note_written(&pending_parts);
            }
            false
        }
        Err(error) => {
            log::warn!(
                target: part::FOLLOW, requests = pending.len(), parts = pending_parts.len(), error = error.to_string();
                "crash records not written"
            );
            false
        }
    }
}

fn part_record(archived: &ArchivedPart) -> NewRecord {
    let value = if archived.history.crashes.is_empty() {
        Bytes::new()
    } else {
        Bytes::from(serde_json::json!(archived.history).to_string())
    };
    NewRecord { key: format!("{PART_KEY}{:016x}", archived.part).into(), value }
}

fn record(suspect: &ArchivedSuspect) -> NewRecord {
    let value = if suspect.crashes.is_empty() {
        Bytes::new()
    } else {
        Bytes::from(serde_json::json!(suspect.crashes).to_string())
    };
    NewRecord { key: format!("{:016x}", suspect.fingerprint).into(), value }
}
