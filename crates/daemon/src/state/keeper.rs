//! The lease and the usage ledger of one process.

use std::sync::{Arc, Mutex, MutexGuard};

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    control::{
        LeaseHolder, LeaseLimits, ListedHost, OrderAction, OrderLimits, OrderReply, OrderTracker,
        UsageLedger,
    },
    ids::{FencingNumber, ProcessId},
    record::{LeaseState, OrderIntent, StateRecord, StateSnapshot, WindowClosed},
    scale::{EndpointScaler, FleetStatus, ScaleDecision},
    time::TimePoint,
};

use crate::{
    clock::{ProcessClock, wall_ms},
    logs::part,
    state::{ClaimRegistry, UsageCounter, UsageEntry},
};

/// Name of the lease under which orders and usage reports are sent.
const CONTROL_LEASE: &str = "control";

/// What one process keeps of the `state` stream.
#[derive(Debug)]
pub(crate) struct StateKeeper {
    clock: ProcessClock,
    process: ProcessId,
    /// Claims, in an entry.
    pub(crate) claims: Option<Arc<ClaimRegistry>>,
    /// Counts, in an entry.
    pub(crate) witness: Option<Arc<UsageEntry>>,
    /// Counts, in an agent.
    pub(crate) counter: Option<Arc<UsageCounter>>,
    parts: Mutex<KeeperParts>,
}

#[derive(Debug)]
struct KeeperParts {
    next: u64,
    lease: LeaseHolder,
    ledger: UsageLedger,
    orders: OrderTracker,
    scaler: EndpointScaler,
    closing: bool,
}

impl StateKeeper {
    /// Returns the keeper of a process that has read nothing.
    pub(crate) fn new(
        clock: ProcessClock,
        process: ProcessId,
        claims: Option<Arc<ClaimRegistry>>,
        witness: Option<Arc<UsageEntry>>,
        counter: Option<Arc<UsageCounter>>,
    ) -> StateKeeper {
        let limits = LeaseLimits::default();
        let lease =
            LeaseHolder::new(process.clone(), CONTROL_LEASE, limits, clock.now(), wall_ms());
        let orders = OrderTracker::new(process.clone(), OrderLimits::default());
        let parts = KeeperParts {
            next: 0,
            lease,
            ledger: UsageLedger::new(),
            orders,
            scaler: EndpointScaler::new(),
            closing: false,
        };
        StateKeeper { clock, process, claims, witness, counter, parts: Mutex::new(parts) }
    }

    /// Returns whether this process may hold the lease: entries do, agents do not.
    pub(crate) fn is_candidate(&self) -> bool {
        self.claims.is_some()
    }

    /// Takes the record at `offset` that the log took at `at_ms`.
    pub(crate) fn read(
        &self,
        offset: u64,
        at_ms: u64,
        record: &StateRecord,
        lives: impl Fn(&ProcessId) -> bool,
    ) {
        if let Some(claims) = &self.claims {
            claims.read(at_ms, record, lives);
        }
        if let Some(witness) = &self.witness {
            witness.read(record);
        }
        let mut parts = self.lock();
        parts.next = offset + 1;
        if let Some(counter) = &self.counter {
            counter.read(record, parts.closing);
        }
        if self.is_candidate() {
            let held = parts.lease.may_act(self.clock.now()).is_some();
            let fencing = parts.lease.state().map(|state| state.fencing);
            parts.orders.apply(self.clock.now(), record, fencing);
            parts.lease.read(self.clock.now(), offset, record);
            parts.ledger.apply(offset, record);
            if !held && parts.lease.may_act(self.clock.now()).is_some() {
                log::info!(target: part::CONTROL, "This process holds the lease.");
            }
        }
    }

    /// Returns the offset of the `state` stream that has to be read next.
    pub(crate) fn next_offset(&self) -> u64 {
        self.lock().next
    }

    /// Passes over the record at `offset`, which cannot be read.
    pub(crate) fn skip(&self, offset: u64) {
        self.lock().next = offset + 1;
    }

