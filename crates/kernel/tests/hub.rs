//! Which entry reads the store for the others.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::{ClockBoard, HubChoice, HubRoster, LoadBoard, SteadyWall, exchange_period},
    ids::ProcessId,
    place::LoadRow,
    time::TimePoint,
};

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7340))
}

/// Returns the roster of entry `own` that has just heard of `others`.
fn roster(own: u8, others: &[u8]) -> HubRoster {
    let mut roster = HubRoster::new(address(own));
    for other in others {
        roster.note_heard(NOW, address(*other));
    }
    roster
}

#[test]
fn entries_that_know_each_other_agree_on_the_first() {
    for own in 1..=5 {
        let roster = roster(own, &[1, 2, 3, 4, 5]);
        let expected = if own == 1 { HubChoice::Own } else { HubChoice::Peer(address(1)) };
        assert_eq!(roster.hub(NOW), expected);
        assert_eq!(roster.is_standby(NOW), own == 2);
    }
}

#[test]
fn a_hub_that_does_not_answer_is_passed_over_for_a_while() {
    let mut roster = roster(3, &[1, 2]);
    roster.note_failure(NOW, address(1));
    assert_eq!(roster.hub(NOW), HubChoice::Peer(address(2)));
    roster.note_failure(NOW, address(2));
    assert_eq!(roster.hub(NOW), HubChoice::Own);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(roster.hub(later), HubChoice::Peer(address(1)));
    roster.note_answer(later, address(1));
    assert_eq!(roster.hub(later), HubChoice::Peer(address(1)));
}

#[test]
fn an_entry_that_nobody_hears_of_is_forgotten() {
    let roster = roster(3, &[1]);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(roster.hub(later), HubChoice::Own);
    assert_eq!(roster.entries(later), [address(3)]);
}

#[test]
fn exchanges_grow_rarer_with_the_number_of_entries() {
    let cases = [(1, 150), (10, 150), (28, 420), (100, 1_500)];
    for (entries, millis) in cases {
        assert_eq!(exchange_period(entries), Duration::from_millis(millis));
    }
}

#[test]
fn a_board_adds_up_all_but_the_asking_entry() {
    let process = |name: &str| ProcessId { name: name.into(), incarnation: 1 };
    let row = |endpoint, in_flight| LoadRow { endpoint, in_flight, prefill: 10, memory: 5 };
    let mut board = LoadBoard::new();
    board.take(NOW, process("a"), vec![row(1, 2), row(2, 3)]);
    board.take(NOW, process("b"), vec![row(1, 5)]);
    board.take(NOW, process("c"), vec![row(1, 100)]);
    let expected = [LoadRow { endpoint: 1, in_flight: 7, prefill: 20, memory: 10 }, row(2, 3)];
    assert_eq!(board.others(NOW, &process("c")), expected);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(board.others(later, &process("c")), []);
}

#[test]
fn a_clock_that_jumped_is_set_right_by_most_others() {
    let process = |name: &str| ProcessId { name: name.into(), incarnation: 1 };
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
