//! Replay of configuration and keys, compared with a reference implementation.

mod naive_control;

use std::time::Duration;

use naive_control::{SeededRng, config, config::BaseRule};
use pimentorock_kernel::{
    catalog::CatalogSpec,
    control::{ConfigReplay, ConfirmationClock, ConfirmationLimits, PeerFreshness, ReplayOutcome},
    record::{ChangeRefusal, ConfigChange, ConfigEdit, ConfigRecord, KeyCreated, KeyWithdrawn},
    time::TimePoint,
};
use serde_json::{Value, json};

const PATHS: [&str; 8] = [
    "/teams/a",
    "/teams/a/x",
    "/teams/a/y",
    "/teams/a/x/q",
    "/teams/b",
    "/teams/b/x",
    "/pool",
    "/pool/z",
];

/// Reports whether a tree is valid: it must not contain both `x` and `y` of team `a`.
fn valid(tree: &Value) -> bool {
    tree.pointer("/teams/a/x").is_none() || tree.pointer("/teams/a/y").is_none()
}

fn check(tree: &Value) -> Result<CatalogSpec, Box<str>> {
    if valid(tree) { Ok(CatalogSpec::default()) } else { Err("team \"a\" has x and y".into()) }
}

fn change(id: &str, base: u64, edits: &[(&str, Option<Value>)]) -> ConfigRecord {
    let edit = |(path, value): &(&str, Option<Value>)| ConfigEdit {
        path: (*path).into(),
        value: value.clone(),
    };
    let edits = edits.iter().map(edit).collect();
    ConfigRecord::Change(ConfigChange { change_id: id.into(), base, author: "ana".into(), edits })
}

fn created(hash: &str, account: &str) -> ConfigRecord {
    let (hash, account, label) = (hash.into(), account.into(), "till".into());
    ConfigRecord::KeyCreated(KeyCreated { hash, account, label })
}

fn withdrawn(hash: &str) -> KeyWithdrawn {
    KeyWithdrawn { hash: hash.into(), author: "ana".into() }
}

/// Returns a random log. Some records occur twice, as when a lost response makes a process append
/// again.
fn draw_log(rng: &mut SeededRng, length: u64) -> Vec<ConfigRecord> {
    let mut log: Vec<ConfigRecord> = Vec::new();
    for offset in 0..length {
        let record = match rng.below(10) {
            0 => created(&format!("k{}", rng.below(6)), rng.pick::<&str>(&["a/s", "b/t"])),
            1 => ConfigRecord::KeyWithdrawn(withdrawn(&format!("k{}", rng.below(6)))),
            2 if !log.is_empty() => rng.pick(&log).clone(),
            _ => {
                let count = 1 + rng.below(2);
                let edits: Vec<_> = (0..count)
                    .map(|_| {
                        let value = json!({ "n": rng.below(9) });
                        (*rng.pick(&PATHS), (!rng.one_in(4)).then_some(value))
                    })
                    .collect();
                change(&format!("c{offset}"), offset.saturating_sub(rng.below(6)), &edits)
            }
        };
        log.push(record);
    }
    log
}

fn summary(replay: &ConfigReplay, log: &[ConfigRecord]) -> config::NaiveConfig {
    let mut state = config::NaiveConfig { tree: replay.tree().clone(), ..Default::default() };
    state.revision = replay.revision();
    for record in log {
        if let ConfigRecord::Change(change) = record {
            let verdict = replay.verdict(&change.change_id).expect("each change has a verdict");
            state.accepted.insert(change.change_id.to_string(), verdict.refusal.is_none());
        }
    }
    for created in replay.keys().created() {
        if let Some(account) = replay.keys().account_of(&created.hash) {
            state.keys.insert(created.hash.to_string(), account.to_string());
        }
    }
    state
}

/// Delivers a log with skipped, repeated and reordered records, and sometimes restores the snapshot
/// of `peer`.
fn deliver(rng: &mut SeededRng, log: &[ConfigRecord], peer: &ConfigReplay) -> ConfigReplay {
    let mut replay = ConfigReplay::new(check).with_name("p");
    let mut revision = 0;
    while replay.next_offset() < log.len() as u64 {
        let next = replay.next_offset();
        let offset = match rng.below(6) {
            0 => rng.below(log.len() as u64),
            1 if rng.one_in(12) => {
                replay.restore(&peer.snapshot());
                continue;
            }
            2 => {
                replay.keys_mut().merge(&[withdrawn("k0")], TimePoint::ZERO);
                next
            }
            _ => next,
        };
        let outcome = replay.apply(offset, &log[offset as usize]);
        match offset.cmp(&next) {
            std::cmp::Ordering::Less => assert_eq!(outcome, ReplayOutcome::Ignored),
            std::cmp::Ordering::Equal => assert_eq!(replay.next_offset(), next + 1),
            std::cmp::Ordering::Greater => {
                assert_eq!(outcome, ReplayOutcome::Gap { expected: next });
            }
        }
        assert!(replay.revision() >= revision, "the revision decreased");
        revision = replay.revision();
    }
    replay
}

