//! Request and response bodies of the platform's HTTP interfaces.

use serde::{Deserialize, Serialize};

/// Request to append records in their order and atomically.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Encoded [`RecordEnvelope`](crate::envelope::RecordEnvelope)s.
    pub records: Vec<Box<str>>,
}

/// Response to an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first appended record; the others have the offsets that follow.
    pub first: u64,
}

/// One record of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// Time of the append by the platform's wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Encoded [`RecordEnvelope`](crate::envelope::RecordEnvelope).
    pub record: Box<str>,
}

/// Response to a read: a range of a stream's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Lowest offset that the log still keeps.
    pub head: u64,
    /// Offset that the next appended record gets.
    pub end: u64,
    /// Records from the requested offset on, or from `head` on if `head` is higher.
    pub entries: Vec<LogEntry>,
}

/// State of a host or endpoint as the platform last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The start was ordered, but the host or endpoint is not up yet.
    Starting,
    /// The host or endpoint is up.
    Live,
    /// The stop was ordered, or the host or endpoint is known to go away.
    Leaving,
}

/// One host in the platform's host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// State of the host.
    pub state: HostState,
    /// `entry`, `agent`, or the kind of an endpoint.
    pub role: Box<str>,
    /// Address for traffic between the processes of the system, as `IP:PORT`.
    pub address: Box<str>,
    /// Identifier of the order that started the host, or `None` if no order did.
    pub order: Option<Box<str>>,
    /// Address for operators' calls, as `IP:PORT`; `None` if the host runs no process of the
    /// system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<Box<str>>,
}

/// The platform's list of hosts, which may lag behind their real state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts that are starting, live or leaving.
    pub hosts: Vec<HostEntry>,
}

/// Action that an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Start one endpoint in a failure domain.
    Start,
    /// Stop one endpoint.
    Stop,
}

/// An order to start or stop an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Unique identifier; the host list shows it in the entry of the host that the order started.
    pub id: Box<str>,
    /// Name of the process that sends the order.
    pub sender: Box<str>,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Action to take.
    pub kind: OrderKind,
    /// Name of the endpoint to start or stop.
    pub endpoint: Box<str>,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
}

/// Response to an order that the platform accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Identifier of the order.
    pub id: Box<str>,
}

/// Usage of one client account in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Client account, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Start of the window, in milliseconds since 1970.
    pub window_start_ms: u64,
    /// End of the window, in milliseconds since 1970.
    pub window_end_ms: u64,
    /// Number of requests served.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
    /// Name of the process that sends the report.
    pub sender: Box<str>,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
}
