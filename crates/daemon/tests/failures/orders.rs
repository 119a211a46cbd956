//! Orders to the platform, which only the lease holder sends.

use std::{collections::HashSet, time::Duration};

use serde_json::Value;

use crate::stack::{SHOP_KEY, Stack, StackPlan};

/// Time limit for a takeover, including the 30 s for which the host list must lack the holder.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(75);

/// Returns a deployment with one running and one stopped engine under a scaling policy.
fn scaling_plan() -> StackPlan {
    StackPlan {
        engines: 1,
        stopped_engines: 1,
        service: false,
        scale: "steady",
        ..StackPlan::default()
    }
}

/// Returns the orders that the platform stand-in received.
async fn sent_orders(stack: &Stack) -> Vec<Value> {
    let orders = stack.control("GET", "/stand-in/orders", None).await;
    orders.as_array().cloned().unwrap_or_default()
}

/// Fails if an order was received twice, or under a lower fencing number than an earlier order.
fn assert_fenced(orders: &[Value]) {
    let mut ids = HashSet::new();
    let mut highest = 0;
    for order in orders {
        assert!(ids.insert(order["id"].to_string()), "an order was sent twice: {orders:?}");
        let fencing = order["fencing"].as_u64().expect("a fencing number");
        assert!(
            fencing >= highest,
            "an order under {fencing} came after one under {highest}: {orders:?}"
        );
        highest = fencing;
    }
}

/// Waits until an entry holds the lease and returns the index of the entry.
async fn wait_for_holder(stack: &Stack) -> usize {
    stack
        .wait_for("an entry holds the lease", async || {
            !stack.lease_holder(&stack.entries[0]).await.is_empty()
        })
        .await;
    let holder = stack.lease_holder(&stack.entries[0]).await;
    stack.entries.iter().position(|entry| entry.name == holder).expect("an entry")
}

/// Guards against an order that is sent again because its answer was lost, although it took effect:
/// the sender must wait for the host list.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_sent_once() {
    let mut stack = Stack::start(scaling_plan()).await;
    wait_for_holder(&stack).await;
    stack.fault("orders", "lose-answer").await;
    stack.engines[0].kill();
    stack.wait_for("an endpoint is ordered", async || !sent_orders(&stack).await.is_empty()).await;
    stack
        .wait_for("the order is settled by the host list", async || {
            let log = stack.state_log().read(0, Duration::ZERO).await.expect("the log answers");
            log.entries.iter().any(|entry| entry.record.contains("order-settled"))
        })
        .await;
    let orders = sent_orders(&stack).await;
    assert_fenced(&orders);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

/// Number of lease renewals that span several checks of the fleet.
const RENEWALS_AFTER_ORDER: usize = 5;

/// Guards against a second order for an endpoint that has not started yet when the holder checks
/// the fleet again.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_starts_slowly_is_ordered_once() {
    let mut stack = Stack::start(scaling_plan()).await;
    wait_for_holder(&stack).await;
    stack.engines[0].kill();
    let log = stack.state_log();
    stack
        .wait_for("the holder has checked the fleet again after the order", async || {
            let answer = log.read(0, Duration::ZERO).await.expect("the log answers");
            let records = answer.entries.iter().map(|entry| &entry.record);
            let later = records.skip_while(|record| !record.contains("order-settled"));
            let renewals = later.filter(|record| record.contains("lease-renewal")).count();
            renewals >= RENEWALS_AFTER_ORDER
        })
        .await;
    let orders = sent_orders(&stack).await;
    assert_fenced(&orders);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

/// Guards against orders of a former lease holder: the holder is paused with a recorded order that
/// it has not sent, another entry takes over, and the former holder resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_lease_holder_sends_no_order_after_a_takeover() {
    let mut stack = Stack::start(StackPlan { service: true, ..scaling_plan() }).await;
    let holder = wait_for_holder(&stack).await;
    let other = 1 - holder;
    let name = stack.entries[holder].name.clone();
    // The holder is paused after it recorded an order and before it can send the order.
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
        .wait_within(TAKEOVER_TIMEOUT, "the other entry orders an endpoint", async || {
            !sent_orders(&stack).await.is_empty()
        })
        .await;
    assert_eq!(stack.lease_holder(&stack.entries[other]).await, stack.entries[other].name);
    // The holder resumes while the log and the host list are unreachable, so that only its own
    // clock shows that its lease has lapsed.
    stack.fault("read", "down").await;
    stack.fault("hosts", "down").await;
    stack.entries[holder].signal("CONT");
    let url = format!("{}/services/stock/slow/3000", stack.entries[holder].url("listen"));
    stack
        .wait_for(
            "the resumed entry has served a call that spans three of its checks of the orders",
            async || {
                let call = stack.http.post(&url).bearer_auth(SHOP_KEY).body("{}").send().await;
                call.is_ok_and(|answer| answer.status().is_success())
            },
        )
        .await;
    assert_fenced(&sent_orders(&stack).await);
    stack.fault("hosts", "ok").await;
    stack.fault("read", "ok").await;
    stack
        .wait_for("the resumed entry knows the new holder", async || {
            stack.lease_holder(&stack.entries[holder]).await == stack.entries[other].name
        })
        .await;
    let orders = sent_orders(&stack).await;
    assert_fenced(&orders);
    let senders: HashSet<String> = orders.iter().map(|order| order["sender"].to_string()).collect();
    assert_eq!(senders.len(), 1, "{orders:?}");
}
