//! A plain server of an application service, as a process of its own.
//!
//! It answers without a length: the answer ends with its connection. It writes the first half of an
//! answer early and the second half when the work is done.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use crate::http::{self, Message};

/// Time from a request to the first half of its answer, and from there to the second half.
const FIRST_HALF: Duration = Duration::from_millis(60);
const SECOND_HALF: Duration = Duration::from_millis(390);

/// Body of a request that crashes each server that begins to run it.
pub const DEADLY: &[u8] = b"deadly";

/// Number of lines of a whole answer.
const LINES: usize = 16;

/// Returns the whole answer to a request.
pub fn whole_answer(attempt: &str) -> Vec<u8> {
    (1..=LINES)
        .map(|line| format!("{attempt} line {line:02} of {LINES}\n"))
        .collect::<String>()
        .into()
}

/// Runs the server until it is killed; each run is told on standard output.
pub fn run(address: &str, id: &str) {
    let listener = TcpListener::bind(address).expect("the server's address");
    println!("listens");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id));
    }
}

fn serve(mut stream: TcpStream, id: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        if answer(&mut stream, &request, id) != Some(true) {
            return;
        }
    }
}

/// Answers a request, and returns whether the connection is kept.
fn answer(stream: &mut TcpStream, request: &Message, id: &str) -> Option<bool> {
    let path = request.target().split('?').next().unwrap_or_default();
    let Some(attempt) = request.header("x-attempt-id") else {
        // This server is no model server, and has no report.
        let status = if path == "/health" { "200 OK" } else { "404 Not Found" };
        http::write_answer(stream, status, &[("X-Instance-Id", id)], b"").ok()?;
        return Some(true);
    };
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let headers = [("X-Instance-Id", id), ("X-Attempt-Id", attempt), ("X-Not-Executed", "1")];
        http::write_answer(stream, "421 Misdirected Request", &headers, b"").ok()?;
        return Some(true);
    }
    println!("run {id} {attempt}");
    if request.body == DEADLY {
        // This process falls silent; the scenario ends it.
        println!("deadly {id} {attempt}");
        thread::sleep(Duration::from_secs(60));
    }
    thread::sleep(FIRST_HALF);
    let body = whole_answer(attempt);
    let (first, second) = body.split_at(body.len() / 2);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{id}\r\n\
         Content-Type: text/plain\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(first).ok()?;
    thread::sleep(SECOND_HALF);
    stream.write_all(second).ok()?;
    println!("done {id} {attempt}");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    Some(false)
}
