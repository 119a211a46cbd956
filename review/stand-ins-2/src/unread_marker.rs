//! Case: entries that cannot read the shares by which streams begin are killed with what they noted.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
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

const ENTRIES: u8 = 3;
const STREAMS: usize = 240;
const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(15);
const BEAT: Duration = Duration::from_millis(1_200);
const TOPIC: &str = "keyed.stream-origins";

/// From the beginning of the outage.
const FIRST_KILL: Duration = Duration::from_millis(300);
const STREAMS_BEGIN: Duration = Duration::from_millis(3_000);
const SECOND_KILL: Duration = Duration::from_millis(4_300);
const OUTAGE: Duration = Duration::from_millis(6_000);
/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(300);

fn kill_all(case: &Case, entries: &RwLock<Vec<Entry>>) {
    case.record.note("all entries are killed");
    entries.write().unwrap().iter_mut().for_each(|entry| entry.process.end());
    thread::sleep(DOWN);
    entries.write().unwrap().iter_mut().for_each(Entry::restart);
    case.record.note("all entries are started again");
}

pub fn run(case: &Case) -> i32 {
    let store = Store::start();
    let route = "{\"name\":\"report\",\"host\":\"engine.example\",\"path-prefix\":\"/report/\",\
         \"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":2000,\"gap-aim-ms\":1000,\
         \"priority\":2,\"service\":\"engine\",\"max-attempts\":2,\"stream-resume\":true}";
    let tenants = ",\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":2}]";
    put_config(&store, 1, route, tenants);
    let host = own_address(100);
    let start = |id, version| StreamServer::start(id, version, host, EVENTS, PAUSE);
    let servers =
        Arc::new(Mutex::new(["e-1", "e-2", "e-3", "e-4"].map(|id| start(id, "v1")).to_vec()));
    let beating = (store.clone(), Arc::clone(&servers));
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
    let entries: Vec<Entry> =
        (0..ENTRIES).map(|index| Entry::start(&deployment, index, "a", port)).collect();
    if !entries.iter().all(|entry| entry.await_ready(Duration::from_secs(15))) {
        eprintln!("the entries are not ready");
        return 2;
    }
    let entries = Arc::new(RwLock::new(entries));
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10));
    let begun = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(begun.elapsed()));
    if case.trouble {
        case.record.note("the partition of a topic is down");
        store.set_away(Some(TOPIC));
    }
    thread::sleep(Duration::from_millis(100));
    for id in ["e-5", "e-6", "e-7", "e-8"] {
        let server = start(id, "v2");
        server.list(&store, "ready", 1);
        servers.lock().unwrap().push(server);
    }
    case.record.note("servers of another version join");
    if case.trouble {
        until(FIRST_KILL);
        kill_all(case, &entries);
    }
    until(STREAMS_BEGIN);
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (entries, record) = (Arc::clone(&entries), case.record.clone());
            thread::sleep(Duration::from_millis(2));
            thread::spawn(move || play(index, &entries, &record))
        })
        .collect();
    if case.trouble {
        until(SECOND_KILL);
        kill_all(case, &entries);
        until(OUTAGE);
        store.set_away(None);
        case.record.note("the partition is back");
    }
    let clients: Vec<StreamClient> =
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    for server in servers.lock().unwrap().iter() {
        for run in server.runs() {
            case.record
                .note(format!("server {} of version {} ran {run}", server.id, server.version));
        }
    }
    let joined: Vec<&StreamClient> =
        clients.iter().filter(|client| client.versions().len() > 1).collect();
    for client in &joined {
        case.record.note(format!("{} has events of {:?}", client.name, client.versions()));
    }
    let violation = format!(
        "ORDER: {} of {STREAMS} streams hold events of servers of two versions",
        joined.len()
    );
    case.result(&if joined.len() > 2 { vec![violation] } else { Vec::new() })
}

/// Asks for a stream, and takes it up again after broken connections.
fn play(
    index: usize,
    entries: &RwLock<Vec<Entry>>,
    record: &crate::record::Recorder,
) -> StreamClient {
    let mut client = StreamClient::new(&format!("s{index}"), &format!("/report/{index}"), PATIENCE);
    for number in 0.. {
        // The load balancer passes a connection to an entry that is ready.
        let front = entries.read().unwrap()[(index + number) % usize::from(ENTRIES)].front;
        let end = client.call(front);
        let last = client.events.last().map_or(0, |(id, _)| *id);
        if end != TryEnd::Broken || number == 0 {
            record.note(format!("client: {} at {front}: {end:?} after event {last}", client.name));
        }
        let pause = match end {
            TryEnd::Complete | TryEnd::Late => break,
            TryEnd::Broken => Duration::from_millis(250),
            // Clients that were refused together do not come back together.
            TryEnd::Refused(_, after) => {
                Duration::from_secs_f64(after) + Duration::from_millis(index as u64 * 37 % 500)
            }
        };
        if client.time_left() < pause {
            break;
        }
        thread::sleep(pause);
    }
    client
}
