//! Tests of account limits at entries whose reports are lost, repeated and reordered.

mod route_fixture;

use std::time::Duration;

use pimentorock_kernel::{
    catalog::{AccountLimits, CatalogSpec, ServiceCatalog},
    ids::{AccountKey, ProcessId},
    limit::{AccountLimiter, BURST_SPAN, EXCHANGE_SPAN, LimitName, PEER_TIMEOUT, SpentReport},
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

use self::route_fixture::deployment;

const STEP: Duration = Duration::from_millis(20);
const REPORT_STEPS: u64 = 10;
/// Longest delay of a report, in steps.
const MAX_DELAY_STEPS: u64 = 20;
/// Longest time between two reports that are delivered, in steps.
const MAX_SILENCE_STEPS: u64 = 20;
const TOKENS: u32 = 30;

fn limited(limits: AccountLimits) -> (ServiceCatalog, AccountKey) {
    let plain = deployment(1, 1, 1);
    let mut accounts: Vec<_> = plain.accounts.values().cloned().collect();
    accounts[0].limits = limits;
    let catalog = ServiceCatalog::with_spec(1, CatalogSpec { accounts, ..CatalogSpec::default() });
    let account = catalog.account("team/a000").unwrap();
    (catalog, account)
}

fn limiter(index: usize, incarnation: u64) -> AccountLimiter {
    AccountLimiter::new(ProcessId { name: format!("entry-{index}").into(), incarnation })
}

/// Simulates entries that exchange reports over a network that loses, repeats and reorders them.
struct LimitedFleet {
    generator: Gen,
    entries: Vec<AccountLimiter>,
    /// Reports in transit, with the step of arrival and the receiving entry.
    in_transit: Vec<(u64, usize, SpentReport)>,
    /// Step at which the last report that is not lost was sent, by sender and receiver.
    last_delivered_send: Vec<Vec<u64>>,
    /// Step of each admission.
    admitted: Vec<u64>,
    /// Entry and end step of each request in flight.
    in_flight: Vec<(usize, u64)>,
    most_in_flight: usize,
}

impl LimitedFleet {
    fn new(seed: u64, count: usize) -> LimitedFleet {
        LimitedFleet {
            generator: Gen::from_size_and_seed(20, seed),
            entries: (0..count).map(|index| limiter(index, 1)).collect(),
            in_transit: Vec::new(),
            last_delivered_send: vec![vec![0; count]; count],
            admitted: Vec::new(),
            in_flight: Vec::new(),
            most_in_flight: 0,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        u64::arbitrary(&mut self.generator) % bound
    }

    fn send_reports(&mut self, step: u64) {
        for from in 0..self.entries.len() {
            let report = self.entries[from].report();
            for to in (0..self.entries.len()).filter(|&to| to != from) {
                let overdue = step >= self.last_delivered_send[from][to] + MAX_SILENCE_STEPS;
                let copies = if overdue { 1 } else { self.below(3) };
                for _ in 0..copies {
                    let arrives = step + self.below(MAX_DELAY_STEPS);
                    self.in_transit.push((arrives, to, report.clone()));
                    self.last_delivered_send[from][to] = step;
                }
            }
        }
    }

    fn run(&mut self, steps: u64, catalog: &ServiceCatalog, account: AccountKey) {
        for step in 1..=steps {
            let now = TimePoint::ZERO + STEP * step as u32;
            if step.is_multiple_of(REPORT_STEPS) {
                self.send_reports(step);
            }
            let in_transit = std::mem::take(&mut self.in_transit);
            let (due, left): (Vec<_>, _) =
                in_transit.into_iter().partition(|(at, _, _)| *at <= step);
            self.in_transit = left;
            for (_, to, report) in due {
                self.entries[to].merge(now, &report);
            }
            let ended: Vec<_> = self.in_flight.extract_if(.., |(_, end)| *end <= step).collect();
            for (entry, _) in ended {
                self.entries[entry].settle(now, account, TOKENS, TOKENS);
            }
            for entry in 0..self.entries.len() {
                let tries = self.below(4);
                for _ in 0..tries {
                    if self.entries[entry].admit(now, account, TOKENS, catalog).is_ok() {
                        self.admitted.push(step);
                        let end = step + 1 + self.below(100);
                        self.in_flight.push((entry, end));
                    }
                }
            }
            self.most_in_flight = self.most_in_flight.max(self.in_flight.len());
        }
    }

    /// Returns the largest excess of admissions over `rate` in any window.
    fn worst_excess(&self, rate: f64) -> f64 {
        let mut worst = 0.0_f64;
        for from in 0..self.admitted.len() {
            for to in from..self.admitted.len() {
                let window = STEP * (self.admitted[to] - self.admitted[from]) as u32;
                let excess = (to - from + 1) as f64 - rate * window.as_secs_f64();
                worst = worst.max(excess);
            }
        }
        worst
    }
}

/// Returns the documented bound on the excess in any window.
fn stated_bound(entries: usize, rate: f64) -> f64 {
    let burst = (rate * BURST_SPAN.as_secs_f64()).max(1.0);
    entries as f64 * burst + (entries - 1) as f64 * rate * EXCHANGE_SPAN.as_secs_f64()
}

#[test]
fn rate_limits_keep_their_bound_with_an_unreliable_network() {
    for seed in 0..12 {
        let entries = 2 + seed as usize % 4;
        let rate = [2.0, 10.0, 25.0][seed as usize % 3];
        let by_tokens = seed % 2 == 0;
        let (requests, tokens) = match by_tokens {
            true => (None, Some(rate * f64::from(TOKENS))),
            false => (Some(rate), None),
        };
        let limits = AccountLimits {
            requests_per_second: requests,
            tokens_per_second: tokens,
            concurrency: None,
        };
        let (catalog, account) = limited(limits);
        let mut fleet = LimitedFleet::new(seed, entries);
        fleet.run(1500, &catalog, account);
        let bound = stated_bound(entries, rate) + if by_tokens { entries as f64 } else { 0.0 };
        let worst = fleet.worst_excess(rate);
        assert!(
            worst <= bound,
            "seed {seed}: excess of {worst} admissions, at most {bound} allowed"
        );
        let fair = rate * (STEP * 1500).as_secs_f64();
        let total = fleet.admitted.len() as f64;
        assert!(total >= 0.8 * fair, "seed {seed}: only {total} of {fair} requests admitted");
    }
}

#[test]
fn concurrency_limits_keep_their_bound_with_an_unreliable_network() {
    for seed in 0..12 {
        let entries = 2 + seed as usize % 4;
        let concurrency = [3, 12, 40][seed as usize % 3];
        let limits = AccountLimits { concurrency: Some(concurrency), ..AccountLimits::default() };
        let (catalog, account) = limited(limits);
        let mut fleet = LimitedFleet::new(seed, entries);
        fleet.run(800, &catalog, account);
        let bound = concurrency as usize + entries - 1;
        assert!(
            fleet.most_in_flight <= bound,
            "seed {seed}: {} requests in flight, at most {bound} allowed",
            fleet.most_in_flight
        );
        assert!(
            fleet.most_in_flight * 10 >= concurrency as usize * 8,
            "seed {seed}: less than 80% of the limit used"
        );
    }
}

#[test]
fn a_single_entry_matches_a_plain_token_bucket() {
    let limits = AccountLimits { requests_per_second: Some(5.0), ..AccountLimits::default() };
    let (catalog, account) = limited(limits);
    for seed in 0..20 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut entry = limiter(0, 1);
        let (mut level, mut now) = (5.0_f64, TimePoint::from_millis(1));
        for _ in 0..300 {
            let gap = u64::arbitrary(&mut generator) % 600;
            now = now + Duration::from_millis(gap);
            level = (level + gap as f64 * 0.005).min(5.0);
            let expected = level >= 1.0 - 1e-9;
            let admitted = entry.admit(now, account, 1, &catalog);
            if (level - 1.0).abs() > 1e-6 {
                assert_eq!(admitted.is_ok(), expected, "seed {seed}, level {level}");
            }
            level -= f64::from(u8::from(admitted.is_ok()));
        }
    }
}

/// Guards against idle time before a report that offsets the debit of that report: a full bucket
/// must not receive tokens for time that passed before the debit.
#[test]
fn idle_time_before_a_report_does_not_offset_its_debit() {
    let limits = AccountLimits { requests_per_second: Some(4.0), ..AccountLimits::default() };
    let (catalog, account) = limited(limits);
    let (mut idle, mut busy) = (limiter(0, 1), limiter(1, 1));
    idle.admit(TimePoint::from_millis(1), account, 1, &catalog).unwrap();
    let now = TimePoint::from_millis(10_000);
    while busy.admit(now, account, 1, &catalog).is_ok() {}
    idle.merge(now, &busy.report());
    let refusal = idle.admit(now, account, 1, &catalog).unwrap_err();
    assert_eq!(refusal.limit, LimitName::Requests);
    assert_eq!(refusal.retry_after, Duration::from_millis(250));
}

#[test]
fn reports_contain_only_limited_accounts() {
    for (concurrency, expected) in [(None, 0), (Some(4), 1)] {
        let (catalog, account) = limited(AccountLimits { concurrency, ..AccountLimits::default() });
        let mut entry = limiter(0, 1);
        entry.admit(TimePoint::from_millis(1), account, 1, &catalog).unwrap();
        assert_eq!(entry.report().accounts.len(), expected, "{concurrency:?}");
    }
}

#[test]
fn requests_of_a_silent_peer_stop_counting_after_the_timeout() {
    let limits = AccountLimits { concurrency: Some(4), ..AccountLimits::default() };
    let (catalog, account) = limited(limits);
    let (mut live, mut silent) = (limiter(0, 1), limiter(1, 1));
    let start = TimePoint::from_millis(10_000);
    for step in 0..4 {
        let now = start + EXCHANGE_SPAN * 2 * step;
        silent.admit(now, account, 1, &catalog).unwrap();
        live.merge(now, &silent.report());
    }
    let last_report = start + EXCHANGE_SPAN * 6;
    let before = last_report + PEER_TIMEOUT - Duration::from_millis(1);
    let refusal = live.admit(before, account, 1, &catalog).unwrap_err();
    assert_eq!(refusal.limit, LimitName::Concurrency);
    assert_eq!(live.admit(last_report + PEER_TIMEOUT, account, 1, &catalog), Ok(()));
}

#[test]
fn a_restart_resets_a_peer_and_late_reports_are_ignored() {
    let limits = AccountLimits { concurrency: Some(2), ..AccountLimits::default() };
    let (catalog, account) = limited(limits);
    let now = TimePoint::from_millis(1000);
    let (mut live, mut old, mut new) = (limiter(0, 1), limiter(1, 1), limiter(1, 2));
    for step in 0..2 {
        old.admit(now + EXCHANGE_SPAN * 2 * step, account, 1, &catalog).unwrap();
    }
    let late = old.report();
    live.merge(now, &late);
    assert_eq!(live.in_flight(now, "team/a000"), 2);
    live.merge(now, &new.report());
    live.merge(now, &late);
    assert_eq!(live.in_flight(now, "team/a000"), 0);
}