// Guards against verdicts that depend on the delivery: processes that receive the records with gaps
// and repeats, or restore a snapshot, would then disagree on the configuration. The wrong base
// rules show that the random logs contain enough conflicts to detect a wrong rule.
#[test]
fn gaps_and_repeats_in_the_delivery_do_not_change_the_verdicts() {
    let mut differs = [0, 0];
    for seed in 0..150 {
        let mut rng = SeededRng::new(seed);
        let mut log = draw_log(&mut rng, 60);
        log.push(ConfigRecord::KeyWithdrawn(withdrawn("k0")));
        let expected = config::replay(&log, BaseRule::Overlap, valid);
        let mut peer = ConfigReplay::new(check).with_name("q");
        let half = rng.below(60);
        log.iter().enumerate().take(half as usize).for_each(|(offset, record)| {
            peer.apply(offset as u64, record);
        });
        let replay = deliver(&mut rng, &log, &peer);
        assert_eq!(summary(&replay, &log), expected, "seed {seed}");
        for (count, rule) in differs.iter_mut().zip([BaseRule::WholeTree, BaseRule::None]) {
            *count += usize::from(config::replay(&log, rule, valid) != expected);
        }
    }
    assert!(
        differs.iter().all(|&count| count > 100),
        "too few logs detect a wrong base rule: {differs:?}"
    );
}

// Guards against a snapshot that leaves out state: a process that restores it and applies the later
// records would then differ from one that replays the whole log.
#[test]
fn a_snapshot_and_the_later_records_equal_the_full_replay() {
    for seed in 0..40 {
        let mut rng = SeededRng::new(seed);
        let log = draw_log(&mut rng, 50);
        let cut = rng.below(50) as usize;
        let mut full = ConfigReplay::new(check).with_name("p");
        let mut joined = ConfigReplay::new(check).with_name("p");
        for (offset, record) in log.iter().enumerate() {
            full.apply(offset as u64, record);
            if offset == cut {
                let record = ConfigRecord::Snapshot(Box::new(full.snapshot()));
                joined.apply(offset as u64 + 1, &record);
            } else if offset > cut {
                joined.apply(offset as u64, record);
            }
        }
        assert_eq!(joined.snapshot(), full.snapshot(), "seed {seed}");
    }
}

// Guards against applying a change twice: the verdict on the first change is dropped after 4096
// later ones, so its repetition is recognised only by its base below the floor.
#[test]
fn a_repeated_change_whose_verdict_was_dropped_is_refused() {
    let mut replay = ConfigReplay::new(check).with_name("p");
    let first = change("first", 0, &[("/pool", Some(json!(1)))]);
    replay.apply(0, &first);
    for offset in 1..=4096 {
        let edit = [("/teams/b", Some(json!(offset)))];
        replay.apply(offset, &change(&format!("c{offset}"), offset - 1, &edit));
    }
    assert_eq!(replay.verdict("first"), None);
    let outcome = replay.apply(4097, &first);
    let reason = ChangeRefusal::BaseTooOld { base: 0, floor: 1 };
    assert_eq!(outcome, ReplayOutcome::Refused { change_id: "first".into(), reason });
}

// Guards against a withdrawn key that becomes valid again because the record of its creation
// arrives after the withdrawal, and against a withdrawal that no process appends because the
// process that accepted it is gone.
#[test]
fn a_withdrawal_holds_in_any_order_and_other_processes_append_it_after_a_delay() {
    let mut replay = ConfigReplay::new(check).with_name("p");
    let start = TimePoint::from_millis(1_000);
    replay.apply(0, &created("k1", "a/s"));
    assert_eq!(replay.keys().account_of("k1"), Some("a/s"));
    assert_eq!(replay.keys_mut().merge(&[withdrawn("k1"), withdrawn("k2")], start).len(), 2);
    replay.apply(1, &created("k1", "a/s"));
    replay.apply(2, &created("k2", "a/s"));
    assert_eq!(replay.keys().account_of("k1"), None);
    assert_eq!(replay.keys().account_of("k2"), None);
    let mut peer = ConfigReplay::new(check).with_name("q");
    peer.restore(&replay.snapshot());
    assert_eq!(
        peer.keys().account_of("k1"),
        Some("a/s"),
        "the log does not hold the withdrawal yet"
    );
    peer.keys_mut().merge(&replay.keys().withdrawals_since(0), start);
    assert_eq!(peer.keys().digest(), replay.keys().digest());
    let up = start + Duration::from_secs(60);
    assert!(
        peer.keys().due_appends(up, up).is_empty(),
        "the process that accepted a withdrawal appends it first"
    );
    assert_eq!(peer.keys().due_appends(up + Duration::from_secs(40), up).len(), 2);
    peer.apply(3, &ConfigRecord::KeyWithdrawn(withdrawn("k1")));
    assert_eq!(peer.keys().due_appends(up + Duration::from_secs(40), up), [withdrawn("k2")]);
    assert!(peer.keys_mut().withdraw(withdrawn("k3"), up));
    assert_eq!(peer.keys().due_appends(up, up), [withdrawn("k3")]);
}

