//! One process's acquisition, renewal and release of a lease.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    control::{LeaseChange, LeaseTable},
    ids::{FencingNumber, ProcessId},
    record::{LeaseClaim, LeaseEvidence, LeaseRelease, LeaseRenewal, LeaseState, StateRecord},
    time::TimePoint,
};

/// Additional time per rank that a candidate waits before it claims the lease.
const RANK_DELAY_STEP: Duration = Duration::from_millis(500);

/// Condition under which a process may claim a lease that its holder has not released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessionRule {
    /// One term has passed without a renewal.
    ///
    /// This is safe for actions whose receiver refuses old fencing numbers.
    AfterTerm,
    /// There is evidence that the holder no longer acts.
    ///
    /// This is needed for actions whose receiver does not check fencing numbers.
    OnEvidence {
        /// Time for which the holder's host must be missing from the platform's host list.
        absent_for: Duration,
        /// Time without a renewal after which the lease is claimed without evidence; `None`
        /// means that it is never claimed without evidence.
        force_after: Option<Duration>,
    },
}

/// Time limits of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseLimits {
    /// Duration of a claim or renewal, counted from the time at which it was sent.
    pub term: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Margin by which the holder stops early and a successor waits longer, because their clocks
    /// may run at different rates.
    pub clock_margin: Duration,
    /// Longest time between a call of [`LeaseHolder::observe`] and an action under the lease.
    pub max_observation_age: Duration,
    /// Largest difference between the progress of the monotonic clock and that of the wall clock
    /// from one observation to the next; a larger one counts as a clock jump.
    pub max_clock_jump: Duration,
    /// Condition under which a successor may claim the lease.
    pub succession: SuccessionRule,
}

impl Default for LeaseLimits {
    fn default() -> LeaseLimits {
        LeaseLimits {
            term: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            clock_margin: Duration::from_millis(500),
            max_observation_age: Duration::from_secs(1),
            max_clock_jump: Duration::from_millis(500),
            succession: SuccessionRule::OnEvidence {
                absent_for: Duration::from_secs(30),
                force_after: None,
            },
        }
    }
}

/// The lease while this process holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fencing: FencingNumber,
    /// Time from which this process must not act unless it renews the lease.
    ends: TimePoint,
}

/// Evidence that another process, which holds the lease, no longer acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct HolderEvidence {
    /// Time of the first read of the host list without the holder's host after the last read with
    /// that host; `None` if there is no such read.
    first_absent: Option<TimePoint>,
    /// Time of the last read of the host list without the holder's host; `None` if the last read
    /// listed the host or there was no read.
    last_absent: Option<TimePoint>,
    /// Highest fencing number under which the holder of that number confirmed that it will not act
    /// again.
    relinquished: Option<FencingNumber>,
}

/// Holds, or tries to acquire, one lease for one process.
///
/// The holder measures the term on its own monotonic clock from just before it sends a claim or
/// renewal. A successor measures the term on its own clock from the time at which it reads that
/// record, which is later. The lease therefore relies only on the rates of the two clocks and
/// never compares their readings. A process that lost the lease never acts under the old fencing
/// number again; it makes a new claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    process: ProcessId,
    lease: Box<str>,
    limits: LeaseLimits,
    rank: u32,
    table: LeaseTable,
    /// Time at which this process read the last change of the lease.
    changed_at: TimePoint,
    /// Monotonic time and wall clock, in milliseconds, of the last observation.
    last_observation: (TimePoint, u64),
    sequence: u64,
    /// Time at which each claim or renewal was sent, by its sequence number.
    sent_at: BTreeMap<u64, TimePoint>,
    last_sent: Option<TimePoint>,
    held: Option<HeldLease>,
    /// Highest fencing number under which this process must not act any more.
    retired_fencing: Option<FencingNumber>,
    /// Number of actions in progress.
    acting: u32,
    resigned: bool,
    holder_evidence: HolderEvidence,
}

