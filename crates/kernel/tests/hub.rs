//! Which entry reads the store for the others.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::{
        ClockBoard, EntrySighting, GroupLoad, HubChoice, HubRoster, LoadBoard, PeakCount,
        SteadyWall, exchange_period,
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

fn sighting(host: u8, domain: &str) -> EntrySighting {
    EntrySighting { address: address(host), domain: Some(domain.into()), age_ms: 0 }
}

/// Failure domains of entries 1 to 6.
const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "a", "c"];

/// Returns the roster of entry `own` that has just heard of `others`, by number.
fn roster(own: u8, others: &[u8]) -> HubRoster {
    let domain = |host: u8| DOMAINS[usize::from(host) - 1];
    let mut roster = HubRoster::new(address(own), domain(own));
    for &other in others {
        roster.note_sighting(NOW, &sighting(other, domain(other)));
    }
    roster
}

#[test]
fn each_domain_has_a_hub_and_hubs_have_one() {
    // The entry, the hub that it asks, and whether it is the first behind the hub of all.
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
fn a_hub_that_does_not_answer_is_passed_over_for_a_while() {
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

#[test]
fn an_entry_whose_domain_is_unknown_is_asked_until_the_own_hub_is_known() {
    let mut roster = HubRoster::new(address(4), "b");
    roster.note_heard(NOW, address(1));
    roster.note_heard(NOW, address(2));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(1)));
    roster.note_sighting(NOW, &sighting(2, "b"));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(2)));
}

#[test]
fn an_entry_that_nobody_hears_of_is_forgotten() {
    let roster = roster(3, &[1]);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(roster.hub(later), HubChoice::Own);
    assert_eq!(roster.listed_to(later, "b"), [sighting(3, "b")]);
}

#[test]
fn entries_that_repeat_each_others_word_forget_a_lost_one() {
    let mut rosters = [roster(1, &[2, 6]), roster(2, &[1, 6])];
    let mut now = NOW;
    for step in 0..100 {
        now = now + Duration::from_millis(100);
        let told = rosters[step % 2].listed_to(now, "a");
        told.iter().for_each(|entry| rosters[(step + 1) % 2].note_sighting(now, entry));
        let own = [sighting(1, "a"), sighting(2, "a")];
        rosters[0].note_sighting(now, &own[1]);
        rosters[1].note_sighting(now, &own[0]);
    }
    assert_eq!(rosters[0].listed_to(now, "a"), [sighting(1, "a"), sighting(2, "a")]);
}

#[test]
fn an_entry_gets_a_list_of_its_whole_domain_and_of_the_first_few_of_others() {
    let mut roster = HubRoster::new(address(1), "a");
    for host in 2..=40 {
        roster.note_sighting(NOW, &sighting(host, ["a", "b", "c", "d"][usize::from(host % 4)]));
    }
    let counts = |domain: &str| {
        let told = roster.listed_to(NOW, domain);
        let of = |domain: &str| told.iter().filter(|e| e.domain.as_deref() == Some(domain)).count();
        ["a", "b", "c", "d"].map(of)
    };
    assert_eq!(counts("a"), [11, 3, 3, 3]);
    assert_eq!(counts("c"), [3, 3, 10, 3]);
    assert_eq!(counts(""), [3, 3, 3, 3]);
}

