//! At most once over entries that crash, and an append log that delays and repeats.

mod naive_control;

use std::{collections::BTreeMap, time::Duration};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{ClaimDecision, ClaimEvent, ClaimKeeper, ClaimTable, RepeatAnswer, claim_key},
    ids::{ProcessId, RequestId},
    record::{ClaimOutcome, StateRecord},
    time::TimePoint,
};

const RETENTION: Duration = Duration::from_secs(1_000);

/// What is wrong with the entries; each must be found.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The request is sent before its claim is read back.
    SendsUnread,
    /// An attempt that was given up is sent when its claim lands.
    SendsGivenUp,
}

fn entry(index: usize) -> ProcessId {
    ProcessId { name: format!("e{index}").into(), incarnation: 1 }
}

/// Looks a claim up by reading the whole log; `Some(None)` is one that has not ended.
fn naive_claim(log: &[(u64, StateRecord)], key: &str) -> Option<Option<ClaimOutcome>> {
    let mut claim: Option<(u64, RequestId, Option<ClaimOutcome>)> = None;
    for (at, record) in log {
        claim = claim.filter(|(opened, ..)| opened + RETENTION.as_millis() as u64 > *at);
        match record {
            StateRecord::ClaimOpened(opened) if &*opened.key == key => match &claim {
                None | Some((.., Some(ClaimOutcome::NotRun))) => {
                    claim = Some((*at, opened.attempt, None));
                }
                _ => {}
            },
            StateRecord::ClaimSettled(settled) if &*settled.key == key => match &mut claim {
                Some((_, attempt, end @ (None | Some(ClaimOutcome::Unknown))))
                    if *attempt == settled.attempt =>
                {
                    *end = Some(settled.end.clone());
                }
                _ => {}
            },
            _ => {}
        }
    }
    claim.map(|(.., end)| end)
}

/// Sends repeats of two requests through three entries; returns how often each ran, or a false
/// answer that a caller got.
fn session(seed: u64, fault: Fault) -> Result<BTreeMap<Box<str>, u32>, String> {
    let mut dice = SeededRng::new(seed);
    let mut keepers: Vec<_> =
        (0..3).map(|index| ClaimKeeper::new(entry(index), RETENTION)).collect();
    let mut read = [0; 3];
    let mut up = [true; 3];
    let mut log: Vec<(u64, StateRecord)> = Vec::new();
    let mut network: Vec<StateRecord> = Vec::new();
    let mut attempts: BTreeMap<RequestId, (usize, Box<str>)> = BTreeMap::new();
    let mut sent: BTreeMap<RequestId, bool> = BTreeMap::new();
    let mut given_up: Vec<RequestId> = Vec::new();
    let mut runs: BTreeMap<Box<str>, u32> = BTreeMap::new();
    let keys = [claim_key("t/a", "k"), claim_key("t/b", "k")];
    for step in 0..200_u64 {
        let now = TimePoint::from_millis(step * 1_000);
        let index = dice.below(3) as usize;
        let lives = |process: &ProcessId| (0..3).any(|other| up[other] && entry(other) == *process);
        match dice.below(8) {
            0 if up[index] => {
                let (key, attempt) = (dice.pick(&keys).clone(), RequestId(step.into()));
                let decision = keepers[index].begin(&key, attempt, 7, !dice.one_in(6), lives);
                if decision == ClaimDecision::Wait {
                    attempts.insert(attempt, (index, key.clone()));
                    if fault == Fault::SendsUnread {
                        *runs.entry(key).or_default() += 1;
                        sent.insert(attempt, true);
                    }
                }
            }
            1 if up[index] => network.extend(keepers[index].next_appends(now)),
            2 | 3 if !network.is_empty() => {
                let at = dice.below(network.len() as u64) as usize;
                let record = network[at].clone();
                if !dice.one_in(4) {
                    network.swap_remove(at);
                }
                log.push((step * 1_000, record));
            }
            4 | 5 if up[index] => {
                for (at, record) in &log[read[index]..] {
                    let event = keepers[index].read(*at, record, lives);
                    if let Some(ClaimEvent::Won { attempt }) = event {
                        if given_up.contains(&attempt) {
                            return Err("a request was won after it was given up".into());
                        }
                        let runs_now = dice.below(4) != 0;
                        sent.insert(attempt, runs_now);
                        *runs.entry(attempts[&attempt].1.clone()).or_default() +=
                            u32::from(runs_now);
                    }
                    if let (Fault::SendsGivenUp, StateRecord::ClaimOpened(opened)) = (fault, record)
                        && given_up.contains(&opened.attempt)
                    {
                        return Err("a request ran whose caller was told that it did not".into());
                    }
                }
                read[index] = log.len();
            }
            6 => {
                let ended = sent.iter().find(|(attempt, _)| up[attempts[attempt].0]);
                if let Some((&attempt, &ran)) = ended {
                    let (owner, key) = &attempts[&attempt];
                    let completed = ClaimOutcome::Completed { status: 200, digest: "d".into() };
                    let end = match (ran, dice.below(3)) {
                        (false, _) => ClaimOutcome::NotRun,
                        (true, 0) => ClaimOutcome::Unknown,
                        (true, _) => completed,
                    };
                    keepers[*owner].settle(key, attempt, end);
                    sent.remove(&attempt);
                }
            }
            7 if dice.one_in(8) => up[index] = up.iter().filter(|&&up| up).count() == 1,
            7 => {
                let waiting = attempts.keys().rfind(|attempt| !sent.contains_key(attempt));
                if let Some(&attempt) = waiting.filter(|_| dice.one_in(3))
                    && keepers[attempts[&attempt].0].give_up(attempt)
                {
                    given_up.push(attempt);
                }
            }
            _ => {}
        }
        let mut table = ClaimTable::new(RETENTION);
        for (at, record) in &log {
            table.apply(*at, record);
        }
        for key in &keys {
            let claim = table.claim(key).map(|state| state.end.clone());
            assert_eq!(claim, naive_claim(&log, key), "seed {seed}, step {step}");
        }
    }
    Ok(runs)
}

