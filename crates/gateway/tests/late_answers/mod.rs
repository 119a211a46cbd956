//! Answers of the store that arrive late or are cut, and what an entry calls current after them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use pimentorock_kernel::{hub::HubChoice, log_position::LogPosition, time::TimePoint};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    copy_messages::{CopyQuestion, CopyState},
    follow,
    peer_messages::state,
    state::GatewayState,
    store::{LogRead, RecordBatch, StoreError, StoreRecord, StoreTopic},
};

/// Time that an answer spends on its way.
const TRANSIT: Duration = Duration::from_millis(400);

fn record(offset: u64) -> StoreRecord {
    StoreRecord { offset, key: "config".into(), value: None }
}

/// Follows the configuration in a store whose answer number `n` to a read, from 0, is `answers[n]`, after a
/// time for which the read waits and a time on the way; returns how much later than the last answer was given
/// the configuration counts as current. The list of the newest records ends at offset 1 when it is first read;
/// after that it is `newest`.
async fn overstated(
    answers: &[(Duration, Duration, RecordBatchForm)],
    newest: NewestForm,
) -> (Arc<GatewayState>, Duration) {
    let mut state = state();
    let (answers, count) = (answers.to_vec(), answers.len());
    let reads = Arc::new(AtomicUsize::new(0));
    // Time at which the answer that is on its way was given, in microseconds.
    let given = Arc::new(AtomicUsize::new(0));
    let (counted, noted) = (Arc::clone(&reads), Arc::clone(&given));
    let lists = AtomicUsize::new(0);
    state.store.newest = Box::new(move |_| {
        let is_first = lists.fetch_add(1, Ordering::SeqCst) == 0;
        let list = |end, records| Ok(RecordBatch { end, records, era: 0 });
        let answer = match newest {
            _ if is_first => list(1, vec![record(0)]),
            NewestForm::Refused => Err(StoreError::Refused(503)),
            NewestForm::Usable => list(10, vec![record(9)]),
            NewestForm::Odd => list(10, vec![StoreRecord { key: "odd".into(), ..record(9) }]),
        };
        Box::pin(async move { answer })
    });
    state.store.read = Box::new(move |LogRead { from, .. }| {
        let (counted, noted) = (Arc::clone(&counted), Arc::clone(&noted));
        let number = counted.fetch_add(1, Ordering::SeqCst);
        let answer = answers.get(number).copied();
        Box::pin(async move {
            let Some((wait, transit, form)) = answer else {
                std::future::pending::<()>().await;
                unreachable!()
            };
            sleep(wait).await;
            noted.store(clock::now().as_micros() as usize, Ordering::SeqCst);
            sleep(transit).await;
            let (end, count) = match form {
                RecordBatchForm::Empty => (from, 0),
                RecordBatchForm::Whole => (from + 2, 2),
                RecordBatchForm::Cut => (from + 9, 2),
            };
            let records = (from..from + count).map(record).collect();
            Ok(RecordBatch { era: 0, end, records })
        })
    });
    let state = Arc::new(state);
    assert_eq!(state.roster().hub(clock::now()), HubChoice::Own);
    // Only the configuration limits how current the copy is.
    let later = clock::now() + Duration::from_secs(1_000);
    state.view().note_read(clock::now(), StoreTopic::Endpoints, later);
    let stop = CancellationToken::new();
    let following = tokio::spawn(follow::follow_config(Arc::clone(&state), stop.clone()));
    // The last read is sent once the answer before it is applied.
    while reads.load(Ordering::SeqCst) <= count {
        sleep(Duration::from_millis(5)).await;
    }
    let given_at = TimePoint::from_micros(given.load(Ordering::SeqCst) as u64);
    let overstated = state.view().follower.current_at().since(given_at);
    stop.cancel();
    following.abort();
    (state, overstated)
}

/// The list of the newest records.
#[derive(Clone, Copy)]
enum NewestForm {
    Refused,
    /// The list holds a configuration, at offset 9.
    Usable,
    /// The list holds none that can be used.
    Odd,
}

/// What an answer holds.
#[derive(Clone, Copy)]
enum RecordBatchForm {
    Empty,
    Whole,
    /// The topic has more records than the answer.
    Cut,
}

const NOTHING: Duration = Duration::ZERO;
const WAIT: Duration = Duration::from_millis(500);
const HALF: Duration = Duration::from_millis(250);

/// The read after the first list does not wait.
const FIRST: (Duration, Duration, RecordBatchForm) = (NOTHING, NOTHING, RecordBatchForm::Empty);