// Guards against accepting a withdrawn key in a process that hears of no withdrawals, and against
// refusing all keys while the log is down but most of the fleet is in contact.
#[test]
fn keys_are_accepted_only_with_recent_knowledge_of_withdrawals() {
    let second = |seconds| TimePoint::from_millis(seconds * 1_000);
    // A contact as (second, domain or "log", age in seconds of the peer's latest known read to the
    // end of the log, fraction of the fleet that the peer hears).
    type Contact = (u64, &'static str, Option<u64>, f64);
    let cases: [(&str, &[Contact], u64, bool); 10] = [
        ("no contact", &[], 1, false),
        ("log read", &[(10, "log", None, 0.0)], 15, true),
        ("the log read is too old and no peer was heard", &[(10, "log", None, 0.0)], 16, false),
        ("only a peer of the same failure domain", &[(10, "d1", None, 0.1)], 11, false),
        ("a peer that read the log", &[(10, "d1", Some(3), 0.1)], 12, true),
        ("the log read that the peer knows is too old", &[(10, "d1", Some(6), 0.1)], 11, false),
        ("a partition with two domains", &[(700, "d2", None, 0.4)], 701, true),
        ("a partition that lasts too long", &[(901, "d2", None, 0.4)], 902, false),
        (
            "the log is down and most of the fleet is heard",
            &[(9_000, "d2", None, 0.6)],
            9_002,
            true,
        ),
        ("a log read that is older than this process", &[(2, "d2", Some(5_000), 0.4)], 3, false),
    ];
    for (name, contacts, now, expected) in cases {
        let limits = ConfirmationLimits::default();
        let mut clock = ConfirmationClock::new(limits, "d1", TimePoint::ZERO);
        for &(at, domain, log_age, reach) in contacts {
            let log_age = log_age.map(Duration::from_secs);
            match domain {
                "log" => clock.log_read(second(at)),
                _ => clock.peer_heard(
                    second(at),
                    &PeerFreshness { domain: domain.into(), log_age, reach },
                ),
            }
        }
        assert_eq!(clock.may_accept(second(now)), expected, "{name}");
    }
}

// Guards against unintended changes of outcomes, refusal texts and the snapshot format.
#[test]
fn the_outcomes_and_the_snapshot_of_a_session_match_the_golden_file() {
    let log = [
        change("c0", 0, &[("/teams/a/x", Some(json!({"n": 1})))]),
        created("k1", "a/s"),
        change("c2", 1, &[("/teams/b", Some(json!({"n": 2})))]),
        change("c3", 1, &[("/teams/a/x/q", Some(json!(3)))]),
        change("c4", 1, &[("/teams", None)]),
        change("c5", 4, &[("/teams/a/y", Some(json!({})))]),
        change("c6", 9, &[("/pool", Some(json!({})))]),
        change("c7", 6, &[("pool", Some(json!({})))]),
        change("c8", 7, &[("/pool/absent", None)]),
        change("c2", 1, &[("/teams/b", Some(json!({"n": 2})))]),
        created("k1", "b/t"),
        ConfigRecord::KeyWithdrawn(withdrawn("k1")),
    ];
    let mut replay = ConfigReplay::new(check).with_name("p");
    let mut text = String::new();
    for (offset, record) in log.iter().enumerate() {
        let outcome = match replay.apply(offset as u64, record) {
            ReplayOutcome::Refused { change_id, reason } => {
                format!("{change_id} refused: {reason}")
            }
            other => format!("{other:?}"),
        };
        text += &format!("{offset}: {outcome}\n");
    }
    text += &format!("gap: {:?}\n", replay.apply(20, &log[0]));
    text += &serde_json::to_string_pretty(&replay.snapshot()).unwrap();
    insta::with_settings!({snapshot_path => "golden", prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("control_config_session", text);
    });
}
