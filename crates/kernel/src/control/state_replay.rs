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

/// Name of the lease whose holder sends orders.
pub const ORDER_LEASE: &str = "orders";

/// Name of the lease whose holder closes and reports usage windows.
pub const USAGE_LEASE: &str = "usage";

/// Effect of a record of the `state` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateOutcome {
    /// The record was the next one and was applied.
    Applied {
        /// Effect on a lease.
        lease: LeaseChange,
        /// Effect on usage.
        usage: UsageChange,
        /// Result for a request that waits for its claim, `None` if there is none.
        claim: Option<ClaimEvent>,
    },
    /// A snapshot replaced missing records; continue at [`StateReplay::next_offset`].
    Restored,
    /// The record had no effect: it was applied before, could not be read, or is a snapshot that
    /// covers no more than the applied records.
    Ignored,
    /// Records are missing; read from `expected`, or restore a snapshot.
    Gap {
        /// Offset of the first missing record.
        expected: u64,
    },
}

/// Leases, orders, usage and claims that result from replaying a prefix of the `state` stream.
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

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the leases.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the orders, which the holder of [`ORDER_LEASE`] carries out.
    pub fn orders_mut(&mut self) -> &mut OrderTracker {
        &mut self.orders
    }

    /// Returns the usage ledger.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Returns the claims, for requests that this entry serves.
    pub fn claims_mut(&mut self) -> &mut ClaimTracker {
        &mut self.claims
    }

    /// Applies the record at `offset`, which the log stored at `at_ms` milliseconds.
    ///
    /// `is_alive` reports whether a run is live, see
    /// [`MemberTable::is_live`](crate::control::MemberTable::is_live).
    pub fn apply(
        &mut self,
        now: TimePoint,
        offset: u64,
        at_ms: u64,
        record: &StateRecord,
        is_alive: impl Fn(&ProcessId) -> bool,
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
        let claim = self.claims.read(at_ms, record, is_alive);
        StateOutcome::Applied { lease, usage, claim }
    }

    /// Skips the record at `offset`, which cannot be read.
    pub fn skip(&mut self, offset: u64) -> StateOutcome {
        if offset > self.next {
            return StateOutcome::Gap { expected: self.next };
        }
        self.next = self.next.max(offset + 1);
        StateOutcome::Ignored
    }

    /// Returns all state that results from the records of the log.
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

    /// Restores a snapshot from the log or a peer, unless it covers no more than the applied
    /// records.
    ///
    /// If the snapshot skips records, also call
    /// [`LeaseHolder::restore`](crate::control::LeaseHolder::restore) and
    /// [`UsageBackup::forget`](crate::control::UsageBackup::forget).
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
