//! Tests of the preference of an entry between two endpoints.

mod route_fixture;

use std::time::Duration;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::EndpointKey,
    reason::DecisionReason,
    request::RequestSpec,
    route::{
        CacheChange, CacheEvent, EXPIRED_DIGEST_AGE, EntryRouter, RouteChoice, RouteEvent,
        STALE_DIGEST_AGE,
    },
    time::TimePoint,
};

use self::route_fixture::{deployment, idle_digest, request};

const START: TimePoint = TimePoint::from_millis(1000);
const REQUESTS: u64 = 40;

/// A router with two endpoints, `e000` in domain "north" and `e001` in domain "mid".
struct PairFixture {
    catalog: ServiceCatalog,
    keys: [EndpointKey; 2],
    router: EntryRouter,
}

impl PairFixture {
    fn new(domain: &str) -> PairFixture {
        let catalog = deployment(2, 1, 1);
        let keys = ["e000", "e001"].map(|name| catalog.endpoint(name).unwrap());
        let router = EntryRouter::new(3).with_domain(domain);
        PairFixture { catalog, keys, router }
    }

    fn digest(&mut self, at: usize, now: TimePoint, sequence: u64, running: u32) {
        let mut digest = idle_digest(&self.catalog, self.keys[at], sequence);
        digest.running = running;
        digest.pending_tokens = u64::from(running) * 100;
        self.router.step(now, RouteEvent::Digest(digest), &self.catalog);
    }

    /// Routes many requests, adjusted by `shape`, and returns the number of choices per endpoint.
    fn choose(&mut self, now: TimePoint, shape: impl Fn(&mut RequestSpec)) -> [u64; 2] {
        let mut counts = [0; 2];
        for id in 0..REQUESTS {
            let mut spec = request(&self.catalog, id, 0, now);
            shape(&mut spec);
            match self.router.choose(now, &spec, &self.catalog, &[]) {
                RouteChoice::Endpoint { endpoint, .. } => {
                    counts[usize::from(endpoint == self.keys[1])] += 1;
                }
                RouteChoice::Refuse { reason, .. } => {
                    assert_eq!(reason, DecisionReason::NoEndpoint);
                }
            }
        }
        counts
    }
}

/// Guards against entries of one failure domain that send all their requests to the same endpoint
/// although another endpoint has a lower load.
#[test]
fn a_lower_load_outweighs_the_same_failure_domain() {
    let cases = [
        ("north", [0, 0], [REQUESTS, 0]),
        ("mid", [0, 0], [0, REQUESTS]),
        ("north", [1, 0], [0, REQUESTS]),
        ("mid", [0, 9], [REQUESTS, 0]),
        ("north", [12, 9], [0, REQUESTS]),
    ];
    for (domain, running, expected) in cases {
        let mut fixture = PairFixture::new(domain);
        fixture.digest(0, START, 1, running[0]);
        fixture.digest(1, START, 1, running[1]);
        assert_eq!(fixture.choose(START, |_| ()), expected, "{domain}, {running:?} running");
    }
}

/// Guards against requests to an endpoint whose digests no longer arrive.
#[test]
fn an_endpoint_with_stale_digests_is_a_fallback_and_later_unavailable() {
    let mut fixture = PairFixture::new("north");
    fixture.digest(0, START, 1, 0);
    fixture.digest(1, START + STALE_DIGEST_AGE, 1, 8);
    assert_eq!(
        fixture.choose(START + STALE_DIGEST_AGE, |_| ()),
        [0, REQUESTS],
        "a fresh digest is preferred to a stale one"
    );
    let lost = START + STALE_DIGEST_AGE + EXPIRED_DIGEST_AGE;
    assert_eq!(
        fixture.choose(lost - Duration::from_millis(1), |_| ()),
        [0, REQUESTS],
        "only one endpoint is left"
    );
    assert_eq!(fixture.choose(lost, |_| ()), [0, 0], "both digests are expired");
}

/// Guards against ignoring a cached prefix, and against queueing behind a cached prefix for longer
/// than the prefill takes elsewhere.
#[test]
fn a_cached_prefix_is_preferred_until_queueing_costs_more() {
    let prefix: Box<[u64]> = (1..=32).collect();
    for (running, expected) in [(0, [0, REQUESTS]), (7, [0, REQUESTS]), (30, [REQUESTS, 0])] {
        let mut fixture = PairFixture::new("north");
        fixture.digest(0, START, 1, 0);
        fixture.digest(1, START, 1, running);
        let change = CacheChange::Stored(prefix.to_vec());
        let event = CacheEvent { endpoint: "e001".into(), engine_run: 1, sequence: 1, change };
        fixture.router.step(START, RouteEvent::Cache(event), &fixture.catalog);
        let counts = fixture.choose(START, |spec| spec.prefix = prefix.clone());
        assert_eq!(counts, expected, "{running} running at the endpoint with the prefix");
    }
}
