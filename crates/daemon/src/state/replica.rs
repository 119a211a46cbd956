//! One process's replica of the `state` stream: claims, usage, orders and the lease.

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
    state::{BackupCounter, ClaimRegistry, UsageCounter},
};

/// Name of the lease under which orders and usage reports are sent.
const CONTROL_LEASE: &str = "control";

/// Holds what one process derives from the `state` stream and has yet to append to it.
#[derive(Debug)]
pub(crate) struct StateReplica {
    clock: ProcessClock,
    process: ProcessId,
    /// Claims; `None` in an agent.
    pub(crate) claims: Option<Arc<ClaimRegistry>>,
    /// Backup of the agents' usage counts; `None` in an agent.
    pub(crate) backup: Option<Arc<BackupCounter>>,
    /// Usage counts of this process; `None` in an entry.
    pub(crate) counter: Option<Arc<UsageCounter>>,
    inner: Mutex<ReplicaInner>,
}

#[derive(Debug)]
struct ReplicaInner {
    /// Offset to read next.
    next: u64,
    lease: LeaseHolder,
    ledger: UsageLedger,
    orders: OrderTracker,
    scaler: EndpointScaler,
    /// Whether a planned stop has begun.
    closing: bool,
}

impl StateReplica {
    /// Returns the replica of a process that has read no record.
    pub(crate) fn new(
        clock: ProcessClock,
        process: ProcessId,
        claims: Option<Arc<ClaimRegistry>>,
        backup: Option<Arc<BackupCounter>>,
        counter: Option<Arc<UsageCounter>>,
    ) -> StateReplica {
        let limits = LeaseLimits::default();
        let lease =
            LeaseHolder::new(process.clone(), CONTROL_LEASE, limits, clock.now(), wall_ms());
        let orders = OrderTracker::new(process.clone(), OrderLimits::default());
        let inner = ReplicaInner {
            next: 0,
            lease,
            ledger: UsageLedger::new(),
            orders,
            scaler: EndpointScaler::new(),
            closing: false,
        };
        StateReplica { clock, process, claims, backup, counter, inner: Mutex::new(inner) }
    }

    /// Reports whether this process may hold the lease; only entries may.
    pub(crate) fn is_candidate(&self) -> bool {
        self.claims.is_some()
    }

    /// Applies the record at `offset`, which was appended at `at_ms`.
    pub(crate) fn read(
        &self,
        offset: u64,
        at_ms: u64,
        record: &StateRecord,
        is_alive: impl Fn(&ProcessId) -> bool,
    ) {
        if let Some(claims) = &self.claims {
            claims.read(at_ms, record, is_alive);
        }
        if let Some(backup) = &self.backup {
            backup.read(record);
        }
        let mut inner = self.lock();
        inner.next = offset + 1;
        if let Some(counter) = &self.counter {
            counter.read(record, inner.closing);
        }
        if self.is_candidate() {
            let was_holder = inner.lease.may_act(self.clock.now()).is_some();
            let fencing = inner.lease.state().map(|state| state.fencing);
            inner.orders.apply(self.clock.now(), record, fencing);
            inner.lease.read(self.clock.now(), offset, record);
            inner.ledger.apply(offset, record);
            if !was_holder && inner.lease.may_act(self.clock.now()).is_some() {
                log::info!(target: part::CONTROL, "This process holds the lease.");
            }
        }
    }

    /// Returns the offset of the `state` stream that has to be read next.
    pub(crate) fn next_offset(&self) -> u64 {
        self.lock().next
    }

    /// Skips the record at `offset`, which cannot be decoded.
    pub(crate) fn skip(&self, offset: u64) {
        self.lock().next = offset + 1;
    }

