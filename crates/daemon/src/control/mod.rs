//! Control state of one process: configuration, keys, peers and the lease.
//!
//! One thread owns the control state and publishes immutable views to the traffic threads.

mod config_state;
mod core;
mod fleet;
mod follower;
mod handles;
mod host_watcher;
mod peer_table;
mod status;
mod thread;

pub(crate) use self::{
    core::ControlCore,
    handles::{ControlHandles, ControlIdentity},
    peer_table::{PeerFollowUp, PeerTable},
    thread::{ControlSockets, ControlThread},
};
