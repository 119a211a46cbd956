//! Records of the `state` stream.

use serde::{Deserialize, Serialize};

use crate::{
    control::{ClaimState, UsageSnapshot},
    ids::{FencingNumber, ProcessId, RequestId},
};

/// A record of the `state` stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
#[non_exhaustive]
pub enum StateRecord {
    /// A process claims a lease.
    LeaseClaim(LeaseClaim),
    /// The holder of a lease renews it.
    LeaseRenewal(LeaseRenewal),
    /// The holder of a lease releases it.
    LeaseRelease(LeaseRelease),
    /// An order is about to be sent.
    OrderIntent(OrderIntent),
    /// An order has an outcome.
    OrderSettled(OrderSettled),
    /// Usage counts of an agent.
    UsageBatch(UsageBatch),
    /// An agent's run is fenced: all counts that it appends later are ignored.
    UsageFence(UsageFence),
    /// An entry's counts of attempts that the batches of a fenced agent do not cover.
    #[serde(rename = "usage-fill")]
    UsageSupplement(UsageSupplement),
    /// The figures of a closed usage window.
    WindowClosed(WindowClosed),
    /// The figures of a window have reached the platform.
    WindowReported(WindowReported),
    /// An entry claims an `Idempotency-Key` for an attempt. Another attempt may already hold the
    /// claim.
    ClaimOpened(ClaimOpened),
    /// The outcome of a claimed attempt.
    ClaimSettled(ClaimSettled),
    /// All state of the stream up to an offset.
    Snapshot(Box<StateSnapshot>),
}

/// Evidence that a claimant has about the former holder of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvidence {
    /// The lease had no holder, or its holder released it.
    Vacant,
    /// The claimant itself or an earlier run of it held the lease and lost it.
    Own,
    /// The holder confirmed, when asked, that it will not act any more under its fencing number.
    Answered,
    /// The holder's host was missing from the platform's host list for the configured time.
    Absent,
    /// The term passed without a renewal; there is no other evidence.
    Lapsed,
}

/// Claim of a lease; it takes effect if the lease has not changed since the record at `seen`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// Name of the lease.
    pub lease: Box<str>,
    /// Process that claims the lease.
    pub holder: ProcessId,
    /// Sequence number among the claimant's claims and renewals.
    pub sequence: u64,
    /// Offset of the lease's last record that took effect, as far as the claimant knows; `None` if
    /// there is none.
    pub seen: Option<u64>,
    /// Term of the lease in milliseconds, from the sending of a claim or renewal.
    pub term_ms: u64,
    /// Evidence that the claimant has about the former holder.
    pub evidence: LeaseEvidence,
}

/// Renewal of a lease by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Name of the lease.
    pub lease: Box<str>,
    /// Process that holds the lease.
    pub holder: ProcessId,
    /// Sequence number among the holder's claims and renewals.
    pub sequence: u64,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// Release of a lease by its holder, which never acts under the fencing number again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// Name of the lease.
    pub lease: Box<str>,
    /// Process that holds the lease.
    pub holder: ProcessId,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// State of one lease after a prefix of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    /// Name of the lease.
    pub lease: Box<str>,
    /// Process that holds the lease; `None` after a release.
    pub holder: Option<ProcessId>,
    /// Fencing number of the last claim that took effect.
    pub fencing: FencingNumber,
    /// Offset of the lease's last record that took effect.
    pub last: u64,
    /// Term of the lease in milliseconds.
    pub term_ms: u64,
    /// Evidence on which the lease was last claimed.
    pub evidence: LeaseEvidence,
}

/// Action that an order requests from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerb {
    /// Start an endpoint.
    Start,
    /// Stop an endpoint.
    Stop,
}

/// An order that the holder of the order lease is about to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Unique identifier of the order.
    pub id: Box<str>,
    /// Process that recorded the intent.
    pub sender: ProcessId,
    /// Fencing number of the lease under which the intent was recorded.
    pub fencing: FencingNumber,
    /// Requested action.
    pub verb: OrderVerb,
    /// Endpoint to start or stop.
    pub endpoint: Box<str>,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The platform accepted the order, or the host list shows its effect.
    Done,
    /// The platform refused the order, or the order had no effect after the last attempt.
    Failed,
}

