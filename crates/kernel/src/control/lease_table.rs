//! Holders of all leases, by replay of the `state` stream.

use std::collections::BTreeMap;

use crate::{
    ids::{FencingNumber, ProcessId},
    record::{LeaseState, StateRecord},
};

/// Effect of a log record on a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// A process claimed the lease.
    Granted {
        /// Name of the lease.
        lease: Box<str>,
        /// The new holder.
        holder: ProcessId,
        /// Fencing number of the lease under the new holder.
        fencing: FencingNumber,
        /// Sequence number that the holder gave to the record.
        sequence: u64,
    },
    /// The holder renewed the lease.
    Renewed {
        /// Name of the lease.
        lease: Box<str>,
        /// Fencing number of the lease.
        fencing: FencingNumber,
        /// Sequence number that the holder gave to the record.
        sequence: u64,
    },
    /// The holder released the lease.
    Released {
        /// Name of the lease.
        lease: Box<str>,
        /// Fencing number under which no process acts any more.
        fencing: FencingNumber,
    },
    /// The record has no effect, because the lease changed before it.
    Rejected,
    /// The record is not about leases.
    Unrelated,
}

/// Holder of each lease after a prefix of the log.
///
/// A claim succeeds if the lease has not changed since the record that the claimant names, so
/// of several racing claims the first in the log succeeds. The table uses no clock: a claimant
/// waits by its own clock before it appends a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    leases: BTreeMap<Box<str>, LeaseState>,
}

impl LeaseTable {
    /// Returns a table without leases.
    pub fn new() -> LeaseTable {
        LeaseTable::default()
    }

    /// Returns a table with the `leases` of a snapshot.
    pub fn with_leases(leases: &[LeaseState]) -> LeaseTable {
        let named = |state: &LeaseState| (state.lease.clone(), state.clone());
        LeaseTable { leases: leases.iter().map(named).collect() }
    }

    /// Returns the lease called `name`, or `None` if it was never claimed.
    pub fn lease(&self, name: &str) -> Option<&LeaseState> {
        self.leases.get(name)
    }

    /// Returns all leases that were ever claimed, in the order of their names.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseState> + '_ {
        self.leases.values()
    }

    /// Applies the record at `offset` of the `state` stream.
    pub fn apply(&mut self, offset: u64, record: &StateRecord) -> LeaseChange {
        match record {
            StateRecord::LeaseClaim(claim) => {
                if self.lease(&claim.lease).map(|state| state.last) != claim.seen {
                    return LeaseChange::Rejected;
                }
                let fencing = FencingNumber(offset);
                let state = LeaseState {
                    lease: claim.lease.clone(),
                    holder: Some(claim.holder.clone()),
                    fencing,
                    last: offset,
                    term_ms: claim.term_ms,
                    evidence: claim.evidence,
                };
                self.leases.insert(claim.lease.clone(), state);
                let (lease, holder) = (claim.lease.clone(), claim.holder.clone());
                LeaseChange::Granted { lease, holder, fencing, sequence: claim.sequence }
            }
            StateRecord::LeaseRenewal(renewal) => {
                match self.held(&renewal.lease, &renewal.holder, renewal.fencing) {
                    None => LeaseChange::Rejected,
                    Some(state) => {
                        state.last = offset;
                        let lease = renewal.lease.clone();
                        let (fencing, sequence) = (renewal.fencing, renewal.sequence);
                        LeaseChange::Renewed { lease, fencing, sequence }
                    }
                }
            }
            StateRecord::LeaseRelease(release) => {
                match self.held(&release.lease, &release.holder, release.fencing) {
                    None => LeaseChange::Rejected,
                    Some(state) => {
                        state.last = offset;
                        state.holder = None;
                        let lease = release.lease.clone();
                        LeaseChange::Released { lease, fencing: release.fencing }
                    }
                }
            }
            _ => LeaseChange::Unrelated,
        }
    }

    /// Returns the lease if `holder` holds it under `fencing`.
    fn held(
        &mut self,
        lease: &str,
        holder: &ProcessId,
        fencing: FencingNumber,
    ) -> Option<&mut LeaseState> {
        let state = self.leases.get_mut(lease)?;
        let same = state.holder.as_ref() == Some(holder) && state.fencing == fencing;
        same.then_some(state)
    }
}
