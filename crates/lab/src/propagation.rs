//! Measures how long configuration changes and key withdrawals take to reach every process.

use std::{
    io,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use futures::future::join_all;
use hdrhistogram::Histogram;
use pimentorock_kernel::record::{
    CONFIG_STREAM, ConfigChange, ConfigEdit, ConfigRecord, KeyCreated, KeyWithdrawn,
};
use pimentorock_platform::{log_client::LogClient, operator_wire::StatusAnswer};
use serde_json::json;
use sha2::{Digest, Sha256};

/// Time between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which the measurement fails if a process has not applied a change.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Command-line options of the measurement.
#[derive(Clone, Debug, Bpaf)]
pub struct PropagationOptions {
    /// URL of the platform.
    #[bpaf(argument("URL"))]
    pub platform: String,
    /// URL of the operators' interface of a process that must apply changes; may be repeated.
    #[bpaf(argument("URL"))]
    pub process: Vec<String>,
    /// URL of the callers' interface of an entry that must refuse withdrawn keys; may be repeated.
    #[bpaf(argument("URL"))]
    pub entry: Vec<String>,
    /// Account that is changed and that owns the withdrawn keys, as TEAM/ACCOUNT.
    #[bpaf(argument("ACCOUNT"))]
    pub account: String,
    /// Number of changes, and of key withdrawals, to measure.
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    pub rounds: u32,
}

/// Measures changes and key withdrawals and prints their latencies.
///
/// The output is one line of JSON with percentiles in milliseconds.
///
/// # Errors
///
/// Fails if the platform's log does not accept a record, or if a process or an entry has not
/// applied a change within 30 s.
pub async fn run(options: PropagationOptions) -> io::Result<()> {
    let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
    let log = LogClient::new(http.clone(), &options.platform, CONFIG_STREAM);
    let mut changes = histogram();
    let mut withdrawals = histogram();
    for round in 0..options.rounds {
        let offset = append_change(&log, &options.account, round).await?;
        let appended = Instant::now();
        let waits = options.process.iter().map(|url| {
            let status = format!("{url}/status");
            let http = &http;
            let condition = async move || {
                fetch_revision(http, &status).await.is_some_and(|seen| seen >= offset)
            };
            wait_until(appended, condition)
        });
        record_times(&mut changes, join_all(waits).await)?;
        measure_withdrawal(&http, &log, &options, round, &mut withdrawals).await?;
    }
    let report = json!({
        "processes": options.process.len(),
        "entries": options.entry.len(),
        "change_ms": latency_percentiles(&changes),
        "withdrawal_ms": latency_percentiles(&withdrawals),
    });
    println!("{report}");
    Ok(())
}

/// Creates a key, waits until every entry accepts the key, withdraws the key, and records how
/// long each entry takes to refuse the key after the log has accepted the withdrawal.
async fn measure_withdrawal(
    http: &reqwest::Client,
    log: &LogClient,
    options: &PropagationOptions,
    round: u32,
    withdrawals: &mut Histogram<u64>,
) -> io::Result<()> {
    let key = format!("in-force-key-{round:08}-{:016x}", std::process::id());
    let digest = Sha256::digest(key.as_bytes());
    let hash: Box<str> = digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into();
    let created = KeyCreated {
        hash: hash.clone(),
        account: options.account.as_str().into(),
        label: "in-force".into(),
    };
    append(log, &format!("created-{hash}"), &ConfigRecord::KeyCreated(created)).await?;
    let accepted = options.entry.iter().map(|url| {
        let models = format!("{url}/v1/models");
        let key = &key;
        wait_until(Instant::now(), async move || {
            key_accepted(http, &models, key).await == Some(true)
        })
    });
    // These times are discarded; the call only fails if an entry does not accept the key in time.
    record_times(&mut histogram(), join_all(accepted).await)?;
    let withdrawn = KeyWithdrawn { hash: hash.clone(), author: "in-force".into() };
    append(log, &format!("withdrawn-{hash}"), &ConfigRecord::KeyWithdrawn(withdrawn)).await?;
    let appended = Instant::now();
    let refused = options.entry.iter().map(|url| {
        let models = format!("{url}/v1/models");
        let key = &key;
        wait_until(appended, async move || key_accepted(http, &models, key).await == Some(false))
    });
    record_times(withdrawals, join_all(refused).await)
}

/// Appends a change of the account's weight and returns the offset of its record.
async fn append_change(log: &LogClient, account: &str, round: u32) -> io::Result<u64> {
    let (team, name) = account.split_once('/').unwrap_or((account, ""));
    // The change is based on the last record.
    let base = log.end().await.map_err(io::Error::other)?.saturating_sub(1);
    let id = format!("in-force-{base}-{round}");
    let record = ConfigRecord::Change(ConfigChange {
        change_id: id.as_str().into(),
        base,
        author: "in-force".into(),
        edits: vec![ConfigEdit {
            path: format!("/teams/{team}/accounts/{name}/weight").into(),
            value: Some(json!(1 + round % 7)),
        }],
    });
    append(log, &id, &record).await
}

async fn append(log: &LogClient, id: &str, record: &ConfigRecord) -> io::Result<u64> {
    log.append(id, record).await.map_err(io::Error::other)
}

/// Returns the configuration revision that a process reports, or `None` if the request fails.
async fn fetch_revision(http: &reqwest::Client, url: &str) -> Option<u64> {
    let status: StatusAnswer = http.get(url).send().await.ok()?.json().await.ok()?;
    Some(status.revision)
}

/// Reports whether an entry accepts `key`.
///
/// Returns `None` if the request fails or has a status other than 200 and 401.
async fn key_accepted(http: &reqwest::Client, url: &str, key: &str) -> Option<bool> {
    let answer = http.get(url).bearer_auth(key).send().await.ok()?;
    match answer.status().as_u16() {
        200 => Some(true),
        401 => Some(false),
        _ => None,
    }
}

/// Polls `condition` until it returns true and returns the time since `since`.
///
/// Returns `None` if [`PROPAGATION_TIMEOUT`] has passed since then.
async fn wait_until(since: Instant, condition: impl AsyncFn() -> bool) -> Option<Duration> {
    while since.elapsed() < PROPAGATION_TIMEOUT {
        if condition().await {
            return Some(since.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

fn histogram() -> Histogram<u64> {
    Histogram::new(2).expect("a precision of two significant digits is valid")
}

fn record_times(histogram: &mut Histogram<u64>, times: Vec<Option<Duration>>) -> io::Result<()> {
    for time in times {
        let timed_out = || io::Error::other("a process did not take a change within 30 s");
        histogram.saturating_record(time.ok_or_else(timed_out)?.as_millis() as u64);
    }
    Ok(())
}

fn latency_percentiles(histogram: &Histogram<u64>) -> serde_json::Value {
    json!({
        "p50": histogram.value_at_quantile(0.5),
        "p99": histogram.value_at_quantile(0.99),
        "max": histogram.max(),
    })
}
