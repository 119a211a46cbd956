//! Guards against running a request with an `Idempotency-Key` twice.
//!
//! That can happen when entries crash and when the log delays or repeats appended records, so that
//! an entry sends a request without holding its claim.

mod naive_control;

use std::{collections::BTreeMap, time::Duration};

use naive_control::SeededRng;
use pimentorock_kernel::{
    control::{ClaimDecision, ClaimEvent, ClaimTable, ClaimTracker, RepeatAnswer, claim_key},
    ids::{ProcessId, RequestId},
    record::{ClaimOutcome, StateRecord},
    time::TimePoint,
};

const RETENTION: Duration = Duration::from_secs(1_000);

/// Fault injected into the entries; the test must detect each.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// An entry sends the request before its claim is read back.
    SendsBeforeClaimRead,
    /// An entry sends an abandoned attempt when the log contains its claim.
    SendsAbandoned,
}

fn entry(index: usize) -> ProcessId {
    ProcessId { name: format!("e{index}").into(), incarnation: 1 }
}

/// Returns the outcome of a claim by reading the whole log.
///
/// `None` means that there is no claim, `Some(None)` that the claim has no outcome yet.
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
                    *end = Some(settled.outcome.clone());
                }
                _ => {}
            },
            _ => {}
        }
    }
    claim.map(|(.., end)| end)
}

/// Sends repeats of two requests through three entries.
///
/// Returns how often each request ran, or an error if a caller was told that its request did not
/// run although it ran or could still run.
fn run_session(seed: u64, fault: Fault) -> Result<BTreeMap<Box<str>, u32>, String> {
    let mut rng = SeededRng::new(seed);
    let mut trackers: Vec<_> =
        (0..3).map(|index| ClaimTracker::new(entry(index), RETENTION)).collect();
    let mut read = [0; 3];
    let mut up = [true; 3];
    let mut log: Vec<(u64, StateRecord)> = Vec::new();
    let mut network: Vec<StateRecord> = Vec::new();
    let mut attempts: BTreeMap<RequestId, (usize, Box<str>)> = BTreeMap::new();
    let mut sent: BTreeMap<RequestId, bool> = BTreeMap::new();
    let mut abandoned: Vec<RequestId> = Vec::new();
    let mut runs: BTreeMap<Box<str>, u32> = BTreeMap::new();
    let keys = [claim_key("t/a", "k"), claim_key("t/b", "k")];
    for step in 0..200_u64 {
        let now = TimePoint::from_millis(step * 1_000);
        let index = rng.below(3) as usize;
        let is_alive =
            |process: &ProcessId| (0..3).any(|other| up[other] && entry(other) == *process);
        match rng.below(8) {
            0 if up[index] => {
                let (key, attempt) = (rng.pick(&keys).clone(), RequestId(step.into()));
                let decision = trackers[index].begin(&key, attempt, 7, !rng.one_in(6), is_alive);
                if decision == ClaimDecision::Wait {
                    attempts.insert(attempt, (index, key.clone()));
                    if fault == Fault::SendsBeforeClaimRead {
                        *runs.entry(key).or_default() += 1;
                        sent.insert(attempt, true);
                    }
                }
            }
            1 if up[index] => network.extend(trackers[index].next_appends(now)),
            2 | 3 if !network.is_empty() => {
                let at = rng.below(network.len() as u64) as usize;
                let record = network[at].clone();
                if !rng.one_in(4) {
                    network.swap_remove(at);
                }
                log.push((step * 1_000, record));
            }
            4 | 5 if up[index] => {
                for (at, record) in &log[read[index]..] {
                    let event = trackers[index].read(*at, record, is_alive);
                    if let Some(ClaimEvent::Won { attempt }) = event {
                        if abandoned.contains(&attempt) {
                            return Err("an attempt won its claim after it was abandoned".into());
                        }
                        let runs_now = rng.below(4) != 0;
                        sent.insert(attempt, runs_now);
                        *runs.entry(attempts[&attempt].1.clone()).or_default() +=
                            u32::from(runs_now);
                    }
                    if let (Fault::SendsAbandoned, StateRecord::ClaimOpened(opened)) =
                        (fault, record)
                        && abandoned.contains(&opened.attempt)
                    {
                        return Err(
                            "a request ran although its caller was told that it did not run".into(),
                        );
                    }
                }
                read[index] = log.len();
            }
            6 => {
                let ended = sent.iter().find(|(attempt, _)| up[attempts[attempt].0]);
                if let Some((&attempt, &ran)) = ended {
                    let (owner, key) = &attempts[&attempt];
                    let completed = ClaimOutcome::Completed { status: 200, digest: "d".into() };
                    let end = match (ran, rng.below(3)) {
                        (false, _) => ClaimOutcome::NotRun,
                        (true, 0) => ClaimOutcome::Unknown,
                        (true, _) => completed,
                    };
                    trackers[*owner].settle(key, attempt, end);
                    sent.remove(&attempt);
                }
            }
            7 if rng.one_in(8) => up[index] = up.iter().filter(|&&up| up).count() == 1,
            7 => {
                let waiting = attempts.keys().rfind(|attempt| !sent.contains_key(attempt));
                if let Some(&attempt) = waiting.filter(|_| rng.one_in(3))
                    && trackers[attempts[&attempt].0].give_up(attempt)
                {
                    abandoned.push(attempt);
                }
            }
            _ => {}
        }
        let mut table = ClaimTable::new(RETENTION);
        for (at, record) in &log {
            table.apply(*at, record);
        }
        for key in &keys {
            let claim = table.claim(key).map(|state| state.outcome.clone());
            assert_eq!(claim, naive_claim(&log, key), "seed {seed}, step {step}");
        }
    }
    Ok(runs)
}

