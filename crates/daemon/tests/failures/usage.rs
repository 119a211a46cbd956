//! Usage: counts are exact, and repeated reports of a window have the same figures.

use std::{collections::BTreeMap, time::Duration};

use futures::future::join_all;
use serde_json::{Value, json};

use crate::{
    caller::ChatRequest,
    stack::{Stack, StackPlan, WORKSHOP_KEY},
};

/// Number of requests and of output tokens by account.
type Totals = BTreeMap<String, (u64, u64)>;

/// Sums the reports; fails if an account has two different reports for one window.
fn sum_reports(reports: &[Value]) -> Totals {
    let mut figures: BTreeMap<(u64, String), Value> = BTreeMap::new();
    for report in reports {
        let window = report["window_start_ms"].as_u64().expect("a window");
        let account = report["account"].as_str().expect("an account").to_owned();
        let counts = json!([report["requests"], report["prompt_tokens"], report["output_tokens"]]);
        let known = figures.entry((window, account)).or_insert_with(|| counts.clone());
        assert_eq!(*known, counts, "one window was reported with different figures: {reports:?}");
    }
    let mut totals = Totals::new();
    for ((_, account), counts) in figures {
        let sum = totals.entry(account).or_default();
        sum.0 += counts[0].as_u64().unwrap_or_default();
        sum.1 += counts[2].as_u64().unwrap_or_default();
    }
    totals
}

/// Sets the usage window to 2 s and waits until every entry applies the change.
async fn use_short_windows(stack: &mut Stack) {
    stack.change(vec![("/fleet/usage", Some(json!({"window": "2s"})))]).await;
    let entries: Vec<String> =
        stack.entries.iter().map(|entry| format!("{}/settings", entry.url("operators"))).collect();
    for url in entries {
        stack
            .wait_for("the short window is in force", async || {
                stack.get_json(&url).await["tree"]["fleet"]["usage"]["window"] == "2s"
            })
            .await;
    }
}

/// Sends 20 requests of two accounts through both entries and returns the expected totals.
async fn serve_requests(stack: &Stack) -> Totals {
    let mut expected = Totals::new();
    let requests: Vec<ChatRequest> = (0..20u32)
        .map(|index| {
            let request = ChatRequest::new(&format!("billed {index}"), 3 + index);
            let request = if index % 4 == 0 { request.without_streaming() } else { request };
            if index % 2 == 0 { request.with_key(WORKSHOP_KEY) } else { request }
        })
        .collect();
    let sends = requests.iter().enumerate();
    let sends = sends.map(|(index, request)| request.send(stack, &stack.entries[index % 2]));
    for ((index, request), answer) in requests.iter().enumerate().zip(join_all(sends).await) {
        request.assert_complete(&answer, stack).await;
        let account = if index % 2 == 0 { "north/workshop" } else { "north/shop" };
        let sum = expected.entry(account.to_owned()).or_default();
        sum.0 += 1;
        sum.1 += 3 + index as u64;
    }
    expected
}

/// Kills the lease holder, clears the fault of the usage interface and starts the holder again.
async fn replace_reporter(stack: &mut Stack) {
    let holder = stack.lease_holder(&stack.entries[0]).await;
    let index = stack.entries.iter().position(|entry| entry.name == holder).expect("an entry");
    stack.entries.remove(index).kill();
    stack.fault("usage", "ok").await;
    // The new run confirms that the former run has relinquished the lease, so that another entry
    // can take over.
    stack.add_entry(&holder, "north-1").await;
}

/// Waits until the reports add up to `expected`.
async fn wait_for_totals(stack: &Stack, expected: &Totals) {
    stack
        .wait_for(&format!("the reports add up to {expected:?}"), async || {
            let reports = stack.control("GET", "/stand-in/usage", None).await;
            let reports = reports.as_array().cloned().unwrap_or_default();
            sum_reports(&reports) == *expected
        })
        .await;
}

/// Guards against usage that is lost with an agent: the agent is killed before its last counts are
/// in the log.
#[tokio::test(flavor = "multi_thread")]
async fn reports_match_served_requests_after_an_agent_is_killed() {
    let mut stack = Stack::start(StackPlan::default()).await;
    use_short_windows(&mut stack).await;
    let expected = serve_requests(&stack).await;
    // The agent's last counts are not in the log yet, but the entries have a backup of them.
    stack.agents[0].kill();
    wait_for_totals(&stack, &expected).await;
}

/// Guards against a window with two different reports: the reporter is killed after the platform
/// received a report whose answer was lost, so its successor must send the same figures again.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_repeats_a_report_whose_answer_was_lost_with_the_same_figures() {
    let mut stack = Stack::start(StackPlan::default()).await;
    use_short_windows(&mut stack).await;
    stack.fault("usage", "lose-answer").await;
    let expected = serve_requests(&stack).await;
    stack
        .wait_for("a report has reached the platform and its answer is lost", async || {
            let reports = stack.control("GET", "/stand-in/usage", None).await;
            reports.as_array().is_some_and(|reports| !reports.is_empty())
        })
        .await;
    replace_reporter(&mut stack).await;
    wait_for_totals(&stack, &expected).await;
}

/// Guards against usage that is lost or counted twice if the reporter is killed after the counts,
/// the closing or the report of a window reached the log.
#[tokio::test(flavor = "multi_thread")]
async fn killing_the_reporter_at_any_step_of_a_window_changes_no_figure() {
    // Fault of the usage interface, and the log record after which the holder is killed.
    for (mode, record) in
        [("down", "usage-batch"), ("down", "window-closed"), ("ok", "window-reported")]
    {
        let mut stack = Stack::start(StackPlan::default()).await;
        stack.fault("usage", mode).await;
        use_short_windows(&mut stack).await;
        let expected = serve_requests(&stack).await;
        let log = stack.state_log();
        stack
            .wait_for(&format!("the log holds a {record}"), async || {
                let answer = log.read(0, Duration::ZERO).await.expect("the log answers");
                let mut found = answer.entries.iter().filter(|entry| entry.record.contains(record));
                // The record that marks a window as reported does not name an account.
                found.any(|entry| mode == "ok" || entry.record.contains("north/shop"))
            })
            .await;
        replace_reporter(&mut stack).await;
        wait_for_totals(&stack, &expected).await;
    }
}
