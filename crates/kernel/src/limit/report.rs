//! The report in which an entry tells the others how much of the accounts' limits it has spent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ProcessId;

/// Spending of one account at one entry since the entry started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpent {
    /// Number of admitted requests.
    pub requests: u64,
    /// Number of charged tokens.
    pub tokens: u64,
    /// Number of tokens refunded because an estimate was too high.
    pub refunded: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
}

/// Spending since the start of one entry, for the limited accounts that changed recently or have
/// requests in flight.
///
/// All counters except requests in flight are running totals, so the next report makes up for a
/// lost one and a repeated report has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentReport {
    /// Process of the entry, with its incarnation.
    pub entry: ProcessId,
    /// Sequence number, which grows by one with each report of the incarnation.
    pub sequence: u64,
    /// Limited accounts that changed recently or have requests in flight, by `TEAM/ACCOUNT`.
    pub accounts: BTreeMap<Box<str>, AccountSpent>,
}
