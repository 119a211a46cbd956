//! Random sessions that compare the queue with a naive implementation and check invariants
//! after each step.

mod endpoint_simulation;
mod naive_queue;

use std::{collections::BTreeMap, time::Duration};

use endpoint_simulation::{ACCOUNTS, ClassRow, DISIPADORES, SWACHH, catalog, request};
use naive_queue::NaiveQueue;
use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{ClassKey, RequestId},
    queue::{QueueAction, QueueEvent, QueueLimits, TieredQueue},
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const SESSIONS: u64 = 150;
const OPERATIONS: usize = 400;
/// Limits on requests only, and limits on requests and tokens.
const LIMITS: [QueueLimits; 2] = [
    QueueLimits { max_waiting: 4, max_tokens: u64::MAX, class_reserve: 1 },
    QueueLimits { max_waiting: 12, max_tokens: 3_000, class_reserve: 1 },
];
const SLOTS: u32 = 4;
const KV_TOKENS: u64 = 6_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    Running,
    Preempted,
}

#[derive(Clone, Debug)]
struct TrackedRequest {
    spec: RequestSpec,
    stage: Stage,
    starts: u32,
    preemptions: u32,
}

/// Tracks the requests of one queue from its events and actions, and checks that each action is
/// allowed.
struct SessionChecker<'a> {
    catalog: &'a ServiceCatalog,
    live: BTreeMap<RequestId, TrackedRequest>,
    limits: QueueLimits,
    slots: u32,
    arrived: usize,
    ended: usize,
    restarts: usize,
}

