/*!
An entry of pimentorock that speaks to endpoints itself.

Where callers, endpoints and the store of a hosting platform speak a protocol of their own, an
adapter decodes it into the types of this crate, and this crate does the rest: it follows the
configuration and the endpoints in the store, takes callers' requests, chooses an endpoint,
relays the answer, sends again what provably may be sent again, and takes part in reporting
usage. Every decision is the kernel's.

# Guided tour

* [`settings`], [`fleet_config`], [`wire`] and [`store`] are what an adapter provides.
* [`link`] carries requests over one connection; `connection_pool` keeps connections for reuse.
* [`process`] starts an entry and drains it on a signal.
* `callers` accepts connections; `dispatcher` serves one request; `relay` passes on an answer.
* `state` is what requests share: the `route_table` in force, the endpoints, the budget.
* `follow` keeps that in step with the store and, while the store refuses this host, with `peer`s.
* `duty` counts usage and reports it.
* `logs`, [`log_queue`] and `metrics` tell operators what was decided.
*/

mod acceptor;
mod callers;
mod clock;
pub mod connection;
mod connection_pool;
mod dispatcher;
mod duty;
mod error;
mod event_splitter;
pub mod fleet_config;
mod follow;
pub mod log_queue;
mod logs;
mod metrics;
mod peer;
pub mod process;
mod ready;
mod relay;
mod route_table;
pub mod settings;
mod shared_view;
mod state;
pub mod store;
pub mod wire;

pub use self::error::GatewayError;
