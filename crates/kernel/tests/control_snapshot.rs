//! Recovery of state from a snapshot, and the choice of the process that appends a snapshot.

mod naive_control;

use std::time::Duration;

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{
        LeaseTable, ORDER_LEASE, OrderLimits, SnapshotLimits, SnapshotSchedule, StateOutcome,
        StateReplay, UsageLedger,
    },
    ids::{FencingNumber, ProcessId, RequestId},
    record::{
        ClaimOpened, ClaimOutcome, ClaimSettled, LeaseClaim, LeaseEvidence, LeaseRenewal,
        OrderIntent, OrderOutcome, OrderSettled, OrderVerb, StateRecord, StateSnapshot, UsageBatch,
        UsageCounts, UsageFence, UsageLine,
    },
    time::TimePoint,
};

const RETENTION: Duration = Duration::from_secs(40);

fn process(index: u64) -> ProcessId {
    ProcessId { name: format!("p{index}").into(), incarnation: 1 }
}

fn replay() -> StateReplay {
    StateReplay::new(process(9), OrderLimits::default(), RETENTION)
}

/// Returns a random record that often, but not always, has an effect on `leases` and `usage`.
fn random_record(
    rng: &mut SeededRng,
    offset: u64,
    leases: &LeaseTable,
    usage: &UsageLedger,
) -> StateRecord {
    let state = leases.lease(ORDER_LEASE);
    let fencing = state.map_or(FencingNumber(0), |state| state.fencing);
    let index = rng.below(3);
    match rng.below(9) {
        0 => StateRecord::LeaseClaim(LeaseClaim {
            lease: ORDER_LEASE.into(),
            holder: process(index),
            sequence: offset,
            seen: state.map(|state| state.last).filter(|_| !rng.one_in(4)),
            term_ms: 6_000,
            evidence: LeaseEvidence::Lapsed,
        }),
        1 => StateRecord::LeaseRenewal(LeaseRenewal {
            lease: ORDER_LEASE.into(),
            holder: process(index),
            sequence: offset,
            fencing,
        }),
        2 => StateRecord::OrderIntent(OrderIntent {
            id: format!("o{}", rng.below(20)).into(),
            sender: process(index),
            fencing,
            verb: OrderVerb::Start,
            endpoint: "g1".into(),
            domain: "d1".into(),
        }),
        3 => StateRecord::OrderSettled(OrderSettled {
            id: format!("o{}", rng.below(20)).into(),
            outcome: OrderOutcome::Done,
        }),
        4 => StateRecord::UsageBatch(UsageBatch {
            agent: process(index),
            sequence: offset / 8,
            lines: vec![UsageLine {
                window: offset / 20,
                account: format!("t/{}", rng.below(3)).into(),
                counts: UsageCounts { requests: 1, prompt_tokens: 7, output_tokens: offset },
            }],
            covered: Vec::new(),
        }),
        5 if rng.one_in(4) => {
            StateRecord::UsageFence(UsageFence { agent: process(index), by: process(9) })
        }
        6 => usage.close(offset / 20, fencing).unwrap_or_else(|| usage.reported(0, fencing)),
        7 => StateRecord::ClaimSettled(ClaimSettled {
            key: format!("k{}", rng.below(9)).into(),
            attempt: RequestId(rng.below(30).into()),
            outcome: if rng.one_in(2) { ClaimOutcome::NotRun } else { ClaimOutcome::Unknown },
        }),
        _ => StateRecord::ClaimOpened(ClaimOpened {
            key: format!("k{}", rng.below(9)).into(),
            owner: process(index),
            attempt: RequestId(rng.below(30).into()),
            fingerprint: 7,
        }),
    }
}

/// Replays a random log completely, and from a snapshot that `corrupt` changes. Returns the final
/// snapshots of both replays.
fn session(seed: u64, corrupt: fn(&mut StateSnapshot)) -> [StateSnapshot; 2] {
    let mut rng = SeededRng::new(seed);
    let (mut full, mut joined) = (replay(), replay());
    let cut = 80 + rng.below(70);
    for offset in 0..160 {
        let (now, at_ms) = (TimePoint::from_millis(offset * 1_000), offset * 1_000);
        let record = random_record(&mut rng, offset, full.leases(), full.usage());
        full.apply(now, offset, at_ms, &record, |_| true);
        if offset == cut {
            let text = serde_json::to_string(&full.snapshot()).unwrap();
            let mut snapshot: StateSnapshot = serde_json::from_str(&text).unwrap();
            corrupt(&mut snapshot);
            let record = StateRecord::Snapshot(Box::new(snapshot));
            let outcome = joined.apply(now, offset + 5, at_ms, &record, |_| true);
            assert_eq!(outcome, StateOutcome::Restored);
            assert_eq!(joined.next_offset(), cut + 1);
        } else if offset > 0 {
            let outcome = joined.apply(now, offset, at_ms, &record, |_| true);
            let gap = StateOutcome::Gap { expected: 0 };
            assert_eq!(outcome == gap, offset < cut, "seed {seed}, offset {offset}");
        }
    }
    [full.snapshot(), joined.snapshot()]
}

// Guards against a snapshot that leaves out state: a process that restores it and applies the later
// records would then differ from one that replays the whole log. The corrupted snapshots show that
// the random logs detect each missing part.
#[test]
fn a_snapshot_and_the_later_records_equal_the_full_replay() {
    for seed in 0..80 {
        let [full, joined] = session(seed, |_| {});
        assert_eq!(joined, full, "seed {seed}");
    }
    let corruptions: [fn(&mut StateSnapshot); 4] = [
        |snapshot| snapshot.leases.clear(),
        |snapshot| snapshot.settled_orders.clear(),
        |snapshot| snapshot.usage.runs.clear(),
        |snapshot| snapshot.claims.clear(),
    ];
    for (index, corrupt) in corruptions.into_iter().enumerate() {
        let differ = (0..80).filter(|&seed| {
            let [full, joined] = session(seed, corrupt);
            joined != full
        });
        assert!(differ.count() > 40, "too few logs detect a snapshot without part {index}");
    }
}

// Guards against a snapshot that all processes append at once, and against one that none appends
// because the first process in the ranking is gone.
#[test]
fn one_process_appends_a_snapshot_and_the_next_follows_after_ten_seconds() {
    let names = ["a", "b", "c", "d"];
    let limits = SnapshotLimits { records: 100, age: Duration::from_secs(600) };
    // Records since the last snapshot, seconds since the last snapshot, and whether a new one is
    // due.
    let cases =
        [(99, 1, false), (100, 1, true), (0, 5_000, false), (1, 599, false), (1, 600, true)];
    for (records, seconds, expected) in cases {
        let now = TimePoint::ZERO + Duration::from_secs(seconds);
        let due = |delay: u64| {
            let appends = |name: &&&str| {
                let mut schedule = SnapshotSchedule::new(limits, TimePoint::ZERO);
                schedule.note_snapshot(TimePoint::ZERO, 1_000);
                let live = || names.iter().copied();
                schedule.due(now, 1_000 + records, name, live());
                let later = now + Duration::from_secs(delay);
                schedule.due(later, 1_000 + records, name, live())
            };
            names.iter().filter(appends).count()
        };
        assert_eq!(due(0), usize::from(expected), "{records} records, {seconds} s");
        if expected {
            assert_eq!(
                (due(10), due(20), due(30)),
                (2, 3, 4),
                "one more process every ten seconds"
            );
        }
    }
}
