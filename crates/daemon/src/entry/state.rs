//! State shared by all requests of an entry.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use pimentorock_kernel::{
    ids::{EndpointKey, ProcessId},
    limit::{AccountLimiter, LimitRefusal},
    request::RequestSpec,
    retry::{RetryBudget, RetryCase, RetryDecision, decide},
    route::{EntryRouter, RouteChoice, RouteEvent},
    suspect::SuspectTable,
    time::TimePoint,
};
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::ProcessClock,
    entry::entry_report::{EntryReport, EntryReportCell, RouterUpdate},
    explain::ExplainLog,
    operators::ServiceMetrics,
    recorder::ServiceRecorder,
    state::{AnswerCache, BackupCounter, ClaimRegistry},
    view::ViewCell,
};

/// Process age below which the router may not have the digests (state reports) of all agents yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);

/// Interval between router ticks and between updates of the report to other entries.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Components of the process that an entry uses.
#[derive(Clone, Debug)]
pub(crate) struct EntryParts {
    pub(crate) clock: ProcessClock,
    pub(crate) process: ProcessId,
    pub(crate) views: ViewCell,
    pub(crate) http: reqwest::Client,
    pub(crate) recorder: ServiceRecorder,
    pub(crate) explain: ExplainLog,
    pub(crate) metrics: ServiceMetrics,
    pub(crate) entry_report: EntryReportCell,
    pub(crate) claims: Arc<ClaimRegistry>,
    pub(crate) usage: Arc<BackupCounter>,
    pub(crate) answers: AnswerCache,
}

/// State shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) parts: EntryParts,
    pub(crate) tracker: TaskTracker,
    decisions: Mutex<DecisionState>,
}

/// The kernel's decision-making components of one entry.
#[derive(Debug)]
struct DecisionState {
    router: EntryRouter,
    limiter: AccountLimiter,
    budget: RetryBudget,
}

impl EntryState {
    /// Returns the state of an entry in the failure domain `domain` that has served no request.
    pub(crate) fn new(parts: EntryParts, domain: &str) -> EntryState {
        let process = parts.process.clone();
        let router =
            EntryRouter::new(process.incarnation).with_process(process.clone()).with_domain(domain);
        let limiter = AccountLimiter::new(process);
        let decisions = DecisionState { router, limiter, budget: RetryBudget::new() };
        EntryState { parts, tracker: TaskTracker::new(), decisions: Mutex::new(decisions) }
    }

    /// Charges a request to its account and returns the tokens charged.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the account is over a limit, in which case nothing is charged.
    pub(crate) fn admit(&self, spec: &RequestSpec) -> Result<u32, LimitRefusal> {
        let view = self.parts.views.load();
        let mut decisions = self.decisions();
        let tokens = spec.prompt_tokens.saturating_add(decisions.router.expected_tokens(spec));
        let now = self.parts.clock.now();
        decisions.limiter.admit(now, spec.account, tokens, &view.catalog)?;
        Ok(tokens)
    }

    /// Replaces the tokens charged for an admitted request by the tokens that it used.
    pub(crate) fn settle_charge(&self, spec: &RequestSpec, charged: u32, used: u32) {
        let now = self.parts.clock.now();
        self.decisions().limiter.settle(now, spec.account, charged, used);
    }

    /// Chooses an endpoint outside `excluded` for a request.
    pub(crate) fn choose(&self, spec: &RequestSpec, excluded: &[EndpointKey]) -> RouteChoice {
        let view = self.parts.views.load();
        self.decisions().router.choose(self.parts.clock.now(), spec, &view.catalog, excluded)
    }

    /// Records that a request is sent to `endpoint` and returns the ordinal of the send.
    pub(crate) fn record_send(&self, spec: &RequestSpec, endpoint: EndpointKey) -> u64 {
        let view = self.parts.views.load();
        let router = &mut self.decisions().router;
        let expected_tokens = router.expected_tokens(spec);
        let event = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens };
        router.step(self.parts.clock.now(), event, &view.catalog);
        router.ordinal(spec.id).unwrap_or_default()
    }

    /// Reports whether this process has started so recently that it may not have heard from all
    /// others.
    pub(crate) fn is_starting(&self) -> bool {
        self.parts.clock.now() < TimePoint::ZERO + STARTUP_PERIOD
    }

    /// Reports whether the agent of `endpoint` has stopped sending digests.
    pub(crate) fn is_silent(&self, endpoint: EndpointKey) -> bool {
        self.decisions().router.is_silent(self.parts.clock.now(), endpoint)
    }

    /// Passes an event to the router.
    pub(crate) fn route_event(&self, event: RouteEvent) {
        let view = self.parts.views.load();
        self.decisions().router.step(self.parts.clock.now(), event, &view.catalog);
    }

    /// Returns the requests suspected of crashes.
    pub(crate) fn suspects(&self) -> SuspectTable {
        self.decisions().router.suspect_report(self.parts.clock.now())
    }

    /// Decides whether a failed request is retried.
    pub(crate) fn decide_retry(&self, case: &RetryCase, seed: u64) -> RetryDecision {
        decide(&mut self.decisions().budget, case, seed)
    }

    /// Records a completed request, which adds a fraction of a retry to the retry budget.
    pub(crate) fn record_completion(&self) {
        self.decisions().budget.completed();
    }

    /// Applies updates to the router and publishes this entry's report until `stop` is cancelled.
    pub(crate) async fn apply_updates(
        self: Arc<EntryState>,
        mut updates: mpsc::UnboundedReceiver<RouterUpdate>,
        stop: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(update) = updates.recv() => self.apply_update(update),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn apply_update(&self, update: RouterUpdate) {
        match update {
            RouterUpdate::Digest(digest) => self.route_event(RouteEvent::Digest(digest)),
            RouterUpdate::Entry(report) => {
                let now = self.parts.clock.now();
                let mut decisions = self.decisions();
                decisions.router.merge_suspects(now, &report.suspects);
                decisions.limiter.merge(now, &report.spent);
            }
        }
    }

    fn tick(&self) {
        self.route_event(RouteEvent::Tick);
        let suspects = self.suspects();
        let spent = self.decisions().limiter.report();
        self.parts.entry_report.store(Arc::new(Some(EntryReport { suspects, spent })));
    }

    fn decisions(&self) -> MutexGuard<'_, DecisionState> {
        self.decisions.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
