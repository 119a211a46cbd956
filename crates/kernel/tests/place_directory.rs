//! Tests that the endpoint directory survives outages of the store.

use std::{collections::HashSet, time::Duration};

use pimentorock_kernel::{
    log_position::LogPosition,
    place::{
        DirectoryChange, EndpointDirectory, EndpointEntry, EndpointRecord, LAPSE_GRACE,
        PlacedEndpoint, PlacedRequest, PlacementTable,
    },
    time::TimePoint,
};

fn entry(leaving: bool) -> EndpointEntry {
    EndpointEntry {
        service: "chat".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 4,
        leaving,
        started_ms: None,
        warmup_ms: 0,
    }
}

fn record(leaving: bool) -> EndpointRecord {
    EndpointRecord { entry: entry(leaving), heartbeat: 1 }
}

fn at(offset: u64) -> LogPosition {
    LogPosition { era: 1, offset }
}

/// Returns a directory with one ready endpoint after an outage of the store that ended at `back`.
fn directory_after_outage(back: TimePoint) -> EndpointDirectory {
    let mut directory = EndpointDirectory::new();
    let first = TimePoint::from_millis(100);
    directory.note_contact(first, TimePoint::ZERO);
    directory.take(first, "e1", at(1), Some(record(false)));
    directory.note_failed_read();
    directory.note_contact(back, first);
    directory
}

#[test]
fn an_entry_removed_without_an_outage_is_gone_at_once() {
    let mut directory = EndpointDirectory::new();
    for millis in (0..5_000).step_by(400) {
        let now = TimePoint::from_millis(millis);
        directory.note_contact(now, now - Duration::from_millis(400));
    }
    directory.take(TimePoint::from_millis(4_900), "e1", at(1), Some(record(false)));
    let change = directory.take(TimePoint::from_millis(5_000), "e1", at(2), None);
    assert_eq!(change, Some(DirectoryChange::Gone("e1".into())));
}

/// Guards against an entry that did not read for a while, as it followed another one, and takes that for an
/// outage of the store; and against one that takes a single failed read for one.
#[test]
fn an_entry_removed_after_a_time_without_reads_or_a_failed_read_is_gone_at_once() {
    let now = TimePoint::from_millis(9_000);
    let gone = DirectoryChange::Gone("e1".into());
    for fails in [false, true] {
        // Another entry has read meanwhile, unless no read failed.
        let current_at = now - Duration::from_millis(if fails { 700 } else { 8_000 });
        let mut directory = EndpointDirectory::new();
        directory.note_contact(TimePoint::from_millis(100), TimePoint::ZERO);
        directory.take(TimePoint::from_millis(100), "e1", at(1), Some(record(false)));
        if fails {
            directory.note_failed_read();
        }
        directory.note_contact(now, current_at);
        assert_eq!(directory.clone().take(now, "e1", at(2), None), Some(gone.clone()));
        let end = at(2);
        assert_eq!(directory.keep_listed(now, &HashSet::new(), end).first(), Some(&gone));
        assert!(directory.is_empty());
    }
}

#[test]
fn an_entry_that_another_entry_saw_lapse_in_an_outage_is_gone_after_the_grace_period() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = EndpointDirectory::new();
    directory.take(TimePoint::from_millis(100), "e1", at(1), Some(record(false)));
    directory.note_outage_end(back);
    assert_eq!(directory.outage_end(back), Some(back));
    let now = back + Duration::from_millis(300);
    assert_eq!(directory.take(now, "e1", at(2), None), Some(DirectoryChange::Lapsed("e1".into())));
    assert_eq!(directory.expire(back + LAPSE_GRACE), [DirectoryChange::Gone("e1".into())]);
    assert_eq!(directory.outage_end(back + LAPSE_GRACE), None);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_gone_after_the_grace_period() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = directory_after_outage(back);
    assert_eq!(directory.take(back, "e1", at(2), None), Some(DirectoryChange::Lapsed("e1".into())));
    assert_eq!(directory.expire(back + LAPSE_GRACE - Duration::from_millis(1)), []);
    assert_eq!(directory.expire(back + LAPSE_GRACE), [DirectoryChange::Gone("e1".into())]);
}

