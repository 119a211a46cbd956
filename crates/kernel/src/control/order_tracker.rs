//! Orders to the platform.
//!
//! An order is recorded in the log before it is sent, and compared with the host list before it
//! is sent again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{FencingNumber, ProcessId},
    record::{OrderIntent, OrderOutcome, OrderSettled, OrderVerb, StateRecord},
    time::TimePoint,
};

/// Number of settled orders whose identifiers are kept.
const MAX_SETTLED_ORDERS: usize = 1024;

/// Time after which an outcome that was not read back from the log is appended again.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Time limits and attempt limits of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Longest time until the host list shows the effect of an order.
    pub list_lag: Duration,
    /// Time before an order that was certainly not sent is sent again.
    pub retry_after: Duration,
    /// Number of attempts after which an order without effect has failed.
    pub attempts: u32,
}

impl Default for OrderLimits {
    fn default() -> OrderLimits {
        OrderLimits {
            list_lag: Duration::from_secs(30),
            retry_after: Duration::from_secs(2),
            attempts: 3,
        }
    }
}

/// Result of a call that sends an order to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order, which therefore has no effect.
    Refused,
    /// The order was certainly not sent.
    NotSent,
    /// The answer was lost; the order may have taken effect.
    Lost,
}

/// A host as the platform's host list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the endpoint or host.
    pub name: Box<str>,
    /// Identifier of the order that started the host; `None` if no order is known.
    pub order: Option<Box<str>>,
    /// Whether the host is being stopped.
    pub leaving: bool,
}

/// Next step for an open order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Send the order: check the lease, call [`OrderTracker::mark_sent`], write the order, then
    /// call [`OrderTracker::record_reply`].
    Send(OrderIntent),
    /// Append the outcome of the order to the log.
    Settle(OrderSettled),
    /// Do nothing before `until`, and read the host list then or later.
    Wait {
        /// Identifier of the order.
        id: Box<str>,
        /// Time of the next check.
        until: TimePoint,
    },
}

/// Progress of an open order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderPhase {
    /// The intent is in the log, the order had no effect, and it may be sent from this time on.
    Unsent(TimePoint),
    /// A call that sends the order is in progress.
    Sending,
    /// The order may have taken effect at any time up to this one.
    Unknown(TimePoint),
    /// The outcome is known and was last appended at the given time; `None` if it was not appended.
    Concluded(OrderOutcome, Option<TimePoint>),
}

/// An order that is not settled.
#[derive(Clone, Debug)]
struct OpenOrder {
    intent: OrderIntent,
    phase: OrderPhase,
    attempts: u32,
}

/// Tracks the orders that are in the log and not settled.
///
/// The holder of the lease appends an intent, reads it back and only then sends the order. A
/// successor finds the intents of its predecessor in the log and must assume that each of these
/// orders was sent.
#[derive(Clone, Debug)]
pub struct OrderTracker {
    process: ProcessId,
    limits: OrderLimits,
    /// Fencing number under which this process last asked for actions.
    lease_fencing: Option<FencingNumber>,
    open: BTreeMap<Box<str>, OpenOrder>,
    settled: VecDeque<Box<str>>,
    /// Orders that took effect, each with the time at which its outcome was read, oldest first.
    recent_effects: VecDeque<(TimePoint, OrderIntent)>,
}

impl OrderTracker {
    /// Returns a tracker without orders.
    pub fn new(process: ProcessId, limits: OrderLimits) -> OrderTracker {
        OrderTracker {
            process,
            limits,
            lease_fencing: None,
            open: BTreeMap::new(),
            settled: VecDeque::new(),
            recent_effects: VecDeque::new(),
        }
    }

