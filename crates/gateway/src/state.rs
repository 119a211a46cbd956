//! State that all requests and tasks of an entry share.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, MutexGuard,
        atomic::{AtomicI64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use pimentorock_kernel::{
    duty::{UsageCounter, UsageShare},
    hub::{ClockFilter, HubRoster},
    ids::{EndpointKey, ProcessId},
    place::{EndpointCopy, EndpointNotice, EvacuationOrders, PlacementTable},
    reason::DecisionReason,
    retry::{self, RetryBudget, RetryCase, RetryDecision},
    send_limit::LimitTable,
    stream_origin::StreamOrigins,
    suspect::{PartArchive, PartLedger, SuspectArchive, SuspectLedger, SuspectLimits},
    time::TimePoint,
};

use crate::{
    clock,
    connection_pool::ConnectionPool,
    copy_calls::CopyCalls,
    crash_checks::{CrashChecks, EndpointInstance},
    listing_checks::ListingChecks,
    logs::part,
    message_buffers::MessageBuffers,
    metrics::GatewayMetrics,
    origin_calls::OriginCalls,
    peer_pool::PeerPool,
    planned_stop::PlannedStop,
    route_table::RouteTable,
    run_doubts::RunDoubts,
    settings::GatewaySettings,
    shared_view::SharedView,
    state_lock::StateLock,
    store::{FleetStore, StoreError, StoreRecord, StoreTopic},
    topic_reader::topic_name,
    wire::WireCodec,
};

/// Number of entries that is assumed before other entries were discovered, so that many entries
/// that start together do not exceed the retry allowance.
const INITIAL_ENTRY_COUNT: usize = 16;

/// Time after the start by which an entry has discovered all other entries.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Fraction of the deployment's retry allowance that entries use; the rest is a reserve for entries
/// that do not know of each other yet.
const BUDGET_SHARE: f64 = 0.7;

/// Minimum clock skew that is corrected, in milliseconds. Wall clocks are close to true time, and
/// the delay of an exchange between entries is smaller than this value.
const MIN_CLOCK_SKEW_MS: u64 = 250;

/// Shared state of an entry.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) process: ProcessId,
    pub(crate) codec: WireCodec,
    pub(crate) store: FleetStore,
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) pool: ConnectionPool,
    pub(crate) buffers: Arc<MessageBuffers>,
    pub(crate) metrics: GatewayMetrics,
    clock_filter: StateLock<ClockFilter>,
    /// Milliseconds by which most wall clocks are ahead of this host's wall clock.
    clock_skew: AtomicI64,
    pub(crate) planned_stop: PlannedStop,
    view: StateLock<SharedView>,
    endpoints: StateLock<EndpointCopy<Bytes>>,
    /// Orders to evacuate failure domains.
    pub(crate) evacuations: StateLock<EvacuationOrders>,
    /// Held while what the store or an entry says is compared with what is known and applied, so that it
    /// takes effect in the order in which it was accepted. It is locked before all others.
    applying: StateLock<()>,
    table: StateLock<PlacementTable>,
    budgets: StateLock<HashMap<Box<str>, RetryBudget>>,
    /// Retry ratio and retry slack of the whole deployment, as in [`GatewaySettings`].
    retry_allowance: StateLock<(f64, f64)>,
    /// Requests that may crash the endpoints that run them.
    suspects: StateLock<SuspectLedger>,
    /// The records of `suspects` that the store has.
    archive: StateLock<SuspectArchive>,
    /// Prompt parts that may crash the endpoints that run requests with them.
    part_suspects: StateLock<PartLedger>,
    /// The records of `part_suspects` that the store has.
    part_archive: StateLock<PartArchive>,
    pub(crate) crash_checks: CrashChecks,
    /// Endpoints whose run may have ended.
    pub(crate) run_doubts: RunDoubts,
    /// Software versions that began streams.
    origins: StateLock<StreamOrigins>,
    /// Connections to the entries that are asked for versions of streams.
    pub(crate) peer_pool: PeerPool,
    /// What wakes the tasks that fetch newer copies of the store.
    pub(crate) copy_calls: CopyCalls,
    /// What must not wait for the next exchange of the versions of streams.
    pub(crate) origin_calls: OriginCalls,
    pub(crate) listing_checks: ListingChecks,
    usage_counter: StateLock<UsageCounter>,
    /// Last usage share of this entry, and its time.
    last_share: StateLock<Option<(TimePoint, UsageShare)>>,
    /// When the process started.
    pub(crate) started: TimePoint,
    /// Number of entries that share the retry allowance, including this one.
    live_entries: AtomicUsize,
}

