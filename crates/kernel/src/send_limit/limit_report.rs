//! What an entry tells its hub of limits.

use serde::{Deserialize, Serialize};

use crate::{
    send_limit::{LimitScope, SendRate},
    suspect::LedgerPosition,
};

/// What is known of one limit, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// What the limit holds for.
    pub scope: LimitScope,
    /// Wall-clock time at which the run of the endpoint started, in milliseconds since 1970, if
    /// known.
    pub started_ms: Option<u64>,
    /// The limit that was named last.
    pub rate: SendRate,
    /// Milliseconds since the last answer that named the limit.
    pub named_age_ms: u32,
    /// Milliseconds since the sending of the last request whose answer named none; `None` if there
    /// was no such answer.
    pub unnamed_age_ms: Option<u32>,
    /// Whether the root hub decided that the limit has ended.
    pub ended: bool,
}

/// The tickets of an entry and its askers for one limit. Counts are totals of the entry's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingRow {
    /// What the limit holds for.
    pub scope: LimitScope,
    /// Tickets that were used, or may have been.
    pub used: u64,
    /// Tickets that expired unused.
    pub returned: u64,
    /// Tickets that are wanted, by rank.
    pub wants: Vec<(u8, u32)>,
}

/// What an entry tells its hub of limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Number of times that the entry changed its hub.
    pub term: u32,
    /// Position in the hub's changes that the entry has reached.
    pub seen: LedgerPosition,
    /// Limits of which the entry or its askers got newer answers than the hub has.
    pub news: Vec<LimitRow>,
    /// Whether `news` has all limits that the entry knows.
    pub is_full: bool,
    /// Tickets that the entry and its askers used and want.
    pub holdings: Vec<HoldingRow>,
}
