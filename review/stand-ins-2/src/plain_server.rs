//! A server of a plain service as a process of its own, which can be killed.
//!
//! An answer to a path below `/lookup/long/` or `/note/long/` has neither a length nor chunks and ends with its
//! connection; the server writes its first half at once and the rest when its work is done. All others have a
//! length.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use crate::http::{self, answer};

/// Time that a server works on a short request.
const SHORT_WORK: Duration = Duration::from_millis(20);

/// Returns the whole body of the answer to a path.
pub fn body_of(path: &str) -> Vec<u8> {
    let line = format!("{path} is in stock;");
    line.bytes().cycle().take(1_600).collect()
}

/// Serves until the process is killed.
pub fn run(address: SocketAddr, id: &str, work: Duration) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id, work));
    }
}

fn serve(mut stream: TcpStream, id: &str, work: Duration) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(request) = http::read_request(&mut stream, &mut buffer) {
        let attempt = request.header("x-attempt-id").to_owned();
        if request.path() == "/health" {
            let headers = [("X-Instance-Id", id), ("X-Server-Load", "0,0,6")];
            if stream.write_all(&answer("200 OK", &headers, b"")).is_err() {
                return;
            }
            continue;
        }
        if attempt.is_empty() {
            // A plain service makes no report of its own.
            if stream.write_all(&answer("404 Not Found", &[], b"")).is_err() {
                return;
            }
            continue;
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            let headers = [("X-Attempt-Id", &*attempt), ("X-Not-Executed", "1")];
            if stream.write_all(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                return;
            }
            continue;
        }
        println!("{id} runs {attempt}");
        let body = body_of(request.path());
        if !request.path().contains("/long/") {
            thread::sleep(SHORT_WORK);
            let seal = format!("{id}.{attempt}");
            let headers = [("X-Attempt-Id", &*attempt), ("X-Server-Seal", &*seal)];
            if stream.write_all(&answer("200 OK", &headers, &body)).is_err() {
                return;
            }
            continue;
        }
        let (first, rest) = body.split_at(body.len() / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}.{attempt}\r\n\
             Connection: close\r\n\r\n"
        );
        let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(first));
        thread::sleep(work);
        if sent.and_then(|()| stream.write_all(rest)).is_ok() {
            println!("{id} has answered {attempt}");
        }
        return;
    }
}
