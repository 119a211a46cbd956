//! Case: a server is gone with its machine within a stream that ends with its connection.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{BOUNDS, Case, put_config},
    process::{Deployment, Entry, free_port, own_address},
    store::Store,
    stream_client::{StreamClient, TryEnd},
    stream_server::StreamServer,
};

/// Each of three servers is gone, one after the other.
const SERVERS: u32 = 8;
/// Streams with chunks for each one without: one in 21 is without, of 20 that the pages allow.
const FRAMED: usize = 20;
const EVENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(60);
const PATIENCE: Duration = Duration::from_secs(15);
const BEAT: Duration = Duration::from_millis(1_200);
/// From the beginning of a stream until its server is gone.
const GONE_AT: Duration = Duration::from_millis(500);
/// Silence of a server after which the store removes its entry.
const REMOVED_AFTER: Duration = Duration::from_millis(3_600);

pub fn run(case: &Case) -> i32 {
    let store = Store::start();
    let route = |name: &str, resume: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"engine.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":2000,\
             \"gap-aim-ms\":1000,\"priority\":2,\"service\":\"engine\",\"max-attempts\":2,\
             \"stream-resume\":{resume}}}"
        )
    };
    let routes = [route("report", true), route("query", false)].join(",");
    let tenants = ",\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":2}]";
    put_config(&store, 1, &routes, tenants);
    let host = own_address(100);
    let servers: Vec<StreamServer> = (1..=SERVERS)
        .map(|number| StreamServer::start(&format!("e-{number}"), "v1", host, EVENTS, PAUSE))
        .collect();
    let living = Arc::new(Mutex::new(servers.clone()));
    let beating = (store.clone(), Arc::clone(&living));
    thread::spawn(move || {
        for beat in 1.. {
            beating
                .1
                .lock()
                .unwrap()
                .iter()
                .for_each(|server| server.list(&beating.0, "ready", beat));
            thread::sleep(BEAT);
        }
    });
    let port = free_port(own_address(1));
    let deployment = Deployment {
        folder: case.folder.clone(),
        daemon: case.daemon.clone(),
        store: store.address,
        cloud: store.address,
        seeds: vec![SocketAddr::from((own_address(1), port))],
        bounds: BOUNDS,
        memory_mb: 260,
    };
    let entry = Entry::start(&deployment, 0, "a", port);
    if !entry.await_ready(Duration::from_secs(15)) {
        eprintln!("the entry is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let mut violations = Vec::new();
    for (round, route) in ["query", "report", "query"].iter().enumerate() {
        let front = entry.front;
        let framed: Vec<_> = (0..FRAMED)
            .map(|index| {
                let path = format!("/{route}/{round}.{index}");
                thread::spawn(move || play(&format!("f{round}.{index}"), &path, front))
            })
            .collect();
        for client in framed {
            let (client, end) = client.join().expect("a client ends");
            violations.extend(judge(case, &client, end));
        }
        let name = format!("u{round}");
        let path = format!("/{route}/unframed/{round}");
        let (begun, its_name) = (Instant::now(), name.clone());
        let client = thread::spawn(move || play(&its_name, &path, front));
        if case.trouble {
            thread::sleep(GONE_AT.saturating_sub(begun.elapsed()));
            let runs = |server: &&StreamServer| {
                server.runs().iter().any(|run| run.starts_with(&format!("{name}-1 ")))
            };
            if let Some(server) = servers.iter().find(runs) {
                living.lock().unwrap().retain(|other| other.id != server.id);
                server.vanish();
                case.record.note(format!("{} is gone within {name}", server.id));
                if !server.is_silent() {
                    eprintln!("connections to a server that is gone do not hang here");
                    return 2;
                }
                let (store, id) = (store.clone(), server.id.clone());
                thread::spawn(move || {
                    thread::sleep(REMOVED_AFTER);
                    store.put("keyed.servers", &id, "");
                });
            }
        }
        let (client, end) = client.join().expect("a client ends");
        violations.extend(judge(case, &client, end));
        thread::sleep(Duration::from_secs(5));
    }
    for server in &servers {
        for run in server.runs() {
            case.record.note(format!("server {} ran {run}", server.id));
        }
    }
    case.result(&violations)
}

fn play(name: &str, path: &str, front: SocketAddr) -> (StreamClient, TryEnd) {
    let mut client = StreamClient::new(name, path, PATIENCE);
    let end = client.call(front);
    (client, end)
}

/// Records a stream, and returns how it breaks the rule, if it does.
fn judge(case: &Case, client: &StreamClient, end: TryEnd) -> Option<String> {
    let events = client.events.len();
    case.record
        .note(format!("client: {} ends: {end:?} after {events} of {EVENTS} events", client.name));
    (end == TryEnd::Complete && events < EVENTS as usize).then(|| {
        format!("ORDER: {} ends as complete after {events} of {EVENTS} events", client.name)
    })
}
