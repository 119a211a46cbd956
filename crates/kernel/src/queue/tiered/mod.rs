//! Queue with strict priority tiers, guaranteed shares for classes and fair shares for
//! accounts.
//!
//! Each submodule implements one part of the policy: `admit` admits requests and displaces
//! others, `deadline` refuses requests that cannot meet their deadline, `estimate` computes
//! expected waits, `start` selects the next request and `preempt` stops running requests for a
//! higher tier.

mod admit;
mod deadline;
mod estimate;
mod preempt;
mod start;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use slotmap::SlotMap;

use crate::{
    catalog::ServiceCatalog,
    ids::{AccountKey, ClassKey, RequestId},
    predict::LengthPredictor,
    queue::{
        EndpointQueue, QueueAction, QueueCall, QueueEvent, QueueLimits, QueuePolicy,
        class_queue::ClassQueue,
        job::{JobKey, JobState, OUTPUT_TOKEN_WORK, QueuePosition, QueuedJob},
        speed::SpeedMeter,
        window::TokenWindow,
    },
    reason::DecisionReason,
    request::RunOutcome,
    time::TimePoint,
};

inventory::submit! {
    QueuePolicy {
        name: "tiered",
        build: |slots, kv_tokens, tokens_per_second| {
            let mut queue = TieredQueue::new(slots, kv_tokens, tokens_per_second);
            EndpointQueue::new(move |call| match call {
                QueueCall::Step { now, event, catalog, actions } => {
                    queue.step(now, event, catalog, actions);
                }
                QueueCall::Digest { now, digest } => *digest = queue.digest(now),
            })
        },
    }
}

/// Load figures of one queue. The agent copies them into the
/// [`EndpointDigest`](crate::route::EndpointDigest), which it sends to the entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueDigest {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests by tier; index 0 is the highest tier.
    pub waiting: Vec<u32>,
    /// Expected output tokens of running and waiting requests.
    pub pending_tokens: u64,
    /// Mean output tokens per second over the last seven complete seconds.
    pub tokens_per_second: f64,
    /// Mean time between two output tokens of one request or, for a plain service, the mean time of
    /// a call.
    pub step_time: Duration,
}

/// Queue of one endpoint with strict tiers, class floors and fair account shares.
///
/// Decisions depend only on the settings of the queue and on the arguments of the calls of
/// [`step`](TieredQueue::step), and work and service are counted in integers. The same events at
/// the same times therefore always give the same actions.
#[derive(Clone, Debug)]
pub struct TieredQueue {
    slots: u32,
    kv_tokens: u64,
    limits: QueueLimits,
    speed: SpeedMeter,
    predictor: LengthPredictor,
    jobs: SlotMap<JobKey, QueuedJob>,
    keys: HashMap<RequestId, JobKey>,
    classes: BTreeMap<ClassKey, ClassQueue>,
    /// For each tier, the highest service counter that a class of the tier had when one of its
    /// requests started. The counter of a class that had no waiting request is raised to at least
    /// this value.
    tier_virtual_time: BTreeMap<u8, u64>,
    /// Class and account of all waiting requests.
    backlogged_accounts: BTreeSet<(ClassKey, AccountKey)>,
    /// Entry of `backlogged_accounts` after which the next tick continues the search for requests
    /// that cannot meet their deadline; `None` before the first search.
    last_checked_account: Option<(ClassKey, AccountKey)>,
    /// Time of the next deadline check of each request, with its sequence number and key.
    timers: BTreeSet<(TimePoint, u64, JobKey)>,
    running: Vec<JobKey>,
    preempted_count: u32,
    kv_used: u64,
    /// Output tokens still expected from the running requests.
    running_tokens: u64,
    produced: TokenWindow,
    served_tokens: u64,
    /// Tokens lost to preemption so far: the prompts of preempted requests that must start again,
    /// and the output of preempted requests that were aborted later.
    wasted_tokens: u64,
    next_sequence: u64,
    draining: bool,
}

impl TieredQueue {
    /// Returns an empty queue for an endpoint that runs `slots` requests concurrently.
    ///
    /// `kv_tokens` is the size of the KV cache in tokens, 0 for an endpoint without one.
    /// `tokens_per_second` is the speed with all slots in use; it applies until a measurement
    /// exists.
    pub fn new(slots: u32, kv_tokens: u64, tokens_per_second: f64) -> TieredQueue {
        TieredQueue {
            slots,
            kv_tokens: effective_kv_tokens(kv_tokens),
            limits: QueueLimits::default(),
            speed: SpeedMeter::new(slots, tokens_per_second),
            predictor: LengthPredictor::new(),
            jobs: SlotMap::with_key(),
            keys: HashMap::new(),
            classes: BTreeMap::new(),
            tier_virtual_time: BTreeMap::new(),
            backlogged_accounts: BTreeSet::new(),
            last_checked_account: None,
            timers: BTreeSet::new(),
            running: Vec::new(),
            preempted_count: 0,
            kv_used: 0,
            running_tokens: 0,
            produced: TokenWindow::default(),
            served_tokens: 0,
            wasted_tokens: 0,
            next_sequence: 0,
            draining: false,
        }
    }

