//! Golden file tests of complete entry sessions, one for each deployment.

mod route_fixture;

use std::{fmt::Write, time::Duration};

use pimentorock_kernel::{
    catalog::{AccountLimits, CatalogSpec, EndpointKind, PolicyNames, ServiceCatalog},
    ids::{EndpointKey, ProcessId, RequestId},
    limit::AccountLimiter,
    request::{RequestSpec, RunOutcome},
    retry::{RetryBudget, RetryCase, RetryDecision, decide},
    route::{CrashReport, EntryRouter, RouteChoice, RouteEvent},
    scale::{EndpointPhase, EndpointScaler, EndpointStatus, FleetStatus, ModelDemand, ScaleAction},
    time::TimePoint,
};

use self::route_fixture::{deployment, idle_digest, request};

/// A deployment with its failure domains, the number of endpoints per model, a plain service and an
/// account.
struct Deployment {
    domains: &'static [&'static str],
    models: &'static [(&'static str, usize)],
    service: &'static str,
    account: &'static str,
}

const SWACHH_GHAR: Deployment = Deployment {
    domains: &["gj-a", "gj-b", "gj-c", "gj-d"],
    models: &[("match", 4), ("chat", 6)],
    service: "schedule",
    account: "sghar/ahmedabad",
};

const DISIPADORES: Deployment = Deployment {
    domains: &["cant-1", "cant-2", "cant-3"],
    models: &[("report", 6), ("counter", 4)],
    service: "orders",
    account: "disip/santander",
};

impl Deployment {
    fn catalog(&self) -> ServiceCatalog {
        let plain = deployment(1, 1, 1);
        let engine = plain.endpoints.values().next().unwrap();
        let mut endpoints = Vec::new();
        let mut add = |model: &str, kind, slots| {
            let mut spec = engine.clone();
            let index = endpoints.len();
            spec.name = format!("{model}-{index}").into();
            spec.domain = self.domains[index % self.domains.len()].into();
            spec.models = vec![model.into()];
            spec.kind = kind;
            spec.slots = slots;
            endpoints.push(spec);
        };
        for (model, count) in self.models {
            (0..*count).for_each(|_| add(model, EndpointKind::Engine, 8));
        }
        (0..2).for_each(|_| add(self.service, EndpointKind::Service, 16));
        let mut account = plain.accounts.values().next().unwrap().clone();
        account.name = self.account.into();
        account.limits = AccountLimits { concurrency: Some(4), ..AccountLimits::default() };
        let classes = plain.classes.values().cloned().collect();
        let policies = PolicyNames { scale: "steady".into(), ..PolicyNames::default() };
        let accounts = vec![account];
        let spec = CatalogSpec { accounts, classes, endpoints, policies, ..CatalogSpec::default() };
        ServiceCatalog::with_spec(1, spec)
    }
}

/// An entry whose events and decisions are logged as text.
struct GoldenSession {
    catalog: ServiceCatalog,
    router: EntryRouter,
    limiter: AccountLimiter,
    budget: RetryBudget,
    now: TimePoint,
    sequence: u64,
    next_id: u64,
    text: String,
}

impl GoldenSession {
    fn new(deployment: &Deployment) -> GoldenSession {
        let own = ProcessId { name: "entry-1".into(), incarnation: 1 };
        let router = EntryRouter::new(11).with_process(own.clone());
        GoldenSession {
            catalog: deployment.catalog(),
            router: router.with_domain(deployment.domains[0]),
            limiter: AccountLimiter::new(own),
            budget: RetryBudget::new(),
            now: TimePoint::from_millis(1000),
            sequence: 0,
            next_id: 1,
            text: String::new(),
        }
    }

    fn line(&mut self, line: String) {
        writeln!(self.text, "{:>6} ms  {line}", self.now.as_millis()).unwrap();
    }

    fn wait(&mut self, span: u64) {
        self.now = self.now + Duration::from_millis(span);
    }

    fn key(&self, name: &str) -> EndpointKey {
        self.catalog.endpoint(name).unwrap()
    }

    fn step(&mut self, event: RouteEvent) {
        self.router.step(self.now, event, &self.catalog);
    }

    /// Delivers a digest of every endpoint that is not in `silent`; the digests of the endpoints in
    /// `draining` report that they are draining.
    fn digests(&mut self, silent: &[&str], draining: &[&str]) {
        self.sequence += 1;
        let mut keys: Vec<_> = self.catalog.live_endpoints().collect();
        keys.sort_unstable();
        for key in keys {
            let mut digest = idle_digest(&self.catalog, key, self.sequence);
            digest.engine_run = 1;
            digest.draining = draining.contains(&&*digest.endpoint);
            if !silent.contains(&&*digest.endpoint) {
                self.step(RouteEvent::Digest(digest));
            }
        }
        self.line(format!("digests came, silent {silent:?}, draining {draining:?}"));
    }

