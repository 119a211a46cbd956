//! Admission of new requests and displacement of waiting requests from a full queue.

use super::TieredQueue;
use crate::{
    catalog::ServiceCatalog,
    ids::{AccountKey, ClassKey},
    queue::{
        QueueAction,
        class_queue::ClassQueue,
        job::{JobKey, QueuedJob},
    },
    reason::DecisionReason,
    request::RequestSpec,
    time::TimePoint,
};

impl TieredQueue {
    /// Admits a new request to the queue or refuses it immediately; ignores a request that the
    /// queue already holds.
    pub(super) fn arrive(
        &mut self,
        now: TimePoint,
        request: RequestSpec,
        catalog: &ServiceCatalog,
        actions: &mut Vec<QueueAction>,
    ) {
        if self.keys.contains_key(&request.id) {
            return;
        }
        if let Err(reason) = self.try_admit(now, &request, catalog, actions) {
            let retry_after = self.retry_after(&request);
            actions.push(QueueAction::Refuse { request: request.id, reason, retry_after });
        }
    }

    /// Admits a new request, or returns the reason for its refusal.
    fn try_admit(
        &mut self,
        now: TimePoint,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        actions: &mut Vec<QueueAction>,
    ) -> Result<(), DecisionReason> {
        self.apply_settings(request, catalog)?;
        if self.draining {
            return Err(DecisionReason::Draining);
        }
        if self.slots == 0 {
            return Err(DecisionReason::EndpointDown);
        }
        let needed = u64::from(request.prompt_tokens) + 1;
        if needed > self.kv_tokens {
            return Err(DecisionReason::TooLarge { needed, capacity: self.kv_tokens });
        }
        let job = self.forecast_job(request);
        self.check_admission_deadline(now, &job)?;
        self.displace_for(&job, actions)?;
        self.next_sequence += 1;
        let timer = self.wait_timer(&job);
        let key = self.jobs.insert(job);
        self.keys.insert(request.id, key);
        self.enqueue(key);
        self.set_timer(key, timer);
        Ok(())
    }

    /// Applies the current settings of the request's class and account.
    fn apply_settings(
        &mut self,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
    ) -> Result<(), DecisionReason> {
        // There is no separate reason for a class that the catalog does not contain.
        let Some(spec) = catalog.classes.get(request.class) else {
            return Err(DecisionReason::NoEndpoint);
        };
        let class = self.classes.entry(request.class).or_insert_with(|| ClassQueue::new(spec));
        class.apply_spec(spec);
        let weight = catalog.accounts.get(request.account).map_or(1, |account| account.weight);
        class.set_weight(request.account, weight);
        Ok(())
    }

    /// Returns the state of a new request with its forecast output length.
    fn forecast_job(&self, request: &RequestSpec) -> QueuedJob {
        let (account, model) = (request.account, request.model);
        let forecast =
            self.predictor.forecast(request.class, account, model, 0, request.max_tokens);
        let mut job = QueuedJob::new(request.clone(), self.next_sequence, forecast.mean);
        job.deadline_tokens_left = self.deadline_tokens_left(&job);
        job
    }

    /// Checks that the request can end before its deadline after the expected wait.
    fn check_admission_deadline(
        &self,
        now: TimePoint,
        job: &QueuedJob,
    ) -> Result<(), DecisionReason> {
        let class = &self.classes[&job.spec.class];
        let account_work = class.account_queues[&job.spec.account].waiting_work;
        let wait = self.expected_wait(class, job.spec.account, account_work);
        self.check_deadline(now, job, wait)
    }

