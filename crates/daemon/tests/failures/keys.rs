//! Withdrawal of caller keys.

use pimentorock_kernel::record::{ConfigRecord, KeyWithdrawn};
use serde_json::json;

use crate::{
    caller::ChatRequest,
    stack::{SHOP_KEY, Stack, StackPlan, WORKSHOP_KEY, key_hash},
};

/// Waits until the entry at `index` refuses the key of `north/shop` without running the request.
async fn wait_until_key_is_refused(stack: &Stack, index: usize) {
    let entry = &stack.entries[index];
    stack
        .wait_for("the withdrawn key is refused", async || {
            let answer = ChatRequest::new("again", 1).send(stack, entry).await;
            answer.status == 401 && answer.error["not_run"] == true
        })
        .await;
}

/// Guards against a key that is checked only once per connection: the caller keeps the connection
/// open on which the key was accepted before its withdrawal.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_on_open_connections() {
    let stack = Stack::start(StackPlan::default()).await;
    let request = ChatRequest::new("before", 2);
    // The client keeps its connections open, so later calls use the same connections.
    request.assert_complete(&request.send(&stack, &stack.entries[0]).await, &stack).await;
    let hash = key_hash(SHOP_KEY);
    let record = ConfigRecord::KeyWithdrawn(KeyWithdrawn {
        hash: hash.as_str().into(),
        author: "ana".into(),
    });
    stack.config_log().append(&format!("w-{hash}"), &record).await.expect("appended");
    wait_until_key_is_refused(&stack, 0).await;
    wait_until_key_is_refused(&stack, 1).await;
    let other = ChatRequest::new("other", 2).with_key(WORKSHOP_KEY);
    other.assert_complete(&other.send(&stack, &stack.entries[0]).await, &stack).await;
}

/// Guards against a withdrawal that is lost in an outage of the log: the entry that receives the
/// withdrawal must tell its peers and append the withdrawal to the log after the outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_reaches_all_entries_during_a_log_outage_and_is_appended_later() {
    let stack = Stack::start(StackPlan::default()).await;
    stack.fault("all", "down").await;
    let hash = key_hash(SHOP_KEY);
    let url = format!("{}/keys/withdraw", stack.entries[0].url("operators"));
    let body = json!({"hash": hash, "author": "ana"});
    let answer = stack.http.post(url).json(&body).send().await.expect("an answer");
    assert!(answer.status().is_success());
    wait_until_key_is_refused(&stack, 0).await;
    wait_until_key_is_refused(&stack, 1).await;
    stack.fault("all", "ok").await;
    let log = stack.config_log();
    stack
        .wait_for("the log holds the withdrawal", async || {
            let answer = log.read(0, std::time::Duration::ZERO).await.expect("the log answers");
            answer
                .entries
                .iter()
                .any(|entry| entry.record.contains("key-withdrawn") && entry.record.contains(&hash))
        })
        .await;
    wait_until_key_is_refused(&stack, 0).await;
}

/// Guards against requests that run under a withdrawn key because the key was valid when they were
/// queued: they wait at an agent whose slots are all taken while the key is withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests_of_a_withdrawn_key_are_refused_as_not_run() {
    let plan = StackPlan {
        engines: 1,
        engine_arguments: vec!["--slots", "8", "--step-us", "4000"],
        ..StackPlan::default()
    };
    let stack = Stack::start(plan).await;
    let entry = &stack.entries[0];
    // Eight requests of another account with long answers occupy all slots.
    let long: Vec<ChatRequest> = (0..8)
        .map(|index| ChatRequest::new(&format!("long {index}"), 700).with_key(WORKSHOP_KEY))
        .collect();
    let waiting: Vec<ChatRequest> =
        (0..4).map(|index| ChatRequest::new(&format!("waiting {index}"), 5)).collect();
    let long_sends =
        futures::future::join_all(long.iter().map(|request| request.send(&stack, entry)));
    let waiting_sends = async {
        stack
            .wait_for("the slots are taken", async || {
                stack.received_requests(&stack.engines[0]).await.len() == 8
            })
            .await;
        let sends = waiting.iter().map(|request| request.send(&stack, entry));
        let withdraw = async {
            stack
                .wait_for("the requests wait", async || {
                    let url = format!("{}/status", stack.agents[0].url("operators"));
                    let waiting = stack.get_json(&url).await["endpoints"][0]["waiting"].clone();
                    let waiting = waiting.as_array().cloned().unwrap_or_default();
                    waiting.iter().filter_map(|count| count.as_u64()).sum::<u64>() == 4
                })
                .await;
            let hash = key_hash(SHOP_KEY);
            let withdrawn = KeyWithdrawn { hash: hash.as_str().into(), author: "ana".into() };
            let record = ConfigRecord::KeyWithdrawn(withdrawn);
            stack.config_log().append(&format!("w-{hash}"), &record).await.expect("appended");
        };
        let (answers, ()) = tokio::join!(futures::future::join_all(sends), withdraw);
        answers
    };
    let (long_answers, answers) = tokio::join!(long_sends, waiting_sends);
    for answer in &answers {
        assert_eq!(answer.status, 401, "{answer:?}");
        assert_eq!(answer.error["code"], "key_withdrawn");
        assert_eq!(answer.error["not_run"], true);
    }
    for (request, answer) in long.iter().zip(&long_answers) {
        request.assert_complete(answer, &stack).await;
    }
    assert_eq!(
        stack.received_requests(&stack.engines[0]).await.len(),
        8,
        "a refused request has run"
    );
}
