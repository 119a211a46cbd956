//! The agent role: queues requests for its local endpoints, which receive requests from no other
//! process.

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
