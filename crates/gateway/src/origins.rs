//! Finds the software version at which a stream may begin or go on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pimentorock_kernel::{
    hub::HubChoice,
    place::EndpointEntry,
    reason::DecisionReason,
    stream_origin::{
        OriginAnswer, OriginEvidence, OriginQuestion, OriginRecord, ServedVersion, StreamKey,
        StreamOrigins, VersionKey, VersionShare,
    },
    time::TimePoint,
};
use tokio::time::sleep;

use crate::{
    clock, dispatch_failure::DispatchFailure, dispatcher::RequestDispatcher,
    fleet_config::RouteKind, logs::part, peer_pool::CallFault, state::GatewayState,
    work_guard::WorkGuard,
};

/// Maximum time for which a question waits until the store was read; shorter than the time that another
/// entry waits for the answer.
const MAX_READ_WAIT: Duration = Duration::from_millis(150);

/// Time between two looks whether what a question needs was read.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Maximum time for which an entry that has a configuration waits for the marker of stream origins
/// before it is ready without it. Streams that may be taken up again do not begin without it.
const MAX_MARKER_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of entries that are asked in turn: the hub, the root hub, and the entry that reads the
/// store in its place.
const MAX_HOPS: u32 = 3;

/// Maximum time for which a take-up waits while the entries asked have not read the store yet, or
/// do not answer, and for which a stream waits for the shares by which it begins.
const MAX_WAIT: Duration = Duration::from_millis(600);

/// Maximum time for which a take-up waits until an endpoint of its version is listed. An entry that stood
/// still has heard of all endpoints by then.
const MAX_LISTING_WAIT: Duration = Duration::from_millis(700);

/// Time between two questions for the same stream.
const ASK_AGAIN_PERIOD: Duration = Duration::from_millis(50);

impl GatewayState {
    /// Returns the age of this entry's copy of the store.
    pub(crate) fn store_age(&self) -> Duration {
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
        let is_late = waited.is_some_and(|waited| waited >= MAX_MARKER_DELAY);
        if is_late && !origins.knows_marker() && !origins.is_overdue() {
            origins.note_overdue();
            log::warn!(
                target: part::FOLLOW,
                "serving without the marker of stream origins: neither the store nor a peer provides it"
            );
        }
        self.metrics.note_origins(&origins);
    }

    /// Returns the version that began a stream, after asking `hops` further entries at most.
    pub(crate) async fn find_origin(&self, question: &OriginQuestion, hops: u32) -> OriginAnswer {
        let asked_at = clock::now();
        let mut own = self.find_own_origin(asked_at, question);
        if own.is_recorded() {
            return own;
        }
        let reads_store = self.view().serves_others(asked_at);
        while reads_store && self.origin_calls.read_since(asked_at, MAX_READ_WAIT).await {
            own = self.find_own_origin(asked_at, question);
            if own.evidence != OriginEvidence::Incomplete {
                return own;
            }
            if clock::now().since(asked_at) >= MAX_READ_WAIT {
                break;
            }
            // What another entry wrote since was not read yet, or the store has a marker of an earlier era.
            self.origin_calls.want_read();
            sleep(READ_CHECK_PERIOD).await;
        }
        let next = match self.next_to_ask() {
            Some(next) if hops > 0 => next,
            _ => return own,
        };
        let asked = self.peer_pool.find_origin(next, question.clone(), hops - 1).await;
        // An entry that takes long may wait for the store.
        if asked == Err(CallFault::Lost) {
            self.roster().note_failure(clock::now(), next);
        }
        own.or_asked(asked.ok())
    }

