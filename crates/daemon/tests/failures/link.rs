//! A connection between an agent and its engine that stalls in either direction and breaks.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use crate::{
    caller::{ChatAnswer, ChatRequest},
    stack::{Stack, StackPlan},
};

/// Maximum number of bytes per read.
const BUFFER_BYTES: usize = 8 << 10;

/// The stalled directions of the link and the number of times its connections were broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    stalled_to_engine: bool,
    stalled_to_agent: bool,
    breaks: u64,
}

/// A proxy that forwards connections to one address and can stall or break them.
struct StallableLink {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of bytes that were read while their direction was stalled.
    stalled_bytes: Arc<AtomicU64>,
}

impl StallableLink {
    async fn start(target: SocketAddr) -> StallableLink {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (state, watcher) = watch::channel(LinkState::default());
        let stalled_bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&stalled_bytes);
        tokio::spawn(async move {
            while let Ok((agent, _)) = listener.accept().await {
                let Ok(engine) = TcpStream::connect(target).await else { continue };
                let (agent_read, agent_write) = agent.into_split();
                let (engine_read, engine_write) = engine.into_split();
                let to_engine = |state: &LinkState| state.stalled_to_engine;
                let to_agent = |state: &LinkState| state.stalled_to_agent;
                let watch = || (watcher.clone(), Arc::clone(&counter));
                tokio::spawn(forward(agent_read, engine_write, watch(), to_engine));
                tokio::spawn(forward(engine_read, agent_write, watch(), to_agent));
            }
        });
        StallableLink { address, state, stalled_bytes }
    }

    /// Stalls the given directions and resumes the others.
    fn stall(&self, to_engine: bool, to_agent: bool) {
        self.state.send_modify(|state| {
            state.stalled_to_engine = to_engine;
            state.stalled_to_agent = to_agent;
        });
    }

    /// Closes all connections; new connections are forwarded in both directions.
    fn break_all(&self) {
        self.state.send_modify(|state| {
            *state = LinkState { breaks: state.breaks + 1, ..LinkState::default() };
        });
    }
}

/// Forwards the bytes of one direction, which waits while the direction is stalled.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (mut watcher, stalled_bytes): (watch::Receiver<LinkState>, Arc<AtomicU64>),
    stalled: fn(&LinkState) -> bool,
) {
    let breaks = watcher.borrow().breaks;
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            _ = watcher.wait_for(|state| state.breaks > breaks) => return,
            read = from.read(&mut buffer) => read,
        };
        let Ok(length @ 1..) = read else { return };
        if stalled(&watcher.borrow()) {
            stalled_bytes.fetch_add(length as u64, Ordering::Relaxed);
        }
        let passes = watcher.wait_for(|state| state.breaks > breaks || !stalled(state)).await;
        let Ok(state) = passes.map(|state| *state) else { return };
        if state.breaks > breaks {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Starts a stack whose second engine is reached through a link, and returns both.
async fn start_stack_with_link() -> (Stack, StallableLink) {
    let plan = StackPlan { engines: 1, stopped_engines: 1, ..StackPlan::default() };
    let arguments = plan.engine_arguments.clone();
    let mut stack = Stack::start(plan).await;
    let engine = stack.start_engine("engine-2", &arguments);
    let link = StallableLink::start(engine.address("listening")).await;
    stack.add_agent("agent-2", "north-2", "engine-2", &format!("http://{}", link.address)).await;
    stack.engines.push(engine);
    stack.wait_ready().await;
    (stack, link)
}

/// Returns `count` non-streamed requests, every other one of the non-idempotent class `once`.
fn build_requests(label: &str, count: u32) -> Vec<ChatRequest> {
    let requests = (0..count).map(|index| {
        let request = ChatRequest::new(&format!("{label} {index}"), 300).without_streaming();
        if index % 2 == 0 { request.with_class("once") } else { request }
    });
    requests.collect()
}

/// Panics unless the answer is complete, or the request is of the class `once` and its outcome is
/// reported as unknown.
async fn assert_complete_or_outcome_unknown(
    stack: &Stack,
    request: &ChatRequest,
    answer: &ChatAnswer,
) {
    if request.class == "once" && answer.error["code"] == "outcome_unknown" {
        assert_eq!(answer.error["not_run"], false, "{answer:?}");
        return;
    }
    request.assert_complete(answer, stack).await;
}

/// Guards against non-idempotent requests that run twice, and against answers that reach the wrong
/// caller, when the connection to an engine stalls in one or both directions and then breaks.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_and_broken_link_neither_repeats_requests_nor_mixes_up_answers() {
    let (stack, link) = start_stack_with_link().await;
    let entry = &stack.entries[0];
    let mut sent = Vec::new();
    for (round, (to_engine, to_agent)) in
        [(true, false), (false, true), (true, true)].into_iter().enumerate()
    {
        let first = build_requests(&format!("before {round}"), 8);
        let later = build_requests(&format!("stalled {round}"), 16);
        let received = stack.received_requests(&stack.engines[1]).await.len();
        let stalled_bytes = link.stalled_bytes.load(Ordering::Relaxed);
        let breaking = async {
            stack
                .wait_for("the engine behind the link runs a request", async || {
                    stack.received_requests(&stack.engines[1]).await.len() > received
                })
                .await;
            link.stall(to_engine, to_agent);
            let sends = join_all(later.iter().map(|request| request.send(&stack, entry)));
            let ((), answers) = tokio::join!(
                async {
                    stack
                        .wait_for("the link has stalled some bytes", async || {
                            link.stalled_bytes.load(Ordering::Relaxed) > stalled_bytes
                        })
                        .await;
                    link.break_all();
                },
                sends
            );
            answers
        };
        let sends = join_all(first.iter().map(|request| request.send(&stack, entry)));
        let (answers, late_answers) = tokio::join!(sends, breaking);
        let answers = answers.iter().chain(&late_answers);
        for (request, answer) in first.iter().chain(&later).zip(answers) {
            assert_complete_or_outcome_unknown(&stack, request, answer).await;
            sent.push((request.clone(), answer.clone()));
        }
        let after = ChatRequest::new(&format!("after {round}"), 3);
        after.assert_complete(&after.send(&stack, entry).await, &stack).await;
    }
    for (request, answer) in sent.iter().filter(|(request, _)| request.class == "once") {
        let mut runs = 0;
        for engine in &stack.engines {
            let received = stack.received_requests(engine).await;
            let ids = received.iter().filter_map(|run| run["request_id"].as_str());
            runs += ids.filter(|id| id.starts_with(&*answer.request_id)).count();
        }
        assert!(!answer.request_id.is_empty() && runs <= 1, "{request:?} ran {runs} times");
    }
}
