//! The router of an entry.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

use crate::{
    catalog::{EndpointKind, ServiceCatalog},
    ids::{EndpointKey, ModelKey, ProcessId, RequestId},
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    route::{
        CRASH_REPORT_TIME, CacheEvent, EndpointDigest, EndpointOption, PrefixIndex, RouteChoice,
        RouteEvent, RoutePolicy, StragglerDetector,
        candidates::{CandidateSearch, Candidates},
        in_flight::{InFlightRequest, InFlightTable},
        policy::{DEFAULT_POLICY, policy},
        pool::ModelPool,
        view::EndpointView,
    },
    suspect::{CompletedSet, SuspectTable, SuspectVerdict},
    time::TimePoint,
};

/// Minimum delay before the caller of a refused request should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum random addition to [`RETRY_AFTER`], which spreads the retries of refused callers.
const RETRY_SPREAD: Duration = Duration::from_secs(1);

/// Minimum delay before a request that awaits a crash report should be retried.
const CRASH_REPORT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Expected output tokens of a request if no request of its model has completed yet.
const DEFAULT_OUTPUT_TOKENS: f64 = 256.0;

/// Weight of the newest request in the moving mean of output tokens.
const OUTPUT_TOKENS_GAIN: f64 = 0.05;

/// Interval between two sweeps, see [`EntryRouter::sweep`].
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Minimum number of tokens over which a time between tokens is averaged.
const TOKENS_PER_SAMPLE: u32 = 8;

/// Age at which a request without a first token is recorded as slow, unless it was queued.
const SLOW_FIRST_TOKEN_AGE: Duration = Duration::from_secs(5);

/// Chooses endpoints for the requests of one entry.
#[derive(Debug)]
pub struct EntryRouter {
    random: ChaCha8Rng,
    process: Option<ProcessId>,
    domain: Option<Box<str>>,
    policy: Option<&'static RoutePolicy>,
    catalog_version: Option<(u64, usize)>,
    /// Time at which the router first received a catalog. An endpoint that was never usable counts
    /// as unavailable since then.
    first_catalog_at: Option<TimePoint>,
    swept_at: TimePoint,
    pools: SecondaryMap<ModelKey, ModelPool>,
    views: SecondaryMap<EndpointKey, EndpointView>,
    mean_tokens: SecondaryMap<ModelKey, f64>,
    in_flight: InFlightTable,
    prefixes: PrefixIndex,
    stragglers: StragglerDetector,
    suspects: SuspectTable,
    completed: CompletedSet,
}

impl EntryRouter {
    /// Returns a router without known endpoints; `seed` initialises its random generator.
    pub fn new(seed: u64) -> EntryRouter {
        EntryRouter {
            random: ChaCha8Rng::seed_from_u64(seed),
            process: None,
            domain: None,
            policy: policy(DEFAULT_POLICY),
            catalog_version: None,
            first_catalog_at: None,
            swept_at: TimePoint::ZERO,
            pools: SecondaryMap::new(),
            views: SecondaryMap::new(),
            mean_tokens: SecondaryMap::new(),
            in_flight: InFlightTable::default(),
            prefixes: PrefixIndex::new(),
            stragglers: StragglerDetector::new(),
            suspects: SuspectTable::new(),
            completed: CompletedSet::default(),
        }
    }

    /// Sets the process identifier of the entry, by which [`EndpointDigest::seen`] refers to it.
    pub fn with_process(mut self, process: ProcessId) -> EntryRouter {
        self.process = Some(process);
        self
    }

    /// Sets the failure domain of the entry, which decides between equally good endpoints.
    pub fn with_domain(mut self, domain: &str) -> EntryRouter {
        self.domain = Some(domain.into());
        self
    }

