//! Which endpoints there are over outages of the store.

use std::time::Duration;

use pimentorock_kernel::{
    place::{
        BookChange, EndpointBook, EndpointEntry, LAPSE_GRACE, PlacedEndpoint, PlacedRequest,
        PlacementTable,
    },
    time::TimePoint,
};

fn entry(leaving: bool) -> EndpointEntry {
    EndpointEntry {
        service: "chat".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "a".into(),
        slots: 4,
        leaving,
        started_ms: None,
    }
}

/// Returns a book with one ready endpoint whose store was away until `back`.
fn book_after_outage(back: TimePoint) -> EndpointBook {
    let mut book = EndpointBook::new();
    book.note_contact(TimePoint::from_millis(100));
    book.take(TimePoint::from_millis(100), "e1", 1, Some(entry(false)));
    book.note_contact(back);
    book
}

#[test]
fn an_entry_that_is_removed_in_calm_is_gone_at_once() {
    let mut book = EndpointBook::new();
    for millis in (0..5_000).step_by(400) {
        book.note_contact(TimePoint::from_millis(millis));
    }
    book.take(TimePoint::from_millis(4_900), "e1", 1, Some(entry(false)));
    let change = book.take(TimePoint::from_millis(5_000), "e1", 2, None);
    assert_eq!(change, Some(BookChange::Gone("e1".into())));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_the_last_resort_until_it_is_gone() {
    let back = TimePoint::from_millis(9_000);
    let mut book = book_after_outage(back);
    assert_eq!(book.take(back, "e1", 2, None), Some(BookChange::Lapsed("e1".into())));
    assert_eq!(book.expire(back + LAPSE_GRACE - Duration::from_millis(1)), []);
    assert_eq!(book.expire(back + LAPSE_GRACE), [BookChange::Gone("e1".into())]);
}

#[test]
fn an_entry_that_comes_back_counts_again() {
    let back = TimePoint::from_millis(9_000);
    let mut book = book_after_outage(back);
    book.take(back, "e1", 2, None);
    let change = book.take(back, "e1", 3, Some(entry(false)));
    assert_eq!(change, Some(BookChange::Put("e1".into(), entry(false))));
    assert_eq!(book.expire(back + LAPSE_GRACE), []);
}

#[test]
fn an_endpoint_that_was_leaving_does_not_lapse() {
    let back = TimePoint::from_millis(9_000);
    let mut book = book_after_outage(back);
    book.take(back, "e1", 2, Some(entry(true)));
    assert_eq!(book.take(back, "e1", 3, None), Some(BookChange::Gone("e1".into())));
}

#[test]
fn an_older_record_changes_nothing() {
    let now = TimePoint::from_millis(100);
    let mut book = EndpointBook::new();
    book.take(now, "e1", 7, Some(entry(true)));
    assert_eq!(book.take(now, "e1", 6, Some(entry(false))), None);
    assert!(book.entry("e1").is_some_and(|entry| entry.leaving));
}

#[test]
fn a_lapsed_endpoint_is_chosen_only_where_no_other_is() {
    let now = TimePoint::from_millis(100);
    let mut table = PlacementTable::new("a");
    let spec = |name: &str, domain: &str| PlacedEndpoint {
        name: name.into(),
        service: "chat".into(),
        domain: domain.into(),
        slots: 4,
        leaving: false,
    };
    let near = table.put(spec("near", "a"));
    let far = table.put(spec("far", "b"));
    table.lapse("near");
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    assert_eq!(table.choose(now, &request, &[]).unwrap().endpoint, far);
    assert_eq!(table.choose(now, &request, &[far]).unwrap().endpoint, near);
    table.put(spec("near", "a"));
    assert_eq!(table.choose(now, &request, &[]).unwrap().endpoint, near);
}
