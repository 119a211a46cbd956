//! Guards against orders that take effect twice or get a wrong outcome.
//!
//! That can happen when the platform's answer to an order is lost, when the host list shows effects
//! late, and when the lease passes to another process.

mod naive_control;

use std::{collections::BTreeMap, time::Duration};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{ListedHost, OrderAction, OrderLimits, OrderReply, OrderTracker},
    ids::{FencingNumber, ProcessId},
    record::{OrderIntent, OrderOutcome, OrderSettled, OrderVerb, StateRecord},
    time::TimePoint,
};

const LAG: Duration = Duration::from_secs(10);

fn process(index: u64) -> ProcessId {
    ProcessId { name: format!("p{index}").into(), incarnation: 1 }
}

/// Platform that records each time at which an order took effect.
#[derive(Default)]
struct Platform {
    effects: BTreeMap<Box<str>, Vec<TimePoint>>,
}

impl Platform {
    /// Handles an order with a random result.
    fn send(&mut self, rng: &mut SeededRng, now: TimePoint, id: &str) -> OrderReply {
        let (effect, reply) = match rng.below(5) {
            0 => (false, OrderReply::NotSent),
            1 => (false, OrderReply::Lost),
            2 => (false, OrderReply::Refused),
            3 => (true, OrderReply::Lost),
            _ => (true, OrderReply::Accepted),
        };
        if effect {
            self.effects.entry(id.into()).or_default().push(now);
        }
        reply
    }

    /// Returns a host list that shows effects after a random time of at most `LAG`.
    fn hosts(&self, rng: &mut SeededRng, now: TimePoint) -> Vec<ListedHost> {
        let lag = LAG - Duration::from_secs(rng.below(10));
        let listed = self.effects.iter().filter(|(_, at)| at[0] + lag <= now);
        let listed_host = |id: &str| ListedHost {
            name: format!("host of {id}").into(),
            order: Some(id.into()),
            leaving: false,
        };
        listed.map(|(id, _)| listed_host(id)).collect()
    }
}

/// Orders of a session, their outcomes and their effects.
struct SessionResult {
    /// Outcome of each order in its first settlement in the log.
    outcomes: BTreeMap<Box<str>, OrderOutcome>,
    platform: Platform,
    orders: usize,
    /// Largest number of times that one order took effect.
    max_effects: usize,
}

/// Runs orders while three processes hold the lease one after another.
fn run_session(seed: u64, list_lag: Duration) -> SessionResult {
    let mut rng = SeededRng::new(seed);
    let limits = OrderLimits { list_lag, ..OrderLimits::default() };
    let mut platform = Platform::default();
    let mut outcomes = BTreeMap::new();
    let mut log: Vec<StateRecord> = Vec::new();
    let mut now = TimePoint::from_millis(1_000);
    for tenure in 1..=3 {
        let fencing = FencingNumber(tenure);
        let mut tracker = OrderTracker::new(process(tenure), limits);
        log.iter().for_each(|record| tracker.apply(now, record, Some(FencingNumber(1))));
        for round in 0..60 {
            now = now + Duration::from_secs(1);
            if tenure == 1 && round % 10 == 0 {
                let (id, sender) = (format!("o{round}").into(), process(1));
                let (endpoint, domain) = ("".into(), "d1".into());
                let verb = OrderVerb::Start;
                let intent = OrderIntent { id, sender, fencing, verb, endpoint, domain };
                log.push(StateRecord::OrderIntent(intent));
                tracker.apply(now, &log[log.len() - 1], Some(fencing));
            }
            if rng.one_in(3) {
                tracker.note_hosts(now, &platform.hosts(&mut rng, now));
            }
            for action in tracker.next_actions(now, fencing) {
                match action {
                    OrderAction::Send(intent) => {
                        tracker.mark_sent(&intent.id);
                        let reply = platform.send(&mut rng, now, &intent.id);
                        tracker.record_reply(&intent.id, now, reply);
                    }
                    OrderAction::Settle(settled) if rng.one_in(3) => {
                        outcomes.entry(settled.id.clone()).or_insert(settled.outcome);
                        log.push(StateRecord::OrderSettled(settled));
                        tracker.apply(now, &log[log.len() - 1], Some(fencing));
                    }
                    OrderAction::Settle(_) | OrderAction::Wait { .. } => {}
                }
            }
            if tenure < 3 && round > 30 && rng.one_in(20) {
                break;
            }
        }
    }
    let max_effects = platform.effects.values().map(Vec::len).max().unwrap_or(0);
    let orders = log.iter().filter(|record| matches!(record, StateRecord::OrderIntent(_))).count();
    SessionResult { outcomes, platform, orders, max_effects }
}

