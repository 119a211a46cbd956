//! Requests without failures: answers, refusals, and the data that endpoints receive.

use futures::future::join_all;
use pimentorock_lab::service::expected_answer;
use serde_json::{Value, json};

use crate::{
    caller::ChatRequest,
    stack::{MODEL, SHOP_KEY, Stack, StackPlan, WORKSHOP_KEY},
};

/// Guards against truncated answers and against answers that reach the wrong caller, which could
/// happen when requests of two accounts run concurrently through several entries.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_and_reach_their_callers() {
    let stack = Stack::start(StackPlan::default()).await;
    let requests: Vec<ChatRequest> = (0..60)
        .map(|index| {
            let request = ChatRequest::new(&format!("request {index}"), 5 + index % 40);
            let request = if index % 3 == 0 { request.without_streaming() } else { request };
            if index % 2 == 0 { request.with_key(WORKSHOP_KEY) } else { request }
        })
        .collect();
    let sends = requests.iter().enumerate().map(|(index, request)| {
        let entry = &stack.entries[index % stack.entries.len()];
        request.send(&stack, entry)
    });
    let answers = join_all(sends).await;
    for (request, answer) in requests.iter().zip(&answers) {
        request.assert_complete(answer, &stack).await;
        assert_eq!(answer.request_id.len(), 32);
    }
}

/// Guards against keys that leak to an endpoint through a header, a query parameter or a
/// percent-encoded value.
#[tokio::test(flavor = "multi_thread")]
async fn no_endpoint_receives_a_caller_key() {
    let stack = Stack::start(StackPlan::default()).await;
    let entry = &stack.entries[0];
    let request = ChatRequest::new("keys everywhere", 3)
        .with_header("x-api-key", SHOP_KEY)
        .with_header("cookie", SHOP_KEY)
        .with_header("accept-language", SHOP_KEY)
        .with_header("user-agent", &format!("agent/1 {WORKSHOP_KEY}"));
    let answer = request.send(&stack, entry).await;
    request.assert_complete(&answer, &stack).await;
    let query = format!("api_key={SHOP_KEY}&q=%73hop-key-0123456789abcdef&size=3&k={WORKSHOP_KEY}");
    let url = format!("{}/services/stock/parts/1?{query}", entry.url("listen"));
    let answer = stack.http.put(url).bearer_auth(SHOP_KEY).body("{}").send().await.expect("answer");
    let answer: Value = answer.json().await.expect("JSON");
    assert_eq!(answer, expected_answer("stock", "PUT", "/parts/1?size=3", b"{}"));
    let service = stack.service.as_ref().expect("a service");
    let mut received = stack.received_requests(service).await;
    for engine in &stack.engines {
        received.extend(stack.received_requests(engine).await);
    }
    assert!(received.len() >= 2);
    let text = json!(received).to_string();
    assert!(!text.contains("key-0123456789abcdef"), "{text}");
    assert!(!text.to_lowercase().contains("authorization"), "{text}");
}

/// Guards against invalid requests that are answered with the wrong error, or that run although
/// the caller is told that they did not.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_get_an_error_code_and_do_not_run() {
    let stack = Stack::start(StackPlan::default()).await;
    let entry = &stack.entries[0];
    let url = format!("{}/v1/chat/completions", entry.url("listen"));
    let chat = json!({"model": MODEL, "messages": [{"role": "user", "content": "x tokens=1"}]});
    let cases: [(&str, &str, String, u16, &str); 7] = [
        ("Bearer nobody", "", chat.to_string(), 401, "key_unknown"),
        ("Basic abc", "", chat.to_string(), 401, "key_malformed"),
        ("", "", "{".to_owned(), 400, "invalid_request"),
        ("", "", "{\"model\":7}".to_owned(), 400, "invalid_request"),
        ("", "", json!({"model": "nope", "messages": []}).to_string(), 404, "model_not_found"),
        ("", "soon", chat.to_string(), 400, "invalid_request"),
        ("", "1ms", chat.to_string(), 503, "deadline_unreachable"),
    ];
    let mut runs = 0;
    for (authorization, deadline, body, status, code) in cases {
        let bearer = format!("Bearer {SHOP_KEY}");
        let authorization = if authorization.is_empty() { &bearer } else { authorization };
        let mut call = stack.http.post(&url).header("authorization", authorization).body(body);
        if !deadline.is_empty() {
            call = call.header("x-request-deadline", deadline);
        }
        let answer = call.send().await.expect("an answer");
        assert_eq!(answer.status().as_u16(), status, "{code}");
        assert!(answer.headers().contains_key("x-request-id"), "{code}");
        let body: Value = answer.json().await.expect("JSON");
        assert_eq!(body["error"]["code"], code);
        assert_eq!(body["error"]["not_run"], true, "{code}");
    }
    for engine in &stack.engines {
        runs += stack.received_requests(engine).await.len();
    }
    assert_eq!(runs, 0, "requests that were refused as not run ran at an engine");
}

/// Guards against runs that continue at an engine after their caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_run() {
    let stack = Stack::start(StackPlan { engines: 1, ..StackPlan::default() }).await;
    let request = ChatRequest::new("long", 100_000);
    let response = request.call(&stack, &stack.entries[0]).send().await.expect("an answer begins");
    drop(response);
    stack
        .wait_for("the engine has cancelled the run", async || {
            let received = stack.received_requests(&stack.engines[0]).await;
            received.iter().any(|run| run["outcome"] == "cancelled")
        })
        .await;
}