    /// Returns the intents of all open orders, in the order of their identifiers.
    pub fn open(&self) -> impl Iterator<Item = &OrderIntent> + '_ {
        self.open.values().map(|order| &order.intent)
    }

    /// Returns the intents of all orders whose effect the host list may not show yet.
    ///
    /// Orders that took effect within [`OrderLimits::list_lag`] come first, oldest first, and all
    /// open orders follow.
    pub fn pending_effects(&self, now: TimePoint) -> Vec<OrderIntent> {
        let lag = self.limits.list_lag;
        let recent = self.recent_effects.iter().filter(|(at, _)| now.since(*at) < lag);
        recent.map(|(_, intent)| intent).chain(self.open()).cloned().collect()
    }

    /// Returns the identifiers of the most recently settled orders, oldest first.
    pub fn settled(&self) -> impl Iterator<Item = &str> + '_ {
        self.settled.iter().map(|id| &**id)
    }

    /// Restores the orders of a snapshot.
    ///
    /// An order that is open both here and in the snapshot keeps its progress, and one that is open
    /// only here is dropped. Any other open order of the snapshot may have been sent.
    pub fn restore(&mut self, now: TimePoint, open: &[OrderIntent], settled: &[Box<str>]) {
        self.open.retain(|id, _| open.iter().any(|intent| intent.id == *id));
        self.settled = settled.iter().cloned().collect();
        for intent in open {
            let phase = OrderPhase::Unknown(now);
            let order = OpenOrder { intent: intent.clone(), phase, attempts: 0 };
            self.open.entry(intent.id.clone()).or_insert(order);
        }
    }

    /// Applies a record of the `state` stream.
    ///
    /// `fencing` is the fencing number of the order lease after all earlier records; `None` if
    /// there is none. An intent under another number came too late and is ignored.
    pub fn apply(&mut self, now: TimePoint, record: &StateRecord, fencing: Option<FencingNumber>) {
        match record {
            StateRecord::OrderIntent(intent) => self.record_intent(now, intent, fencing),
            StateRecord::OrderSettled(settled) => self.record_outcome(now, settled),
            _ => {}
        }
    }

    /// Returns the next steps for the open orders, for a process that holds the lease under
    /// `fencing`.
    pub fn next_actions(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<OrderAction> {
        if self.lease_fencing != Some(fencing) {
            self.begin_tenure(now, fencing);
        }
        let ids: Vec<Box<str>> = self.open.keys().cloned().collect();
        ids.iter().filter_map(|id| self.next_action(now, id)).collect()
    }

    /// Records that the bytes of the order `id` are about to be written.
    pub fn mark_sent(&mut self, id: &str) {
        if let Some(order) = self.open.get_mut(id) {
            order.phase = OrderPhase::Sending;
            order.attempts += 1;
        }
    }

    /// Records the result of the call that sent the order `id`.
    pub fn record_reply(&mut self, id: &str, now: TimePoint, reply: OrderReply) {
        let retry = now + self.limits.retry_after;
        let attempts = self.limits.attempts;
        let Some(order) = self.open.get_mut(id) else { return };
        order.phase = match reply {
            OrderReply::Accepted => OrderPhase::Concluded(OrderOutcome::Done, None),
            OrderReply::Refused => OrderPhase::Concluded(OrderOutcome::Failed, None),
            OrderReply::NotSent if order.attempts >= attempts => {
                OrderPhase::Concluded(OrderOutcome::Failed, None)
            }
            OrderReply::NotSent => OrderPhase::Unsent(retry),
            OrderReply::Lost => OrderPhase::Unknown(now),
        };
    }

    /// Compares the open orders with a host list that was requested at `sent`.
    pub fn note_hosts(&mut self, sent: TimePoint, hosts: &[ListedHost]) {
        let OrderLimits { list_lag, attempts, .. } = self.limits;
        for order in self.open.values_mut() {
            let OrderPhase::Unknown(since) = order.phase else { continue };
            let settled = sent >= since + list_lag;
            let done = match order.intent.verb {
                OrderVerb::Start => {
                    hosts.iter().any(|host| host.order.as_ref() == Some(&order.intent.id))
                }
                OrderVerb::Stop => {
                    let host = hosts.iter().find(|host| host.name == order.intent.endpoint);
                    host.map_or(settled, |host| host.leaving)
                }
            };
            order.phase = match (done, settled) {
                (true, _) => OrderPhase::Concluded(OrderOutcome::Done, None),
                (false, false) => continue,
                (false, true) if order.attempts >= attempts => {
                    OrderPhase::Concluded(OrderOutcome::Failed, None)
                }
                (false, true) => OrderPhase::Unsent(sent),
            };
        }
    }

    fn record_intent(
        &mut self,
        now: TimePoint,
        intent: &OrderIntent,
        fencing: Option<FencingNumber>,
    ) {
        let known = self.open.contains_key(&intent.id) || self.settled.contains(&intent.id);
        if known || fencing != Some(intent.fencing) {
            return;
        }
        let is_sender = intent.sender == self.process;
        let phase = if is_sender { OrderPhase::Unsent(now) } else { OrderPhase::Unknown(now) };
        let order = OpenOrder { intent: intent.clone(), phase, attempts: 0 };
        self.open.insert(intent.id.clone(), order);
    }

    fn record_outcome(&mut self, now: TimePoint, settled: &OrderSettled) {
        let Some(order) = self.open.remove(&settled.id) else { return };
        if settled.outcome == OrderOutcome::Done {
            let lag = self.limits.list_lag;
            self.recent_effects.retain(|(at, _)| now.since(*at) < lag);
            self.recent_effects.push_back((now, order.intent));
        }
        self.settled.push_back(settled.id.clone());
        if self.settled.len() > MAX_SETTLED_ORDERS {
            self.settled.pop_front();
        }
    }

    /// Starts to track under a new fencing number.
    ///
    /// Another process may have sent any of the older orders until now.
    fn begin_tenure(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.lease_fencing = Some(fencing);
        for order in self.open.values_mut().filter(|order| order.intent.fencing < fencing) {
            order.phase = OrderPhase::Unknown(now);
            order.attempts = 0;
        }
    }

    fn next_action(&mut self, now: TimePoint, id: &str) -> Option<OrderAction> {
        let order = self.open.get_mut(id)?;
        match &mut order.phase {
            OrderPhase::Unsent(from) if now >= *from => {
                Some(OrderAction::Send(order.intent.clone()))
            }
            OrderPhase::Unsent(from) => Some(OrderAction::Wait { id: id.into(), until: *from }),
            OrderPhase::Sending => None,
            OrderPhase::Unknown(since) => {
                let until = *since + self.limits.list_lag;
                Some(OrderAction::Wait { id: id.into(), until })
            }
            OrderPhase::Concluded(outcome, appended) => {
                if appended.is_some_and(|at| now.since(at) < SETTLE_RETRY_INTERVAL) {
                    return None;
                }
                *appended = Some(now);
                Some(OrderAction::Settle(OrderSettled { id: id.into(), outcome: *outcome }))
            }
        }
    }
}
