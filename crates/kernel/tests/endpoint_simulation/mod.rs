//! Scaled-down catalogs and traffic of two deployments, and a simulated engine of constant
//! speed that a queue controls.
#![allow(dead_code)] // no test file uses all items

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    catalog::{
        AccountLimits, AccountSpec, CatalogSpec, ClassMatch, ClassSpec, EndpointKind, EndpointSpec,
        FencingMode, ServiceCatalog,
    },
    ids::{AccountKey, ClassKey, RequestId},
    queue::{EndpointQueue, QueueAction, QueueEvent},
    request::{RequestSpec, RunOutcome},
    time::TimePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One class of a deployment and its traffic.
#[derive(Clone, Copy)]
pub struct ClassRow {
    pub name: &'static str,
    pub tier: u8,
    pub first_token_ms: u64,
    pub deadline_ms: u64,
    pub floor: f64,
    pub idempotent: bool,
    pub preemptible: bool,
    /// Prompt tokens of each request; all requests of the class have the same number.
    pub prompt: u32,
    /// Mean output tokens, before rounding and the limit of four times the mean.
    pub output: u32,
    /// Share of the offered output tokens.
    pub load: f64,
}

macro_rules! row {
    ($($name:literal $tier:literal $first:literal $deadline:literal $floor:literal
       $idempotent:literal $preemptible:literal $prompt:literal $output:literal $load:literal;)*) => {
        &[$(ClassRow {
            name: $name, tier: $tier, first_token_ms: $first, deadline_ms: $deadline,
            floor: $floor, idempotent: $idempotent, preemptible: $preemptible,
            prompt: $prompt, output: $output, load: $load,
        }),*]
    };
}

/// Classes of the example deployment "Swachh Ghar", whose bookings and matches have priority over
/// chat and summaries.
pub const SWACHH: &[ClassRow] = row![
    "ghar/bookings"  0  800 15_000 0.10 false false 120  60 0.10;
    "ghar/matches"   1 1000 20_000 0.10 true  true  300  90 0.15;
    "ghar/chat"      2 2000 30_000 0.10 true  true  400 150 0.45;
    "ghar/summaries" 3 5000 60_000 0.05 true  true  900 300 0.30;
];

/// Classes of the example deployment "Disipadores", whose orders and counter questions have
/// priority over long reports.
pub const DISIPADORES: &[ClassRow] = row![
    "heat/orders"   0  800 15_000 0.05 false false 100   40 0.05;
    "heat/counter"  1  800 20_000 0.10 true  true  200   80 0.20;
    "heat/compat"   2 1500 30_000 0.10 true  true  600  120 0.15;
    "heat/reports"  3 5000 120_000 0.20 true true 1500 600 0.60;
];

pub const ACCOUNTS: usize = 10;

/// Returns the catalog of a deployment with ten accounts, the first two with double weight.
pub fn catalog(rows: &[ClassRow]) -> ServiceCatalog {
    let accounts = (0..ACCOUNTS).map(|index| AccountSpec {
        name: format!("team/a{index}").into(),
        weight: if index < 2 { 2 } else { 1 },
        limits: AccountLimits::default(),
        models: Vec::new(),
    });
    let classes = rows.iter().map(|row| ClassSpec {
        name: row.name.into(),
        tier: row.tier,
        order: 0,
        matches: ClassMatch::default(),
        first_token: Duration::from_millis(row.first_token_ms),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_millis(row.deadline_ms),
        floor: row.floor,
        idempotent: row.idempotent,
        preemptible: row.preemptible,
    });
    let endpoint = EndpointSpec {
        name: "e1".into(),
        domain: "d1".into(),
        kind: EndpointKind::Engine,
        models: vec!["m1".into()],
        slots: 16,
        kv_tokens: 32_000,
        tokens_per_second: 640.0,
        cost_per_hour: 1.0,
        fencing: FencingMode::Ignored,
    };
    let spec = CatalogSpec {
        accounts: accounts.collect(),
        classes: classes.collect(),
        endpoints: vec![endpoint],
        ..CatalogSpec::default()
    };
    ServiceCatalog::with_spec(1, spec)
}

/// Returns the key of the account with the index `index`.
pub fn account(catalog: &ServiceCatalog, index: usize) -> AccountKey {
    catalog.account(&format!("team/a{index}")).expect("the catalog holds ten accounts")
}