impl SessionChecker<'_> {
    fn tier(&self, id: RequestId) -> u8 {
        self.catalog.classes[self.live[&id].spec.class].tier
    }

    fn count_in_stage(&self, stage: Stage) -> usize {
        self.live.values().filter(|tracked| tracked.stage == stage).count()
    }

    fn end_request(&mut self, id: RequestId) {
        assert!(self.live.remove(&id).is_some(), "{id:?} ended twice");
        self.ended += 1;
    }

    fn observe_event(&mut self, event: &QueueEvent) {
        match event {
            QueueEvent::Arrive(spec) if !self.live.contains_key(&spec.id) => {
                let tracked = TrackedRequest {
                    spec: spec.clone(),
                    stage: Stage::Waiting,
                    starts: 0,
                    preemptions: 0,
                };
                self.live.insert(spec.id, tracked);
                self.arrived += 1;
            }
            QueueEvent::Finish { request, .. } => {
                let started = |tracked: &TrackedRequest| tracked.stage != Stage::Waiting;
                if self.live.get(request).is_some_and(started) {
                    self.end_request(*request);
                }
            }
            QueueEvent::Cancel { request }
                if self.live.get(request).is_some_and(|t| t.stage == Stage::Waiting) =>
            {
                self.end_request(*request);
            }
            QueueEvent::Resize { slots, .. } => self.slots = *slots,
            _ => {}
        }
    }

    fn check_actions(&mut self, event: &QueueEvent, actions: &[QueueAction]) {
        for (index, action) in actions.iter().enumerate() {
            match action {
                QueueAction::Start { request, resume, reason } => {
                    self.check_start(*request, *resume, reason)
                }
                QueueAction::Refuse { request, reason, retry_after } => {
                    assert!(*retry_after >= Duration::from_millis(250), "{retry_after:?}");
                    self.check_refuse(*request, reason, event);
                }
                QueueAction::Preempt { request, .. } => {
                    self.check_preempt(*request, &actions[index + 1..])
                }
                QueueAction::Abort { request, .. } => {
                    let stage = self.live[request].stage;
                    assert_ne!(stage, Stage::Waiting, "aborted a request that never ran");
                    self.end_request(*request);
                }
            }
        }
    }

    fn check_start(&mut self, id: RequestId, resume: bool, reason: &DecisionReason) {
        assert!(
            self.count_in_stage(Stage::Running) < self.slots as usize,
            "more requests run than there are slots"
        );
        let tier = self.tier(id);
        if *reason != DecisionReason::BelowFloor {
            let ahead = self.live.values().filter(|other| other.stage != Stage::Running);
            let highest = ahead.map(|other| self.catalog.classes[other.spec.class].tier).min();
            assert!(highest >= Some(tier), "tier {tier} started before waiting tier {highest:?}");
        }
        let tracked = self.live.get_mut(&id).expect("a started request is live");
        assert_ne!(tracked.stage, Stage::Running, "{id:?} started while it runs");
        assert_eq!(resume, tracked.stage == Stage::Preempted && tracked.spec.resumable);
        assert!(
            tracked.spec.idempotent || tracked.starts == 0,
            "a non-idempotent request started twice"
        );
        self.restarts += usize::from(tracked.stage == Stage::Preempted && !resume);
        tracked.stage = Stage::Running;
        tracked.starts += 1;
        let running = self.live.values().filter(|tracked| tracked.stage == Stage::Running);
        let prompts: Vec<u64> =
            running.map(|tracked| u64::from(tracked.spec.prompt_tokens)).collect();
        assert!(
            prompts.len() == 1 || prompts.iter().sum::<u64>() <= KV_TOKENS,
            "running prompts exceed the KV cache"
        );
    }

    fn check_preempt(&mut self, id: RequestId, rest: &[QueueAction]) {
        let tier = self.tier(id);
        let next = rest.iter().find_map(|action| match action {
            QueueAction::Start { request, .. } => Some(*request),
            _ => None,
        });
        let successor_tier = self.tier(next.expect("a preemption is followed by a start"));
        assert!(successor_tier < tier, "tier {tier} was preempted for tier {successor_tier}");
        let tracked = self.live.get_mut(&id).expect("a preempted request is live");
        assert_eq!(tracked.stage, Stage::Running);
        assert!(tracked.spec.idempotent, "preempted a non-idempotent request");
        assert!(tracked.preemptions < 2, "{id:?} was preempted more than twice");
        tracked.stage = Stage::Preempted;
        tracked.preemptions += 1;
    }

    fn check_refuse(&mut self, id: RequestId, reason: &DecisionReason, event: &QueueEvent) {
        let tracked = &self.live[&id];
        assert_eq!(
            (tracked.stage, tracked.starts),
            (Stage::Waiting, 0),
            "refused a request that has started"
        );
        let newcomer = match event {
            QueueEvent::Arrive(spec) => self.live.get(&spec.id),
            _ => None,
        };
        let tier = self.tier(id);
        match reason {
            DecisionReason::DisplacedByHigherTier { .. } => {
                let newcomer = newcomer.expect("requests are displaced only by an arrival");
                assert!(
                    self.catalog.classes[newcomer.spec.class].tier < tier,
                    "displaced by a request that is not of a higher tier"
                );
            }
            DecisionReason::OverFairShare => {
                let newcomer = newcomer.expect("requests are displaced only by an arrival");
                assert_eq!(self.catalog.classes[newcomer.spec.class].tier, tier);
            }
            DecisionReason::QueueFull => {
                let lower = |class: &ClassKey| self.catalog.classes[*class].tier > tier;
                let lower: usize = self.count_beyond_reserve(lower);
                let all = self.count_beyond_reserve(|_| true);
                let fits = all - lower <= self.limits.max_waiting as usize;
                let by_tokens = self.limits.max_tokens < u64::MAX;
                assert!(
                    lower == 0 || !fits || by_tokens,
                    "refused although lower tiers hold requests to displace"
                );
            }
            _ => {}
        }
        self.end_request(id);
    }

    /// Returns the number of requests that wait beyond the reserves of the classes that
    /// `chosen` selects.
    fn count_beyond_reserve(&self, chosen: impl Fn(&ClassKey) -> bool) -> usize {
        let mut counts: BTreeMap<ClassKey, usize> = BTreeMap::new();
        for tracked in self.live.values().filter(|tracked| tracked.stage == Stage::Waiting) {
            *counts.entry(tracked.spec.class).or_default() += 1;
        }
        let reserve = self.limits.class_reserve as usize;
        let chosen = counts.iter().filter(|(class, _)| chosen(class));
        chosen.map(|(_, count)| count.saturating_sub(reserve)).sum()
    }

    fn check_totals(&self, queue: &TieredQueue, now: TimePoint) {
        let digest = queue.digest(now);
        let running = self.count_in_stage(Stage::Running);
        assert_eq!(
            digest.running as usize, running,
            "the digest has a wrong number of running requests"
        );
        let waiting = digest.waiting.iter().sum::<u32>() as usize;
        assert_eq!(
            waiting,
            self.live.len() - running,
            "the digest has a wrong number of waiting requests"
        );
        assert_eq!(
            self.arrived,
            self.live.len() + self.ended,
            "arrived requests differ from live and ended requests"
        );
        let idle_with_backlog = running == 0 && waiting > 0 && self.slots > 0;
        assert!(!idle_with_backlog, "requests wait although the endpoint is idle");
    }
}

/// Generates events from random bytes.
struct EventSource<'a> {
    catalog: &'a ServiceCatalog,
    rows: &'static [ClassRow],
    next: u128,
}

