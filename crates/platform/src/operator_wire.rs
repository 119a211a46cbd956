//! Request and response bodies of the HTTP interface that each daemon process serves to operators.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /status` | [`StatusAnswer`] |
//! | `GET /explain/REQUEST-ID` | [`ExplainAnswer`], or 404 |
//! | `GET /burn` | [`BurnAnswer`] |
//! | `GET /settings` | [`SettingsAnswer`] |
//! | `POST /endpoints/NAME/drain` | empty |
//! | `POST /keys/withdraw` [`WithdrawRequest`] | empty |

use pimentorock_kernel::ids::ProcessId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// State of one process, and of the endpoints, peers and lease as this process sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Name and run of the process that answers.
    pub process: ProcessId,
    /// `entry` or `agent`.
    pub role: Box<str>,
    /// Failure domain of the process.
    pub domain: Box<str>,
    /// Revision of the settings that the process applies.
    pub revision: u64,
    /// Endpoints that the process knows or serves.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
    /// Other processes that this process knows.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Lease as this process knows it, or `None` if it knows of no lease.
    #[serde(default)]
    pub lease: Option<LeaseStatus>,
}

/// State of one endpoint as one process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Whether the endpoint answers.
    pub up: bool,
    /// Whether the endpoint is draining and gets no new requests.
    pub draining: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests in each tier; the index is the tier.
    pub waiting: Vec<u32>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the process that answers serves this endpoint itself, so that its view has no lag.
    #[serde(default)]
    pub own: bool,
}

/// State of another process as one process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the process.
    pub name: Box<str>,
    /// `alive`, `suspect`, `leaving` or `gone`.
    pub state: Box<str>,
}

/// The lease that allows one process to act alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Name of the process that holds the lease.
    pub holder: Box<str>,
    /// Fencing number of the holder's claim to the lease.
    pub fencing: u64,
}

/// History of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// Request identifier as 32 hexadecimal digits.
    pub request: Box<str>,
    /// Steps of the request in chronological order.
    pub steps: Vec<ExplainStep>,
}

/// One step in the history of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Part of the process that made the decision.
    pub part: Box<str>,
    /// The decision and its reason.
    pub text: Box<str>,
}

/// Attainment of service level targets over several time windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// Windows in ascending order of length.
    pub windows: Vec<BurnWindow>,
}

/// Attainment of service level targets over one time window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// One row for each combination of class and account.
    pub rows: Vec<BurnRow>,
}

/// Attainment of the targets of one class for one client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Class, as `TEAM/CLASS`.
    pub class: Box<str>,
    /// Client account, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Number of requests that ended in the window, including refused ones.
    pub requests: u64,
    /// Number of requests that met the target for the time to the first token.
    pub first_token_met: u64,
    /// Number of requests whose mean time between tokens met the target.
    pub between_tokens_met: u64,
    /// Number of requests that ended before their deadline.
    pub deadline_met: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Fraction of requests that must meet each target, from 0 to 1.
    pub target: f64,
}

/// The settings that one process applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsAnswer {
    /// Revision of the settings.
    pub revision: u64,
    /// Settings tree of that revision.
    pub tree: Value,
}

/// Request to a process to withdraw an API key and to announce the withdrawal to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawRequest {
    /// SHA-256 of the key, in lowercase hexadecimal digits.
    pub hash: Box<str>,
    /// Name of the operator who withdraws the key.
    pub author: Box<str>,
}