impl LeaseHolder {
    /// Returns the state of a process that does not hold `lease`.
    ///
    /// `wall_ms` is the wall clock in milliseconds; it serves only to detect clock jumps.
    pub fn new(
        process: ProcessId,
        lease: &str,
        limits: LeaseLimits,
        now: TimePoint,
        wall_ms: u64,
    ) -> LeaseHolder {
        LeaseHolder {
            process,
            lease: lease.into(),
            limits,
            rank: 0,
            table: LeaseTable::new(),
            changed_at: now,
            last_observation: (now, wall_ms),
            sequence: 0,
            sent_at: BTreeMap::new(),
            last_sent: None,
            held: None,
            retired_fencing: None,
            acting: 0,
            resigned: false,
            holder_evidence: HolderEvidence::default(),
        }
    }

    /// Restores the lease's state from a snapshot after a gap in the log.
    ///
    /// A snapshot that is not newer than the known state is ignored. Otherwise this process no
    /// longer holds the lease.
    pub fn restore(&mut self, now: TimePoint, state: &LeaseState) {
        if self.state().is_some_and(|known| known.last >= state.last) {
            return;
        }
        self.table = LeaseTable::with_leases(std::slice::from_ref(state));
        self.changed_at = now;
        self.holder_evidence = HolderEvidence::default();
        self.drop_hold();
    }

    /// Sets this process's rank among the candidates; the candidate with rank 0 claims first.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns the lease's state in the log, or `None` if the lease was never claimed.
    pub fn state(&self) -> Option<&LeaseState> {
        self.table.lease(&self.lease)
    }

    /// Records the readings of both clocks; a jump of either clock ends this process's hold.
    pub fn observe(&mut self, now: TimePoint, wall_ms: u64) {
        let (last, last_wall) = self.last_observation;
        let passed = now.since(last);
        let wall_passed = i128::from(wall_ms) - i128::from(last_wall);
        let divergence = (wall_passed - passed.as_millis() as i128).unsigned_abs();
        if now < last || divergence > self.limits.max_clock_jump.as_millis() {
            self.drop_hold();
        }
        self.last_observation = (now, wall_ms);
        if self.held.is_some_and(|held| now >= held.ends) {
            self.drop_hold();
        }
    }

    /// Applies the record at `offset` of the `state` stream.
    pub fn read(&mut self, now: TimePoint, offset: u64, record: &StateRecord) -> LeaseChange {
        let change = self.table.apply(offset, record);
        match &change {
            LeaseChange::Granted { lease, holder, fencing, sequence } if *lease == self.lease => {
                self.changed_at = now;
                self.holder_evidence = HolderEvidence::default();
                self.held = None;
                if *holder == self.process {
                    self.extend_hold(*fencing, *sequence);
                }
            }
            LeaseChange::Renewed { lease, fencing, sequence } if *lease == self.lease => {
                self.changed_at = now;
                self.holder_evidence = HolderEvidence::default();
                if self.held.is_some_and(|held| held.fencing == *fencing) {
                    self.extend_hold(*fencing, *sequence);
                }
            }
            LeaseChange::Released { lease, .. } if *lease == self.lease => {
                self.changed_at = now;
                self.held = None;
            }
            _ => {}
        }
        change
    }

    /// Returns the record to append now, or `None` if no append is due.
    ///
    /// The term of a claim or renewal starts with this call. A caller need not handle an append
    /// whose answer is lost: this process learns from the log whether the record was appended, and
    /// a later call returns another record.
    pub fn next_append(&mut self, now: TimePoint) -> Option<StateRecord> {
        let state = self.state().cloned();
        let holder = state.as_ref().and_then(|state| state.holder.as_ref());
        let is_holder = holder == Some(&self.process);
        if self.resigned {
            let state = state.filter(|_| is_holder && self.acting == 0)?;
            self.drop_hold();
            return self.append_due(now).then(|| self.release(now, state.fencing));
        }
        if !self.append_due(now) {
            return None;
        }
        match (self.held, state) {
            (Some(held), Some(_)) => Some(self.renewal(now, held.fencing)),
            (_, state) => {
                let evidence = self.claim_evidence(now, state.as_ref())?;
                Some(self.claim(now, state.map(|state| state.last), evidence))
            }
        }
    }

