//! Records of the versions that began streams, of a few entries.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    stream_origin::{
        ArchiveRecord, MAX_ORIGINS, MarkerInput, OriginAnswer, OriginEvidence, OriginQuestion,
        STREAM_LIFE, SpanAck, StreamKey, StreamOrigins, VersionKey, VersionShare,
    },
    suspect::LedgerPosition,
    time::TimePoint,
};

const NOW: TimePoint = TimePoint::from_millis(10_000);
const WALL_MS: u64 = 1_700_000_000_000;
const SERVICE: &str = "app";

/// Returns an entry that has noted `stream` at a version, and shares it.
fn entry(incarnation: u64, stream: StreamKey, software: &str) -> StreamOrigins {
    let mut origins = StreamOrigins::new("entry", incarnation);
    origins.begin(NOW, stream, SERVICE, software, WALL_MS + 15_000, true);
    origins
}

fn evidence(origins: &StreamOrigins, stream: StreamKey) -> (Option<VersionKey>, OriginEvidence) {
    let services = vec![SERVICE.into()];
    let question = OriginQuestion { stream: Some(stream), services };
    let answer = origins.find(NOW, NOW, &question);
    (answer.version, answer.evidence)
}

/// Guards against callers that use one identifier for two streams, and against the order of news.
#[test]
fn a_stream_noted_at_two_versions_is_unknown_whatever_the_order_of_news() {
    let stream = StreamKey::new(Some("account-1"), "id-1");
    let all = LedgerPosition::default();
    let (first, second) = (entry(1, stream, "v1"), entry(2, stream, "v2"));
    for order in [[&first, &second], [&second, &first]] {
        let mut hub = StreamOrigins::new("entry", 3);
        let version = |origins: &StreamOrigins| evidence(origins, stream);
        hub.merge(NOW, &order[0].shared_since(all));
        hub.merge(NOW, &order[0].shared_since(all));
        assert_eq!(version(&hub).1, OriginEvidence::Peer);
        hub.merge(NOW, &order[1].shared_since(all));
        assert_eq!(version(&hub), (None, OriginEvidence::Conflict));
        // Neither entry's own word stands against it once it is told.
        let mut told = entry(4, stream, "v1");
        told.merge(NOW, &hub.shared_since(all));
        assert_eq!(version(&told), (None, OriginEvidence::Conflict));
    }
}

#[test]
fn an_account_cannot_name_the_stream_of_another() {
    let origins = entry(1, StreamKey::new(Some("account-1"), "id-1"), "v1");
    let other = StreamKey::new(Some("account-2"), "id-1");
    assert_eq!(evidence(&origins, other), (None, OriginEvidence::Incomplete));
}

/// Guards against a process that ends because of foreign bytes in the store.
#[test]
fn what_the_store_keeps_is_read_again_and_other_bytes_are_rejected() {
    let stream = StreamKey::new(None, "id-1");
    let mut writer = entry(1, stream, "v1");
    writer.note_listed(WALL_MS, SERVICE, "v1");
    let records = writer.pending(NOW, WALL_MS, "entry-1", &MarkerInput::default());
    let mut reader = StreamOrigins::new("entry", 2);
    for record in &records {
        reader.take_archived(NOW, &record.key, &record.value).unwrap();
        for end in 1..record.value.len() {
            let _ = StreamOrigins::new("entry", 3).take_archived(
                NOW,
                &record.key,
                &record.value[..end],
            );
        }
    }
    let version = Some(VersionKey::new(SERVICE, "v1"));
    assert_eq!(evidence(&reader, stream), (version, OriginEvidence::Store));
    for key in ["batch.x", "version.x", "marker"] {
        assert!(reader.take_archived(NOW, key, b"\x01\xff{").is_err(), "{key}");
    }
    assert!(reader.take_archived(NOW, "of a later version", b"any").is_ok());
}

/// Returns the shares of two versions of [`SERVICE`].
fn shares(first: u32, second: u32) -> MarkerInput {
    let share = |software: &str, slots| VersionShare { software: software.into(), slots };
    let of_service: Vec<_> = [share("v1", first), share("v2", second)]
        .into_iter()
        .filter(|share| share.slots > 0)
        .collect();
    MarkerInput { era: 0, shares: BTreeMap::from([(SERVICE.into(), of_service)]) }
}

