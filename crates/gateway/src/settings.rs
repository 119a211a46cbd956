//! Settings of an entry, as decoded by an adapter.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{hub::AgeBudget, place::WarmupAllowance};

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process, unique in the deployment.
    pub name: Box<str>,
    /// Failure domain of the entry.
    pub domain: Box<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Addresses of other entries to contact before the store was read.
    pub seeds: Vec<SocketAddr>,
    /// Port of the metrics, on the IP address of `ready`.
    pub metrics_port: u16,
    /// Memory that the process may use, in bytes; `None` if it is not limited.
    pub memory: Option<u64>,
    /// Grace period: the time from the stop signal until the process is killed.
    pub grace: Duration,
    /// How late a change may take effect that the store has acknowledged: a configuration, a withdrawn key
    /// or an endpoint that leaves.
    pub change_budget: AgeBudget,
    /// Number of retries, over the whole deployment, that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Number of additional retries of the whole deployment in one window.
    pub retry_slack: f64,
    /// How far the requests to an endpoint that warms up may exceed the rate that it tolerates.
    pub warmup_allowance: WarmupAllowance,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window within which its report is due.
    pub usage_due: Duration,
    /// Lease duration of the usage duty: two processes must not report alternately within this
    /// time.
    pub usage_lease: Duration,
}
