//! Orders to the platform under the lease.

use std::{collections::HashSet, time::Duration};

use serde_json::Value;

use crate::stack::{SHOP_KEY, Stack, StackPlan};

/// Time that a successor needs besides the 30 s for which the host list must lack the holder.
const TAKEOVER_PATIENCE: Duration = Duration::from_secs(75);

fn plan() -> StackPlan {
    StackPlan {
        engines: 1,
        stopped_engines: 1,
        service: false,
        scale: "steady",
        ..StackPlan::default()
    }
}

async fn orders(stack: &Stack) -> Vec<Value> {
    let orders = stack.control("GET", "/stand-in/orders", None).await;
    orders.as_array().cloned().unwrap_or_default()
}

/// Fails if an order came twice, or under an older number than one before it.
fn assert_fenced(orders: &[Value]) {
    let mut ids = HashSet::new();
    let mut highest = 0;
    for order in orders {
        assert!(ids.insert(order["id"].to_string()), "an order was sent twice: {orders:?}");
        let fencing = order["fencing"].as_u64().expect("a fencing number");
        assert!(fencing >= highest, "a former holder sent an order: {orders:?}");
        highest = fencing;
    }
}

async fn wait_for_holder(stack: &Stack) -> usize {
    stack
        .wait_for("an entry holds the lease", async || {
            !stack.lease_holder(&stack.entries[0]).await.is_empty()
        })
        .await;
    let holder = stack.lease_holder(&stack.entries[0]).await;
    stack.entries.iter().position(|entry| entry.name == holder).expect("an entry")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_sent_once() {
    let mut stack = Stack::start(plan()).await;
    wait_for_holder(&stack).await;
    stack.fault("orders", "lose-answer").await;
    stack.engines[0].kill();
    stack.wait_for("an endpoint is ordered", async || !orders(&stack).await.is_empty()).await;
    stack
        .wait_for("the order is settled by the host list", async || {
            let log = stack.state_log().read(0, Duration::ZERO).await.expect("the log answers");
            log.entries.iter().any(|entry| entry.record.contains("order-settled"))
        })
        .await;
    let orders = orders(&stack).await;
    assert_fenced(&orders);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

/// Records of the holder's renewals that span several looks at the fleet.
const RENEWALS_AFTER_ORDER: usize = 5;

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_takes_long_to_start_is_ordered_once() {
    let mut stack = Stack::start(plan()).await;
    wait_for_holder(&stack).await;
    stack.engines[0].kill();
    let log = stack.state_log();
    stack
        .wait_for("the holder looked at the fleet again after the order", async || {
            let answer = log.read(0, Duration::ZERO).await.expect("the log answers");
            let records = answer.entries.iter().map(|entry| &entry.record);
            let later = records.skip_while(|record| !record.contains("order-settled"));
            let renewals = later.filter(|record| record.contains("lease-renewal")).count();
            renewals >= RENEWALS_AFTER_ORDER
        })
        .await;
    let orders = orders(&stack).await;
    assert_fenced(&orders);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_sends_nothing_after_another_took_over() {
    let mut stack = Stack::start(StackPlan { service: true, ..plan() }).await;
    let holder = wait_for_holder(&stack).await;
    let other = 1 - holder;
    let name = stack.entries[holder].name.clone();
    // The holder freezes with an order that it has recorded and still has to send.
    stack.fault("orders", "down").await;
    stack.engines[0].kill();
    let log = stack.state_log();
    stack
        .wait_for("the holder has recorded an order", async || {
            let answer = log.read(0, Duration::ZERO).await.expect("the log answers");
            answer.entries.iter().any(|entry| entry.record.contains("order-intent"))
        })
        .await;
    stack.entries[holder].signal("STOP");
    stack.control("DELETE", &format!("/stand-in/hosts/host-{name}"), None).await;
    stack.fault("orders", "ok").await;
    stack
        .wait_within(TAKEOVER_PATIENCE, "the other entry orders an endpoint", async || {
            !orders(&stack).await.is_empty()
        })
        .await;
    assert_eq!(stack.lease_holder(&stack.entries[other]).await, stack.entries[other].name);
    // It thaws with the log and the host list out of reach, so that only its own clock tells it
    // that it is out.
    stack.fault("read", "down").await;
    stack.fault("hosts", "down").await;
    stack.entries[holder].signal("CONT");
    let url = format!("{}/services/stock/slow/3000", stack.entries[holder].url("listen"));
    stack
        .wait_for(
            "the thawed entry has served a call of three of its looks at orders",
            async || {
                let call = stack.http.post(&url).bearer_auth(SHOP_KEY).body("{}").send().await;
                call.is_ok_and(|answer| answer.status().is_success())
            },
        )
        .await;
    assert_fenced(&orders(&stack).await);
    stack.fault("hosts", "ok").await;
    stack.fault("read", "ok").await;
    stack
        .wait_for("the thawed entry knows the new holder", async || {
            stack.lease_holder(&stack.entries[holder]).await == stack.entries[other].name
        })
        .await;
    let orders = orders(&stack).await;
    assert_fenced(&orders);
    let senders: HashSet<String> = orders.iter().map(|order| order["sender"].to_string()).collect();
    assert_eq!(senders.len(), 1, "{orders:?}");
}
