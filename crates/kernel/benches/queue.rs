//! Benchmarks of one queue decision with 10, 100 and 1000 waiting requests.
//!
//! The setup has 280 accounts, 5 tiers and 64 slots. Each sample is a round of ten events that
//! keeps the number of waiting requests: one arrival, eight progress reports and one finish,
//! which starts the next request. Divide the time by ten for one decision. The size of the state
//! per request in bytes is printed first.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pimentorock_kernel::{
    catalog::{
        AccountSpec, CatalogSpec, ClassSpec, EndpointKind, EndpointSpec, FencingMode,
        ServiceCatalog,
    },
    ids::{AccountKey, ClassKey, ModelKey, RequestId},
    queue::{QueueAction, QueueEvent, QueueLimits, TieredQueue},
    request::{RequestSpec, RunOutcome},
    time::TimePoint,
};

const ACCOUNTS: usize = 280;
const TIERS: u8 = 5;
const MODELS: usize = 12;
const SLOTS: u32 = 64;

fn catalog() -> ServiceCatalog {
    let account = |index| AccountSpec {
        name: format!("t/a{index}").into(),
        weight: 1 + index as u32 % 3,
        limits: Default::default(),
        models: Vec::new(),
    };
    let class = |tier: u8| ClassSpec {
        name: format!("t/c{tier}").into(),
        tier,
        order: 0,
        matches: Default::default(),
        first_token: Duration::from_secs(3600),
        between_tokens: Duration::from_millis(27),
        deadline: Duration::from_secs(100_000),
        floor: 0.02,
        idempotent: true,
        preemptible: true,
    };
    let endpoint = EndpointSpec {
        name: "e".into(),
        domain: "d".into(),
        kind: EndpointKind::Engine,
        models: (0..MODELS).map(|index| format!("m{index}").into()).collect(),
        slots: SLOTS,
        kv_tokens: 1_000_000,
        tokens_per_second: 2000.0,
        cost_per_hour: 1.0,
        fencing: FencingMode::Ignored,
    };
    let spec = CatalogSpec {
        accounts: (0..ACCOUNTS).map(account).collect(),
        classes: (0..TIERS).map(class).collect(),
        endpoints: vec![endpoint],
        ..CatalogSpec::default()
    };
    ServiceCatalog::with_spec(1, spec)
}

/// Queue under steady load.
struct LoadedQueue {
    catalog: ServiceCatalog,
    accounts: Vec<AccountKey>,
    classes: Vec<ClassKey>,
    models: Vec<ModelKey>,
    queue: TieredQueue,
    running: Vec<RequestId>,
    actions: Vec<QueueAction>,
    now: TimePoint,
    next_request: u128,
}

impl LoadedQueue {
    fn new(waiting: usize) -> LoadedQueue {
        let catalog = catalog();
        let limits = QueueLimits { max_waiting: 5000, max_tokens: 1 << 40, class_reserve: 2 };
        let mut loaded = LoadedQueue {
            accounts: catalog.live_accounts().collect(),
            classes: catalog.live_classes().collect(),
            models: catalog.models.keys().collect(),
            catalog,
            queue: TieredQueue::new(SLOTS, 1_000_000, 2000.0).with_limits(limits),
            running: Vec::new(),
            actions: Vec::new(),
            now: TimePoint::from_millis(1),
            next_request: 0,
        };
        while loaded.queue.waiting() < waiting {
            loaded.arrive();
        }
        loaded
    }

    fn step(&mut self, event: QueueEvent) {
        self.now = self.now + Duration::from_micros(500);
        self.actions.clear();
        self.queue.step(self.now, event, &self.catalog, &mut self.actions);
        for action in &self.actions {
            match action {
                QueueAction::Start { request, .. } => self.running.push(*request),
                QueueAction::Preempt { request, .. } | QueueAction::Abort { request, .. } => {
                    self.running.retain(|running| running != request);
                }
                QueueAction::Refuse { .. } => {}
            }
        }
    }

    fn arrive(&mut self) {
        self.next_request += 1;
        let pick = (self.next_request as usize).wrapping_mul(7919);
        let spec = RequestSpec {
            id: RequestId(self.next_request),
            account: self.accounts[pick % self.accounts.len()],
            class: self.classes[pick / 3 % self.classes.len()],
            model: self.models[pick / 7 % self.models.len()],
            prompt_tokens: 300,
            max_tokens: 0,
            arrived: self.now,
            deadline: self.now + Duration::from_secs(100_000),
            idempotent: true,
            resumable: true,
            fingerprint: 0,
            prefix: Box::default(),
        };
        self.step(QueueEvent::Arrive(black_box(spec)));
    }

    fn run_round(&mut self) {
        self.arrive();
        for _ in 0..8 {
            let request = self.running[self.next_request as usize % self.running.len()];
            self.step(QueueEvent::Progress { request, tokens: 8 });
        }
        let request = self.running.remove(self.next_request as usize % self.running.len());
        self.step(QueueEvent::Finish { request, outcome: RunOutcome::Completed });
    }
}

fn benchmark_decisions(criterion: &mut Criterion) {
    println!("bytes of state per request: {}", TieredQueue::bytes_per_request());
    let mut group = criterion.benchmark_group("queue round of ten decisions");
    for waiting in [10, 100, 1000] {
        let mut loaded = LoadedQueue::new(waiting);
        for _ in 0..2000 {
            loaded.run_round();
        }
        group.bench_function(BenchmarkId::new("waiting", waiting), |bencher| {
            bencher.iter(|| loaded.run_round());
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("queue single decision");
    for waiting in [10, 100, 1000] {
        let mut loaded = LoadedQueue::new(waiting);
        group.bench_function(BenchmarkId::new("tick", waiting), |bencher| {
            bencher.iter(|| loaded.step(QueueEvent::Tick));
        });
        let unused_id = RequestId(u128::MAX);
        group.bench_function(BenchmarkId::new("arrive and cancel", waiting), |bencher| {
            bencher.iter(|| {
                loaded.arrive();
                let request = RequestId(loaded.next_request);
                loaded.step(QueueEvent::Cancel { request });
                black_box(unused_id)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, benchmark_decisions);
criterion_main!(benches);
