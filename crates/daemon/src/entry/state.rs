//! What all requests of an entry share.

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
};
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::ProcessClock,
    entry::news::{EntryNews, NewsCell, RouterNews},
    explain::ExplainLog,
    operators::ServiceMetrics,
    recorder::ServiceRecorder,
    state::{AnswerCache, BackupCounter, ClaimRegistry},
    view::ViewCell,
};

/// Time between steps of the router and reports to other entries.
const NEWS_PERIOD: Duration = Duration::from_millis(200);

/// Parts of the process that an entry uses.
#[derive(Clone, Debug)]
pub(crate) struct EntryParts {
    pub(crate) clock: ProcessClock,
    pub(crate) process: ProcessId,
    pub(crate) views: ViewCell,
    pub(crate) http: reqwest::Client,
    pub(crate) recorder: ServiceRecorder,
    pub(crate) explain: ExplainLog,
    pub(crate) metrics: ServiceMetrics,
    pub(crate) news: NewsCell,
    pub(crate) claims: Arc<ClaimRegistry>,
    pub(crate) usage: Arc<BackupCounter>,
    pub(crate) answers: AnswerCache,
}

/// What all requests of an entry share.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) parts: EntryParts,
    pub(crate) tracker: TaskTracker,
    decisions: Mutex<EntryDecisions>,
}

/// The kernel's decisions of one entry.
#[derive(Debug)]
struct EntryDecisions {
    router: EntryRouter,
    limiter: AccountLimiter,
    budget: RetryBudget,
}

impl EntryState {
    /// Returns the state of an entry in `domain` that has served nothing.
    pub(crate) fn new(parts: EntryParts, domain: &str) -> EntryState {
        let process = parts.process.clone();
        let router =
            EntryRouter::new(process.incarnation).with_process(process.clone()).with_domain(domain);
        let limiter = AccountLimiter::new(process);
        let decisions = EntryDecisions { router, limiter, budget: RetryBudget::new() };
        EntryState { parts, tracker: TaskTracker::new(), decisions: Mutex::new(decisions) }
    }

    /// Charges a request to its account and returns the tokens charged.
    ///
    /// # Errors
    ///
    /// Fails if the account is over a limit; nothing is charged then.
    pub(crate) fn admit(&self, spec: &RequestSpec) -> Result<u32, LimitRefusal> {
        let view = self.parts.views.load();
        let mut decisions = self.decisions();
        let tokens = spec.prompt_tokens.saturating_add(decisions.router.expected_tokens(spec));
        let now = self.parts.clock.now();
        decisions.limiter.admit(now, spec.account, tokens, &view.catalog)?;
        Ok(tokens)
    }

    /// Corrects the charge of an admitted request that has ended.
    pub(crate) fn settle(&self, spec: &RequestSpec, charged: u32, used: u32) {
        let now = self.parts.clock.now();
        self.decisions().limiter.settle(now, spec.account, charged, used);
    }

    /// Chooses an endpoint for a request.
    pub(crate) fn choose(&self, spec: &RequestSpec, excluded: &[EndpointKey]) -> RouteChoice {
        let view = self.parts.views.load();
        self.decisions().router.choose(self.parts.clock.now(), spec, &view.catalog, excluded)
    }

    /// Notes that a request goes to `endpoint` and returns the send's ordinal.
    pub(crate) fn sent(&self, spec: &RequestSpec, endpoint: EndpointKey) -> u64 {
        let view = self.parts.views.load();
        let router = &mut self.decisions().router;
        let expected_tokens = router.expected_tokens(spec);
        let event = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens };
        router.step(self.parts.clock.now(), event, &view.catalog);
        router.ordinal(spec.id).unwrap_or_default()
    }

    /// Tells the router what happened.
    pub(crate) fn route_event(&self, event: RouteEvent) {
        let view = self.parts.views.load();
        self.decisions().router.step(self.parts.clock.now(), event, &view.catalog);
    }

    /// Returns the requests suspected of crashes.
    pub(crate) fn suspects(&self) -> SuspectTable {
        self.decisions().router.suspect_report(self.parts.clock.now())
    }

    /// Decides whether a request that failed is sent again.
    pub(crate) fn decide_retry(&self, case: &RetryCase, seed: u64) -> RetryDecision {
        decide(&mut self.decisions().budget, case, seed)
    }

    /// Notes a completed request, which earns a part of a retry.
    pub(crate) fn completed(&self) {
        self.decisions().budget.completed();
    }

    /// Hands news to the router and publishes own ones until `stop` is cancelled.
    pub(crate) async fn follow_news(
        self: Arc<EntryState>,
        mut news: mpsc::UnboundedReceiver<RouterNews>,
        stop: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(NEWS_PERIOD);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(news) = news.recv() => self.take_news(news),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn take_news(&self, news: RouterNews) {
        match news {
            RouterNews::Digest(digest) => self.route_event(RouteEvent::Digest(digest)),
            RouterNews::Entry(news) => {
                let now = self.parts.clock.now();
                let mut decisions = self.decisions();
                decisions.router.merge_suspects(now, &news.suspects);
                decisions.limiter.merge(now, &news.spent);
            }
        }
    }

    fn tick(&self) {
        self.route_event(RouteEvent::Tick);
        let suspects = self.suspects();
        let spent = self.decisions().limiter.report();
        self.parts.news.store(Arc::new(Some(EntryNews { suspects, spent })));
    }

    fn decisions(&self) -> MutexGuard<'_, EntryDecisions> {
        self.decisions.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
