//! The largest configurations, read from the store over slow links.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

#[allow(dead_code)]
#[path = "../../../platform/tests/soak/entry_process.rs"]
mod entry_process;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/fake_platform.rs"]
mod fake_platform;
#[allow(dead_code)]
#[path = "../../../platform/tests/soak/fault_proxy.rs"]
mod fault_proxy;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;

use entry_process::EntryProcess;
use fake_platform::FakePlatform;
use fault_proxy::FaultProxy;
use scripted_server::{ScriptedServer, answer};

/// Rate of the link to the store in megabits a second.
const LINK_RATE: f64 = 10.0;

/// Size that a configuration may have in bytes.
const CONFIG_BYTES: usize = 4 << 20;

/// Returns a configuration of so many bytes, or a little less, and the name of its last route.
fn config(version: u64, bytes: usize) -> (Vec<u8>, String) {
    let mut routes = String::new();
    let mut last = 0;
    while routes.len() + 1_000 < bytes {
        last += 1;
        let comma = if last > 1 { "," } else { "" };
        routes += &format!(
            "{comma}{{\"name\":\"r{version}-{last}\",\"host\":\"shop.example\",\"path-prefix\":\"/r{version}-{last}/\",\
             \"kind\":\"safe\",\"timeout-ms\":2000,\"priority\":2,\"service\":\"app\",\
             \"max-attempts\":2,\"stream-resume\":false}}"
        );
    }
    let text = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":65536,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    );
    (text.into_bytes(), format!("r{version}-{last}"))
}

/// Returns the status of a request on a route, 0 for none.
fn status(address: SocketAddr, route: &str) -> u16 {
    let request = format!(
        "GET /{route}/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: probe\r\n\
         X-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    let mut answer = String::new();
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    let _ = stream.write_all(request.as_bytes());
    let _ = stream.read_to_string(&mut answer);
    answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn wait_served(address: SocketAddr, route: &str, time: Duration) -> Duration {
    let begun = Instant::now();
    while status(address, route) != 200 {
        assert!(begun.elapsed() < time, "{route} is not served after {time:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    begun.elapsed()
}

/// Guards against reads of the store that are cut off before a large configuration has passed a slow link.
#[test]
fn the_largest_configuration_passes_a_slow_link_to_the_store() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (platform, endpoint, proxy) = runtime.block_on(async {
        let platform = FakePlatform::start().await;
        let endpoint = ScriptedServer::start(|request| {
            let id = request.header("x-attempt-id").unwrap_or_default();
            vec![answer("200 OK", &[("X-Attempt-Id", id), ("X-Server-Seal", "seal")], b"ok")]
        });
        let proxy = FaultProxy::start_with_rate(platform.server.address, Some(LINK_RATE)).await;
        (platform, endpoint.await, proxy)
    });
    let record = serde_json::json!({
        "service": "app", "address": endpoint.address, "zone": "a", "version": "v1", "slots": 64,
        "state": "ready", "cold-left-ms": 0, "seq": 1,
    });
    platform.put("keyed.servers", "i-0", record.to_string().as_bytes());
    let (first, route) = config(1, CONFIG_BYTES);
    platform.put("keyed.op", "config", &first);
    // The list of the newest records is in base64.
    let link_time = Duration::from_secs_f64(1.34 * CONFIG_BYTES as f64 / (LINK_RATE * 125_000.0));
    let binary = env!("CARGO_BIN_EXE_pimentorockd");
    let entry = EntryProcess::start(binary, folder.path(), 10, 0, proxy.address);
    let started = wait_served(entry.callers(), &route, 3 * link_time);
    let (second, route) = config(2, CONFIG_BYTES - 100_000);
    platform.put("keyed.op", "config", &second);
    let changed = wait_served(entry.callers(), &route, 3 * link_time);
    println!("{started:?} and {changed:?}; the link needs {link_time:?}");
}
