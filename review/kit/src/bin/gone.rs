//! A model server crashes; clients whose streams are taken to the others leave while they wait.

use std::{
    io::ErrorKind,
    sync::{Arc, Mutex},
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

/// Streams of the run.
const STREAMS: usize = 80;

/// Time between the starts of two streams.
const START_MS: u64 = 140;

/// Clients abandon a stream after a gap of two seconds, four times the objective or eight times the
/// longest pause, whichever is longest: 2 s, 4 x 500 ms and 8 x 250 ms here.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a server may no longer be at work on a request whose client has left.
const GONE_S: f64 = 0.5;

/// Tokens of a long prompt, and tokens that a server reads in a millisecond between the tokens of the
/// requests that run there.
const PROMPT: u64 = 13_000;
const TOKENS_PER_MS: u64 = 25;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Left,
    Broken,
    Refused(u16),
}

struct Stream {
    attempt: String,
    end: End,
    at: f64,
}

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"report","host":"ask.example","path-prefix":"/report/",
"kind":"streaming","timeout-ms":15000,"target-latency-ms":500,"gap-aim-ms":250,"priority":2,
"service":"advisor","max-attempts":2,"stream-resume":true,"session-affinity":true}],
"services":[{"name":"advisor","engine":{"kv-tokens":595347}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-1","api-keys":["key-one-0123456789"]}]}"#
        .to_owned()
}

/// Runs one stream as a client does.
fn run(
    address: std::net::SocketAddr,
    attempt: String,
    number: usize,
    (prompt, output): (u64, u64),
    record: &Record,
) -> Stream {
    let prefix = format!("{:x}:{prompt}", 0x1000 + number);
    let count = format!("{prompt},{output}");
    let headers = [
        ("Host", "ask.example"),
        ("X-Attempt-Id", attempt.as_str()),
        ("X-Deadline-Ms", "15000"),
        ("X-Model", "m"),
        ("X-Token-Count", count.as_str()),
        ("X-Prompt-Prefix", prefix.as_str()),
        ("Authorization", "Token key-one-0123456789"),
    ];
    let mut events = 0;
    let end = (|| -> std::io::Result<End> {
        let mut connection = Connection::open(address)?;
        connection.set_patience(PATIENCE);
        connection.send("POST", "/report/new", &headers, b"{\"workshop\":7}")?;
        let mut reply = connection.reply()?;
        if reply.status != 200 {
            return Ok(End::Refused(reply.status));
        }
        while connection.part(&mut reply)?.is_some() {
            events += 1;
        }
        Ok(End::Complete)
    })();
    // The connection is closed here, also if the patience has ended.
    let end = end.unwrap_or_else(|error| match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => End::Left,
        _ => End::Broken,
    });
    record.line(format!("client {attempt}: {end:?} after {events} parts"));
    Stream { attempt, end, at: record.now() }
}

fn main() {
    let record = Record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let observer = Observer::new(&record);
    let zones = ["santander"; 3];
    let work = Work::Stream { tokens_per_ms: TOKENS_PER_MS, tokens_per_event: 5, gap_ms: 220 };
    let servers: Vec<Server> = (0..4)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start(&id, "advisor", zones[0], 64, work, &store, &observer)
        })
        .collect();
    let mut entries = Entries::start(&zones, store.address);
    entries.await_ready();
    record.say("all machines are ready");
    // Short streams come first, as on any ordinary day.
    let mut warming = Vec::new();
    for client in 0..20 {
        let (address, record) = (entries.front(client % zones.len()), record.clone());
        warming.push(std::thread::spawn(move || {
            for number in 0..12 {
                let number = 1_000 * (client + 1) + number;
                run(address, format!("short-{number}"), number, (200, 10), &record);
            }
        }));
    }
    for client in warming {
        let _ = client.join();
    }
    record.say("short streams are over");
    pause(3_000);
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let address = entries.front(number % zones.len());
        let (streams, record) = (Arc::clone(&streams), record.clone());
        clients.push(std::thread::spawn(move || {
            let stream = run(address, format!("s{number}"), number, (PROMPT, 300), &record);
            streams.lock().unwrap().push(stream);
        }));
        pause(START_MS);
    }
    if trouble() {
        servers[0].exit();
        record.say(format!("server {} crashes", servers[0].id));
    }
    for client in clients {
        let _ = client.join();
    }
    pause(1_500);
    let (streams, seen) = (streams.lock().unwrap(), observer.all());
    let count = |end: fn(&End) -> bool| streams.iter().filter(|stream| end(&stream.end)).count();
    record.say(format!(
        "{} streams: {} complete, {} left by their clients, {} broken off, {} refused",
        streams.len(),
        count(|end| *end == End::Complete),
        count(|end| *end == End::Left),
        count(|end| *end == End::Broken),
        count(|end| matches!(end, End::Refused(_)))
    ));
    let ended = (0..zones.len()).filter(|index| entries.has_ended(*index)).count();
    if count(|end| *end == End::Complete) == 0 || ended > 0 {
        record.say(format!("the case could not run: {ended} processes ended by themselves"));
        entries.end();
        std::process::exit(NOT_RUN);
    }
    let (mut at_work, mut still) = (0, 0);
    for stream in streams.iter().filter(|stream| stream.end == End::Left) {
        // The runs of the request: when a server began to work on it, and when it stopped.
        let runs =
            seen.iter().filter(|seen| seen.attempt == stream.attempt && seen.what == What::Began);
        let ends = runs.map(|began| {
            let end = seen.iter().find(|seen| {
                let same = seen.attempt == began.attempt && seen.server == began.server;
                same && seen.at >= began.at && !matches!(seen.what, What::Arrived | What::Began)
            });
            (began.at, end.map_or(f64::MAX, |end| end.at))
        });
        let last = ends.filter(|(_, end)| *end > stream.at).map(|(_, end)| end).fold(0.0, f64::max);
        if last > 0.0 {
            at_work += 1;
            still += usize::from(last > stream.at + GONE_S);
            let after = (last - stream.at) * 1_000.0;
            record.line(format!(
                "request {}: a server worked on it for {after:.0} ms after its client had left",
                stream.attempt
            ));
        }
    }
    record.say(format!(
        "a server worked on {at_work} streams when their clients left, and still on {still} of them half \
         a second later; a quarter is the most"
    ));
    entries.end();
    std::process::exit(if still * 4 > at_work { BROKEN } else { HELD });
}