    /// Returns the fencing number under which this process may act now, or `None` if it may not.
    pub fn may_act(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held?;
        let (observed, _) = self.last_observation;
        let current = now >= observed && now.since(observed) <= self.limits.max_observation_age;
        let acts = current && now < held.ends && !self.resigned;
        acts.then_some(held.fencing)
    }

    /// Begins an action: checks the lease immediately before an order or report is written.
    ///
    /// Returns the fencing number for the action, or `None` if this process may not act. For each
    /// `Some`, call [`end_act`](LeaseHolder::end_act) once.
    pub fn begin_act(&mut self, now: TimePoint) -> Option<FencingNumber> {
        let fencing = self.may_act(now)?;
        self.acting += 1;
        Some(fencing)
    }

    /// Ends an action: nothing more will be written for the order or report of the action.
    pub fn end_act(&mut self) {
        self.acting = self.acting.saturating_sub(1);
    }

    /// Reports to a peer whether `holder` will never act again under `fencing`.
    ///
    /// After returning `true` for itself, this process never acts under `fencing` or a lower
    /// number. An earlier run of this process cannot act any more, because this run listens on
    /// its address.
    pub fn confirm_relinquished(
        &mut self,
        now: TimePoint,
        holder: &ProcessId,
        fencing: FencingNumber,
    ) -> bool {
        if self.is_earlier_run(holder) {
            return true;
        }
        if *holder != self.process {
            return false;
        }
        let holds = self.held.is_some_and(|held| now < held.ends);
        if holds || self.acting > 0 {
            return false;
        }
        self.drop_hold();
        self.retired_fencing = self.retired_fencing.max(Some(fencing));
        true
    }

    /// Records a successful read of the platform's host list.
    ///
    /// `listed` says whether the list contains the host of the process that holds the lease under
    /// `fencing`. The call has no effect if the lease has another fencing number.
    pub fn note_host_list(&mut self, now: TimePoint, fencing: FencingNumber, listed: bool) {
        if self.state().is_none_or(|state| state.fencing != fencing) {
            return;
        }
        if listed {
            self.holder_evidence.first_absent = None;
            self.holder_evidence.last_absent = None;
            return;
        }
        self.holder_evidence.first_absent = self.holder_evidence.first_absent.or(Some(now));
        self.holder_evidence.last_absent = Some(now);
    }

    /// Records the holder's confirmation that it will not act again under `fencing`.
    pub fn note_relinquished(&mut self, fencing: FencingNumber) {
        self.holder_evidence.relinquished = self.holder_evidence.relinquished.max(Some(fencing));
    }

    /// Begins a planned stop: no new action begins, and the lease is released as soon as no action
    /// is in progress.
    pub fn resign(&mut self) {
        self.resigned = true;
        self.last_sent = None;
    }

    /// Reports whether no action is in progress and the log shows that this process does not hold
    /// the lease.
    pub fn has_relinquished(&self) -> bool {
        let holder = self.state().and_then(|state| state.holder.as_ref());
        self.acting == 0 && holder != Some(&self.process)
    }