    /// Replaces the limits on waiting requests.
    pub fn with_limits(mut self, limits: QueueLimits) -> TieredQueue {
        self.limits = limits;
        self
    }

    /// Returns the size in bytes of the state of one request, without allocator overhead.
    ///
    /// This covers the request and its entries in the indexes by identifier, timer and account.
    pub fn bytes_per_request() -> usize {
        size_of::<QueuedJob>()
            + size_of::<(RequestId, JobKey)>()
            + size_of::<(TimePoint, u64, JobKey)>()
            + size_of::<(QueuePosition, JobKey)>()
    }

    /// Returns the number of waiting requests, preempted ones included.
    pub fn waiting(&self) -> usize {
        self.jobs.len() - self.running.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: TimePoint,
        event: QueueEvent,
        catalog: &ServiceCatalog,
        actions: &mut Vec<QueueAction>,
    ) {
        if self.running.is_empty() {
            self.speed.reset_if_stale(now);
        }
        match event {
            QueueEvent::Arrive(request) => self.arrive(now, request, catalog, actions),
            QueueEvent::Progress { request, tokens } => self.progress(now, request, tokens),
            QueueEvent::Finish { request, outcome } => self.finish(now, request, outcome),
            QueueEvent::Cancel { request } => self.cancel(request, actions),
            QueueEvent::Resize { slots, kv_tokens } => self.resize(slots, kv_tokens, actions),
            QueueEvent::Drain => self.draining = true,
            QueueEvent::Tick => self.refuse_deadline_misses(now, actions),
        }
        self.expire(now, actions);
        self.fill_slots(now, actions);
        self.preempt_for_urgent(now, actions);
    }

    /// Returns the load figures for the endpoint's digest.
    pub fn digest(&self, now: TimePoint) -> QueueDigest {
        let tiers = self.classes.values().map(|class| usize::from(class.tier) + 1).max();
        let mut waiting = vec![0; tiers.unwrap_or(0)];
        for class in self.classes.values() {
            waiting[usize::from(class.tier)] += class.waiting;
        }
        let pending = self.jobs.values().map(|job| u64::from(job.tokens_left())).sum();
        QueueDigest {
            running: self.running.len() as u32,
            waiting,
            pending_tokens: pending,
            tokens_per_second: self.produced.clone().rate(now),
            step_time: self.speed.token_interval(),
        }
    }

    /// Records output tokens of a request that runs or that waits after a preemption.
    fn progress(&mut self, now: TimePoint, request: RequestId, tokens: u32) {
        let Some(&key) = self.keys.get(&request) else { return };
        let job = self.jobs[key].clone();
        let class = job.spec.class;
        match job.state {
            JobState::Queued => return,
            JobState::Running => self.record_speed(now, &job, tokens),
            JobState::Preempted => {}
        }
        self.count_tokens(now, class, tokens);
        if job.state == JobState::Preempted {
            self.dequeue(key);
        }
        let generated = job.generated.saturating_add(tokens);
        let mut expected = job.expected_tokens;
        if generated >= expected {
            let spec = &job.spec;
            let (account, model) = (spec.account, spec.model);
            let forecast =
                self.predictor.forecast(class, account, model, generated, spec.max_tokens);
            expected = generated.saturating_add(forecast.mean);
        }
        let more = u64::from(expected - job.expected_tokens);
        let left_before = u64::from(job.tokens_left());
        let job = &mut self.jobs[key];
        job.generated = generated;
        job.expected_tokens = expected;
        job.last_event = now;
        if job.state == JobState::Preempted {
            self.enqueue(key);
            return;
        }
        job.kv_reserved += more;
        job.charged_work += more * OUTPUT_TOKEN_WORK;
        self.running_tokens = self.running_tokens + u64::from(job.tokens_left()) - left_before;
        let account = job.spec.account;
        self.kv_used += more;
        if let Some(class) = self.classes.get_mut(&class) {
            class.charge(account, more * OUTPUT_TOKEN_WORK, 0);
        }
    }

    /// Records the speed at which a running request produced `tokens`.
    fn record_speed(&mut self, now: TimePoint, job: &QueuedJob, tokens: u32) {
        let elapsed = now.since(job.last_event);
        if job.generated == job.generated_at_start {
            self.speed.record_first_token(now, job.prompt_left(), elapsed);
        } else {
            self.speed.record_tokens(now, tokens, elapsed);
        }
    }

