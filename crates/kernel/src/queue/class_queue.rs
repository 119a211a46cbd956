//! Queue of the requests of one class at one endpoint.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    catalog::ClassSpec,
    ids::AccountKey,
    queue::{
        account_queue::AccountQueue,
        job::{JobKey, QueuePosition, QueuedJob, WaitRank},
        window::TokenWindow,
    },
    time::TimePoint,
};

/// Smallest floor of a class, in millionths of the endpoint's tokens; also applies to a class
/// that has no floor in the settings.
pub(crate) const RESIDUAL_FLOOR_PPM: u64 = 10_000;

/// Token share that the queue aims at for a class, in percent of the class's floor.
///
/// A class receives tokens in units of whole requests, so its share fluctuates. The margin is
/// meant to keep the minima of the share above the floor.
const FLOOR_TARGET_PERCENT: u64 = 110;

/// Value of a share of 100 %, in millionths.
pub(crate) const PPM_SCALE: u64 = 1_000_000;

/// Requests, service counters and floor of one class at one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ClassQueue {
    /// Priority tier; 0 is the highest.
    pub(crate) tier: u8,
    /// Guaranteed share of the endpoint's tokens, in millionths.
    pub(crate) floor_ppm: u64,
    /// Longest time from arrival to the last byte, in microseconds.
    pub(crate) deadline_micros: u64,
    /// Target for the time from arrival to the first token, in microseconds.
    pub(crate) first_token_micros: u64,
    /// Whether running requests of the class may be preempted.
    pub(crate) preemptible: bool,
    /// Service counter: work units of the requests that were served or run now.
    pub(crate) counter: u64,
    /// Highest service counter that any account of the class had when one of its requests started.
    /// The counter of an account that was idle is raised to at least this value.
    pub(crate) virtual_time: u64,
    /// Waiting requests and service counter of each account.
    pub(crate) account_queues: BTreeMap<AccountKey, AccountQueue>,
    /// Service counter and key of each account with waiting requests, the least served account
    /// first.
    pub(crate) backlogged_accounts: BTreeSet<(u64, AccountKey)>,
    /// Subset of `backlogged_accounts` with a request of rank [`WaitRank::OnTime`].
    pub(crate) on_time_accounts: BTreeSet<(u64, AccountKey)>,
    /// Preempted requests; they resume before other requests of the class start.
    pub(crate) preempted: BTreeMap<QueuePosition, JobKey>,
    /// Sum of the weights of the accounts with waiting work.
    pub(crate) backlogged_weight: u64,
    /// Number of waiting requests that never ran.
    pub(crate) queued: u32,
    /// Prompt tokens and expected output tokens of the waiting requests that never ran.
    pub(crate) queued_tokens: u64,
    /// Number of waiting requests, preempted ones included.
    pub(crate) waiting: u32,
    /// Expected work of the waiting requests, in work units.
    pub(crate) waiting_work: u64,
    /// Number of running requests.
    pub(crate) running: u32,
    /// Number of running requests that may be preempted and resumed.
    pub(crate) running_preemptible: u32,
    /// Output tokens of the class and of the endpoint over the last `WINDOW_BUCKETS` seconds.
    pub(crate) window: TokenWindow,
}

impl ClassQueue {
    /// Returns an empty queue for a class with the settings `spec`.
    pub(crate) fn new(spec: &ClassSpec) -> ClassQueue {
        let mut class = ClassQueue {
            tier: 0,
            floor_ppm: 0,
            deadline_micros: 0,
            first_token_micros: 0,
            preemptible: false,
            counter: 0,
            virtual_time: 0,
            account_queues: BTreeMap::new(),
            backlogged_accounts: BTreeSet::new(),
            on_time_accounts: BTreeSet::new(),
            preempted: BTreeMap::new(),
            backlogged_weight: 0,
            queued: 0,
            queued_tokens: 0,
            waiting: 0,
            waiting_work: 0,
            running: 0,
            running_preemptible: 0,
            window: TokenWindow::default(),
        };
        class.apply_spec(spec);
        class
    }

