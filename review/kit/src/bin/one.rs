//! The store turns the holder of the usage duty away, so that another machine takes the duty over; then
//! the store comes back from an older copy.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use review_kit::{
    BROKEN, HELD, NOT_RUN,
    entries::Entries,
    http::Connection,
    pause,
    record::Record,
    server::{Observer, Server, Work},
    store::Store,
    trouble, wait_for,
};

/// Length of a usage window.
const WINDOW_MS: u64 = 5_000;

/// Longest time for which the store turns a machine away; days of the site have 9.0 s.
const MAX_REFUSAL: Duration = Duration::from_millis(8_900);

/// Time for which the store is away in the drill.
const AWAY_MS: u64 = 2_200;

/// Time after the store's return, or its refusals, for which a call does not count: the platform "just was in
/// disruption", which is `stable-window-ms` elsewhere in the rules.
const EXCUSED: Duration = Duration::from_secs(3);

/// Rounds of a refusal and a drill at most.
const ROUNDS: usize = 5;

/// Time of the run after which no further round begins.
const LAST_ROUND_S: f64 = 82.0;

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"order-place","host":"shop.example","path-prefix":"/orders/",
"kind":"unsafe","timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"orders",
"max-attempts":1}],"services":[{"name":"orders"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-1","api-keys":["key-one-0123456789"]}]}"#
        .to_owned()
}

/// Returns the milliseconds since a usage window began.
fn in_window() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    since.as_millis() as u64 % WINDOW_MS
}

/// Returns the machine that holds the duty, by the newest record.
fn holder(store: &Store, entries: &Entries) -> Option<usize> {
    let record = store.newest_value("keyed.usage-duty", "usage")?;
    let (_, after) = record.split_once("\"holder\"")?;
    let end = after.find('}').unwrap_or(after.len());
    entries.list.iter().position(|entry| after[..end].contains(&entry.name))
}

struct Round {
    from: Instant,
    until: Instant,
}

/// Turns the holder away until another machine has taken the duty over, and then brings the store
/// back from a copy of before that.
fn play(store: &Store, own: &[Store], entries: &Entries, record: &Record) -> Option<Round> {
    // A window has just ended; its counts are not closed yet.
    while in_window() < 100 || in_window() > 160 {
        pause(10);
    }
    let before = holder(store, entries)?;
    let from = Instant::now();
    let known = entries.logged(before, "usage duty changed hands").len();
    own[before].turn_away(true);
    record
        .say(format!("{} holds the duty, and the store turns it away", entries.list[before].name));
    let copy = {
        let mut copy = Instant::now();
        loop {
            if holder(store, entries) != Some(before) {
                break Some(copy);
            }
            if from.elapsed() > MAX_REFUSAL {
                break None;
            }
            copy = Instant::now() - Duration::from_millis(200);
            pause(20);
        }
    };
    own[before].turn_away(false);
    record.say(format!("{} is served again after {:?}", entries.list[before].name, from.elapsed()));
    let Some(copy) = copy else {
        record.say("nobody has taken the duty over meanwhile");
        return Some(Round { from, until: Instant::now() });
    };
    let after = holder(store, entries)?;
    record.say(format!("{} has taken the duty over", entries.list[after].name));
    let learned = || entries.logged(before, "usage duty changed hands").len() > known;
    if !wait_for(4.0, learned) {
        record.say("that machine has not read the duty within 4 s");
    }
    // The store is away for a moment, while the next window ends.
    while in_window() < 4_200 || in_window() > 4_400 {
        pause(10);
    }
    store.leave();
    let left = Instant::now();
    record.say("the store is away");
    pause(AWAY_MS);
    record.say(format!(
        "the store is back after {:?}, from a copy {:?} old",
        left.elapsed(),
        copy.elapsed()
    ));
    store.come_back(copy);
    Some(Round { from, until: Instant::now() })
}