    /// Returns what this entry knows of a stream, for a question that came at `asked_at`.
    fn find_own_origin(&self, asked_at: TimePoint, question: &OriginQuestion) -> OriginAnswer {
        self.origins().find(clock::now(), asked_at, question)
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

    /// Reports whether a listed endpoint that `is_wanted` selects takes new work.
    fn is_open(&self, is_wanted: impl Fn(&EndpointEntry) -> bool) -> bool {
        let evacuated = self.evacuations().domains().clone();
        let takes_work =
            |entry: &EndpointEntry| !entry.leaving && !evacuated.contains(&entry.domain);
        self.directory().entries().any(|entry| is_wanted(entry) && takes_work(entry))
    }

    /// Returns the slots of the listed endpoints that take new work, by service and version.
    pub(crate) fn shares(&self) -> BTreeMap<Box<str>, Vec<VersionShare>> {
        let mut slots: BTreeMap<Box<str>, BTreeMap<Box<str>, u32>> = BTreeMap::new();
        let evacuated = self.evacuations().domains().clone();
        let directory = self.directory();
        let takes_work =
            |entry: &&EndpointEntry| !entry.leaving && !evacuated.contains(&entry.domain);
        for entry in directory.entries().filter(takes_work) {
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
        if request.last_event.is_none() {
            if request.route.resumable {
                self.placement.version = Some(self.begin_version().await?);
            }
            return Ok(());
        }
        let account = request.account.as_deref();
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
        if let (Some(stream), Some(version)) = (stream, answer.version) {
            let until_ms = self.kept_until_ms();
            self.state.origins().renew(clock::now(), stream, version, until_ms);
        }
        let served = match answer.version {
            Some(version) => self.await_listing(asked_at, version).await,
            None => None,
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

    /// Returns the service and the software of `version`. An entry that stood still may not have heard of its
    /// endpoints yet, so this waits until one of them is listed, or until the list is known to have matched
    /// the store after `asked_at`, for [`MAX_LISTING_WAIT`] at most.
    async fn await_listing(
        &self,
        asked_at: TimePoint,
        version: VersionKey,
    ) -> Option<ServedVersion> {
        let is_listed = || {
            self.state
                .directory()
                .entries()
                .any(|entry| VersionKey::new(&entry.service, &entry.software) == version)
        };
        while !is_listed()
            && self.state.view().endpoints_current_at() < asked_at
            && clock::now().since(asked_at) < MAX_LISTING_WAIT
        {
            sleep(ASK_AGAIN_PERIOD).await;
        }
        self.state.origins().version(version).cloned()
    }

    /// Notes that the stream begins, and returns the version at which it must. An entry that has just started
    /// waits for the shares by which streams begin, and one whose version has left for those that are to follow,
    /// for [`MAX_WAIT`] at most.
    ///
    /// # Errors
    ///
    /// Fails if this entry does not know the shares: no entry could tell later which version began the stream.
    async fn begin_version(&self) -> Result<VersionKey, DispatchFailure> {
        let asked_at = clock::now();
        while self.awaits_shares() && clock::now().since(asked_at) < MAX_WAIT {
            sleep(ASK_AGAIN_PERIOD).await;
        }
        self.try_begin().ok_or_else(|| {
            self.state.metrics.note_start_refused();
            self.version_failure(&DecisionReason::SharesUnknown)
        })
    }

    /// Reports whether other shares will let the stream begin: endpoints take new work, but it is not known at
    /// which version the stream begins, or those of this version do not.
    fn awaits_shares(&self) -> bool {
        let service = &*self.placement.service;
        let stream = StreamKey::new(self.request.account.as_deref(), &self.request.id);
        let software = {
            let origins = self.state.origins();
            let version = origins.begin_version(service, stream);
            let served = version.and_then(|version| origins.version(version));
            served.map(|served| served.software.clone())
        };
        let begins = software.is_some_and(|software| {
            self.state.is_open(|entry| *entry.service == *service && entry.software == software)
        });
        !begins && self.state.is_open(|entry| *entry.service == *service)
    }

    /// Notes that the stream begins, and returns the version at which it must; `None` if this entry does not know
    /// the shares by which streams begin.
    fn try_begin(&self) -> Option<VersionKey> {
        let (state, service) = (&self.state, &*self.placement.service);
        let stream = StreamKey::new(self.request.account.as_deref(), &self.request.id);
        let until_ms = self.kept_until_ms();
        let mut origins = state.origins();
        let (version, is_urgent) = origins.begin_at(clock::now(), service, stream, until_ms)?;
        let record = origins.record(stream).filter(|_| is_urgent);
        drop(origins);
        state.origin_calls.pass_on(record.into_iter().collect());
        Some(version)
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
        let attempts = [Some(&*request.id), begun].into_iter().flatten();
        let streams: Vec<_> = attempts.map(|attempt| StreamKey::new(account, attempt)).collect();
        for stream in &streams {
            self.state.origins().begin(
                clock::now(),
                *stream,
                &self.placement.service,
                &work.instance.software,
                until_ms,
                is_split,
            );
        }
        self.confirm_streams(work, streams, until_ms);
    }

    /// Returns the failure for a stream that cannot go on at the version that began it.
    pub(crate) fn version_failure(&self, reason: &DecisionReason) -> DispatchFailure {
        let code = match reason {
            DecisionReason::VersionGone => "stream_version_gone",
            DecisionReason::SharesUnknown => "stream_shares_unknown",
            _ => "stream_version_unknown",
        };
        self.failure(reason.to_string().into()).with_code(code)
    }
}
