//! Test of the load generator against an engine stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use pimentorock_lab::{
    engine::{self, EngineOptions},
    jsonc,
    load::{self, LoadSpec},
    serve,
};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const LOAD: &str = r#"{
    // Whole answers, streamed answers, answers that are cut off, and a model that is not loaded.
    "seconds": 0.2,
    "max_requests": 40,
    "streams": [
        { "name": "whole", "model": "fast", "per_second": 100, "tokens": 6, "target_ms": 60000 },
        { "name": "streamed", "model": "fast", "per_second": 100, "tokens": 6, "stream": true,
          "prompt_bytes": 200, "target_ms": 60000 },
        { "name": "cut-stream", "model": "fast", "per_second": 20, "tokens": 6, "stream": true,
          "target_ms": 60000 },
        { "name": "unknown", "model": "none", "per_second": 20, "target_ms": 60000 }
    ]
}"#;

/// Guards against a load generator that misses wrong answers or failures.
///
/// Each stream can have only one outcome: the prompts of the stream `cut-stream` contain that word,
/// so that its answers end halfway, and the stream `unknown` names a model that is not loaded.
#[tokio::test]
async fn answers_are_checked_and_counted_by_outcome() {
    let options = EngineOptions {
        listen: ANY_PORT,
        name: "e1".into(),
        model: "fast".into(),
        slots: 8,
        step_us: 100,
        prefill_us_per_token: 0,
        max_tokens_default: 0,
        check_fencing: false,
        load_lag_ms: 0,
        cache_lag_ms: 0,
        crash_on: None,
    };
    let (address, _) = serve::spawn(ANY_PORT, engine::app(&options)).await.unwrap();
    let mut spec: LoadSpec = jsonc::read_text(LOAD).unwrap();
    spec.entries.push(format!("http://{address}").into());
    let rows = load::send(&spec).await;
    let expected = |row: &load::LoadRow| match &*row.name {
        "cut-stream" => row.wrong,
        "unknown" => row.failed,
        _ => row.exact,
    };
    for row in &rows {
        assert!(row.sent > 0 && expected(row) == row.sent, "{row:?}");
    }
}
