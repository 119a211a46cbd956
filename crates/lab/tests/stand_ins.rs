//! Tests of the stand-ins' behaviour that the failure tests of other crates rely on.

use std::{net::SocketAddr, time::Duration};

use pimentorock_lab::{
    answer,
    engine::{self, EngineOptions, RecordedOutcome, RecordedRun},
    platform::{self, PlatformOptions, RecordedOrder},
    serve,
    service::{self, RecordedCall},
};
use pimentorock_platform::{
    log_client::LogClient,
    wire::{HostList, HostState, OrderKind, OrderRequest, UsageReport},
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn start_platform(options: PlatformOptions) -> String {
    let (address, _) = serve::spawn(ANY_PORT, platform::app(&options)).await.unwrap();
    format!("http://{address}")
}

async fn start_engine(options: EngineOptions) -> String {
    let (address, _) = serve::spawn(ANY_PORT, engine::app(&options)).await.unwrap();
    format!("http://{address}")
}

fn platform_options() -> PlatformOptions {
    PlatformOptions {
        listen: ANY_PORT,
        retain_records: 100,
        host_lag_ms: 0,
        weights_per_second: 1,
        check_fencing: false,
    }
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        listen: ANY_PORT,
        name: "e1".into(),
        model: "fast,deep".into(),
        slots: 2,
        step_us: 200,
        prefill_us_per_token: 0,
        max_tokens_default: 0,
        check_fencing: true,
        load_lag_ms: 0,
        cache_lag_ms: 0,
        crash_on: None,
    }
}

async fn post(url: String, body: Value) -> reqwest::Response {
    Client::new().post(url).json(&body).send().await.unwrap()
}

async fn recorded_runs(base: &str) -> Vec<RecordedRun> {
    reqwest::get(format!("{base}/stand-in/seen")).await.unwrap().json().await.unwrap()
}

/// Polls the recorded runs until `condition` returns true and returns the runs.
async fn wait_for_runs(base: &str, condition: fn(&[RecordedRun]) -> bool) -> Vec<RecordedRun> {
    loop {
        let runs = recorded_runs(base).await;
        if condition(&runs) {
            return runs;
        }
        tokio::task::yield_now().await;
    }
}

fn order(id: &str, fencing: u64, kind: OrderKind) -> Value {
    json!(OrderRequest {
        id: id.into(),
        sender: "a1".into(),
        fencing,
        kind,
        endpoint: "e1".into(),
        domain: "d1".into(),
    })
}

/// A read that waits on an empty stream must return when a record is appended, and the log must
/// retain only its newest records at their original offsets.
#[tokio::test]
async fn log_retains_newest_records_and_waiting_read_sees_append() {
    let base = start_platform(PlatformOptions { retain_records: 3, ..platform_options() }).await;
    let log = LogClient::new(Client::new(), &base, "state");
    let reader = log.clone();
    let read = tokio::spawn(async move { reader.read(0, Duration::from_secs(30)).await });
    assert_eq!(log.append("r0", &0).await.unwrap(), 0);
    assert_eq!(read.await.unwrap().unwrap().entries.len(), 1);
    for number in 1..5 {
        assert_eq!(log.append(&format!("r{number}"), &number).await.unwrap(), number);
    }
    let answer = log.read(0, Duration::ZERO).await.unwrap();
    let offsets: Vec<u64> = answer.entries.iter().map(|entry| entry.offset).collect();
    assert_eq!((answer.head, answer.end, offsets), (2, 5, vec![2, 3, 4]));
}

/// A client cannot tell a lost answer from an outage: both are answered with status 503.
///
/// The record must be in the log after a lost answer and must not be there after an outage. A fault
/// on an interface that does not exist must be refused.
#[tokio::test]
async fn lost_answer_takes_effect_and_outage_does_not() {
    let base = start_platform(platform_options()).await;
    let log = LogClient::new(Client::new(), &base, "state");
    let fault = |mode: &str| json!({ "interface": "append", "mode": mode, "count": 1 });
    for (mode, end) in [("down", 0), ("lose-answer", 1)] {
        post(format!("{base}/stand-in/faults"), fault(mode)).await;
        let error = log.append("r0", &0).await.unwrap_err();
        assert!(error.may_have_taken_effect(), "{mode}");
        assert_eq!(log.read(0, Duration::ZERO).await.unwrap().end, end, "{mode}");
    }
    assert_eq!(log.append("r1", &1).await.unwrap(), 1);
    let unknown = post(format!("{base}/stand-in/faults"), json!({"interface": "x", "mode": "ok"}));
    assert_eq!(unknown.await.status(), StatusCode::BAD_REQUEST);
}