/// Record of an order's outcome, after which the order is closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderSettled {
    /// Identifier of the order.
    pub id: Box<str>,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}

/// Numbers of served requests and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Number of requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
}

impl std::ops::AddAssign for UsageCounts {
    fn add_assign(&mut self, other: UsageCounts) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// Usage counts of one client account in one window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageLine {
    /// Number of the window.
    pub window: u64,
    /// Client account, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Requests and tokens that were served.
    pub counts: UsageCounts,
}

/// Ranges of the numbers that one entry gave to the attempts that it sent to one run of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRanges {
    /// Run of the entry.
    pub entry: ProcessId,
    /// First and last number of each range, both included, in ascending order.
    pub ranges: Vec<(u64, u64)>,
}

/// Usage counts of an agent since its previous batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageBatch {
    /// Run of the agent.
    pub agent: ProcessId,
    /// Sequence number among the run's batches, from 1.
    pub sequence: u64,
    /// Counts by window and client account.
    pub lines: Vec<UsageLine>,
    /// Attempts that are part of the counts.
    pub covered: Vec<AttemptRanges>,
}

/// Fence of an agent's run: all counts that the run appends later are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageFence {
    /// Run of the agent.
    pub agent: ProcessId,
    /// Process that considers the agent lost, or the agent itself after its last batch.
    pub by: ProcessId,
}

/// An entry's counts of attempts that the batches of a fenced agent do not cover.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageSupplement {
    /// Run of the entry.
    pub entry: ProcessId,
    /// Sequence number among the run's supplements, from 1.
    pub sequence: u64,
    /// Fenced run of the agent.
    pub agent: ProcessId,
    /// Counts by window and client account.
    pub lines: Vec<UsageLine>,
}

/// Usage figures of one client account in a closed window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountFigures {
    /// Client account, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Usage in the window.
    pub served: UsageCounts,
    /// Usage in earlier windows that was read too late for their figures.
    pub adjustment: UsageCounts,
}

/// The figures of a window; the first valid record for a window closes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WindowClosed {
    /// Number of the window.
    pub window: u64,
    /// Offset of the record that closed the previous window; `None` for the first closed window.
    pub previous: Option<u64>,
    /// Fencing number of the lease under which the window was closed.
    pub fencing: FencingNumber,
    /// Figures of each client account.
    pub figures: Vec<AccountFigures>,
}

/// Record that the figures of a window have reached the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WindowReported {
    /// Number of the window.
    pub window: u64,
    /// Fencing number of the lease under which the figures were reported.
    pub fencing: FencingNumber,
}

/// Claim of an `Idempotency-Key` for an attempt that is about to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOpened {
    /// Hash of the client account and the `Idempotency-Key`.
    pub key: Box<str>,
    /// Run of the entry that makes the attempt.
    pub owner: ProcessId,
    /// Identifier of the attempt.
    pub attempt: RequestId,
    /// Hash of the model and the body; a repeat of the request must have the same hash.
    pub fingerprint: u64,
}

/// Outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum ClaimOutcome {
    /// The complete answer arrived; the owner keeps it for a limited time.
    Completed {
        /// HTTP status of the answer.
        status: u16,
        /// SHA-256 of the answer's body, in lowercase hexadecimal digits.
        digest: Box<str>,
    },
    /// The endpoint certainly did not begin the attempt.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// Record of the outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimSettled {
    /// Hash of the client account and the `Idempotency-Key`.
    pub key: Box<str>,
    /// Identifier of the attempt.
    pub attempt: RequestId,
    /// Outcome of the attempt.
    #[serde(rename = "end")]
    pub outcome: ClaimOutcome,
}

/// All state of the `state` stream up to an offset.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Offset of the first record that is not part of the snapshot.
    pub next: u64,
    /// Highest log time so far, in milliseconds since 1970.
    pub log_ms: u64,
    /// All leases that were ever claimed.
    pub leases: Vec<LeaseState>,
    /// Orders that are not settled.
    pub open_orders: Vec<OrderIntent>,
    /// Identifiers of the most recently settled orders, oldest first.
    pub settled_orders: Vec<Box<str>>,
    /// State of the usage ledger.
    pub usage: UsageSnapshot,
    /// Claims of idempotency keys that have not expired.
    pub claims: Vec<ClaimState>,
}
