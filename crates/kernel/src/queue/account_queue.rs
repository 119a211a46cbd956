//! Waiting requests of one account in one class.

use std::collections::BTreeMap;

use crate::{
    queue::job::{JobKey, QueuePosition, WaitRank},
    time::TimePoint,
};

/// Fixed-point scale of the service counters per work unit, so that the division by a weight
/// keeps the fraction.
const COUNTER_SCALE: u64 = 1024;

/// Waiting requests of one account in one class, with the service counter of the account.
#[derive(Clone, Debug)]
pub(crate) struct AccountQueue {
    /// Weight of the account relative to the other accounts of the class.
    pub(crate) weight: u64,
    /// Service counter: work units of the requests that were served or run now, times
    /// `COUNTER_SCALE` and divided by the weight.
    pub(crate) counter: u64,
    /// Expected work of the waiting requests, in work units.
    pub(crate) waiting_work: u64,
    /// Part of `waiting_work` that belongs to requests of rank [`WaitRank::Late`].
    pub(crate) late_work: u64,
    /// Number of running requests.
    pub(crate) running: u32,
    /// Waiting requests in the order in which they start.
    pub(crate) jobs: BTreeMap<QueuePosition, JobKey>,
}

impl AccountQueue {
    /// Returns an empty queue with a weight of 1.
    pub(crate) fn new() -> AccountQueue {
        AccountQueue {
            weight: 1,
            counter: 0,
            waiting_work: 0,
            late_work: 0,
            running: 0,
            jobs: BTreeMap::new(),
        }
    }

    /// Returns the first and the last waiting request of a rank, or `None` if the rank is
    /// empty.
    pub(crate) fn first_and_last(&self, rank: WaitRank) -> Option<(JobKey, JobKey)> {
        let mut jobs =
            self.jobs.range((rank, TimePoint::ZERO, 0)..=(rank, TimePoint::FAR, u64::MAX));
        let (_, &first) = jobs.next()?;
        let last = jobs.next_back().map_or(first, |(_, &last)| last);
        Some((first, last))
    }

    /// Returns the request with the latest deadline among the waiting requests that never ran.
    pub(crate) fn latest_queued(&self) -> Option<JobKey> {
        let last_of = |rank| {
            let span = (rank, TimePoint::ZERO, 0)..=(rank, TimePoint::FAR, u64::MAX);
            self.jobs.range(span).next_back()
        };
        let latest_jobs = [WaitRank::OnTime, WaitRank::Late].map(last_of).into_iter().flatten();
        let latest_jobs =
            latest_jobs.max_by_key(|((_, deadline, sequence), _)| (deadline, sequence));
        latest_jobs.map(|(_, &key)| key)
    }

    /// Returns `work` in the unit of the service counter.
    pub(crate) fn weight_normalized(&self, work: u64) -> u64 {
        work * COUNTER_SCALE / self.weight
    }

    /// Returns the work that accounts with a total weight of `others` receive until their
    /// service counters have risen by `lead`, the distance to the counter of this account.
    pub(crate) fn work_during_lead(&self, lead: u64, others: u64) -> u64 {
        (lead / COUNTER_SCALE).saturating_mul(others)
    }

    /// Returns the waiting work divided by the weight of the account.
    pub(crate) fn weighted_backlog(&self) -> u64 {
        self.weight_normalized(self.waiting_work)
    }
}