#[test]
fn a_request_runs_at_most_once_over_crashes_and_repeats() {
    let mut ran = 0;
    for seed in 0..150 {
        let runs = session(seed, Fault::None).unwrap();
        assert!(runs.values().all(|&count| count <= 1), "seed {seed}: {runs:?}");
        ran += runs.len();
    }
    assert!(ran > 100, "only {ran} requests ran");
    let doubled = (0..150).filter(|&seed| {
        session(seed, Fault::SendsUnread).unwrap().values().any(|&count| count > 1)
    });
    assert!(doubled.count() > 20, "a request sent before its claim went unseen");
    let untrue = (0..150).filter(|&seed| session(seed, Fault::SendsGivenUp).is_err());
    assert!(untrue.count() > 5, "a false answer went unseen");
}

#[test]
fn each_repeat_gets_one_of_the_first_answers() {
    let completed = ClaimOutcome::Completed { status: 200, digest: "d".into() };
    let held = RepeatAnswer::Held { owner: entry(0), status: 200, digest: "d".into() };
    let gone = RepeatAnswer::Gone { status: 200, digest: "d".into() };
    let open = RepeatAnswer::InProgress { owner: entry(0) };
    let repeat = |answer| ClaimDecision::Repeat(answer);
    // End of the first attempt, whether its entry lives, the repeat's body, and the answer.
    let cases = [
        (None, true, 7, repeat(open)),
        (None, false, 7, repeat(RepeatAnswer::OutcomeUnknown)),
        (Some(completed.clone()), true, 7, repeat(held)),
        (Some(completed.clone()), false, 7, repeat(gone)),
        (Some(completed), true, 8, repeat(RepeatAnswer::Mismatch)),
        (Some(ClaimOutcome::Unknown), true, 7, repeat(RepeatAnswer::OutcomeUnknown)),
        (Some(ClaimOutcome::NotRun), true, 7, ClaimDecision::Wait),
    ];
    let key = claim_key("t/a", "k");
    for (end, lives, fingerprint, expected) in cases {
        let mut first = ClaimKeeper::new(entry(0), RETENTION);
        let mut second = ClaimKeeper::new(entry(1), RETENTION);
        first.begin(&key, RequestId(1), 7, true, |_| true);
        let mut relay = |first: &mut ClaimKeeper| {
            for record in first.next_appends(TimePoint::ZERO) {
                first.read(5, &record, |_| true);
                second.read(5, &record, |_| true);
            }
        };
        relay(&mut first);
        if let Some(end) = end.clone() {
            first.settle(&key, RequestId(1), end);
            relay(&mut first);
        }
        let decision = second.begin(&key, RequestId(2), fingerprint, true, |_| lives);
        assert_eq!(decision, expected, "{end:?}, owner lives: {lives}");
        let other = claim_key("t/b", "k");
        let decision = second.begin(&other, RequestId(3), 7, false, |_| lives);
        assert_eq!(decision, ClaimDecision::NotRun, "the log is down");
    }
}
