//! No case, as case 7 has the fault: a server that is cut off crashes behind the cut and starts again; its answers end with
//! their connections.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    app_server::whole_answer,
    client::{Client, Outcome, new_attempt},
    entry::{Entry, own_ip},
    link::{Cut, Link},
    listing::Listing,
    scenario::{CaseResult, LEAD, Scenario, put_config},
    server_process::ServerProcess,
    store::Store,
};

const SERVERS: u8 = 3;
const MACHINES: u8 = 2;
const CLIENTS: usize = 16;

/// Deadline of a client and timeout of the routes.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time between two cuts, and how many there are.
const ROUND: Duration = Duration::from_secs(6);
const ROUNDS: u32 = 8;

/// Length of a cut; the server crashes and is back within it.
const CUT: Duration = Duration::from_millis(1_600);
const CRASH_AT: Duration = Duration::from_millis(300);
const BACK_AT: Duration = Duration::from_millis(1_300);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"lookup","host":"desk.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"public":false},
{"name":"note","host":"desk.example","path-prefix":"/note/","kind":"unsafe","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":1,"public":false}],
"services":[{"name":"desk","health-path":"/health","max-conns":190,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"],"priority":1}]}"#;

const BOUNDS: &str = "  stable-window-ms: 4000\n  drain-ms: 3000\n  grace-s: 8\n  config-ms: 3000\n  revoke-ms: 5000\n  \
                      budget-ratio: 0.2\n  budget-window-s: 10\n  budget-slack: 84\n  lease-ms: 3000\n  \
                      usage-window-s: 5\n  usage-late-s: 10\n";

#[derive(Default)]
struct Counts {
    sent: u32,
    whole: u32,
    broken_off: u32,
    failed: u32,
    /// Answers with status 200 and a marked end that lack bytes of the server's answer.
    wrong: u32,
}

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
    let (stop, counts): (Arc<AtomicBool>, Arc<Mutex<Counts>>) = Default::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let entry = entries[number % entries.len()].front();
            let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), record.clone());
            thread::spawn(move || {
                let mut client = Client::new(entry, DEADLINE);
                while !stop.load(Ordering::Relaxed) {
                    call(&mut client, number, &counts, &record);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for round in 1..=ROUNDS {
        let began = Instant::now();
        let place = round as usize % servers.len();
        if scenario.has_trouble {
            let wait = |at: Duration| {
                thread::sleep((began + at).saturating_duration_since(Instant::now()))
            };
            record.note(&format!("trouble: the link to {} is cut", servers[place].id));
            links[place].set_cut(Cut::Both);
            wait(CRASH_AT);
            record.note(&format!("trouble: {} crashes", servers[place].id));
            servers[place].kill();
            listing.note_crash(&servers[place].id);
            wait(BACK_AT);
            let id = format!("i-{place}-{round}");
            servers[place].start_again(id.clone(), record);
            record.note(&format!("trouble: {id} starts at the same address"));
            listing.add(&id, "desk", links[place].address, servers[place].born);
            wait(CUT);
            record.note("trouble: the cut has healed");
            links[place].set_cut(Cut::None);
        }
        thread::sleep((began + ROUND).saturating_duration_since(Instant::now()));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let counts = counts.lock().unwrap();
    let Counts { sent, whole, broken_off, failed, wrong } = *counts;
    record.tell(&format!(
        "{sent} sent: {whole} answered whole, {broken_off} broken off, {failed} failed or refused, \
         {wrong} answered as complete with bytes missing"
    ));
    if whole < 100 {
        return CaseResult::CouldNotRun("too few requests were served".into());
    }
    CaseResult::from_breaks("MIXED", wrong)
}

fn call(
    client: &mut Client,
    number: usize,
    counts: &Mutex<Counts>,
    record: &crate::record::Record,
) {
    let attempt = new_attempt();
    let (head, body) = match number % 2 {
        0 => (format!("GET /lookup/{number} HTTP/1.1\r\n"), Vec::new()),
        _ => (format!("POST /note/{number} HTTP/1.1\r\n"), b"note".to_vec()),
    };
    record.note(&format!("client: sends {attempt} {}", head.trim_end()));
    let outcome = client.send(&head, &attempt, &body);
    let mut counts = counts.lock().unwrap();
    counts.sent += 1;
    match outcome {
        Outcome::Answered(answer) if answer.status() == 200 && answer.is_whole => {
            let seal = answer.header("x-server-seal").unwrap_or("none");
            if answer.body == whole_answer(&attempt) {
                counts.whole += 1;
                record.note(&format!("client: {attempt} got 200, {seal}, whole"));
            } else {
                counts.wrong += 1;
                record.note(&format!(
                    "client: {attempt} got 200, {seal}, as complete, with {} of {} bytes: MIXED",
                    answer.body.len(),
                    whole_answer(&attempt).len()
                ));
            }
        }
        Outcome::Answered(answer) if answer.status() == 200 => {
            counts.broken_off += 1;
            record.note(&format!("client: {attempt} got 200, broken off"));
        }
        Outcome::Answered(answer) => {
            counts.failed += 1;
            record.note(&format!("client: {attempt} got {}", answer.status()));
        }
        Outcome::Failed(why) => {
            counts.failed += 1;
            record.note(&format!("client: {attempt} failed: {why}"));
        }
    }
}
