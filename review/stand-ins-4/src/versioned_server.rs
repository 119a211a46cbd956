//! A model server of one software version, as a process of its own. Its streams may be resumed.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Number of events of a stream, and the time between two.
pub const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(100);

/// What a process says of itself.
#[derive(Clone)]
struct Identity {
    id: String,
    born: u64,
    version: String,
    /// Time until which the server is slow after its start, and the time that a report takes meanwhile.
    cold_until: Instant,
}

/// Time for which a server is slow after its start, and the time that a report takes meanwhile.
pub const COLD: Duration = Duration::from_millis(2_000);
const COLD_REPORT: Duration = Duration::from_millis(800);

/// Runs the server until it is killed; `version` is `cold-` and a version for a server that is slow at first.
pub fn run(address: &str, id: &str, born: u64, version: &str) {
    let listener = TcpListener::bind(address).expect("the server's address");
    println!("listens");
    let (is_cold, version) = match version.strip_prefix("cold-") {
        Some(version) => (true, version),
        None => (false, version),
    };
    let cold_until = Instant::now() + if is_cold { COLD } else { Duration::ZERO };
    let identity = Identity { id: id.to_owned(), born, version: version.to_owned(), cold_until };
    for stream in listener.incoming().flatten() {
        let identity = identity.clone();
        thread::spawn(move || serve(stream, &identity));
    }
}

fn serve(mut stream: TcpStream, identity: &Identity) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        if answer(&mut stream, &request, identity).is_none() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, request: &Message, identity: &Identity) -> Option<()> {
    let Identity { id, born, version, cold_until } = identity;
    let path = request.target().split('?').next().unwrap_or_default();
    let Some(attempt) = request.header("x-attempt-id") else {
        let mut body = String::new();
        if path == "/api/report" {
            if Instant::now() < *cold_until {
                thread::sleep(COLD_REPORT);
            }
            body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"seq\":2,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":{born}}}"
            );
        }
        return http::write_answer(stream, "200 OK", &[("X-Instance-Id", id)], body.as_bytes())
            .ok();
    };
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let headers =
            [("X-Instance-Id", id.as_str()), ("X-Attempt-Id", attempt), ("X-Not-Executed", "1")];
        return http::write_answer(stream, "421 Misdirected Request", &headers, b"").ok();
    }
    let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    println!("run {id} {version} {attempt} after event {last}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{id}.{version}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    for number in last + 1..=EVENTS {
        thread::sleep(PAUSE);
        let event = format!("id: {number}\ndata: {version}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
    }
    println!("done {id} {version} {attempt}");
    stream.write_all(b"0\r\n\r\n").ok()
}
