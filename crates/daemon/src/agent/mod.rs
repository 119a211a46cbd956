//! The agent role: the only writer to the endpoints beside it.

mod crash_tracker;
pub(crate) mod driver;
mod driver_handle;
mod endpoint_client;
mod probe;
mod relay;
mod run;
mod run_guard;
pub(crate) mod server;
pub(crate) mod state;
