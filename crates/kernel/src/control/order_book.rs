//! Orders to the platform: recorded before they are sent, reconciled before a resend.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{FencingNumber, ProcessId},
    record::{OrderIntent, OrderOutcome, OrderSettled, OrderVerb, StateRecord},
    time::TimePoint,
};

/// Settled orders whose identifiers are remembered.
const REMEMBERED_ORDERS: usize = 1024;

/// Time between appends of the same outcome.
const SETTLE_EVERY: Duration = Duration::from_secs(3);

/// Times and counts for orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Longest lag of the host list behind an order's effect.
    pub list_lag: Duration,
    /// Time before an order that certainly had no effect is sent again.
    pub retry_after: Duration,
    /// Attempts before an order without effect is given up.
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

/// How a call that sent an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The platform took the order.
    Taken,
    /// The platform refused it; it has no effect.
    Refused,
    /// It is certain that nothing was sent.
    NotSent,
    /// No answer; the order may have taken effect.
    Lost,
}

/// A host as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSighting {
    /// Name of the endpoint or host.
    pub name: Box<str>,
    /// Order that started it.
    pub order: Option<Box<str>>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What to do about an open order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Send it: check the lease, call [`OrderBook::sent`], write, call [`OrderBook::replied`].
    Send(OrderIntent),
    /// Append its outcome.
    Settle(OrderSettled),
    /// Nothing before this time; with a read of the host list at or after it.
    Wait {
        /// Identifier of the order.
        id: Box<str>,
        /// When to look again.
        until: TimePoint,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderPhase {
    /// In the log; certainly without effect; may be sent from this time on.
    Unsent(TimePoint),
    /// A call is under way.
    Sending,
    /// It may have taken effect at any time up to this one.
    Unknown(TimePoint),
    /// Its outcome is known and has to be in the log.
    Ended(OrderOutcome, Option<TimePoint>),
}

#[derive(Clone, Debug)]
struct OpenOrder {
    intent: OrderIntent,
    phase: OrderPhase,
    attempts: u32,
}

/// Orders that are in the log and not settled.
///
/// The holder of the lease appends an intent, reads it back and only then sends the order. A
/// successor finds the intents of its predecessor and must take each for sent.
#[derive(Clone, Debug)]
pub struct OrderBook {
    process: ProcessId,
    limits: OrderLimits,
    tenure: Option<FencingNumber>,
    open: BTreeMap<Box<str>, OpenOrder>,
    settled: VecDeque<Box<str>>,
    /// Orders that took effect, by the time at which that was read, oldest first.
    recent: VecDeque<(TimePoint, OrderIntent)>,
}

impl OrderBook {
    /// Returns a book without orders.
    pub fn new(process: ProcessId, limits: OrderLimits) -> OrderBook {
        OrderBook {
            process,
            limits,
            tenure: None,
            open: BTreeMap::new(),
            settled: VecDeque::new(),
            recent: VecDeque::new(),
        }
    }

    /// Returns the intents of all open orders, by identifier.
    pub fn open(&self) -> impl Iterator<Item = &OrderIntent> + '_ {
        self.open.values().map(|order| &order.intent)
    }

    /// Returns the intents whose effect the host list may not show yet: those of orders that took
    /// effect within [`OrderLimits::list_lag`], oldest first, then those of all open orders.
    pub fn in_effect(&self, now: TimePoint) -> Vec<OrderIntent> {
        let lag = self.limits.list_lag;
        let recent = self.recent.iter().filter(|(at, _)| now.since(*at) < lag);
        recent.map(|(_, intent)| intent).chain(self.open()).cloned().collect()
    }

    /// Returns the identifiers of settled orders that are remembered, oldest first.
    pub fn settled(&self) -> impl Iterator<Item = &str> + '_ {
        self.settled.iter().map(|id| &**id)
    }

    /// Takes over the orders of a snapshot.
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
    /// `fencing` is the number of the orders' lease after the records before this one; an
    /// intent under another number came too late and is void.
    pub fn apply(&mut self, now: TimePoint, record: &StateRecord, fencing: Option<FencingNumber>) {
        match record {
            StateRecord::OrderIntent(intent) => self.record_intent(now, intent, fencing),
            StateRecord::OrderSettled(settled) => self.record_outcome(now, settled),
            _ => {}
        }
    }

    /// Returns what to do about the open orders, for a process that holds the lease under
    /// `fencing`.
    pub fn next_actions(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<OrderAction> {
        if self.tenure != Some(fencing) {
            self.take_over(now, fencing);
        }
        let ids: Vec<Box<str>> = self.open.keys().cloned().collect();
        ids.iter().filter_map(|id| self.next_action(now, id)).collect()
    }

    /// Notes that an order's bytes are about to be written.
    pub fn sent(&mut self, id: &str) {
        if let Some(order) = self.open.get_mut(id) {
            order.phase = OrderPhase::Sending;
            order.attempts += 1;
        }
    }

    /// Notes how the call ended.
    pub fn replied(&mut self, id: &str, now: TimePoint, reply: OrderReply) {
        let retry = now + self.limits.retry_after;
        let attempts = self.limits.attempts;
        let Some(order) = self.open.get_mut(id) else { return };
        order.phase = match reply {
            OrderReply::Taken => OrderPhase::Ended(OrderOutcome::Done, None),
            OrderReply::Refused => OrderPhase::Ended(OrderOutcome::Failed, None),
            OrderReply::NotSent if order.attempts >= attempts => {
                OrderPhase::Ended(OrderOutcome::Failed, None)
            }
            OrderReply::NotSent => OrderPhase::Unsent(retry),
            OrderReply::Lost => OrderPhase::Unknown(now),
        };
    }

    /// Takes a read of the host list that was asked for at `sent`.
    pub fn note_hosts(&mut self, sent: TimePoint, hosts: &[HostSighting]) {
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
                (true, _) => OrderPhase::Ended(OrderOutcome::Done, None),
                (false, false) => continue,
                (false, true) if order.attempts >= attempts => {
                    OrderPhase::Ended(OrderOutcome::Failed, None)
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
        let mine = intent.sender == self.process;
        let phase = if mine { OrderPhase::Unsent(now) } else { OrderPhase::Unknown(now) };
        let order = OpenOrder { intent: intent.clone(), phase, attempts: 0 };
        self.open.insert(intent.id.clone(), order);
    }

    fn record_outcome(&mut self, now: TimePoint, settled: &OrderSettled) {
        let Some(order) = self.open.remove(&settled.id) else { return };
        if settled.outcome == OrderOutcome::Done {
            let lag = self.limits.list_lag;
            self.recent.retain(|(at, _)| now.since(*at) < lag);
            self.recent.push_back((now, order.intent));
        }
        self.settled.push_back(settled.id.clone());
        if self.settled.len() > REMEMBERED_ORDERS {
            self.settled.pop_front();
        }
    }

    /// Begins under a new number: another process may have sent any of the orders until now.
    fn take_over(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.tenure = Some(fencing);
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
            OrderPhase::Ended(outcome, appended) => {
                if appended.is_some_and(|at| now.since(at) < SETTLE_EVERY) {
                    return None;
                }
                *appended = Some(now);
                Some(OrderAction::Settle(OrderSettled { id: id.into(), outcome: *outcome }))
            }
        }
    }
}