#[test]
fn exchanges_grow_rarer_with_the_number_of_askers() {
    let cases = [(1, 150), (10, 150), (28, 420), (100, 1_500)];
    for (askers, millis) in cases {
        assert_eq!(exchange_period(askers), Duration::from_millis(millis));
    }
    // 410 entries in 8 domains: members ask 51 times rarer than hubs, hubs as often as at 5 entries.
    let roster = |own: u16| {
        let address =
            |host: u16| SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 7340));
        let domain = |host: u16| format!("d{}", host % 8);
        let mut roster = HubRoster::new(address(own), &domain(own));
        for host in 0..410 {
            let domain = Some(domain(host).into());
            roster.note_sighting(NOW, &EntrySighting { address: address(host), domain, age_ms: 0 });
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
fn a_board_adds_up_all_but_the_asking_group() {
    let mut board = LoadBoard::new();
    board.take(NOW, process("a"), load(1, &[row(1, 2), row(2, 3)]));
    board.take(NOW, process("b"), load(4, &[row(1, 5)]));
    board.take_beyond(NOW, load(20, &[row(3, 7)]));
    let own = [row(2, 1)];
    assert_eq!(
        board.outside(NOW, &process("b"), &own),
        load(22, &[row(1, 2), row(2, 4), row(3, 7)])
    );
    assert_eq!(board.group(NOW, &own), load(6, &[row(1, 7), row(2, 4)]));
    assert_eq!(board.others(NOW), load(25, &[row(1, 7), row(2, 3), row(3, 7)]));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(board.others(later), load(0, &[]));
    assert_eq!(board.group(later, &own), load(1, &own));
}

#[test]
fn a_board_is_told_of_a_restarted_asker_once() {
    let mut board = LoadBoard::new();
    board.take(NOW, process("a"), load(1, &[row(1, 2)]));
    let restarted = ProcessId { incarnation: 2, ..process("a") };
    board.take(NOW, restarted.clone(), load(1, &[row(1, 3)]));
    assert_eq!(board.outside(NOW, &restarted, &[]), load(1, &[]));
}

/// The same board, which adds everything up anew for each question.
#[derive(Default)]
struct NaiveBoard {
    askers: BTreeMap<ProcessId, (TimePoint, GroupLoad)>,
    beyond: Option<(TimePoint, GroupLoad)>,
}

impl NaiveBoard {
    fn sum(
        &self,
        now: TimePoint,
        left_out: Option<&ProcessId>,
        own: Option<&[LoadRow]>,
    ) -> GroupLoad {
        let fresh = |at: TimePoint| now.since(at) < Duration::from_secs(2);
        let askers = self.askers.iter().filter(|(asker, _)| Some(*asker) != left_out);
        let groups = askers.map(|(_, group)| group).chain(self.beyond.as_ref());
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
fn a_board_agrees_with_one_that_adds_up_anew() {
    for seed in 0..200 {
        let mut generator = Gen::from_size_and_seed(30, seed);
        let mut below = |bound: u32| u32::arbitrary(&mut generator) % bound;
        let (mut board, mut naive) = (LoadBoard::new(), NaiveBoard::default());
        let mut now = NOW;
        for _ in 0..200 {
            now = now + Duration::from_millis(below(600).into());
            let mut rows: Vec<LoadRow> = (0..4).map(|key| row(key, below(3))).collect();
            rows.retain(|row| row.in_flight > 0);
            let asker = process(&format!("p{}", below(4)));
            match below(5) {
                0..=2 => {
                    let group = load(1 + below(3), &rows);
                    board.take(now, asker.clone(), group.clone());
                    naive.askers.insert(asker, (now, group));
                }
                3 => {
                    let group = load(below(30), &rows);
                    board.take_beyond(now, group.clone());
                    naive.beyond = Some((now, group));
                }
                _ => {
                    assert_eq!(board.others(now), naive.sum(now, None, None), "seed {seed}");
                    let outside = board.outside(now, &asker, &rows);
                    assert_eq!(outside, naive.sum(now, Some(&asker), Some(&rows)), "seed {seed}");
                }
            }
        }
    }
}

#[test]
fn a_tree_of_entries_counts_every_one_once() {
    // Hub of all "r", a hub "h" of another domain, and one asker of each.
    let mut boards: BTreeMap<&str, LoadBoard> = BTreeMap::new();
    let asks = [("m", "h"), ("h", "r"), ("n", "r")];
    let own = |name: &str| [row(u32::from(name.as_bytes()[0]), 1)];
    for _ in 0..3 {
        for (asker, hub) in asks {
            let group = boards.entry(asker).or_default().group(NOW, &own(asker));
            let board = boards.entry(hub).or_default();
            board.take(NOW, process(asker), group);
            let news = board.outside(NOW, &process(asker), &own(hub));
            boards.entry(asker).or_default().take_beyond(NOW, news);
        }
    }
    for (name, board) in &mut boards {
        let others = board.others(NOW);
        assert_eq!((others.entries, others.rows.len()), (3, 3), "{name}");
        assert!(others.rows.iter().all(|row| row.in_flight == 1), "{name}");
    }
}

#[test]
fn a_count_of_entries_falls_only_after_a_while() {
    // Seconds, the count, and the one in force.
    let cases = [(0, 5, 5), (1, 7, 7), (10, 1, 7), (20, 3, 7), (31, 1, 3), (45, 2, 3), (50, 1, 2)];
    let mut count = PeakCount::new();
    for (seconds, seen, expected) in cases {
        assert_eq!(
            count.note(TimePoint::from_millis(seconds * 1_000), seen),
            expected,
            "{seconds} s"
        );
    }
}

#[test]
fn a_clock_that_jumped_is_set_right_by_most_others() {
    // Clocks of the other entries, in milliseconds ahead of this one, and the skew.
    let cases: [(&[i64], i64); 5] = [
        (&[], 0),
        (&[2_000], 0),
        (&[1, 2_000, 2_001, 2_002], 2_000),
        (&[3, -2_000, 2], 0),
        (&[-2_000, -2_001], -2_000),
    ];
    for (clocks, skew) in cases {
        let mut board = ClockBoard::new();
        for (index, ahead) in clocks.iter().enumerate() {
            let wall_ms = (1_000_000 + ahead) as u64;
            board.take(NOW, &process(&format!("p{index}")), wall_ms, 1_000_000);
        }
        assert_eq!(board.skew_ms(NOW), skew, "{clocks:?}");
        assert_eq!(board.skew_ms(NOW + Duration::from_secs(5)), 0);
    }
}

#[test]
fn a_short_jump_of_the_wall_clock_is_passed_over_and_a_lasting_one_is_followed() {
    // Seconds on the monotonic clock, milliseconds of the wall clock's error, and the expected one.
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
    let mut clock = SteadyWall::new();
    for (seconds, error, expected) in cases {
        let now = TimePoint::from_millis(seconds * 1_000);
        let truth = 1_700_000_000_000 + seconds * 1_000;
        let shown = clock.observe(now, truth.saturating_add_signed(error));
        assert_eq!(shown.wrapping_sub(truth) as i64, expected, "at {seconds} s");
    }
}
