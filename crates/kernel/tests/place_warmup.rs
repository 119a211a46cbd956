//! Tests of requests to endpoints that warm up, by a fleet of entries.

use std::time::Duration;

use pimentorock_kernel::{
    hub::HubChoice,
    ids::ProcessId,
    place::{PlacedEndpoint, PlacedRequest, PlacementTable, WarmupAllowance, WarmupLimit},
    time::TimePoint,
};

const START: TimePoint = TimePoint::from_millis(10_000);

/// Requests a second that an endpoint tolerates while it warms up.
const TOLERATED: f64 = 8.9;

const ALLOWANCE: WarmupAllowance = WarmupAllowance { ratio: 1.5, slack: 5.0 };

/// Time between two exchanges with the hub, in milliseconds.
const EXCHANGE_MS: u64 = 150;

fn endpoint(name: &str) -> PlacedEndpoint {
    PlacedEndpoint {
        name: name.into(),
        service: "app".into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 64,
        leaving: false,
        started_ms: None,
    }
}

fn limit() -> WarmupLimit {
    WarmupLimit::new(Duration::from_secs(3), TOLERATED, ALLOWANCE).unwrap()
}

fn request() -> PlacedRequest {
    PlacedRequest { service: "app".into(), urgency: Some(5), ..PlacedRequest::default() }
}

/// Entries that report to the first one, in front of the endpoints `cold` and `warm`.
struct SmallFleet {
    entries: Vec<PlacementTable>,
    now: TimePoint,
    /// When requests were sent to the endpoint that warms up.
    sent: Vec<TimePoint>,
    elsewhere: usize,
}

impl SmallFleet {
    fn new(count: usize) -> SmallFleet {
        let entry = |_| {
            let mut table = PlacementTable::new("a");
            table.set_warmups([("app".into(), limit())].into());
            ["cold", "warm"].iter().for_each(|name| {
                table.put(endpoint(name));
            });
            table
        };
        let entries = (0..count).map(entry).collect();
        let mut fleet = SmallFleet { entries, now: START, sent: Vec::new(), elsewhere: 0 };
        // The root hub hands out tickets once its predecessor can no longer do so.
        for _ in 0..30 {
            fleet.exchange();
        }
        fleet
    }

    /// Lets all entries exchange tickets with the first one.
    fn exchange(&mut self) {
        let address = ([10, 0, 0, 1], 1).into();
        let period = Duration::from_millis(EXCHANGE_MS);
        self.now = self.now + period;
        let (now, entries) = (self.now, self.entries.split_first_mut());
        let Some((root, askers)) = entries else { return };
        root.limits().step(now, HubChoice::Own, period);
        for (index, asker) in askers.iter_mut().enumerate() {
            let process = ProcessId { name: format!("e{index}").into(), incarnation: 1 };
            asker.limits().step(now, HubChoice::Peer(address), period);
            root.limits().note_group(now, &process, 1, Duration::ZERO);
            let report = asker.limits().report(now);
            let answer =
                root.limits().answer(now, 0, &process, report.as_ref(), true, Duration::ZERO);
            let told = (root.limits().fleet(now), true);
            let hub = HubChoice::Peer(address);
            asker.limits().apply_answer(now, 0, hub, now, answer.as_ref(), told);
        }
    }

    /// Lets each entry place `count` requests, which end at once.
    fn place(&mut self, count: usize) {
        for table in &mut self.entries {
            for _ in 0..count {
                let choice = table.choose(self.now, &request(), &[]).unwrap();
                let is_cold = &*choice.name == "cold";
                let mut ticket = table.sent(self.now, choice.endpoint, &request());
                if is_cold {
                    self.sent.push(self.now);
                    table.ended(&mut ticket);
                } else {
                    // The other endpoint is kept busier, so that all want to go to the first one.
                    self.elsewhere += 1;
                }
            }
        }
    }

    /// Returns the most requests to the endpoint that warms up in any second.
    fn most_a_second(&self) -> usize {
        let until = |from: &TimePoint| *from + Duration::from_secs(1);
        let counts = self
            .sent
            .iter()
            .map(|from| self.sent.iter().filter(|at| *at >= from && **at < until(from)).count());
        counts.max().unwrap_or(0)
    }
}

