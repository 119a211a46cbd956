//! All machines are killed at once, a second after the old servers of a release began to drain; three
//! releases.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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

/// Time between the starts of two streams; the streams of a small site are about as many.
const START_MS: u64 = 10;

/// Time from the report of the old servers that they drain to their exit.
const DRAIN_MS: u64 = 2_300;

/// Time from that report to the kill of all machines.
const KILL_AFTER_MS: u64 = 1_000;

/// Time for which the machines are down.
const DOWN_MS: u64 = 1_000;

/// Time after its start from which a machine is in touch.
const STABLE_S: f64 = 3.0;

/// Tries of a client for one stream.
const TRIES: usize = 4;

/// Take-ups from which on the rule is judged.
const FEWEST: usize = 12;

/// A kill of all machines, and the version that had just begun to serve.
struct Kill {
    at: f64,
    back_at: f64,
    version: &'static str,
}

/// One try of a client.
struct Try {
    stream: usize,
    /// Whether the stream is taken up: it has events of an earlier try.
    is_take_up: bool,
    /// Version of the events that the client has.
    version: String,
    at: f64,
    status: u16,
    events: u64,
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

/// Runs a stream; the client comes back a few times within its deadline.
fn run(addresses: &[SocketAddr], number: usize, record: &Record, tries: &Mutex<Vec<Try>>) {
    let deadline = Instant::now() + Duration::from_millis(15_000);
    let first = format!("s{number}");
    let body = format!("{{\"workshop\":{number}}}");
    let prefix = format!("{:x}:600", 0x1000 + number);
    let (mut events, mut version) = (0_u64, String::new());
    for retry in 0..TRIES {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            return;
        }
        let left_ms = left.as_millis().to_string();
        let attempt = if retry == 0 { first.clone() } else { format!("s{number}-again-{retry}") };
        let last = events.checked_sub(1).map(|last| last.to_string());
        let mut headers = vec![
            ("Host", "ask.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", left_ms.as_str()),
            ("X-Model", "m"),
            ("X-Token-Count", "600,80"),
            ("X-Prompt-Prefix", prefix.as_str()),
            ("Authorization", "Token key-one-0123456789"),
        ];
        if let Some(last) = &last {
            headers.push(("Last-Event-Id", last));
            headers.push(("Resumes", &first));
        }
        let at = record.now();
        let (mut status, mut here, mut after) = (0, 0, None);
        let end = (|| -> std::io::Result<()> {
            let mut connection = Connection::open(addresses[(number + retry) % addresses.len()])?;
            connection.set_patience(Duration::from_millis(2_400));
            connection.send("POST", "/report/new", &headers, body.as_bytes())?;
            let mut reply = connection.reply()?;
            status = reply.status;
            if status != 200 {
                after = header(&reply.headers, "retry-after").and_then(|after| after.parse().ok());
                return Ok(());
            }
            while let Some(part) = connection.part(&mut reply)? {
                for line in String::from_utf8_lossy(&part).lines() {
                    if let Some(data) = line.strip_prefix("data: version ") {
                        version = data.split(' ').next().unwrap_or_default().to_owned();
                        here += 1;
                    }
                }
            }
            Ok(())
        })();
        let is_take_up = events > 0;
        events += here;
        record.line(format!(
            "client {attempt} sent at {at:.3}: {status}, {here} events of version {version:?}, {end:?}"
        ));
        let version = version.clone();
        tries.lock().unwrap().push(Try {
            stream: number,
            is_take_up,
            version,
            at,
            status,
            events: here,
        });
        if status == 200 && end.is_ok() {
            return;
        }
        // Clients wait as they are told, up to a third of the time left; else a little longer each time.
        let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let wait: f64 = after.unwrap_or(0.8 * f64::from(1 << retry));
        pause((wait.min(left / 3.0) * 1_000.0) as u64);
    }
}