/// Returns a request of the class `row` that arrives at `now`.
pub fn request(
    catalog: &ServiceCatalog,
    row: &ClassRow,
    id: u128,
    account_index: usize,
    now: TimePoint,
) -> RequestSpec {
    RequestSpec {
        id: RequestId(id),
        account: account(catalog, account_index),
        class: catalog.class(row.name).expect("the class is in the catalog"),
        model: catalog.model("m1").expect("the endpoint offers the model"),
        prompt_tokens: row.prompt,
        max_tokens: 0,
        arrived: now,
        deadline: now + Duration::from_millis(row.deadline_ms),
        idempotent: row.idempotent,
        resumable: row.preemptible,
        fingerprint: id as u64,
        prefix: Box::default(),
    }
}

/// Future request with its output length, which the queue does not know.
#[derive(Clone)]
pub struct Arrival {
    pub at: TimePoint,
    pub account: usize,
    pub output: u32,
    pub spec: RequestSpec,
}

/// Generates random traffic for each of `spans`, given as seconds and load; a load of 1.0
/// offers `tokens_per_second` output tokens per second.
///
/// On average, account 0 sends as many requests as all other accounts together.
pub fn traffic(
    catalog: &ServiceCatalog,
    rows: &[ClassRow],
    seed: u64,
    spans: &[(u64, f64)],
    tokens_per_second: f64,
) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut start = 0_u64;
    for &(seconds, load) in spans {
        for row in rows {
            let per_second = load * row.load * tokens_per_second / f64::from(row.output);
            let mut at = start as f64;
            loop {
                at += -random.random::<f64>().max(1e-9).ln() / per_second;
                if at >= (start + seconds) as f64 {
                    break;
                }
                let account =
                    if random.random_bool(0.5) { 0 } else { random.random_range(1..ACCOUNTS) };
                let spread = 0.25 - 0.75 * random.random::<f64>().max(1e-9).ln();
                let max_tokens = row.output * 4;
                let output = (f64::from(row.output) * spread).ceil() as u32;
                let output = output.min(max_tokens);
                let now = TimePoint::from_micros((at * 1e6) as u64);
                let spec = RequestSpec { max_tokens, ..request(catalog, row, 0, account, now) };
                arrivals.push(Arrival { at: now, account, output, spec });
            }
        }
        start += seconds;
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.spec.id = RequestId(index as u128 + 1);
    }
    arrivals
}

/// Recorded events of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcome {
    pub starts: u32,
    pub preemptions: u32,
    pub tokens: u32,
    pub first_token: Option<TimePoint>,
    pub finished: Option<TimePoint>,
    pub refused: Option<TimePoint>,
    pub aborted: Option<TimePoint>,
}

/// Time between two output tokens of one request.
pub const STEP_TIME: Duration = Duration::from_millis(25);

/// Prompt tokens that the engine prefills in one step.
const PREFILL_PER_STEP: u32 = 500;

/// Number of output tokens in one progress report.
const REPORT_TOKENS: u32 = 4;

struct EngineRun {
    prefill_steps: u32,
    unreported: u32,
}

/// Engine of constant speed with its queue and the outcome of each request.
pub struct SimulatedEndpoint<'a> {
    pub catalog: &'a ServiceCatalog,
    pub queue: EndpointQueue,
    pub arrivals: Vec<Arrival>,
    pub outcomes: Vec<RequestOutcome>,
    pub now: TimePoint,
    /// Output tokens of each class and account in each second.
    pub tokens: Vec<BTreeMap<(ClassKey, usize), u32>>,
    /// Number of requests that waited at the end of each second, by class and account.
    pub waiting: Vec<BTreeMap<(ClassKey, usize), u32>>,
    running: BTreeMap<u128, EngineRun>,
    queued: BTreeMap<u128, (ClassKey, usize)>,
    next: usize,
}

