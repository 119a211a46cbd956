//! Searches simulated fleets for more sends to an endpoint than its limit allows, and for limits that
//! are hardly used.

mod limit_simulation;

use std::time::Duration;

use limit_simulation::{FaultRates, FleetSpec, LimitSimulation};
use pimentorock_kernel::send_limit::SendRate;

const ENTRIES: usize = 410;

/// Time in which the news of a limit reaches all entries, in milliseconds.
const NEWS_TIME: u64 = 3_000;

/// Window in which sends are counted, in milliseconds.
const WINDOW: u64 = 4_000;

/// Time for which entries that change between root hubs may count at both, in seconds.
const ROOT_CHANGE_TIME: f64 = 2.0;

/// Bytes a second that all of control may cost an entry.
const BYTES_PER_SECOND: u64 = 12_000;

const CALM: FaultRates = FaultRates { lost: 0, late: 0, doubled: 0 };
const ROUGH: FaultRates = FaultRates { lost: 3, late: 100, doubled: 100 };
const SEVERE: FaultRates = FaultRates { lost: 30, late: 200, doubled: 200 };

fn spec(entries: usize, traffic: f64) -> FleetSpec {
    let domains = if entries > 100 { 8 } else { 3 };
    FleetSpec { entries, domains, traffic, share_of_few: 0.5, urgent: 0.0, faults: CALM }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the sends that the module's documentation allows in a window, where there were `root_changes`
/// changes of the root hub in it or shortly before.
fn bound(limit: f64, root_changes: usize) -> usize {
    let rate = SendRate::new(limit).unwrap();
    let window = WINDOW as f64 / 1_000.0 + ROOT_CHANGE_TIME * root_changes as f64;
    (rate.burst() + rate.usable() * window).floor() as usize
}

/// Returns the sends that the endpoints' users allow in a window: one and a half times the limit, and
/// 5 more, without those of entries that were disturbed themselves.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW as f64 / 1_000.0) as usize + 5
}

/// Lets endpoint 0 name `limit`, and returns the time from which it must be kept.
fn name_limit(fleet: &mut LimitSimulation, limit: f64) -> u64 {
    fleet.endpoints[0].limit = Some(limit);
    fleet.run(Duration::from_millis(NEWS_TIME));
    fleet.now
}

fn check_bound(fleet: &LimitSimulation, limit: f64, from: u64, seed: u64) {
    let (endpoint, span) = (&fleet.endpoints[0], (from, fleet.now));
    for (start, sends) in endpoint.windows(WINDOW, span, |arrival| arrival.is_told) {
        let roots = fleet.root_changes.iter();
        let roots = roots.filter(|at| **at + 2 * WINDOW > start && **at < start + WINDOW);
        let bound = bound(limit, roots.count());
        assert!(
            sends <= bound,
            "seed {seed}: limit {limit}, {sends} sends in 4 s from {start}, bound {bound}"
        );
    }
    let windows = endpoint.windows(WINDOW, span, |arrival| !arrival.is_excused);
    let most = windows.iter().map(|(_, sends)| *sends).max().unwrap_or(0);
    let allowed = allowed(limit);
    assert!(most <= allowed, "seed {seed}: limit {limit}, {most} sends in 4 s, {allowed} allowed");
}

fn check_use(fleet: &LimitSimulation, limit: f64, from: u64, seed: u64) {
    let arrived = fleet.endpoints[0].arrived(from, fleet.now) as f64;
    let taken = limit * (fleet.now - from) as f64 / 1_000.0;
    assert!(arrived >= 0.5 * taken, "seed {seed}: limit {limit}, {arrived} sends of {taken}");
}

/// The bound must not grow with the number of entries, and the limit must be used.
#[test]
fn a_fleet_of_any_size_keeps_a_limit_and_uses_it() {
    for (entries, limit) in [(1, 1.0), (4, 1.0), (16, 1.0), (ENTRIES, 1.0), (ENTRIES, 40.0)] {
        for (seed, faults) in [(1, CALM), (2, ROUGH)] {
            let spec = FleetSpec { faults, ..spec(entries, 7.0 * entries as f64) };
            let mut fleet = LimitSimulation::new(seed, spec, 1);
            fleet.run(secs(3));
            let from = name_limit(&mut fleet, limit);
            fleet.run(secs(20));
            check_bound(&fleet, limit, from, seed);
            check_use(&fleet, limit.min(7.0 * entries as f64), from, seed);
        }
    }
}

/// A single entry with nearly all of the traffic must be able to use the limit.
#[test]
fn the_limit_is_used_with_uneven_traffic() {
    for (seed, share_of_few) in [(1, 1.0), (2, 0.95), (3, 0.0)] {
        let spec = FleetSpec { share_of_few, ..spec(ENTRIES, 400.0) };
        let mut fleet = LimitSimulation::new(seed, spec, 1);
        fleet.run(secs(3));
        for limit in [2.0, 60.0] {
            let from = name_limit(&mut fleet, limit);
            fleet.run(secs(15));
            check_bound(&fleet, limit, from, seed);
            check_use(&fleet, limit, from, seed);
        }
    }
}

