//! Case: the store comes back from an older copy as all entries end, and a version that joined since is gone.

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
const STREAMS: usize = 60;
const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(15);
const BEAT: Duration = Duration::from_millis(1_200);

/// From the last moment that the copy holds.
const STREAMS_BEGIN: Duration = Duration::from_millis(2_200);
const CRASH: Duration = Duration::from_millis(4_000);
const DRILL: Duration = Duration::from_millis(4_300);
/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(500);

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
    let copy = store.copy();
    let newcomer = start("e-5", "v2");
    newcomer.list(&store, "ready", 1);
    servers.lock().unwrap().push(newcomer.clone());
    case.record.note("a server of another version joins");
    until(STREAMS_BEGIN);
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (entries, record) = (Arc::clone(&entries), case.record.clone());
            thread::sleep(Duration::from_millis(15));
            thread::spawn(move || play(index, &entries, &record))
        })
        .collect();
    if case.trouble {
        until(CRASH);
        newcomer.crash();
        servers.lock().unwrap().retain(|server| server.id != newcomer.id);
        case.record.note("the server of the other version crashes for good");
        until(DRILL);
        store.set_all_away(true);
        case.record.note("the store is away");
        kill_all(case, &entries);
        store.restore(&copy);
        put_config(&store, 1, route, tenants);
        servers.lock().unwrap().iter().for_each(|server| server.list(&store, "ready", 1_000));
        store.set_all_away(false);
        case.record
            .note("the store is back from an older copy, and what others wrote is there again");
    }
    let clients: Vec<StreamClient> =
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    servers.lock().unwrap().push(newcomer);
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