/// Writes what `root` would write at `wall_ms`, and returns the records.
fn write(root: &mut StreamOrigins, wall_ms: u64, input: &MarkerInput) -> Vec<ArchiveRecord> {
    root.note_read(NOW);
    let records = root.pending(NOW, wall_ms, "root", input);
    root.note_written();
    records
}

/// Returns what a root hub answers of a stream without a record.
fn derived(root: &StreamOrigins, stream: u64) -> OriginAnswer {
    let question =
        OriginQuestion { stream: Some(StreamKey(stream)), services: vec![SERVICE.into()] };
    root.find(NOW, NOW, &question)
}

#[test]
fn an_entry_follows_shares_only_once_the_store_has_them() {
    let mut root = StreamOrigins::new("root", 1);
    root.note_read(NOW);
    root.pending(NOW, WALL_MS, "root", &shares(1, 1));
    assert_eq!(root.begin_version(SERVICE, StreamKey(1)), None);
    root.note_written();
    assert!(root.begin_version(SERVICE, StreamKey(1)).is_some());
}

/// A name that no stream has is not taken for one whose record was lost.
#[test]
fn a_version_is_derived_only_if_an_entry_was_lost_while_callers_wait() {
    let mut root = StreamOrigins::new("root", 1);
    let records = write(&mut root, WALL_MS, &shares(1, 1));
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Unknown);
    let mut next = StreamOrigins::new("root", 2);
    for record in &records {
        next.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    let lost_ms = WALL_MS + 6_000;
    write(&mut next, lost_ms, &shares(1, 1));
    let answer = derived(&next, 1);
    assert_eq!(answer.version, root.begin_version(SERVICE, StreamKey(1)));
    assert_eq!(answer.evidence, OriginEvidence::Derived);
    let life_ms = STREAM_LIFE.as_millis() as u64;
    write(&mut next, lost_ms + life_ms - 1_000, &shares(1, 1));
    assert_eq!(derived(&next, 1).evidence, OriginEvidence::Derived);
    let records = write(&mut next, lost_ms + life_ms, &shares(1, 1));
    let mut reader = StreamOrigins::new("root", 2);
    for record in &records {
        reader.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    reader.note_read(NOW);
    assert_eq!(derived(&reader, 1).evidence, OriginEvidence::Unknown);
}

/// Guards against an answer from what was read before another entry wrote: `asked_at` is when the question came.
#[test]
fn without_a_record_no_version_follows_from_what_was_read_before_the_question() {
    let question = OriginQuestion { stream: Some(StreamKey(1)), services: vec![SERVICE.into()] };
    let mut root = StreamOrigins::new("root", 1);
    root.note_listed(WALL_MS, SERVICE, "v1");
    write(&mut root, WALL_MS, &shares(1, 0));
    write(&mut root, WALL_MS + 400, &shares(1, 0));
    let later = NOW + Duration::from_millis(1);
    let evidence = |root: &StreamOrigins, asked_at| root.find(later, asked_at, &question).evidence;
    assert_eq!(evidence(&root, NOW), OriginEvidence::Sole);
    assert_eq!(evidence(&root, later), OriginEvidence::Incomplete);
    root.note_read(later);
    assert_eq!(evidence(&root, later), OriginEvidence::Sole);
}

/// Guards against streams of a version that left as the entries that began them were killed.
#[test]
fn a_span_that_ended_after_an_entry_was_lost_counts_as_long_as_callers_wait() {
    let mut root = StreamOrigins::new("root", 1);
    let records = write(&mut root, WALL_MS, &shares(1, 1));
    let mut next = StreamOrigins::new("root", 2);
    for record in &records {
        next.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    // All entries were killed, and the second version has left.
    let begun = |stream: u64| root.begin_version(SERVICE, StreamKey(stream));
    let left = (0..64).find(|stream| begun(*stream) == Some(VersionKey::new(SERVICE, "v2")));
    for later_ms in (1_000..5_000).step_by(200) {
        write(&mut next, WALL_MS + later_ms, &shares(1, 0));
    }
    let open = next.marker_news(0).unwrap().spans;
    assert_eq!(open.iter().filter(|span| span.until_ms.is_none()).count(), 1);
    assert_eq!(derived(&next, left.unwrap()).evidence, OriginEvidence::Unknown);
    let stays = (0..64).find(|stream| begun(*stream) == Some(VersionKey::new(SERVICE, "v1")));
    assert_eq!(derived(&next, stays.unwrap()).evidence, OriginEvidence::Derived);
}

/// Guards against take-ups that are refused as a release begins, although nobody follows it yet.
#[test]
fn shares_are_followed_only_once_all_entries_know_that_they_are_announced() {
    let mut root = StreamOrigins::new("root", 1);
    let ack = |known_ms| {
        let mut entry = StreamOrigins::new("entry", 1);
        SpanAck { known_ms, ..entry.ack(NOW, 0) }
    };
    write(&mut root, WALL_MS, &shares(1, 0));
    root.note_ack(NOW, "entry", ack(WALL_MS + 1));
    write(&mut root, WALL_MS + 100, &shares(1, 0));
    write(&mut root, WALL_MS + 200, &shares(0, 1));
    write(&mut root, WALL_MS + 400, &shares(0, 1));
    let first = Some(VersionKey::new(SERVICE, "v1"));
    assert_eq!(root.begin_version(SERVICE, StreamKey(1)), first);
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Sole);
    root.note_ack(NOW, "entry", ack(WALL_MS + 200));
    write(&mut root, WALL_MS + 600, &shares(0, 1));
    let second = Some(VersionKey::new(SERVICE, "v2"));
    assert_eq!(root.begin_version(SERVICE, StreamKey(1)), second);
    // An entry that does not know yet that the shares are followed may begin streams by the others.
    write(&mut root, WALL_MS + 700, &shares(0, 1));
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Unknown);
    root.note_ack(NOW, "entry", ack(WALL_MS + 600));
    write(&mut root, WALL_MS + 800, &shares(0, 1));
    assert_eq!(derived(&root, 1).version, second);
}

