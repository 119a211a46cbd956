//! A stand-in for the platform.
//!
//! It answers with the bodies of [`pimentorock_platform::wire`]. Controls under `/stand-in/`
//! set faults and host entries and show what came in.

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

/// How the platform stand-in behaves.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Records that each stream keeps.
    #[bpaf(argument("N"), fallback(100_000), display_fallback)]
    pub retain_records: usize,
    /// Time by which the host list lags, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub host_lag_ms: u64,
    /// Downloads a second that the weight store allows.
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub weights_per_second: u32,
    /// Refuse orders with a lower fencing number than one seen before.
    pub check_fencing: bool,
}

/// Runs the stand-in until SIGTERM.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    serve::run(options.listen, app(&options)).await
}