    /// Returns all state that the log's records add up to, in an entry.
    pub(crate) fn snapshot(&self) -> Option<StateSnapshot> {
        // Records are read on this thread alone, so none comes between the parts.
        let parts = self.lock();
        let (log_ms, claims) = self.claims.as_ref()?.snapshot();
        Some(StateSnapshot {
            next: parts.next,
            log_ms,
            leases: parts.lease.state().into_iter().cloned().collect(),
            open_orders: parts.orders.open().cloned().collect(),
            settled_orders: parts.orders.settled().map(Into::into).collect(),
            usage: parts.ledger.snapshot(),
            claims,
        })
    }

    /// Takes over a snapshot of the log, unless it is older than what was read.
    pub(crate) fn restore(&self, snapshot: &StateSnapshot) -> bool {
        let now = self.clock.now();
        let mut parts = self.lock();
        if snapshot.next <= parts.next {
            return false;
        }
        parts.next = snapshot.next;
        for state in snapshot.leases.iter().filter(|state| &*state.lease == CONTROL_LEASE) {
            parts.lease.restore(now, state);
        }
        parts.orders.restore(now, &snapshot.open_orders, &snapshot.settled_orders);
        parts.ledger = UsageLedger::with_snapshot(&snapshot.usage);
        if let Some(claims) = &self.claims {
            claims.restore(snapshot.log_ms, &snapshot.claims);
        }
        true
    }

    /// Notes that records are missing: what they held of this process's counts is not known.
    pub(crate) fn note_gap(&self, from: u64, head: u64) {
        log::warn!(target: part::CONTROL, "State records {from} to {head} are no longer there.");
        if let Some(witness) = &self.witness {
            let forgotten = witness.forget();
            log::warn!(target: part::USAGE, "Counts of {forgotten} attempts are given up.");
        }
    }

    /// Notes the clocks and the rank among the candidates for the lease.
    pub(crate) fn observe(&self, rank: u32) {
        let mut parts = self.lock();
        parts.lease.observe(self.clock.now(), wall_ms());
        parts.lease.set_rank(rank);
    }

    /// Returns the records to append now; `batches` says whether usage counts are due.
    pub(crate) fn next_appends(&self, batches: bool) -> Vec<StateRecord> {
        let now = self.clock.now();
        let mut records = Vec::new();
        if let Some(claims) = &self.claims {
            records.extend(claims.next_appends(now));
        }
        if batches {
            records.extend(self.counter.iter().filter_map(|counter| counter.next_append()));
            records.extend(self.witness.iter().flat_map(|witness| witness.next_appends()));
        }
        if self.is_candidate() {
            records.extend(self.lock().lease.next_append(now));
        }
        records
    }

    /// Returns the lease as the log has it.
    pub(crate) fn lease(&self) -> Option<LeaseState> {
        self.lock().lease.state().cloned()
    }

    /// Returns the fencing number if this process may act.
    pub(crate) fn may_act(&self) -> Option<FencingNumber> {
        self.lock().lease.may_act(self.clock.now())
    }

    /// Checks the lease right before an order or report is written.
    pub(crate) fn begin_act(&self) -> Option<FencingNumber> {
        let mut parts = self.lock();
        // A jump of the clock since the last tick must be seen before the act.
        parts.lease.observe(self.clock.now(), wall_ms());
        parts.lease.begin_act(self.clock.now())
    }

    /// Notes that an order or report is written.
    pub(crate) fn end_act(&self) {
        self.lock().lease.end_act();
    }

    /// Answers a peer whether `holder` is out for good under `fencing`.
    pub(crate) fn answer_out(&self, holder: &ProcessId, fencing: FencingNumber) -> bool {
        self.lock().lease.confirm_relinquished(self.clock.now(), holder, fencing)
    }

    /// Notes that the holder answered that it is out under `fencing`.
    pub(crate) fn note_answer(&self, fencing: FencingNumber) {
        self.lock().lease.note_relinquished(fencing);
    }

