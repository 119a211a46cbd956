//! No case (see "Taken out" in REPORT-3.md): a server that machines cannot reach, though its bytes reach them, crashes; its streams end with
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
    client::{Client, Outcome, new_attempt},
    entry::{Entry, own_ip},
    link::{Cut, Link},
    listing::Listing,
    model_server::EVENTS,
    record::Record,
    scenario::{CaseResult, LEAD, Scenario, put_config},
    server_process::ServerProcess,
    store::Store,
};

const SERVERS: u8 = 5;
const MACHINES: u8 = 3;
const CLIENTS: usize = 16;

/// Deadline of a client and timeout of the route.
const DEADLINE: Duration = Duration::from_secs(12);

/// Time before the first cut, time between two cuts, and how many there are.
const CALM: Duration = Duration::from_secs(13);
const ROUND: Duration = Duration::from_secs(8);
const ROUNDS: u32 = 6;

/// Length of a cut, and time from its begin to the crash and to the start of the next run.
const CUT: Duration = Duration::from_millis(3_000);
const CRASH_AT: Duration = Duration::from_millis(800);
const BACK_AT: Duration = Duration::from_millis(2_800);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"chat","host":"desk.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":12000,"target-latency-ms":600,"priority":0,"service":"model","max-attempts":1,"public":false,"session-affinity":true,"stream-resume":false,"gap-aim-ms":250}],
"services":[{"name":"model","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-tokens":595347,"kv-bytes":18432,"link-mbps":370000.0,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"],"priority":1}]}"#;

const BOUNDS: &str = "  stable-window-ms: 3000\n  drain-ms: 2000\n  grace-s: 8\n  config-ms: 2000\n  revoke-ms: 5000\n  \
                      budget-ratio: 0.2\n  budget-window-s: 10\n  budget-slack: 54\n  lease-ms: 3000\n  \
                      usage-window-s: 5\n  usage-late-s: 10\n  recover-s: 12\n";

#[derive(Default)]
struct Counts {
    sent: u32,
    whole: u32,
    broken_off: u32,
    failed: u32,
    /// Streams that ended as complete before their last event.
    short: u32,
}

pub fn play(scenario: &Scenario) -> CaseResult {
    let record = &scenario.record;
    let store = Store::start(&own_ip(1));
    put_config(&store, CONFIG);
    let listing = Listing::start(&store);
    let (mut servers, mut links) = (Vec::new(), Vec::new());
    for index in 0..SERVERS {
        let address = scenario.free_address(&own_ip(100 + index));
        let server = ServerProcess::start("model-server", address, format!("i-{index}-0"), record);
        let link = Link::start(&own_ip(50 + index), address);
        listing.add(&server.id, "model", link.address, server.born);
        servers.push(server);
        links.push(link);
    }
    let settings = scenario.settings(store.address, BOUNDS, MACHINES);
    let entries: Vec<Entry> = (0..MACHINES).map(|index| Entry::start(&settings, index)).collect();
    if !entries.iter().all(|entry| entry.await_ready(Duration::from_secs(20))) {
        return CaseResult::CouldNotRun("a machine was not ready".into());
    }
    record.tell("all machines are ready");
    thread::sleep(LEAD);
    let (stop, counts): (Arc<AtomicBool>, Arc<Mutex<Counts>>) = Default::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            // The other machines send nothing to the servers, so that the cut is one from this machine.
            let entry = entries[0].front();
            let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), record.clone());
            thread::spawn(move || {
                let mut client = Client::new(entry, DEADLINE);
                while !stop.load(Ordering::Relaxed) {
                    call(&mut client, &counts, &record);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    for round in 1..=ROUNDS {
        let began = Instant::now();
        let place = round as usize % servers.len();
        if scenario.has_trouble {
            let wait = |at: Duration| {
                thread::sleep((began + at).saturating_duration_since(Instant::now()))
            };
            record.note(&format!(
                "trouble: {} is cut off from what the first machine sends",
                servers[place].id
            ));
            links[place].set_cut(Cut::ToServer);
            wait(CRASH_AT);
            record.note(&format!("trouble: {} crashes", servers[place].id));
            servers[place].kill();
            listing.note_crash(&servers[place].id);
            wait(BACK_AT);
            let id = format!("i-{place}-{round}");
            servers[place].start_again(id.clone(), record);
            record.note(&format!("trouble: {id} starts in its place"));
            listing.add(&id, "model", links[place].address, servers[place].born);
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
    let Counts { sent, whole, broken_off, failed, short } = *counts.lock().unwrap();
    record.tell(&format!(
        "{sent} streams: {whole} whole, {broken_off} broken off, {failed} failed or refused, \
         {short} ended as complete before their last event"
    ));
    if whole < 50 {
        return CaseResult::CouldNotRun("too few streams were served".into());
    }
    CaseResult::from_breaks("ORDER", short)
}

fn call(client: &mut Client, counts: &Mutex<Counts>, record: &Record) {
    let attempt = new_attempt();
    let (thing, own) = (&attempt[..2], &attempt[4..12]);
    let head = format!(
        "POST /chat/ask HTTP/1.1\r\nX-Model: m\r\nX-Token-Count: 826,120\r\n\
         X-Prompt-Prefix: 5c1e07a2:198,a{thing}:400,{own}:228\r\n"
    );
    record.note(&format!("client: sends {attempt}"));
    let outcome = client.send(&head, &attempt, attempt.as_bytes());
    let mut counts = counts.lock().unwrap();
    counts.sent += 1;
    match outcome {
        Outcome::Answered(answer) => {
            let lines = answer.body.split(|byte| *byte == b'\n');
            let events = lines.filter(|line| line.starts_with(b"id:")).count() as u32;
            let status = answer.status();
            let count = match (status, answer.is_whole) {
                (200, true) if events == EVENTS => &mut counts.whole,
                (200, true) => &mut counts.short,
                (200, false) => &mut counts.broken_off,
                _ => &mut counts.failed,
            };
            *count += 1;
            let end = if answer.is_whole { "as complete" } else { "broken off" };
            let seal = answer.header("x-server-seal").unwrap_or("none");
            record.note(&format!(
                "client: {attempt} got {status}, {seal}, {events} of {EVENTS} events, {end}"
            ));
        }
        Outcome::Failed(why) => {
            counts.failed += 1;
            record.note(&format!("client: {attempt} failed: {why}"));
        }
    }
}