#[test]
fn urgent_requests_get_the_scarce_sends_of_a_large_fleet() {
    let spec = FleetSpec { urgent: 0.2, ..spec(ENTRIES, 2_800.0) };
    let mut fleet = LimitSimulation::new(5, spec, 1);
    fleet.run(secs(3));
    let limit = 20.0;
    let from = name_limit(&mut fleet, limit);
    fleet.run(secs(15));
    check_bound(&fleet, limit, from, 5);
    let (urgent, all) =
        (fleet.endpoints[0].urgent(from, fleet.now), fleet.endpoints[0].arrived(from, fleet.now));
    assert!(2 * urgent > all, "{urgent} of {all} sends were urgent");
}

#[test]
fn a_limit_ends_for_all_entries_when_it_is_no_longer_named() {
    for (seed, faults) in [(1, CALM), (2, ROUGH)] {
        let spec = FleetSpec { faults, ..spec(ENTRIES, 800.0) };
        let mut fleet = LimitSimulation::new(seed, spec, 1);
        name_limit(&mut fleet, 3.0);
        fleet.endpoints[0].limit = None;
        fleet.run(secs(6));
        let from = fleet.now;
        fleet.run(secs(3));
        let denied = fleet.endpoints[0].denied.iter().filter(|at| **at >= from).count();
        assert_eq!(denied, 0, "seed {seed}");
        // The limit holds again once it comes back.
        let from = name_limit(&mut fleet, 2.0);
        fleet.run(secs(8));
        check_bound(&fleet, 2.0, from, seed);
        check_use(&fleet, 2.0, from, seed);
    }
}

/// Plays faults one after the other, at random.
fn play_faults(fleet: &mut LimitSimulation, cuts: bool, rounds: u64) {
    let entries = fleet.spec.entries;
    for _ in 0..rounds {
        let root = fleet.root();
        let any = fleet.below(entries as u64) as usize;
        let hub = fleet.below(fleet.spec.domains as u64) as usize;
        let victim = [root, any, hub][fleet.below(3) as usize];
        let span = 200 + fleet.below(4_000);
        match fleet.below(if cuts { 5 } else { 3 }) {
            0 => fleet.kill(victim),
            1 => fleet.freeze(victim, Duration::from_millis(span)),
            2 if !fleet.entries[victim].is_alive => fleet.restart(victim),
            2 => {
                fleet.kill(victim);
                fleet.restart(victim);
            }
            3 => fleet.cut(victim, 1 + any as u32),
            _ => {
                // Halves of the fleet lose each other, or find each other again.
                let part = [0, 500][fleet.below(2) as usize];
                (1..entries).step_by(2).for_each(|entry| fleet.cut(entry, part));
            }
        }
        let pause = 300 + fleet.below(2_500);
        fleet.run(Duration::from_millis(pause));
        if fleet.below(3) == 0 {
            for entry in 0..entries {
                if !fleet.entries[entry].is_alive {
                    fleet.restart(entry);
                }
                if fleet.below(2) == 0 {
                    fleet.cut(entry, 0);
                }
            }
        }
    }
}

/// Plays fleets of several sizes with faults at random, also cuts if `cuts` is true.
fn search(cuts: bool) {
    for seed in 0..12 {
        let limit = [1.0, 0.3, 8.0][seed as usize % 3];
        let entries = [16, 16, 40, ENTRIES][seed as usize % 4];
        let spec = FleetSpec { faults: SEVERE, ..spec(entries, 10.0 * entries as f64) };
        let mut fleet = LimitSimulation::new(seed, spec, 1);
        fleet.run(secs(5));
        let from = name_limit(&mut fleet, limit);
        play_faults(&mut fleet, cuts, 12);
        check_bound(&fleet, limit, from, seed);
    }
}

#[test]
fn entries_that_start_die_and_freeze_do_not_break_the_bound() {
    search(false);
}

#[test]
fn entries_that_are_cut_off_do_not_break_the_bound() {
    search(true);
}

/// All entries lose each other, but reach the endpoint: their shares must not add up to more than
/// the limit.
#[test]
fn entries_that_are_all_alone_keep_the_limit_together() {
    for (entries, limit) in [(16, 1.0), (16, 100.0), (ENTRIES, 1.0), (ENTRIES, 500.0)] {
        let mut fleet = LimitSimulation::new(7, spec(entries, 10.0 * entries as f64), 1);
        fleet.run(secs(8));
        let from = name_limit(&mut fleet, limit);
        (0..entries).for_each(|entry| fleet.cut(entry, 1 + entry as u32));
        fleet.run(secs(60));
        check_bound(&fleet, limit, from, 7);
    }
}

