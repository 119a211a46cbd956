//! Finds the software version at which a stream may go on, and keeps the versions of streams in the
//! store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pimentorock_kernel::{
    hub::{HubChoice, ReadTurn},
    reason::DecisionReason,
    stream_origin::{
        ArchiveRecord, MarkerInput, OriginAnswer, OriginEvidence, OriginMarker, OriginQuestion,
        StreamKey, StreamOrigins, VersionKey, VersionShare,
    },
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    dispatch_failure::DispatchFailure,
    dispatcher::RequestDispatcher,
    fleet_config::RouteKind,
    logs::part,
    shared_view::EraChange,
    state::GatewayState,
    store::{NewRecord, StoreError, StoreRecord, StoreTopic},
    work_guard::WorkGuard,
};

/// Time between two writes to the store.
const WRITE_PERIOD: Duration = Duration::from_millis(200);

/// Time between two looks whether an entry that starts must read the store.
const START_PERIOD: Duration = Duration::from_millis(25);

/// Time between two reads of what other entries wrote; shorter than the age up to which the answers of
/// this entry count as complete.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// Age of the list of endpoints up to which it tells the shares by which streams begin.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// Maximum time for which an entry that has a configuration waits for the marker of stream origins
/// before it serves requests without it.
const MAX_MARKER_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of entries that are asked in turn: the hub, the root hub, and the entry that reads the
/// store in its place.
const MAX_HOPS: u32 = 3;

/// Maximum time for which a take-up waits while the entries asked have not read the store yet, or
/// do not answer.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Time between two questions for the same stream.
const ASK_AGAIN_PERIOD: Duration = Duration::from_millis(50);

impl GatewayState {
    /// Returns the age of this entry's copy of the store.
    fn store_age(&self) -> Duration {
        clock::now().since(self.view().follower.current_at())
    }

    /// Notes the versions that serve, and shares streams if they may not be inferred.
    pub(crate) fn step_origins(&self) {
        let (wall_ms, store_age) = (self.wall_ms(), self.store_age());
        let configured_at = self.view().configured_at;
        let waited = configured_at.map(|at| clock::now().since(at));
        let directory = self.directory();
        let listed = directory.entries().map(|entry| (&*entry.service, &*entry.software));
        let mut origins = self.origins();
        origins.step(wall_ms, store_age, listed);
        if waited.is_some_and(|waited| waited >= MAX_MARKER_DELAY) && !origins.knows_marker() {
            origins.note_marker_known();
            log::warn!(
                target: part::FOLLOW,
                "serving without the marker of stream origins: neither the store nor a peer provides it"
            );
        }
        self.metrics.note_origins(origins.len(), origins.mixed_services().len());
    }

    /// Returns what the next marker says of the fleet; no shares if the list of endpoints may be old.
    fn marker_input(&self, era: u64) -> MarkerInput {
        let mut slots: BTreeMap<Box<str>, BTreeMap<Box<str>, u32>> = BTreeMap::new();
        if self.store_age() <= MAX_LIST_AGE {
            for entry in self.directory().entries().filter(|entry| !entry.leaving) {
                let of_service = slots.entry(entry.service.clone()).or_default();
                *of_service.entry(entry.software.clone()).or_default() += entry.slots;
            }
        }
        let share = |(software, slots)| VersionShare { software, slots };
        let shares = slots
            .into_iter()
            .map(|(service, versions)| (service, versions.into_iter().map(share).collect()));
        MarkerInput { era, shares: shares.collect() }
    }

    /// Applies a record of the topic of streams' versions.
    pub(crate) fn apply_origin(&self, record: &StoreRecord) {
        let value = record.value.as_deref().unwrap_or_default();
        if let Err(error) = self.origins().take_archived(clock::now(), &record.key, value) {
            log::warn!(
                target: part::FOLLOW, key = &*record.key, offset = record.offset,
                error = error.to_string();
                "stream origins unreadable"
            );
        }
    }

    /// Returns the version that began a stream, after asking `hops` further entries at most.
    pub(crate) async fn find_origin(&self, question: &OriginQuestion, hops: u32) -> OriginAnswer {
        let store_age = self.store_age();
        let own = self.origins().find(clock::now(), store_age, question);
        let next = match self.next_to_ask() {
            Some(next) if hops > 0 && !own.is_recorded() => next,
            _ => return own,
        };
        let asked = self.origin_clients.find(next, question.clone(), hops - 1).await;
        if asked.is_none() {
            self.roster().note_failure(clock::now(), next);
        }
        own.or_asked(asked)
    }

