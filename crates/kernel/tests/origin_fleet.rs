//! Streams in simulated fleets go on at the version that began them, or not at all.

mod origin_simulation;

use origin_simulation::{OriginFleet, OriginPlan};

/// Number of seeds of each search; `ORIGIN_SEEDS` sets another one.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("ORIGIN_SEEDS").ok().and_then(|count| count.parse().ok());
    0..count.unwrap_or(30)
}

fn check(plan: OriginPlan, seeds: std::ops::Range<u64>) {
    let mut went_on = 0;
    for seed in seeds {
        let mut fleet = OriginFleet::new(plan, seed);
        fleet.play();
        assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
        went_on += fleet.take_ups.went_on;
    }
    assert!(went_on > 0, "no take-up went on");
}

#[test]
fn no_stream_changes_versions_whatever_happens_to_small_fleets() {
    for entries in [1, 2, 4, 9] {
        check(OriginPlan::troubled(entries), seeds());
    }
}

#[test]
fn no_stream_changes_versions_in_fleets_of_410_entries() {
    let plan = OriginPlan { ticks: 600, ..OriginPlan::troubled(410) };
    check(plan, 0..seeds().end.div_ceil(15));
}

#[test]
fn no_stream_changes_versions_when_the_store_comes_back_from_an_older_copy() {
    let plan = OriginPlan { older_copies: 4, ..OriginPlan::troubled(6) };
    check(plan, seeds());
}

/// Guards against a history that counts as whole where the store and all who knew more have lost a part of it.
#[test]
fn no_stream_changes_versions_when_older_copies_come_among_kills_of_all_and_entries_that_stand_still()
 {
    for entries in [1, 3, 8] {
        let troubled = OriginPlan { total_kills: 8, freezes: 20, ..OriginPlan::troubled(entries) };
        let plan = OriginPlan { older_copies: 12, version_changes: 20, ..troubled };
        check(plan, seeds());
    }
}

/// Entries that start in such an outage know no shares.
#[test]
fn no_stream_changes_versions_while_the_records_of_streams_cannot_be_read() {
    for entries in [1, 4, 9] {
        let troubled = OriginPlan::troubled(entries);
        let plan = OriginPlan { origin_outages: 12, total_kills: 12, ..troubled };
        check(plan, seeds());
    }
}

#[test]
fn no_stream_changes_versions_while_versions_change_all_the_time() {
    let plan = OriginPlan { version_changes: 60, ..OriginPlan::troubled(5) };
    check(plan, seeds());
}

#[test]
fn no_stream_changes_versions_while_entries_stand_still() {
    for entries in [2, 5, 9] {
        let plan = OriginPlan { freezes: 40, version_changes: 30, ..OriginPlan::calm(entries) };
        check(plan, 0..seeds().end.div_ceil(3));
    }
}

#[test]
fn no_stream_changes_versions_while_entries_stand_still_among_all_other_troubles() {
    for entries in [3, 6] {
        let plan = OriginPlan { freezes: 40, version_changes: 30, ..OriginPlan::troubled(entries) };
        check(plan, 0..seeds().end.div_ceil(3));
    }
}

/// Checks that a share of the streams that were taken up while their version served went on.
fn check_share(name: &str, fleet: &OriginFleet, least: f64) {
    let (went_on, given_up) = (fleet.take_ups.went_on, fleet.take_ups.given_up);
    let share = went_on as f64 / (went_on + given_up).max(1) as f64;
    assert!(went_on >= 12 && share >= least, "{name}: {went_on} went on, {given_up} did not");
    assert!(fleet.violations.is_empty(), "{name}: {:#?}", fleet.violations);
}

#[test]
fn take_ups_go_on_after_kills_of_all_and_of_parts_while_versions_serve_side_by_side() {
    for entries in [4, 60, 410] {
        for seed in 0..5 {
            let plan = OriginPlan { ticks: 600, streams: 4_000, ..OriginPlan::calm(entries) };
            let mut fleet = OriginFleet::new(plan, seed);
            for tick in 0..plan.ticks {
                match tick {
                    100 => fleet.toggle("b"),
                    200 => fleet.toggle("c"),
                    160 | 400 => fleet.kill(40, |_| true),
                    300 => fleet.kill(40, |index| index % 2 == 0),
                    _ => {}
                }
                fleet.play_tick();
            }
            check_share(&format!("{entries} entries, seed {seed}"), &fleet, 0.8);
        }
    }
}

