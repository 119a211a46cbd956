//! Sends one request of a load and checks its answer.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::StreamSpec;
use crate::answer;

/// Time after which a request fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(300);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer is the expected one, byte for byte.
    Exact,
    /// The answer has status 200 but differs from the expected one.
    Wrong,
    /// The request was refused, and the error states that it did not run.
    Refused,
    /// The request failed and may have run.
    Failed,
}

/// Outcome and latencies of a request as its sender measured them.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// Outcome of the request.
    pub outcome: CallOutcome,
    /// Time from the planned sending time to the first part of the answer's body, or to the end of
    /// the request if there was none.
    pub time_to_first_byte: Duration,
    /// Time from the planned sending time to the end of the answer.
    pub total_time: Duration,
    /// Output tokens of an exact answer of a model; otherwise 0.
    pub tokens: u32,
}

/// Sends one request and checks its answer; latencies are measured from `due`.
pub(super) async fn send(
    http: Client,
    entry: &str,
    stream: &StreamSpec,
    prompt: &str,
    due: Instant,
) -> CallReport {
    let mut first = None;
    let outcome = match request(&http, entry, stream, prompt).send().await {
        Ok(response) if response.status() == StatusCode::OK => {
            check(response, stream, prompt, &mut first).await
        }
        Ok(response) => refusal(response).await,
        Err(_) => CallOutcome::Failed,
    };
    let time_to_first_byte = first.unwrap_or_else(Instant::now) - due;
    let tokens = match outcome {
        CallOutcome::Exact if !stream.service => answer::expected_tokens(&stream.model, prompt, 0),
        _ => 0,
    };
    CallReport { outcome, time_to_first_byte, total_time: due.elapsed(), tokens }
}

fn request(http: &Client, entry: &str, stream: &StreamSpec, prompt: &str) -> RequestBuilder {
    let entry = entry.trim_end_matches('/');
    let mut call = if stream.service {
        http.post(format!("{entry}/services/{}/calls", stream.model)).body(prompt.to_owned())
    } else {
        http.post(format!("{entry}/v1/chat/completions")).json(&json!({
            "model": stream.model,
            "messages": [{ "role": "user", "content": prompt }],
            "stream": stream.stream,
        }))
    };
    if let Some(key) = &stream.key {
        call = call.bearer_auth(key);
    }
    if let Some(class) = &stream.class {
        call = call.header("x-request-class", &**class);
    }
    call.timeout(CALL_TIMEOUT)
}

/// Compares the answer with the expected one and sets `first` to the time of its first part.
async fn check(
    mut response: Response,
    stream: &StreamSpec,
    prompt: &str,
    first: &mut Option<Instant>,
) -> CallOutcome {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(part)) => {
                first.get_or_insert_with(Instant::now);
                body.extend_from_slice(&part);
            }
            Ok(None) => break,
            Err(_) => return CallOutcome::Failed,
        }
    }
    let exact = match () {
        () if stream.service => {
            let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
            answer["body_hash"] == json!(answer::hash(&[prompt.as_bytes()]))
        }
        () => {
            let tokens = answer::expected_tokens(&stream.model, prompt, 0);
            let expected = answer::expected_text(&stream.model, prompt, tokens);
            answer_text(&String::from_utf8_lossy(&body), stream.stream) == Some(expected)
        }
    };
    if exact { CallOutcome::Exact } else { CallOutcome::Wrong }
}

/// Returns the text of a chat answer, or `None` if the answer is incomplete or malformed.
pub fn answer_text(body: &str, streamed: bool) -> Option<String> {
    if !streamed {
        let value: Value = serde_json::from_str(body).ok()?;
        return Some(value["choices"][0]["message"]["content"].as_str()?.to_owned());
    }
    let mut text = String::new();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Some(text);
        }
        let value: Value = serde_json::from_str(data).ok()?;
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    None
}

/// Returns [`CallOutcome::Refused`] if the error states that the request did not run.
async fn refusal(response: Response) -> CallOutcome {
    let body: Value = response.json().await.unwrap_or_default();
    match body["error"]["not_run"] {
        Value::Bool(true) => CallOutcome::Refused,
        _ => CallOutcome::Failed,
    }
}