    /// Returns the entry that may know more of streams: the hub, or for the root hub the entry that
    /// reads the store in its place.
    fn next_to_ask(&self) -> Option<std::net::SocketAddr> {
        let is_read = self.origins().is_read(clock::now());
        let view = self.view();
        match view.roster.hub(clock::now()) {
            HubChoice::Peer(hub) => Some(hub),
            HubChoice::Own => {
                let reader = view.follower.reader().filter(|_| !is_read);
                reader.filter(|reader| *reader != view.roster.own())
            }
        }
    }
}

impl RequestDispatcher {
    /// Restricts a stream that the caller takes up again to the version that began it.
    ///
    /// # Errors
    ///
    /// Fails if the version is not known, or if the route has no endpoints of it any more.
    pub(crate) async fn find_version(&mut self) -> Result<(), DispatchFailure> {
        let request = Arc::clone(&self.request);
        if request.route.kind != RouteKind::Stream {
            return Ok(());
        }
        let account = request.account.as_deref();
        if request.last_event.is_none() {
            if request.route.resumable {
                let stream = StreamKey::new(account, &request.id);
                let service = &*self.placement.service;
                self.placement.version = self.state.origins().begin_version(service, stream);
            }
            return Ok(());
        }
        let stream = request.resumes.as_deref().map(|attempt| StreamKey::new(account, attempt));
        let services = request.route.services.iter().map(|(service, _)| service.clone());
        let patience_ms = request.patience.as_millis() as u64;
        let waits_until_ms = request.states_patience.then(|| self.state.wall_ms() + patience_ms);
        let timeout_ms = request.route.timeout.as_millis() as u64;
        let question =
            OriginQuestion { stream, services: services.collect(), waits_until_ms, timeout_ms };
        let asked_at = clock::now();
        let answer = loop {
            let answer = self.state.find_origin(&question, MAX_HOPS).await;
            let waited = clock::now().since(asked_at);
            if answer.evidence != OriginEvidence::Incomplete || waited >= MAX_WAIT {
                break answer;
            }
            sleep(ASK_AGAIN_PERIOD).await;
        };
        let served = {
            let origins = self.state.origins();
            answer.version.and_then(|version| origins.version(version).cloned())
        };
        let software = served.as_ref().map_or("", |served| &served.software);
        log::info!(
            target: part::REQUEST,
            request = &*request.id, stream = request.logged_stream(), version = software,
            evidence = answer.evidence.label(), age_ms = answer.age.as_millis() as u64,
            asked_ms = clock::now().since(asked_at).as_millis() as u64,
            last_event = request.last_event.as_deref().unwrap_or_default();
            "stream origin"
        );
        self.state.metrics.note_take_up(answer.evidence.label());
        let Some(version) = answer.version else {
            return Err(self.version_failure(&DecisionReason::VersionUnknown));
        };
        let service = served.map(|served| served.service);
        let Some(service) = service.filter(|service| question.services.contains(service)) else {
            return Err(self.version_failure(&DecisionReason::VersionGone));
        };
        self.placement.service = service;
        self.continue_at(version);
        Ok(())
    }

    /// Restricts the request to the version that began its stream.
    fn continue_at(&mut self, version: VersionKey) {
        let placement = std::mem::take(&mut self.placement);
        self.placement = placement.with_continuation(Some(version));
    }

    /// Restricts the request to the version of the endpoint of `work`, whose events the caller has.
    pub(crate) fn continue_after(&mut self, work: &WorkGuard) {
        self.continue_at(VersionKey::new(&self.placement.service, &work.instance.software));
    }

    /// Notes that the caller gets its first event from the endpoint of `work`.
    pub(crate) fn note_first_event(&self, work: &WorkGuard) {
        let request = &self.request;
        if !request.route.resumable {
            return;
        }
        let account = request.account.as_deref();
        let until_ms =
            self.state.wall_ms() + StreamOrigins::waiting_time(request.patience).as_millis() as u64;
        let is_split = request.route.services.len() > 1;
        if request.last_event.is_none() && request.states_patience {
            let (service, software) = (&self.placement.service, &work.instance.software);
            self.state.origins().note_patience(service, software, request.patience);
        }
        // A caller may also name the attempt with which it took the stream up before.
        let begun = request.resumes.as_deref().filter(|_| request.last_event.is_some());
        for attempt in [Some(&*request.id), begun].into_iter().flatten() {
            self.state.origins().begin(
                clock::now(),
                StreamKey::new(account, attempt),
                &self.placement.service,
                &work.instance.software,
                until_ms,
                is_split,
            );
        }
    }