/// Guards against a platform stand-in that hides duplicates: a repeated order starts a second host,
/// and repeated orders and usage reports are recorded each time.
///
/// Also checks that the weight store refuses downloads above its rate limit.
#[tokio::test]
async fn repeated_orders_and_reports_are_recorded_each_time() {
    let base = start_platform(platform_options()).await;
    for (id, kind) in [("o1", OrderKind::Start), ("o1", OrderKind::Start), ("o2", OrderKind::Stop)]
    {
        post(format!("{base}/orders"), order(id, 7, kind)).await;
    }
    let report = UsageReport {
        account: "north/shop".into(),
        window_start_ms: 0,
        window_end_ms: 1,
        requests: 1,
        prompt_tokens: 1,
        output_tokens: 1,
        sender: "a1".into(),
        fencing: 7,
    };
    for _ in 0..2 {
        post(format!("{base}/usage"), json!(report)).await;
    }
    let http = Client::new();
    let get = async |path: &str| http.get(format!("{base}{path}")).send().await.unwrap();
    let orders: Vec<RecordedOrder> = get("/stand-in/orders").await.json().await.unwrap();
    let ids: Vec<&str> = orders.iter().map(|seen| &*seen.order.id).collect();
    assert_eq!(ids, ["o1", "o1", "o2"]);
    let list: HostList = get("/hosts").await.json().await.unwrap();
    let hosts: Vec<(&str, HostState)> =
        list.hosts.iter().map(|entry| (&*entry.host, entry.state)).collect();
    assert_eq!(hosts, [("e1", HostState::Leaving), ("e1~2", HostState::Starting)]);
    let usage: Vec<UsageReport> = get("/stand-in/usage").await.json().await.unwrap();
    assert_eq!(usage, [report.clone(), report]);
    assert_eq!(get("/weights/fast").await.status(), StatusCode::OK);
    let strict = PlatformOptions { weights_per_second: 0, ..platform_options() };
    let strict = start_platform(strict).await;
    let refusal = reqwest::get(format!("{strict}/weights/fast")).await.unwrap();
    assert_eq!(refusal.status(), StatusCode::TOO_MANY_REQUESTS);
    assert!(refusal.headers().contains_key("retry-after"));
}

/// The engine and the platform must refuse an order whose fencing number is lower than an earlier
/// one, but only if they check fencing numbers.
#[tokio::test]
async fn old_fencing_numbers_are_refused_only_if_checked() {
    for check_fencing in [true, false] {
        let engine = start_engine(EngineOptions { check_fencing, ..engine_options() }).await;
        let platform =
            start_platform(PlatformOptions { check_fencing, ..platform_options() }).await;
        let load = |fencing| json!({ "fencing": fencing, "order": "load", "model": "new" });
        for (fencing, refused) in [(5, false), (4, check_fencing), (5, false)] {
            let answers = [
                post(format!("{engine}/orders"), load(fencing)).await,
                post(format!("{platform}/orders"), order("o", fencing, OrderKind::Start)).await,
            ];
            for answer in answers {
                assert_eq!(answer.status() == StatusCode::CONFLICT, refused, "{fencing}");
            }
        }
    }
}

