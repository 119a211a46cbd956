//! Estimates of waits and service times, and the retry time of refused requests.

use std::time::Duration;

use super::TieredQueue;
use crate::{
    ids::{AccountKey, RequestId},
    queue::{
        class_queue::{ClassQueue, PPM_SCALE},
        job::{OUTPUT_TOKEN_WORK, QueuedJob},
    },
    request::RequestSpec,
};

/// Maximum number of output tokens that the deadline check assumes before any answer was
/// observed.
const UNLEARNED_TOKENS: u32 = 32;

/// Minimum base of the retry time.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// Maximum base of the retry time.
const MAX_RETRY: Duration = Duration::from_secs(30);

impl TieredQueue {
    /// Returns the expected wait of a request of `account` that has `account_work` work units
    /// of the same account ahead.
    ///
    /// The work ahead consists of all waiting work of higher tiers, the work of the own class
    /// until the request's turn, and at most as much work from each other class of the tier.
    /// The class's floor limits the work that counts. Waiting work of lower tiers never counts.
    /// The wait is zero if no request waits and a slot is free.
    pub(super) fn expected_wait(
        &self,
        class: &ClassQueue,
        account: AccountKey,
        account_work: u64,
    ) -> Duration {
        if self.waiting() == 0 && self.has_free_slot() {
            return Duration::ZERO;
        }
        let turn = class_work_ahead(class, account, account_work);
        let mut ahead = turn;
        for other in self.classes.values() {
            if other.tier < class.tier {
                ahead += other.waiting_work;
            } else if other.tier == class.tier && !std::ptr::eq(other, class) {
                ahead += other.waiting_work.min(turn);
            }
        }
        let mean_job = class.waiting_work / u64::from(class.waiting.max(1));
        let by_floor = (turn + mean_job) * PPM_SCALE / class.floor_ppm;
        self.work_time(ahead.min(by_floor)) + self.next_slot(class.tier)
    }

    /// Returns the service time of a request that the deadline check assumes.
    pub(super) fn needed_time(&self, job: &QueuedJob) -> Duration {
        self.speed.service_time(job.prompt_left(), job.deadline_tokens_left)
    }

    /// Returns the remaining output tokens that the deadline check assumes.
    ///
    /// This is the high quantile of the forecast, limited to the mean or to the tokens that fit
    /// half of the class's deadline, whichever is larger. Without the limit, a class whose long
    /// answers cannot meet the deadline would lose its short answers too. Before any answer was
    /// observed, the result is at most `UNLEARNED_TOKENS`, because a refused request adds no
    /// observation.
    pub(super) fn deadline_tokens_left(&self, job: &QueuedJob) -> u32 {
        let spec = &job.spec;
        let forecast = self.predictor.forecast(
            spec.class,
            spec.account,
            spec.model,
            job.generated,
            spec.max_tokens,
        );
        if !forecast.learned {
            return forecast.mean.min(UNLEARNED_TOKENS);
        }
        let token_interval = self.speed.token_interval().as_nanos() as u64;
        let half = self.classes[&spec.class].deadline_micros * 1000 / 2 / token_interval;
        let half = u32::try_from(half).unwrap_or(u32::MAX);
        forecast.high.min(forecast.mean.max(half))
    }

    /// Returns the time that all usable slots together take for `work` work units.
    fn work_time(&self, work: u64) -> Duration {
        let token_interval = self.speed.token_interval().as_nanos() as u64;
        let throughput = OUTPUT_TOKEN_WORK * u64::from(self.usable_slots());
        Duration::from_micros(
            u64::try_from(
                u128::from(work) * u128::from(token_interval) / u128::from(throughput * 1000),
            )
            .unwrap_or(u64::MAX),
        )
    }

    /// Returns the expected time until a request of `tier` can get a slot; zero if a slot is
    /// free or a running request of a lower tier may be preempted and resumed.
    fn next_slot(&self, tier: u8) -> Duration {
        let can_preempt =
            self.classes.values().any(|class| class.tier > tier && class.running_preemptible > 0);
        if self.has_free_slot() || can_preempt {
            return Duration::ZERO;
        }
        let running = self.running.len().max(1) as u64;
        let tokens = self.running_tokens / running / running;
        self.speed.token_interval() * u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that can run concurrently, given the slots and the mean
    /// KV cache use of the running requests.
    fn usable_slots(&self) -> u32 {
        let slots = self.slots.max(1);
        if self.kv_used == 0 {
            return slots;
        }
        let running = self.running.len() as u128;
        let by_kv = u128::from(self.kv_tokens) * running / u128::from(self.kv_used);
        slots.min(u32::try_from(by_kv).unwrap_or(u32::MAX)).max(1)
    }

    /// Reports whether fewer requests run than the endpoint has slots.
    pub(super) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Returns the time after which the caller of a refused request may retry.
    ///
    /// The time grows with the expected wait. A hash of the request's identifier adds jitter,
    /// from half of the base to one and a half times the base.
    pub(super) fn retry_after(&self, spec: &RequestSpec) -> Duration {
        let wait = match self.classes.get(&spec.class) {
            Some(class) => {
                let account_work =
                    class.account_queues.get(&spec.account).map_or(0, |queue| queue.waiting_work);
                self.expected_wait(class, spec.account, account_work)
            }
            None => Duration::ZERO,
        };
        let base = wait.clamp(MIN_RETRY, MAX_RETRY).as_micros() as u64;
        Duration::from_micros(base / 2 + hash_request_id(spec.id) % base)
    }
}

/// Returns the work of `class` that is served before `account_work` units of `account` are
/// done, including those units.
fn class_work_ahead(class: &ClassQueue, account: AccountKey, account_work: u64) -> u64 {
    let Some(queue) = class.account_queues.get(&account) else { return 0 };
    let others = if queue.jobs.is_empty() {
        class.backlogged_weight
    } else {
        class.backlogged_weight - queue.weight
    };
    let lead = queue.counter.saturating_sub(class.virtual_time);
    let own = account_work * (others + queue.weight) / queue.weight;
    (own + queue.work_during_lead(lead, others)).min(class.waiting_work)
}

/// Returns a hash of a request's identifier (the finalizer of SplitMix64).
fn hash_request_id(request: RequestId) -> u64 {
    let mut hash = (request.0 as u64) ^ ((request.0 >> 64) as u64);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