    /// Returns a snapshot of the state after all records read so far; `None` in an agent.
    pub(crate) fn snapshot(&self) -> Option<StateSnapshot> {
        // Only this thread applies records, so the claims are at the same offset.
        let inner = self.lock();
        let (log_ms, claims) = self.claims.as_ref()?.snapshot();
        Some(StateSnapshot {
            next: inner.next,
            log_ms,
            leases: inner.lease.state().into_iter().cloned().collect(),
            open_orders: inner.orders.open().cloned().collect(),
            settled_orders: inner.orders.settled().map(Into::into).collect(),
            usage: inner.ledger.snapshot(),
            claims,
        })
    }

    /// Restores a snapshot if it is newer than this replica, and reports whether it was.
    pub(crate) fn restore(&self, snapshot: &StateSnapshot) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        if snapshot.next <= inner.next {
            return false;
        }
        inner.next = snapshot.next;
        for state in snapshot.leases.iter().filter(|state| &*state.lease == CONTROL_LEASE) {
            inner.lease.restore(now, state);
        }
        inner.orders.restore(now, &snapshot.open_orders, &snapshot.settled_orders);
        inner.ledger = UsageLedger::with_snapshot(&snapshot.usage);
        if let Some(claims) = &self.claims {
            claims.restore(snapshot.log_ms, &snapshot.claims);
        }
        true
    }

    /// Handles the loss of log records that were dropped before they were read.
    ///
    /// The records may have held counts of this process, so an entry drops its unconfirmed counts.
    pub(crate) fn note_gap(&self, from: u64, head: u64) {
        log::warn!(target: part::CONTROL, "State records {from} to {head} are no longer in the log.");
        if let Some(backup) = &self.backup {
            let forgotten = backup.forget();
            log::warn!(target: part::USAGE, "The usage counts of {forgotten} attempts are dropped.");
        }
    }

    /// Updates the lease with the current clocks and this process's rank among the candidates.
    pub(crate) fn observe(&self, rank: u32) {
        let mut inner = self.lock();
        inner.lease.observe(self.clock.now(), wall_ms());
        inner.lease.set_rank(rank);
    }

    /// Returns the records to append now; usage counts are included if `batches` is true.
    pub(crate) fn next_appends(&self, batches: bool) -> Vec<StateRecord> {
        let now = self.clock.now();
        let mut records = Vec::new();
        if let Some(claims) = &self.claims {
            records.extend(claims.next_appends(now));
        }
        if batches {
            records.extend(self.counter.iter().filter_map(|counter| counter.next_append()));
            records.extend(self.backup.iter().flat_map(|backup| backup.next_appends()));
        }
        if self.is_candidate() {
            records.extend(self.lock().lease.next_append(now));
        }
        records
    }

    /// Returns the state of the lease in the log; `None` if the log has none.
    pub(crate) fn lease(&self) -> Option<LeaseState> {
        self.lock().lease.state().cloned()
    }

    /// Returns the fencing number if this process may act as the lease holder.
    pub(crate) fn may_act(&self) -> Option<FencingNumber> {
        self.lock().lease.may_act(self.clock.now())
    }

    /// Checks the lease immediately before an order or a report is written.
    pub(crate) fn begin_act(&self) -> Option<FencingNumber> {
        let mut inner = self.lock();
        // A clock jump since the last tick must be detected before the order is written.
        inner.lease.observe(self.clock.now(), wall_ms());
        inner.lease.begin_act(self.clock.now())
    }

    /// Records that the call that writes an order or a report has ended.
    pub(crate) fn end_act(&self) {
        self.lock().lease.end_act();
    }

    /// Reports to a peer whether `holder` has relinquished the lease under `fencing`.
    pub(crate) fn confirm_relinquished(&self, holder: &ProcessId, fencing: FencingNumber) -> bool {
        self.lock().lease.confirm_relinquished(self.clock.now(), holder, fencing)
    }

    /// Records that the holder confirmed that it relinquished the lease under `fencing`.
    pub(crate) fn note_relinquished(&self, fencing: FencingNumber) {
        self.lock().lease.note_relinquished(fencing);
    }

    /// Records whether the host list requested at `sent` includes the lease holder.
    pub(crate) fn note_host_list(&self, sent: TimePoint, listed: impl Fn(&ProcessId) -> bool) {
        let mut inner = self.lock();
        let Some(state) = inner.lease.state().cloned() else { return };
        let Some(holder) = &state.holder else { return };
        let listed = *holder == self.process || listed(holder);
        inner.lease.note_host_list(sent, state.fencing, listed);
    }

    /// Returns the record that closes the next usage window that is due.
    ///
    /// `complete` is the last window into which no process counts any more. Returns `None` while a
    /// closed window is not reported, or if this process does not hold the lease.
    pub(crate) fn close_window(&self, complete: u64) -> Option<StateRecord> {
        let inner = self.lock();
        let fencing = inner.lease.may_act(self.clock.now())?;
        if inner.ledger.next_report().is_some() {
            return None;
        }
        let closed = inner.ledger.last_closed();
        let pending: Vec<u64> = inner.ledger.pending().map(|line| line.window).collect();
        let open = |window: &u64| closed.is_none_or(|closed| *window > closed);
        let due = pending.iter().copied().filter(open).filter(|window| *window <= complete).min();
        let late = pending.iter().any(|window| !open(window)) && open(&complete);
        let window = due.or(late.then_some(complete))?;
        inner.ledger.close(window, fencing)
    }

    /// Returns the closed usage window to report next.
    pub(crate) fn next_report(&self) -> Option<WindowClosed> {
        self.lock().ledger.next_report().cloned()
    }

    /// Returns the record that marks `window` as reported under `fencing`.
    pub(crate) fn reported(&self, window: u64, fencing: FencingNumber) -> StateRecord {
        self.lock().ledger.reported(window, fencing)
    }

    /// Compares the open orders with the host list requested at `sent`.
    pub(crate) fn note_order_hosts(&self, sent: TimePoint, hosts: &[ListedHost]) {
        self.lock().orders.note_hosts(sent, hosts);
    }

    /// Returns the next steps for the open orders.
    pub(crate) fn next_order_actions(&self, fencing: FencingNumber) -> Vec<OrderAction> {
        self.lock().orders.next_actions(self.clock.now(), fencing)
    }

    /// Returns the orders whose effect the host list may not show yet.
    ///
    /// Orders that took effect recently come first, oldest first; open orders follow.
    pub(crate) fn pending_effects(&self) -> Vec<OrderIntent> {
        self.lock().orders.pending_effects(self.clock.now())
    }

    /// Checks the lease immediately before an order is written and marks the order as sent.
    pub(crate) fn begin_order(&self, id: &str) -> Option<FencingNumber> {
        let fencing = self.begin_act()?;
        self.lock().orders.mark_sent(id);
        Some(fencing)
    }

    /// Records the result of the call that sent an order.
    pub(crate) fn record_reply(&self, id: &str, reply: OrderReply) {
        self.lock().orders.record_reply(id, self.clock.now(), reply);
    }

    /// Returns the decisions of the scaling policy for the current state of the fleet.
    pub(crate) fn scale(
        &self,
        catalog: &ServiceCatalog,
        status: &FleetStatus,
    ) -> Vec<ScaleDecision> {
        self.lock().scaler.step(self.clock.now(), status, catalog)
    }

    /// Begins a planned stop: releases the lease and fences this process's usage run.
    pub(crate) fn resign(&self) {
        let mut inner = self.lock();
        inner.closing = true;
        inner.lease.resign();
        if let Some(counter) = &self.counter {
            counter.close();
        }
    }

    /// Reports whether the log holds all counts and claims of this process and the lease is
    /// relinquished.
    pub(crate) fn is_settled(&self) -> bool {
        let counted = self.counter.as_ref().is_none_or(|counter| counter.is_fenced());
        let backed_up = self.backup.as_ref().is_none_or(|backup| backup.open_attempts() == 0);
        let claimed = self.claims.as_ref().is_none_or(|claims| claims.is_settled());
        counted && backed_up && claimed && self.lock().lease.has_relinquished()
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaInner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
