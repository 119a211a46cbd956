//! The routers that an experiment compares.

use std::time::Duration;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ProcessId, RequestId},
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    retry::{self, RetryBudget, RetryCase, RetryDecision},
    route::{EntryRouter, RandomRouter, RouteChoice, RouteEvent},
    suspect::SuspectTable,
    time::TimePoint,
};
use slotmap::SecondaryMap;

/// Output tokens that naive routers expect of every request.
const NAIVE_EXPECTED_TOKENS: u32 = 256;

/// An entry with its router and its retry policy.
#[derive(Debug)]
pub struct SimEntry {
    /// Identity of the entry's process.
    pub process: ProcessId,
    /// Router of the entry.
    pub router: SimRouter,
    budget: RetryBudget,
}

impl SimEntry {
    /// Returns entry number `number` with the router that `name` selects.
    ///
    /// Any name but `naive-random` and `naive-least-loaded` selects the kernel's router.
    pub fn new(name: &str, number: u32, seed: u64) -> SimEntry {
        let process = ProcessId { name: format!("entry-{number}").into(), incarnation: 1 };
        let router = SimRouter::new(name, &process, seed.wrapping_add(u64::from(number)));
        SimEntry { process, router, budget: RetryBudget::new() }
    }

    /// Passes an event to the router; a completed request also refills the retry budget.
    pub fn step(&mut self, now: TimePoint, event: RouteEvent, catalog: &ServiceCatalog) {
        if let RouteEvent::Ended { outcome: RunOutcome::Completed, .. } = event {
            self.budget.completed();
        }
        self.router.step(now, event, catalog);
    }

    /// Returns the delay before the next attempt, or `None` if the request must not be retried.
    ///
    /// Naive routers retry without delay and without a retry budget.
    pub fn retry(&mut self, case: &RetryCase, seed: u64) -> Option<Duration> {
        if !self.router.is_naive() {
            return match retry::decide(&mut self.budget, case, seed) {
                RetryDecision::Retry { delay, .. } => Some(delay),
                RetryDecision::Stop { .. } => None,
            };
        }
        let safe = case.outcome == RunOutcome::NotRun || case.idempotent && !case.answer_begun;
        (safe && case.attempts < retry::MAX_ATTEMPTS).then_some(Duration::ZERO)
    }

    /// Returns the suspects to report to the other entries, or `None` for a naive router.
    pub fn suspects(&self, now: TimePoint) -> Option<SuspectTable> {
        match &self.router {
            SimRouter::Entry(router) => Some(router.suspect_report(now)),
            _ => None,
        }
    }

    /// Merges the suspects that another entry reported; naive routers ignore them.
    pub fn merge_suspects(&mut self, now: TimePoint, report: &SuspectTable) {
        if let SimRouter::Entry(router) = &mut self.router {
            router.merge_suspects(now, report);
        }
    }
}

/// Router of an entry.
#[derive(Debug)]
pub enum SimRouter {
    /// The kernel's router with the route policy of the catalog.
    Entry(Box<EntryRouter>),
    /// Chooses a random endpoint.
    Random(Box<RandomRouter>),
    /// Chooses the endpoint with the fewest requests per slot according to the last digests.
    ///
    /// Requests that this entry sent after those digests are not counted.
    LeastLoaded(SecondaryMap<EndpointKey, u32>),
}

impl SimRouter {
    fn new(name: &str, entry: &ProcessId, seed: u64) -> SimRouter {
        match name {
            "naive-random" => SimRouter::Random(Box::new(RandomRouter::new(seed))),
            "naive-least-loaded" => SimRouter::LeastLoaded(SecondaryMap::new()),
            _ => SimRouter::Entry(Box::new(EntryRouter::new(seed).with_process(entry.clone()))),
        }
    }

    /// Reports whether the router is not the kernel's.
    pub fn is_naive(&self) -> bool {
        !matches!(self, SimRouter::Entry(_))
    }

    fn step(&mut self, now: TimePoint, event: RouteEvent, catalog: &ServiceCatalog) {
        match self {
            SimRouter::Entry(router) => router.step(now, event, catalog),
            SimRouter::Random(_) => {}
            SimRouter::LeastLoaded(loads) => {
                let RouteEvent::Digest(digest) = event else { return };
                let Some(endpoint) = catalog.endpoint(&digest.endpoint) else { return };
                let waiting: u32 = digest.waiting.iter().sum();
                let load = if digest.up { digest.running + waiting } else { u32::MAX };
                loads.insert(endpoint, load);
            }
        }
    }

    /// Chooses an endpoint for a request; endpoints in `excluded` are not considered.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        excluded: &[EndpointKey],
    ) -> RouteChoice {
        let loads = match self {
            SimRouter::Entry(router) => return router.choose(now, request, catalog, excluded),
            SimRouter::Random(router) => return router.choose(request, catalog, excluded),
            SimRouter::LeastLoaded(loads) => loads,
        };
        let model = &catalog.models[request.model].name;
        let open = catalog.endpoints_of(model).filter(|key| !excluded.contains(key));
        let load = |key: EndpointKey| {
            let requests = loads.get(key).copied().unwrap_or(0);
            u64::from(requests) * 1000 / u64::from(catalog.endpoints[key].slots.max(1))
        };
        match open.min_by_key(|&key| (load(key), key)) {
            Some(endpoint) => RouteChoice::Endpoint { endpoint, reason: DecisionReason::SlotFree },
            None => RouteChoice::Refuse {
                reason: DecisionReason::NoEndpoint,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    /// Returns the number of output tokens that the request is expected to need.
    pub fn expected_tokens(&self, request: &RequestSpec) -> u32 {
        match self {
            SimRouter::Entry(router) => router.expected_tokens(request),
            _ => NAIVE_EXPECTED_TOKENS,
        }
    }

    /// Returns the ordinal of a request that was sent, or `None` for a naive router.
    pub fn ordinal(&self, request: RequestId) -> Option<u64> {
        match self {
            SimRouter::Entry(router) => router.ordinal(request),
            _ => None,
        }
    }
}