impl EventSource<'_> {
    fn event(
        &mut self,
        (kind, pick, amount): (u8, u8, u8),
        now: TimePoint,
        live: &BTreeMap<RequestId, TrackedRequest>,
    ) -> QueueEvent {
        let pick_in_stage = |wanted: Stage| {
            let ids: Vec<RequestId> = live
                .iter()
                .filter(|(_, tracked)| tracked.stage == wanted)
                .map(|(&id, _)| id)
                .collect();
            ids.get(usize::from(pick) % ids.len().max(1)).copied().unwrap_or(RequestId(0))
        };
        match kind % 20 {
            0..=7 => self.arrival(pick, amount, now),
            8..=11 => {
                let tokens = 1 + u32::from(amount % 48);
                QueueEvent::Progress { request: pick_in_stage(Stage::Running), tokens }
            }
            12..=14 => {
                let outcome = if amount == 0 { RunOutcome::Lost } else { RunOutcome::Completed };
                QueueEvent::Finish { request: pick_in_stage(Stage::Running), outcome }
            }
            15 => QueueEvent::Progress { request: pick_in_stage(Stage::Preempted), tokens: 3 },
            16 if amount < 128 => QueueEvent::Cancel { request: pick_in_stage(Stage::Waiting) },
            16 => QueueEvent::Cancel { request: pick_in_stage(Stage::Running) },
            17 if amount < 8 => QueueEvent::Resize { slots: 0, kv_tokens: KV_TOKENS },
            17 => QueueEvent::Resize { slots: 1 + u32::from(amount % 6), kv_tokens: KV_TOKENS },
            18 if amount == 254 => QueueEvent::Drain,
            18 => {
                let request = pick_in_stage(Stage::Preempted);
                QueueEvent::Finish { request, outcome: RunOutcome::Completed }
            }
            _ => QueueEvent::Tick,
        }
    }

    fn arrival(&mut self, pick: u8, amount: u8, now: TimePoint) -> QueueEvent {
        let row = &self.rows[usize::from(pick) % self.rows.len()];
        if amount >= 5 {
            self.next += 1;
        }
        let account = usize::from(amount / 3) % ACCOUNTS;
        let spec = request(self.catalog, row, self.next, account, now);
        let resumable = spec.resumable && !amount.is_multiple_of(4);
        let idempotent = spec.idempotent && !amount.is_multiple_of(7);
        let max_tokens = if amount.is_multiple_of(2) { 0 } else { 16 + 8 * u32::from(amount) };
        let prompt_tokens = match amount % 10 {
            0 => 0,
            5 => 16,
            _ => spec.prompt_tokens,
        };
        QueueEvent::Arrive(RequestSpec { resumable, idempotent, max_tokens, prompt_tokens, ..spec })
    }
}

/// Guards against indexes and running totals of the queue that diverge from its requests, and
/// against actions that break an invariant, such as a second run of a non-idempotent request.
#[test]
fn queue_matches_the_naive_queue_and_keeps_its_invariants() {
    let mut action_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (rows, base) in [(SWACHH, 0), (DISIPADORES, 10_000)] {
        let catalog = catalog(rows);
        for seed in base..base + SESSIONS {
            let mut random = Gen::from_size_and_seed(OPERATIONS, seed);
            let limits = LIMITS[seed as usize % LIMITS.len()];
            let mut queue = TieredQueue::new(SLOTS, KV_TOKENS, 160.0).with_limits(limits);
            let mut naive = NaiveQueue::new(&catalog, SLOTS, KV_TOKENS, 160.0, limits);
            let mut source = EventSource { catalog: &catalog, rows, next: 1 };
            let mut checker = SessionChecker {
                catalog: &catalog,
                live: BTreeMap::new(),
                limits,
                slots: SLOTS,
                arrived: 0,
                ended: 0,
                restarts: 0,
            };
            let mut now = TimePoint::ZERO;
            for step in 0..OPERATIONS {
                let bytes = <(u8, u8, u8)>::arbitrary(&mut random);
                now = now + Duration::from_millis(u64::from(u8::arbitrary(&mut random)) / 2);
                let event = source.event(bytes, now, &checker.live);
                let (mut actions, mut expected) = (Vec::new(), Vec::new());
                checker.observe_event(&event);
                queue.step(now, event.clone(), &catalog, &mut actions);
                naive.step(now, event.clone(), &mut expected);
                assert_eq!(actions, expected, "seed {seed} step {step} {event:?}");
                checker.check_actions(&event, &actions);
                checker.check_totals(&queue, now);
                assert_eq!(naive.live_requests(), checker.live.len());
                actions.iter().for_each(|action| {
                    *action_counts.entry(action_label(action)).or_default() += 1
                });
            }
            *action_counts.entry("restart").or_default() += checker.restarts;
        }
    }
    // The sessions must cover every kind of decision.
    for label in [
        "start",
        "below floor",
        "preempt",
        "displaced",
        "over fair share",
        "queue full",
        "deadline unreachable",
        "abort",
    ] {
        assert!(
            action_counts.get(label).is_some_and(|&count| count >= 20),
            "{label}: {action_counts:?}"
        );
    }
}

fn action_label(action: &QueueAction) -> &'static str {
    match action {
        QueueAction::Start { reason: DecisionReason::BelowFloor, .. } => "below floor",
        QueueAction::Start { .. } => "start",
        QueueAction::Preempt { .. } => "preempt",
        QueueAction::Abort { .. } => "abort",
        QueueAction::Refuse { reason, .. } => match reason {
            DecisionReason::DisplacedByHigherTier { .. } => "displaced",
            DecisionReason::OverFairShare => "over fair share",
            DecisionReason::QueueFull => "queue full",
            DecisionReason::DeadlineUnreachable { .. } => "deadline unreachable",
            _ => "other refusal",
        },
    }
}