#[test]
fn take_ups_go_on_after_kills_of_parts_while_the_store_is_away() {
    for seed in 0..5 {
        let plan = OriginPlan { ticks: 500, streams: 4_000, ..OriginPlan::calm(12) };
        let mut fleet = OriginFleet::new(plan, seed);
        for tick in 0..plan.ticks {
            match tick {
                40 => fleet.toggle("b"),
                100 => fleet.lose_store(300),
                200 => fleet.kill(40, |index| index % 3 == 1),
                300 => fleet.kill(40, |index| index % 3 == 2),
                _ => {}
            }
            fleet.play_tick();
        }
        check_share(&format!("seed {seed}"), &fleet, 0.8);
    }
}

#[test]
fn all_take_ups_go_on_while_one_version_serves() {
    for seed in 0..5 {
        let plan = OriginPlan { ticks: 600, ..OriginPlan::calm(9) };
        let mut fleet = OriginFleet::new(plan, seed);
        for tick in 0..plan.ticks {
            if tick % 150 == 149 {
                fleet.kill(40, |_| true);
            }
            fleet.play_tick();
        }
        check_share(&format!("seed {seed}"), &fleet, 1.0);
    }
}

/// What began during the outage is known to the entries only.
#[test]
fn take_ups_go_on_after_a_kill_of_all_while_the_store_is_away() {
    for seed in 0..5 {
        let plan = OriginPlan { ticks: 500, streams: 4_000, ..OriginPlan::calm(12) };
        let mut fleet = OriginFleet::new(plan, seed);
        for tick in 0..plan.ticks {
            match tick {
                40 => fleet.toggle("b"),
                200 => fleet.lose_store(120),
                300 => fleet.kill(20, |_| true),
                _ => {}
            }
            fleet.play_tick();
        }
        check_share(&format!("seed {seed}"), &fleet, 0.5);
    }
}

#[test]
fn take_ups_go_on_whenever_all_entries_are_killed_while_the_store_is_away() {
    for killed_after in [4, 12, 24, 60] {
        for seed in 0..4 {
            let plan = OriginPlan { ticks: 500, streams: 4_000, ..OriginPlan::calm(12) };
            let mut fleet = OriginFleet::new(plan, seed);
            let mut before = fleet.take_ups;
            for tick in 0..plan.ticks {
                match tick {
                    40 => fleet.toggle("b"),
                    200 => {
                        fleet.end_streams();
                        fleet.lose_store(100);
                    }
                    _ if tick == 200 + killed_after => {
                        before = fleet.take_ups;
                        fleet.kill(20, |_| true);
                    }
                    _ => {}
                }
                fleet.play_tick();
            }
            fleet.take_ups.went_on -= before.went_on;
            fleet.take_ups.given_up -= before.given_up;
            check_share(&format!("killed after {killed_after}, seed {seed}"), &fleet, 0.8);
        }
    }
}

/// All streams begin within the last 0.3 s before the kill.
#[test]
fn take_ups_go_on_after_a_kill_of_all_just_after_a_version_left() {
    for killed_after in [10, 16, 24] {
        for seed in 0..4 {
            let plan = OriginPlan { streams: 12_000, ..OriginPlan::calm(12) };
            let mut fleet = OriginFleet::new(plan, seed);
            for tick in 0..450 {
                match tick {
                    40 => fleet.toggle("b"),
                    200 => fleet.toggle("a"),
                    _ if tick + 6 == 200 + killed_after => fleet.end_streams(),
                    _ if tick == 200 + killed_after => {
                        fleet.take_ups = Default::default();
                        fleet.begin_no_more();
                        fleet.kill(20, |_| true);
                    }
                    _ => {}
                }
                fleet.play_tick();
            }
            check_share(&format!("killed after {killed_after}, seed {seed}"), &fleet, 0.5);
        }
    }
}

/// No entry may say that one version only has served, as its copy of the store is old.
#[test]
fn take_ups_go_on_by_records_while_the_store_is_away_and_one_version_serves() {
    for seed in 0..5 {
        let plan = OriginPlan { ticks: 400, streams: 4_000, ..OriginPlan::calm(12) };
        let mut fleet = OriginFleet::new(plan, seed);
        for tick in 0..plan.ticks {
            match tick {
                40 => fleet.lose_store(350),
                200 => fleet.kill(10, |index| index % 3 == 1),
                _ => {}
            }
            fleet.play_tick();
        }
        check_share(&format!("seed {seed}"), &fleet, 0.8);
    }
}
