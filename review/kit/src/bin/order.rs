//! In the middle of a release, the last server with the old software crashes. It is back after some
//! seconds under the id that it had, with the new software, and lists itself at once.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use review_kit::{
    BROKEN, HELD, NOT_RUN,
    entries::Entries,
    http::{Connection, header},
    pause,
    record::Record,
    server::{Observer, Server, Work},
    store::Store,
    trouble,
};

/// Streams of the run, and the time between the starts of two.
const STREAMS: usize = 200;
const START_MS: u64 = 40;

/// Time for which the server is down.
const DOWN_MS: u64 = 2_000;

/// Tries of a client for one stream.
const TRIES: usize = 4;

/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

struct Stream {
    attempt: String,
    versions: BTreeSet<String>,
    /// Whether one answer held events of two versions.
    in_one_answer: bool,
    events: u64,
    complete: bool,
}

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"report","host":"ask.example","path-prefix":"/report/",
"kind":"streaming","timeout-ms":15000,"target-latency-ms":600,"gap-aim-ms":250,"priority":2,
"service":"advisor","max-attempts":2,"stream-resume":true,"session-affinity":true}],
"services":[{"name":"advisor","engine":{"kv-tokens":595347}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-1","api-keys":["key-one-0123456789"]}]}"#
        .to_owned()
}

/// How a try ended.
#[derive(Debug, PartialEq)]
enum End {
    Complete,
    /// Refused with a status and the seconds after which the client may come back.
    Refused(u16, Option<f64>),
}

/// Makes one try and adds the events to `stream`.
fn call(
    address: SocketAddr,
    attempt: &str,
    number: usize,
    left: Duration,
    stream: &mut Stream,
) -> std::io::Result<End> {
    let body = format!("{{\"workshop\":{number}}}");
    let prefix = format!("{:x}:600", 0x1000 + number);
    let left_ms = left.as_millis().to_string();
    let last = stream.events.checked_sub(1).map(|last| last.to_string());
    let mut headers = vec![
        ("Host", "ask.example"),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", left_ms.as_str()),
        ("X-Model", "m"),
        ("X-Token-Count", "600,200"),
        ("X-Prompt-Prefix", prefix.as_str()),
        ("Authorization", "Token key-one-0123456789"),
    ];
    if let Some(last) = &last {
        headers.push(("Last-Event-Id", last));
        headers.push(("Resumes", &stream.attempt));
    }
    let mut connection = Connection::open(address)?;
    // Four times the objective is the longest gap that clients wait.
    connection.set_patience(Duration::from_millis(2_400));
    connection.send("POST", "/report/new", &headers, body.as_bytes())?;
    let mut reply = connection.reply()?;
    if reply.status != 200 {
        let after = header(&reply.headers, "retry-after").and_then(|after| after.parse().ok());
        return Ok(End::Refused(reply.status, after));
    }
    let mut here = BTreeSet::new();
    while let Some(part) = connection.part(&mut reply)? {
        for line in String::from_utf8_lossy(&part).lines() {
            if let Some(data) = line.strip_prefix("data: version ") {
                here.insert(data.split(' ').next().unwrap_or_default().to_owned());
                stream.events += 1;
            }
        }
        stream.in_one_answer |= here.len() > 1;
        stream.versions.extend(here.iter().cloned());
    }
    Ok(End::Complete)
}

/// Runs a stream; the client comes back within its deadline if it breaks off or is refused, and
/// waits as it is told, up to a third of the time left.
fn run(addresses: &[SocketAddr], number: usize, record: &Record) -> Stream {
    let attempt = format!("s{number}");
    let versions = BTreeSet::new();
    let mut stream = Stream { attempt, versions, in_one_answer: false, events: 0, complete: false };
    let deadline = Instant::now() + Duration::from_millis(15_000);
    for retry in 0..TRIES {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            break;
        }
        let address = addresses[(number + retry) % addresses.len()];
        let attempt = match retry {
            0 => stream.attempt.clone(),
            _ => format!("s{number}-again-{retry}"),
        };
        let end = call(address, &attempt, number, left, &mut stream);
        record.line(format!(
            "client {attempt}: {end:?}, {} events so far, of versions {:?}",
            stream.events, stream.versions
        ));
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = match end {
            Ok(End::Complete) => {
                stream.complete = true;
                break;
            }
            Ok(End::Refused(429 | 503, after)) => after.unwrap_or(0.1),
            _ => 0.1,
        };
        pause((wait.min(left.as_secs_f64() / 3.0) * 1_000.0) as u64);
    }
    stream
}

fn main() {
    let record = Record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let observer = Observer::new(&record);
    let zones = ["santander", "bilbao", "oviedo"];
    let work = Work::Stream { tokens_per_ms: 50, tokens_per_event: 5, gap_ms: 250 };
    let start = |index: usize, version: &str| {
        let (id, zone) = (format!("i-{index}"), zones[index % zones.len()]);
        Server::start_version(&id, "advisor", zone, 64, work, version, &store, &observer)
    };
    let old = start(0, "1.0");
    let _new: Vec<Server> = (1..4).map(|index| start(index, "2.0")).collect();
    let mut entries = Entries::start(&zones, store.address);
    entries.await_ready();
    record.say("all machines are ready");
    pause(4_000);
    let addresses: Vec<SocketAddr> = (0..zones.len()).map(|index| entries.front(index)).collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (addresses, streams, record) =
            (addresses.clone(), Arc::clone(&streams), record.clone());
        clients.push(std::thread::spawn(move || {
            let stream = run(&addresses, number, &record);
            streams.lock().unwrap().push(stream);
        }));
        pause(START_MS);
    }
    if trouble() {
        record.say(format!("server {} crashes", old.id));
        old.exit();
        pause(DOWN_MS);
        let back = old.start_again("2.0");
        record.say(format!("server {} is back and listed, with version 2.0", back.id));
    }
    for client in clients {
        let _ = client.join();
    }
    let streams = streams.lock().unwrap();
    let complete = streams.iter().filter(|stream| stream.complete).count();
    record.say(format!("{} streams, {complete} of them complete", streams.len()));
    let ended = (0..zones.len()).filter(|index| entries.has_ended(*index)).count();
    let begun = streams.iter().filter(|stream| stream.events > 0).count();
    if begun < STREAMS / 2 || ended > 0 {
        record.say(format!("the case could not run: {ended} processes ended by themselves"));
        entries.end();
        std::process::exit(NOT_RUN);
    }
    let mixed = streams.iter().filter(|stream| stream.versions.len() > 1);
    let mixed: Vec<&Stream> = mixed.collect();
    let in_one = mixed.iter().filter(|stream| stream.in_one_answer).count();
    record.say(format!(
        "{} streams hold events of two versions, {in_one} of them in one answer; {ALLOWED} may",
        mixed.len()
    ));
    entries.end();
    std::process::exit(if mixed.len() > ALLOWED { BROKEN } else { HELD });
}
