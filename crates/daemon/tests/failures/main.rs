//! Failure tests, which run the real daemon and stand-ins as separate processes on loopback.
//!
//! Each test waits for events. The only time limits are those that the service guarantees, and
//! [`stack::EVENT_TIMEOUT`], after which an event counts as missing.

mod caller;
mod claims;
mod config;
mod crash;
mod keys;
mod link;
mod load;
mod orders;
mod pairs;
mod path;
mod pauses;
mod retention;
mod stack;
mod usage;
