//! Tests of orders to evacuate failure domains, and of placement under them.

use std::{collections::BTreeSet, time::Duration};

use pimentorock_kernel::{
    log_position::LogPosition,
    place::{
        EvacuationOrders, EvacuationUpdate, PlacedEndpoint, PlacedRequest, PlacementTable,
        WarmupAllowance, WarmupLimit,
    },
    reason::DecisionReason,
    time::TimePoint,
};

const NOW: TimePoint = TimePoint::from_millis(10_000);

/// Time after which an order that a restored store lacks has ended.
const REWRITTEN: Duration = Duration::from_secs(5);

fn at(era: u64, offset: u64) -> LogPosition {
    LogPosition { era, offset }
}

fn set(domains: &[&str]) -> BTreeSet<Box<str>> {
    domains.iter().map(|domain| (*domain).into()).collect()
}

fn listed(orders: &EvacuationOrders) -> Vec<&str> {
    orders.domains().iter().map(|domain| &**domain).collect()
}

fn endpoint(name: &str, domain: &str) -> PlacedEndpoint {
    PlacedEndpoint {
        name: name.into(),
        service: "app".into(),
        domain: domain.into(),
        software: "v1".into(),
        slots: 8,
        leaving: false,
        started_ms: None,
    }
}

fn table() -> PlacementTable {
    let mut table = PlacementTable::new("a");
    for (name, domain) in [("i-a", "a"), ("i-b", "b")] {
        table.put(endpoint(name, domain));
    }
    table
}

fn request() -> PlacedRequest {
    PlacedRequest { service: "app".into(), ..PlacedRequest::default() }
}

/// Guards against an order that is lost or comes back when records arrive twice, late or from a
/// later list.
#[test]
fn orders_follow_the_newest_record_of_each_domain() {
    let mut orders = EvacuationOrders::new();
    assert!(!orders.apply_list(NOW, at(0, 10), set(&[])));
    assert!(orders.apply_record(at(0, 12), "a", true));
    assert!(!orders.apply_record(at(0, 12), "a", true), "the record came twice");
    assert!(orders.apply_record(at(0, 13), "b", true));
    assert!(orders.apply_record(at(0, 14), "a", false));
    assert!(!orders.apply_record(at(0, 12), "a", true), "an older record came late");
    assert_eq!(listed(&orders), ["b"]);
    assert!(!orders.apply_list(NOW, at(0, 13), set(&["a"])), "the list is older");
    assert!(orders.apply_list(NOW, at(0, 20), set(&["c"])));
    assert_eq!(listed(&orders), ["c"]);
}

/// Guards against an entry that keeps an order for ever, because the entry that read of its end was
/// started later.
#[test]
fn the_orders_of_the_later_position_replace_all_others() {
    let mut reader = EvacuationOrders::new();
    reader.apply_list(NOW, at(0, 5), set(&["a"]));
    let mut follower = EvacuationOrders::new();
    assert!(follower.adopt(reader.update_for(follower.position()).unwrap()));
    assert_eq!(reader.update_for(follower.position()), None);
    let mut next_reader = EvacuationOrders::new();
    next_reader.apply_list(NOW, at(0, 9), set(&[]));
    assert!(follower.adopt(next_reader.update_for(follower.position()).unwrap()));
    assert_eq!(listed(&follower), [""; 0]);
    assert!(!follower.adopt(EvacuationUpdate::new(at(0, 5), set(&["a"]))), "the word is old");
}

/// Guards against requests to a domain whose order a restored store has lost for the moment.
#[test]
fn an_order_that_a_restored_store_lacks_holds_until_it_may_have_been_written_again() {
    let mut orders = EvacuationOrders::new();
    orders.apply_list(NOW, at(0, 50), set(&["a", "b"]));
    assert!(!orders.apply_list(NOW, at(1, 30), set(&["a"])));
    let mut follower = EvacuationOrders::new();
    follower.adopt(orders.update_for(None).unwrap());
    assert_eq!(listed(&follower), ["a", "b"]);
    assert!(!orders.expire(NOW + Duration::from_secs(1)));
    let mut confirmed = orders.clone();
    confirmed.apply_record(at(1, 31), "b", true);
    assert!(!confirmed.expire(NOW + REWRITTEN));
    assert_eq!(listed(&confirmed), ["a", "b"]);
    assert!(orders.expire(NOW + REWRITTEN));
    assert!(follower.adopt(orders.update_for(follower.position()).unwrap()));
    assert_eq!(listed(&follower), ["a"]);
}

/// Guards against requests to an evacuated domain, also those that were placed before the order.
#[test]
fn an_evacuated_domain_gets_no_requests_until_it_is_taken_back() {
    let mut table = table();
    let placed = table.choose(NOW, &request(), &[]).unwrap();
    assert_eq!(&*placed.name, "i-a");
    assert_eq!(table.set_evacuated(NOW, &set(&["a"])), 1);
    assert!(!table.may_send(NOW, &placed, None));
    table.put(endpoint("i-a2", "a"));
    (0..20).for_each(|_| {
        let choice = table.choose(NOW, &request(), &[]).unwrap();
        assert_eq!(&*choice.name, "i-b");
        table.sent(NOW, choice.endpoint, &request());
    });
    table.set_evacuated(NOW, &set(&["a", "b"]));
    let refused = table.choose(NOW, &request(), &[]);
    assert_eq!(refused, Err(DecisionReason::DomainsEvacuated));
    table.set_evacuated(NOW, &set(&["b"]));
    let choice = table.choose(NOW, &request(), &[]).unwrap();
    assert!(["i-a", "i-a2"].contains(&&*choice.name));
    assert!(table.may_send(NOW, &choice, None));
}

/// Guards against a rush to endpoints that started again while their domain was evacuated.
#[test]
fn endpoints_of_a_domain_that_is_taken_back_are_presumed_to_warm_up() {
    let mut table = table();
    let allowance = WarmupAllowance { ratio: 1.5, slack: 5.0 };
    let limit = WarmupLimit::new(Duration::from_secs(3), 8.9, allowance).unwrap();
    table.set_warmups([("app".into(), limit)].into());
    let key = table.key("i-a").unwrap();
    assert!(!table.is_warming_up(NOW, key));
    table.set_evacuated(NOW, &set(&["a"]));
    table.set_evacuated(NOW, &set(&[]));
    assert!(table.is_warming_up(NOW + Duration::from_millis(2_900), key));
    assert!(!table.is_warming_up(NOW + Duration::from_millis(3_100), key));
}

/// Guards against an unknown domain, or none at all, that changes what other domains get.
#[test]
fn an_order_for_an_unknown_domain_changes_nothing_else() {
    let mut table = table();
    assert_eq!(table.set_evacuated(NOW, &set(&["", "nowhere"])), 0);
    assert_eq!(&*table.choose(NOW, &request(), &[]).unwrap().name, "i-a");
}
