//! A server leaves without reporting `draining`, and the store has deleted the record of its leaving.

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
    let zones = ["santander", "bilbao", "oviedo"];
    let servers: Vec<Server> = (0..3)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start(
                &id,
                "orders",
                zones[index],
                6,
                Work::Answer { ms: 120 },
                &store,
                &observer,
            )
        })
        .collect();
    let mut entries = Entries::start(&zones, store.address);
    let stop = Arc::new(AtomicBool::new(false));
    if trouble() {
        // The store keeps the newest record of each key only, and deletes all others at once.
        let (store, stop) = (store.clone(), Arc::clone(&stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                store.delete_records("keyed.servers");
                pause(50);
            }
        });
    }
    entries.await_ready();
    record.say("all machines are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..12 {
        let front = client % 3;
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
    let leaving = &servers[2];
    leaving.remove_entry();
    let left_at = record.now();
    record.say(format!("the entry of {} is removed from the store", leaving.id));
    pause(((DRAIN_S + LINGER_S) * 1_000.0) as u64);
    leaving.exit();
    record.say(format!("{} exits", leaving.id));
    pause(2_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let seen = observer.all();
    let served = sent.iter().filter(|request| request.status == 200).count();
    record.say(format!("{} requests sent, {served} answered 200", sent.len()));
    let ended = (0..3).filter(|index| entries.has_ended(*index)).count();
    if served == 0 || ended > 0 {
        record.say(format!("the case could not run: {ended} processes ended by themselves"));
        entries.end();
        std::process::exit(NOT_RUN);
    }
    let mut late = [0; 3];
    let mut lost = 0;
    let due = left_at + DRAIN_S;
    for request in sent.iter().filter(|request| request.at > due) {
        let here =
            seen.iter().filter(|seen| seen.attempt == request.attempt && seen.server == leaving.id);
        let whats: Vec<What> = here.map(|seen| seen.what).collect();
        if whats.contains(&What::Arrived) {
            late[request.front] += 1;
        }
        lost += usize::from(whats.contains(&What::Cut));
    }
    for (index, late) in late.iter().enumerate() {
        record.say(format!(
            "{}: {late} requests that were sent later than drain-ms after the removal reached {}",
            entries.list[index].name, leaving.id
        ));
    }
    record.say(format!("{lost} of them were cut off when {} exited", leaving.id));
    entries.end();
    std::process::exit(if late.iter().sum::<usize>() > 0 { BROKEN } else { HELD });
}