#[test]
fn a_limit_that_moves_each_second_is_kept() {
    for seed in 0..4 {
        let spec = FleetSpec { faults: ROUGH, ..spec(60, 600.0) };
        let mut fleet = LimitSimulation::new(seed, spec, 1);
        fleet.run(secs(3));
        let from = name_limit(&mut fleet, 6.0);
        for _ in 0..20 {
            fleet.endpoints[0].limit = Some(2.0 + fleet.below(8) as f64 / 2.0);
            fleet.run(secs(1));
        }
        check_bound(&fleet, 6.0, from, seed);
        check_use(&fleet, 2.0, from, seed);
    }
}

/// A limit that falls is kept as soon as the news of it has reached all entries.
#[test]
fn a_limit_that_is_lowered_is_kept() {
    let mut fleet = LimitSimulation::new(3, spec(ENTRIES, 2_800.0), 1);
    fleet.run(secs(3));
    name_limit(&mut fleet, 300.0);
    fleet.run(secs(3));
    let from = name_limit(&mut fleet, 1.0);
    fleet.run(secs(15));
    check_bound(&fleet, 1.0, from, 3);
    check_use(&fleet, 1.0, from, 3);
}

/// Limits of 0, under one and huge ones: none is exceeded, and none is for ever.
#[test]
fn limits_at_the_ends_of_the_range_are_kept_and_end() {
    for limit in [0.0, 0.02, 0.5, 1e300, f64::INFINITY] {
        let mut fleet = LimitSimulation::new(9, spec(16, 160.0), 1);
        fleet.run(secs(3));
        let from = name_limit(&mut fleet, limit);
        fleet.run(secs(20));
        if limit < 1.0 {
            check_bound(&fleet, limit, from, 9);
        } else {
            check_use(&fleet, 160.0, from, 9);
        }
        fleet.endpoints[0].limit = None;
        fleet.run(secs(30));
        let from = fleet.now;
        fleet.run(secs(2));
        check_use(&fleet, 160.0, from, 9);
    }
}

/// A run that names no limit is not bound by what a run under the same name had named.
#[test]
fn a_new_run_begins_without_the_limit_of_the_run_before() {
    let mut fleet = LimitSimulation::new(4, spec(16, 160.0), 1);
    fleet.run(secs(3));
    name_limit(&mut fleet, 1.0);
    fleet.endpoints[0].limit = None;
    fleet.endpoints[0].listed_ms = fleet.now + 1;
    let from = fleet.now;
    fleet.run(secs(2));
    check_use(&fleet, 160.0, from, 4);
    let from = name_limit(&mut fleet, 2.0);
    fleet.run(secs(8));
    check_bound(&fleet, 2.0, from, 4);
}

/// All messages come twice: no ticket may be used twice, and no use may count twice.
#[test]
fn messages_that_come_twice_do_not_double_the_sends() {
    for limit in [8.0, 60.0] {
        let faults = FaultRates { doubled: 1_000, ..CALM };
        let spec = FleetSpec { faults, ..spec(16, 400.0) };
        let mut fleet = LimitSimulation::new(6, spec, 1);
        fleet.run(secs(3));
        let from = name_limit(&mut fleet, limit);
        fleet.run(secs(20));
        check_bound(&fleet, limit, from, 6);
        check_use(&fleet, limit, from, 6);
    }
}

/// Entries with few requests hold tickets that they hardly ever use; these must not add up until
/// requests come at all entries at once.
#[test]
fn tickets_that_were_not_used_do_not_add_up() {
    for (entries, limit) in [(16, 2.0), (ENTRIES, 20.0)] {
        let spec = FleetSpec { share_of_few: 0.1, ..spec(entries, 0.1 * entries as f64) };
        let mut fleet = LimitSimulation::new(8, spec, 1);
        fleet.run(secs(5));
        fleet.burst(1);
        let from = name_limit(&mut fleet, limit);
        for _ in 0..6 {
            fleet.run(secs(10));
            fleet.burst(3);
        }
        fleet.run(secs(2));
        check_bound(&fleet, limit, from, 8);
    }
}

/// Hundreds of limits must leave the exchange within what control may cost an entry.
#[test]
fn hundreds_of_limits_cost_few_bytes() {
    let mut fleet = LimitSimulation::new(2, spec(ENTRIES, 2_800.0), 300);
    fleet.run(secs(1));
    let before = fleet.bytes;
    fleet.run(secs(1));
    let idle = (fleet.bytes - before) / ENTRIES as u64;
    assert!(idle <= 16, "{idle} bytes a second without limits");
    fleet.endpoints.iter_mut().for_each(|endpoint| endpoint.limit = Some(2.0));
    fleet.run(secs(3));
    let before = fleet.bytes;
    fleet.run(secs(2));
    let busy = (fleet.bytes - before) / 2 / ENTRIES as u64;
    assert!(busy <= BYTES_PER_SECOND, "{busy} bytes a second with 300 limits");
}
