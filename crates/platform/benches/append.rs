//! Measures how long appends to a log on loopback take: batched, one by one, and with lost
//! answers.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{AppendFault, FakeLog};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pimentorock_platform::{
    append_budget::AppendBudget, backoff::RetryBackoff, log_appender::LogAppender,
    log_client::LogClient,
};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Number of records that one iteration appends.
const RECORDS: u64 = 1000;

const STREAM: &str = "state";

/// Appends all records through a [`LogAppender`] and loses the answer of every
/// `lost_every`-th append.
async fn append_batched(client: &LogClient, fake: &FakeLog, lost_every: Option<usize>) {
    let faults = lost_every.into_iter().flat_map(|every| {
        (0..64).map(move |index| match index % every {
            0 => AppendFault::StoreThenFail,
            _ => AppendFault::NoFault,
        })
    });
    fake.state().append_faults = faults.collect();
    let budget =
        AppendBudget { interval: Duration::ZERO, max_records: 64, ..AppendBudget::default() };
    let backoff = RetryBackoff::new(Duration::from_micros(1), Duration::from_micros(1));
    let (appender, worker) =
        LogAppender::spawn(client.clone(), budget, backoff, CancellationToken::new());
    for index in 0..RECORDS {
        appender.submit(&format!("r{index}"), &index).expect("the queue holds all records");
    }
    drop(appender);
    worker.await.expect("the worker ends");
}

async fn append_one_by_one(client: &LogClient) {
    for index in 0..RECORDS {
        client.append(&format!("r{index}"), &index).await.expect("the log answers");
    }
}

fn append_records(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime starts");
    let fake = runtime.block_on(FakeLog::start());
    let client = LogClient::new(reqwest::Client::new(), &fake.url, STREAM);
    let mut group = criterion.benchmark_group("land-1000-records");
    group.throughput(Throughput::Elements(RECORDS));
    let clear = || fake.state().streams.clear();
    group.bench_function("one-by-one", |bencher| {
        bencher.iter(|| {
            clear();
            runtime.block_on(append_one_by_one(&client));
        });
    });
    for (name, lost_every) in
        [("batched", None), ("batched-half-lost", Some(2)), ("batched-all-lost", Some(1))]
    {
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                clear();
                runtime.block_on(append_batched(&client, &fake, lost_every));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, append_records);
criterion_main!(benches);