#[test]
fn an_order_takes_effect_at_most_once_despite_lost_answers_and_successors() {
    for seed in 0..200 {
        let SessionResult { outcomes, platform, orders, max_effects } = run_session(seed, LAG);
        assert!(max_effects <= 1, "seed {seed}: an order took effect {max_effects} times");
        assert_eq!(outcomes.len(), orders, "seed {seed}: some orders were not settled");
        for (id, outcome) in outcomes {
            let took_effect = platform.effects.contains_key(&id);
            assert_eq!(outcome == OrderOutcome::Done, took_effect, "seed {seed}: order {id}");
        }
    }
    let repeated =
        (0..200).filter(|&seed| run_session(seed, Duration::ZERO).max_effects > 1).count();
    assert!(
        repeated > 20,
        "only {repeated} seeds repeat an order without the wait for the host list"
    );
}

#[test]
fn a_late_intent_is_ignored_and_a_stop_with_a_lost_reply_waits_for_the_host_list() {
    let now = TimePoint::from_millis(1_000);
    let limits = OrderLimits { list_lag: LAG, ..OrderLimits::default() };
    let mut tracker = OrderTracker::new(process(1), limits);
    let intent = |id: &str, fencing| OrderIntent {
        id: id.into(),
        sender: process(1),
        fencing: FencingNumber(fencing),
        verb: OrderVerb::Stop,
        endpoint: "g1".into(),
        domain: "d1".into(),
    };
    tracker.apply(now, &StateRecord::OrderIntent(intent("late", 1)), Some(FencingNumber(2)));
    assert_eq!(tracker.open().count(), 0);
    tracker.apply(now, &StateRecord::OrderIntent(intent("stop", 2)), Some(FencingNumber(2)));
    tracker.mark_sent("stop");
    tracker.record_reply("stop", now, OrderReply::Lost);
    let wait = OrderAction::Wait { id: "stop".into(), until: now + LAG };
    tracker.note_hosts(now + LAG / 2, &[]);
    assert_eq!(
        tracker.next_actions(now + LAG / 2, FencingNumber(2)),
        [wait],
        "the host list may not show the stop yet"
    );
    let host = |leaving| ListedHost { name: "g1".into(), order: None, leaving };
    tracker.note_hosts(now + LAG, &[host(false)]);
    let actions = tracker.next_actions(now + LAG, FencingNumber(2));
    assert_eq!(actions, [OrderAction::Send(intent("stop", 2))]);
    tracker.mark_sent("stop");
    tracker.record_reply("stop", now + LAG, OrderReply::Lost);
    tracker.note_hosts(now + LAG, &[host(true)]);
    let actions = tracker.next_actions(now + LAG, FencingNumber(2));
    assert!(
        matches!(&actions[..], [OrderAction::Settle(settled)] if settled.outcome == OrderOutcome::Done)
    );
}

#[test]
fn an_effect_is_pending_until_the_host_list_can_show_it() {
    let now = TimePoint::from_millis(1_000);
    let limits = OrderLimits { list_lag: LAG, ..OrderLimits::default() };
    let mut tracker = OrderTracker::new(process(1), limits);
    let fencing = FencingNumber(1);
    let mut settle = |id: &str, outcome| {
        let intent = OrderIntent {
            id: id.into(),
            sender: process(1),
            fencing,
            verb: OrderVerb::Start,
            endpoint: "g1".into(),
            domain: "d1".into(),
        };
        tracker.apply(now, &StateRecord::OrderIntent(intent), Some(fencing));
        let settled = OrderSettled { id: id.into(), outcome };
        tracker.apply(now, &StateRecord::OrderSettled(settled), Some(fencing));
    };
    settle("done", OrderOutcome::Done);
    settle("failed", OrderOutcome::Failed);
    let ids =
        |at| tracker.pending_effects(at).into_iter().map(|intent| intent.id).collect::<Vec<_>>();
    assert_eq!(ids(now + LAG / 2), ["done".into()]);
    assert!(ids(now + LAG).is_empty());
}