impl<'a> SimulatedEndpoint<'a> {
    pub fn new(
        catalog: &'a ServiceCatalog,
        queue: EndpointQueue,
        arrivals: Vec<Arrival>,
    ) -> SimulatedEndpoint<'a> {
        SimulatedEndpoint {
            catalog,
            queue,
            outcomes: vec![RequestOutcome::default(); arrivals.len()],
            arrivals,
            now: TimePoint::ZERO,
            tokens: Vec::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            next: 0,
        }
    }

    /// Simulates `seconds`; calls `on_step` with each event and the resulting actions.
    pub fn run(&mut self, seconds: u64, on_step: &mut dyn FnMut(&QueueEvent, &[QueueAction])) {
        let steps = seconds * 1_000_000 / STEP_TIME.as_micros() as u64;
        for step in 0..steps {
            while self.next < self.arrivals.len() && self.arrivals[self.next].at <= self.now {
                let spec = self.arrivals[self.next].spec.clone();
                self.queued.insert(spec.id.0, self.class_and_account(self.next));
                self.next += 1;
                self.send(QueueEvent::Arrive(spec), on_step);
            }
            self.step_engine(on_step);
            if step % 4 == 3 {
                self.send(QueueEvent::Tick, on_step);
            }
            if step % 40 == 39 {
                let mut waiting = BTreeMap::new();
                for class_and_account in self.queued.values() {
                    *waiting.entry(*class_and_account).or_default() += 1;
                }
                self.waiting.push(waiting);
            }
            self.now = self.now + STEP_TIME;
        }
    }

    fn class_and_account(&self, index: usize) -> (ClassKey, usize) {
        (self.arrivals[index].spec.class, self.arrivals[index].account)
    }

    fn step_engine(&mut self, on_step: &mut dyn FnMut(&QueueEvent, &[QueueAction])) {
        let ids: Vec<u128> = self.running.keys().copied().collect();
        for id in ids {
            let class_and_account = self.class_and_account(id as usize - 1);
            let Some(run) = self.running.get_mut(&id) else { continue };
            if run.prefill_steps > 0 {
                run.prefill_steps -= 1;
                continue;
            }
            run.unreported += 1;
            let index = id as usize - 1;
            let outcome = &mut self.outcomes[index];
            outcome.tokens += 1;
            let first = outcome.first_token.is_none();
            outcome.first_token.get_or_insert(self.now);
            let done = outcome.tokens >= self.arrivals[index].output;
            let second = (self.now.as_micros() / 1_000_000) as usize;
            if self.tokens.len() <= second {
                self.tokens.resize(second + 1, BTreeMap::new());
            }
            *self.tokens[second].entry(class_and_account).or_default() += 1;
            let request = RequestId(id);
            if first || done || run.unreported >= REPORT_TOKENS {
                let tokens = std::mem::take(&mut run.unreported);
                self.send(QueueEvent::Progress { request, tokens }, on_step);
            }
            if done {
                self.running.remove(&id);
                self.queued.remove(&id);
                self.outcomes[index].finished = Some(self.now);
                self.send(QueueEvent::Finish { request, outcome: RunOutcome::Completed }, on_step);
            }
        }
    }

    /// Sends an event to the queue and performs the resulting actions.
    pub fn send(
        &mut self,
        event: QueueEvent,
        on_step: &mut dyn FnMut(&QueueEvent, &[QueueAction]),
    ) {
        let mut actions = Vec::new();
        self.queue.step(self.now, event.clone(), self.catalog, &mut actions);
        for action in &actions {
            self.apply_action(action);
        }
        on_step(&event, &actions);
    }

    fn apply_action(&mut self, action: &QueueAction) {
        let now = self.now;
        match action {
            QueueAction::Start { request, .. } => {
                let index = request.0 as usize - 1;
                let outcome = &mut self.outcomes[index];
                outcome.starts += 1;
                let prompt = self.arrivals[index].spec.prompt_tokens + outcome.tokens;
                let run =
                    EngineRun { prefill_steps: prompt.div_ceil(PREFILL_PER_STEP), unreported: 0 };
                self.queued.remove(&request.0);
                self.running.insert(request.0, run);
            }
            QueueAction::Refuse { request, .. } => {
                self.queued.remove(&request.0);
                self.outcomes[request.0 as usize - 1].refused = Some(now);
            }
            QueueAction::Preempt { request, .. } => {
                let index = request.0 as usize - 1;
                self.outcomes[index].preemptions += 1;
                self.running.remove(&request.0);
                self.queued.insert(request.0, self.class_and_account(index));
            }
            QueueAction::Abort { request, .. } => {
                self.running.remove(&request.0);
                self.queued.remove(&request.0);
                self.outcomes[request.0 as usize - 1].aborted = Some(now);
            }
        }
    }
}
