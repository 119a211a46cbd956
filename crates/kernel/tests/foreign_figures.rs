//! Figures that other writers state: any value that their types allow must neither end a process nor
//! wrap. Tests run with overflow checks.

mod figure_source;

use std::{
    collections::{BTreeMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use figure_source::{FigureSource, WALL_MS, WINDOW_MS};
use pimentorock_kernel::{
    duty::{
        ClosedWindow, DutyHolder, DutyLimits, DutyRecord, UsageCounter, UsageShare,
        WindowAggregator,
    },
    hub::{
        ClockFilter, HubChoice, HubRoster, KnownEntry, LoadAggregator, SkewEstimator, StoreFollower,
    },
    ids::{FencingNumber, ProcessId},
    log_position::LogPosition,
    place::{
        EndpointDirectory, EndpointEntry, EndpointNotice, EndpointRecord, EndpointSample,
        PlacedEndpoint, PlacedRequest, PlacementTable, PromptPart, strict_pauses,
    },
    send_limit::{
        EndpointAnswer, GrantRow, LimitAnswer, LimitReport, LimitScope, LimitTable, LimitWord,
        TicketLot,
    },
    stream_origin::{
        EntryKey, MarkedEntry, MarkerInput, OriginMarker, OriginQuestion, ServedVersion, ShareSpan,
        StreamKey, StreamOrigins, VersionNews,
    },
    suspect::{
        ArchivedPart, ArchivedSuspect, CrashRecord, PartArchive, PartHistory, PartLedger,
        StoredCrash, StoredHistory, StoredPartCrash, SuspectArchive, SuspectLedger, SuspectLimits,
    },
    time::{MAX_WALL_MS, TimePoint},
};

const NOW: TimePoint = TimePoint::from_millis(10_000_000);

/// Runs `check` with many seeds.
fn for_seeds(check: impl Fn(&mut FigureSource)) {
    for seed in 0..600 {
        check(&mut FigureSource::new(seed));
    }
}

fn sample(source: &mut FigureSource) -> EndpointSample {
    EndpointSample { running: source.u32(), waiting: source.u32() }
}

/// Guards against a process that ends as the figures of several endpoints add up.
#[test]
fn endpoints_and_their_loads_may_state_any_figures() {
    for_seeds(|source| {
        let mut table = PlacementTable::new("a");
        table.partition_services(&["app".into()]);
        table.set_memories([("app".into(), source.u64())].into());
        let mut now = NOW;
        for number in 0..3 {
            let key = table.put(PlacedEndpoint {
                name: format!("i-{number}").into(),
                service: "app".into(),
                domain: source.name(),
                software: source.name(),
                slots: source.u32(),
                leaving: false,
                started_ms: Some(source.u64()),
            });
            let sample = sample(source);
            table.note_sample(now, key, sample);
            table.note_unreached(now, key, source.span());
        }
        for _ in 0..6 {
            let parts = source.list(|source| PromptPart { id: source.u64(), tokens: source.u32() });
            let request = PlacedRequest {
                service: "app".into(),
                prompt_tokens: source.u32(),
                output_tokens: source.u32(),
                needed_rate: f64::from(source.u32()),
                strict: source.draw(),
                urgency: Some(source.draw()),
                latency_target: Some(source.span()),
                parts,
                ..PlacedRequest::default()
            };
            now = now + Duration::from_millis(u64::from(source.draw::<u16>()));
            let _ = table.diagnose(now, &request);
            if let Ok(choice) = table.choose(now, &request, &[]) {
                let mut ticket = table.sent(now, choice.endpoint, &request);
                if source.draw() {
                    table.first_token(now, &mut ticket);
                    table.ended(&mut ticket);
                }
                let sample = sample(source);
                table.note_sample(now, choice.endpoint, sample);
            }
            let notice = EndpointNotice::Rest(source.span());
            table.note_notice(now, source.u64(), "i-0", Some(source.u64()), notice);
            if source.draw() {
                let mut rows = source.load().rows;
                rows.sort_by_key(|row| row.endpoint);
                table.note_others(now, &rows);
            }
            let counts = source.list(|source| (source.name(), source.u32()));
            table.take_strict_counts(now, &counts);
            let _ = (table.own_load(), table.strict_counts());
        }
    });
}

/// Guards against a sum that is wrong although it did not end the process.
#[test]
fn sums_of_an_endpoints_figures_stay_at_the_end_of_their_type() {
    let mut table = PlacementTable::new("a");
    let key = table.put(PlacedEndpoint {
        name: "i-0".into(),
        service: "app".into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 8,
        leaving: false,
        started_ms: None,
    });
    table.note_sample(NOW, key, EndpointSample { running: u32::MAX, waiting: u32::MAX });
    let request =
        PlacedRequest { service: "app".into(), needed_rate: 1.0, ..PlacedRequest::default() };
    assert!(table.choose(NOW, &request, &[]).is_err());
    assert_eq!(table.diagnose(NOW, &request).least_load, u32::MAX);
    let part = PromptPart { id: 1, tokens: u32::MAX };
    let long = PlacedRequest { parts: vec![part; 3], ..PlacedRequest::default() };
    assert_eq!((long.shared_tokens(), long.memory_tokens()), (u32::MAX, 0));
}

/// Guards against a list of endpoints that no longer follows the store.
#[test]
fn records_of_endpoints_may_state_any_figures() {
    for_seeds(|source| {
        let mut directory = EndpointDirectory::new();
        for step in 0..20 {
            let now = NOW + Duration::from_millis(step * 700);
            let entry = EndpointEntry {
                service: source.name(),
                address: source.address(),
                domain: source.name(),
                software: source.name(),
                slots: source.u32(),
                leaving: source.draw(),
                started_ms: if source.draw() { Some(source.u64()) } else { None },
                warmup_ms: source.u64(),
            };
            let record = EndpointRecord { entry, heartbeat: source.u64() };
            let record = if source.draw() { Some(record) } else { None };
            let position = LogPosition { era: source.u64(), offset: source.u64() };
            let (name, end) = (source.name(), position.next());
            directory.take(now, &name, position, record.clone());
            let _ = record.map(|record| directory.is_outdated(&name, end.era, &record));
            directory.note_failed_read();
            directory.note_contact(now, TimePoint::ZERO);
            directory.keep_listed(now, &HashSet::new(), end);
            directory.expire(now);
            let _ = position.fencing();
        }
        let count = directory.entries().count();
        assert_eq!(directory.len(), count);
    });
}

/// Guards against an entry that ends as the reports of several others add up.
#[test]
fn reports_of_other_entries_may_state_any_loads_ages_and_clocks() {
    for_seeds(|source| {
        let own = SocketAddr::from((Ipv4Addr::new(10, 0, 0, 5), 1));
        let (mut loads, mut clocks) = (LoadAggregator::new(), SkewEstimator::new());
        let (mut roster, mut filter) = (HubRoster::new(own, "a"), ClockFilter::new());
        let mut follower = StoreFollower::new(own);
        for step in 0..12 {
            let now = NOW + Duration::from_millis(step * 300);
            let asker = source.process();
            loads.take(now, asker.clone(), source.load());
            loads.take_from_hub(now, source.load());
            let row = source.load().rows;
            let _ = (loads.group(now, &row), loads.others(now), loads.outside(now, &asker, &row));
            clocks.take(now, &asker, source.u64(), source.u64());
            let _ = clocks.skew_ms(now);
            let _ = filter.observe(now, source.u64());
            let entry = KnownEntry {
                address: source.address(),
                domain: if source.draw() { Some(source.name()) } else { None },
                age_ms: source.u32(),
            };
            roster.note_entry(now, &entry);
            let _ = (roster.hub(now), roster.max_store_age(now), roster.listed_to(now, "a"));
            let age = now - Duration::from_millis(source.u64());
            follower.note_report(now, entry.address, age);
            let reader = Some(source.address());
            follower.note_update(now, entry.address, age, reader, source.span());
            let _ = follower.source(now);
        }
    });
}

/// Guards against a time that wraps, so that what is far away counts as near.
#[test]
fn times_that_leave_the_clock_stay_at_its_end() {
    let far = [Duration::MAX, Duration::from_millis(u64::MAX), Duration::from_secs(u64::MAX)];
    for span in far {
        assert!(NOW + span >= TimePoint::FAR, "{span:?}");
        assert_eq!(NOW - span, TimePoint::ZERO, "{span:?}");
    }
    let pauses = [Some(Duration::MAX), Some(Duration::from_secs(u64::MAX)), None];
    assert_eq!(strict_pauses(&pauses), [true, true, false]);
    assert_eq!(StreamOrigins::waiting_time(Duration::MAX), Duration::from_secs(600));
}

/// Guards against an entry that ends, or no longer writes the marker, because of figures in it.
#[test]
fn markers_records_and_versions_of_streams_may_state_any_figures() {
    for_seeds(|source| {
        let mut origins = StreamOrigins::new("entry", 1);
        for step in 0..8 {
            let now = NOW + Duration::from_millis(step * 300);
            let wall_ms = if source.draw() { WALL_MS + step * 300 } else { source.u64() };
            if source.draw() {
                origins.merge_marker(Some(&source.marker()));
            } else {
                let value = serde_json::to_vec(&source.marker()).unwrap();
                let _ = origins.take_archived(now, "marker", &value);
            }
            let served = source.served();
            let value = serde_json::to_vec(&served).unwrap();
            let _ = origins.take_archived(now, "version.1", &value);
            let bytes: Vec<u8> = [vec![1], vec![0xff; 20], vec![0; 20]].concat();
            let _ = origins.take_archived(now, "batch.1", &bytes);
            let versions = source.list(FigureSource::served);
            origins.merge_versions(&VersionNews { digest: source.u64(), versions });
            origins.merge(now, &source.origins());
            origins.note_ack(now, &source.name(), source.ack());
            let _ = origins.ack(now, source.u64());
            origins.step(wall_ms, source.span(), [("app", "v1"), ("app", "v2")].into_iter());
            let stream = StreamKey(source.u64());
            let _ = origins.begin_at(now, "app", stream, source.u64());
            origins.note_read(now);
            let question = OriginQuestion { stream: Some(stream), services: vec!["app".into()] };
            let _ = origins.find(now, now, &question);
            let shares = BTreeMap::from([(source.name(), source.shares())]);
            let input = MarkerInput { era: source.u64(), shares };
            let _ = origins.pending(now, wall_ms, "entry/1", &input);
            if source.draw() {
                let _ = origins.note_written();
            }
            let _ = (origins.shared_since(source.position()), origins.marker_news(source.u64()));
        }
    });
}

/// Guards against a duty that nobody can take over because of figures in its record.
#[test]
fn records_of_the_usage_duty_and_shares_may_state_any_figures() {
    for_seeds(|source| {
        let limits = DutyLimits::new(source.span(), source.span());
        let process = ProcessId { name: "entry".into(), incarnation: 1 };
        let mut holder = DutyHolder::new(NOW, process.clone(), limits);
        let mut counter = UsageCounter::new(process, WINDOW_MS);
        let mut aggregator = WindowAggregator::new(WINDOW_MS, limits);
        for step in 0..10 {
            let now = NOW + Duration::from_millis(step * 900);
            let wall_ms = if source.draw() { WALL_MS + step * 900 } else { source.u64() };
            let position = LogPosition { era: source.u64(), offset: source.u64() };
            holder.enter_era(now, position.era, source.u64());
            let window = |source: &mut FigureSource| {
                let counts = source.list(|source| (source.name(), source.u64()));
                ClosedWindow { window: source.u64(), counts: counts.into_iter().collect() }
            };
            let record = DutyRecord {
                holder: source.process(),
                fencing: if source.draw() { Some(FencingNumber(source.u64())) } else { None },
                windows: source.list(window),
                released: source.draw(),
                era: source.u64(),
                first_window: source.u64(),
            };
            holder.read(now, position, record);
            for _ in 0..3 {
                aggregator.take(source.usage());
            }
            counter.note_start(wall_ms, "app");
            aggregator.take(counter.share(wall_ms));
            let closed = aggregator.closable(wall_ms, holder.last_closed());
            let _ = aggregator.live_count(wall_ms);
            let record = holder.record(closed);
            holder.appended(now, now, position.next(), record);
            let _ = holder.next_report(now, source.span(), source.u64());
            let _ = holder.needs_renewal(now, source.span(), source.u64());
        }
    });
}

/// Guards against an entry that ends because of the ages of crashes.
#[test]
fn crash_records_may_state_any_figures() {
    for_seeds(|source| {
        let mut suspects = SuspectLedger::new(1, SuspectLimits::ungated());
        let (mut archive, mut part_archive) = (SuspectArchive::new(), PartArchive::new());
        let mut parts = PartLedger::new(1);
        for step in 0..8 {
            let now = NOW + Duration::from_millis(step * 1_300);
            let wall_ms = if source.draw() { WALL_MS } else { source.u64() };
            let crash = |source: &mut FigureSource| CrashRecord {
                endpoint: source.name(),
                crash_id: source.u64(),
                age: source.span(),
                evidence: source.evidence(),
            };
            let records = source.list(crash);
            suspects.merge_records(now, u64::from(source.draw::<u8>() % 3), &records);
            let stored = |source: &mut FigureSource| StoredCrash {
                endpoint: source.name(),
                crash_id: source.u64(),
                at_ms: source.u64(),
                evidence: source.evidence(),
            };
            let crashes = source.list(stored);
            let suspect = ArchivedSuspect { fingerprint: source.u64(), crashes };
            archive.take(now, wall_ms, &mut suspects, suspect);
            let stored = |source: &mut FigureSource| StoredPartCrash {
                endpoint: source.name(),
                crash_id: source.u64(),
                at_ms: source.u64(),
                ran_ms: source.u64(),
                idle_ms: Some(source.u64()),
                proven: source.draw(),
                excused: source.draw(),
                evidence: source.evidence(),
            };
            let completed_ms = Some(source.u64());
            let history = StoredHistory { crashes: source.list(stored), completed_ms };
            let archived = ArchivedPart { part: u64::from(source.draw::<u8>() % 3), history };
            part_archive.take(now, wall_ms, &mut parts, archived);
            let history = |source: &mut FigureSource| {
                let crashes = source.list(FigureSource::part_crash);
                let completed = if source.draw() { Some(source.span()) } else { None };
                (u64::from(source.draw::<u8>() % 3), PartHistory { crashes, completed })
            };
            let histories = source.list(history).into_iter().collect();
            parts.merge(now, &histories);
            let later = now + Duration::from_millis(1_200);
            for key in 0..3 {
                let _ = (suspects.verdict(later, key), suspects.refused_for(later, key));
                let _ = parts.verdict(later, &[key, source.u64()]);
                let _ = parts.table().refused_for(later, key);
                suspects.note_completed(later, key);
            }
            let _ = archive.pending(later, wall_ms, &suspects);
            let _ = part_archive.pending(later, wall_ms, &parts, true);
            let _ = suspects.changes_since(later, source.position());
            let _ = parts.changes_since(later, source.position());
            let _ = suspects.table().report(later);
        }
    });
}

/// Guards against tickets whose counts add up past their type.
#[test]
fn messages_on_limits_may_state_any_figures() {
    for_seeds(|source| {
        let mut table = LimitTable::new(1);
        let hub = HubChoice::Peer(SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 1)));
        table.set_named_entries(source.u64() as usize);
        for step in 0..24 {
            let now = NOW + Duration::from_millis(step * 400);
            let is_root = source.draw::<bool>();
            let role = if is_root { HubChoice::Own } else { hub };
            table.step(now, role, Duration::from_millis(150));
            let wall_ms = source.u64();
            let word = LimitWord::new(Some(f64::from(source.u32())));
            table.note_answer(
                now,
                wall_ms,
                EndpointAnswer {
                    scope: LimitScope::endpoint("i-0"),
                    started_ms: Some(source.u64()),
                    sent_at: now,
                    word: Some(word),
                },
            );
            let asker = source.process();
            let delay = source.span();
            table.note_group(now, &asker, source.u32(), delay);
            let report = LimitReport {
                term: source.u32(),
                seen: source.position(),
                news: source.list(FigureSource::limit_row),
                is_full: source.draw(),
                holdings: source.list(FigureSource::holding),
            };
            let _ = table.answer(now, wall_ms, &asker, Some(&report), source.draw(), delay);
            let lot = |source: &mut FigureSource| TicketLot {
                rank: source.draw(),
                count: source.u32(),
                life_ms: source.u32(),
            };
            let grant = |source: &mut FigureSource| GrantRow {
                scope: LimitScope::endpoint("i-0"),
                lots: source.list(lot),
                wanted: source.u32(),
            };
            let answer = LimitAnswer {
                position: source.position(),
                serial: step,
                news: source.list(FigureSource::limit_row),
                grants: source.list(grant),
            };
            let told = (source.u32(), source.draw());
            table.apply_answer(now, wall_ms, hub, now, Some(&answer), told);
            let scope = LimitScope::endpoint("i-0");
            for _ in 0..3 {
                let _ = table.take(now, scope, source.draw());
            }
            let _ = (table.report(now), table.held(now, scope), table.fleet(now));
            let _ = (table.wait(now, [scope].into_iter()), table.group_entries(now));
        }
    });
}

