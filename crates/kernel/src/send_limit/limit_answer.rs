//! What a hub answers to a report on limits.

use serde::{Deserialize, Serialize};

use crate::{
    send_limit::{LimitRow, LimitScope},
    suspect::LedgerPosition,
};

/// Tickets that a hub issues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketLot {
    /// Rank that the tickets are meant for.
    pub rank: u8,
    /// Number of tickets.
    pub count: u32,
    /// Milliseconds until the tickets expire, from the sending of the report.
    pub life_ms: u32,
}

/// Tickets for one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// What the limit holds for.
    pub scope: LimitScope,
    /// Tickets for the reporting entry and its askers.
    pub lots: Vec<TicketLot>,
    /// Tickets that the fleet wants, as far as the hub knows.
    pub wanted: u32,
}

/// What a hub answers to a [`LimitReport`](super::LimitReport).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// Position in the hub's changes that the reporting entry has reached after `news`.
    pub position: LedgerPosition,
    /// Number of this answer among all of the hub.
    pub serial: u64,
    /// Limits that changed since the position that the report stated.
    pub news: Vec<LimitRow>,
    /// Tickets for the reporting entry and its askers.
    pub grants: Vec<GrantRow>,
}