impl GatewayState {
    /// Returns the state of an entry that has no configuration, no endpoints and no peers except
    /// the seeds.
    pub(crate) fn new(settings: GatewaySettings, codec: WireCodec, store: FleetStore) -> Self {
        let process = ProcessId { name: settings.name.clone(), incarnation: clock::wall_ms() };
        let window_ms = settings.usage_window.as_millis() as u64;
        let mut roster =
            HubRoster::new(settings.peers, &settings.domain).with_budget(settings.change_budget);
        for seed in &settings.seeds {
            roster.note_heard(clock::now(), *seed);
        }
        let mut limits = LimitTable::new(process.incarnation);
        limits.set_named_entries(named_entries(&settings));
        GatewayState {
            table: StateLock::new(PlacementTable::new(&settings.domain).with_limits(limits)),
            usage_counter: StateLock::new(UsageCounter::new(process.clone(), window_ms)),
            suspects: StateLock::new(SuspectLedger::new(
                process.incarnation,
                SuspectLimits::ungated(),
            )),
            archive: StateLock::new(SuspectArchive::new()),
            part_suspects: StateLock::new(PartLedger::new(process.incarnation)),
            part_archive: StateLock::new(PartArchive::new()),
            crash_checks: CrashChecks::default(),
            run_doubts: RunDoubts::default(),
            origins: StateLock::new(StreamOrigins::new(&process.name, process.incarnation)),
            peer_pool: PeerPool::default(),
            copy_calls: CopyCalls::default(),
            origin_calls: OriginCalls::new(),
            listing_checks: ListingChecks::new(),
            process,
            codec,
            store,
            routes: ArcSwapOption::empty(),
            pool: ConnectionPool::default(),
            buffers: Arc::new(MessageBuffers::new(settings.memory)),
            metrics: GatewayMetrics::new(),
            clock_filter: StateLock::new(ClockFilter::new()),
            clock_skew: AtomicI64::new(0),
            planned_stop: PlannedStop::default(),
            view: StateLock::new(SharedView::new(roster)),
            endpoints: StateLock::new(EndpointCopy::new()),
            evacuations: StateLock::new(EvacuationOrders::new()),
            applying: StateLock::new(()),
            budgets: StateLock::new(HashMap::new()),
            retry_allowance: StateLock::new((settings.retry_ratio, settings.retry_slack)),
            last_share: StateLock::new(None),
            started: clock::now(),
            live_entries: AtomicUsize::new(INITIAL_ENTRY_COUNT),
            settings,
        }
    }

