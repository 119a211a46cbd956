//! Benchmarks of the decisions of an entry with 10, 100 and 600 endpoints, and of the memory use of
//! its state.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion};
use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ProcessId},
    limit::AccountLimiter,
    request::RequestSpec,
    route::{CacheChange, CacheEvent, EntryRouter, RouteEvent},
    time::TimePoint,
};

#[path = "../tests/route_fixture/mod.rs"]
mod route_fixture;

use self::route_fixture::{deployment, idle_digest, request};

const SIZES: [usize; 3] = [10, 100, 600];
const MODELS: usize = 12;
const ACCOUNTS: usize = 280;
/// Number of models that are offered at every deployment size.
const OFFERED: u64 = 10;
const REQUESTS: u64 = 1000;
const PREFIX_BLOCKS: u64 = 64;
const ENTRIES: usize = 4;
const NOW: TimePoint = TimePoint::from_millis(1000);

/// An entry that has received a digest of each endpoint, and requests to route.
struct BenchFixture {
    catalog: ServiceCatalog,
    router: EntryRouter,
    requests: Vec<RequestSpec>,
}

impl BenchFixture {
    fn new(endpoints: usize) -> BenchFixture {
        let catalog = deployment(endpoints, MODELS, ACCOUNTS);
        let own = ProcessId { name: "entry-1".into(), incarnation: 1 };
        let mut router = EntryRouter::new(1).with_process(own).with_domain("north");
        let mut keys: Vec<EndpointKey> = catalog.live_endpoints().collect();
        keys.sort_unstable();
        for (index, &key) in keys.iter().enumerate() {
            let mut digest = idle_digest(&catalog, key, 1);
            digest.running = index as u32 % 9;
            digest.pending_tokens = u64::from(digest.running) * 100;
            router.step(NOW, RouteEvent::Digest(digest), &catalog);
        }
        let requests = (0..REQUESTS).map(|id| prompt(&catalog, id)).collect();
        BenchFixture { catalog, router, requests }
    }

    /// Fills the prefix index with one cache event from each endpoint.
    fn with_caches(mut self) -> BenchFixture {
        let names: Vec<Box<str>> =
            self.catalog.endpoints.values().map(|spec| spec.name.clone()).collect();
        for (index, endpoint) in names.into_iter().enumerate() {
            let blocks = self.requests[index % REQUESTS as usize].prefix.to_vec();
            let change = CacheChange::Stored(blocks);
            let event = CacheEvent { endpoint, engine_run: 1, sequence: 1, change };
            self.router.step(NOW, RouteEvent::Cache(event), &self.catalog);
        }
        self
    }
}

fn prompt(catalog: &ServiceCatalog, id: u64) -> RequestSpec {
    let mut spec = request(catalog, id + 1, (id % OFFERED) as usize, NOW);
    spec.account = catalog.account(&format!("team/a{:03}", id as usize % ACCOUNTS)).unwrap();
    spec.class = catalog.class(&format!("team/c{}", id % 5)).unwrap();
    spec.prefix = (0..PREFIX_BLOCKS).map(|block| id / 4 * PREFIX_BLOCKS + block).collect();
    spec
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for size in SIZES {
        let BenchFixture { catalog, mut router, requests } = BenchFixture::new(size).with_caches();
        let mut next = 0;
        group.bench_function(BenchmarkId::new("choose", size), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % requests.len();
                black_box(router.choose(NOW, &requests[next], &catalog, &[]))
            });
        });
    }
    group.finish();
}

/// Measures the processing of a digest and of a tick that triggers a sweep.
fn upkeep(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for size in SIZES {
        let BenchFixture { catalog, mut router, .. } = BenchFixture::new(size);
        let key = catalog.live_endpoints().next().expect("the deployment has endpoints");
        let mut digest = idle_digest(&catalog, key, 1);
        group.bench_function(BenchmarkId::new("digest", size), |bencher| {
            bencher.iter(|| {
                digest.sequence += 1;
                router.step(NOW, RouteEvent::Digest(digest.clone()), &catalog);
            });
        });
        let mut now = NOW;
        group.bench_function(BenchmarkId::new("sweep", size), |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_secs(1);
                router.step(now, RouteEvent::Tick, &catalog);
            });
        });
    }
    group.finish();
}

fn admissions(criterion: &mut Criterion) {
    let mut catalog = deployment(1, 1, ACCOUNTS);
    for account in catalog.accounts.values_mut() {
        account.limits.requests_per_second = Some(1e9);
    }
    let accounts: Vec<_> = catalog.live_accounts().collect();
    let mut limiters: Vec<AccountLimiter> = (0..ENTRIES)
        .map(|index| {
            let name = format!("entry-{index}").into();
            AccountLimiter::new(ProcessId { name, incarnation: 1 })
        })
        .collect();
    for limiter in &mut limiters {
        for &account in &accounts {
            limiter.admit(NOW, account, 100, &catalog).expect("the limit is far away");
        }
    }
    let reports: Vec<_> = limiters.iter_mut().map(AccountLimiter::report).collect();
    reports.iter().for_each(|report| limiters[0].merge(NOW, report));
    let mut next = 0;
    criterion.bench_function("limit/admit-280-accounts-4-entries", |bencher| {
        bencher.iter(|| {
            next = (next + 1) % accounts.len();
            black_box(limiters[0].admit(NOW, accounts[next], 100, &catalog))
        });
    });
    let bytes = limiters[0].state_bytes() / ACCOUNTS;
    println!("limit: {bytes} bytes of state per account with {ENTRIES} entries");
    let report = serde_json::to_vec(&reports[1]).expect("a report has a JSON form").len();
    println!("limit: {} bytes of report per limited active account, as JSON", report / ACCOUNTS);
}

/// Prints the size of the router state per endpoint and per request in flight.
fn print_state() {
    let empty = EntryRouter::new(1).state_bytes();
    for size in SIZES {
        let mut fixture = BenchFixture::new(size);
        let idle = fixture.router.state_bytes();
        println!("route: {} bytes of state per endpoint at {size}", (idle - empty) / size);
        let mut sent = 0;
        for spec in &fixture.requests {
            let choice = fixture.router.choose(NOW, spec, &fixture.catalog, &[]);
            let pimentorock_kernel::route::RouteChoice::Endpoint { endpoint, .. } = choice else {
                continue;
            };
            let event = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens: 100 };
            fixture.router.step(NOW + Duration::from_millis(1), event, &fixture.catalog);
            sent += 1;
        }
        let busy = fixture.router.state_bytes();
        println!("route: {} bytes of state per request in flight at {size}", (busy - idle) / sent);
    }
}

fn main() {
    print_state();
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    upkeep(&mut criterion);
    admissions(&mut criterion);
    criterion.final_summary();
}