    fn request(&mut self, model: &str, fingerprint: u64) -> RequestSpec {
        let plain = deployment(1, 1, 1);
        let mut spec = request(&plain, self.next_id, 0, self.now);
        self.next_id += 1;
        spec.model = self.catalog.model(model).unwrap();
        spec.fingerprint = fingerprint;
        spec
    }

    /// Chooses an endpoint for a request and sends the request; returns the endpoint, or `None` if
    /// the request was refused.
    fn route(&mut self, spec: &RequestSpec, excluded: &[EndpointKey]) -> Option<EndpointKey> {
        let choice = self.router.choose(self.now, spec, &self.catalog, excluded);
        let model = self.catalog.models[spec.model].name.clone();
        let head = format!("{:?} {model} #{:x}", spec.id, spec.fingerprint);
        match choice {
            RouteChoice::Endpoint { endpoint, reason } => {
                let name = self.catalog.endpoints[endpoint].name.clone();
                self.line(format!("{head} -> {name}: {reason}"));
                let event = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens: 50 };
                self.step(event);
                Some(endpoint)
            }
            RouteChoice::Refuse { reason, retry_after } => {
                let later = retry_after.as_millis();
                self.line(format!("{head} refused, come back in {later} ms: {reason}"));
                None
            }
        }
    }

    fn end(&mut self, request: RequestId, outcome: RunOutcome) {
        self.step(RouteEvent::Ended { request, outcome, tokens: 50 });
        if outcome == RunOutcome::Completed {
            self.budget.completed();
        }
        self.line(format!("{request:?} ended: {outcome:?}"));
    }

    fn retry(&mut self, spec: &RequestSpec, outcome: RunOutcome, idempotent: bool) {
        let case = RetryCase {
            outcome,
            idempotent,
            retry_failures: false,
            answer_begun: false,
            reached: true,
            attempts: 1,
            unreached: 0,
            time_left: spec.time_left(self.now),
            needed: Duration::from_millis(500),
        };
        let decision = match decide(&mut self.budget, &case, spec.fingerprint) {
            RetryDecision::Retry { delay, reason } => {
                format!("sent again in {} us: {reason}", delay.as_micros())
            }
            RetryDecision::Stop { reason } => format!("not sent again: {reason}"),
        };
        self.line(format!("{:?} {decision}", spec.id));
    }

    /// Delivers a digest that reports a crash of the endpoint during its first run, the requests
    /// that ran there, and that the endpoint is up again in its second run.
    fn crash(&mut self, name: &str, fingerprints: &[u64]) {
        self.sequence += 1;
        let mut digest = idle_digest(&self.catalog, self.key(name), self.sequence);
        digest.engine_run = 2;
        let crash = CrashReport { crash_id: 1, fingerprints: fingerprints.to_vec() };
        digest.crashes.push(crash);
        self.step(RouteEvent::Digest(digest));
        self.line(format!("{name} crashed with {fingerprints:x?} and came back"));
    }

    fn admit(&mut self, account: &str) {
        let account = self.catalog.account(account).unwrap();
        let outcome = match self.limiter.admit(self.now, account, 50, &self.catalog) {
            Ok(()) => "admitted".to_string(),
            Err(refusal) => refusal.to_string(),
        };
        self.line(format!("{}: {outcome}", self.catalog.accounts[account].name));
    }
}

/// Guards against changes in the decisions about a request that crashes two endpoints, about
/// another request that ran at the same endpoint, and about admission.
#[test]
fn swachh_ghar_survives_a_request_that_crashes_endpoints() {
    let mut session = GoldenSession::new(&SWACHH_GHAR);
    let bad = session.request("chat", 0xbad);
    session.route(&bad, &[]);
    session.digests(&[], &[]);
    let lookup = session.request("schedule", 0x51);
    session.route(&lookup, &[]);
    let first = session.route(&bad, &[]).unwrap();
    let others: Vec<_> = session.catalog.live_endpoints().filter(|&key| key != first).collect();
    let good = session.request("chat", 0x900d);
    session.route(&good, &others);
    session.wait(40);
    session.end(lookup.id, RunOutcome::Completed);
    session.end(bad.id, RunOutcome::Lost);
    session.retry(&bad, RunOutcome::Lost, true);
    session.route(&bad, &[first]);
    session.end(good.id, RunOutcome::Lost);
    session.retry(&good, RunOutcome::Lost, false);
    session.wait(300);
    let name = session.catalog.endpoints[first].name.clone();
    session.crash(&name, &[0xbad, 0x900d]);
    let again = session.request("chat", 0xbad);
    let second = session.route(&again, &[]).unwrap();
    session.wait(200);
    session.end(again.id, RunOutcome::Lost);
    let name = session.catalog.endpoints[second].name.clone();
    session.crash(&name, &[0xbad]);
    let third = session.request("chat", 0xbad);
    session.route(&third, &[]);
    let good = session.request("chat", 0x900d);
    session.route(&good, &[]);
    session.wait(100);
    session.end(good.id, RunOutcome::Completed);
    let good = session.request("chat", 0x900d);
    session.route(&good, &[]);
    (0..2).for_each(|_| session.admit("sghar/ahmedabad"));
    session.wait(1100);
    (0..4).for_each(|_| session.admit("sghar/ahmedabad"));
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("route_swachh_ghar_session", session.text);
    });
}

