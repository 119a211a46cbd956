/*!
The pimentorock daemon, which runs in the role of entry or agent.

A caller sends a request to an *entry*, which checks the key, determines the client account and the
class, and chooses an endpoint. The entry forwards the request to the *agent* of that endpoint. The
agent queues the request, decides when it runs, and relays the answer. The kernel makes all
decisions; this crate provides the clock, the sockets and the threads.

# Guided tour

* [`process`] starts a process in one role and drains it on a signal.
* `entry` serves callers, `agent` serves entries, `operators` serves operators.
* `control` owns the control state on a separate thread and publishes a `view` of it to the traffic
  threads; `peer` carries calls between processes.
* `state` maintains the state that processes share through the log: claims, usage, orders and the
  lease.
* `recorder`, `explain` and `operators::metrics` hold the data that operators read.
*/

mod agent;
mod clock;
mod control;
mod entry;
mod error;
mod event_stream;
mod explain;
mod key_hash;
mod logs;
mod operators;
mod peer;
pub mod process;
mod recorder;
mod run_header;
mod state;
mod view;

pub use self::error::DaemonError;