    /// Returns the evidence that permits a claim now, or `None` if a claim is not permitted.
    fn claim_evidence(&self, now: TimePoint, state: Option<&LeaseState>) -> Option<LeaseEvidence> {
        let Some(state) = state else { return self.after_rank_delay(now, LeaseEvidence::Vacant) };
        let Some(holder) = &state.holder else {
            return self.after_rank_delay(now, LeaseEvidence::Vacant);
        };
        if *holder == self.process || self.is_earlier_run(holder) {
            return (self.acting == 0).then_some(LeaseEvidence::Own);
        }
        if self.holder_evidence.relinquished >= Some(state.fencing) {
            return self.after_rank_delay(now, LeaseEvidence::Answered);
        }
        let waited = now.since(self.changed_at);
        let wait = Duration::from_millis(state.term_ms) + self.limits.clock_margin;
        if waited < wait + self.rank_delay() {
            return None;
        }
        match self.limits.succession {
            SuccessionRule::AfterTerm => Some(LeaseEvidence::Lapsed),
            SuccessionRule::OnEvidence { absent_for, force_after } => {
                if self.absent_time() >= Some(absent_for) {
                    return Some(LeaseEvidence::Absent);
                }
                let forced = force_after.is_some_and(|limit| waited >= limit + self.rank_delay());
                forced.then_some(LeaseEvidence::Lapsed)
            }
        }
    }

    /// Reports whether `holder` is an earlier run of this process.
    fn is_earlier_run(&self, holder: &ProcessId) -> bool {
        holder.name == self.process.name && holder.incarnation < self.process.incarnation
    }

    /// Returns the time between the first and the last read of the host list without the holder's
    /// host, or `None` if there is no such read.
    fn absent_time(&self) -> Option<Duration> {
        Some(self.holder_evidence.last_absent?.since(self.holder_evidence.first_absent?))
    }

    /// Returns `evidence` once the delay for this process's rank has passed.
    fn after_rank_delay(&self, now: TimePoint, evidence: LeaseEvidence) -> Option<LeaseEvidence> {
        (now.since(self.changed_at) >= self.rank_delay()).then_some(evidence)
    }

    fn rank_delay(&self) -> Duration {
        RANK_DELAY_STEP * self.rank
    }

    /// Reports whether the renewal interval has passed since the last append.
    fn append_due(&self, now: TimePoint) -> bool {
        self.last_sent.is_none_or(|sent| now.since(sent) >= self.limits.renew_interval)
    }

    /// Extends the hold by the claim or renewal with `sequence`, if its sending time is known.
    fn extend_hold(&mut self, fencing: FencingNumber, sequence: u64) {
        let Some(sent) = self.sent_at.remove(&sequence) else { return };
        if self.retired_fencing >= Some(fencing) {
            return;
        }
        let ends = sent + self.limits.term - self.limits.clock_margin;
        let known = self.held.map_or(TimePoint::ZERO, |held| held.ends);
        self.held = Some(HeldLease { fencing, ends: ends.max(known) });
    }

    /// Ends the hold and retires its fencing number.
    fn drop_hold(&mut self) {
        if let Some(held) = self.held.take() {
            self.retired_fencing = self.retired_fencing.max(Some(held.fencing));
        }
        self.sent_at.clear();
    }

    /// Returns the sequence number of a record that is sent now, and records the sending time.
    fn next_sequence(&mut self, now: TimePoint) -> u64 {
        self.sequence += 1;
        let term = self.limits.term;
        self.sent_at.retain(|_, sent| now.since(*sent) < term);
        self.sent_at.insert(self.sequence, now);
        self.last_sent = Some(now);
        self.sequence
    }

    fn claim(&mut self, now: TimePoint, seen: Option<u64>, evidence: LeaseEvidence) -> StateRecord {
        StateRecord::LeaseClaim(LeaseClaim {
            lease: self.lease.clone(),
            holder: self.process.clone(),
            sequence: self.next_sequence(now),
            seen,
            term_ms: self.limits.term.as_millis() as u64,
            evidence,
        })
    }

    fn renewal(&mut self, now: TimePoint, fencing: FencingNumber) -> StateRecord {
        StateRecord::LeaseRenewal(LeaseRenewal {
            lease: self.lease.clone(),
            holder: self.process.clone(),
            sequence: self.next_sequence(now),
            fencing,
        })
    }

    fn release(&mut self, now: TimePoint, fencing: FencingNumber) -> StateRecord {
        self.last_sent = Some(now);
        StateRecord::LeaseRelease(LeaseRelease {
            lease: self.lease.clone(),
            holder: self.process.clone(),
            fencing,
        })
    }
}