/// Guards against a copy that counts as current at the arrival of an answer that was long on its way.
#[tokio::test]
async fn an_answer_that_arrives_late_counts_from_the_time_at_which_it_was_given() {
    let (_, empty) =
        overstated(&[FIRST, (WAIT, TRANSIT, RecordBatchForm::Empty)], NewestForm::Refused).await;
    let (_, whole) =
        overstated(&[FIRST, (HALF, TRANSIT, RecordBatchForm::Whole)], NewestForm::Refused).await;
    let allowed = Duration::from_millis(60);
    assert!(empty < allowed && whole < allowed, "{empty:?}, {whole:?}");
}

/// Guards against a copy that counts as current though records are left in the store.
#[tokio::test]
async fn an_answer_that_is_cut_at_its_limit_makes_no_copy_current() {
    let started = clock::now();
    let cut = [(HALF, NOTHING, RecordBatchForm::Cut), (HALF, NOTHING, RecordBatchForm::Cut)];
    let (state, _) = overstated(&cut, NewestForm::Refused).await;
    let current_at = state.view().follower.current_at();
    assert!(current_at.since(started) < HALF, "{:?}", current_at.since(started));
    assert_eq!(state.view().config_version(), Some(4));
}

/// Guards against a reader that receives each version of the configuration since its last read.
#[tokio::test]
async fn the_newest_configuration_is_read_in_place_of_a_backlog() {
    let sent_at = clock::now() + HALF;
    let (state, _) = overstated(&[(HALF, NOTHING, RecordBatchForm::Cut)], NewestForm::Usable).await;
    assert_eq!(state.view().config_version(), Some(9));
    let next = state.view().next_position(StoreTopic::Config);
    assert_eq!(next, Some(LogPosition { era: 0, offset: 10 }));
    assert!(state.view().follower.current_at() >= sent_at);
}

/// Guards against configurations that are lost as the newest record cannot be used.
#[tokio::test]
async fn a_backlog_is_read_on_if_its_newest_record_cannot_be_used() {
    let answers = [(HALF, NOTHING, RecordBatchForm::Cut), (NOTHING, HALF, RecordBatchForm::Whole)];
    let (state, _) = overstated(&answers, NewestForm::Odd).await;
    assert_eq!(state.view().config_version(), Some(4));
    let next = state.view().next_position(StoreTopic::Config);
    assert_eq!(next, Some(LogPosition { era: 0, offset: 5 }));
}

/// Guards against an order to evacuate that the store has lost and that stays in force at a new reader.
#[tokio::test]
async fn no_position_is_claimed_while_the_store_may_have_lost_an_order() {
    let state = state();
    let list = |era, records| RecordBatch { era, end: 5, records };
    let order = StoreRecord { key: "evacuate/a".into(), value: Some("x".into()), ..record(1) };
    state.note_era(1, "store");
    state.apply_evacuations(&list(1, vec![order]), true);
    state.apply_record(StoreTopic::Config, &record(2), "store");
    state.view().advance(StoreTopic::Config, LogPosition { era: 1, offset: 5 }, true);
    assert!(state.copy_for(&CopyState::default()).claim.is_some());

    state.note_era(2, "store");
    state.apply_evacuations(&list(2, Vec::new()), true);
    state.view().advance(StoreTopic::Config, LogPosition { era: 2, offset: 5 }, true);
    assert!(state.copy_for(&CopyState::default()).claim.is_none());
    let later = clock::now() + Duration::from_secs(60);
    state.evacuations().expire(later);
    assert!(state.copy_for(&CopyState::default()).claim.is_some());
}

/// Guards against news that an entry keeps to itself until another part of its copy is read.
#[tokio::test]
async fn a_newer_configuration_is_passed_on_though_the_copy_as_a_whole_is_older() {
    let state = state();
    state.apply_record(StoreTopic::Config, &record(9), "store");
    state.view().advance(StoreTopic::Config, LogPosition { era: 0, offset: 10 }, false);
    let own = state.copy_state();
    let known = CopyState { store_age_ms: 0, config_version: Some(4), ..own.clone() };
    assert!(own.store_age_ms > known.store_age_ms);
    let asker = state.copy_question(false);
    let answer = state.answer_copy_question(&CopyQuestion { state: known, ..asker.clone() });
    assert!(answer.config.held.is_some() && answer.claim.is_some());
    let same = state.answer_copy_question(&CopyQuestion { state: own, ..asker });
    assert_eq!((same.config.held, same.endpoints, same.evacuations), (None, None, None));
}
