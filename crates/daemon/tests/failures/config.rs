//! Configuration: one winner of a race, in force everywhere, also without the log.

use std::time::Duration;

use pimentorock_kernel::record::{ConfigChange, ConfigEdit, ConfigRecord};
use serde_json::{Value, json};

use crate::{
    caller::ChatRequest,
    stack::{PATIENCE, Process, SHOP_KEY, Stack, StackPlan},
};

/// Time within which an accepted change has to be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

async fn weight(stack: &Stack, process: &Process) -> Value {
    let settings = stack.get_json(&format!("{}/settings", process.url("operators"))).await;
    settings.pointer("/tree/teams/north/accounts/shop/weight").cloned().unwrap_or(Value::Null)
}

fn weight_change(id: &str, base: u64, weight: u32) -> ConfigRecord {
    ConfigRecord::Change(ConfigChange {
        change_id: id.into(),
        base,
        author: id.into(),
        edits: vec![ConfigEdit {
            path: "/teams/north/accounts/shop/weight".into(),
            value: Some(json!(weight)),
        }],
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_wins_everywhere() {
    let stack = Stack::start(StackPlan::default()).await;
    let log = stack.config_log();
    let base = log.read(u64::MAX / 2, Duration::ZERO).await.expect("the log answers").end - 1;
    let (first, second) = (weight_change("first", base, 7), weight_change("second", base, 9));
    let (first, second) = tokio::join!(log.append("first", &first), log.append("second", &second));
    let winner = if first.expect("appended") < second.expect("appended") { 7 } else { 9 };
    for process in stack.entries.iter().chain(&stack.agents) {
        stack
            .wait_within(IN_FORCE_WITHIN, "the first change is in force", async || {
                weight(&stack, process).await == json!(winner)
            })
            .await;
    }
    // A later change proves that every process has judged both.
    let after = weight_change("third", base + 2, 5);
    log.append("third", &after).await.expect("appended");
    for process in stack.entries.iter().chain(&stack.agents) {
        stack
            .wait_within(IN_FORCE_WITHIN, "the third change is in force", async || {
                let weight = weight(&stack, process).await;
                assert!(weight == json!(winner) || weight == json!(5), "the loser came in force");
                weight == json!(5)
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_joins_in_an_outage_of_the_platform_serves() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let known: Vec<String> =
        stack.entries.iter().map(|entry| entry.address("peer").to_string()).collect();
    let known: Vec<String> = known
        .into_iter()
        .chain(stack.agents.iter().map(|agent| agent.address("peer").to_string()))
        .collect();
    stack.fault("all", "down").await;
    stack.add_entry_with_peers("entry-3", "north-2", &known).await;
    let request = ChatRequest::new("during the outage", 4);
    let entry = stack.entries.last().expect("the new entry");
    stack
        .wait_for("the new entry serves", async || request.send(&stack, entry).await.status == 200)
        .await;
    request.assert_complete(&request.send(&stack, entry).await, &stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_cut_off_from_all_others_stops_accepting_keys() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let cut_off = stack.entries.remove(0);
    stack.fault("all", "down").await;
    for process in stack.entries.iter().chain(&stack.agents) {
        process.signal("STOP");
    }
    let url = format!("{}/v1/models", cut_off.url("listen"));
    stack
        .wait_within(PATIENCE, "it refuses keys that it cannot confirm", async || {
            let answer =
                stack.http.get(&url).bearer_auth(SHOP_KEY).send().await.expect("an answer");
            let body: Value = answer.json().await.unwrap_or(Value::Null);
            body["error"]["code"] == "keys_unconfirmed" && body["error"]["not_run"] == true
        })
        .await;
    for process in stack.entries.iter().chain(&stack.agents) {
        process.signal("CONT");
    }
}