/// Guards against an entry that has ended, which never knows what is announced.
#[test]
fn shares_are_followed_after_a_second_if_an_entry_does_not_answer() {
    let mut root = StreamOrigins::new("root", 1);
    let mut entry = StreamOrigins::new("entry", 1);
    root.note_ack(NOW, "entry", entry.ack(NOW, 0));
    write(&mut root, WALL_MS, &shares(1, 0));
    write(&mut root, WALL_MS + 100, &shares(0, 1));
    write(&mut root, WALL_MS + 1_000, &shares(0, 1));
    let first = Some(VersionKey::new(SERVICE, "v1"));
    assert_eq!(root.begin_version(SERVICE, StreamKey(1)), first);
    write(&mut root, WALL_MS + 1_100, &shares(0, 1));
    assert_ne!(root.begin_version(SERVICE, StreamKey(1)), first);
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Unknown);
}

/// Returns what an entry with the same name as `root` knows that starts after a kill of all, has read `records` in
/// the era `era`, and has written twice.
fn after_loss(records: &[ArchiveRecord], era: u64, input: &MarkerInput) -> StreamOrigins {
    let mut next = StreamOrigins::new("root", 2);
    if era > 0 {
        next.note_era(NOW, era);
    }
    for record in records {
        next.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    next.note_read(NOW);
    if era > 0 {
        assert_eq!(derived(&next, 1).evidence, OriginEvidence::Incomplete);
    }
    for later_ms in [20_000, 20_400] {
        write(&mut next, WALL_MS + later_ms, &MarkerInput { era, ..input.clone() });
    }
    next
}

/// Guards against a history that counts as whole after the store lost a part of it, and all who knew that died.
#[test]
fn no_version_follows_from_spans_of_which_the_store_has_lost_some() {
    for input in [shares(1, 1), shares(1, 0)] {
        let records = write(&mut StreamOrigins::new("root", 1), WALL_MS, &input);
        let known = derived(&after_loss(&records, 0, &input), 1);
        assert!(known.version.is_some());
        for records in [records.as_slice(), &[]] {
            let mut next = after_loss(records, 1, &input);
            assert_eq!(derived(&next, 1).evidence, OriginEvidence::Unknown);
            let life_ms = STREAM_LIFE.as_millis() as u64;
            write(&mut next, WALL_MS + life_ms, &MarkerInput { era: 1, ..input.clone() });
            assert_eq!(derived(&next, 1).evidence, OriginEvidence::Unknown);
        }
    }
}

/// Guards against a service that is listed again only after the loss was accounted for.
#[test]
fn no_version_follows_for_a_service_that_is_first_listed_after_a_loss() {
    let input = shares(1, 0);
    let of_service = input.shares[SERVICE].clone();
    let other = MarkerInput { era: 0, shares: BTreeMap::from([("other".into(), of_service)]) };
    let records = write(&mut StreamOrigins::new("root", 1), WALL_MS, &other);
    let mut next = after_loss(&records, 1, &other);
    write(&mut next, WALL_MS + 30_000, &MarkerInput { era: 1, ..input.clone() });
    write(&mut next, WALL_MS + 30_400, &MarkerInput { era: 1, ..input });
    assert_eq!(derived(&next, 1).evidence, OriginEvidence::Unknown);
}

/// Guards against streams that are refused for ten minutes although the writer has lost nothing.
#[test]
fn an_entry_that_heard_all_others_until_the_store_lost_a_part_knows_the_spans() {
    let second = |millis| NOW + Duration::from_millis(millis);
    for (hears_entry, pause_ms, is_known) in
        [(true, 1_000, true), (false, 1_000, false), (true, 9_000, false)]
    {
        let mut root = StreamOrigins::new("root", 1);
        let mut entry = StreamOrigins::new("entry", 1);
        root.note_ack(NOW, "entry", entry.ack(NOW, 0));
        write(&mut root, WALL_MS, &shares(1, 0));
        let read_at = if hears_entry { NOW } else { second(5_000) };
        root.note_read(read_at);
        // The entry is lost with the streams that it began.
        let noted_at = read_at + Duration::from_millis(pause_ms);
        root.note_era(noted_at, 1);
        let input = MarkerInput { era: 1, ..shares(1, 0) };
        let mut now = noted_at;
        for later_ms in [10_000, 10_200, 15_000, 15_200] {
            now = NOW + Duration::from_millis(later_ms);
            root.note_read(now);
            root.pending(now, WALL_MS + later_ms, "root", &input);
            root.note_written();
        }
        let question =
            OriginQuestion { stream: Some(StreamKey(1)), services: vec![SERVICE.into()] };
        let answer = root.find(now, now, &question);
        assert_eq!(answer.version.is_some(), is_known, "{hears_entry} {pause_ms}: {answer:?}");
    }
}

/// Guards against an empty history in place of one that cannot be read.
#[test]
fn no_version_follows_once_the_marker_could_not_be_read() {
    for odd in [&b"{"[..], b""] {
        let mut next = StreamOrigins::new("root", 2);
        assert!(next.take_archived(NOW, "marker", odd).is_err());
        write(&mut next, WALL_MS, &shares(1, 0));
        write(&mut next, WALL_MS + 400, &shares(1, 0));
        assert_eq!(derived(&next, 1).evidence, OriginEvidence::Unknown);
        let version = Some(VersionKey::new(SERVICE, "v1"));
        assert_eq!(next.begin_version(SERVICE, StreamKey(1)), version);
    }
}

/// Guards against streams of which no later process can tell at which version they began.
#[test]
fn no_stream_begins_by_shares_that_the_store_lacks_or_at_an_entry_that_no_hub_counts() {
    let mut root = StreamOrigins::new("root", 1);
    let mut entry = StreamOrigins::new("entry", 1);
    let begin = |origins: &mut StreamOrigins| {
        origins.note_listed(WALL_MS, SERVICE, "v1");
        origins.begin_at(NOW, SERVICE, StreamKey(1), WALL_MS + 15_000)
    };
    root.note_read(NOW);
    assert_eq!(begin(&mut root), None);
    write(&mut root, WALL_MS, &shares(1, 0));
    let version = VersionKey::new(SERVICE, "v1");
    assert_eq!(begin(&mut root).map(|(version, _)| version), Some(version));
    entry.merge_marker(root.marker_news(0).as_ref());
    assert_eq!(begin(&mut entry), None);
    entry.note_counted();
    assert_eq!(begin(&mut entry).map(|(version, _)| version), Some(version));
    assert_eq!(entry.begin_at(NOW, "other", StreamKey(1), WALL_MS + 15_000), None);
}

/// Guards against root hubs that write apart from each other.
#[test]
fn markers_join_whatever_their_order_and_number() {
    let mut roots = [("a", 0, 1, 0), ("b", 50, 1, 9), ("c", 90, 9, 1)].map(|root| {
        let (name, later_ms, first, second) = root;
        let mut root = StreamOrigins::new(name, 1);
        write(&mut root, WALL_MS + later_ms, &shares(first, second));
        root
    });
    let markers = [0, 1, 2].map(|index| roots[index].marker_news(0));
    let joined = [[0, 1, 2, 2], [2, 1, 0, 1], [1, 2, 0, 0]].map(|order| {
        let mut entry = StreamOrigins::new("d", 1);
        order.iter().for_each(|index| entry.merge_marker(markers[*index].as_ref()));
        entry.note_counted();
        entry
    });
    for stream in 0..200 {
        let begun = joined.each_ref().map(|entry| entry.begin_version(SERVICE, StreamKey(stream)));
        assert!(begun[0].is_some() && begun.iter().all(|version| *version == begun[0]));
    }
    let news = joined.map(|entry| entry.marker_news(0).map(|marker| marker.spans));
    assert_eq!(news[0].as_ref().map(Vec::len), Some(3));
    assert_eq!(news[0], news[1]);
    assert_eq!(news[1], news[2]);
    roots[0].merge_marker(markers[2].as_ref());
    assert_eq!(roots[0].marker_news(0).map(|marker| marker.spans.len()), Some(2));
}

/// Guards against entries that are told apart wrongly when one changes its hub.
#[test]
fn a_span_ends_only_once_all_entries_know_a_later_one() {
    let mut root = StreamOrigins::new("root", 1);
    let ack = |known_ms| {
        let mut entry = StreamOrigins::new("entry", 1);
        SpanAck { known_ms, ..entry.ack(NOW, 0) }
    };
    let open = |root: &StreamOrigins| {
        let spans = root.marker_news(0).unwrap().spans;
        spans.iter().filter(|span| span.until_ms.is_none()).count()
    };
    root.note_ack(NOW, "entry", ack(0));
    write(&mut root, WALL_MS, &shares(1, 0));
    write(&mut root, WALL_MS + 100, &shares(1, 1));
    write(&mut root, WALL_MS + 200, &shares(1, 1));
    assert_eq!(open(&root), 2);
    root.note_ack(NOW, "entry", ack(WALL_MS + 50));
    write(&mut root, WALL_MS + 300, &shares(1, 1));
    assert_eq!(open(&root), 2);
    root.note_ack(NOW, "entry", ack(WALL_MS + 150));
    write(&mut root, WALL_MS + 400, &shares(1, 1));
    assert_eq!(open(&root), 2);
    // It knew that the last span was announced, and now that it is followed.
    root.note_ack(NOW, "entry", ack(WALL_MS + 400));
    write(&mut root, WALL_MS + 500, &shares(1, 1));
    assert_eq!(open(&root), 1);
    // The same entries are not sent again to a hub that knows them.
    let known = root.ack(NOW, 0);
    assert!(root.ack(NOW, known.digest).entries.is_empty());
}

/// Guards against a marker that is written for ever after an entry is gone for good.
#[test]
fn a_marker_is_settled_once_an_entry_was_forgotten() {
    let mut root = StreamOrigins::new("root", 1);
    let mut entry = StreamOrigins::new("entry", 1);
    root.note_ack(NOW, "entry", entry.ack(NOW, 0));
    write(&mut root, WALL_MS, &shares(1, 0));
    let later = NOW + Duration::from_secs(3);
    let mut markers = 0;
    for step in 1..=10 {
        root.note_read(later);
        let wall_ms = WALL_MS + 600_000 + 200 * step;
        let records = root.pending(later, wall_ms, "root", &shares(1, 0));
        root.note_written();
        markers += records.iter().filter(|record| record.is_marker()).count();
    }
    assert!(markers <= 3, "{markers} markers in ten steps");
}

/// Guards against an entry that counts as lost at each step once its clock was set back.
#[test]
fn a_marker_is_settled_after_an_entry_has_started_with_a_lower_run_number() {
    let mut root = StreamOrigins::new("root", 1);
    let mut markers = 0;
    for step in 0..10 {
        let mut entry = StreamOrigins::new("entry", if step < 3 { 7 } else { 5 });
        let later = NOW + Duration::from_secs(3 * step);
        root.note_ack(later, "entry", entry.ack(later, 0));
        root.note_read(later);
        let records = root.pending(later, WALL_MS + 200 * step, "root", &shares(1, 0));
        root.note_written();
        let is_late = step >= 5;
        markers += records.iter().filter(|record| is_late && record.is_marker()).count();
    }
    assert_eq!(markers, 0);
}

/// Guards against a loss that seems to come before a span which a clock ahead has written.
#[test]
fn a_span_written_by_a_clock_ahead_lacks_the_records_of_a_lost_entry() {
    let mut root = StreamOrigins::new("root", 1);
    let mut records = write(&mut root, WALL_MS + 2_000, &shares(1, 1));
    records.extend(write(&mut root, WALL_MS + 2_200, &shares(1, 1)));
    let begun = |stream: u64| root.begin_version(SERVICE, StreamKey(stream));
    let left = (0..64).find(|stream| begun(*stream) == Some(VersionKey::new(SERVICE, "v2")));
    let mut next = StreamOrigins::new("root", 2);
    for record in &records {
        next.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    for later_ms in (500..5_000).step_by(200) {
        write(&mut next, WALL_MS + later_ms, &shares(1, 0));
    }
    assert_eq!(derived(&next, left.unwrap()).evidence, OriginEvidence::Unknown);
}

/// Guards against a record that is newer than what was read of the others.
#[test]
fn no_version_follows_from_a_marker_that_is_later_than_what_was_read() {
    let mut root = StreamOrigins::new("root", 1);
    write(&mut root, WALL_MS, &shares(1, 0));
    write(&mut root, WALL_MS + 200, &shares(1, 0));
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Sole);
    let mut other = StreamOrigins::new("other", 1);
    write(&mut other, WALL_MS + 400, &shares(1, 0));
    root.merge_marker(other.marker_news(0).as_ref());
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Incomplete);
}

