//! Tests of the selection of hubs and of the data that entries exchange with them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::{
        ClockFilter, GroupLoad, HubChoice, HubRoster, KnownEntry, LoadAggregator, SkewEstimator,
        SlidingMaximum, exchange_period,
    },
    ids::ProcessId,
    place::LoadRow,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7340))
}

fn known_entry(host: u8, domain: &str) -> KnownEntry {
    KnownEntry { address: address(host), domain: Some(domain.into()), age_ms: 0 }
}

/// Failure domains of the entries 1 to 6.
const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "a", "c"];

/// Returns the roster of the entry `own` that has just learned of `others`, by number.
fn roster(own: u8, others: &[u8]) -> HubRoster {
    let domain = |host: u8| DOMAINS[usize::from(host) - 1];
    let mut roster = HubRoster::new(address(own), domain(own));
    for &other in others {
        roster.note_entry(NOW, &known_entry(other, domain(other)));
    }
    roster
}

#[test]
fn entries_ask_the_hub_of_their_domain_and_hubs_ask_the_root_hub() {
    // The entry, the hub that it asks, and whether it is the first in line to replace the root hub.
    let cases = [
        (1, None, false),
        (2, Some(1), true),
        (3, Some(1), false),
        (4, Some(3), false),
        (5, Some(1), false),
        (6, Some(1), false),
    ];
    for (own, hub, standby) in cases {
        let roster = roster(own, &[1, 2, 3, 4, 5, 6]);
        let expected = hub.map_or(HubChoice::Own, |hub| HubChoice::Peer(address(hub)));
        assert_eq!(roster.hub(NOW), expected, "entry {own}");
        assert_eq!(roster.is_standby(NOW), standby, "entry {own}");
    }
}

#[test]
fn a_hub_that_does_not_answer_is_quarantined() {
    let mut roster = roster(4, &[1, 2, 3]);
    let expect = |roster: &HubRoster, at, hub: Option<u8>| {
        let expected = hub.map_or(HubChoice::Own, |hub| HubChoice::Peer(address(hub)));
        assert_eq!(roster.hub(at), expected);
    };
    expect(&roster, NOW, Some(3));
    for (lost, next) in [(3, Some(1)), (1, Some(2)), (2, None)] {
        roster.note_failure(NOW, address(lost));
        expect(&roster, NOW, next);
    }
    let later = NOW + Duration::from_secs(3);
    expect(&roster, later, Some(3));
    roster.note_answer(later, address(3));
    expect(&roster, later, Some(3));
}

/// Guards against two root hubs for seconds where entries start some milliseconds before their hub.
#[test]
fn an_entry_that_refused_the_first_call_is_asked_again_until_it_has_started() {
    let mut roster = roster(3, &[1, 2]);
    assert_eq!(roster.starting(NOW), None);
    roster.note_answer(NOW, address(2));
    roster.note_refusal(NOW, address(1));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(2)));
    assert_eq!(roster.starting(NOW), Some(address(1)));
    roster.note_answer(NOW, address(1));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(1)));
    // One that has answered before has ended.
    roster.note_refusal(NOW, address(1));
    assert_eq!(roster.starting(NOW), None);
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(2)));
    let later = NOW + Duration::from_secs(6);
    let mut roster = HubRoster::new(address(3), "a");
    roster.note_heard(NOW, address(1));
    roster.note_refusal(NOW, address(1));
    assert_eq!(roster.starting(later), None);
}

#[test]
fn the_first_entry_is_asked_until_an_entry_of_the_own_domain_is_known() {
    let mut roster = HubRoster::new(address(4), "b");
    roster.note_heard(NOW, address(1));
    roster.note_heard(NOW, address(2));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(1)));
    roster.note_entry(NOW, &known_entry(2, "b"));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(2)));
}

#[test]
fn an_entry_without_contact_expires() {
    let roster = roster(3, &[1]);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(roster.hub(later), HubChoice::Own);
    assert_eq!(roster.listed_to(later, "b"), [known_entry(3, "b")]);
}