/// Returns the concatenated content of all events and whether the last event is `[DONE]`.
fn streamed_text(events: &str) -> (String, bool) {
    let data = || events.lines().filter_map(|line| line.strip_prefix("data: "));
    let bodies = data().filter(|text| *text != "[DONE]");
    let bodies = bodies.map(|text| serde_json::from_str::<Value>(text).unwrap());
    let text = bodies
        .filter_map(|body| Some(body["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    (text, data().next_back() == Some("[DONE]"))
}

/// Failure tests compare answers with [`answer::expected_text`], so that the engine stand-in must
/// send exactly this text, both whole and streamed, with and without `max_tokens`.
#[tokio::test]
async fn whole_and_streamed_answers_match_expected_text() {
    let base = start_engine(engine_options()).await;
    let cases = [("fast", "which sink fits?", 0), ("deep", "report tokens=70", 12)];
    for (model, prompt, max_tokens) in cases {
        let tokens = answer::expected_tokens(model, prompt, max_tokens);
        let text = answer::expected_text(model, prompt, tokens);
        let mut body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
        });
        if max_tokens > 0 {
            body["max_tokens"] = max_tokens.into();
        }
        let url = format!("{base}/v1/chat/completions");
        let whole: Value = post(url.clone(), body.clone()).await.json().await.unwrap();
        assert_eq!(whole["choices"][0]["message"]["content"], json!(text));
        assert_eq!(whole["usage"]["completion_tokens"], json!(tokens));
        body["stream"] = true.into();
        let events = post(url, body).await.text().await.unwrap();
        assert_eq!(streamed_text(&events), (text, true));
    }
    let outcomes = recorded_runs(&base).await;
    assert!(outcomes.iter().all(|run| run.outcome == RecordedOutcome::Completed));
}

/// A run must not go on after its client has closed the connection, and the answer to a prompt with
/// `cut-stream` must end halfway and without `[DONE]`.
#[tokio::test]
async fn closed_connection_cancels_run_and_cut_stream_has_no_closing_event() {
    let base = start_engine(engine_options()).await;
    let body = |prompt: &str| json!({ "model": "fast", "prompt": prompt, "stream": true });
    let url = format!("{base}/v1/completions");
    let endless = post(url.clone(), body("tokens=1000000")).await;
    drop(endless);
    wait_for_runs(&base, |runs| runs[0].outcome == RecordedOutcome::Cancelled).await;
    let cut = post(url, body("tokens=10 cut-stream")).await.text().await.unwrap();
    assert!(!cut.contains("[DONE]"));
    let runs = recorded_runs(&base).await;
    assert_eq!((runs[1].outcome, runs[1].tokens), (RecordedOutcome::Cut, 5));
}

/// A paused run must release the only slot to another request, and must complete its answer without
/// lost or repeated tokens after it is resumed.
#[tokio::test]
async fn paused_run_releases_slot_and_resumes_where_it_stopped() {
    let base = start_engine(EngineOptions { slots: 1, ..engine_options() }).await;
    let http = Client::new();
    let send = |id: &'static str, prompt: &'static str| {
        let call = http.post(format!("{base}/v1/completions")).header("x-request-id", id);
        tokio::spawn(call.json(&json!({ "model": "fast", "prompt": prompt })).send())
    };
    let long = send("long", "tokens=40000");
    wait_for_runs(&base, |runs| runs.first().is_some_and(|run| run.tokens > 0)).await;
    post(format!("{base}/v1/requests/long/pause"), json!({})).await;
    let short = send("short", "tokens=3").await.unwrap().unwrap();
    assert_eq!(short.status(), StatusCode::OK);
    assert_eq!(recorded_runs(&base).await[0].outcome, RecordedOutcome::Open);
    post(format!("{base}/v1/requests/long/resume"), json!({})).await;
    post(format!("{base}/stand-in/speed"), json!({ "factor": 1000.0 })).await;
    let whole: Value = long.await.unwrap().unwrap().json().await.unwrap();
    let text = answer::expected_text("fast", "tokens=40000", 40000);
    assert_eq!(whole["choices"][0]["text"], json!(text));
}

/// The service stand-in must answer with a body that depends on the call and must record the call.
#[tokio::test]
async fn service_answers_and_records_each_call() {
    let (address, _) = serve::spawn(ANY_PORT, service::app("stock")).await.unwrap();
    let url = format!("http://{address}/parts/4?size=2");
    let call = Client::new().put(&url).header("x-request-id", "r1").body("metal");
    let answer: Value = call.send().await.unwrap().json().await.unwrap();
    let expected = service::expected_answer("stock", "PUT", "/parts/4?size=2", b"metal");
    assert_eq!(answer, expected);
    let seen = reqwest::get(format!("http://{address}/stand-in/seen")).await.unwrap();
    let seen: Vec<RecordedCall> = seen.json().await.unwrap();
    assert_eq!((seen.len(), &*seen[0].request_id), (1, "r1"));
    assert_eq!(seen[0].body_hash, answer::hash(&[b"metal"]));
}
