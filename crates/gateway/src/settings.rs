//! What an entry is told at its start.

use std::{net::SocketAddr, time::Duration};

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process, unique over the deployment.
    pub name: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host takes connections.
    pub ready: SocketAddr,
    /// Where other entries connect.
    pub peers: SocketAddr,
    /// Other entries that may be known before the store was read.
    pub seeds: Vec<SocketAddr>,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Retries of the whole deployment that each request earns.
    pub retry_ratio: f64,
    /// Retries of the whole deployment in one window beside those.
    pub retry_slack: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a window's end until which its report is due.
    pub usage_due: Duration,
    /// Time within which two processes may not report by turns.
    pub usage_lease: Duration,
}