    /// Returns the failure for a stream that cannot go on at the version that began it.
    pub(crate) fn version_failure(&self, reason: &DecisionReason) -> DispatchFailure {
        let code = match reason {
            DecisionReason::VersionGone => "stream_version_gone",
            _ => "stream_version_unknown",
        };
        self.failure(reason.to_string().into()).with_code(code)
    }
}

/// Reads and writes the versions that began streams at the store, on behalf of all entries.
struct OriginPublisher {
    state: Arc<GatewayState>,
    /// Era of the store, and offset of the next record to read in it; `None` if all are to be read.
    next: Option<(u64, u64)>,
}

/// Writes the versions that began streams to the store, and reads what other entries wrote, as long
/// as this entry reads the store on behalf of others and until `stop` is cancelled; writes once more
/// after `stop`.
pub(crate) async fn publish_origins(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut publisher = OriginPublisher { state: Arc::clone(&state), next: None };
    let mut turn = ReadTurn::new();
    // An entry that starts serves callers once it has read the marker.
    let mut pause = Duration::ZERO;
    let mut stopping = false;
    while !stopping {
        tokio::select! {
            () = stop.cancelled() => stopping = true,
            () = sleep(pause) => {}
        }
        pause = if state.origins().knows_marker() { WRITE_PERIOD } else { START_PERIOD };
        let now = clock::now();
        let role = state.view().role(now);
        if !state.view().serves_others(now) {
            publisher.retire();
            continue;
        }
        if let Err(error) = publisher.step().await {
            log::warn!(
                target: part::FOLLOW, error = error.to_string();
                "stream origins not exchanged with the store"
            );
            let entries = state.live_entries();
            pause = turn.note_failure(now, role, entries, clock::random_fraction());
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
    async fn step(&mut self) -> Result<(), StoreError> {
        let (now, read_at) = (clock::now(), self.state.origins().read_at());
        if read_at.is_none_or(|at| now.since(at) >= READ_PERIOD) {
            self.read().await?;
        }
        self.write().await
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let sent_at = clock::now();
        let era = self.state.view().era;
        let read = match self.next.filter(|(known, _)| *known == era) {
            Some((_, next)) => {
                let read = (self.state.store.read)(StoreTopic::Origins, next, Duration::ZERO).await;
                match read {
                    Err(StoreError::Trimmed) => {
                        (self.state.store.newest)(StoreTopic::Origins).await
                    }
                    read => read,
                }
            }
            None => (self.state.store.newest)(StoreTopic::Origins).await,
        };
        self.state.metrics.note_store_call("origins", read.is_ok());
        let batch = read?;
        match self.state.note_era(batch.era, "store") {
            EraChange::Same => {}
            // The offset was one of the era before; the next step reads everything.
            EraChange::Entered if self.next.is_some() => return Ok(()),
            EraChange::Entered => {}
            EraChange::Outdated => return Err(StoreError::Outdated),
        }
        batch.records.iter().for_each(|record| self.state.apply_origin(record));
        let is_first = self.next.is_none();
        // A read that reached its size limit ends before the end of the topic.
        let last = batch.records.iter().map(|record| record.offset + 1).max();
        let next = if is_first { batch.end } else { last.unwrap_or(batch.end) };
        self.next = Some((batch.era, next));
        if next >= batch.end {
            self.state.origins().note_read(sent_at);
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
        let records = records.into_iter().map(new_record).collect();
        let sent = (state.store.append)(StoreTopic::Origins, records, None).await;
        state.metrics.note_store_call("origins", sent.is_ok());
        let position = sent?;
        // A store that came back from an older copy meanwhile is written anew.
        if state.note_era(position.era, "store") == EraChange::Same && position.era == era {
            let written = state.origins().note_written();
            written.iter().for_each(note_shares);
        }
        Ok(())
    }
}

/// Logs by which shares streams begin, and since when no stream may have begun by others.
fn note_shares(marker: &OriginMarker) {
    for service in marker.services() {
        let spans: Vec<_> = marker.spans.iter().filter(|span| span.service == service).collect();
        let open = spans.iter().filter(|span| span.until_ms.is_none()).count();
        let shares = spans.last().map(|span| span.shares.as_slice()).unwrap_or_default();
        let shares = shares.iter().map(|share| format!("{}:{}", share.software, share.slots));
        log::info!(
            target: part::FOLLOW,
            service = &*service, spans = spans.len(), open = open, entries = marker.entries.len(),
            era = marker.era, shares = shares.collect::<Vec<_>>().join(",");
            "stream shares written"
        );
    }
}
