//! Orders against a platform that loses answers and whose host list lags.

mod naive_control;

use std::{collections::BTreeMap, time::Duration};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{HostSighting, OrderAction, OrderBook, OrderLimits, OrderReply},
    ids::{FencingNumber, ProcessId},
    record::{OrderIntent, OrderOutcome, OrderSettled, OrderVerb, StateRecord},
    time::TimePoint,
};

const LAG: Duration = Duration::from_secs(10);

fn process(index: u64) -> ProcessId {
    ProcessId { name: format!("p{index}").into(), incarnation: 1 }
}

/// Counts how often each order took effect, and when.
#[derive(Default)]
struct Platform {
    effects: BTreeMap<Box<str>, Vec<TimePoint>>,
}

impl Platform {
    fn send(&mut self, dice: &mut SeededRng, now: TimePoint, id: &str) -> OrderReply {
        let (effect, reply) = match dice.below(5) {
            0 => (false, OrderReply::NotSent),
            1 => (false, OrderReply::Lost),
            2 => (false, OrderReply::Refused),
            3 => (true, OrderReply::Lost),
            _ => (true, OrderReply::Taken),
        };
        if effect {
            self.effects.entry(id.into()).or_default().push(now);
        }
        reply
    }

    fn hosts(&self, dice: &mut SeededRng, now: TimePoint) -> Vec<HostSighting> {
        let lag = LAG - Duration::from_secs(dice.below(10));
        let listed = self.effects.iter().filter(|(_, at)| at[0] + lag <= now);
        let sighting = |id: &str| HostSighting {
            name: format!("host of {id}").into(),
            order: Some(id.into()),
            leaving: false,
        };
        listed.map(|(id, _)| sighting(id)).collect()
    }
}

/// What became of the orders of a session.
struct Ending {
    /// Outcomes in the log.
    outcomes: BTreeMap<Box<str>, OrderOutcome>,
    platform: Platform,
    orders: usize,
    /// Most effects that one order had.
    most: usize,
}

/// Runs orders through three tenures of the lease.
fn session(seed: u64, list_lag: Duration) -> Ending {
    let mut dice = SeededRng::new(seed);
    let limits = OrderLimits { list_lag, ..OrderLimits::default() };
    let mut platform = Platform::default();
    let mut outcomes = BTreeMap::new();
    let mut log: Vec<StateRecord> = Vec::new();
    let mut now = TimePoint::from_millis(1_000);
    for tenure in 1..=3 {
        let fencing = FencingNumber(tenure);
        let mut book = OrderBook::new(process(tenure), limits);
        log.iter().for_each(|record| book.apply(now, record, Some(FencingNumber(1))));
        for round in 0..60 {
            now = now + Duration::from_secs(1);
            if tenure == 1 && round % 10 == 0 {
                let (id, sender) = (format!("o{round}").into(), process(1));
                let (endpoint, domain) = ("".into(), "d1".into());
                let verb = OrderVerb::Start;
                let intent = OrderIntent { id, sender, fencing, verb, endpoint, domain };
                log.push(StateRecord::OrderIntent(intent));
                book.apply(now, &log[log.len() - 1], Some(fencing));
            }
            if dice.one_in(3) {
                book.note_hosts(now, &platform.hosts(&mut dice, now));
            }
            for action in book.next_actions(now, fencing) {
                match action {
                    OrderAction::Send(intent) => {
                        book.sent(&intent.id);
                        let reply = platform.send(&mut dice, now, &intent.id);
                        book.replied(&intent.id, now, reply);
                    }
                    OrderAction::Settle(settled) if dice.one_in(3) => {
                        outcomes.entry(settled.id.clone()).or_insert(settled.outcome);
                        log.push(StateRecord::OrderSettled(settled));
                        book.apply(now, &log[log.len() - 1], Some(fencing));
                    }
                    OrderAction::Settle(_) | OrderAction::Wait { .. } => {}
                }
            }
            if tenure < 3 && round > 30 && dice.one_in(20) {
                break;
            }
        }
    }
    let most = platform.effects.values().map(Vec::len).max().unwrap_or(0);
    let orders = log.iter().filter(|record| matches!(record, StateRecord::OrderIntent(_))).count();
    Ending { outcomes, platform, orders, most }
}

#[test]
fn an_order_takes_effect_once_over_lost_answers_and_successors() {
    for seed in 0..200 {
        let Ending { outcomes, platform, orders, most } = session(seed, LAG);
        assert!(most <= 1, "seed {seed}: an order took effect {most} times");
        assert_eq!(outcomes.len(), orders, "seed {seed}: every order is settled");
        for (id, outcome) in outcomes {
            let took = platform.effects.contains_key(&id);
            assert_eq!(outcome == OrderOutcome::Done, took, "seed {seed}: order {id}");
        }
    }
    let doubled = (0..200).filter(|&seed| session(seed, Duration::ZERO).most > 1).count();
    assert!(doubled > 20, "a book that does not wait for the list doubled only {doubled}");
}

#[test]
fn a_late_intent_is_void_and_a_stop_needs_the_list() {
    let now = TimePoint::from_millis(1_000);
    let limits = OrderLimits { list_lag: LAG, ..OrderLimits::default() };
    let mut book = OrderBook::new(process(1), limits);
    let intent = |id: &str, fencing| OrderIntent {
        id: id.into(),
        sender: process(1),
        fencing: FencingNumber(fencing),
        verb: OrderVerb::Stop,
        endpoint: "g1".into(),
        domain: "d1".into(),
    };
    book.apply(now, &StateRecord::OrderIntent(intent("late", 1)), Some(FencingNumber(2)));
    assert_eq!(book.open().count(), 0);
    book.apply(now, &StateRecord::OrderIntent(intent("stop", 2)), Some(FencingNumber(2)));
    book.sent("stop");
    book.replied("stop", now, OrderReply::Lost);
    let wait = OrderAction::Wait { id: "stop".into(), until: now + LAG };
    book.note_hosts(now + LAG / 2, &[]);
    assert_eq!(book.next_actions(now + LAG / 2, FencingNumber(2)), [wait], "the list may lag");
    let host = |leaving| HostSighting { name: "g1".into(), order: None, leaving };
    book.note_hosts(now + LAG, &[host(false)]);
    let actions = book.next_actions(now + LAG, FencingNumber(2));
    assert_eq!(actions, [OrderAction::Send(intent("stop", 2))]);
    book.sent("stop");
    book.replied("stop", now + LAG, OrderReply::Lost);
    book.note_hosts(now + LAG, &[host(true)]);
    let actions = book.next_actions(now + LAG, FencingNumber(2));
    assert!(
        matches!(&actions[..], [OrderAction::Settle(settled)] if settled.outcome == OrderOutcome::Done)
    );
}

#[test]
fn an_order_counts_until_the_host_list_can_show_its_effect() {
    let now = TimePoint::from_millis(1_000);
    let limits = OrderLimits { list_lag: LAG, ..OrderLimits::default() };
    let mut book = OrderBook::new(process(1), limits);
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
        book.apply(now, &StateRecord::OrderIntent(intent), Some(fencing));
        let settled = OrderSettled { id: id.into(), outcome };
        book.apply(now, &StateRecord::OrderSettled(settled), Some(fencing));
    };
    settle("done", OrderOutcome::Done);
    settle("failed", OrderOutcome::Failed);
    let ids = |at| book.in_effect(at).into_iter().map(|intent| intent.id).collect::<Vec<_>>();
    assert_eq!(ids(now + LAG / 2), ["done".into()]);
    assert!(ids(now + LAG).is_empty());
}
