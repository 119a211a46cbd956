//! Case: entries that started before their hub have two root hubs, and take-ups are refused after a kill.

use std::{
    net::SocketAddr,
    sync::{Arc, RwLock},
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

const ENTRIES: u8 = 4;
const STREAMS: usize = 80;
/// Streams that begin at machines in touch, while the others are taken up.
const NEW_STREAMS: usize = 40;
const LEAST_STREAMS: usize = 12;
const EVENTS: u32 = 60;
const PAUSE: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(15);
const BEAT: Duration = Duration::from_millis(1_200);
/// Between the start of the other entries and that of the first one, which becomes their hub.
const HUB_LATER: Duration = Duration::from_millis(100);
/// Between the start of the last entry and the moment at which the servers are ready.
const LISTED: Duration = Duration::from_millis(500);
/// From then, and from the moment at which all entries are ready, to the outage of the store.
const SERVING: Duration = Duration::from_millis(400);
/// From the beginning of the outage to the kill of all entries.
const KILL: Duration = Duration::from_millis(1_500);
/// Time for which a killed process is down; the store is back with the processes.
const DOWN: Duration = Duration::from_millis(300);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// What became of one stream.
struct Played {
    client: StreamClient,
    /// Whether it was begun and then broke off.
    broke_off: bool,
    /// The end of the last try.
    end: TryEnd,
    /// Whether it was asked for again at a machine in touch.
    was_taken_up: bool,
    went_on: bool,
}

pub fn run(case: &Case) -> i32 {
    let store = Store::start();
    let route = "{\"name\":\"report\",\"host\":\"engine.example\",\"path-prefix\":\"/report/\",\
         \"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":2000,\"gap-aim-ms\":1000,\
         \"priority\":2,\"service\":\"engine\",\"max-attempts\":2,\"stream-resume\":true}";
    let tenants = ",\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":2}]";
    put_config(&store, 1, route, tenants);
    let host = own_address(100);
    let servers = [("e-1", "v1"), ("e-2", "v1"), ("e-3", "v2"), ("e-4", "v2")]
        .map(|(id, version)| StreamServer::start(id, version, host, EVENTS, PAUSE));
    let port = free_port(own_address(1));
    let deployment = Deployment {
        folder: case.folder.clone(),
        daemon: case.daemon.clone(),
        store: store.address,
        cloud: store.address,
        seeds: (1..=3).map(|last| SocketAddr::from((own_address(last), port))).collect(),
        bounds: BOUNDS,
        memory_mb: 260,
    };
    let others: Vec<Entry> =
        (1..ENTRIES).map(|index| Entry::start(&deployment, index, "a", port)).collect();
    thread::sleep(HUB_LATER);
    let mut entries = vec![Entry::start(&deployment, 0, "a", port)];
    entries.extend(others);
    thread::sleep(LISTED);
    case.record.note("the servers are ready");
    servers.iter().for_each(|server| server.list(&store, "ready", 1));
    let beating = (store.clone(), servers.clone());
    thread::spawn(move || {
        for beat in 2.. {
            thread::sleep(BEAT);
            beating.1.iter().for_each(|server| server.list(&beating.0, "ready", beat));
        }
    });
    if !entries.iter().all(|entry| entry.await_ready(Duration::from_secs(15))) {
        eprintln!("the entries are not ready");
        return 2;
    }
    let entries = Arc::new(RwLock::new(entries));
    case.record.note("all entries are ready");
    thread::sleep(SERVING);
    if case.trouble {
        case.record.note("the store is away");
        store.set_all_away(true);
    }
    let in_touch = Arc::new(RwLock::new(None));
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (entries, record) = (Arc::clone(&entries), case.record.clone());
            let in_touch = Arc::clone(&in_touch);
            thread::sleep(Duration::from_millis(2));
            thread::spawn(move || play(index, &entries, &in_touch, &record))
        })
        .collect();
    thread::sleep(KILL);
    if case.trouble {
        case.record.note("all entries are killed");
        entries.write().unwrap().iter_mut().for_each(|entry| entry.process.end());
        thread::sleep(DOWN);
        store.set_all_away(false);
        entries.write().unwrap().iter_mut().for_each(Entry::restart);
        case.record.note("the store is back, all entries are started again");
    }
    *in_touch.write().unwrap() = Some(Instant::now() + STABLE_WINDOW);
    thread::sleep(STABLE_WINDOW);
    let new: Vec<_> = (STREAMS..STREAMS + NEW_STREAMS)
        .map(|index| {
            let front = entries.read().unwrap()[index % usize::from(ENTRIES)].front;
            let name = format!("s{index}");
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || {
                let mut client = StreamClient::new(&name, "/report/new", PATIENCE);
                client.call(front);
                !client.events.is_empty()
            })
        })
        .collect();
    let played: Vec<Played> =
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    for server in &servers {
        for run in server.runs() {
            case.record
                .note(format!("server {} of version {} ran {run}", server.id, server.version));
        }
    }
    let begun = new.into_iter().filter_map(|client| client.join().ok()).filter(|has| *has).count();
    let taken_up: Vec<&Played> = played.iter().filter(|played| played.was_taken_up).collect();
    let went_on = taken_up.iter().filter(|played| played.went_on).count();
    let complete = played.iter().filter(|played| played.end == TryEnd::Complete).count();
    let text = format!(
        "of {STREAMS} streams {complete} were complete; {} were taken up at machines in touch and \
         {went_on} of these went on; {begun} of {NEW_STREAMS} new streams began",
        taken_up.len(),
    );
    case.record.note(&text);
    println!("{text}");
    // Under half of the share of new streams that begin.
    let is_broken =
        taken_up.len() >= LEAST_STREAMS && 2 * went_on * NEW_STREAMS < begun * taken_up.len();
    let violation =
        format!("LOST: {went_on} of {} streams that were taken up went on", taken_up.len());
    case.result(&if is_broken { vec![violation] } else { Vec::new() })
}

/// Asks for a stream, and takes it up again after broken connections.
fn play(
    index: usize,
    entries: &RwLock<Vec<Entry>>,
    in_touch: &RwLock<Option<Instant>>,
    record: &crate::record::Recorder,
) -> Played {
    let client = StreamClient::new(&format!("s{index}"), &format!("/report/{index}"), PATIENCE);
    let mut played = Played {
        client,
        broke_off: false,
        end: TryEnd::Broken,
        was_taken_up: false,
        went_on: false,
    };
    for number in 0.. {
        // The load balancer passes a connection to an entry that is ready.
        let front = entries.read().unwrap()[(index + number) % usize::from(ENTRIES)].front;
        let before = played.client.events.len();
        if played.broke_off && in_touch.read().unwrap().is_some_and(|at| Instant::now() > at) {
            played.was_taken_up = true;
        }
        let end = played.client.call(front);
        let last = played.client.events.last().map_or(0, |(id, _)| *id);
        record
            .note(format!("client: {} at {front}: {end:?} after event {last}", played.client.name));
        played.went_on |= played.broke_off && played.client.events.len() > before;
        played.broke_off |= end == TryEnd::Broken && last > 0;
        played.end = end;
        let pause = match played.end {
            TryEnd::Complete | TryEnd::Late => break,
            TryEnd::Broken => Duration::from_millis(250),
            // Clients that were refused together do not come back together.
            TryEnd::Refused(_, after) => {
                Duration::from_secs_f64(after) + Duration::from_millis(index as u64 * 37 % 500)
            }
        };
        if played.client.time_left() < pause {
            break;
        }
        thread::sleep(pause);
    }
    played
}
