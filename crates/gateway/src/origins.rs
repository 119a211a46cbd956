//! Finds the software version at which a stream may go on, and keeps the versions of streams in the
//! store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pimentorock_kernel::{
    hub::{HubChoice, ReadTurn},
    reason::DecisionReason,
    stream_origin::{
        ArchiveRecord, MarkerInput, OriginAnswer, OriginEvidence, OriginMarker, OriginQuestion,
        OriginRecord, StreamKey, StreamOrigins, VersionKey, VersionShare,
    },
    time::TimePoint,
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

/// Minimum time between two calls to the store that do not wait for their turn, and for which records are
/// collected before they go up to the hub.
const URGENT_PERIOD: Duration = Duration::from_millis(20);

/// Maximum time for which a question waits until the store was read; shorter than the time that another
/// entry waits for the answer.
const MAX_READ_WAIT: Duration = Duration::from_millis(150);

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

/// Maximum time for which a take-up waits until an endpoint of its version is listed. An entry that stood
/// still has heard of all endpoints by then.
const MAX_LISTING_WAIT: Duration = Duration::from_millis(700);

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
        let is_current = self.store_age() <= MAX_LIST_AGE;
        let shares = if is_current { self.shares(|_| true) } else { BTreeMap::new() };
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

    /// Returns the version that began a stream, after asking `hops` further entries at most.
    pub(crate) async fn find_origin(&self, question: &OriginQuestion, hops: u32) -> OriginAnswer {
        let asked_at = clock::now();
        let mut own = self.find_own_origin(asked_at, question);
        if own.is_recorded() {
            return own;
        }
        let reads_store = self.view().serves_others(asked_at);
        if reads_store && self.origin_calls.read_since(asked_at, MAX_READ_WAIT).await {
            own = self.find_own_origin(asked_at, question);
            if own.evidence != OriginEvidence::Incomplete {
                return own;
            }
        }
        let next = match self.next_to_ask() {
            Some(next) if hops > 0 => next,
            _ => return own,
        };
        let asked = self.origin_clients.find(next, question.clone(), hops - 1).await;
        if asked.is_none() {
            self.roster().note_failure(clock::now(), next);
        }
        own.or_asked(asked)
    }

    /// Returns what this entry knows of a stream, for a question that came at `asked_at`.
    fn find_own_origin(&self, asked_at: TimePoint, question: &OriginQuestion) -> OriginAnswer {
        let listed_at = self.view().endpoints_current_at();
        self.origins().find(clock::now(), asked_at, listed_at, question)
    }

    /// Returns the entry that may know more of streams: the hub, or for the root hub the entry that
    /// reads the store in its place.
    fn next_to_ask(&self) -> Option<std::net::SocketAddr> {
        let view = self.view();
        match view.roster.hub(clock::now()) {
            HubChoice::Peer(hub) => Some(hub),
            HubChoice::Own => view.follower.reader().filter(|reader| *reader != view.roster.own()),
        }
    }

    /// Applies records that another entry passed on at once, and passes them on as well.
    pub(crate) fn take_urgent_origins(&self, records: Vec<OriginRecord>) {
        self.origins().merge_records(clock::now(), &records);
        self.origin_calls.pass_on(records);
    }

    /// Returns the slots of the listed endpoints of `service` that take new work, by version.
    fn listed_shares(&self, service: &str) -> Vec<VersionShare> {
        self.shares(|listed| listed == service).remove(service).unwrap_or_default()
    }

    /// Returns the slots of the listed endpoints that take new work, by version, of the services that
    /// `is_wanted` selects.
    fn shares(&self, is_wanted: impl Fn(&str) -> bool) -> BTreeMap<Box<str>, Vec<VersionShare>> {
        let mut slots: BTreeMap<Box<str>, BTreeMap<Box<str>, u32>> = BTreeMap::new();
        let directory = self.directory();
        let open = directory.entries().filter(|entry| !entry.leaving);
        for entry in open.filter(|entry| is_wanted(&entry.service)) {
            let of_service = slots.entry(entry.service.clone()).or_default();
            let of_version = of_service.entry(entry.software.clone()).or_default();
            *of_version = of_version.saturating_add(entry.slots);
        }
        let share = |(software, slots)| VersionShare { software, slots };
        let shares = |versions: BTreeMap<_, _>| versions.into_iter().map(share).collect();
        slots.into_iter().map(|(service, versions)| (service, shares(versions))).collect()
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
                self.placement.version = self.begin_version(account);
            }
            return Ok(());
        }
        let stream = request.resumes.as_deref().map(|attempt| StreamKey::new(account, attempt));
        let services = request.route.services.iter().map(|(service, _)| service.clone());
        let question = OriginQuestion { stream, services: services.collect() };
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
        self.await_listing(asked_at, version).await;
        Ok(())
    }

    /// Waits until an endpoint of `version` is listed, as this entry may not have heard of it yet, or until
    /// the list is known to have matched the store after `asked_at`, for [`MAX_LISTING_WAIT`] at most.
    async fn await_listing(&self, asked_at: TimePoint, version: VersionKey) {
        let service = self.placement.service.clone();
        let is_listed = || {
            self.state.directory().entries().any(|entry| {
                *entry.service == *service && VersionKey::new(&service, &entry.software) == version
            })
        };
        while !is_listed()
            && self.state.view().endpoints_current_at() < asked_at
            && clock::now().since(asked_at) < MAX_LISTING_WAIT
        {
            sleep(ASK_AGAIN_PERIOD).await;
        }
    }

    /// Notes that the stream begins, and returns the version at which it must.
    fn begin_version(&self, account: Option<&str>) -> Option<VersionKey> {
        let (state, service) = (&self.state, &*self.placement.service);
        let stream = StreamKey::new(account, &self.request.id);
        // Where several services run the route's requests, only a record tells which one began a stream.
        let listed = state.listed_shares(service);
        let until_ms = self.kept_until_ms();
        let mut origins = state.origins();
        let (version, is_urgent) =
            origins.begin_at(clock::now(), service, stream, until_ms, &listed);
        let record = origins.record(stream).filter(|_| is_urgent);
        drop(origins);
        state.origin_calls.pass_on(record.into_iter().collect());
        version
    }

    /// Returns the wall-clock time in milliseconds until which records of the stream are kept.
    fn kept_until_ms(&self) -> u64 {
        let waiting = StreamOrigins::waiting_time(self.request.patience);
        self.state.wall_ms().saturating_add(waiting.as_millis() as u64)
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
        let until_ms = self.kept_until_ms();
        let is_split = request.route.services.len() > 1;
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
                log::warn!(
                    target: part::FOLLOW, error = error.to_string();
                    "stream origins not exchanged with the store"
                );
                let entries = state.live_entries();
                pause = turn.note_failure(now, role, entries, clock::random_fraction());
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
                state.origin_clients.note(hub, records).await;
                sleep(URGENT_PERIOD / 4).await;
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
        for record in &batch.records {
            self.state.apply_record(StoreTopic::Origins, batch.era, record, "store");
        }
        let is_first = self.next.is_none();
        // A read that reached its size limit ends before the end of the topic.
        let last = batch.records.iter().map(|record| record.offset + 1).max();
        let next = if is_first { batch.end } else { last.unwrap_or(batch.end) };
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
        let expected = self.next.filter(|_| has_marker).map(|(_, next)| next);
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
            let written = state.origins().note_written();
            written.iter().for_each(note_shares);
            if written.is_some_and(|marker| marker.is_unsettled()) {
                state.origin_calls.want_write();
            }
        }
        Ok(())
    }
}

/// Logs by which shares streams begin, and since when no stream may have begun by others.
fn note_shares(marker: &OriginMarker) {
    for service in marker.services() {
        let spans: Vec<_> = marker.spans.iter().filter(|span| span.service == service).collect();
        let open = spans.iter().filter(|span| span.until_ms.is_none()).count();
        let announced = spans.iter().filter(|span| span.is_announced).count();
        let lacking = spans.iter().filter(|span| span.lacks_records).count();
        let shares = spans.last().map(|span| span.shares.as_slice()).unwrap_or_default();
        let shares = shares.iter().map(|share| format!("{}:{}", share.software, share.slots));
        log::info!(
            target: part::FOLLOW,
            service = &*service, spans = spans.len(), open = open, announced = announced,
            lacking_records = lacking, lost_ms = marker.lost_ms, entries = marker.entries.len(), era = marker.era, shares = shares.collect::<Vec<_>>().join(",");
            "stream shares written"
        );
    }
}