/// Guards against a time that no clock reaches, which would keep all later words from counting.
#[test]
fn records_of_times_that_no_clock_reaches_are_not_taken() {
    let odd_times = [u64::MAX, u64::MAX - 1, u64::MAX / 2, MAX_WALL_MS + 1];
    for odd in odd_times {
        let mut origins = StreamOrigins::new("entry", 1);
        let sound = OriginMarker { written_ms: WALL_MS, ..OriginMarker::default() };
        let span = |since_ms, followed_ms, until_ms| ShareSpan {
            service: "app".into(),
            since_ms,
            is_announced: false,
            followed_ms,
            until_ms,
            lacks_records: false,
            is_witnessed: false,
            shares: Vec::new(),
        };
        let entry = MarkedEntry { run: 1, is_missing: false, until_ms: odd };
        let markers = [
            OriginMarker { written_ms: odd, ..sound.clone() },
            OriginMarker { lost_ms: odd, ..sound.clone() },
            OriginMarker { unknown_until_ms: odd, ..sound.clone() },
            OriginMarker { era: odd, ..sound.clone() },
            OriginMarker { spans: vec![span(odd, 0, None)], ..sound.clone() },
            OriginMarker { spans: vec![span(1, odd, None)], ..sound.clone() },
            OriginMarker { spans: vec![span(1, 0, Some(odd))], ..sound.clone() },
            OriginMarker { entries: [(EntryKey(1), entry)].into(), ..sound.clone() },
        ];
        for marker in markers {
            let value = serde_json::to_vec(&marker).unwrap();
            assert!(origins.take_archived(NOW, "marker", &value).is_err(), "{marker:?}");
            origins.merge_marker(Some(&marker));
            assert_eq!(origins.marker_ms(), 0, "{marker:?}");
        }
        let served = ServedVersion { service: "app".into(), software: "v".into(), until_ms: odd };
        let value = serde_json::to_vec(&served).unwrap();
        assert!(origins.take_archived(NOW, "version.1", &value).is_err());
        origins.merge_versions(&VersionNews { digest: 1, versions: vec![served] });
        assert!(origins.version_news(1).versions.is_empty());
        origins.merge_marker(Some(&sound));
        assert_eq!(origins.marker_ms(), WALL_MS);

        let process = ProcessId { name: "other".into(), incarnation: odd };
        let counts = BTreeMap::from([("a".into(), odd)]);
        let (none, window) = (BTreeMap::new(), WALL_MS / WINDOW_MS);
        let share = |until_ms, counts| UsageShare { process: process.clone(), until_ms, counts };
        assert!(share(WALL_MS, BTreeMap::from([(odd, none.clone())])).is_readable());
        assert!(!share(odd, BTreeMap::new()).is_readable());
        assert!(!share(WALL_MS, BTreeMap::from([(1, counts.clone())])).is_readable());
        let duty = |first_window, era, window, counts| DutyRecord {
            holder: process.clone(),
            fencing: None,
            windows: vec![ClosedWindow { window, counts }],
            released: false,
            era,
            first_window,
        };
        assert!(duty(window, 1, window, none.clone()).is_readable(WINDOW_MS));
        assert!(!duty(odd, 1, window, none.clone()).is_readable(WINDOW_MS));
        assert!(!duty(window, odd, window, none.clone()).is_readable(WINDOW_MS));
        assert!(!duty(window, 1, odd, none).is_readable(WINDOW_MS));
        assert!(!duty(window, 1, window, counts).is_readable(WINDOW_MS));
    }
}