    /// Locks the table of endpoints and their load.
    pub(crate) fn table(&self) -> MutexGuard<'_, PlacementTable> {
        self.table.lock()
    }

    /// Locks the endpoints that the store lists.
    pub(crate) fn endpoints(&self) -> MutexGuard<'_, EndpointCopy<Bytes>> {
        self.endpoints.lock()
    }

    /// Locks the order in which changes take effect.
    pub(crate) fn applying(&self) -> MutexGuard<'_, ()> {
        self.applying.lock()
    }

    /// Locks the counter of requests that began to run.
    pub(crate) fn usage_counter(&self) -> MutexGuard<'_, UsageCounter> {
        self.usage_counter.lock()
    }

    /// Locks the requests that may crash endpoints.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, SuspectLedger> {
        self.suspects.lock()
    }

    /// Locks the archive of the suspects. A holder of this lock may lock
    /// [`suspects`](GatewayState::suspects) too, but not the other way round.
    pub(crate) fn archive(&self) -> MutexGuard<'_, SuspectArchive> {
        self.archive.lock()
    }

    /// Locks the prompt parts that may crash endpoints.
    pub(crate) fn part_suspects(&self) -> MutexGuard<'_, PartLedger> {
        self.part_suspects.lock()
    }

    /// Locks the archive of the prompt parts. A holder of this lock may lock
    /// [`part_suspects`](GatewayState::part_suspects) too, but not the other way round.
    pub(crate) fn part_archive(&self) -> MutexGuard<'_, PartArchive> {
        self.part_archive.lock()
    }

    /// Locks the software versions that began streams.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock()
    }

    /// Locks the view that is shared with other entries.
    pub(crate) fn view(&self) -> MutexGuard<'_, SharedView> {
        self.view.lock()
    }

    /// Locks the view and returns its roster of other entries.
    pub(crate) fn roster(&self) -> RosterGuard<'_> {
        RosterGuard(self.view())
    }

    /// Locks the last usage share of this entry. A holder of this lock may lock
    /// [`view`](GatewayState::view) too, but not the other way round.
    pub(crate) fn last_share(&self) -> MutexGuard<'_, Option<(TimePoint, UsageShare)>> {
        self.last_share.lock()
    }

    /// Returns the number of entries, including this one.
    pub(crate) fn live_entries(&self) -> usize {
        self.live_entries.load(Ordering::Relaxed)
    }

    /// Returns this host's wall-clock time in milliseconds since the Unix epoch, without short
    /// jumps.
    pub(crate) fn own_wall_ms(&self) -> u64 {
        let mut filter = self.clock_filter.lock();
        filter.observe(clock::now(), clock::wall_ms())
    }

    /// Returns the wall-clock time of most entries in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.own_wall_ms().saturating_add_signed(self.clock_skew.load(Ordering::Relaxed))
    }

    /// Sets the clock skew: the number of milliseconds by which most wall clocks are ahead of this
    /// host's wall clock. A skew below [`MIN_CLOCK_SKEW_MS`] counts as 0, because the delay of a
    /// message can cause it.
    pub(crate) fn set_clock_skew(&self, skew_ms: i64) {
        let skew_ms = if skew_ms.unsigned_abs() < MIN_CLOCK_SKEW_MS { 0 } else { skew_ms };
        let before = self.clock_skew.swap(skew_ms, Ordering::Relaxed);
        if (before == 0) != (skew_ms == 0) {
            log::warn!(target: part::PEER, skew_ms = skew_ms; "wall clock differs from most others");
        }
    }

    /// Copies the load of all other entries to the placement table, and updates the number of
    /// entries once [`DISCOVERY_TIME`] has passed since the start.
    pub(crate) fn note_others_load(&self) {
        let now = clock::now();
        let others = self.view().load_aggregator.others(now);
        self.table().note_others(now, &others.rows);
        if now.since(self.started) >= DISCOVERY_TIME {
            let count = self.view().entry_count.note(now, others.entries.saturating_add(1));
            self.live_entries.store(count as usize, Ordering::Relaxed);
        }
    }

    /// Updates the clock skew from the clocks of the entries that report to this one; called on the
    /// root hub, the entry that reads the store on behalf of all others.
    pub(crate) fn note_clocks(&self) {
        let skew_ms = self.view().clocks.skew_ms(clock::now());
        self.set_clock_skew(skew_ms);
    }

    /// Reports whether this entry knows what the fleet knows of suspects and of streams, or has waited for
    /// the latter long enough.
    pub(crate) fn knows_fleet(&self) -> bool {
        let origins = self.origins();
        let knows_streams = origins.knows_marker() || origins.is_overdue();
        drop(origins);
        self.view().knows_suspects && knows_streams
    }

    /// Reports whether this host should receive new connections: it has a configuration and
    /// endpoints, knows the suspects and the limits of endpoints, and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.routes.load().is_some() && !self.directory().is_empty();
        let knows_others = self.knows_fleet() && self.table().limits().knows();
        known && knows_others && !self.planned_stop.has_begun()
    }

    /// Applies a record of a topic in which records are independent of each other.
    ///
    /// A configuration that cannot be decoded is ignored.
    pub(crate) fn apply_record(&self, topic: StoreTopic, record: &StoreRecord, source: &str) {
        let apply = || self.apply_decoded(topic, record, source);
        self.metrics.shield_record(topic_name(topic), &record.key, apply);
    }

    fn apply_decoded(&self, topic: StoreTopic, record: &StoreRecord, source: &str) {
        match topic {
            StoreTopic::Config => match (self.store.decode_config)(record) {
                Ok(Some(config)) => self.apply_config(record, config, source),
                Ok(None) => {}
                Err(error) => self.note_undecodable(topic, record, &error),
            },
            StoreTopic::Suspects => self.apply_suspect(record),
            StoreTopic::Origins => self.apply_origin(record),
            StoreTopic::Endpoints | StoreTopic::Shares | StoreTopic::Duty => {}
        }
    }

    pub(crate) fn note_undecodable(
        &self,
        topic: StoreTopic,
        record: &StoreRecord,
        error: &StoreError,
    ) {
        self.metrics.note_unreadable(topic_name(topic));
        log::warn!(
            target: part::FOLLOW,
            key = &*record.key, offset = record.offset, error = error.to_string();
            "record unreadable"
        );
    }

    /// Applies the settings that may change while the entry runs: the seeds, the time within which changes
    /// take effect and the retry allowance.
    pub(crate) fn apply_settings(&self, settings: &GatewaySettings) {
        let now = clock::now();
        for seed in &settings.seeds {
            self.roster().note_heard(now, *seed);
        }
        self.roster().set_budget(settings.change_budget);
        self.table().limits().set_named_entries(named_entries(settings));
        let new = (settings.retry_ratio, settings.retry_slack);
        *self.retry_allowance.lock() = new;
    }

    /// Counts a request for `service`, which adds a fraction of a retry to the service's retry
    /// budget.
    pub(crate) fn note_request(&self, service: &str) {
        self.with_budget(service, RetryBudget::completed);
    }

    /// Decides whether a request for `service` is sent again, and charges the service's retry
    /// budget.
    pub(crate) fn decide_retry(&self, service: &str, case: &RetryCase, seed: u64) -> RetryDecision {
        let (decision, balance) = self.with_budget(service, |budget| {
            let decision = retry::decide(budget, case, seed);
            (decision, budget.balance())
        });
        self.metrics.note_retry(service, retry_label(case, &decision), balance);
        decision
    }

    fn with_budget<T>(&self, service: &str, decide: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let (ratio, reserve) = self.budget_limits();
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(service.into())
            .or_insert_with(|| RetryBudget::with_limits(ratio, reserve));
        // The number of entries may have changed.
        budget.set_limits(ratio, reserve);
        decide(budget)
    }

    /// Returns the number of retries that each request adds to a budget, and this entry's share of
    /// the reserve.
    fn budget_limits(&self) -> (f64, f64) {
        let entries = self.live_entries() as f64;
        let (ratio, slack) = *self.retry_allowance.lock();
        (ratio * BUDGET_SHARE, slack * BUDGET_SHARE / entries)
    }

    /// Records that no connection to an endpoint could be established since `began`.
    pub(crate) fn note_unreached(&self, began: TimePoint, endpoint: EndpointKey, name: &str) {
        let now = clock::now();
        let waited = now.since(began);
        let since_failure = self.table().since_failure(now, endpoint);
        log::info!(
            target: part::REQUEST, endpoint = name, waited_ms = waited.as_millis() as u64,
            since_lost_run_ms = since_failure.map_or(-1, |span| span.as_millis() as i64);
            "endpoint is down"
        );
        self.table().note_unreached(now, endpoint, waited);
        self.run_doubts.note_failure(now, name, self.listed_start(name));
    }

    /// Returns the start of the listed run of an endpoint, in milliseconds since 1970.
    fn listed_start(&self, name: &str) -> Option<u64> {
        self.directory().entry(name)?.started_ms
    }

    /// Records that another endpoint answered at the address of this endpoint.
    pub(crate) fn note_replaced(&self, endpoint: EndpointKey, name: &str) {
        log::info!(target: part::REQUEST, endpoint = name; "endpoint is replaced at its address");
        self.table().note_replaced(endpoint);
        self.note_replaced_instances(|instance| *instance.name == *name);
    }

    /// Applies a notice that an instance of an endpoint gave in the answer to `request`.
    pub(crate) fn note_notice(
        &self,
        request: &str,
        instance: &EndpointInstance,
        notice: EndpointNotice,
    ) {
        let now = clock::now();
        let (name, started_ms) = (&*instance.name, instance.started_ms);
        let noted_ms = self.wall_ms();
        let noted = self.table().note_notice(now, noted_ms, name, started_ms, notice);
        let Some(until) = noted else { return };
        let span = (until != TimePoint::FAR).then(|| now.until(until).as_millis() as u64);
        log::info!(
            target: part::REQUEST,
            request = request, endpoint = name, cause = notice.label(),
            until_ms = span.map_or(-1, |span| noted_ms.saturating_add(span) as i64);
            "endpoint excluded"
        );
        self.metrics.note_exclusion(notice.label());
        if notice == EndpointNotice::Leaving {
            self.pool.forget(name);
        }
    }

    /// Records that an endpoint failed a request; the endpoint is quarantined for a while.
    pub(crate) fn note_failure(&self, now: TimePoint, endpoint: EndpointKey, name: &str) {
        log::info!(target: part::REQUEST, endpoint = name; "endpoint rests after a failure");
        self.table().note_failure(now, endpoint);
        self.run_doubts.note_failure(now, name, self.listed_start(name));
    }
}

/// Returns the number of entries that the settings name, including this one.
fn named_entries(settings: &GatewaySettings) -> usize {
    let others: HashSet<SocketAddr> = settings.seeds.iter().copied().collect();
    others.len() + usize::from(!others.contains(&settings.peers))
}

/// Returns the name of a retry decision in metrics.
fn retry_label(case: &RetryCase, decision: &RetryDecision) -> &'static str {
    match decision {
        RetryDecision::Retry { .. } if case.reached => "charged",
        RetryDecision::Retry { .. } => "free",
        RetryDecision::Stop { reason: DecisionReason::RetryBudgetSpent } => "budget_spent",
        RetryDecision::Stop { .. } => "not_allowed",
    }
}

/// A guard that locks the shared view and dereferences to its roster.
pub(crate) struct RosterGuard<'a>(MutexGuard<'a, SharedView>);

impl std::ops::Deref for RosterGuard<'_> {
    type Target = HubRoster;

    fn deref(&self) -> &HubRoster {
        &self.0.roster
    }
}

impl std::ops::DerefMut for RosterGuard<'_> {
    fn deref_mut(&mut self) -> &mut HubRoster {
        &mut self.0.roster
    }
}
