//! Replay of the `state` stream.

use std::time::Duration;

use crate::{
    control::{
        ClaimEvent, ClaimTracker, LeaseChange, LeaseTable, OrderLimits, OrderTracker, UsageChange,
        UsageLedger,
    },
    ids::ProcessId,
    record::{StateRecord, StateSnapshot},
    time::TimePoint,
};

/// Name of the lease under which orders are sent.
pub const ORDER_LEASE: &str = "orders";

/// Name of the lease under which windows are closed and reported.
pub const USAGE_LEASE: &str = "usage";

/// What a record of the `state` stream did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateOutcome {
    /// It was next in order.
    Applied {
        /// What it did to a lease.
        lease: LeaseChange,
        /// What it did to usage.
        usage: UsageChange,
        /// What it means for a request that waits for its claim.
        claim: Option<ClaimEvent>,
    },
    /// A snapshot healed a gap; read on from [`StateReplay::next_offset`].
    Restored,
    /// The record was applied before, or is a snapshot of what is known.
    Ignored,
    /// Records are missing; read from `expected` on, or restore a snapshot.
    Gap {
        /// Offset that has to come next.
        expected: u64,
    },
}

/// Leases, orders, usage and claims that a prefix of the `state` stream adds up to.
#[derive(Clone, Debug)]
pub struct StateReplay {
    next: u64,
    leases: LeaseTable,
    orders: OrderTracker,
    usage: UsageLedger,
    claims: ClaimTracker,
}

impl StateReplay {
    /// Returns the state of `process` before any record; claims are kept for `retention`.
    pub fn new(process: ProcessId, limits: OrderLimits, retention: Duration) -> StateReplay {
        StateReplay {
            next: 0,
            leases: LeaseTable::new(),
            orders: OrderTracker::new(process.clone(), limits),
            usage: UsageLedger::new(),
            claims: ClaimTracker::new(process, retention),
        }
    }

    /// Returns the offset that has to come next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the leases.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the orders, for the holder of [`ORDER_LEASE`] to work on.
    pub fn orders_mut(&mut self) -> &mut OrderTracker {
        &mut self.orders
    }

    /// Returns the usage.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Returns the claims, for requests of this entry.
    pub fn claims_mut(&mut self) -> &mut ClaimTracker {
        &mut self.claims
    }

    /// Applies the record at `offset`, which the log took at `at_ms`.
    ///
    /// `lives` says whether a process's run lives, see
    /// [`MemberTable::lives`](crate::control::MemberTable::lives).
    pub fn apply(
        &mut self,
        now: TimePoint,
        offset: u64,
        at_ms: u64,
        record: &StateRecord,
        lives: impl Fn(&ProcessId) -> bool,
    ) -> StateOutcome {
        if let StateRecord::Snapshot(snapshot) = record
            && snapshot.next > self.next
            && snapshot.next <= offset
        {
            return self.restore(now, snapshot);
        }
        if offset > self.next {
            return StateOutcome::Gap { expected: self.next };
        }
        if offset < self.next {
            return StateOutcome::Ignored;
        }
        self.next += 1;
        let lease = self.leases.apply(offset, record);
        let fencing = self.leases.lease(ORDER_LEASE).map(|state| state.fencing);
        self.orders.apply(now, record, fencing);
        let usage = self.usage.apply(offset, record);
        let claim = self.claims.read(at_ms, record, lives);
        StateOutcome::Applied { lease, usage, claim }
    }

    /// Passes over the record at `offset`, which cannot be read.
    pub fn skip(&mut self, offset: u64) -> StateOutcome {
        if offset > self.next {
            return StateOutcome::Gap { expected: self.next };
        }
        self.next = self.next.max(offset + 1);
        StateOutcome::Ignored
    }

    /// Returns all state that the log's records add up to.
    pub fn snapshot(&self) -> StateSnapshot {
        let table = self.claims.table();
        StateSnapshot {
            next: self.next,
            log_ms: table.log_ms(),
            leases: self.leases.leases().cloned().collect(),
            open_orders: self.orders.open().cloned().collect(),
            settled_orders: self.orders.settled().map(Into::into).collect(),
            usage: self.usage.snapshot(),
            claims: table.claims().cloned().collect(),
        }
    }

    /// Takes over a snapshot from the log or a peer, unless it is older than what is known.
    ///
    /// Over a gap, call [`LeaseHolder::restore`](crate::control::LeaseHolder::restore) and
    /// [`UsageBackup::forget`](crate::control::UsageBackup::forget) too.
    pub fn restore(&mut self, now: TimePoint, snapshot: &StateSnapshot) -> StateOutcome {
        if snapshot.next <= self.next {
            return StateOutcome::Ignored;
        }
        self.next = snapshot.next;
        self.leases = LeaseTable::with_leases(&snapshot.leases);
        self.orders.restore(now, &snapshot.open_orders, &snapshot.settled_orders);
        self.usage = UsageLedger::with_snapshot(&snapshot.usage);
        self.claims.table_mut().restore(snapshot.log_ms, &snapshot.claims);
        StateOutcome::Restored
    }
}
