//! Reference implementation of the tiered queue that computes every value with plain loops over
//! all requests, without indexes or running totals.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{AccountKey, ClassKey, RequestId},
    predict::LengthPredictor,
    queue::{QueueAction, QueueEvent, QueueLimits},
    reason::DecisionReason as Reason,
    request::{RequestSpec, RunOutcome},
    time::TimePoint,
};

#[derive(Clone, Copy, PartialEq)]
enum State {
    Queued,
    Running,
    Preempted,
}

#[derive(Clone)]
struct Job {
    spec: RequestSpec,
    sequence: u64,
    state: State,
    /// 0 for preempted, 1 for on time, 2 for late.
    rank: u8,
    preemptions: u8,
    generated: u32,
    expected: u32,
    deadline_tokens_left: u32,
    preemptible: bool,
    charged_work: u64,
    generated_at_start: u32,
    kv_reserved: u64,
    last_event: TimePoint,
    started: TimePoint,
    timer: TimePoint,
}

impl Job {
    fn tokens_left(&self) -> u32 {
        self.expected.saturating_sub(self.generated)
    }

    fn prompt_left(&self) -> u32 {
        if self.generated == 0 { self.spec.prompt_tokens } else { 0 }
    }

    fn work_left(&self) -> u64 {
        (u64::from(self.prompt_left()) + 4 * u64::from(self.tokens_left())).max(1)
    }

    fn waiting_tokens(&self) -> u64 {
        u64::from(self.spec.prompt_tokens) + u64::from(self.expected)
    }

    fn position(&self) -> (u8, TimePoint, u64) {
        (self.rank, self.spec.deadline, self.sequence)
    }
}

/// Output tokens of one report and the classes that had waiting or running requests at that
/// time.
struct Produced {
    second: u64,
    owner: ClassKey,
    tokens: u32,
    busy: BTreeSet<ClassKey>,
}

struct Speed {
    configured: u64,
    token_interval: u64,
    prefill: u64,
    last_sample: TimePoint,
}

fn moving_average(value: u64, sample: u64, weight: u64, length: u64) -> u64 {
    let weight = weight.min(length / 4);
    (value * (length - weight) + sample * weight) / length
}

pub struct NaiveQueue<'a> {
    catalog: &'a ServiceCatalog,
    slots: u32,
    kv_tokens: u64,
    limits: QueueLimits,
    jobs: Vec<Job>,
    produced: Vec<Produced>,
    account_counters: BTreeMap<(ClassKey, AccountKey), u64>,
    class_counters: BTreeMap<ClassKey, u64>,
    class_time: BTreeMap<ClassKey, u64>,
    tier_time: BTreeMap<u8, u64>,
    predictor: LengthPredictor,
    speed: Speed,
    served: u64,
    wasted: u64,
    next: u64,
    last_checked_account: Option<(ClassKey, AccountKey)>,
    draining: bool,
}

type Actions<'a> = &'a mut Vec<QueueAction>;