    /// Displaces waiting requests until `job` fits the limits, or returns the reason why it
    /// does not fit.
    fn displace_for(
        &mut self,
        job: &QueuedJob,
        actions: &mut Vec<QueueAction>,
    ) -> Result<(), DecisionReason> {
        let tier = self.classes[&job.spec.class].tier;
        if self.excess(job) == (0, 0) {
            return Ok(());
        }
        if self.lower_tiers_can_free(tier, self.excess(job)) {
            while self.excess(job) != (0, 0) {
                let Some(victim) = self.lowest_tier_victim(tier) else {
                    return Err(DecisionReason::QueueFull);
                };
                let reason = DecisionReason::DisplacedByHigherTier { tier };
                self.refuse_or_abort(victim, reason, actions);
            }
            return Ok(());
        }
        let victim = self.over_share_victim(tier, job).ok_or(DecisionReason::QueueFull)?;
        self.refuse_or_abort(victim, DecisionReason::OverFairShare, actions);
        Ok(())
    }

    /// Returns the number of requests and of tokens by which the queue would exceed its limits with
    /// `job`. Both are zero while fewer requests of the class are queued than its reserve.
    fn excess(&self, job: &QueuedJob) -> (u32, u64) {
        let reserve = self.limits.class_reserve;
        let own = &self.classes[&job.spec.class];
        if own.queued < reserve {
            return (0, 0);
        }
        let (mut requests, mut tokens) = (1, job.waiting_tokens());
        if own.queued == reserve {
            tokens += own.queued_tokens;
        }
        for class in self.classes.values() {
            requests += class.shared_requests(reserve);
            tokens += class.shared_tokens(reserve);
        }
        let over_requests = requests.saturating_sub(self.limits.max_waiting);
        (over_requests, tokens.saturating_sub(self.limits.max_tokens))
    }

    /// Reports whether displacing requests of the tiers below `tier` can free the `excess`
    /// requests and tokens.
    fn lower_tiers_can_free(&self, tier: u8, excess: (u32, u64)) -> bool {
        let reserve = self.limits.class_reserve;
        let (mut requests, mut tokens) = (0, 0);
        for class in self.classes.values().filter(|class| class.tier > tier) {
            requests += class.shared_requests(reserve);
            tokens += class.shared_tokens(reserve);
        }
        requests >= excess.0.max(1) && tokens >= excess.1
    }

    /// Returns the queued request to displace from the lowest tier below `tier`: the one with
    /// the latest deadline of the most backlogged account.
    fn lowest_tier_victim(&self, tier: u8) -> Option<JobKey> {
        let reserve = self.limits.class_reserve;
        let lowest = self
            .classes
            .values()
            .filter(|class| class.tier > tier && class.shared_requests(reserve) > 0)
            .map(|class| class.tier)
            .max()?;
        let (_, class, account) = self.most_backlogged_account(lowest)?;
        self.classes[&class].account_queues[&account].latest_queued()
    }

    /// Returns the queued request with the latest deadline of the most backlogged account of
    /// the same tier. Returns `None` unless that account has more waiting work per unit of
    /// weight than the account of `job` would have, and displacing the request makes `job` fit.
    fn over_share_victim(&self, tier: u8, job: &QueuedJob) -> Option<JobKey> {
        let (weighted_backlog, class, account) = self.most_backlogged_account(tier)?;
        let queue = &self.classes[&job.spec.class].account_queues[&job.spec.account];
        if weighted_backlog <= queue.weight_normalized(queue.waiting_work + job.work_left()) {
            return None;
        }
        let victim = self.classes[&class].account_queues[&account].latest_queued()?;
        let (requests, tokens) = self.excess(job);
        let enough = requests <= 1 && tokens <= self.jobs[victim].waiting_tokens();
        enough.then_some(victim)
    }

    /// Returns the account with the most waiting work divided by weight among the classes of
    /// `tier` that hold more requests than their reserve.
    fn most_backlogged_account(&self, tier: u8) -> Option<(u64, ClassKey, AccountKey)> {
        let reserve = self.limits.class_reserve;
        self.classes
            .iter()
            .filter(|(_, class)| class.tier == tier && class.shared_requests(reserve) > 0)
            .flat_map(|(&key, class)| {
                class
                    .weighted_backlogs()
                    .map(move |(weighted_backlog, account)| (weighted_backlog, key, account))
            })
            .max()
    }
}