    /// Replaces the tier, floor and targets of the class by those of `spec`.
    pub(crate) fn apply_spec(&mut self, spec: &ClassSpec) {
        self.tier = spec.tier;
        let floor = (spec.floor.clamp(0.0, 1.0) * PPM_SCALE as f64) as u64;
        self.floor_ppm = floor.max(RESIDUAL_FLOOR_PPM);
        self.deadline_micros = spec.deadline.as_micros() as u64;
        self.first_token_micros = spec.first_token.as_micros() as u64;
        self.preemptible = spec.preemptible;
    }

    /// Reports whether the class has waiting or running requests.
    pub(crate) fn has_work(&self) -> bool {
        self.waiting > 0 || self.running > 0
    }

    /// Sets the weight of an account; a weight of 0 counts as 1.
    pub(crate) fn set_weight(&mut self, account: AccountKey, weight: u32) {
        let queue = self.account_queues.entry(account).or_insert_with(AccountQueue::new);
        let weight = u64::from(weight.max(1));
        if !queue.jobs.is_empty() {
            self.backlogged_weight = self.backlogged_weight - queue.weight + weight;
        }
        queue.weight = weight;
    }

    /// Adds a waiting request to its account's queue.
    ///
    /// The service counter of an account without waiting or running requests is raised to at
    /// least the class's virtual time, so that an account earns no credit while it is idle.
    pub(crate) fn insert(&mut self, key: JobKey, job: &QueuedJob) {
        let account = job.spec.account;
        let queue = self.account_queues.entry(account).or_insert_with(AccountQueue::new);
        if queue.jobs.is_empty() {
            if queue.running == 0 {
                queue.counter = queue.counter.max(self.virtual_time);
            }
            self.backlogged_weight += queue.weight;
            self.backlogged_accounts.insert((queue.counter, account));
        }
        queue.jobs.insert(job.position(), key);
        if job.rank == WaitRank::OnTime {
            self.on_time_accounts.insert((queue.counter, account));
        }
        queue.waiting_work += job.work_left();
        match job.rank {
            WaitRank::Preempted => {
                self.preempted.insert(job.position(), key);
            }
            WaitRank::OnTime => {}
            WaitRank::Late => queue.late_work += job.work_left(),
        }
        self.waiting_work += job.work_left();
        self.waiting += 1;
        if job.preemptions == 0 {
            self.queued += 1;
            self.queued_tokens += job.waiting_tokens();
        }
    }

    /// Removes a waiting request from its account's queue.
    pub(crate) fn remove(&mut self, job: &QueuedJob) {
        let account = job.spec.account;
        let Some(queue) = self.account_queues.get_mut(&account) else { return };
        if queue.jobs.remove(&job.position()).is_none() {
            return;
        }
        if queue.first_and_last(WaitRank::OnTime).is_none() {
            self.on_time_accounts.remove(&(queue.counter, account));
        }
        queue.waiting_work -= job.work_left();
        match job.rank {
            WaitRank::Preempted => {
                self.preempted.remove(&job.position());
            }
            WaitRank::OnTime => {}
            WaitRank::Late => queue.late_work -= job.work_left(),
        }
        self.waiting_work -= job.work_left();
        self.waiting -= 1;
        if job.preemptions == 0 {
            self.queued -= 1;
            self.queued_tokens -= job.waiting_tokens();
        }
        if queue.jobs.is_empty() {
            self.backlogged_weight -= queue.weight;
            self.backlogged_accounts.remove(&(queue.counter, account));
        }
    }

    /// Moves a waiting request behind the requests of its account that have the rank
    /// [`WaitRank::OnTime`].
    pub(crate) fn mark_late(&mut self, key: JobKey, job: &mut QueuedJob) {
        let Some(queue) = self.account_queues.get_mut(&job.spec.account) else { return };
        queue.jobs.remove(&job.position());
        if queue.first_and_last(WaitRank::OnTime).is_none() {
            self.on_time_accounts.remove(&(queue.counter, job.spec.account));
        }
        job.rank = WaitRank::Late;
        queue.jobs.insert(job.position(), key);
        queue.late_work += job.work_left();
    }