/// Guards against two entries that keep a lost entry alive by listing it to each other. Without the
/// age in the lists, each list would count as new contact with the lost entry.
#[test]
fn entries_that_exchange_lists_forget_a_lost_entry() {
    let mut rosters = [roster(1, &[2, 6]), roster(2, &[1, 6])];
    let mut now = NOW;
    for step in 0..100 {
        now = now + Duration::from_millis(100);
        let listed = rosters[step % 2].listed_to(now, "a");
        listed.iter().for_each(|entry| rosters[(step + 1) % 2].note_entry(now, entry));
        let own = [known_entry(1, "a"), known_entry(2, "a")];
        rosters[0].note_entry(now, &own[1]);
        rosters[1].note_entry(now, &own[0]);
    }
    assert_eq!(rosters[0].listed_to(now, "a"), [known_entry(1, "a"), known_entry(2, "a")]);
}

#[test]
fn a_list_has_the_whole_own_domain_and_three_entries_of_each_other() {
    let mut roster = HubRoster::new(address(1), "a");
    for host in 2..=40 {
        roster.note_entry(NOW, &known_entry(host, ["a", "b", "c", "d"][usize::from(host % 4)]));
    }
    let counts = |domain: &str| {
        let listed = roster.listed_to(NOW, domain);
        let of =
            |domain: &str| listed.iter().filter(|e| e.domain.as_deref() == Some(domain)).count();
        ["a", "b", "c", "d"].map(of)
    };
    assert_eq!(counts("a"), [11, 3, 3, 3]);
    assert_eq!(counts("c"), [3, 3, 10, 3]);
    assert_eq!(counts(""), [3, 3, 3, 3]);
}

#[test]
fn the_exchange_period_grows_with_the_number_of_askers() {
    let cases = [(1, 150), (10, 150), (28, 420), (100, 1_500)];
    for (askers, millis) in cases {
        assert_eq!(exchange_period(askers), Duration::from_millis(millis));
    }
    // With 410 entries in 8 domains, an entry that asks the hub of its domain waits 15 ms for each
    // of 51 askers. The hub of a domain asks the root hub with the shortest period, as it would
    // with 5 entries.
    let roster = |own: u16| {
        let address =
            |host: u16| SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 7340));
        let domain = |host: u16| format!("d{}", host % 8);
        let mut roster = HubRoster::new(address(own), &domain(own));
        for host in 0..410 {
            let domain = Some(domain(host).into());
            roster.note_entry(NOW, &KnownEntry { address: address(host), domain, age_ms: 0 });
        }
        roster
    };
    assert_eq!(roster(300).period(NOW), Duration::from_millis(51 * 15));
    assert_eq!(roster(3).period(NOW), Duration::from_millis(150));
}