    /// Processes one event and updates the state on which decisions are based.
    ///
    /// If the last sweep of the state was at least one second ago, this call also runs a sweep.
    pub fn step(&mut self, now: TimePoint, event: RouteEvent, catalog: &ServiceCatalog) {
        self.refresh(now, catalog);
        match event {
            RouteEvent::Digest(digest) => self.apply_digest(now, &digest, catalog),
            RouteEvent::Sent { request, endpoint, expected_tokens } => {
                self.record_sent(now, request, endpoint, expected_tokens, catalog);
            }
            RouteEvent::FirstToken { request } => self.record_first_token(now, request),
            RouteEvent::Progress { request, tokens } => self.record_progress(now, request, tokens),
            RouteEvent::Cache(event) => self.apply_cache_event(&event, catalog),
            RouteEvent::Ended { request, outcome, tokens } => {
                self.record_ended(now, request, outcome, tokens, catalog);
            }
            RouteEvent::Unreachable { endpoint } => self.view(endpoint).record_unreachable(now),
            RouteEvent::Tick => {}
        }
        if now.since(self.swept_at) >= SWEEP_PERIOD {
            self.sweep(now);
        }
    }

    /// Chooses an endpoint for `request` that is not in `excluded`.
    ///
    /// This call does not change the load of the endpoint; the caller must report
    /// [`RouteEvent::Sent`] after sending the request. A request that is sent with
    /// [`DecisionReason::IsolatedAfterCrash`] must be admitted by the agent's
    /// [`SuspectGate`](crate::suspect::SuspectGate).
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        excluded: &[EndpointKey],
    ) -> RouteChoice {
        self.refresh(now, catalog);
        match self.suspects.verdict(now, request.fingerprint) {
            SuspectVerdict::Clear => self.choose_clear(now, request, catalog, excluded),
            SuspectVerdict::Isolate => self.choose_isolated(now, request, catalog, excluded),
            SuspectVerdict::Refuse => self.refuse(DecisionReason::SuspectedOfCrashes),
        }
    }

    /// Returns the ordinal that is sent to the agent together with `request`, or `None` if the
    /// request is not in flight.
    ///
    /// Agents report the highest ordinal of each entry in [`EndpointDigest::seen`].
    pub fn ordinal(&self, request: RequestId) -> Option<u64> {
        self.in_flight.ordinal(request)
    }

    /// Returns the expected number of output tokens of `request`.
    pub fn expected_tokens(&self, request: &RequestSpec) -> u32 {
        let mean = self.mean_tokens.get(request.model).copied().unwrap_or(DEFAULT_OUTPUT_TOKENS);
        match request.max_tokens {
            0 => mean as u32,
            limit => (mean as u32).min(limit),
        }
    }

    /// Returns the estimated number of requests at `endpoint`, including this entry's requests.
    pub fn load(&self, endpoint: EndpointKey) -> u32 {
        self.views.get(endpoint).map_or(0, |view| view.requests_ahead(u8::MAX))
    }

    /// Reports whether the agent of `endpoint` has stopped sending digests.
    pub fn is_silent(&self, now: TimePoint, endpoint: EndpointKey) -> bool {
        self.views.get(endpoint).is_some_and(|view| view.is_silent(now))
    }

    /// Returns the straggler detector.
    pub fn stragglers(&self) -> &StragglerDetector {
        &self.stragglers
    }

    /// Returns the index of the prefix caches of the endpoints.
    pub fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Returns the suspects to report to other entries, with ages as of `now`.
    pub fn suspect_report(&self, now: TimePoint) -> SuspectTable {
        self.suspects.report(now)
    }

    /// Merges the suspects that another entry reported.
    pub fn merge_suspects(&mut self, now: TimePoint, report: &SuspectTable) {
        self.suspects.advance(now);
        self.suspects.merge(report);
    }

    /// Returns the approximate memory use of the router state in bytes.
    pub fn state_bytes(&self) -> usize {
        let views: usize = self.views.values().map(EndpointView::heap_bytes).sum();
        let pools: usize = self.pools.values().map(ModelPool::heap_bytes).sum();
        let slots = self.views.capacity() * size_of::<EndpointView>();
        let tables = self.in_flight.heap_bytes() + self.prefixes.heap_bytes();
        let measures = self.stragglers.heap_bytes() + self.completed.heap_bytes();
        views + pools + slots + tables + measures
    }

    fn choose_clear(
        &mut self,
        now: TimePoint,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        excluded: &[EndpointKey],
    ) -> RouteChoice {
        // A request that never completed is hashed by its fingerprint, so that every entry sends it
        // to the same pair of endpoints.
        let never_completed = !self.completed.contains(request.fingerprint);
        let ring_key = if never_completed { request.fingerprint } else { self.random.random() };
        let random_number = self.random.random();
        let Some(search) = self.search(now, request, catalog, excluded) else {
            return self.refuse(DecisionReason::NoEndpoint);
        };
        let found = match search.candidates(ring_key, never_completed, random_number) {
            Candidates::Found(found) => found,
            Candidates::AwaitCrashReport => {
                return self.refuse(DecisionReason::AwaitingCrashReport);
            }
            Candidates::Empty => return self.refuse(DecisionReason::NoEndpoint),
        };
        let options: Vec<EndpointOption> =
            found.into_iter().map(|key| self.evaluate(key, request, catalog)).collect();
        let Some(policy) = self.policy else { return self.refuse(DecisionReason::NoEndpoint) };
        let option = options[(policy.pick)(&mut self.random, &options)];
        let holds_longer_prefix =
            options.iter().any(|other| other.cached_blocks < option.cached_blocks);
        let reason = match holds_longer_prefix {
            true => DecisionReason::CachedPrefix { blocks: option.cached_blocks },
            false => {
                DecisionReason::ShortestExpected { expected_ms: option.expected.as_millis() as u64 }
            }
        };
        self.in_flight.record_choice(now, request);
        RouteChoice::Endpoint { endpoint: option.endpoint, reason }
    }

    /// Chooses the only endpoint of the fleet at which a suspect may run.
    fn choose_isolated(
        &mut self,
        now: TimePoint,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        excluded: &[EndpointKey],
    ) -> RouteChoice {
        if self.suspects.has_unconfirmed_crash_within(now, request.fingerprint, CRASH_REPORT_TIME) {
            return self.refuse(DecisionReason::AwaitingCrashReport);
        }
        let crashed: Vec<EndpointKey> = self
            .suspects
            .crashed_endpoints(now, request.fingerprint)
            .filter_map(|name| catalog.endpoint(name))
            .collect();
        let search = self.search(now, request, catalog, excluded);
        let endpoint = search.and_then(|search| search.isolated(request.fingerprint, &crashed));
        let reason = DecisionReason::IsolatedAfterCrash;
        let Some(endpoint) = endpoint else { return self.refuse(reason) };
        self.in_flight.record_choice(now, request);
        RouteChoice::Endpoint { endpoint, reason }
    }

    fn search<'a>(
        &'a self,
        now: TimePoint,
        request: &'a RequestSpec,
        catalog: &'a ServiceCatalog,
        excluded: &'a [EndpointKey],
    ) -> Option<CandidateSearch<'a>> {
        Some(CandidateSearch {
            now,
            first_catalog_at: self.first_catalog_at.unwrap_or(now),
            request,
            catalog,
            excluded,
            pool: self.pools.get(request.model)?,
            views: &self.views,
            stragglers: &self.stragglers,
        })
    }

    fn evaluate(
        &self,
        endpoint: EndpointKey,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
    ) -> EndpointOption {
        let view = &self.views[endpoint];
        let spec = &catalog.endpoints[endpoint];
        let tier = catalog.classes.get(request.class).map_or(0, |class| class.tier);
        let tokens = self.expected_tokens(request);
        let cached_blocks = self.prefixes.held_blocks(endpoint, &request.prefix);
        let cached = f64::from(cached_blocks) / request.prefix.len().max(1) as f64;
        let expected = view.expected_completion(spec, request, tier, tokens, cached);
        EndpointOption {
            endpoint,
            expected: expected.mul_f64(self.stragglers.penalty(endpoint)),
            load: f64::from(view.requests_ahead(u8::MAX)) / f64::from(spec.slots.max(1)),
            cached_blocks,
            same_domain: self.domain.as_ref() == Some(&spec.domain),
        }
    }

    fn refuse(&mut self, reason: DecisionReason) -> RouteChoice {
        let random_number = self.random.random::<f64>();
        let retry_after = match reason {
            DecisionReason::AwaitingCrashReport => {
                CRASH_REPORT_RETRY_AFTER.mul_f64(1.0 + random_number)
            }
            _ => RETRY_AFTER + RETRY_SPREAD.mul_f64(random_number),
        };
        RouteChoice::Refuse { reason, retry_after }
    }

    /// Rebuilds the endpoint pools if the catalog changed.
    fn refresh(&mut self, now: TimePoint, catalog: &ServiceCatalog) {
        let version = Some((catalog.revision(), catalog.endpoints.len()));
        if self.catalog_version == version {
            return;
        }
        self.catalog_version = version;
        self.first_catalog_at.get_or_insert(now);
        self.policy = policy(&catalog.policies.route);
        self.pools.clear();
        let mut members: SecondaryMap<ModelKey, Vec<EndpointKey>> = SecondaryMap::new();
        for endpoint in catalog.live_endpoints() {
            for name in &catalog.endpoints[endpoint].models {
                let Some(model) = catalog.model(name) else { continue };
                if let Some(list) = members.entry(model).map(|entry| entry.or_default()) {
                    list.push(endpoint);
                }
            }
        }
        for (model, list) in members {
            self.pools.insert(model, ModelPool::new(list, catalog));
        }
    }

    fn view(&mut self, endpoint: EndpointKey) -> &mut EndpointView {
        if !self.views.contains_key(endpoint) {
            self.views.insert(endpoint, EndpointView::default());
        }
        &mut self.views[endpoint]
    }

    fn apply_digest(&mut self, now: TimePoint, digest: &EndpointDigest, catalog: &ServiceCatalog) {
        let Some(endpoint) = catalog.endpoint(&digest.endpoint) else { return };
        let process = self.process.clone();
        let outcome = self.view(endpoint).apply_digest(now, digest, process.as_ref(), catalog);
        if !outcome.newer {
            return;
        }
        for crash in &digest.crashes {
            let fingerprints = &crash.fingerprints;
            self.suspects.record_crash(now, &digest.endpoint, crash.crash_id, fingerprints);
            for &fingerprint in fingerprints.iter().filter(|&&key| self.completed.contains(key)) {
                self.suspects.exonerate(now, fingerprint);
            }
        }
        if let Some(crash_id) = outcome.withdrawn {
            self.suspects.withdraw_unconfirmed_crash(now, &digest.endpoint, crash_id);
        }
    }

    fn apply_cache_event(&mut self, event: &CacheEvent, catalog: &ServiceCatalog) {
        if let Some(endpoint) = catalog.endpoint(&event.endpoint) {
            self.prefixes.apply(endpoint, event);
        }
    }

    fn record_sent(
        &mut self,
        now: TimePoint,
        request: RequestId,
        endpoint: EndpointKey,
        tokens: u32,
        catalog: &ServiceCatalog,
    ) {
        let slots = catalog.endpoints[endpoint].slots;
        let view = self.view(endpoint);
        let queued = view.requests_ahead(u8::MAX) >= slots;
        let ordinal = view.record_sent(now, tokens);
        self.in_flight.record_sent(now, request, endpoint, ordinal, tokens, queued);
    }

    fn record_first_token(&mut self, now: TimePoint, request: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(request) else { return };
        in_flight.first_at = Some(now);
        in_flight.sample_start = now;
        let in_flight = *in_flight;
        self.view(in_flight.endpoint).record_answer();
        if let Some(model) = in_flight.model.filter(|_| !in_flight.queued) {
            let span = now.since(in_flight.sent_at);
            self.stragglers.first_token(now, in_flight.endpoint, model, span);
        }
    }

    fn record_progress(&mut self, now: TimePoint, request: RequestId, tokens: u32) {
        let Some(in_flight) = self.in_flight.get_mut(request) else { return };
        in_flight.sample_tokens += tokens;
        if in_flight.sample_tokens < TOKENS_PER_SAMPLE {
            return;
        }
        let span = now.since(in_flight.sample_start) / in_flight.sample_tokens;
        let (endpoint, model) = (in_flight.endpoint, in_flight.model);
        in_flight.sample_start = now;
        in_flight.sample_tokens = 0;
        if let Some(model) = model {
            self.stragglers.between_tokens(now, endpoint, model, span);
        }
    }

    fn record_ended(
        &mut self,
        now: TimePoint,
        request: RequestId,
        outcome: RunOutcome,
        tokens: u32,
        catalog: &ServiceCatalog,
    ) {
        let Some(in_flight) = self.in_flight.remove(request) else { return };
        self.view(in_flight.endpoint).record_ended(in_flight.ordinal, in_flight.expected_tokens);
        match outcome {
            RunOutcome::Completed => self.record_completed(now, in_flight, tokens, catalog),
            RunOutcome::Lost => self.record_lost(now, in_flight, catalog),
            RunOutcome::Cancelled | RunOutcome::NotRun | RunOutcome::Failed => {}
        }
    }

    fn record_completed(
        &mut self,
        now: TimePoint,
        in_flight: InFlightRequest,
        tokens: u32,
        catalog: &ServiceCatalog,
    ) {
        let is_service = catalog.endpoints[in_flight.endpoint].kind == EndpointKind::Service;
        let view = self.view(in_flight.endpoint);
        view.record_answer();
        if is_service {
            view.record_service_time(now.since(in_flight.sent_at));
        }
        if let Some(fingerprint) = in_flight.fingerprint {
            self.completed.insert(fingerprint);
            self.suspects.exonerate(now, fingerprint);
        }
        let Some(model) = in_flight.model else { return };
        let mean = self.mean_tokens.get(model).copied().unwrap_or(f64::from(tokens));
        self.mean_tokens.insert(model, mean + OUTPUT_TOKENS_GAIN * (f64::from(tokens) - mean));
        if let Some(first_at) = in_flight.unsampled_since().filter(|_| tokens >= TOKENS_PER_SAMPLE)
        {
            let span = now.since(first_at) / (tokens - 1);
            self.stragglers.between_tokens(now, in_flight.endpoint, model, span);
        }
    }

    /// Records an unconfirmed crash for a request that was lost after it may have started.
    fn record_lost(
        &mut self,
        now: TimePoint,
        in_flight: InFlightRequest,
        catalog: &ServiceCatalog,
    ) {
        let crash_id = self.view(in_flight.endpoint).record_lost(now);
        let Some(fingerprint) = in_flight.fingerprint else { return };
        if !self.completed.contains(fingerprint) {
            let name = &catalog.endpoints[in_flight.endpoint].name;
            self.suspects.record_unconfirmed_crash(now, name, crash_id, &[fingerprint]);
        }
    }

    /// Drops expired requests in flight, records the age of requests whose first token is overdue,
    /// and ejects stragglers.
    fn sweep(&mut self, now: TimePoint) {
        self.swept_at = now;
        self.in_flight.sweep(now);
        for in_flight in self.in_flight.iter().filter(|in_flight| in_flight.first_at.is_none()) {
            let age = now.since(in_flight.sent_at);
            let overdue = age >= SLOW_FIRST_TOKEN_AGE && !in_flight.queued;
            if let Some(model) = in_flight.model.filter(|_| overdue) {
                self.stragglers.first_token(now, in_flight.endpoint, model, age);
            }
        }
        let pools: Vec<_> =
            self.pools.iter().map(|(model, pool)| (model, pool.members())).collect();
        self.stragglers.eject_stragglers(now, &pools);
    }
}
