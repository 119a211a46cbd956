//! Processes that are killed or stopped while they serve requests.

use futures::{StreamExt, future::join_all};
use serde_json::json;

use crate::{
    caller::ChatRequest,
    stack::{SHOP_KEY, Stack, StackPlan},
};

/// Guards against idempotent requests that fail because an engine is killed while it runs them,
/// although another engine can run them again.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_killed_mid_answer_loses_no_idempotent_request() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let requests: Vec<ChatRequest> = (0..16)
        .map(|index| ChatRequest::new(&format!("survivor {index}"), 400).without_streaming())
        .collect();
    let mut engine = stack.engines.remove(0);
    let stack = &stack;
    let sends = join_all(requests.iter().map(|request| request.send(stack, &stack.entries[0])));
    let (answers, ()) = tokio::join!(sends, async {
        stack
            .wait_for("the engine runs some of the requests", async || {
                stack.received_requests(&engine).await.len() >= 2
            })
            .await;
        engine.kill();
    });
    for (request, answer) in requests.iter().zip(&answers) {
        request.assert_complete(answer, stack).await;
    }
}

/// Guards against a second run of a non-idempotent request whose agent is killed after the service
/// has received the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_is_never_sent_twice() {
    let mut stack = Stack::start(StackPlan::default()).await;
    let service = stack.service.take().expect("a service");
    // The stack starts the service's agent last.
    let mut agent = stack.agents.pop().expect("the service's agent");
    let url = format!("{}/services/stock/slow/30000", stack.entries[0].url("listen"));
    let call = stack.http.post(url).bearer_auth(SHOP_KEY).body("{\"order\":1}").send();
    let (answer, ()) = tokio::join!(call, async {
        stack
            .wait_for("the service has the call", async || {
                stack.received_requests(&service).await.len() == 1
            })
            .await;
        agent.kill();
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status().as_u16(), 502);
    let body: serde_json::Value = answer.json().await.expect("JSON");
    assert_eq!(body["error"]["code"], "outcome_unknown");
    assert_eq!(body["error"]["not_run"], json!(false));
    assert_eq!(stack.received_requests(&service).await.len(), 1);
}

/// Guards against truncated answers when an entry and an agent receive SIGTERM while they serve
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_shutdown_interrupts_no_request() {
    let mut stack = Stack::start(StackPlan::default()).await;
    stack.add_entry("entry-3", "north-1").await;
    stack.wait_ready().await;
    let mut entry = stack.entries.pop().expect("the third entry");
    let mut agent = stack.agents.remove(0);
    let requests: Vec<ChatRequest> =
        (0..12).map(|index| ChatRequest::new(&format!("drained {index}"), 900)).collect();
    let sends = join_all(requests.iter().enumerate().map(|(index, request)| {
        let entry = if index % 2 == 0 { &entry } else { &stack.entries[0] };
        request.send(&stack, entry)
    }));
    let shut_down = async {
        stack
            .wait_for("both engines run requests", async || {
                let first = stack.received_requests(&stack.engines[0]).await.len();
                let second = stack.received_requests(&stack.engines[1]).await.len();
                first > 0 && second > 0 && first + second == requests.len()
            })
            .await;
        entry.signal("TERM");
        agent.signal("TERM");
    };
    let (answers, ()) = tokio::join!(sends, shut_down);
    for (request, answer) in requests.iter().zip(&answers) {
        request.assert_complete(answer, &stack).await;
    }
    assert!(entry.ended().await);
    assert!(agent.ended().await);
}

/// Guards against a run that continues at an engine after the entry that requested it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_mid_stream_cancels_the_run() {
    let mut stack = Stack::start(StackPlan { engines: 1, ..StackPlan::default() }).await;
    let request = ChatRequest::new("orphan", 100_000);
    let mut response = request
        .call(&stack, &stack.entries[0])
        .send()
        .await
        .expect("an answer begins")
        .bytes_stream();
    assert!(response.next().await.is_some());
    stack.entries[0].kill();
    stack
        .wait_for("the engine has cancelled the run", async || {
            let received = stack.received_requests(&stack.engines[0]).await;
            received.iter().any(|run| run["outcome"] == "cancelled")
        })
        .await;
    let other = ChatRequest::new("next", 3);
    other.assert_complete(&other.send(&stack, &stack.entries[1]).await, &stack).await;
}

/// Guards against a request that crashes one engine after another because it is retried, and
/// against innocent requests that fail because they were running at the crashed engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_takes_at_most_two() {
    let plan = StackPlan {
        engines: 4,
        engine_arguments: vec!["--slots", "8", "--step-us", "2000", "--crash-on", "poison"],
        ..StackPlan::default()
    };
    let mut stack = Stack::start(plan).await;
    let innocent_requests: Vec<ChatRequest> = (0..24)
        .map(|index| ChatRequest::new(&format!("innocent {index}"), 300).without_streaming())
        .collect();
    let poison = ChatRequest::new("poison", 5).without_streaming();
    let sends = join_all(innocent_requests.iter().enumerate().map(|(index, request)| {
        let entry = &stack.entries[index % 2];
        request.send(&stack, entry)
    }));
    let crashes = async {
        stack
            .wait_for("all engines run innocent requests", async || {
                for engine in &stack.engines {
                    if stack.received_requests(engine).await.is_empty() {
                        return false;
                    }
                }
                true
            })
            .await;
        // The caller repeats the request through both entries at the same time.
        for _ in 0..6 {
            let first = poison.send(&stack, &stack.entries[0]);
            let second = poison.send(&stack, &stack.entries[1]);
            tokio::join!(first, second);
        }
        let last = poison.send(&stack, &stack.entries[1]).await;
        assert_eq!(last.error["code"], "suspected_of_crashes", "{last:?}");
        assert_eq!(last.error["not_run"], true);
    };
    let (answers, ()) = tokio::join!(sends, crashes);
    for (request, answer) in innocent_requests.iter().zip(&answers) {
        request.assert_complete(answer, &stack).await;
    }
    let lost = stack.engines.iter_mut().filter_map(|engine| (!engine.is_running()).then_some(()));
    assert!(lost.count() <= 2, "more than two engines were lost");
}
