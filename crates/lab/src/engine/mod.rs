//! A stand-in for a model engine with continuous batching.
//!
//! A step takes a fixed time, plus the prefill of requests that join, and gives each running
//! request one token. [`BatchModel`] is that step model alone; experiments drive it in
//! virtual time, the server in this module drives it by the clock.
//!
//! Words in a prompt change its run: `tokens=N` sets the length of the answer, `slow-token`
//! lets it get a token only each tenth step, and `cut-stream` ends it halfway without the
//! closing event.

mod batch;
mod cache;
mod http;
mod order_state;
mod recorded_run;
mod state;
mod wire;

use std::{io, net::SocketAddr};

use bpaf::Bpaf;

use crate::serve;

pub use self::{
    batch::{BatchModel, BatchRun, RunKey, StepToken},
    cache::{CacheEvent, PrefixCache, block_hashes},
    http::app,
    order_state::{EngineOrder, OrderKind},
    recorded_run::{RecordedOutcome, RecordedRun},
    state::{EngineLoad, EngineState},
};

/// How the engine stand-in behaves.
#[derive(Clone, Debug, Bpaf)]
pub struct EngineOptions {
    /// Address to listen on.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Name of the engine.
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// Models that are loaded, parted by commas.
    #[bpaf(argument("MODEL[,MODEL]"))]
    pub model: String,
    /// Requests that run at once.
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    pub slots: u32,
    /// Time of one step, in microseconds.
    #[bpaf(argument("N"), fallback(2_000), display_fallback)]
    pub step_us: u64,
    /// Time that each prompt token adds to the step in which its request joins, in
    /// microseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub prefill_us_per_token: u64,
    /// Most output tokens of a request that gives no bound; 0 for none.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub max_tokens_default: u32,
    /// Refuse orders with a lower fencing number than one seen before.
    pub check_fencing: bool,
    /// Time by which the load report lags, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub load_lag_ms: u64,
    /// Time by which cache events are late, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub cache_lag_ms: u64,
    /// A prompt that holds this text ends the process with status 1.
    #[bpaf(argument("TEXT"))]
    pub crash_on: Option<String>,
}

/// Runs the stand-in until SIGTERM.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(options: EngineOptions) -> io::Result<()> {
    serve::run(options.listen, app(&options)).await
}
