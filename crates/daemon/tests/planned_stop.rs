//! Callers that connect until the very end of an entry that was told to stop.

// These modules are shared with the tests of `platform/`, which use more of their functions.
#[allow(dead_code)]
#[path = "../../../platform/tests/soak/entry_process.rs"]
mod entry_process;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/fake_platform.rs"]
mod fake_platform;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use entry_process::EntryProcess;
use fake_platform::FakePlatform;
use rustix::process::Signal;
use scripted_server::{RecordedRequest, ScriptedServer, ServerStep, answer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Entries that are stopped at the same time, each with callers of its own.
const ENTRIES: u8 = 12;

/// Callers of an entry that open one connection after the other. They are so few that at times none
/// of them has a request in progress.
const CALLERS: usize = 3;

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(6);

/// Number of times that each entry is told to stop.
const STOPS: usize = 6;

/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(3);

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Sends one request on a new connection; returns its identifier and whether a response arrived, or
/// `None` if no connection was established.
async fn call(entry: SocketAddr) -> Option<(String, bool)> {
    let id = format!("id-{}", ATTEMPTS.fetch_add(1, Ordering::Relaxed));
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let head = format!(
        "GET /read/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
    );
    let mut bytes = Vec::new();
    // The connection may be closed at any time.
    let sent = stream.write_all(head.as_bytes()).await;
    let _ = stream.read_to_end(&mut bytes).await;
    Some((id, sent.is_ok() && bytes.starts_with(b"HTTP/1.1 ") && bytes.ends_with(b"fine")))
}

/// Stops and restarts an entry, and returns the requests that got no response.
async fn stop_repeatedly(mut entry: EntryProcess) -> Vec<String> {
    let mut unanswered = Vec::new();
    for _ in 0..STOPS {
        while call(entry.callers()).await.is_none_or(|(_, answered)| !answered) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let callers: Vec<_> =
            (0..CALLERS).map(|_| tokio::spawn(call_until_refused(entry.callers()))).collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.signal(Signal::TERM);
        while !entry.has_ended() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        entry.wait();
        for caller in callers {
            unanswered.extend(caller.await.unwrap());
        }
        entry.restart();
    }
    unanswered
}

/// Sends requests until no connection is established, and returns those that got no response.
async fn call_until_refused(entry: SocketAddr) -> Vec<String> {
    let mut unanswered = Vec::new();
    while let Some((id, answered)) = call(entry).await {
        if !answered {
            unanswered.push(id);
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    unanswered
}

/// A planned stop cuts no request that was passed on, also none whose connection was accepted in the
/// moment in which the entry stopped to listen.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_arrives_as_an_entry_stops_listening_is_answered_or_has_not_run() {
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let running = Arc::clone(&ran);
    let endpoint = ScriptedServer::start(move |request: &RecordedRequest| {
        let id = request.header("x-attempt-id").unwrap();
        running.lock().unwrap().insert(id.to_owned());
        let headers = [("X-Attempt-Id", id), ("X-Server-Seal", "s")];
        vec![ServerStep::Sleep(RUN_TIME), answer("200 OK", &headers, b"fine")]
    })
    .await;
    let platform = FakePlatform::start().await;
    put_config(&platform, endpoint.address);
    let folder = tempfile::tempdir().unwrap();
    let daemon = env!("CARGO_BIN_EXE_pimentorockd");
    let stopping = (0..ENTRIES).map(|index| {
        let entry = EntryProcess::start(daemon, folder.path(), 10, index, platform.server.address);
        tokio::spawn(stop_repeatedly(entry))
    });
    let stopped = futures::future::join_all(stopping).await;
    let unanswered: Vec<String> = stopped.into_iter().flat_map(Result::unwrap).collect();
    let ran = ran.lock().unwrap();
    let cut: Vec<&String> = unanswered.iter().filter(|id| ran.contains(*id)).collect();
    assert!(cut.is_empty(), "{} requests ran and were not answered: {cut:?}", cut.len());
}

fn put_config(platform: &FakePlatform, endpoint: SocketAddr) {
    let config = serde_json::json!({
        "version": 1,
        "routes": [{
            "name": "read", "host": "shop.example", "path-prefix": "/read/", "kind": "safe",
            "timeout-ms": 5_000, "priority": 2, "service": "app", "max-attempts": 2,
        }],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 65536,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
    });
    platform.put("keyed.op", "config", config.to_string().as_bytes());
    let record = serde_json::json!({
        "service": "app", "address": endpoint, "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1,
    });
    platform.put("keyed.servers", "i-0", record.to_string().as_bytes());
}
