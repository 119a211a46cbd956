//! Case: an entry that was cut off takes the removal of a server for a lapse in an outage.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cut_proxy::CutProxy,
    fleet::{BOUNDS, Case, put_config},
    process::{Deployment, Entry, free_port, own_address},
    store::Store,
    stream_client::{StreamClient, TryEnd},
    stream_server::StreamServer,
};

const ROUNDS: u32 = 6;
const CUT: Duration = Duration::from_millis(5_000);
/// The server's entry is removed this long before the link heals.
const REMOVED_BEFORE: Duration = Duration::from_millis(1_000);
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const BEAT: Duration = Duration::from_millis(1_200);
/// From the healing of the link to the end of a round.
const WATCHED: Duration = Duration::from_millis(5_000);
const EVENTS: u32 = 30;
const PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: usize = 150;

pub fn run(case: &Case) -> i32 {
    let store = Store::start();
    let route = "{\"name\":\"query\",\"host\":\"engine.example\",\"path-prefix\":\"/query/\",\
         \"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":600,\"gap-aim-ms\":250,\
         \"priority\":0,\"service\":\"engine\",\"max-attempts\":1,\"stream-resume\":false}";
    let tenants = ",\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":0}]";
    put_config(&store, 1, route, tenants);
    let host = own_address(100);
    let start =
        |number: u32| StreamServer::start(&format!("e-{number}"), "v1", host, EVENTS, PAUSE);
    let stays = start(0);
    let living = Arc::new(Mutex::new(vec![stays.clone()]));
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
    let link = CutProxy::start(store.address);
    let port = free_port(own_address(1));
    let deployment = Deployment {
        folder: case.folder.clone(),
        daemon: case.daemon.clone(),
        store: link.address,
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
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (front, has_ended) = (entry.front, Arc::clone(&has_ended));
            thread::sleep(Duration::from_millis(13));
            thread::spawn(move || press(index, front, &has_ended))
        })
        .collect();
    let mut violations = Vec::new();
    for round in 1..=ROUNDS {
        let leaves = start(round);
        leaves.list(&store, "ready", 1);
        living.lock().unwrap().push(leaves.clone());
        thread::sleep(Duration::from_millis(3_500));
        if case.trouble {
            link.set_cut(true);
            case.record.note("the entry is cut off from the store");
        }
        thread::sleep(CUT - REMOVED_BEFORE);
        living.lock().unwrap().retain(|server| server.id != leaves.id);
        store.put("keyed.servers", &leaves.id, "");
        let removed_at = Instant::now();
        case.record.note(format!("the entry of {} is removed", leaves.id));
        thread::sleep(REMOVED_BEFORE);
        link.set_cut(false);
        let healed_at = Instant::now();
        case.record.note("the link is whole");
        thread::sleep(WATCHED);
        // Without a cut the entry is in touch all the while.
        let in_touch_at = if case.trouble { healed_at + STABLE_WINDOW } else { removed_at };
        let bound = (removed_at + DRAIN).max(in_touch_at);
        let late: Vec<Duration> = leaves
            .arrivals()
            .into_iter()
            .filter(|at| *at > bound)
            .map(|at| at - removed_at)
            .collect();
        let last = leaves.arrivals().last().map_or(0, |at| (*at - removed_at).as_millis());
        case.record.note(format!(
            "{}: last request {last} ms after its removal, {} too late",
            leaves.id,
            late.len()
        ));
        if let Some(latest) = late.last() {
            violations.push(format!(
                "DRAIN: {} requests reached {} up to {} ms after its removal, from an entry in touch",
                late.len(),
                leaves.id,
                latest.as_millis()
            ));
        }
    }
    has_ended.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    case.record.note(format!("clients: {served} streams served"));
    case.result(&violations)
}

/// Asks for one stream after the other, and returns how many were served.
fn press(index: usize, front: SocketAddr, has_ended: &AtomicBool) -> usize {
    let mut served = 0;
    for number in 0.. {
        if has_ended.load(Ordering::Relaxed) {
            break;
        }
        let name = format!("q{index}.{number}");
        let path = format!("/query/{index}.{number}");
        let mut client = StreamClient::new(&name, &path, Duration::from_secs(15));
        let pause = match client.call(front) {
            TryEnd::Complete => {
                served += 1;
                Duration::from_millis(20)
            }
            TryEnd::Refused(_, after) => Duration::from_secs_f64(after.max(0.1)),
            _ => Duration::from_millis(300),
        };
        thread::sleep(pause);
    }
    served
}