fn allowed() -> usize {
    (ALLOWANCE.ratio * TOLERATED + ALLOWANCE.slack) as usize
}

/// Guards against a fleet that floods an endpoint right after its start, at any number of entries:
/// a burst in which all entries prefer the endpoint.
#[test]
fn a_fleet_of_any_size_keeps_to_what_an_endpoint_tolerates_while_it_warms_up() {
    for entries in [1, 5, 25, 100] {
        let mut fleet = SmallFleet::new(entries);
        for table in &mut fleet.entries {
            let key = table.key("cold").unwrap();
            table.note_warmup(fleet.now, key, Duration::from_secs(6));
        }
        for _ in 0..30 {
            fleet.exchange();
            fleet.place(2);
        }
        let most = fleet.most_a_second();
        assert!(most <= allowed(), "{most} requests in a second from {entries} entries");
        // An endpoint that is left idle warms up as slowly as before.
        assert!(fleet.sent.len() >= 20, "{} requests from {entries} entries", fleet.sent.len());
    }
}

/// Guards against a limit that outlives the warm-up, or that holds where none is configured.
#[test]
fn an_endpoint_that_is_warm_has_no_limit() {
    let mut fleet = SmallFleet::new(4);
    let key = fleet.entries[0].key("cold").unwrap();
    fleet.entries[0].note_warmup(fleet.now, key, Duration::from_secs(2));
    assert!(fleet.entries[0].is_warming_up(fleet.now, key));
    fleet.entries[0].note_warmup(fleet.now, key, Duration::ZERO);
    assert!(!fleet.entries[0].is_warming_up(fleet.now, key));
    fleet.place(100);
    assert!(fleet.most_a_second() > allowed());
    fleet.entries[1].note_warmup(fleet.now, key, Duration::from_secs(2));
    fleet.entries[1].set_warmups([].into());
    assert!(!fleet.entries[1].is_warming_up(fleet.now, key));
}

/// Guards against a rush of all entries to an endpoint that could not be reached and has come back,
/// before the store tells that it warms up.
#[test]
fn an_endpoint_that_comes_back_is_presumed_to_warm_up() {
    let mut fleet = SmallFleet::new(25);
    for table in &mut fleet.entries {
        let key = table.key("cold").unwrap();
        table.note_unreached(fleet.now, key, Duration::from_millis(1));
    }
    for _ in 0..4 {
        fleet.exchange();
    }
    for round in 0..20 {
        fleet.exchange();
        for table in &mut fleet.entries {
            let key = table.key("cold").unwrap();
            let choice = table.choose(fleet.now, &request(), &[]).unwrap();
            if choice.endpoint == key && table.may_send(fleet.now, &choice, Some(5)) {
                fleet.sent.push(fleet.now);
                table.note_reached(fleet.now, key);
            }
        }
        assert!(round > 0 || fleet.sent.len() <= allowed());
    }
    let most = fleet.most_a_second();
    assert!(most <= allowed(), "{most} requests in a second");
    assert!(!fleet.sent.is_empty());
}

/// Guards against a limit from figures that no endpoint has.
#[test]
fn impossible_figures_state_no_limit_or_a_usable_one() {
    let spans = [Duration::ZERO, Duration::from_secs(3), Duration::MAX];
    let figures = [f64::NAN, f64::NEG_INFINITY, -1.0, 0.0, 1e-9, 1.0, 1e300, f64::INFINITY];
    for span in spans {
        for per_second in figures {
            for ratio in figures {
                let allowance = WarmupAllowance { ratio, slack: ratio };
                let limit = WarmupLimit::new(span, per_second, allowance);
                let is_stated = per_second > 0.0 && !span.is_zero();
                assert_eq!(limit.is_some(), is_stated, "{span:?} {per_second} {ratio}");
                let mut table = PlacementTable::new("a");
                table.set_warmups(limit.map(|limit| ("app".into(), limit)).into_iter().collect());
                let key = table.put(endpoint("cold"));
                table.note_warmup(START, key, span);
                table.limits().step(START, HubChoice::Own, Duration::from_millis(EXCHANGE_MS));
                let _ = table.choose(START, &request(), &[]);
            }
        }
    }
}
