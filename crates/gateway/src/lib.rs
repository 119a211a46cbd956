/*!
An entry process of pimentorock that sends requests to endpoints directly, without agents.

An adapter decodes the protocols of a hosting platform (of its callers, its endpoints and its
store) into the types of this crate. This crate does everything else: it follows the
configuration and the list of endpoints in the store, accepts callers' requests, chooses an
endpoint for each request, relays the response, retries requests that are safe to retry, and takes
part in usage reporting. All decisions, such as placement, retries and usage windows, are made by
the `pimentorock_kernel` crate.

# Guided tour

* [`settings`], [`fleet_config`], [`wire`] and [`store`] define what an adapter provides.
* [`connection`] sends requests over one connection; `connection_pool` keeps idle connections.
* [`process`] starts an entry and drains it on SIGTERM or SIGINT; `planned_stop` has the times of that.
* `callers` accepts callers' connections and reads each request as a `caller_request`; `dispatcher`
  sends the request to endpoints until one of them responds (`choice_log` and `crash_refusals` belong to
  it); `response_checks` tells whether a response belongs to the request (`response_owner`, `head_fault`); `relay` forwards it
  to the caller, and `stream_relay` a stream of events through `stream_frames`; what continues a stream that
  broke off follows from its `stream_form` and the order of its events (`event_splitter`).
* `state` holds what all requests share, each behind a [`state_lock`]: the current `route_table`, the copy of the
  `endpoints` and the retry budgets. `panic_guard` shields single records, and tasks are started again.
* `run_checks` finds out which run of an endpoint is behind a connection (`run_statement`, `run_doubts`), as the
  version of a stream is a fact of the run that writes it.
* `listing_checks` asks endpoints that are listed again whether they leave.
* `crash_checks` finds out whether an endpoint that lost requests has crashed, and `suspects` keeps the
  records of these crashes in the store.
* `limits` takes the limits that endpoints name from their answers, and exchanges them and the tickets for
  sends with other entries; the kernel's `send_limit` decides.
* `origins` finds the software version at which a stream may begin or go on, `origin_publisher` keeps the versions
  of streams in the store, and `origin_calls` wakes it; the kernel's `stream_origin` decides.
* `follow` updates this state from the store or, through `peer`, from another entry that reads the
  store.
* `config_copy` holds the configuration and serves it to other entries, `config_transfer` fetches newer ones
  from them; the kernel's `transfer` decides. Calls end by silence, not by a fixed time (`byte_meter`).
* `copy_search` asks all other entries for a newer copy of the store while this entry's is old
  (`copy_messages`), whichever of them is the hub.
* `evacuations` keeps failure domains free of requests as operators order.
* `duty` sends this entry's request counts to the hub or the store, and reports usage if this entry
  holds the duty.
* `logs`, [`log_queue`] and `metrics` write the log and the metrics for operators.
*/

mod acceptor;
mod body_framing;
pub mod byte_meter;
mod caller_request;
mod callers;
mod choice_log;
mod clock;
mod config_copy;
mod config_transfer;
pub mod connection;
mod connection_pool;
mod copy_calls;
mod copy_messages;
mod copy_search;
mod crash_checks;
mod crash_refusals;
mod dispatch_failure;
mod dispatcher;
mod duty;
mod duty_sightings;
mod endpoint_response;
mod endpoints;
mod error;
mod evacuations;
mod event_splitter;
pub mod fleet_config;
mod follow;
mod head_fault;
mod limits;
mod listing_checks;
pub mod log_queue;
mod logs;
mod message_buffers;
mod metered_stream;
mod metrics;
mod origin_calls;
mod origin_publisher;
mod origins;
mod panic_guard;
mod peer;
mod peer_pool;
mod planned_stop;
pub mod process;
mod ready;
mod relay;
mod response_checks;
mod response_owner;
mod route_table;
mod run_checks;
mod run_doubts;
mod run_statement;
mod send_outcome;
pub mod settings;
mod shared_view;
mod state;
pub mod state_lock;
pub mod store;
mod stream_form;
mod stream_frames;
mod stream_relay;
mod suspects;
mod topic_reader;
pub mod wire;
mod work_guard;

pub use self::error::GatewayError;

#[cfg(test)]
#[path = "../tests/late_answers/mod.rs"]
mod late_answers;
#[cfg(test)]
#[path = "../tests/peer_messages/mod.rs"]
mod peer_messages;
