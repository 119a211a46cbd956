//! A stand-in for a model engine with continuous batching.
//!
//! A step takes a fixed time plus the prefill time of the requests that join the batch, and
//! generates one token for each running request. [`BatchModel`] implements the steps without a
//! clock: experiments drive it in virtual time, and the server in this module drives it in real
//! time.
//!
//! Words in a prompt control its run: `tokens=N` sets the length of the answer, `slow-token`
//! makes the engine generate a token only every tenth step, and `cut-stream` ends the answer
//! halfway and without the closing event.

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

/// Command-line options of the engine stand-in.
#[derive(Clone, Debug, Bpaf)]
pub struct EngineOptions {
    /// Address to listen on.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Name of the engine.
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// Names of the models that are loaded at the start, separated by commas.
    #[bpaf(argument("MODEL[,MODEL]"))]
    pub model: String,
    /// Maximum number of requests that run at the same time.
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    pub slots: u32,
    /// Duration of a step, in microseconds.
    #[bpaf(argument("N"), fallback(2_000), display_fallback)]
    pub step_us: u64,
    /// Time by which each prompt token lengthens the step in which its request joins the batch,
    /// in microseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub prefill_us_per_token: u64,
    /// Maximum number of output tokens of a request without `max_tokens`; 0 means no limit.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub max_tokens_default: u32,
    /// Refuse orders whose fencing number is lower than the highest number accepted so far.
    pub check_fencing: bool,
    /// Delay of the load report, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub load_lag_ms: u64,
    /// Delay before cache events become visible, in milliseconds.
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub cache_lag_ms: u64,
    /// Exit with status 1 when a request whose prompt contains this text generates a token.
    #[bpaf(argument("TEXT"))]
    pub crash_on: Option<String>,
}

/// Runs the stand-in until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the address cannot be bound, a signal handler cannot be installed, or the server
/// fails.
pub async fn run(options: EngineOptions) -> io::Result<()> {
    serve::run(options.listen, app(&options)).await
}