#[test]
fn a_request_runs_at_most_once_despite_crashes_and_repeats() {
    let mut ran = 0;
    for seed in 0..150 {
        let runs = run_session(seed, Fault::None).unwrap();
        assert!(runs.values().all(|&count| count <= 1), "seed {seed}: {runs:?}");
        ran += runs.len();
    }
    assert!(ran > 100, "{ran} requests ran, expected more than 100");
    let repeated = (0..150).filter(|&seed| {
        run_session(seed, Fault::SendsBeforeClaimRead).unwrap().values().any(|&count| count > 1)
    });
    assert!(
        repeated.count() > 20,
        "too few seeds detect a request that is sent before its claim is read back"
    );
    let wrong_answers = (0..150).filter(|&seed| run_session(seed, Fault::SendsAbandoned).is_err());
    assert!(
        wrong_answers.count() > 5,
        "too few seeds detect a caller that is told that its request did not run"
    );
}

#[test]
fn a_repeat_is_answered_by_the_outcome_of_the_first_attempt() {
    let completed = ClaimOutcome::Completed { status: 200, digest: "d".into() };
    let held = RepeatAnswer::Held { owner: entry(0), status: 200, digest: "d".into() };
    let gone = RepeatAnswer::Gone { status: 200, digest: "d".into() };
    let open = RepeatAnswer::InProgress { owner: entry(0) };
    let repeat = |answer| ClaimDecision::Repeat(answer);
    // Outcome of the first attempt, whether its entry is alive, fingerprint of the repeat, answer.
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
    for (end, is_alive, fingerprint, expected) in cases {
        let mut first = ClaimTracker::new(entry(0), RETENTION);
        let mut second = ClaimTracker::new(entry(1), RETENTION);
        first.begin(&key, RequestId(1), 7, true, |_| true);
        let mut relay = |first: &mut ClaimTracker| {
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
        let decision = second.begin(&key, RequestId(2), fingerprint, true, |_| is_alive);
        assert_eq!(decision, expected, "{end:?}, owner alive: {is_alive}");
        let other = claim_key("t/b", "k");
        let decision = second.begin(&other, RequestId(3), 7, false, |_| is_alive);
        assert_eq!(decision, ClaimDecision::NotRun, "a claim needs the log");
    }
}
