//! Selection of the request that starts when a slot is free.

use std::time::Duration;

use super::TieredQueue;
use crate::{
    ids::ClassKey,
    queue::{
        QueueAction,
        class_queue::PPM_SCALE,
        job::{JobKey, JobState},
    },
    reason::DecisionReason,
    time::TimePoint,
};

/// Seconds of future output of the running requests that the check of a class's floor includes.
const FLOOR_LOOKAHEAD_SECONDS: u64 = 2;

/// Maximum number of preemptions of one request.
pub(super) const MAX_PREEMPTIONS: u8 = 2;

impl TieredQueue {
    /// Starts waiting requests while the endpoint has free slots and the next request fits the
    /// KV cache.
    pub(super) fn fill_slots(&mut self, now: TimePoint, actions: &mut Vec<QueueAction>) {
        while self.has_free_slot() {
            let Some((class, reason)) = self.next_class(now) else { return };
            let Some(key) = self.classes[&class].next_job() else { return };
            self.jobs[key].deadline_tokens_left = self.deadline_tokens_left(&self.jobs[key]);
            let verdict = self.check_deadline(now, &self.jobs[key], Duration::ZERO);
            if let Err(reason) = verdict {
                self.refuse_or_abort(key, reason, actions);
                continue;
            }
            if !self.fits_kv(key, 0) {
                return;
            }
            self.start(now, key, reason, actions);
        }
    }

    /// Returns the class that gets the next slot and the reason.
    ///
    /// If any class with waiting requests receives less than its target share, which is its floor
    /// plus a margin, the class that receives the smallest fraction of its target share goes first.
    /// Otherwise the highest tier goes first, and within a tier the class that was served least.
    fn next_class(&mut self, now: TimePoint) -> Option<(ClassKey, DecisionReason)> {
        if let Some(class) = self.class_furthest_below_floor(now) {
            return Some((class, DecisionReason::BelowFloor));
        }
        let class = self.highest_tier_class()?;
        let alone = self.waiting() == 1;
        let reason = if alone { DecisionReason::SlotFree } else { DecisionReason::FirstInOrder };
        Some((class, reason))
    }

    /// Returns the least served class with waiting requests in the highest tier that has any,
    /// regardless of floors.
    pub(super) fn highest_tier_class(&self) -> Option<ClassKey> {
        let waiting = self.classes.iter().filter(|(_, class)| class.waiting > 0);
        let first = waiting.min_by_key(|&(&key, class)| (class.tier, class.counter, key));
        first.map(|(&key, _)| key)
    }

    /// Returns the class with waiting requests that receives the smallest fraction of its target
    /// share, or `None` if each of these classes receives its target share.
    fn class_furthest_below_floor(&mut self, now: TimePoint) -> Option<ClassKey> {
        let running = self.running.len() as u32;
        let lookahead_tokens = self.floor_lookahead_tokens();
        let waiting = self.classes.iter_mut().filter(|(_, class)| class.waiting > 0);
        let below_floor = waiting.filter_map(|(&key, class)| {
            let attainment = class.target_attainment(
                now,
                class.running,
                running - class.running,
                lookahead_tokens,
            );
            (attainment < PPM_SCALE).then_some((attainment, class.tier, key))
        });
        below_floor.min().map(|(_, _, key)| key)
    }

    /// Returns the output tokens that one running request produces in
    /// `FLOOR_LOOKAHEAD_SECONDS`.
    pub(super) fn floor_lookahead_tokens(&self) -> u64 {
        FLOOR_LOOKAHEAD_SECONDS * 1_000_000_000 / self.speed.token_interval().as_nanos() as u64
    }

    /// Reports whether a waiting request fits the KV cache after `freed` tokens are released.
    pub(super) fn fits_kv(&self, key: JobKey, freed: u64) -> bool {
        self.kv_used - freed + self.kv_needed(key) <= self.kv_tokens
    }

    /// Returns the KV cache tokens that a request reserves when it starts.
    pub(super) fn kv_needed(&self, key: JobKey) -> u64 {
        self.jobs[key].waiting_tokens().min(self.kv_tokens)
    }

    /// Starts or resumes a waiting request.
    pub(super) fn start(
        &mut self,
        now: TimePoint,
        key: JobKey,
        reason: DecisionReason,
        actions: &mut Vec<QueueAction>,
    ) {
        self.dequeue(key);
        let kv_reserved = self.kv_needed(key);
        let job = &mut self.jobs[key];
        let resume = job.state == JobState::Preempted && job.spec.resumable;
        let Some(class) = self.classes.get_mut(&job.spec.class) else { return };
        job.state = JobState::Running;
        job.charged_work = job.work_left();
        job.generated_at_start = job.generated;
        job.kv_reserved = kv_reserved;
        job.started = now;
        job.last_event = now;
        job.preemptible = class.preemptible
            && job.spec.idempotent
            && job.spec.resumable
            && job.preemptions < MAX_PREEMPTIONS;
        let served = class.account_queues.get(&job.spec.account).map_or(0, |queue| queue.counter);
        class.virtual_time = class.virtual_time.max(served);
        let tier_virtual_time = self.tier_virtual_time.entry(class.tier).or_default();
        *tier_virtual_time = class.counter.max(*tier_virtual_time);
        class.charge(job.spec.account, job.charged_work, 0);
        class.count_running(job.spec.account, true);
        class.running_preemptible += u32::from(job.preemptible);
        self.kv_used += kv_reserved;
        self.running_tokens += u64::from(job.tokens_left());
        let (request, deadline) = (job.spec.id, job.spec.deadline);
        self.running.push(key);
        self.set_timer(key, deadline);
        actions.push(QueueAction::Start { request, resume, reason });
    }

    /// Removes a request from the running requests and replaces the work charged for the run by
    /// the work done.
    pub(super) fn stop_running(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let used = job.work_done();
        self.kv_used -= job.kv_reserved;
        self.running_tokens -= u64::from(job.tokens_left());
        self.running.retain(|&running| running != key);
        let Some(class) = self.classes.get_mut(&job.spec.class) else { return };
        class.count_running(job.spec.account, false);
        class.running_preemptible -= u32::from(job.preemptible);
        class.charge(job.spec.account, used, job.charged_work);
    }
}
