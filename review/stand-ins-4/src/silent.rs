//! Case 13: a request crashes each server that runs it, and the servers fall silent.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    app_server::{DEADLY, whole_answer},
    client::{Client, Outcome, new_attempt},
    entry::{Entry, own_ip},
    link::{Cut, Link},
    listing::Listing,
    record::Record,
    scenario::{CaseResult, LEAD, Scenario, put_config},
    server_process::ServerProcess,
    store::Store,
};

const SERVERS: u8 = 6;
const MACHINES: u8 = 2;
const CLIENTS: usize = 8;

/// Deadline of a client and timeout of the route.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time between two tries of the request that crashes servers at one machine, and how long it comes. By turns at
/// two machines, it comes later than the server of the try before is back, so that one server at most is dark.
const DEADLY_PERIOD: Duration = Duration::from_secs(10);
const DEADLY_TIME: Duration = Duration::from_secs(60);

/// Time after which a server is back.
const DOWN: Duration = Duration::from_secs(4);

/// The bound `stable-window-ms`, and the retries that the rule allows later than that after the third crash.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"note","host":"desk.example","path-prefix":"/note/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"desk","max-attempts":1,"public":false}],
"services":[{"name":"desk","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"],"priority":1}]}"#;

const BOUNDS: &str = "  stable-window-ms: 3000\n  drain-ms: 2000\n  grace-s: 8\n  config-ms: 2000\n  revoke-ms: 5000\n  \
                      budget-ratio: 0.2\n  budget-window-s: 10\n  budget-slack: 54\n  lease-ms: 3000\n  \
                      usage-window-s: 5\n  usage-late-s: 10\n  recover-s: 12\n";

pub fn play(scenario: &Scenario) -> CaseResult {
    let record = &scenario.record;
    let store = Store::start(&own_ip(1));
    put_config(&store, CONFIG);
    let listing = Listing::start(&store);
    let (mut servers, mut links) = (Vec::new(), Vec::new());
    for index in 0..SERVERS {
        let address = scenario.free_address(&own_ip(100 + index));
        let server = ServerProcess::start("app-server", address, format!("i-{index}-0"), record);
        let link = Link::start(&own_ip(50 + index), address);
        listing.add(&server.id, "desk", link.address, server.born);
        servers.push(server);
        links.push(link);
    }
    let settings = scenario.settings(store.address, BOUNDS, MACHINES);
    let entries: Vec<Entry> = (0..MACHINES).map(|index| Entry::start(&settings, index)).collect();
    if !entries.iter().all(|entry| entry.await_ready(Duration::from_secs(20))) {
        return CaseResult::CouldNotRun("a machine was not ready".into());
    }
    record.tell("both machines are ready");
    thread::sleep(LEAD);
    let stop: Arc<AtomicBool> = Arc::default();
    let served: Arc<Mutex<u32>> = Arc::default();
    let fronts: Vec<_> = entries.iter().map(Entry::front).collect();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let entry = fronts[number % fronts.len()];
        let (stop, served, record) = (Arc::clone(&stop), Arc::clone(&served), record.clone());
        clients.push(thread::spawn(move || {
            let mut client = Client::new(entry, DEADLINE).leaves_at_deadline();
            while !stop.load(Ordering::Relaxed) {
                let attempt = new_attempt();
                if call(&mut client, &attempt, attempt.as_bytes(), &record) {
                    *served.lock().unwrap() += 1;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    let body: &'static [u8] = if scenario.has_trouble { DEADLY } else { b"sound" };
    for (number, entry) in fronts.iter().copied().enumerate() {
        let (stop, record) = (Arc::clone(&stop), record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs(3) + number as u32 * DEADLY_PERIOD / 2);
            while !stop.load(Ordering::Relaxed) {
                let began = Instant::now();
                let mut client = Client::new(entry, DEADLINE).leaves_at_deadline();
                call(&mut client, &new_attempt(), body, &record);
                thread::sleep(DEADLY_PERIOD.saturating_sub(began.elapsed()));
            }
        }));
    }
    let began = Instant::now();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut back: Vec<Option<Instant>> = vec![None; servers.len()];
    while began.elapsed() < DEADLY_TIME {
        for place in 0..servers.len() {
            let (server, link) = (&mut servers[place], &links[place]);
            match back[place] {
                None if server.is_struck() => {
                    crashes.push(Instant::now());
                    record.note(&format!("trouble: {} crashes and is silent", server.id));
                    link.set_cut(Cut::Dark);
                    server.kill();
                    listing.note_crash(&server.id);
                    back[place] = Some(Instant::now() + DOWN);
                }
                Some(at) if Instant::now() >= at => {
                    let id = format!("i-{place}-{}", crashes.len());
                    server.start_again(id.clone(), record);
                    listing.add(&id, "desk", link.address, server.born);
                    link.set_cut(Cut::None);
                    record.note(&format!("trouble: {id} starts in its place"));
                    back[place] = None;
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let late = crashes
        .get(2)
        .map_or(0, |third| crashes.iter().filter(|at| **at > *third + STABLE_WINDOW).count());
    record.tell(&format!(
        "{} crashes by the request; later than {} s after the third it reached {late} more servers; \
         {} other requests were served",
        crashes.len(),
        STABLE_WINDOW.as_secs(),
        served.lock().unwrap()
    ));
    if *served.lock().unwrap() < 100 {
        return CaseResult::CouldNotRun("too few requests were served".into());
    }
    CaseResult::from_breaks("BUDGET", u32::from(late > ALLOWED))
}

/// Sends a request, and returns whether its whole answer came.
fn call(client: &mut Client, attempt: &str, body: &[u8], record: &Record) -> bool {
    let kind = if body == DEADLY { "the deadly request" } else { "a request" };
    record.note(&format!("client: sends {attempt}, {kind}"));
    match client.send("POST /note/visit HTTP/1.1\r\n", attempt, body) {
        Outcome::Answered(answer) => {
            let is_whole = answer.status() == 200 && answer.body == whole_answer(attempt);
            record.note(&format!("client: {attempt} got {}, whole: {is_whole}", answer.status()));
            is_whole
        }
        Outcome::Failed(why) => {
            record.note(&format!("client: {attempt} failed: {why}"));
            false
        }
    }
}
