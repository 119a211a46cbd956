//! Queues that decide which request an endpoint runs next.
//!
//! An agent keeps one queue for each of its local endpoints. All requests to an endpoint pass
//! through its agent, so the queue itself records which requests run.

mod account_queue;
mod class_queue;
mod fifo;
mod job;
mod limits;
mod message;
mod policy;
mod speed;
mod tiered;
mod window;

pub use self::{
    fifo::FifoQueue,
    limits::QueueLimits,
    message::{QueueAction, QueueEvent},
    policy::{EndpointQueue, QueueCall, QueuePolicy, build, policy_names},
    tiered::{QueueDigest, TieredQueue},
};
