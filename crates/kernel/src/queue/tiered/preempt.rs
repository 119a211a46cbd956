//! Preemption of running requests for waiting requests of a higher tier.

use super::{TieredQueue, start::MAX_PREEMPTIONS};
use crate::{
    queue::{
        QueueAction,
        class_queue::PPM_SCALE,
        job::{JobKey, JobState, WaitRank},
    },
    reason::DecisionReason,
    time::TimePoint,
};

/// Share of the served tokens that preemption may waste, in percent.
const MAX_WASTE_PERCENT: u64 = 2;

/// Tokens that preemption may waste in addition to `MAX_WASTE_PERCENT`, so that preemption is
/// possible before any token was served.
const WASTE_ALLOWANCE_TOKENS: u64 = 128;

impl TieredQueue {
    /// Preempts running requests of lower tiers for waiting requests whose wait and expected
    /// prefill take at least half of their first-token target.
    pub(super) fn preempt_for_urgent(&mut self, now: TimePoint, actions: &mut Vec<QueueAction>) {
        while let Some(key) = self.urgent_job(now) {
            let Some(victims) = self.victims(now, key) else { return };
            let tier = self.classes[&self.jobs[key].spec.class].tier;
            for victim in victims {
                self.preempt(victim, tier, actions);
            }
            self.start(now, key, DecisionReason::FirstInOrder, actions);
        }
    }

    /// Returns the next request of the least served class in the highest waiting tier if the
    /// request never ran and its wait plus its expected prefill takes at least half of its
    /// first-token target.
    fn urgent_job(&self, now: TimePoint) -> Option<JobKey> {
        if self.slots == 0 {
            return None;
        }
        let class = &self.classes[&self.highest_tier_class()?];
        let key = class.next_job()?;
        let job = &self.jobs[key];
        let waited = now.since(job.spec.arrived).as_micros() as u64;
        let prefill = self.speed.time_to_first_token(job.prompt_left()).as_micros() as u64;
        let urgent = waited + prefill >= class.first_token_micros / 2;
        (urgent && job.state == JobState::Queued).then_some(key)
    }

    /// Returns the running requests to preempt so that `key` can start, or `None` if preemption
    /// cannot free enough capacity.
    ///
    /// Requests of the lowest tier are preempted first, and within a tier the request that started
    /// last. A request is not preempted if the token share that is expected for its class
    /// afterwards is below the class's target share, or if the preemption would put more tokens at
    /// risk than [`waste_budget`](TieredQueue::waste_budget) allows. The result is also `None` if
    /// more preempted requests would wait than the endpoint has slots.
    fn victims(&mut self, now: TimePoint, key: JobKey) -> Option<Vec<JobKey>> {
        let tier = self.classes[&self.jobs[key].spec.class].tier;
        let mut candidates: Vec<JobKey> =
            self.running.iter().copied().filter(|&key| self.may_preempt(tier, key)).collect();
        candidates.sort_unstable_by_key(|&key| {
            let job = &self.jobs[key];
            let tier = self.classes[&job.spec.class].tier;
            std::cmp::Reverse((tier, job.started, job.sequence))
        });
        let running = self.running.len() as u32;
        let lookahead_tokens = self.floor_lookahead_tokens();
        let max_victims = self.slots.saturating_sub(self.preempted_count) as usize;
        let mut budget = self.waste_budget();
        let (mut victims, mut freed) = (Vec::new(), 0);
        for victim in candidates {
            let fits_slots = running < self.slots + victims.len() as u32;
            if fits_slots && self.fits_kv(key, freed) {
                break;
            }
            let risk = self.tokens_at_risk(victim);
            if risk > budget {
                continue;
            }
            let class_key = self.jobs[victim].spec.class;
            let chosen =
                victims.iter().filter(|&&key: &&JobKey| self.jobs[key].spec.class == class_key);
            let chosen = chosen.count() as u32;
            let class = self.classes.get_mut(&class_key)?;
            let left = class.running - chosen - 1;
            if class.target_attainment(now, left, running - class.running, lookahead_tokens)
                >= PPM_SCALE
            {
                freed += self.jobs[victim].kv_reserved;
                budget -= risk;
                victims.push(victim);
            }
        }
        let fits_slots = running < self.slots + victims.len() as u32;
        let enough = fits_slots && self.fits_kv(key, freed) && victims.len() <= max_victims;
        (enough && !victims.is_empty()).then_some(victims)
    }

    /// Reports whether a running request may be preempted for a request of `tier`.
    ///
    /// A request that cannot resume may restart only while none of its output has been sent to
    /// the caller.
    fn may_preempt(&self, tier: u8, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let class = &self.classes[&job.spec.class];
        class.tier > tier
            && class.preemptible
            && job.spec.idempotent
            && job.preemptions < MAX_PREEMPTIONS
            && (job.spec.resumable || job.generated == 0)
    }

    /// Returns the tokens that a preemption of the request may waste. For a resumable request this
    /// is its output so far, which is lost if the request does not complete; otherwise it is its
    /// prompt.
    fn tokens_at_risk(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        if job.spec.resumable {
            u64::from(job.generated)
        } else {
            u64::from(job.spec.prompt_tokens)
        }
    }

    /// Returns the number of tokens that further preemptions may put at risk.
    fn waste_budget(&self) -> u64 {
        let allowed = WASTE_ALLOWANCE_TOKENS + self.served_tokens * MAX_WASTE_PERCENT / 100;
        let preempted = self.classes.values().flat_map(|class| class.preempted.values());
        let at_risk: u64 = preempted.map(|&key| u64::from(self.jobs[key].generated)).sum();
        allowed.saturating_sub(self.wasted_tokens + at_risk)
    }

    /// Preempts a running request for a request of `tier` and returns it to the waiting
    /// requests.
    fn preempt(&mut self, key: JobKey, tier: u8, actions: &mut Vec<QueueAction>) {
        self.stop_running(key);
        let job = &mut self.jobs[key];
        if !job.spec.resumable {
            self.wasted_tokens += u64::from(job.spec.prompt_tokens);
        }
        job.state = JobState::Preempted;
        job.rank = WaitRank::Preempted;
        job.preemptions += 1;
        let request = job.spec.id;
        let timer = self.wait_timer(&self.jobs[key]);
        self.enqueue(key);
        self.set_timer(key, timer);
        actions.push(QueueAction::Preempt {
            request,
            reason: DecisionReason::HigherTierWaits { tier },
        });
    }
}
