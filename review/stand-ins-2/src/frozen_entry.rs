//! Case: a server crashes within an answer and is back before a frozen entry goes on.

use std::{
    fs::File,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{BOUNDS, Case, put_config, wall_ms},
    http::{Ending, Response, call},
    plain_server::body_of,
    process::{Deployment, Entry, Process, SIGCONT, SIGSTOP, free_port, own_address},
    store::Store,
};

const ROUNDS: u32 = 3;
/// Answers with a length for each one without: one in 21 is without, of 20 that the pages allow.
const FRAMED: u32 = 20;
/// Time that a server works on a request whose answer has no length.
const WORK: Duration = Duration::from_millis(450);
/// From the request to the freeze and to the crash.
const FREEZE_AT: Duration = Duration::from_millis(150);
const CRASH_AT: Duration = Duration::from_millis(250);
/// The server is back 1.4 s after its crash, the entry goes on after 1.65 s, within the route's time-out.
const BACK_AT: Duration = Duration::from_millis(1_650);
const THAW_AT: Duration = Duration::from_millis(1_800);
const DEADLINE: Duration = Duration::from_millis(4_000);
const BEAT: Duration = Duration::from_millis(1_200);

/// One server: its process, and what it writes of itself to the store.
struct Server {
    id: String,
    address: SocketAddr,
    born: u64,
    process: Process,
}

fn spawn(case: &Case, id: &str, address: SocketAddr) -> Process {
    let path = case.folder.join(format!("{id}.log"));
    let log = File::options().create(true).append(true).open(path).expect("a log file");
    let program = std::env::current_exe().expect("the path of this program");
    let work = WORK.as_millis().to_string();
    Process::start(
        Command::new(program).args(["plain-server", &address.to_string(), id, &work]).stdout(log),
    )
}

fn list(store: &Store, server: &Server, beat: u64) {
    let text = format!(
        "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{beat},\"born\":{}}}",
        server.address, server.born
    );
    store.put("keyed.servers", &server.id, &text);
}

pub fn run(case: &Case) -> i32 {
    let store = Store::start();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":2000,\"target-latency-ms\":300,\"priority\":2,\
             \"service\":\"desk\",\"max-attempts\":{attempts}}}"
        )
    };
    let routes = [route("lookup", "safe", 2), route("note", "unsafe", 1)].join(",");
    let tenants = ",\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":2}]";
    put_config(&store, 1, &routes, tenants);
    let host = own_address(100);
    let mut servers: Vec<Server> = ["desk-1", "desk-2", "desk-3", "desk-4"]
        .iter()
        .map(|id| {
            let address = SocketAddr::from((host, free_port(host)));
            let process = spawn(case, id, address);
            Server { id: (*id).to_owned(), address, born: wall_ms(), process }
        })
        .collect();
    servers.iter().for_each(|server| list(&store, server, 1));
    let address = own_address(1);
    let control = free_port(address);
    let deployment = Deployment {
        folder: case.folder.clone(),
        daemon: case.daemon.clone(),
        store: store.address,
        cloud: store.address,
        seeds: vec![SocketAddr::from((address, control))],
        bounds: BOUNDS,
        memory_mb: 260,
    };
    let entry = Entry::start(&deployment, 0, "a", control);
    if !entry.await_ready(Duration::from_secs(15)) {
        eprintln!("the entry is not ready");
        return 2;
    }
    // Traffic starts 10 s after the machines do.
    let mut beat = 1;
    for _ in 0..6 {
        beat += 1;
        servers.iter().for_each(|server| list(&store, server, beat));
        thread::sleep(BEAT);
    }
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        // Servers write at every beat; the entry is in touch again before the next round.
        for _ in 0..3 {
            beat += 1;
            servers.iter().for_each(|server| list(&store, server, beat));
            thread::sleep(BEAT);
        }
        for index in 0..FRAMED {
            let path = format!("/lookup/short/{round}.{index}");
            let attempt = format!("s{round}.{index}");
            let response = call(entry.front, &request_of("GET", &path, &attempt), DEADLINE);
            violations.extend(judge(case, &attempt, &path, &response));
        }
        violations.extend(play_round(case, &store, &entry, &mut servers, round, beat));
    }
    for server in &servers {
        let path = case.folder.join(format!("{}.log", server.id));
        for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
            case.record.note(format!("server: {line}"));
        }
    }
    case.result(&violations)
}

/// Sends one request, during which its server crashes while the entry is frozen.
fn play_round(
    case: &Case,
    store: &Store,
    entry: &Entry,
    servers: &mut [Server],
    round: u32,
    beat: u64,
) -> Option<String> {
    // Every second request may run once only.
    let (method, name) = if round.is_multiple_of(2) { ("GET", "lookup") } else { ("POST", "note") };
    let path = format!("/{name}/long/{round}");
    let attempt = format!("a{round}");
    let request = request_of(method, &path, &attempt);
    case.record.note(format!("client sends {attempt}"));
    let begun = Instant::now();
    let has_ended = Arc::new(AtomicBool::new(false));
    let (front, ended) = (entry.front, Arc::clone(&has_ended));
    let client = thread::spawn(move || {
        let response = call(front, &request, DEADLINE);
        ended.store(true, Ordering::Relaxed);
        response
    });
    if case.trouble {
        let until = |at: Duration| thread::sleep(at.saturating_sub(begun.elapsed()));
        until(FREEZE_AT);
        entry.process.signal(SIGSTOP);
        case.record.note("the entry stands still");
        let logs = |server: &Server| {
            let path = case.folder.join(format!("{}.log", server.id));
            std::fs::read_to_string(path).unwrap_or_default()
        };
        let runs = format!("runs {attempt}");
        until(CRASH_AT);
        if let Some(server) =
            servers.iter_mut().find(|server| logs(server).lines().any(|line| line.ends_with(&runs)))
        {
            server.process.end();
            case.record.note(format!("{} crashes within its answer", server.id));
            until(BACK_AT);
            server.process = spawn(case, &server.id, server.address);
            server.born = wall_ms();
            list(store, server, 1);
            case.record.note(format!("{} is back", server.id));
        }
        servers.iter().for_each(|server| list(store, server, beat + 1));
        until(THAW_AT);
        entry.process.signal(SIGCONT);
        case.record.note("the entry goes on");
    }
    let response = client.join().expect("the client ends");
    judge(case, &attempt, &path, &response)
}

fn request_of(method: &str, path: &str, attempt: &str) -> Vec<u8> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {}\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    text.into_bytes()
}

/// Records a response, and returns how it breaks the rule, if it does.
fn judge(case: &Case, attempt: &str, path: &str, response: &Response) -> Option<String> {
    let whole = body_of(path);
    case.record.note(format!(
        "client gets {} for {attempt}: {:?}, {} of {} bytes",
        response.status,
        response.ending,
        response.body.len(),
        whole.len()
    ));
    let is_success = (200..300).contains(&response.status);
    let looks_complete = matches!(response.ending, Ending::Complete | Ending::Closed);
    (is_success && looks_complete && response.body != whole).then(|| {
        format!(
            "MIXED: {attempt} got a success that looks complete with {} of {} bytes",
            response.body.len(),
            whole.len()
        )
    })
}