impl<'a> NaiveQueue<'a> {
    pub fn new(
        catalog: &'a ServiceCatalog,
        slots: u32,
        kv_tokens: u64,
        rate: f64,
        limits: QueueLimits,
    ) -> NaiveQueue<'a> {
        let token_interval = ((f64::from(slots) / rate * 1e9) as u64).max(1);
        let speed = Speed {
            configured: token_interval,
            token_interval,
            prefill: token_interval / 20,
            last_sample: TimePoint::ZERO,
        };
        NaiveQueue {
            catalog,
            slots,
            kv_tokens,
            limits,
            jobs: Vec::new(),
            produced: Vec::new(),
            account_counters: BTreeMap::new(),
            class_counters: BTreeMap::new(),
            class_time: BTreeMap::new(),
            tier_time: BTreeMap::new(),
            predictor: LengthPredictor::new(),
            speed,
            served: 0,
            wasted: 0,
            next: 0,
            last_checked_account: None,
            draining: false,
        }
    }

    pub fn step(&mut self, now: TimePoint, event: QueueEvent, actions: Actions) {
        if self.count(|job| job.state == State::Running) == 0
            && now.since(self.speed.last_sample) > Duration::from_secs(10)
        {
            self.speed.token_interval = self.speed.configured;
            self.speed.prefill = self.speed.configured / 20;
            self.speed.last_sample = now;
        }
        match event {
            QueueEvent::Arrive(spec) => self.arrive(now, spec, actions),
            QueueEvent::Progress { request, tokens } => self.progress(now, request, tokens),
            QueueEvent::Finish { request, outcome } => self.finish(now, request, outcome),
            QueueEvent::Cancel { request } => {
                if let Some(index) = self.find(request) {
                    if self.jobs[index].state != State::Queued {
                        actions.push(QueueAction::Abort { request, reason: Reason::CallerGone });
                    }
                    self.remove_job(request);
                }
            }
            QueueEvent::Resize { slots, kv_tokens } => {
                (self.slots, self.kv_tokens) = (slots, kv_tokens);
                let mut waiting: Vec<_> = self.jobs.iter().filter(|job| Self::waits(job)).collect();
                waiting.sort_by_key(|job| job.sequence);
                let ids: Vec<_> = waiting.iter().map(|job| job.spec.id).collect();
                for id in ids.into_iter().filter(|_| slots == 0) {
                    self.refuse_or_abort(id, Reason::EndpointDown, actions);
                }
            }
            QueueEvent::Drain => self.draining = true,
            QueueEvent::Tick => self.refuse_deadline_misses(now, actions),
        }
        self.expire(now, actions);
        self.fill_slots(now, actions);
        self.preempt_for_urgent(now, actions);
    }

    pub fn live_requests(&self) -> usize {
        self.jobs.len()
    }

    fn count(&self, test: impl Fn(&Job) -> bool) -> u32 {
        self.jobs.iter().filter(|job| test(job)).count() as u32
    }

    fn sum(&self, test: impl Fn(&Job) -> bool, value: impl Fn(&Job) -> u64) -> u64 {
        self.jobs.iter().filter(|job| test(job)).map(value).sum()
    }

    fn find(&self, request: RequestId) -> Option<usize> {
        self.jobs.iter().position(|job| job.spec.id == request)
    }

    fn tier(&self, class: ClassKey) -> u8 {
        self.catalog.classes[class].tier
    }

    fn weight(&self, account: AccountKey) -> u64 {
        u64::from(self.catalog.accounts[account].weight)
    }

    fn floor_ppm(&self, class: ClassKey) -> u64 {
        ((self.catalog.classes[class].floor * 1e6) as u64).max(10_000)
    }

    fn account_counter(&self, class: ClassKey, account: AccountKey) -> u64 {
        self.account_counters.get(&(class, account)).copied().unwrap_or(0)
    }

    fn class_counter(&self, class: ClassKey) -> u64 {
        self.class_counters.get(&class).copied().unwrap_or(0)
    }

    fn waits(job: &Job) -> bool {
        job.state != State::Running
    }

    /// Returns the classes with waiting requests.
    fn waiting_classes(&self) -> BTreeSet<ClassKey> {
        self.jobs.iter().filter(|job| Self::waits(job)).map(|job| job.spec.class).collect()
    }

    /// Returns the accounts of a class with waiting requests, the least served account first.
    fn waiting_accounts(&self, class: ClassKey) -> Vec<AccountKey> {
        let jobs = self.jobs.iter().filter(|job| Self::waits(job) && job.spec.class == class);
        let accounts: BTreeSet<_> = jobs.map(|job| job.spec.account).collect();
        let mut accounts: Vec<_> = accounts.into_iter().collect();
        accounts.sort_by_key(|&account| (self.account_counter(class, account), account));
        accounts
    }

    /// Returns the waiting requests of an account in the order in which they start.
    fn account_queue(&self, class: ClassKey, account: AccountKey) -> Vec<&Job> {
        let owner = (class, account);
        let is_waiting =
            |job: &&Job| Self::waits(job) && (job.spec.class, job.spec.account) == owner;
        let mut jobs: Vec<_> = self.jobs.iter().filter(is_waiting).collect();
        jobs.sort_by_key(|job| job.position());
        jobs
    }

    fn token_interval(&self) -> Duration {
        Duration::from_nanos(self.speed.token_interval)
    }

    fn time_to_first_token(&self, prompt: u32) -> Duration {
        Duration::from_nanos(self.speed.prefill * (u64::from(prompt) + 64))
    }

    fn needed_time(&self, job: &Job) -> Duration {
        self.time_to_first_token(job.prompt_left())
            + Duration::from_nanos(self.speed.token_interval * u64::from(job.deadline_tokens_left))
    }

    fn need_tokens(&self, job: &Job) -> u32 {
        let spec = &job.spec;
        let (class, account, model) = (spec.class, spec.account, spec.model);
        let forecast =
            self.predictor.forecast(class, account, model, job.generated, spec.max_tokens);
        if !forecast.learned {
            return forecast.mean.min(32);
        }
        let deadline = self.catalog.classes[class].deadline.as_micros() as u64;
        let half =
            u32::try_from(deadline * 1000 / 2 / self.speed.token_interval).unwrap_or(u32::MAX);
        forecast.high.min(forecast.mean.max(half))
    }

    fn expected_wait(&self, class: ClassKey, account: AccountKey, account_work: u64) -> Duration {
        let running = self.count(|job| job.state == State::Running);
        if self.jobs.len() as u32 == running && running < self.slots {
            return Duration::ZERO;
        }
        let class_work =
            |key| self.sum(|job| Self::waits(job) && job.spec.class == key, Job::work_left);
        let own = class_work(class);
        let weight = self.weight(account);
        let others: u64 = self
            .waiting_accounts(class)
            .into_iter()
            .filter(|&other| other != account)
            .map(|other| self.weight(other))
            .sum();
        let counter = self.account_counter(class, account);
        let lead = counter.saturating_sub(self.class_time.get(&class).copied().unwrap_or(0));
        let turn = (account_work * (others + weight) / weight + lead / 1024 * others).min(own);
        let tier = self.tier(class);
        let mut ahead = turn;
        for other in self.waiting_classes() {
            if self.tier(other) < tier {
                ahead += class_work(other);
            } else if self.tier(other) == tier && other != class {
                ahead += class_work(other).min(turn);
            }
        }
        let waiting = self.count(|job| Self::waits(job) && job.spec.class == class);
        let mean = own / u64::from(waiting.max(1));
        let ahead = ahead.min((turn + mean) * 1_000_000 / self.floor_ppm(class));
        let kv_used = self.sum(|job| job.state == State::Running, |job| job.kv_reserved);
        let usable = match kv_used {
            0 => u64::from(self.slots.max(1)),
            used => (u128::from(self.kv_tokens) * u128::from(running) / u128::from(used))
                .clamp(1, u128::from(self.slots.max(1))) as u64,
        };
        let queue_time = Duration::from_micros(
            (u128::from(ahead) * u128::from(self.speed.token_interval) / u128::from(usable * 4000))
                as u64,
        );
        let can_preempt =
            self.count(|job| job.is_preemptible_now() && self.tier(job.spec.class) > tier) > 0;
        if running < self.slots || can_preempt {
            return queue_time;
        }
        let tokens =
            self.sum(|job| job.state == State::Running, |job| u64::from(job.tokens_left()));
        let running = u64::from(running.max(1));
        queue_time + self.token_interval() * (tokens / running / running) as u32
    }

    fn check_deadline(&self, now: TimePoint, job: &Job, wait: Duration) -> Result<(), Reason> {
        let needed = wait + self.needed_time(job);
        let left = job.spec.time_left(now);
        let (needed_ms, left_ms) = (needed.as_millis() as u64, left.as_millis() as u64);
        if needed <= left {
            Ok(())
        } else {
            Err(Reason::DeadlineUnreachable { needed_ms, left_ms })
        }
    }

    fn retry_after(&self, spec: &RequestSpec) -> Duration {
        let account_work =
            self.account_queue(spec.class, spec.account).iter().map(|job| job.work_left()).sum();
        let wait = self.expected_wait(spec.class, spec.account, account_work);
        let base = wait.clamp(Duration::from_millis(500), Duration::from_secs(30));
        let base = base.as_micros() as u64;
        let mut hash = (spec.id.0 as u64) ^ ((spec.id.0 >> 64) as u64);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Duration::from_micros(base / 2 + (hash ^ (hash >> 31)) % base)
    }

    fn arrive(&mut self, now: TimePoint, spec: RequestSpec, actions: Actions) {
        if self.find(spec.id).is_some() {
            return;
        }
        if let Err(reason) = self.admit(now, &spec, actions) {
            let retry_after = self.retry_after(&spec);
            actions.push(QueueAction::Refuse { request: spec.id, reason, retry_after });
        }
    }

    fn admit(
        &mut self,
        now: TimePoint,
        spec: &RequestSpec,
        actions: Actions,
    ) -> Result<(), Reason> {
        if self.draining {
            return Err(Reason::Draining);
        }
        if self.slots == 0 {
            return Err(Reason::EndpointDown);
        }
        let needed = u64::from(spec.prompt_tokens) + 1;
        if needed > self.kv_tokens {
            return Err(Reason::TooLarge { needed, capacity: self.kv_tokens });
        }
        let (class, account) = (spec.class, spec.account);
        let forecast = self.predictor.forecast(class, account, spec.model, 0, spec.max_tokens);
        let mut job = Job {
            spec: spec.clone(),
            sequence: self.next,
            state: State::Queued,
            rank: 1,
            preemptions: 0,
            generated: 0,
            expected: forecast.mean,
            deadline_tokens_left: 0,
            preemptible: false,
            charged_work: 0,
            generated_at_start: 0,
            kv_reserved: 0,
            last_event: TimePoint::ZERO,
            started: TimePoint::ZERO,
            timer: TimePoint::ZERO,
        };
        job.deadline_tokens_left = self.need_tokens(&job);
        let account_work =
            self.account_queue(class, account).iter().map(|job| job.work_left()).sum();
        self.check_deadline(now, &job, self.expected_wait(class, account, account_work))?;
        self.displace_for(&job, actions)?;
        self.next += 1;
        job.timer = self.wait_timer(&job);
        self.enqueue(job);
        Ok(())
    }

    /// Returns the queued requests of a class beyond its reserve and the queued tokens that
    /// count against the limits; includes `extra` if that request belongs to the class.
    fn shared(&self, class: ClassKey, extra: Option<&Job>) -> (u32, u64) {
        let all = self.jobs.iter().chain(extra);
        let queued: Vec<_> =
            all.filter(|job| job.state == State::Queued && job.spec.class == class).collect();
        let over = (queued.len() as u32).saturating_sub(self.limits.class_reserve);
        (over, if over > 0 { queued.iter().map(|job| job.waiting_tokens()).sum() } else { 0 })
    }

    fn excess(&self, job: &Job) -> (u32, u64) {
        let (mut requests, mut tokens) = (0, 0);
        if self.shared(job.spec.class, Some(job)).0 == 0 {
            return (0, 0);
        }
        for (class, _) in &self.catalog.classes {
            let shared = self.shared(class, Some(job));
            requests += shared.0;
            tokens += shared.1;
        }
        let over = requests.saturating_sub(self.limits.max_waiting);
        (over, tokens.saturating_sub(self.limits.max_tokens))
    }

    fn most_backlogged_account(&self, tier: u8) -> Option<(u64, ClassKey, AccountKey)> {
        let mut all = Vec::new();
        for (class, spec) in &self.catalog.classes {
            if spec.tier == tier && self.shared(class, None).0 > 0 {
                let mut accounts = self.waiting_accounts(class);
                accounts.retain(|&account| self.latest_queued(class, account).is_some());
                for account in accounts {
                    let work: u64 =
                        self.account_queue(class, account).iter().map(|job| job.work_left()).sum();
                    all.push((work * 1024 / self.weight(account), class, account));
                }
            }
        }
        all.into_iter().max()
    }

    fn latest_queued(&self, class: ClassKey, account: AccountKey) -> Option<&Job> {
        let queue = self.account_queue(class, account).into_iter();
        let queued = queue.filter(|job| job.state == State::Queued);
        queued.max_by_key(|job| (job.spec.deadline, job.sequence))
    }

    fn displace_for(&mut self, job: &Job, actions: Actions) -> Result<(), Reason> {
        let tier = self.tier(job.spec.class);
        let excess = self.excess(job);
        if excess == (0, 0) {
            return Ok(());
        }
        let lower: Vec<ClassKey> =
            self.catalog.classes.keys().filter(|&class| self.tier(class) > tier).collect();
        let held: Vec<_> = lower.iter().map(|&class| self.shared(class, None)).collect();
        let requests: u32 = held.iter().map(|held| held.0).sum();
        let tokens: u64 = held.iter().map(|held| held.1).sum();
        if requests >= excess.0.max(1) && tokens >= excess.1 {
            while self.excess(job) != (0, 0) {
                let held = lower.iter().filter(|&&class| self.shared(class, None).0 > 0);
                let lowest = held.map(|&class| self.tier(class)).max();
                let victim = lowest
                    .and_then(|lowest| self.most_backlogged_account(lowest))
                    .and_then(|(_, class, account)| self.latest_queued(class, account))
                    .ok_or(Reason::QueueFull)?;
                self.refuse_or_abort(
                    victim.spec.id,
                    Reason::DisplacedByHigherTier { tier },
                    actions,
                );
            }
            return Ok(());
        }
        let (backlog, class, account) =
            self.most_backlogged_account(tier).ok_or(Reason::QueueFull)?;
        let own = self.account_queue(job.spec.class, job.spec.account);
        let own = own.iter().map(|job| job.work_left()).sum::<u64>() + job.work_left();
        let victim = self.latest_queued(class, account).ok_or(Reason::QueueFull)?;
        let enough = excess.0 <= 1 && excess.1 <= victim.waiting_tokens();
        if backlog <= own * 1024 / self.weight(job.spec.account) || !enough {
            return Err(Reason::QueueFull);
        }
        self.refuse_or_abort(victim.spec.id, Reason::OverFairShare, actions);
        Ok(())
    }

    fn enqueue(&mut self, job: Job) {
        let (class, account) = (job.spec.class, job.spec.account);
        if !self.waiting_classes().contains(&class) {
            let start = self.tier_time.get(&self.tier(class)).copied().unwrap_or(0);
            let counter = self.class_counters.entry(class).or_default();
            *counter = start.max(*counter);
        }
        let active = |other: &Job| (other.spec.class, other.spec.account) == (class, account);
        if self.count(active) == 0 {
            let start = self.class_time.get(&class).copied().unwrap_or(0);
            let counter = self.account_counters.entry((class, account)).or_default();
            *counter = start.max(*counter);
        }
        self.jobs.push(job);
    }

    fn charge(&mut self, class: ClassKey, account: AccountKey, add: u64, sub: u64) {
        let weight = self.weight(account);
        let counter = self.class_counters.entry(class).or_default();
        *counter = (*counter + add).saturating_sub(sub);
        let counter = self.account_counters.entry((class, account)).or_default();
        *counter = (*counter + add * 1024 / weight).saturating_sub(sub * 1024 / weight);
    }

    fn count_tokens(&mut self, now: TimePoint, owner: ClassKey, tokens: u32) {
        let second = now.as_micros() / 1_000_000;
        let busy = self.jobs.iter().map(|job| job.spec.class).collect();
        self.served += u64::from(tokens);
        self.produced.push(Produced { second, owner, tokens, busy });
    }

    fn target_attainment(&self, now: TimePoint, class: ClassKey, running: u32, others: u32) -> u64 {
        let span = 2_000_000_000 / self.speed.token_interval;
        let second = now.as_micros() / 1_000_000;
        let recent = self.produced.iter().filter(|produced| produced.second + 8 > second);
        let (mut own, mut all) = (0, 0);
        for produced in recent.filter(|produced| produced.busy.contains(&class)) {
            own += if produced.owner == class { u64::from(produced.tokens) } else { 0 };
            all += u64::from(produced.tokens);
        }
        own += span * u64::from(running);
        all += span * u64::from((running + others).max(1));
        own * 1_000_000 / (all * (self.floor_ppm(class) * 110 / 100) / 1_000_000).max(1)
    }

    fn progress(&mut self, now: TimePoint, request: RequestId, tokens: u32) {
        let Some(index) = self.find(request) else { return };
        let job = self.jobs[index].clone();
        if job.state == State::Queued {
            return;
        }
        if job.state == State::Running {
            let elapsed = now.since(job.last_event).as_nanos() as u64;
            if job.generated == job.generated_at_start {
                let sample = elapsed / (u64::from(job.prompt_left()) + 64);
                self.speed.prefill = moving_average(self.speed.prefill, sample, 1, 16);
            } else {
                let tokens = u64::from(tokens.max(1));
                self.speed.token_interval =
                    moving_average(self.speed.token_interval, elapsed / tokens, tokens, 256).max(1);
            }
            self.speed.last_sample = now;
        }
        self.count_tokens(now, job.spec.class, tokens);
        let (class, account) = (job.spec.class, job.spec.account);
        let generated = job.generated.saturating_add(tokens);
        let mut expected = job.expected;
        if generated >= expected {
            let max = job.spec.max_tokens;
            let forecast = self.predictor.forecast(class, account, job.spec.model, generated, max);
            expected = generated.saturating_add(forecast.mean);
        }
        let more = u64::from(expected - job.expected);
        if job.state == State::Preempted {
            let mut job = self.jobs.remove(index);
            (job.generated, job.expected, job.last_event) = (generated, expected, now);
            self.enqueue(job);
            return;
        }
        let job = &mut self.jobs[index];
        (job.generated, job.expected, job.last_event) = (generated, expected, now);
        job.kv_reserved += more;
        job.charged_work += more * 4;
        self.charge(class, account, more * 4, 0);
    }

    fn finish(&mut self, now: TimePoint, request: RequestId, outcome: RunOutcome) {
        let Some(index) = self.find(request) else { return };
        let job = self.jobs[index].clone();
        if job.state == State::Queued {
            return;
        }
        if outcome == RunOutcome::Completed {
            let (class, account) = (job.spec.class, job.spec.account);
            if job.generated == 0 {
                if job.spec.prompt_tokens == 0 {
                    let elapsed = now.since(job.started).as_nanos() as u64;
                    self.speed.token_interval =
                        moving_average(self.speed.token_interval, elapsed, 1, 16).max(1);
                    self.speed.prefill = moving_average(self.speed.prefill, 0, 1, 16);
                    self.speed.last_sample = now;
                }
                self.count_tokens(now, class, 1);
            }
            self.predictor.observe(class, account, job.spec.model, job.generated);
        }
        self.remove_job(request);
    }

    fn remove_job(&mut self, request: RequestId) -> Option<Job> {
        let job = self.jobs.remove(self.find(request)?);
        if job.state == State::Running {
            let prompt =
                if job.generated_at_start == 0 { u64::from(job.spec.prompt_tokens) } else { 0 };
            let used = (prompt + 4 * u64::from(job.generated - job.generated_at_start)).max(1);
            self.charge(job.spec.class, job.spec.account, used, job.charged_work);
        }
        Some(job)
    }

    fn refuse_or_abort(&mut self, request: RequestId, reason: Reason, actions: Actions) {
        let Some(index) = self.find(request) else { return };
        let job = &self.jobs[index];
        if job.state == State::Queued {
            let retry_after = self.retry_after(&job.spec);
            actions.push(QueueAction::Refuse { request, reason, retry_after });
        } else {
            self.wasted += if job.preemptions > 0 { u64::from(job.generated) } else { 0 };
            actions.push(QueueAction::Abort { request, reason });
        }
        self.remove_job(request);
    }

    fn latest_on_time_start(&self, job: &Job) -> TimePoint {
        let target = self.catalog.classes[job.spec.class].first_token;
        job.spec.arrived + target - self.time_to_first_token(job.spec.prompt_tokens)
    }

    fn wait_timer(&self, job: &Job) -> TimePoint {
        let latest = job.spec.deadline - self.needed_time(job);
        if job.rank == 1 { latest.min(self.latest_on_time_start(job)) } else { latest }
    }

    fn expire(&mut self, now: TimePoint, actions: Actions) {
        loop {
            let due = self.jobs.iter().filter(|job| job.timer < now);
            let Some(job) = due.min_by_key(|job| (job.timer, job.sequence)) else { return };
            let mut job = job.clone();
            let id = job.spec.id;
            if job.state == State::Running {
                if job.spec.idempotent {
                    self.refuse_or_abort(id, Reason::DeadlinePassed, actions);
                    continue;
                }
                job.timer = TimePoint::FAR;
            } else {
                job.deadline_tokens_left = self.need_tokens(&job);
                if let Err(reason) = self.check_deadline(now, &job, Duration::ZERO) {
                    self.refuse_or_abort(id, reason, actions);
                    continue;
                }
                if job.rank == 1 && self.latest_on_time_start(&job) < now {
                    job.rank = 2;
                }
                job.timer = self.wait_timer(&job);
            }
            let index = self.find(id).expect("the expired request is still queued or running");
            self.jobs[index] = job;
        }
    }

    fn refuse_deadline_misses(&mut self, now: TimePoint, actions: Actions) {
        let waiting = self.jobs.iter().filter(|job| Self::waits(job));
        let accounts: BTreeSet<_> = waiting.map(|job| (job.spec.class, job.spec.account)).collect();
        let (before, after): (Vec<_>, Vec<_>) =
            accounts.into_iter().partition(|&account| Some(account) <= self.last_checked_account);
        for account in after.into_iter().chain(before).take(16) {
            while let Some((id, reason)) = self.unreachable_request(now, account.0, account.1) {
                self.refuse_or_abort(id, reason, actions);
            }
            self.last_checked_account = Some(account);
        }
    }

    fn unreachable_request(
        &mut self,
        now: TimePoint,
        class: ClassKey,
        account: AccountKey,
    ) -> Option<(RequestId, Reason)> {
        let queue: Vec<Job> = self.account_queue(class, account).into_iter().cloned().collect();
        for rank in [1, 2] {
            let ranked: Vec<_> = queue.iter().filter(|job| job.rank == rank).collect();
            let (Some(first), Some(last)) = (ranked.first(), ranked.last()) else { continue };
            // Work of preempted requests counts as on time. The first on-time request does not
            // wait for that work.
            let before = |limit: &Job| -> u64 {
                let ahead = queue.iter().filter(|job| job.position() < limit.position());
                ahead.map(Job::work_left).sum()
            };
            let first_ahead = if rank == 1 { 0 } else { before(first) };
            for (job, ahead) in [(*first, first_ahead), (*last, before(last))] {
                let index = self.find(job.spec.id).expect("the request waits");
                self.jobs[index].deadline_tokens_left = self.need_tokens(job);
                let wait = self.expected_wait(class, account, ahead);
                if let Err(reason) = self.check_deadline(now, &self.jobs[index], wait) {
                    return Some((job.spec.id, reason));
                }
            }
        }
        None
    }

    fn next_job(&self, class: ClassKey) -> Option<Job> {
        let jobs = self.jobs.iter().filter(|job| job.spec.class == class);
        let paused =
            jobs.filter(|job| job.state == State::Preempted).min_by_key(|job| job.position());
        let first = || {
            let accounts = self.waiting_accounts(class).into_iter();
            let queues: Vec<_> =
                accounts.map(|account| self.account_queue(class, account)).collect();
            let with_on_time = queues.iter().find(|queue| queue.iter().any(|job| job.rank == 1));
            with_on_time.or(queues.first())?.first().copied()
        };
        paused.or_else(first).cloned()
    }

    fn highest_tier_class(&self) -> Option<ClassKey> {
        let classes = self.waiting_classes().into_iter();
        classes.min_by_key(|&class| (self.tier(class), self.class_counter(class), class))
    }

    fn class_furthest_below_floor(&self, now: TimePoint) -> Option<ClassKey> {
        let all = self.count(|job| job.state == State::Running);
        let below_floor = self.waiting_classes().into_iter().filter_map(|class| {
            let own = self.count(|job| job.state == State::Running && job.spec.class == class);
            let attainment = self.target_attainment(now, class, own, all - own);
            (attainment < 1_000_000).then_some((attainment, self.tier(class), class))
        });
        below_floor.min().map(|(_, _, class)| class)
    }

    fn kv_free_for(&self, job: &Job, freed: u64) -> bool {
        let used = self.sum(|job| job.state == State::Running, |job| job.kv_reserved);
        used - freed + job.waiting_tokens().min(self.kv_tokens) <= self.kv_tokens
    }

    fn fill_slots(&mut self, now: TimePoint, actions: Actions) {
        while self.count(|job| job.state == State::Running) < self.slots {
            let below_floor = self.class_furthest_below_floor(now);
            let Some(class) = below_floor.or_else(|| self.highest_tier_class()) else { return };
            let alone = self.count(Self::waits) == 1;
            let reason = match below_floor {
                Some(_) => Reason::BelowFloor,
                None if alone => Reason::SlotFree,
                None => Reason::FirstInOrder,
            };
            let Some(mut job) = self.next_job(class) else { return };
            job.deadline_tokens_left = self.need_tokens(&job);
            let index = self.find(job.spec.id).expect("the request waits");
            self.jobs[index].deadline_tokens_left = job.deadline_tokens_left;
            if let Err(reason) = self.check_deadline(now, &job, Duration::ZERO) {
                self.refuse_or_abort(job.spec.id, reason, actions);
                continue;
            }
            if !self.kv_free_for(&job, 0) {
                return;
            }
            self.start(now, job.spec.id, reason, actions);
        }
    }

    fn start(&mut self, now: TimePoint, id: RequestId, reason: Reason, actions: Actions) {
        let index = self.find(id).expect("the request waits");
        let mut job = self.jobs.remove(index);
        let (class, account) = (job.spec.class, job.spec.account);
        let resume = job.state == State::Preempted && job.spec.resumable;
        job.state = State::Running;
        job.charged_work = job.work_left();
        job.generated_at_start = job.generated;
        job.kv_reserved = job.waiting_tokens().min(self.kv_tokens);
        (job.started, job.last_event, job.timer) = (now, now, job.spec.deadline);
        let preemptible = self.catalog.classes[class].preemptible;
        job.preemptible =
            preemptible && job.spec.idempotent && job.spec.resumable && job.preemptions < 2;
        let counter = self.account_counter(class, account);
        let time = self.class_time.entry(class).or_default();
        *time = counter.max(*time);
        let counter = self.class_counter(class);
        let tier = self.tier(class);
        let time = self.tier_time.entry(tier).or_default();
        *time = counter.max(*time);
        let charged_work = job.charged_work;
        self.jobs.push(job);
        self.charge(class, account, charged_work, 0);
        actions.push(QueueAction::Start { request: id, resume, reason });
    }

    fn preempt_for_urgent(&mut self, now: TimePoint, actions: Actions) {
        while self.slots > 0 {
            let Some(job) = self.highest_tier_class().and_then(|class| self.next_job(class)) else {
                return;
            };
            let target = self.catalog.classes[job.spec.class].first_token.as_micros() as u64;
            let waited = now.since(job.spec.arrived).as_micros() as u64;
            let prefill = self.time_to_first_token(job.prompt_left()).as_micros() as u64;
            if waited + prefill < target / 2 || job.state != State::Queued {
                return;
            }
            let Some(victims) = self.victims(now, &job) else { return };
            let tier = self.tier(job.spec.class);
            for victim in victims {
                self.preempt(victim, tier, actions);
            }
            self.start(now, job.spec.id, Reason::FirstInOrder, actions);
        }
    }

    fn victims(&self, now: TimePoint, head: &Job) -> Option<Vec<RequestId>> {
        let tier = self.tier(head.spec.class);
        let running = self.count(|job| job.state == State::Running);
        let mut candidates: Vec<&Job> = self
            .jobs
            .iter()
            .filter(|job| {
                job.state == State::Running
                    && self.tier(job.spec.class) > tier
                    && self.catalog.classes[job.spec.class].preemptible
                    && job.spec.idempotent
                    && job.preemptions < 2
                    && (job.spec.resumable || job.generated == 0)
            })
            .collect();
        candidates
            .sort_by_key(|job| Reverse((self.tier(job.spec.class), job.started, job.sequence)));
        let at_risk = self.sum(|job| job.state == State::Preempted, |job| u64::from(job.generated));
        let mut budget = (128 + self.served * 2 / 100).saturating_sub(self.wasted + at_risk);
        let (mut victims, mut freed): (Vec<&Job>, u64) = (Vec::new(), 0);
        for job in candidates {
            if running < self.slots + victims.len() as u32 && self.kv_free_for(head, freed) {
                break;
            }
            let risk = if job.spec.resumable { job.generated } else { job.spec.prompt_tokens };
            if u64::from(risk) > budget {
                continue;
            }
            let class = job.spec.class;
            let own = self.count(|job| job.state == State::Running && job.spec.class == class);
            let chosen = victims.iter().filter(|victim| victim.spec.class == class).count() as u32;
            if self.target_attainment(now, class, own - chosen - 1, running - own) >= 1_000_000 {
                budget -= u64::from(risk);
                freed += job.kv_reserved;
                victims.push(job);
            }
        }
        let paused = self.count(|job| job.state == State::Preempted);
        let enough = running < self.slots + victims.len() as u32
            && self.kv_free_for(head, freed)
            && victims.len() as u32 <= self.slots.saturating_sub(paused);
        (enough && !victims.is_empty()).then(|| victims.iter().map(|job| job.spec.id).collect())
    }

    fn preempt(&mut self, request: RequestId, tier: u8, actions: Actions) {
        let Some(mut job) = self.remove_job(request) else { return };
        if !job.spec.resumable {
            self.wasted += u64::from(job.spec.prompt_tokens);
        }
        (job.state, job.rank) = (State::Preempted, 0);
        job.preemptions += 1;
        job.timer = self.wait_timer(&job);
        self.enqueue(job);
        actions.push(QueueAction::Preempt { request, reason: Reason::HigherTierWaits { tier } });
    }
}

impl Job {
    fn is_preemptible_now(&self) -> bool {
        self.state == State::Running && self.preemptible
    }
}
