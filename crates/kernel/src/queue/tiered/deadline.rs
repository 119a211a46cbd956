//! Checks of first-token targets and deadlines, and refusal of requests that cannot meet their
//! deadline.

use std::{ops::Bound, time::Duration};

use super::TieredQueue;
use crate::{
    ids::{AccountKey, ClassKey},
    queue::{
        QueueAction,
        job::{JobKey, JobState, QueuedJob, WaitRank},
    },
    reason::DecisionReason,
    time::TimePoint,
};

/// Number of pairs of class and account that one tick checks for requests that are expected to
/// miss their deadline.
const ACCOUNTS_PER_TICK: usize = 16;

impl TieredQueue {
    /// Checks that a request that starts after `wait` ends before its deadline.
    pub(super) fn check_deadline(
        &self,
        now: TimePoint,
        job: &QueuedJob,
        wait: Duration,
    ) -> Result<(), DecisionReason> {
        let needed = wait + self.needed_time(job);
        let left = job.spec.time_left(now);
        if needed <= left {
            return Ok(());
        }
        let (needed_ms, left_ms) = (needed.as_millis() as u64, left.as_millis() as u64);
        Err(DecisionReason::DeadlineUnreachable { needed_ms, left_ms })
    }

    /// Returns the latest start of a waiting request that meets its deadline.
    fn latest_start(&self, job: &QueuedJob) -> TimePoint {
        job.spec.deadline - self.needed_time(job)
    }

    /// Returns the time of the next deadline check of a waiting request.
    pub(super) fn wait_timer(&self, job: &QueuedJob) -> TimePoint {
        let latest = self.latest_start(job);
        if job.rank == WaitRank::OnTime {
            latest.min(self.latest_on_time_start(job))
        } else {
            latest
        }
    }

    /// Returns the latest start of a request that meets its first-token target.
    fn latest_on_time_start(&self, job: &QueuedJob) -> TimePoint {
        let target = self.classes[&job.spec.class].first_token_micros;
        let target = job.spec.arrived + Duration::from_micros(target);
        target - self.speed.time_to_first_token(job.spec.prompt_tokens)
    }

    /// Processes every request whose timer has expired.
    pub(super) fn expire(&mut self, now: TimePoint, actions: &mut Vec<QueueAction>) {
        while let Some(&(timer, _, key)) = self.timers.first() {
            if timer >= now {
                return;
            }
            match self.jobs[key].state {
                JobState::Running => self.expire_running(key, actions),
                JobState::Queued | JobState::Preempted => self.expire_waiting(now, key, actions),
            }
        }
    }

    /// Aborts a running request at its deadline if it is idempotent; any other request continues
    /// to run, because it may have lasting effects.
    fn expire_running(&mut self, key: JobKey, actions: &mut Vec<QueueAction>) {
        if self.jobs[key].spec.idempotent {
            self.refuse_or_abort(key, DecisionReason::DeadlinePassed, actions);
        } else {
            self.set_timer(key, TimePoint::FAR);
        }
    }

    /// Refuses or aborts a waiting request that is expected to miss its deadline even if it
    /// starts now. Marks a request as late if it is expected to miss its first-token target.
    fn expire_waiting(&mut self, now: TimePoint, key: JobKey, actions: &mut Vec<QueueAction>) {
        self.jobs[key].deadline_tokens_left = self.deadline_tokens_left(&self.jobs[key]);
        let job = &self.jobs[key];
        if let Err(reason) = self.check_deadline(now, job, Duration::ZERO) {
            self.refuse_or_abort(key, reason, actions);
            return;
        }
        if job.rank == WaitRank::OnTime && self.latest_on_time_start(job) < now {
            let class = self.classes.get_mut(&job.spec.class);
            if let Some(class) = class {
                class.mark_late(key, &mut self.jobs[key]);
            }
        }
        self.set_timer(key, self.wait_timer(&self.jobs[key]));
    }

    /// Refuses waiting requests that are expected to miss their deadline after their expected
    /// wait.
    ///
    /// Each tick checks up to `ACCOUNTS_PER_TICK` accounts in rotation; an account counts once
    /// for each class. Only the first and the last request of the ranks [`WaitRank::OnTime`] and
    /// [`WaitRank::Late`] are checked: the first has the least time left and the last has the
    /// longest wait. If one of them is refused, the check is repeated. Preempted requests are not
    /// checked, because they start first in their class.
    pub(super) fn refuse_deadline_misses(
        &mut self,
        now: TimePoint,
        actions: &mut Vec<QueueAction>,
    ) {
        for account in self.accounts_to_check() {
            while let Some((key, reason)) = self.unreachable_request(now, account.0, account.1) {
                self.refuse_or_abort(key, reason, actions);
            }
            self.last_checked_account = Some(account);
        }
    }

    /// Returns the accounts to check in this tick, starting after the account that was checked
    /// last.
    fn accounts_to_check(&self) -> Vec<(ClassKey, AccountKey)> {
        let after = self.last_checked_account.map_or(Bound::Unbounded, Bound::Excluded);
        let accounts = self
            .backlogged_accounts
            .range((after, Bound::Unbounded))
            .chain(&self.backlogged_accounts);
        accounts.take(ACCOUNTS_PER_TICK.min(self.backlogged_accounts.len())).copied().collect()
    }

    /// Returns a waiting request of an account that is expected to miss its deadline, with the
    /// reason for its refusal, or `None` if the check finds no such request.
    fn unreachable_request(
        &mut self,
        now: TimePoint,
        class: ClassKey,
        account: AccountKey,
    ) -> Option<(JobKey, DecisionReason)> {
        let queue = &self.classes[&class].account_queues[&account];
        let on_time = queue.waiting_work - queue.late_work;
        let ranks = [(WaitRank::OnTime, 0, on_time), (WaitRank::Late, on_time, queue.waiting_work)];
        let ends =
            ranks.map(|(rank, before, through)| (queue.first_and_last(rank), before, through));
        for (ends, before, through) in ends {
            let Some((first, last)) = ends else { continue };
            for (key, ahead) in [(first, before), (last, through - self.jobs[last].work_left())] {
                self.jobs[key].deadline_tokens_left = self.deadline_tokens_left(&self.jobs[key]);
                let wait = self.expected_wait(&self.classes[&class], account, ahead);
                if let Err(reason) = self.check_deadline(now, &self.jobs[key], wait) {
                    return Some((key, reason));
                }
            }
        }
        None
    }
}
