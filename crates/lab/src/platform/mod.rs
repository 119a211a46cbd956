//! A stand-in for the platform.
//!
//! The interfaces use the JSON bodies of [`pimentorock_platform::wire`]. Test controls under
//! `/stand-in/` inject faults, change the host list, trim streams, and return the received orders
//! and usage reports.

mod fault;
mod http;
mod state;
mod stream;

use std::{io, net::SocketAddr};

use bpaf::Bpaf;

use crate::serve;

pub use self::{
    fault::{FaultMode, FaultSpec},
    http::app,
    state::{PlatformState, RecordedOrder},
    stream::LogStream,
};

/// Command-line options of the platform stand-in.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Maximum number of records that each stream retains.
    #[bpaf(argument("N"), fallback(100_000), display_fallback)]
    pub retain_records: usize,
    /// Delay before a change of the host list becomes visible, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub host_lag_ms: u64,
    /// Maximum number of downloads per second from the weight store.
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub weights_per_second: u32,
    /// Refuse orders whose fencing number is lower than the highest number received so far.
    pub check_fencing: bool,
}

/// Runs the stand-in until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the address cannot be bound, a signal handler cannot be installed, or the server
/// fails.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    serve::run(options.listen, app(&options)).await
}