fn process(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

fn row(endpoint: u32, in_flight: u32) -> LoadRow {
    LoadRow { endpoint, in_flight, prefill: 10 * in_flight, memory: 5 * in_flight }
}

fn load(entries: u32, rows: &[LoadRow]) -> GroupLoad {
    GroupLoad { entries, rows: rows.to_vec() }
}

#[test]
fn load_sums_leave_out_the_group_of_the_asker() {
    let mut aggregator = LoadAggregator::new();
    aggregator.take(NOW, process("a"), load(1, &[row(1, 2), row(2, 3)]));
    aggregator.take(NOW, process("b"), load(4, &[row(1, 5)]));
    aggregator.take_from_hub(NOW, load(20, &[row(3, 7)]));
    let own = [row(2, 1)];
    assert_eq!(
        aggregator.outside(NOW, &process("b"), &own),
        load(22, &[row(1, 2), row(2, 4), row(3, 7)])
    );
    assert_eq!(aggregator.group(NOW, &own), load(6, &[row(1, 7), row(2, 4)]));
    assert_eq!(aggregator.others(NOW), load(25, &[row(1, 7), row(2, 3), row(3, 7)]));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(aggregator.others(later), load(0, &[]));
    assert_eq!(aggregator.group(later, &own), load(1, &own));
}

#[test]
fn load_sums_leave_out_both_runs_of_a_restarted_asker() {
    let mut aggregator = LoadAggregator::new();
    aggregator.take(NOW, process("a"), load(1, &[row(1, 2)]));
    let restarted = ProcessId { incarnation: 2, ..process("a") };
    aggregator.take(NOW, restarted.clone(), load(1, &[row(1, 3)]));
    assert_eq!(aggregator.outside(NOW, &restarted, &[]), load(1, &[]));
}

/// A reference implementation of [`LoadAggregator`] that recalculates every sum.
#[derive(Default)]
struct NaiveAggregator {
    askers: BTreeMap<ProcessId, (TimePoint, GroupLoad)>,
    from_hub: Option<(TimePoint, GroupLoad)>,
}

impl NaiveAggregator {
    fn sum(
        &self,
        now: TimePoint,
        left_out: Option<&ProcessId>,
        own: Option<&[LoadRow]>,
    ) -> GroupLoad {
        let fresh = |at: TimePoint| now.since(at) < Duration::from_secs(2);
        let askers = self.askers.iter().filter(|(asker, _)| Some(*asker) != left_out);
        let groups = askers.map(|(_, group)| group).chain(self.from_hub.as_ref());
        let groups: Vec<&GroupLoad> =
            groups.filter(|(at, _)| fresh(*at)).map(|(_, group)| group).collect();
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        let rows = groups.iter().flat_map(|group| &group.rows).chain(own.into_iter().flatten());
        rows.for_each(|row| *counts.entry(row.endpoint).or_default() += row.in_flight);
        let entries: u32 = groups.iter().map(|group| group.entries).sum();
        let rows = counts.into_iter().filter(|(_, count)| *count > 0);
        GroupLoad {
            entries: entries + u32::from(own.is_some()),
            rows: rows.map(|(endpoint, count)| row(endpoint, count)).collect(),
        }
    }
}

#[test]
fn load_sums_match_a_naive_recalculation() {
    for seed in 0..200 {
        let mut generator = Gen::from_size_and_seed(30, seed);
        let mut below = |bound: u32| u32::arbitrary(&mut generator) % bound;
        let (mut aggregator, mut naive) = (LoadAggregator::new(), NaiveAggregator::default());
        let mut now = NOW;
        for _ in 0..200 {
            now = now + Duration::from_millis(below(600).into());
            let mut rows: Vec<LoadRow> = (0..4).map(|key| row(key, below(3))).collect();
            rows.retain(|row| row.in_flight > 0);
            let asker = process(&format!("p{}", below(4)));
            match below(5) {
                0..=2 => {
                    let group = load(1 + below(3), &rows);
                    aggregator.take(now, asker.clone(), group.clone());
                    naive.askers.insert(asker, (now, group));
                }
                3 => {
                    let group = load(below(30), &rows);
                    aggregator.take_from_hub(now, group.clone());
                    naive.from_hub = Some((now, group));
                }
                _ => {
                    assert_eq!(aggregator.others(now), naive.sum(now, None, None), "seed {seed}");
                    let outside = aggregator.outside(now, &asker, &rows);
                    assert_eq!(outside, naive.sum(now, Some(&asker), Some(&rows)), "seed {seed}");
                }
            }
        }
    }
}

#[test]
fn a_tree_of_hubs_counts_each_entry_once() {
    // The root hub "r", the hub "h" of another domain, and one asker of each: "n" and "m".
    let mut aggregators: BTreeMap<&str, LoadAggregator> = BTreeMap::new();
    let asks = [("m", "h"), ("h", "r"), ("n", "r")];
    let own = |name: &str| [row(u32::from(name.as_bytes()[0]), 1)];
    for _ in 0..3 {
        for (asker, hub) in asks {
            let group = aggregators.entry(asker).or_default().group(NOW, &own(asker));
            let aggregator = aggregators.entry(hub).or_default();
            aggregator.take(NOW, process(asker), group);
            let outside_load = aggregator.outside(NOW, &process(asker), &own(hub));
            aggregators.entry(asker).or_default().take_from_hub(NOW, outside_load);
        }
    }
    for (name, aggregator) in &mut aggregators {
        let others = aggregator.others(NOW);
        assert_eq!((others.entries, others.rows.len()), (3, 3), "{name}");
        assert!(others.rows.iter().all(|row| row.in_flight == 1), "{name}");
    }
}

#[test]
fn the_sliding_maximum_falls_when_higher_counts_expire() {
    // Time in seconds, the recorded count, and the expected maximum.
    let cases = [(0, 5, 5), (1, 7, 7), (10, 1, 7), (20, 3, 7), (31, 1, 3), (45, 2, 3), (50, 1, 2)];
    let mut count = SlidingMaximum::new();
    for (seconds, seen, expected) in cases {
        assert_eq!(
            count.note(TimePoint::from_millis(seconds * 1_000), seen),
            expected,
            "{seconds} s"
        );
    }
}

#[test]
fn the_skew_is_the_median_of_all_clocks() {
    // Milliseconds by which the clocks of the other entries are ahead, and the expected skew.
    let cases: [(&[i64], i64); 5] = [
        (&[], 0),
        (&[2_000], 0),
        (&[1, 2_000, 2_001, 2_002], 2_000),
        (&[3, -2_000, 2], 0),
        (&[-2_000, -2_001], -2_000),
    ];
    for (clocks, skew) in cases {
        let mut estimator = SkewEstimator::new();
        for (index, ahead) in clocks.iter().enumerate() {
            let wall_ms = (1_000_000 + ahead) as u64;
            estimator.take(NOW, &process(&format!("p{index}")), wall_ms, 1_000_000);
        }
        assert_eq!(estimator.skew_ms(NOW), skew, "{clocks:?}");
        assert_eq!(estimator.skew_ms(NOW + Duration::from_secs(5)), 0);
    }
}

#[test]
fn the_clock_filter_ignores_short_jumps_and_follows_lasting_ones() {
    // Seconds on the monotonic clock, error of the wall clock and expected error of the filter,
    // both in milliseconds.
    let cases = [
        (0, 0, 0),
        (1, 100, 100),
        (2, 50, 50),
        (3, 2_050, 50),
        (9, 2_050, 50),
        (10, 60, 60),
        (20, -3_000, 60),
        (79, -3_000, 60),
        (80, -3_000, -3_000),
    ];
    let mut clock = ClockFilter::new();
    for (seconds, error, expected) in cases {
        let now = TimePoint::from_millis(seconds * 1_000);
        let truth = 1_700_000_000_000 + seconds * 1_000;
        let shown = clock.observe(now, truth.saturating_add_signed(error));
        assert_eq!(shown.wrapping_sub(truth) as i64, expected, "at {seconds} s");
    }
}

/// Guards against a store that the hub does not reach and that nobody else reads for seconds, because
/// the entries that try it do so at random.
#[test]
fn entries_try_a_store_one_after_the_other() {
    let mut places: Vec<f64> = Vec::new();
    for own in 0..20 {
        let mut roster = HubRoster::new(address(own), "a");
        (0..20).filter(|other| *other != own).for_each(|other| {
            roster.note_heard(NOW, address(other));
        });
        places.push(roster.place(NOW, 0.5));
    }
    places.sort_by(f64::total_cmp);
    for (index, place) in places.iter().enumerate() {
        let expected = (index as f64 + 0.5) / 20.0;
        assert!((place - expected).abs() < 1e-9, "{places:?}");
    }
    assert_eq!(HubRoster::new(address(0), "a").place(NOW, 0.25), 0.25);
}
