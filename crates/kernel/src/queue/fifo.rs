//! First-come, first-served queue, the baseline for comparisons with other policies.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use crate::{
    catalog::ServiceCatalog,
    ids::RequestId,
    queue::{EndpointQueue, QueueAction, QueueCall, QueueDigest, QueueEvent, QueuePolicy},
    reason::DecisionReason,
    request::RequestSpec,
    time::TimePoint,
};

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 1024;

/// Time after which the caller of a refused request may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Output tokens assumed for each request in the digest.
const TOKENS_EXPECTED: u64 = 256;

inventory::submit! {
    QueuePolicy { name: "fifo", build: |slots, _, _| FifoQueue::new(slots).into_endpoint_queue() }
}

inventory::submit! {
    QueuePolicy {
        name: "edf",
        build: |slots, _, _| {
            let queue = FifoQueue::new(slots).with_order(|request| request.deadline);
            queue.into_endpoint_queue()
        },
    }
}

/// Queue without tiers, load shedding by tier or preemption.
///
/// The default order is the order of arrival. [`FifoQueue::with_order`] gives other baselines,
/// such as earliest deadline first.
#[derive(Debug)]
pub struct FifoQueue {
    slots: u32,
    order: fn(&RequestSpec) -> TimePoint,
    arrivals: u64,
    waiting: BTreeMap<(TimePoint, u64), RequestSpec>,
    running: HashSet<RequestId>,
    draining: bool,
}

impl FifoQueue {
    /// Returns an empty queue for an endpoint that runs `slots` requests concurrently.
    pub fn new(slots: u32) -> FifoQueue {
        FifoQueue {
            slots,
            order: |_| TimePoint::ZERO,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: HashSet::new(),
            draining: false,
        }
    }

    /// Orders requests by the time that `order` returns for each, then by arrival.
    pub fn with_order(mut self, order: fn(&RequestSpec) -> TimePoint) -> FifoQueue {
        self.order = order;
        self
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the load figures for the endpoint's digest; all waiting requests count as tier
    /// 0.
    pub fn digest(&self) -> QueueDigest {
        let (running, waiting) = (self.running.len(), self.waiting.len());
        QueueDigest {
            running: running as u32,
            waiting: vec![waiting as u32],
            pending_tokens: (running + waiting) as u64 * TOKENS_EXPECTED,
            ..QueueDigest::default()
        }
    }

    /// Wraps the queue for the policy registry.
    fn into_endpoint_queue(mut self) -> EndpointQueue {
        EndpointQueue::new(move |call| match call {
            QueueCall::Step { now, event, catalog, actions } => {
                self.step(now, event, catalog, actions);
            }
            QueueCall::Digest { digest, .. } => *digest = self.digest(),
        })
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: TimePoint,
        event: QueueEvent,
        _catalog: &ServiceCatalog,
        actions: &mut Vec<QueueAction>,
    ) {
        match event {
            QueueEvent::Arrive(request) => self.arrive(request, actions),
            QueueEvent::Progress { .. } | QueueEvent::Tick => {}
            QueueEvent::Finish { request, .. } => {
                self.running.remove(&request);
            }
            QueueEvent::Cancel { request } => self.cancel(request, actions),
            QueueEvent::Resize { slots, .. } => self.slots = slots,
            QueueEvent::Drain => self.draining = true,
        }
        self.start(now, actions);
    }

    fn arrive(&mut self, request: RequestSpec, actions: &mut Vec<QueueAction>) {
        let reason = match () {
            () if self.draining => DecisionReason::Draining,
            () if self.waiting.len() >= MAX_WAITING => DecisionReason::QueueFull,
            () => {
                self.arrivals += 1;
                self.waiting.insert(((self.order)(&request), self.arrivals), request);
                return;
            }
        };
        actions.push(QueueAction::Refuse { request: request.id, reason, retry_after: RETRY_AFTER });
    }

    fn cancel(&mut self, request: RequestId, actions: &mut Vec<QueueAction>) {
        self.waiting.retain(|_, waiting| waiting.id != request);
        if self.running.remove(&request) {
            actions.push(QueueAction::Abort { request, reason: DecisionReason::CallerGone });
        }
    }

    fn start(&mut self, now: TimePoint, actions: &mut Vec<QueueAction>) {
        while self.running.len() < self.slots as usize {
            let Some((_, request)) = self.waiting.pop_first() else { return };
            if request.deadline <= now {
                let reason = DecisionReason::DeadlineUnreachable { needed_ms: 0, left_ms: 0 };
                let action =
                    QueueAction::Refuse { request: request.id, reason, retry_after: RETRY_AFTER };
                actions.push(action);
                continue;
            }
            self.running.insert(request.id);
            let reason = DecisionReason::SlotFree;
            actions.push(QueueAction::Start { request: request.id, resume: false, reason });
        }
    }
}