    /// Notes whether the host list asked for at `sent` holds the lease's holder.
    pub(crate) fn note_host_list(&self, sent: TimePoint, listed: impl Fn(&ProcessId) -> bool) {
        let mut parts = self.lock();
        let Some(state) = parts.lease.state().cloned() else { return };
        let Some(holder) = &state.holder else { return };
        let listed = *holder == self.process || listed(holder);
        parts.lease.note_host_list(sent, state.fencing, listed);
    }

    /// Returns the record that closes the next window whose time is over.
    ///
    /// `complete` is the last window that no process counts into any more.
    pub(crate) fn close_window(&self, complete: u64) -> Option<StateRecord> {
        let parts = self.lock();
        let fencing = parts.lease.may_act(self.clock.now())?;
        if parts.ledger.next_report().is_some() {
            return None;
        }
        let closed = parts.ledger.last_closed();
        let pending: Vec<u64> = parts.ledger.pending().map(|line| line.window).collect();
        let open = |window: &u64| closed.is_none_or(|closed| *window > closed);
        let due = pending.iter().copied().filter(open).filter(|window| *window <= complete).min();
        let late = pending.iter().any(|window| !open(window)) && open(&complete);
        let window = due.or(late.then_some(complete))?;
        parts.ledger.close(window, fencing)
    }

    /// Returns the closed window that has to be reported next.
    pub(crate) fn next_report(&self) -> Option<WindowClosed> {
        self.lock().ledger.next_report().cloned()
    }

    /// Returns the record that says that `window` was reported under `fencing`.
    pub(crate) fn reported(&self, window: u64, fencing: FencingNumber) -> StateRecord {
        self.lock().ledger.reported(window, fencing)
    }

    /// Takes a read of the host list asked for at `sent` as evidence about open orders.
    pub(crate) fn note_order_hosts(&self, sent: TimePoint, hosts: &[ListedHost]) {
        self.lock().orders.note_hosts(sent, hosts);
    }

    /// Returns what to do about the open orders.
    pub(crate) fn next_order_actions(&self, fencing: FencingNumber) -> Vec<OrderAction> {
        self.lock().orders.next_actions(self.clock.now(), fencing)
    }

    /// Returns the orders whose effect the host list may not show yet, the newest last.
    pub(crate) fn orders_in_effect(&self) -> Vec<OrderIntent> {
        self.lock().orders.pending_effects(self.clock.now())
    }

    /// Checks the lease right before an order is written, and notes that it is.
    pub(crate) fn begin_order(&self, id: &str) -> Option<FencingNumber> {
        let fencing = self.begin_act()?;
        self.lock().orders.mark_sent(id);
        Some(fencing)
    }

    /// Notes how the call that sent an order ended.
    pub(crate) fn order_replied(&self, id: &str, reply: OrderReply) {
        self.lock().orders.record_reply(id, self.clock.now(), reply);
    }

    /// Returns what the fleet needs by the scaling policy.
    pub(crate) fn scale(
        &self,
        catalog: &ServiceCatalog,
        status: &FleetStatus,
    ) -> Vec<ScaleDecision> {
        self.lock().scaler.step(self.clock.now(), status, catalog)
    }

    /// Begins a planned stop.
    pub(crate) fn resign(&self) {
        let mut parts = self.lock();
        parts.closing = true;
        parts.lease.resign();
        if let Some(counter) = &self.counter {
            counter.close();
        }
    }

    /// Returns whether nothing of this process is missing in the log.
    pub(crate) fn is_settled(&self) -> bool {
        let counted = self.counter.as_ref().is_none_or(|counter| counter.is_fenced());
        let witnessed = self.witness.as_ref().is_none_or(|witness| witness.open_attempts() == 0);
        let claimed = self.claims.as_ref().is_none_or(|claims| claims.is_settled());
        counted && witnessed && claimed && self.lock().lease.has_relinquished()
    }

    fn lock(&self) -> MutexGuard<'_, KeeperParts> {
        self.parts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