fn main() {
    let record = Record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let observer = Observer::new(&record);
    let zones = ["santander", "bilbao", "oviedo"];
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-{index}");
        Server::start(&id, "orders", zone, 6, Work::Answer { ms: 30 }, &store, &observer);
    }
    let own: Vec<Store> = zones.iter().map(|_| store.at_another_address()).collect();
    let platforms: Vec<SocketAddr> = own.iter().map(|store| store.address).collect();
    let mut entries = Entries::start_at(&zones, &platforms, 0);
    entries.await_ready();
    record.say("all machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let served: Arc<Mutex<u64>> = Arc::default();
    let mut clients = Vec::new();
    for front in 0..zones.len() {
        let address = entries.front(front);
        let (stop, served, record) = (Arc::clone(&stop), Arc::clone(&served), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let attempt = format!("c{front}-{number}");
                if let Ok(mut connection) = Connection::open(address) {
                    connection.set_patience(Duration::from_millis(1_500));
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Attempt-Id", attempt.as_str()),
                        ("X-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-one-0123456789"),
                    ];
                    if connection.send("POST", "/orders/new", &headers, b"{}").is_ok()
                        && let Ok(mut reply) = connection.reply()
                    {
                        let _ = connection.body(&mut reply);
                        record.line(format!("client {attempt}: {}", reply.status));
                        *served.lock().unwrap() += u64::from(reply.status == 200);
                    }
                }
                pause(100);
            }
        }));
    }
    if !wait_for(20.0, || !store.reports().is_empty()) {
        record.say("no usage was reported");
        entries.end();
        std::process::exit(NOT_RUN);
    }
    // The other machines have read who holds the duty.
    pause(3_000);
    let start = Instant::now();
    let mut rounds: Vec<Round> = Vec::new();
    let mut printed = 0;
    let mut broken = 0;
    let mut lasts = false;
    'rounds: for _ in 0..=ROUNDS {
        if !lasts && record.now() > LAST_ROUND_S {
            break;
        }
        if trouble() && !lasts {
            let Some(round) = play(&store, &own, &entries, &record) else {
                record.say("the duty has no holder");
                entries.end();
                std::process::exit(NOT_RUN);
            };
            rounds.push(round);
        }
        if !lasts {
            pause(6_000);
        }
        if let Some(round) = rounds.last() {
            for (at, number, path, status) in store.duty_calls() {
                if at > round.from {
                    let after = at.duration_since(round.from).as_secs_f64();
                    let machine = &entries.list[number - own[0].number()].name;
                    record.line(format!("{after:.3} s into the round: {machine} {path}: {status}"));
                }
            }
        }
        let reports = store.reports();
        for (at, holder, token, body) in &reports[printed..] {
            let at = at.saturating_duration_since(start).as_secs_f64();
            record.line(format!(
                "report at {at:.3} s after the first, by {holder} with token {token}: {body}"
            ));
        }
        printed = reports.len();
        let mut highest = 0;
        broken = 0;
        for (at, holder, token, _) in &reports {
            let is_excused =
                rounds.iter().any(|round| *at >= round.from && *at < round.until + EXCUSED);
            if *token < highest && !is_excused {
                broken += 1;
                record.line(format!(
                    "{holder} reports with token {token} after token {highest} was seen"
                ));
            }
            highest = highest.max(*token);
        }
        record.say(format!(
            "{} reports so far, {broken} with a lower token than one seen before",
            reports.len()
        ));
        if broken > 0 && !lasts {
            // The fault lasts: the next windows are reported under the low token too.
            lasts = true;
            pause(10_000);
            continue 'rounds;
        }
        if broken > 0 {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    record.say(format!("{} requests served", served.lock().unwrap()));
    let ended = (0..zones.len()).filter(|index| entries.has_ended(*index)).count();
    entries.end();
    if ended > 0 {
        std::process::exit(NOT_RUN);
    }
    std::process::exit(if broken > 0 { BROKEN } else { HELD });
}