    /// Counts a request of `account` that started (`started`) or stopped (`!started`) running.
    pub(crate) fn count_running(&mut self, account: AccountKey, started: bool) {
        let Some(queue) = self.account_queues.get_mut(&account) else { return };
        if started {
            self.running += 1;
            queue.running += 1;
        } else {
            self.running -= 1;
            queue.running -= 1;
        }
    }

    /// Adds `add` work units to the service counters of `account` and of the class, then
    /// subtracts `sub`.
    pub(crate) fn charge(&mut self, account: AccountKey, add: u64, sub: u64) {
        self.counter = (self.counter + add).saturating_sub(sub);
        let Some(queue) = self.account_queues.get_mut(&account) else { return };
        let counter = (queue.counter + queue.weight_normalized(add))
            .saturating_sub(queue.weight_normalized(sub));
        if !queue.jobs.is_empty() {
            self.backlogged_accounts.remove(&(queue.counter, account));
            self.backlogged_accounts.insert((counter, account));
        }
        if self.on_time_accounts.remove(&(queue.counter, account)) {
            self.on_time_accounts.insert((counter, account));
        }
        queue.counter = counter;
    }

    /// Returns the request that the class starts next, or `None` if no request waits.
    ///
    /// Preempted requests come first. Next are requests of rank [`WaitRank::OnTime`], from the
    /// least served account that has any. Late requests come last.
    pub(crate) fn next_job(&self) -> Option<JobKey> {
        if let Some((_, &key)) = self.preempted.first_key_value() {
            return Some(key);
        }
        let (_, account) =
            self.on_time_accounts.first().or_else(|| self.backlogged_accounts.first())?;
        self.account_queues[account].jobs.values().next().copied()
    }

    /// Returns the waiting work divided by weight of each account that has waiting requests
    /// that never ran.
    pub(crate) fn weighted_backlogs(&self) -> impl Iterator<Item = (u64, AccountKey)> + '_ {
        let queues = self
            .backlogged_accounts
            .iter()
            .map(|&(_, account)| (&self.account_queues[&account], account));
        let queues = queues.filter(|(queue, _)| queue.latest_queued().is_some());
        queues.map(|(queue, account)| (queue.weighted_backlog(), account))
    }

    /// Returns the number of queued requests beyond `reserve`, which is
    /// [`QueueLimits::class_reserve`](crate::queue::QueueLimits::class_reserve). These requests
    /// count against [`QueueLimits::max_waiting`](crate::queue::QueueLimits::max_waiting), which
    /// all classes share.
    pub(crate) fn shared_requests(&self, reserve: u32) -> u32 {
        self.queued.saturating_sub(reserve)
    }

    /// Returns the queued tokens that count against
    /// [`QueueLimits::max_tokens`](crate::queue::QueueLimits::max_tokens), which all classes share:
    /// none while at most `reserve` requests are queued, else all.
    pub(crate) fn shared_tokens(&self, reserve: u32) -> u64 {
        if self.queued > reserve { self.queued_tokens } else { 0 }
    }

    /// Returns the token share that the queue aims at for the class, in millionths.
    fn target_ppm(&self) -> u64 {
        self.floor_ppm * FLOOR_TARGET_PERCENT / 100
    }

    /// Returns the ratio of the class's token share to its target share, in millionths. A value
    /// of at least `PPM_SCALE` means that the class receives its floor and the margin.
    ///
    /// The share covers the tokens in the window and the `lookahead_tokens` that each running
    /// request is expected to produce over the coming seconds. `running` requests belong to
    /// this class and `others` to other classes.
    pub(crate) fn target_attainment(
        &mut self,
        now: TimePoint,
        running: u32,
        others: u32,
        lookahead_tokens: u64,
    ) -> u64 {
        let (own, all) = self.window.totals(now);
        let own = own + lookahead_tokens * u64::from(running);
        let all = all + lookahead_tokens * u64::from((running + others).max(1));
        own * PPM_SCALE / (all * self.target_ppm() / PPM_SCALE).max(1)
    }
}
