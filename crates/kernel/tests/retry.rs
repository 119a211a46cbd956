//! Tests of retry decisions against plain rules, and of the retry budget against a running balance.

use std::time::Duration;

use pimentorock_kernel::{
    reason::DecisionReason,
    request::RunOutcome,
    retry::{
        MAX_ATTEMPTS, MAX_UNREACHED, RETRY_RESERVE, RETRY_SHARE, RetryBudget, RetryCase,
        RetryDecision, decide,
    },
};
use quickcheck::{Arbitrary, Gen};

const OUTCOMES: [RunOutcome; 5] = [
    RunOutcome::Completed,
    RunOutcome::Cancelled,
    RunOutcome::NotRun,
    RunOutcome::Failed,
    RunOutcome::Lost,
];

/// Reports whether a request may be sent again, regardless of budget and deadline.
fn naive_allowed(case: &RetryCase) -> bool {
    let proved_not_run = case.outcome == RunOutcome::NotRun;
    let lost_and_idempotent = case.outcome == RunOutcome::Lost && case.idempotent;
    let failed_and_idempotent =
        case.outcome == RunOutcome::Failed && case.idempotent && case.retry_failures;
    (proved_not_run || lost_and_idempotent || failed_and_idempotent)
        && !case.answer_begun
        && case.attempts < MAX_ATTEMPTS
        && case.unreached < MAX_UNREACHED
}

#[test]
fn decisions_and_balance_match_a_naive_calculation() {
    for seed in 0..100 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let mut budget = RetryBudget::new();
        let mut ledger = RETRY_RESERVE;
        for step in 0..400 {
            if below(2) == 0 {
                budget.completed();
                ledger = (ledger + RETRY_SHARE).min(RETRY_RESERVE);
            }
            let case = RetryCase {
                outcome: OUTCOMES[below(5) as usize],
                idempotent: below(2) == 0,
                retry_failures: below(2) == 0,
                answer_begun: below(5) == 0,
                reached: below(4) > 0,
                attempts: 1 + below(u64::from(MAX_ATTEMPTS)) as u32,
                unreached: below(u64::from(MAX_UNREACHED) + 2) as u32,
                time_left: Duration::from_millis(below(4000)),
                needed: Duration::from_millis(below(1000)),
            };
            let decision = decide(&mut budget, &case, seed * 1000 + step);
            match &decision {
                RetryDecision::Retry { delay, .. } => {
                    ledger -= if case.reached { 1.0 } else { 0.0 };
                    assert!(naive_allowed(&case), "{case:?}");
                    assert!(*delay + case.needed <= case.time_left, "{case:?} after {delay:?}");
                    assert!(ledger >= -1e-9, "more retries than the budget allows");
                }
                RetryDecision::Stop { reason: DecisionReason::RetryBudgetSpent } => {
                    assert!(naive_allowed(&case) && ledger < 1.0, "{case:?}, {ledger}");
                    assert!(
                        case.reached,
                        "a retry without charge was refused for lack of budget: {case:?}"
                    );
                }
                RetryDecision::Stop { reason: DecisionReason::DeadlineUnreachable { .. } } => {
                    let latest = case.needed + Duration::from_millis(240);
                    assert!(naive_allowed(&case) && latest > case.time_left, "{case:?}");
                }
                RetryDecision::Stop { .. } => assert!(!naive_allowed(&case), "{case:?}"),
            }
            assert!((budget.balance() - ledger).abs() < 1e-6, "{} {ledger}", budget.balance());
        }
    }
}

#[test]
fn retries_stop_after_the_reserve_without_completions() {
    let mut budget = RetryBudget::new();
    let case = RetryCase {
        outcome: RunOutcome::NotRun,
        idempotent: false,
        retry_failures: false,
        answer_begun: false,
        reached: true,
        attempts: 1,
        unreached: 0,
        time_left: Duration::from_secs(10),
        needed: Duration::ZERO,
    };
    let retried =
        |seed: &u64| matches!(decide(&mut budget, &case, *seed), RetryDecision::Retry { .. });
    assert_eq!((0..10_000).filter(retried).count(), RETRY_RESERVE as usize);
}

#[test]
fn retries_after_unreached_attempts_are_free_and_immediate() {
    let mut budget = RetryBudget::with_limits(0.0, 0.0);
    let case = |reached, unreached| RetryCase {
        outcome: RunOutcome::NotRun,
        idempotent: false,
        retry_failures: false,
        answer_begun: false,
        reached,
        attempts: u32::from(reached),
        unreached,
        time_left: Duration::from_millis(10),
        needed: Duration::from_millis(8),
    };
    // With a third of the endpoints down, this many attempts let nearly all requests find one that
    // is up.
    for unreached in 1..MAX_UNREACHED {
        let expected =
            RetryDecision::Retry { delay: Duration::ZERO, reason: DecisionReason::ProvedNotRun };
        assert_eq!(decide(&mut budget, &case(false, unreached), 7), expected);
    }
    let stop = |decision| matches!(decision, RetryDecision::Stop { .. });
    assert!(stop(decide(&mut budget, &case(false, MAX_UNREACHED), 7)));
    assert!(
        stop(decide(&mut budget, &case(true, 0), 7)),
        "a retry after an attempt that reached an endpoint needs budget"
    );
}

#[test]
fn retry_delays_are_spread_evenly() {
    let mut buckets = [0; 10];
    for seed in 0..1000 {
        let mut budget = RetryBudget::new();
        let case = RetryCase {
            outcome: RunOutcome::Lost,
            idempotent: true,
            retry_failures: false,
            answer_begun: false,
            reached: true,
            attempts: 1,
            unreached: 0,
            time_left: Duration::from_secs(10),
            needed: Duration::ZERO,
        };
        let decision = decide(&mut budget, &case, seed);
        let RetryDecision::Retry { delay, .. } = decision else { panic!("{decision:?}") };
        let share = (delay.as_secs_f64() - 0.010) / 0.020;
        buckets[(share * 10.0) as usize] += 1;
    }
    assert!(buckets.iter().all(|&count| (60..150).contains(&count)), "{buckets:?}");
}

#[test]
fn new_limits_keep_the_balance_up_to_the_new_reserve() {
    let mut budget = RetryBudget::with_limits(0.5, 10.0);
    for _ in 0..4 {
        assert!(budget.try_spend());
    }
    budget.set_limits(0.5, 20.0);
    assert_eq!(budget.balance(), 6.0, "a larger reserve does not raise the balance");
    budget.set_limits(0.5, 2.0);
    assert_eq!(budget.balance(), 2.0);
    assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
}