/// Guards against streams that are derived although their records found no room.
#[test]
fn no_version_follows_and_no_span_ends_while_records_find_no_room() {
    let mut root = StreamOrigins::new("root", 1);
    write(&mut root, WALL_MS, &shares(1, 0));
    write(&mut root, WALL_MS + 100, &shares(1, 0));
    assert_eq!(derived(&root, 0).evidence, OriginEvidence::Sole);
    for stream in 1..=MAX_ORIGINS as u64 + 1 {
        root.begin(NOW, StreamKey(stream), SERVICE, "v1", WALL_MS + 15_000, true);
    }
    assert_eq!(root.len(), MAX_ORIGINS);
    assert_eq!(derived(&root, 0).evidence, OriginEvidence::Unknown);
    for later_ms in [200, 1_200, 1_400, 1_600] {
        write(&mut root, WALL_MS + later_ms, &shares(0, 1));
    }
    let spans = root.marker_news(0).unwrap().spans;
    assert_eq!(spans.iter().filter(|span| span.until_ms.is_none()).count(), 2);
}

/// Guards against an entry that counts as missing for ever once another root hub missed it.
#[test]
fn an_entry_that_another_root_hub_missed_is_not_missing_where_it_reports() {
    let ack = |name| {
        let mut entry = StreamOrigins::new(name, 1);
        SpanAck { known_ms: WALL_MS + 10_000, ..entry.ack(NOW, 0) }
    };
    let mut other = StreamOrigins::new("other", 1);
    other.note_ack(NOW, "entry", ack("entry"));
    write(&mut other, WALL_MS, &shares(1, 1));
    let later = NOW + Duration::from_secs(3);
    other.note_read(later);
    let records = other.pending(later, WALL_MS + 3_000, "other", &shares(1, 1));
    let mut root = StreamOrigins::new("root", 1);
    for record in &records {
        root.take_archived(NOW, &record.key, &record.value).unwrap();
    }
    root.note_ack(NOW, "entry", ack("entry"));
    root.note_ack(NOW, "other", ack("other"));
    write(&mut root, WALL_MS + 3_100, &shares(1, 1));
    write(&mut root, WALL_MS + 3_200, &shares(1, 1));
    assert_eq!(derived(&root, 1).evidence, OriginEvidence::Unknown);
}
