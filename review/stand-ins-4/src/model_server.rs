//! A model server as a process of its own. Its streams have neither a length nor chunks and end with
//! their connections.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use crate::http::{self, Message};

/// Number of events of a stream, and the time between two.
pub const EVENTS: u32 = 30;
const PAUSE: Duration = Duration::from_millis(100);

/// Runs the server until it is killed; each run is told on standard output.
pub fn run(address: &str, id: &str, born: u64) {
    let listener = TcpListener::bind(address).expect("the server's address");
    println!("listens");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id, born));
    }
}

fn serve(mut stream: TcpStream, id: &str, born: u64) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        if answer(&mut stream, &request, id, born) != Some(true) {
            return;
        }
    }
}

/// Answers a request, and returns whether the connection is kept.
fn answer(stream: &mut TcpStream, request: &Message, id: &str, born: u64) -> Option<bool> {
    let path = request.target().split('?').next().unwrap_or_default();
    let Some(attempt) = request.header("x-attempt-id") else {
        let body = match path {
            "/api/report" => format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"seq\":2,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":{born}}}"
            ),
            _ => String::new(),
        };
        http::write_answer(stream, "200 OK", &[("X-Instance-Id", id)], body.as_bytes()).ok()?;
        return Some(true);
    };
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let headers = [("X-Instance-Id", id), ("X-Attempt-Id", attempt), ("X-Not-Executed", "1")];
        http::write_answer(stream, "421 Misdirected Request", &headers, b"").ok()?;
        return Some(true);
    }
    println!("run {id} {attempt}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    for number in 1..=EVENTS {
        thread::sleep(PAUSE);
        stream.write_all(format!("id: {number}\ndata: {attempt}\n\n").as_bytes()).ok()?;
    }
    println!("done {id} {attempt}");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    Some(false)
}
