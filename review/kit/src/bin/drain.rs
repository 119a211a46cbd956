//! Some servers leave without reporting `draining` while a machine is added.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use review_kit::{
    BROKEN, HELD, NOT_RUN,
    entries::Entries,
    http::Connection,
    pause,
    record::Record,
    server::{Observer, Server, What, Work},
    store::Store,
    trouble,
};

/// Bound of the deployment.
const DRAIN_S: f64 = 2.0;

/// Time for which the server that leaves goes on after `drain-ms`.
const LINGER_S: f64 = 8.0;

/// Servers of the service, and those of them that leave: a quarter.
const SERVERS: usize = 32;
const LEAVING: usize = 8;

/// Time between the removals of two entries.
const LEAVE_GAP_MS: u64 = 50;

/// One request of a client: its attempt, the machine, and when it was sent.
struct Sent {
    attempt: String,
    front: usize,
    at: f64,
    status: u16,
}

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"order-place","host":"shop.example","path-prefix":"/orders/",
"kind":"unsafe","timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"orders",
"max-attempts":1}],"services":[{"name":"orders"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-1","api-keys":["key-one-0123456789"]}]}"#
        .to_owned()
}

fn main() {
    let record = Record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let observer = Observer::new(&record);
    // The first machine is added later.
    let zones = ["santander"; 4];
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| {
            let (id, zone) = (format!("i-{index:02}"), zones[1 + index % 3]);
            Server::start(&id, "orders", zone, 6, Work::Answer { ms: 120 }, &store, &observer)
        })
        .collect();
    let mut entries = Entries::start_late(&zones, store.address, 1);
    let stop = Arc::new(AtomicBool::new(false));
    entries.await_ready();
    record.say("all machines are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..24 {
        let front = 1 + client % 3;
        let address = entries.front(front);
        let (sent, stop, record) = (Arc::clone(&sent), Arc::clone(&stop), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            let mut kept: Option<Connection> = None;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let attempt = format!("c{client}-{number}");
                let at = record.now();
                let connection = kept.take().map_or_else(|| Connection::open(address), Ok);
                let mut status = 0;
                if let Ok(mut connection) = connection {
                    connection.set_patience(Duration::from_millis(1_500));
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Attempt-Id", attempt.as_str()),
                        ("X-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-one-0123456789"),
                    ];
                    let body = b"{\"part\":\"heat sink\"}";
                    if connection.send("POST", "/orders/new", &headers, body).is_ok()
                        && let Ok(mut reply) = connection.reply()
                    {
                        status = reply.status;
                        if connection.body(&mut reply).is_ok() {
                            kept = Some(connection);
                        }
                    }
                }
                record
                    .line(format!("client {attempt} sent to machine {front} at {at:.3}: {status}"));
                sent.lock().unwrap().push(Sent { attempt, front, at, status });
                pause(40);
            }
        }));
    }
    // The machines are in touch: nothing happens for longer than `stable-window-ms`.
    pause(5_000);
    let mut left = Vec::new();
    for (number, server) in servers[..LEAVING].iter().enumerate() {
        if trouble() && number == LEAVING / 2 {
            entries.spawn(0);
            record.say("a machine is added");
        }
        server.remove_entry();
        left.push((server.id.clone(), record.now()));
        pause(LEAVE_GAP_MS);
    }
    record.say(format!(
        "the entries of {LEAVING} servers are removed from the store, one each {LEAVE_GAP_MS} ms"
    ));
    pause(((DRAIN_S + LINGER_S) * 1_000.0) as u64);
    servers[..LEAVING].iter().for_each(Server::exit);
    record.say("these servers exit");
    pause(2_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let seen = observer.all();
    let served = sent.iter().filter(|request| request.status == 200).count();
    record.say(format!("{} requests sent, {served} answered 200", sent.len()));
    let ended = (0..zones.len()).filter(|index| entries.has_ended(*index)).count();
    if served == 0 || ended > 0 {
        record.say(format!("the case could not run: {ended} processes ended by themselves"));
        entries.end();
        std::process::exit(NOT_RUN);
    }
    let mut late = vec![0; zones.len()];
    let mut lost = 0;
    for (id, left_at) in &left {
        let mut here = 0;
        for request in sent.iter().filter(|request| request.at > left_at + DRAIN_S) {
            let at_server =
                seen.iter().filter(|seen| seen.attempt == request.attempt && seen.server == *id);
            let whats: Vec<What> = at_server.map(|seen| seen.what).collect();
            if whats.contains(&What::Arrived) {
                late[request.front] += 1;
                here += 1;
            }
            lost += usize::from(whats.contains(&What::Cut));
        }
        record.say(format!("{id}, removed at {left_at:.3}: {here} requests that were sent later than drain-ms after that"));
    }
    for (entry, late) in entries.list.iter().zip(&late) {
        record.say(format!("{late} of them came from {}", entry.name));
    }
    record.say(format!("{lost} of them were cut off when their servers exited"));
    entries.end();
    std::process::exit(if late.iter().sum::<usize>() > 0 { BROKEN } else { HELD });
}