#[test]
fn an_entry_removed_after_an_outage_is_gone_once_the_grace_period_of_the_outage_is_over() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = directory_after_outage(back);
    let removed = back + LAPSE_GRACE - Duration::from_millis(600);
    for millis in (0..1_900).step_by(400) {
        let now = back + Duration::from_millis(millis);
        directory.note_contact(now, now - Duration::from_millis(400));
    }
    let lapsed = DirectoryChange::Lapsed("e1".into());
    assert_eq!(directory.take(removed, "e1", at(2), None), Some(lapsed));
    assert_eq!(directory.expire(back + LAPSE_GRACE), [DirectoryChange::Gone("e1".into())]);
}

#[test]
fn an_entry_that_registers_again_in_the_grace_period_stays() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = directory_after_outage(back);
    directory.take(back, "e1", at(2), None);
    let change = directory.take(back, "e1", at(3), Some(record(false)));
    assert_eq!(change, Some(DirectoryChange::Put("e1".into(), entry(false))));
    assert_eq!(directory.expire(back + LAPSE_GRACE), []);
}

#[test]
fn a_leaving_endpoint_is_gone_without_a_grace_period() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = directory_after_outage(back);
    directory.take(back, "e1", at(2), Some(record(true)));
    assert_eq!(directory.take(back, "e1", at(3), None), Some(DirectoryChange::Gone("e1".into())));
}

#[test]
fn an_older_record_is_ignored() {
    let now = TimePoint::from_millis(100);
    let mut directory = EndpointDirectory::new();
    directory.take(now, "e1", at(7), Some(record(true)));
    assert_eq!(directory.take(now, "e1", at(6), Some(record(false))), None);
    assert!(directory.entry("e1").is_some_and(|entry| entry.leaving));
}

#[test]
fn a_lapsed_endpoint_is_chosen_only_without_an_alternative() {
    let now = TimePoint::from_millis(100);
    let mut table = PlacementTable::new("a");
    let spec = |name: &str, domain: &str| PlacedEndpoint {
        name: name.into(),
        service: "chat".into(),
        domain: domain.into(),
        software: "v1".into(),
        slots: 4,
        leaving: false,
        started_ms: None,
    };
    let near = table.put(spec("near", "a"));
    let far = table.put(spec("far", "b"));
    table.mark_lapsed("near");
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    assert_eq!(table.choose(now, &request, &[]).unwrap().endpoint, far);
    assert_eq!(table.choose(now, &request, &[far]).unwrap().endpoint, near);
    table.put(spec("near", "a"));
    assert_eq!(table.choose(now, &request, &[]).unwrap().endpoint, near);
}

/// Returns the record of a run that started at `started_ms` and has sent `heartbeat` heartbeats.
fn run_record(started_ms: u64, heartbeat: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        entry: EndpointEntry { started_ms: Some(started_ms), ..entry(leaving) },
        heartbeat,
    }
}

/// Guards against an endpoint that is used again because the store, back from an older copy, shows
/// a record from before it left.
#[test]
fn a_record_of_an_older_copy_brings_no_endpoint_back() {
    let now = TimePoint::from_millis(100);
    let back = |offset| LogPosition { era: 2, offset };
    for is_removed in [false, true] {
        let mut directory = EndpointDirectory::new();
        directory.take(now, "e1", at(5), Some(run_record(7, 3, false)));
        directory.take(now, "e1", at(8), Some(run_record(7, 6, true)));
        if is_removed {
            directory.take(now, "e1", at(9), None);
        }
        let stale = run_record(7, 3, false);
        assert!(directory.is_outdated("e1", 2, &stale));
        assert_eq!(directory.take(now, "e1", back(5), Some(stale)), None);
        assert!(directory.entry("e1").is_none_or(|entry| entry.leaving));
        // A later heartbeat of the same run, and another run, are news.
        let later = run_record(7, 7, false);
        assert!(!directory.is_outdated("e1", 2, &later));
        let change = directory.take(now, "e1", back(6), Some(later.clone()));
        assert_eq!(change, Some(DirectoryChange::Put("e1".into(), later.entry)));
        let reborn = run_record(8, 1, false);
        let change = directory.take(now, "e1", back(7), Some(reborn.clone()));
        assert_eq!(change, Some(DirectoryChange::Put("e1".into(), reborn.entry)));
    }
}

