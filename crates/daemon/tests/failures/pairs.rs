//! Combinations of two failures.

use futures::future::join_all;
use serde_json::{Value, json};

use crate::{
    caller::{ChatAnswer, ChatRequest},
    stack::{SHOP_KEY, Stack, StackPlan, WORKSHOP_KEY, key_hash},
};

/// Withdraws the key of the account `shop` through the entry at `index`.
async fn withdraw_key(stack: &Stack, index: usize) {
    let url = format!("{}/keys/withdraw", stack.entries[index].url("operators"));
    let body = json!({"hash": key_hash(SHOP_KEY), "author": "ana"});
    let answer = stack.http.post(url).json(&body).send().await.expect("an answer");
    assert!(answer.status().is_success());
}

/// Sends a short request with `key` through the entry at `index`.
async fn send_with_key(stack: &Stack, index: usize, key: &'static str) -> ChatAnswer {
    ChatRequest::new("with a key", 1).with_key(key).send(stack, &stack.entries[index]).await
}

/// Waits until the entry at `index` refuses the withdrawn key.
async fn wait_until_refused(stack: &Stack, index: usize) {
    stack
        .wait_for("the withdrawn key is refused", async || {
            send_with_key(stack, index, SHOP_KEY).await.status == 401
        })
        .await;
}

/// Guards against a withdrawn key that an entry accepts because the entry starts while the log is
/// down and the entry that received the withdrawal has been killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_during_a_log_outage_is_refused_by_an_entry_started_during_the_outage() {
    let mut stack = Stack::start(StackPlan::default()).await;
    stack.fault("all", "down").await;
    withdraw_key(&stack, 0).await;
    wait_until_refused(&stack, 1).await;
    stack.entries[0].kill();
    let known = stack.agents.iter().chain(&stack.entries[1..]);
    let known: Vec<String> = known.map(|peer| peer.address("peer").to_string()).collect();
    stack.add_entry_with_peers("entry-3", "north-1", &known).await;
    stack
        .wait_for("the new entry serves the other account", async || {
            let withdrawn = send_with_key(&stack, 2, SHOP_KEY).await;
            assert_ne!(withdrawn.status, 200, "the withdrawn key was accepted");
            send_with_key(&stack, 2, WORKSHOP_KEY).await.status == 200
        })
        .await;
    wait_until_refused(&stack, 2).await;
}

/// Guards against settings changes and key withdrawals that are lost or delayed indefinitely when
/// reads of the log are slow and the answers to appends are lost.
#[tokio::test(flavor = "multi_thread")]
async fn settings_and_a_key_withdrawal_take_effect_over_a_slow_log_that_loses_answers() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let slow = json!({"interface": "read", "mode": "slow", "millis": 500, "count": null});
    stack.control("POST", "/stand-in/faults", Some(&slow)).await;
    let weight = "/teams/north/accounts/shop/weight";
    stack.change(vec![(weight, Some(json!(7)))]).await;
    stack.fault("append", "lose-answer").await;
    withdraw_key(&stack, 0).await;
    for index in 0..2 {
        wait_until_refused(&stack, index).await;
        let url = format!("{}/settings", stack.entries[index].url("operators"));
        stack
            .wait_for("the new weight is in force", async || {
                let settings = stack.get_json(&url).await;
                settings.pointer(&format!("/tree{weight}")) == Some(&json!(7))
            })
            .await;
        assert_eq!(send_with_key(&stack, index, WORKSHOP_KEY).await.status, 200);
    }
    let log = stack.config_log();
    stack
        .wait_for("the log holds the withdrawal", async || {
            let answer = log.read(0, std::time::Duration::ZERO).await.expect("the log answers");
            answer.entries.iter().any(|entry| entry.record.contains("key-withdrawn"))
        })
        .await;
}

/// Guards against requests that run twice, or whose error wrongly says that they did not run, when
/// an agent is killed under load while the log is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_during_a_log_outage_and_an_agent_crash_gets_complete_answers_or_accurate_errors() {
    let mut stack = Stack::start(StackPlan::default()).await;
    stack.fault("all", "down").await;
    let requests: Vec<ChatRequest> = (0..80)
        .map(|index| {
            let request = ChatRequest::new(&format!("burst {index}"), 200).without_streaming();
            let request = request.with_header("x-request-deadline", "8s");
            if index % 3 == 0 { request.with_class("once") } else { request }
        })
        .collect();
    let mut agent = stack.agents.remove(0);
    let stack = &stack;
    let sends = join_all(requests.iter().enumerate().map(|(index, request)| {
        let entry = &stack.entries[index % 2];
        request.send(stack, entry)
    }));
    let (answers, ()) = tokio::join!(sends, async {
        stack
            .wait_for("both engines run requests", async || {
                let first = stack.received_requests(&stack.engines[0]).await.len();
                first > 1 && stack.received_requests(&stack.engines[1]).await.len() > 1
            })
            .await;
        agent.kill();
    });
    let mut received: Vec<Value> = stack.received_requests(&stack.engines[0]).await;
    received.extend(stack.received_requests(&stack.engines[1]).await);
    let runs = |id: &str| {
        let ids = received.iter().filter_map(|run| run["request_id"].as_str());
        ids.filter(|run| run.starts_with(id)).count()
    };
    for (request, answer) in requests.iter().zip(&answers) {
        assert!(
            request.class != "once" || runs(&answer.request_id) <= 1,
            "the request ran more than once: {answer:?}"
        );
        if answer.status == 200 {
            request.assert_complete(answer, stack).await;
        } else if answer.error["not_run"] == json!(true) {
            assert_eq!(runs(&answer.request_id), 0, "the refused request ran: {answer:?}");
        } else {
            assert_eq!(answer.error["not_run"], json!(false), "{answer:?}");
        }
    }
    assert!(answers.iter().any(|answer| answer.status == 200), "no request was served");
}
