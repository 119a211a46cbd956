//! Case 12: a server crashes and is back under its id with other software; it is slow at first.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::new_attempt,
    entry::{Entry, own_ip},
    http,
    listing::{BEAT, Listing},
    record::Record,
    scenario::{CaseResult, LEAD, Scenario, put_config},
    server_process::ServerProcess,
    store::Store,
    versioned_server::{COLD, EVENTS},
};

const SERVERS: u8 = 4;
const MACHINES: u8 = 2;
const STREAMS: u32 = 6;
const ROUNDS: u32 = 6;

/// Time between the starts of two streams, and from the last start to the crash.
const START_PERIOD: Duration = Duration::from_millis(300);
const CRASH_DELAY: Duration = Duration::from_millis(500);

/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(700);

/// Time after which a client takes up a stream that was cut.
const TAKE_UP_DELAY: Duration = Duration::from_millis(800);

/// Time in which the machines learn that all servers run the first version again.
const SETTLED: Duration = Duration::from_secs(4);

const DEADLINE: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"report","host":"desk.example","path-prefix":"/report/","kind":"streaming","timeout-ms":15000,"target-latency-ms":2000,"priority":2,"service":"model","max-attempts":1,"public":false,"session-affinity":true,"stream-resume":true,"gap-aim-ms":1000}],
"services":[{"name":"model","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-tokens":595347,"kv-bytes":18432,"link-mbps":370000.0,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"],"priority":1}]}"#;

const BOUNDS: &str = "  stable-window-ms: 3000\n  drain-ms: 2000\n  grace-s: 8\n  config-ms: 2000\n  revoke-ms: 5000\n  \
                      budget-ratio: 0.2\n  budget-window-s: 10\n  budget-slack: 54\n  lease-ms: 3000\n  \
                      usage-window-s: 5\n  usage-late-s: 10\n  recover-s: 12\n";

#[derive(Default)]
struct Counts {
    streams: u32,
    whole: u32,
    taken_up: u32,
    mixed: u32,
}

/// A stream as its client has it, over its tries.
#[derive(Default)]
struct ClientStream {
    /// Version that each event names.
    versions: Vec<String>,
    /// Attempt that brought the first event.
    began: Option<String>,
}

pub fn play(scenario: &Scenario) -> CaseResult {
    let record = &scenario.record;
    let store = Store::start(&own_ip(1));
    put_config(&store, CONFIG);
    let listing = Listing::start(&store);
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let address = scenario.free_address(&own_ip(100 + index));
        let id = format!("i-{index}");
        let server = ServerProcess::start("versioned-server", address, id, record);
        listing.add(&server.id, "model", address, server.born);
        servers.push(server);
    }
    let settings = scenario.settings(store.address, BOUNDS, MACHINES);
    let entries: Vec<Entry> = (0..MACHINES).map(|index| Entry::start(&settings, index)).collect();
    if !entries.iter().all(|entry| entry.await_ready(Duration::from_secs(20))) {
        return CaseResult::CouldNotRun("a machine was not ready".into());
    }
    record.tell("both machines are ready");
    thread::sleep(LEAD);
    let fronts = [entries[0].front(), entries[1].front()];
    let mut counts = Counts::default();
    for round in 1..=ROUNDS {
        record.note(&format!("round {round}"));
        let before: Vec<u32> = servers.iter().map(ServerProcess::runs).collect();
        let clients: Vec<_> = (0..STREAMS)
            .map(|_| {
                let record = record.clone();
                thread::sleep(START_PERIOD);
                thread::spawn(move || play_client(fronts, &record))
            })
            .collect();
        thread::sleep(CRASH_DELAY);
        let begun = |place: &usize| servers[*place].runs() - before[*place];
        let busy = (0..servers.len()).max_by_key(begun).unwrap_or(0);
        if scenario.has_trouble {
            disrupt(&mut servers[busy], &listing, record);
        }
        for client in clients {
            let (stream, tries) = client.join().unwrap_or_default();
            counts.streams += 1;
            counts.whole += u32::from(stream.versions.len() as u32 == EVENTS);
            counts.taken_up += u32::from(tries > 1);
            counts.mixed += u32::from(stream.versions.windows(2).any(|pair| pair[0] != pair[1]));
        }
        if scenario.has_trouble {
            record.note("the server is set back to the first version while no stream runs");
            let server = &mut servers[busy];
            server.kill();
            listing.forget(&server.id);
            server.start_version_again("v1", record);
            listing.add(&server.id, "model", server.address, server.born);
        }
        thread::sleep(SETTLED);
    }
    let Counts { streams, whole, taken_up, mixed } = counts;
    record.tell(&format!(
        "{streams} streams: {whole} whole, {taken_up} taken up again, {mixed} with events of two versions"
    ));
    if whole == 0 {
        return CaseResult::CouldNotRun("no stream was served".into());
    }
    // The rule allows two.
    CaseResult::from_breaks("ORDER", if mixed > 2 { mixed } else { 0 })
}

/// A server crashes and is back under its id and address with other software. Its first heartbeat comes
/// one interval after its start.
fn disrupt(server: &mut ServerProcess, listing: &Listing, record: &Record) {
    let id = server.id.clone();
    record.note(&format!("trouble: {id} crashes"));
    server.kill();
    listing.forget(&id);
    thread::sleep(DOWN);
    server.start_version_again("cold-v2", record);
    let back_at = Instant::now();
    record.note(&format!("trouble: {id} is back with the version v2, slow at first"));
    thread::sleep((back_at + BEAT).saturating_duration_since(Instant::now()));
    let cold = COLD.saturating_sub(back_at.elapsed());
    listing.add_version(&id, "model", server.address, server.born, "v2", cold);
    record.note(&format!("trouble: the store lists {id} with the version v2"));
}

/// Plays a client that takes its stream up once, at another machine; returns the stream and the number of tries.
fn play_client([first, other]: [SocketAddr; 2], record: &Record) -> (ClientStream, u32) {
    let mut stream = ClientStream::default();
    receive(first, &mut stream, record);
    if stream.versions.len() as u32 == EVENTS || stream.versions.is_empty() {
        return (stream, 1);
    }
    thread::sleep(TAKE_UP_DELAY);
    receive(other, &mut stream, record);
    (stream, 2)
}

/// Begins a stream, or takes it up again.
fn receive(entry: SocketAddr, stream: &mut ClientStream, record: &Record) {
    let attempt = new_attempt();
    let held = stream.versions.len();
    let began = stream.began.as_deref();
    let take_up = began.map(|began| format!("Last-Event-Id: {held}\r\nResumes: {began}\r\n"));
    record.note(&format!(
        "client: sends {attempt} after event {held}, resumes {}",
        began.unwrap_or("nothing")
    ));
    let ended = receive_events(entry, &attempt, &take_up.unwrap_or_default(), stream);
    if stream.versions.len() > held {
        stream.began.get_or_insert(attempt.clone());
    }
    let mut counts: Vec<(&str, u32)> = Vec::new();
    for version in &stream.versions {
        match counts.last_mut().filter(|(last, _)| last == version) {
            Some((_, count)) => *count += 1,
            None => counts.push((version, 1)),
        }
    }
    record.note(&format!("client: {attempt} ended ({ended:?}), events so far {counts:?}"));
}

/// Returns the status of an answer whose body came to its end.
fn receive_events(
    entry: SocketAddr,
    attempt: &str,
    take_up: &str,
    stream: &mut ClientStream,
) -> std::io::Result<u16> {
    let mut connection = TcpStream::connect(entry)?;
    connection.set_read_timeout(Some(DEADLINE))?;
    let (own, millis) = (&attempt[4..12], DEADLINE.as_millis());
    let head = format!(
        "POST /report/ask HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {millis}\r\n\
         Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Count: 826,120\r\n\
         X-Prompt-Prefix: 5c1e07a2:198,{own}:628\r\n{take_up}Content-Length: 0\r\n\r\n"
    );
    connection.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(connection);
    let answer = http::read_head(&mut reader)?.unwrap_or_default();
    if answer.status() != 200 {
        return Ok(answer.status());
    }
    let mut text = String::new();
    let held = stream.versions.len();
    while let Some(chunk) = http::read_chunk(&mut reader)? {
        text += &String::from_utf8_lossy(&chunk);
        let versions = text.lines().filter_map(|line| line.strip_prefix("data: "));
        stream.versions.truncate(held);
        stream.versions.extend(versions.map(str::to_owned));
    }
    Ok(200)
}
