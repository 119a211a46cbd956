//! Registry of queue policies, which the settings select by name.

use std::fmt;

use crate::{
    catalog::ServiceCatalog,
    queue::{QueueAction, QueueDigest, QueueEvent},
    time::TimePoint,
};

/// Queue policy that is registered with [`inventory::submit!`].
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Name of the policy in the setting `catalog.policies.queue`.
    pub name: &'static str,
    /// Builds an empty queue from the number of slots, the size of the KV cache in tokens and
    /// the speed in tokens per second.
    pub build: fn(u32, u64, f64) -> EndpointQueue,
}

inventory::collect!(QueuePolicy);

/// Call to a queue that was built by name.
#[derive(Debug)]
pub enum QueueCall<'a> {
    /// Process an event and append the resulting actions.
    Step {
        /// Time of the event.
        now: TimePoint,
        /// The event.
        event: QueueEvent,
        /// Current settings.
        catalog: &'a ServiceCatalog,
        /// List to which the actions are appended.
        actions: &'a mut Vec<QueueAction>,
    },
    /// Write the load figures for the endpoint's digest.
    Digest {
        /// Time of the call.
        now: TimePoint,
        /// Digest that receives the figures.
        digest: &'a mut QueueDigest,
    },
}

/// Queue of one endpoint with any policy.
///
/// # Examples
///
/// ```
/// use pimentorock_kernel::{catalog::ServiceCatalog, queue, queue::QueueEvent, time::TimePoint};
///
/// let mut queue = queue::build("tiered", 8, 64_000, 400.0).expect("a known policy");
/// let mut actions = Vec::new();
/// queue.step(TimePoint::ZERO, QueueEvent::Tick, &ServiceCatalog::new(), &mut actions);
/// assert!(actions.is_empty());
/// assert_eq!(queue.digest(TimePoint::ZERO).running, 0);
/// ```
pub struct EndpointQueue {
    handler: Box<dyn FnMut(QueueCall<'_>) + Send>,
}

impl EndpointQueue {
    /// Returns a queue that passes its calls to `handler`, which owns the queue's state.
    pub fn new(handler: impl FnMut(QueueCall<'_>) + Send + 'static) -> EndpointQueue {
        EndpointQueue { handler: Box::new(handler) }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: TimePoint,
        event: QueueEvent,
        catalog: &ServiceCatalog,
        actions: &mut Vec<QueueAction>,
    ) {
        (self.handler)(QueueCall::Step { now, event, catalog, actions });
    }

    /// Returns the load figures for the endpoint's digest.
    pub fn digest(&mut self, now: TimePoint) -> QueueDigest {
        let mut digest = QueueDigest::default();
        (self.handler)(QueueCall::Digest { now, digest: &mut digest });
        digest
    }
}

impl fmt::Debug for EndpointQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointQueue").finish_non_exhaustive()
    }
}

/// Returns the names of all registered queue policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<QueuePolicy>().map(|policy| policy.name).collect();
    names.sort_unstable();
    names
}

/// Builds a queue with the policy `name`, or returns `None` if no such policy is registered.
pub fn build(
    name: &str,
    slots: u32,
    kv_tokens: u64,
    tokens_per_second: f64,
) -> Option<EndpointQueue> {
    let policy = inventory::iter::<QueuePolicy>().find(|policy| policy.name == name)?;
    Some((policy.build)(slots, kv_tokens, tokens_per_second))
}
