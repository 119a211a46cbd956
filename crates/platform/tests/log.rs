//! The appender and the reader of the log against a fake log with scripted faults.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{AppendFault, FakeLog};
use pimentorock_platform::{
    append_budget::AppendBudget, backoff::RetryBackoff, envelope::RecordEnvelope,
    error::PlatformError, log_appender::LogAppender, log_client::LogClient, log_reader::LogReader,
    read_event::ReadEvent,
};
use quickcheck::{Arbitrary, Gen};
use tokio_util::sync::CancellationToken;

const STREAM: &str = "state";

/// Call timeout that no call exceeds, even on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Call timeout for tests in which calls get no answer. Other calls may exceed it too, so such
/// tests must accept a second copy of any record.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

fn client(fake: &FakeLog, timeout: Duration) -> LogClient {
    LogClient::new(reqwest::Client::new(), &fake.url, STREAM).with_timeout(timeout)
}

fn short_backoff() -> RetryBackoff {
    RetryBackoff::new(Duration::from_millis(1), Duration::from_millis(4))
}

fn budget(max_records: usize) -> AppendBudget {
    AppendBudget { interval: Duration::ZERO, max_records, ..AppendBudget::default() }
}

fn reader(fake: &FakeLog, from: u64) -> LogReader<u64> {
    LogReader::new(client(fake, LONG_TIMEOUT), from)
        .with_wait(Duration::ZERO)
        .with_backoff(short_backoff())
}

/// Returns the events up to the first [`ReadEvent::CaughtUp`], without it.
async fn read_all(reader: &mut LogReader<u64>) -> Vec<ReadEvent<u64>> {
    let cancel = CancellationToken::new();
    let mut events = Vec::new();
    loop {
        match reader.next(&cancel).await.unwrap() {
            ReadEvent::CaughtUp { .. } => return events,
            event => events.push(event),
        }
    }
}

/// Appends `count` records and returns their outcomes in the order of submission.
async fn append(client: LogClient, count: u64, batch: usize) -> Vec<Result<u64, PlatformError>> {
    let cancel = CancellationToken::new();
    let (appender, worker) = LogAppender::spawn(client, budget(batch), short_backoff(), cancel);
    let submit = |index: u64| appender.submit(&format!("r{index}"), &index).unwrap();
    let handles: Vec<_> = (0..count).map(submit).collect();
    let mut outcomes = Vec::new();
    for handle in handles {
        outcomes.push(handle.wait().await);
    }
    drop(appender);
    worker.await.unwrap();
    outcomes
}

// Guards against lost and duplicated records when answers to appends are lost, appends fail, or
// the reads that search for a batch fail.
#[tokio::test]
async fn each_record_is_appended_once() {
    use AppendFault::{Fail, NoFault, StoreThenFail};
    let scripts: &[(&[AppendFault], u32)] = &[
        (&[], 0),
        (&[StoreThenFail], 0),
        (&[StoreThenFail, StoreThenFail, NoFault, StoreThenFail], 0),
        (&[Fail, StoreThenFail, Fail], 2),
    ];
    for (script, failing_reads) in scripts {
        let fake = FakeLog::start().await;
        // The record of another appender comes first and must not be mistaken for one of this test.
        fake.push(STREAM, &RecordEnvelope::new("other", &7).encode());
        fake.state().append_faults = script.iter().copied().collect();
        fake.state().failing_reads = *failing_reads;
        let outcomes = append(client(&fake, LONG_TIMEOUT), 10, 3).await;
        let ids = fake.ids(STREAM);
        for (index, outcome) in outcomes.into_iter().enumerate() {
            assert_eq!(ids[outcome.unwrap() as usize], format!("r{index}"), "{script:?}");
        }
        assert_eq!(ids.len(), 11, "{script:?}");
        assert!(fake.state().batches.iter().all(|&size| size <= 3), "{script:?}");
    }
}

// Guards against lost and duplicated records, as random sequences of appends and reads fail with
// and without an effect.
#[tokio::test]
async fn random_faults_neither_lose_nor_duplicate_records() {
    use AppendFault::{Fail, NoFault, StoreThenFail};
    for seed in 0..40 {
        let mut gen_ = Gen::from_size_and_seed(20, seed);
        let fake = FakeLog::start().await;
        let faults =
            (0..12).map(|_| *gen_.choose(&[NoFault, NoFault, Fail, StoreThenFail]).unwrap());
        fake.state().append_faults = faults.collect();
        fake.state().failing_reads = u32::arbitrary(&mut gen_) % 4;
        let (count, batch) = (1 + u64::arbitrary(&mut gen_) % 20, 1 + seed as usize % 5);
        append(client(&fake, LONG_TIMEOUT), count, batch)
            .await
            .into_iter()
            .for_each(|outcome| _ = outcome.unwrap());
        let ids: Vec<String> = (0..count).map(|index| format!("r{index}")).collect();
        assert_eq!(fake.ids(STREAM), ids, "seed {seed}");
    }
}