/// Guards against records that are skipped because their offset was seen in the era before, and
/// against records of the era before that arrive late.
#[test]
fn offsets_count_within_their_era_only() {
    let now = TimePoint::from_millis(100);
    let mut directory = EndpointDirectory::new();
    directory.take(now, "e1", at(50), Some(run_record(7, 9, false)));
    let moved = EndpointEntry { slots: 9, ..run_record(7, 10, false).entry };
    let record = EndpointRecord { entry: moved.clone(), heartbeat: 10 };
    let back = LogPosition { era: 2, offset: 3 };
    let change = directory.take(now, "e1", back, Some(record));
    assert_eq!(change, Some(DirectoryChange::Put("e1".into(), moved.clone())));
    assert_eq!(directory.take(now, "e1", at(51), Some(run_record(7, 11, false))), None);
    assert_eq!(directory.entry("e1"), Some(&moved));
    // An endpoint that the list of the new era lacks may only be written again later.
    directory.take(now, "e2", at(52), Some(run_record(1, 1, false)));
    let changes = directory.keep_listed(now, &["e1"].into(), LogPosition { era: 2, offset: 4 });
    assert_eq!(changes, [DirectoryChange::Lapsed("e2".into())]);
}

/// Guards against an endpoint that is used again because the store executes one of its heartbeats late.
#[test]
fn a_record_that_is_executed_late_brings_no_endpoint_back() {
    let now = TimePoint::from_millis(100);
    for is_removed in [false, true] {
        let mut directory = EndpointDirectory::new();
        directory.take(now, "e1", at(5), Some(run_record(7, 4, false)));
        if is_removed {
            directory.take(now, "e1", at(6), None);
        } else {
            directory.take(now, "e1", at(6), Some(run_record(7, 5, true)));
        }
        for heartbeat in [3, 4] {
            let late = run_record(7, heartbeat, false);
            assert!(directory.is_outdated("e1", 1, &late));
            assert_eq!(directory.take(now, "e1", at(4 + heartbeat), Some(late)), None);
            assert!(directory.entry("e1").is_none_or(|entry| entry.leaving));
        }
        // The next run may begin with any number.
        let reborn = run_record(8, 1, false);
        let change = directory.take(now, "e1", at(9), Some(reborn.clone()));
        assert_eq!(change, Some(DirectoryChange::Put("e1".into(), reborn.entry)));
    }
}

/// Guards against a late write that is taken for a registration after an outage, and an older description for
/// the newest.
#[test]
fn a_record_that_is_executed_late_changes_nothing_of_an_endpoint() {
    let back = TimePoint::from_millis(9_000);
    let mut directory = directory_after_outage(back);
    let moved = EndpointEntry { slots: 9, ..run_record(7, 6, false).entry };
    let newest = EndpointRecord { entry: moved.clone(), heartbeat: 6 };
    directory.take(back, "e1", at(2), Some(newest));
    assert_eq!(directory.take(back, "e1", at(3), Some(run_record(7, 5, false))), None);
    assert_eq!(directory.entry("e1"), Some(&moved));
    assert_eq!(directory.take(back, "e1", at(4), None), Some(DirectoryChange::Lapsed("e1".into())));
    assert_eq!(directory.take(back, "e1", at(5), Some(run_record(7, 5, false))), None);
    assert_eq!(directory.expire(back + LAPSE_GRACE), [DirectoryChange::Gone("e1".into())]);
}
