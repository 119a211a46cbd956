//! State that processes share through the platform's log: claims, usage, orders and the lease.

mod answer_cache;
mod claim_registry;
mod follower;
mod lease_task;
mod order_sender;
mod replica;
mod snapshot_writer;
mod snapshots;
mod usage_counts;
mod usage_reporter;

pub(crate) use self::{
    answer_cache::{AnswerCache, HeldAnswer},
    claim_registry::{ClaimAttempt, ClaimRegistry, ClaimVerdict},
    follower::StateFollower,
    order_sender::{DatedHostList, OrderSender},
    replica::StateReplica,
    snapshot_writer::SnapshotWriter,
    snapshots::SnapshotLog,
    usage_counts::{AttemptTicket, BackupCounter, UsageCounter, billed},
    usage_reporter::UsageReporter,
};
