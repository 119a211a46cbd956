//! Differential tests of the entry's router against a naive version.

mod naive_route;
mod route_fixture;

use std::time::Duration;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ProcessId, RequestId},
    reason::DecisionReason,
    request::RunOutcome,
    route::{CRASH_REPORT_TIME, EntryProgress, EntryRouter, RouteChoice, RouteEvent, policy_names},
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

use self::{
    naive_route::NaiveEntry,
    route_fixture::{deployment, idle_digest, model_name, request},
};

const SESSIONS: u64 = 40;
const STEPS: usize = 150;
const MODELS: usize = 4;

/// A random session of a router and its naive version.
struct Session {
    generator: Gen,
    catalog: ServiceCatalog,
    keys: Vec<EndpointKey>,
    router: EntryRouter,
    naive: NaiveEntry,
    now: TimePoint,
    sequences: Vec<u64>,
    ordinals: Vec<u64>,
    covered: Vec<u64>,
    in_flight: Vec<RequestId>,
    next_id: u64,
}

impl Session {
    fn new(seed: u64) -> Session {
        let catalog = deployment(9, MODELS, 1);
        let mut keys: Vec<_> = catalog.live_endpoints().collect();
        keys.sort_unstable();
        let own = ProcessId { name: "entry-1".into(), incarnation: 1 };
        Session {
            generator: Gen::from_size_and_seed(50, seed),
            router: EntryRouter::new(seed).with_process(own).with_domain("north"),
            naive: NaiveEntry::default(),
            now: TimePoint::from_millis(1000),
            sequences: vec![0; keys.len()],
            ordinals: vec![0; keys.len()],
            covered: vec![0; keys.len()],
            in_flight: Vec::new(),
            next_id: 1,
            keys,
            catalog,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        usize::arbitrary(&mut self.generator) % bound
    }

    fn any_key(&mut self) -> EndpointKey {
        let index = self.below(self.keys.len());
        self.keys[index]
    }

    fn step(&mut self, event: RouteEvent) {
        self.naive.history.push((self.now, event.clone()));
        self.router.step(self.now, event, &self.catalog);
    }

    fn send_digest(&mut self) {
        let index = self.below(self.keys.len());
        self.sequences[index] += 1;
        let late = if self.below(5) == 0 { 2 } else { 0 };
        let sequence = self.sequences[index].saturating_sub(late);
        let mut digest = idle_digest(&self.catalog, self.keys[index], sequence);
        digest.running = self.below(9) as u32;
        digest.waiting[1] = self.below(4) as u32;
        digest.up = self.below(8) != 0;
        digest.draining = self.below(8) == 0;
        digest.models.truncate(1 + self.below(2));
        let ordinal = self.ordinals[index].saturating_sub(self.below(3) as u64);
        let ordinal = ordinal.max(self.covered[index]);
        self.covered[index] = ordinal;
        let entry = ProcessId { name: "entry-1".into(), incarnation: 1 };
        digest.seen.push(EntryProgress { entry, ordinal });
        self.step(RouteEvent::Digest(digest));
    }

    fn route(&mut self) {
        let model = self.below(MODELS);
        let request = request(&self.catalog, self.next_id, model, self.now);
        self.next_id += 1;
        let excluded = vec![self.any_key()];
        let choice = self.router.choose(self.now, &request, &self.catalog, &excluded);
        let serves = |key: &EndpointKey| {
            !excluded.contains(key)
                && self.naive.may_serve(self.now, &self.catalog, *key, &model_name(model))
        };
        let served: Vec<_> = self.keys.iter().copied().filter(serves).collect();
        match choice {
            RouteChoice::Endpoint { endpoint, .. } => {
                assert!(served.contains(&endpoint), "{endpoint:?} may not serve model m{model}");
                let at = self.keys.iter().position(|&key| key == endpoint).unwrap();
                self.ordinals[at] += 1;
                let expected_tokens = 50;
                self.step(RouteEvent::Sent { request: request.id, endpoint, expected_tokens });
                assert_eq!(self.router.ordinal(request.id), Some(self.ordinals[at]));
                self.in_flight.push(request.id);
            }
            RouteChoice::Refuse { reason: DecisionReason::AwaitingCrashReport, .. } => {
                assert!(
                    self.naive.failed_within(self.now, CRASH_REPORT_TIME),
                    "awaits a crash report, but no call failed"
                );
            }
            RouteChoice::Refuse { .. } => {
                assert_eq!(served, [], "refused although endpoints may serve the request")
            }
        }
    }

    fn end_request(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.below(self.in_flight.len());
        let request = self.in_flight.swap_remove(index);
        self.step(RouteEvent::FirstToken { request });
        self.step(RouteEvent::Ended { request, outcome: RunOutcome::Completed, tokens: 50 });
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.now = self.now + Duration::from_millis(self.below(400) as u64);
            match self.below(10) {
                0..4 => self.send_digest(),
                4..7 => self.route(),
                7..9 => self.end_request(),
                _ => {
                    let endpoint = self.any_key();
                    self.step(RouteEvent::Unreachable { endpoint });
                }
            }
            for &key in &self.keys {
                let expected = self.naive.load(&self.catalog, key, "entry-1");
                assert_eq!(self.router.load(key), expected, "load of {key:?}");
            }
        }
    }
}

/// Guards against choices of endpoints that may not serve a request, needless refusals, and load
/// counts that drift from the history of events, under random digests, requests and failed calls.
#[test]
fn choices_and_loads_match_the_naive_version() {
    for seed in 0..SESSIONS {
        Session::new(seed).run();
    }
}

#[test]
fn policies_are_registered() {
    assert_eq!(policy_names(), ["expected", "least-loaded", "random"]);
}