    /// Adds tokens of the class `owner` to the windows of all classes that have waiting or
    /// running requests.
    fn count_tokens(&mut self, now: TimePoint, owner: ClassKey, tokens: u32) {
        self.served_tokens += u64::from(tokens);
        self.produced.add(now, tokens, tokens);
        for (&key, class) in &mut self.classes {
            if class.has_work() {
                let own = if key == owner { tokens } else { 0 };
                class.window.add(now, own, tokens);
            }
        }
    }

    /// Removes a request that ended at the endpoint; if it completed, its output length is
    /// recorded.
    fn finish(&mut self, now: TimePoint, request: RequestId, outcome: RunOutcome) {
        let Some(&key) = self.keys.get(&request) else { return };
        let job = self.jobs[key].clone();
        if job.state == JobState::Queued {
            return;
        }
        if outcome == RunOutcome::Completed {
            if job.generated == 0 {
                if job.spec.prompt_tokens == 0 {
                    self.speed.record_call(now, now.since(job.started));
                }
                // Without reported tokens, the request counts as one token, so that it contributes to
                // the share of its class.
                self.count_tokens(now, job.spec.class, 1);
            }
            let spec = &job.spec;
            self.predictor.observe(spec.class, spec.account, spec.model, job.generated);
        }
        self.remove_job(key);
    }

    /// Removes a request whose caller disconnected and aborts it if it has run.
    fn cancel(&mut self, request: RequestId, actions: &mut Vec<QueueAction>) {
        let Some(&key) = self.keys.get(&request) else { return };
        if self.jobs[key].state != JobState::Queued {
            actions.push(QueueAction::Abort { request, reason: DecisionReason::CallerGone });
        }
        self.remove_job(key);
    }

    /// Sets a new capacity. With 0 slots, all waiting requests are refused or aborted
    /// immediately.
    fn resize(&mut self, slots: u32, kv_tokens: u64, actions: &mut Vec<QueueAction>) {
        self.slots = slots;
        self.kv_tokens = effective_kv_tokens(kv_tokens);
        if slots > 0 {
            return;
        }
        let mut waiting: Vec<JobKey> =
            self.jobs.keys().filter(|&key| self.jobs[key].state != JobState::Running).collect();
        waiting.sort_unstable_by_key(|&key| self.jobs[key].sequence);
        for key in waiting {
            self.refuse_or_abort(key, DecisionReason::EndpointDown, actions);
        }
    }

    /// Ends a request: refuses it if it never started, else aborts it.
    fn refuse_or_abort(
        &mut self,
        key: JobKey,
        reason: DecisionReason,
        actions: &mut Vec<QueueAction>,
    ) {
        let request = self.jobs[key].spec.id;
        if self.jobs[key].state == JobState::Queued {
            let retry_after = self.retry_after(&self.jobs[key].spec);
            actions.push(QueueAction::Refuse { request, reason, retry_after });
        } else {
            if self.jobs[key].preemptions > 0 {
                self.wasted_tokens += u64::from(self.jobs[key].generated);
            }
            actions.push(QueueAction::Abort { request, reason });
        }
        self.remove_job(key);
    }

    /// Removes a request in any state from the queue.
    fn remove_job(&mut self, key: JobKey) {
        if self.jobs[key].state == JobState::Running {
            self.stop_running(key);
        } else {
            self.dequeue(key);
        }
        if let Some(job) = self.jobs.remove(key) {
            self.timers.remove(&(job.next_check, job.sequence, key));
            self.keys.remove(&job.spec.id);
        }
    }

    /// Adds a request to the waiting requests of its account.
    fn enqueue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.state == JobState::Preempted {
            self.preempted_count += 1;
        }
        let Some(class) = self.classes.get_mut(&job.spec.class) else { return };
        if class.waiting == 0 {
            let start = self.tier_virtual_time.get(&class.tier).copied().unwrap_or(0);
            class.counter = class.counter.max(start);
        }
        class.insert(key, job);
        self.backlogged_accounts.insert((job.spec.class, job.spec.account));
    }

    /// Removes a request from the waiting requests of its account.
    fn dequeue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.state == JobState::Preempted {
            self.preempted_count -= 1;
        }
        let Some(class) = self.classes.get_mut(&job.spec.class) else { return };
        class.remove(job);
        if class.account_queues.get(&job.spec.account).is_none_or(|queue| queue.jobs.is_empty()) {
            self.backlogged_accounts.remove(&(job.spec.class, job.spec.account));
        }
    }

    /// Sets the time of the next deadline check of a request.
    fn set_timer(&mut self, key: JobKey, timer: TimePoint) {
        let job = &mut self.jobs[key];
        self.timers.remove(&(job.next_check, job.sequence, key));
        job.next_check = timer;
        self.timers.insert((timer, job.sequence, key));
    }
}

/// Returns the KV cache size to plan with; practically unlimited for an endpoint without a KV
/// cache.
fn effective_kv_tokens(kv_tokens: u64) -> u64 {
    if kv_tokens == 0 { u64::MAX / 2 } else { kv_tokens }
}