// Guards against a record that takes effect twice: the platform stores a batch only after the
// worker has given up on the call, searched for the batch in vain and sent it again.
#[tokio::test]
async fn a_reader_reports_a_late_copy_as_a_duplicate() {
    use AppendFault::{AppendLater, Hang, StoreThenFail};
    for script in [&[AppendLater] as &[AppendFault], &[Hang, StoreThenFail], &[AppendLater, Hang]] {
        let fake = FakeLog::start().await;
        fake.state().append_faults = script.iter().copied().collect();
        let outcomes = append(client(&fake, SHORT_TIMEOUT), 2, 2).await;
        outcomes.into_iter().for_each(|outcome| _ = outcome.unwrap());
        if script.contains(&AppendLater) {
            fake.release().await;
            assert!(fake.ids(STREAM).ends_with(&["r0".into(), "r1".into()]), "{script:?}");
            assert!(fake.ids(STREAM).len() >= 4, "{script:?}");
        }
        let mut counts = HashMap::new();
        for event in read_all(&mut reader(&fake, 0)).await {
            match event {
                ReadEvent::Entry { id, .. } => *counts.entry(id).or_insert(0) += 1,
                ReadEvent::Duplicate { id, .. } => assert!(counts.contains_key(&id), "{id}"),
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(counts, HashMap::from([("r0".into(), 1), ("r1".into(), 1)]), "{script:?}");
    }
}

// Guards against a rejected record that fails the other records of its batch: the platform
// rejects a batch as a whole.
#[tokio::test]
async fn a_rejected_record_does_not_fail_its_batch() {
    let fake = FakeLog::start().await;
    fake.state().refused_text = Some("\"r2\"");
    let outcomes = append(client(&fake, LONG_TIMEOUT), 5, 5).await;
    let refused: Vec<bool> = outcomes.iter().map(Result::is_err).collect();
    assert_eq!(refused, [false, false, true, false, false]);
    let error = outcomes.into_iter().find_map(Result::err).unwrap();
    assert!(error.is_permanent() && !error.may_have_taken_effect(), "{error}");
    assert_eq!(fake.ids(STREAM), ["r0", "r1", "r3", "r4"]);
}

// Guards against a second append of a record after the answer to its append was lost and the log
// trimmed the record before the worker could search for it.
#[tokio::test]
async fn a_trimmed_log_leaves_the_outcome_unknown() {
    let fake = FakeLog::start().await;
    fake.state().append_faults = [AppendFault::AppendAndTrim].into();
    let error = append(client(&fake, LONG_TIMEOUT), 1, 1).await.pop().unwrap().unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
    assert_eq!(
        fake.ids(STREAM).len(),
        0,
        "the record was sent again although it may have been appended"
    );
}

// Guards against an unbounded queue while the log does not answer, and against callers that wait
// forever or get a wrong outcome after the worker is cancelled.
#[tokio::test]
async fn a_full_queue_and_a_stopped_worker_are_reported() {
    let fake = FakeLog::start().await;
    fake.state().append_faults = [AppendFault::Hang].into();
    let cancel = CancellationToken::new();
    let budget = AppendBudget { max_pending: 2, ..budget(1) };
    let (appender, worker) =
        LogAppender::spawn(client(&fake, LONG_TIMEOUT), budget, short_backoff(), cancel.clone());
    let mut handles = Vec::new();
    let full = loop {
        match appender.submit("r", &0) {
            Ok(handle) => handles.push(handle),
            Err(error) => break error,
        }
    };
    assert!(!full.may_have_taken_effect(), "{full}");
    cancel.cancel();
    worker.await.unwrap();
    for handle in handles {
        assert!(handle.wait().await.unwrap_err().may_have_taken_effect());
    }
    assert!(!appender.append("r", &0).await.unwrap_err().may_have_taken_effect());
}

// Guards against a reader that stops at a record it cannot decode, or that skips trimmed offsets
// without an event.
#[tokio::test]
async fn a_reader_skips_damaged_and_trimmed_records() {
    let fake = FakeLog::start().await;
    let line = |id: &str, body: u64| RecordEnvelope::new(id, &body).encode();
    let flipped = line("d", 4).replace(":4", ":5");
    let unknown_version = line("e", 5).replace("\"version\":1", "\"version\":9");
    let other_type = RecordEnvelope::new("f", &"text").encode();
    for text in [&line("a", 1), &line("b", 2), "no JSON", &flipped, &unknown_version, &other_type] {
        fake.push(STREAM, text);
    }
    fake.push(STREAM, &line("g", 6));
    fake.trim(STREAM, 1);
    let mut reader = reader(&fake, 0);
    let mut events = read_all(&mut reader).await;
    fake.push(STREAM, &line("h", 7));
    fake.push(STREAM, &line("g", 6));
    events.extend(read_all(&mut reader).await);
    fake.trim(STREAM, 20);
    events.extend(read_all(&mut reader).await);
    insta::assert_debug_snapshot!(events);
}

// Guards against a reader that gives up after failed reads, and against one that reports that it
// has caught up with a log whose end lies before the records already read.
#[tokio::test]
async fn a_reader_retries_failed_reads_and_rejects_a_lower_end() {
    let fake = FakeLog::start().await;
    for index in 0..3 {
        fake.push(STREAM, &RecordEnvelope::new(&format!("r{index}"), &index).encode());
    }
    fake.state().failing_reads = 5;
    let mut reader = reader(&fake, 0);
    assert_eq!(read_all(&mut reader).await.len(), 3);
    // A log that ends before the records already read has lost records, so the reader cannot know
    // whether it has caught up.
    fake.state().reported_end = Some(1);
    let cancel = CancellationToken::new();
    let waiting = tokio::spawn({
        let cancel = cancel.clone();
        async move { (reader.next(&cancel).await, reader.is_failing()) }
    });
    fake.wait_for_reads(3).await;
    cancel.cancel();
    assert_eq!(waiting.await.unwrap(), (None, true));
}

// Guards against credentials in error messages: the platform's URL may contain them, and the
// HTTP client adds the URL to its errors.
#[tokio::test]
async fn errors_contain_no_credentials() {
    let http = reqwest::Client::new();
    // The listener is dropped to get a port on which nothing listens.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = LogClient::new(http, &format!("http://ops:hunter2@{address}"), STREAM);
    let error = client.append("r", &1).await.unwrap_err();
    assert!(!error.may_have_taken_effect() && !error.is_permanent());
    assert!(!format!("{error} {error:?}").contains("hunter2"), "{error:?}");
}
