//! Configuration: concurrent changes, and processes without the log or without peers.

use std::time::Duration;

use pimentorock_kernel::record::{ConfigChange, ConfigEdit, ConfigRecord};
use serde_json::{Value, json};

use crate::{
    caller::ChatRequest,
    stack::{EVENT_TIMEOUT, Process, SHOP_KEY, Stack, StackPlan},
};

/// Time within which an accepted change must be in force in every process.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

/// Returns the weight of the account `north/shop` that is in force in `process`, or null.
async fn weight_in_force(stack: &Stack, process: &Process) -> Value {
    let settings = stack.get_json(&format!("{}/settings", process.url("operators"))).await;
    settings.pointer("/tree/teams/north/accounts/shop/weight").cloned().unwrap_or(Value::Null)
}

/// Returns a change that sets this weight, made against `base`.
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

/// Guards against processes that apply different changes: two operators append a change to the same
/// base at the same time, and only the first one in the log may come into force.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_every_process_applies_the_first() {
    let stack = Stack::start(StackPlan::default()).await;
    let log = stack.config_log();
    let base = log.read(u64::MAX / 2, Duration::ZERO).await.expect("the log answers").end - 1;
    let (first, second) = (weight_change("first", base, 7), weight_change("second", base, 9));
    let (first, second) = tokio::join!(log.append("first", &first), log.append("second", &second));
    let winner = if first.expect("appended") < second.expect("appended") { 7 } else { 9 };
    for process in stack.entries.iter().chain(&stack.agents) {
        stack
            .wait_within(IN_FORCE_WITHIN, "the first change is in force", async || {
                weight_in_force(&stack, process).await == json!(winner)
            })
            .await;
    }
    // A later change proves that every process has applied or refused both changes.
    let after = weight_change("third", base + 2, 5);
    log.append("third", &after).await.expect("appended");
    for process in stack.entries.iter().chain(&stack.agents) {
        stack
            .wait_within(IN_FORCE_WITHIN, "the third change is in force", async || {
                let weight = weight_in_force(&stack, process).await;
                assert!(
                    weight == json!(winner) || weight == json!(5),
                    "the second change came into force: {weight}"
                );
                weight == json!(5)
            })
            .await;
    }
}

/// Guards against an entry that depends on the platform to start: while the platform is down, a new
/// entry must get configuration, keys and endpoints from peers in its settings.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_during_a_platform_outage_serves_requests() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let peers: Vec<String> =
        stack.entries.iter().map(|entry| entry.address("peer").to_string()).collect();
    let peers: Vec<String> = peers
        .into_iter()
        .chain(stack.agents.iter().map(|agent| agent.address("peer").to_string()))
        .collect();
    stack.fault("all", "down").await;
    stack.add_entry_with_peers("entry-3", "north-2", &peers).await;
    let request = ChatRequest::new("during the outage", 4);
    let entry = stack.entries.last().expect("the new entry");
    stack
        .wait_for("the new entry serves", async || request.send(&stack, entry).await.status == 200)
        .await;
    request.assert_complete(&request.send(&stack, entry).await, &stack).await;
}

/// Guards against an entry that accepts withdrawn keys: without the log and without peers it cannot
/// learn of withdrawals, so it must refuse all keys after a time.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_isolated_from_all_others_stops_accepting_keys() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let isolated = stack.entries.remove(0);
    stack.fault("all", "down").await;
    for process in stack.entries.iter().chain(&stack.agents) {
        process.signal("STOP");
    }
    let url = format!("{}/v1/models", isolated.url("listen"));
    stack
        .wait_within(
            EVENT_TIMEOUT,
            "the isolated entry refuses keys that it cannot confirm",
            async || {
                let answer =
                    stack.http.get(&url).bearer_auth(SHOP_KEY).send().await.expect("an answer");
                let body: Value = answer.json().await.unwrap_or(Value::Null);
                body["error"]["code"] == "keys_unconfirmed" && body["error"]["not_run"] == true
            },
        )
        .await;
    for process in stack.entries.iter().chain(&stack.agents) {
        process.signal("CONT");
    }
}