/// Guards against changes in the decisions about endpoints that drain, stop sending digests or
/// cannot be reached, and in scaling decisions.
#[test]
fn disipadores_drain_lose_and_scale_endpoints() {
    let mut session = GoldenSession::new(&DISIPADORES);
    session.digests(&[], &[]);
    for fingerprint in 1..5 {
        let report = session.request("report", fingerprint);
        session.route(&report, &[]);
    }
    session.wait(500);
    session.digests(&["counter-6", "counter-7"], &["counter-8"]);
    let counter = session.request("counter", 0x77);
    let chosen = session.route(&counter, &[]).unwrap();
    session.step(RouteEvent::Unreachable { endpoint: chosen });
    session.end(counter.id, RunOutcome::NotRun);
    session.retry(&counter, RunOutcome::NotRun, false);
    let retried = session.request("counter", 0x77);
    session.route(&retried, &[chosen]);
    session.wait(4600);
    session.digests(&["counter-6", "counter-7"], &["counter-8"]);
    let others: Vec<_> = (0x80..0x84).map(|print| session.request("counter", print)).collect();
    for spec in &others {
        session.route(spec, &[]);
    }
    session.wait(500);
    session.digests(&["counter-6", "counter-7"], &["counter-8", "counter-9"]);
    let refused = session.request("counter", 0x90);
    session.route(&refused, &[]);
    scale(&mut session);
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("route_disipadores_session", session.text);
    });
}

/// Simulates scaling while the demand for the model "report" rises for two minutes and then falls.
fn scale(session: &mut GoldenSession) {
    let mut scaler = EndpointScaler::new();
    let mut keys: Vec<_> = session.catalog.live_endpoints().collect();
    keys.sort_unstable();
    let mut phases: Vec<_> = keys.iter().map(|_| EndpointPhase::Stopped).collect();
    for at in [0, 6, 10] {
        phases[at] = EndpointPhase::Live;
    }
    let model = session.catalog.model("report").unwrap();
    for step in 0..70 {
        session.wait(10_000);
        let tokens_per_second = if step < 12 { 200.0 + f64::from(step) * 60.0 } else { 50.0 };
        let demand = vec![ModelDemand { model, tokens_per_second, waiting_tokens: 0.0 }];
        let status = |(&endpoint, &phase): (&EndpointKey, &EndpointPhase)| EndpointStatus {
            endpoint,
            phase,
            in_flight: 0,
        };
        let endpoints = keys.iter().zip(&phases).map(status).collect();
        let fleet = FleetStatus { endpoints, demand };
        for decision in scaler.step(session.now, &fleet, &session.catalog) {
            let at = |key: EndpointKey| keys.iter().position(|other| *other == key).unwrap();
            let text = match &decision.action {
                ScaleAction::Start { domain, .. } => {
                    let stopped = (0..keys.len()).find(|&index| {
                        let spec = &session.catalog.endpoints[keys[index]];
                        spec.domain == *domain && phases[index] == EndpointPhase::Stopped
                    });
                    phases[stopped.unwrap()] = EndpointPhase::Live;
                    format!("start report in {domain}")
                }
                ScaleAction::Drain { endpoint } => {
                    phases[at(*endpoint)] = EndpointPhase::Draining;
                    format!("drain {}", session.catalog.endpoints[*endpoint].name)
                }
                ScaleAction::Stop { endpoint } => {
                    phases[at(*endpoint)] = EndpointPhase::Stopped;
                    format!("stop {}", session.catalog.endpoints[*endpoint].name)
                }
            };
            session.line(format!("{text}: {}", decision.reason));
        }
    }
}