fn main() {
    let record = Record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let observer = Observer::new(&record);
    let zones = ["santander", "bilbao", "oviedo"];
    let work = Work::Stream { tokens_per_ms: 50, tokens_per_event: 5, gap_ms: 250 };
    let start = |index: usize, version: &str| {
        let (id, zone) = (format!("i-{version}-{index}"), zones[index % zones.len()]);
        Server::start_version(&id, "advisor", zone, 64, work, version, &store, &observer)
    };
    let begin =
        |version: &str| -> Vec<Server> { (0..9).map(|index| start(index, version)).collect() };
    let mut serving = begin("1.0");
    let mut entries = Entries::start(&zones, store.address);
    entries.await_ready();
    record.say("all machines are ready");
    let addresses: Vec<SocketAddr> = (0..zones.len()).map(|index| entries.front(index)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let starter = {
        let (stop, tries, record) = (Arc::clone(&stop), Arc::clone(&tries), record.clone());
        let addresses = addresses.clone();
        std::thread::spawn(move || {
            let mut clients = Vec::new();
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let (addresses, tries, record) =
                    (addresses.clone(), Arc::clone(&tries), record.clone());
                clients.push(std::thread::spawn(move || run(&addresses, number, &record, &tries)));
                number += 1;
                pause(START_MS);
            }
            clients.into_iter().for_each(|client| drop(client.join()));
            number
        })
    };
    pause(5_000);
    let mut kills: Vec<Kill> = Vec::new();
    for version in ["2.0", "3.0", "4.0"] {
        // The new servers start first, then the old ones drain.
        let new = begin(version);
        record.say(format!("nine servers with version {version} are listed"));
        pause(100);
        serving.iter().for_each(Server::drain);
        record.say("the old servers report draining");
        pause(KILL_AFTER_MS);
        let at = record.now();
        let mut back_at = at;
        if trouble() {
            (0..zones.len()).for_each(|index| entries.signal(index, "KILL"));
            (0..zones.len()).for_each(|index| entries.wait(index));
            record.say("all machines are killed at once");
            pause(DOWN_MS);
            (0..zones.len()).for_each(|index| entries.spawn(index));
            back_at = record.now();
            record.say("all machines are back");
        }
        kills.push(Kill { at, back_at, version });
        pause(DRAIN_MS - KILL_AFTER_MS);
        serving.iter().for_each(|server| {
            server.remove_entry();
            server.exit();
        });
        record.say("the old servers have left");
        serving = new;
        pause(12_000);
    }
    stop.store(true, Ordering::Relaxed);
    let streams = starter.join().unwrap_or(0);
    let tries = tries.lock().unwrap();
    let in_touch = |at: f64| kills.iter().all(|kill| at < kill.at || at > kill.back_at + STABLE_S);
    // Streams whose clients hold events of a new version, of which nine servers serve, and take them up
    // at machines in touch.
    let taken_up = tries.iter().filter(|one| {
        let is_new = |kill: &Kill| {
            kill.version == one.version && one.at > kill.at && one.at < kill.back_at + 12.0
        };
        one.is_take_up && in_touch(one.at) && kills.iter().any(is_new)
    });
    let mut taken: BTreeMap<usize, bool> = BTreeMap::new();
    for one in taken_up {
        record.line(format!("stream {} taken up at {:.3}: {}", one.stream, one.at, one.status));
        *taken.entry(one.stream).or_default() |= one.status == 200 && one.events > 0;
    }
    let went_on = taken.values().filter(|went_on| **went_on).count();
    let new: Vec<&Try> = tries.iter().filter(|one| !one.is_take_up && in_touch(one.at)).collect();
    let began = new.iter().filter(|one| one.events > 0).count();
    record.say(format!(
        "{streams} streams; of {} with events of a new version that were taken up at machines in touch {went_on} went on; of {} new \
         streams {began} began",
        taken.len(),
        new.len()
    ));
    let ended = (0..zones.len()).filter(|index| entries.has_ended(*index)).count();
    entries.end();
    if began == 0 || ended > 0 {
        std::process::exit(NOT_RUN);
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken =
        taken.len() >= FEWEST && share(went_on, taken.len()) < 0.5 * share(began, new.len());
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
