//! Stand-ins of clients.

use std::{
    io::BufRead,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, read_chunk, read_head},
    record::Record,
};

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// What a client got for one attempt.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub attempt: String,
    /// 0 if the connection gave no answer.
    pub status: u16,
    pub sealed: bool,
    /// Identifiers of the events that arrived.
    pub events: Vec<u64>,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub complete: bool,
}

/// What a client asks for.
#[derive(Clone)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    /// Further header lines.
    pub lines: String,
    /// Whether clients name the model, the tokens and the parts of the prompt.
    pub is_model: bool,
}

impl Ask {
    pub fn new(method: &'static str, path: &str, deadline_ms: u64) -> Ask {
        Ask {
            method,
            path: path.into(),
            body: Vec::new(),
            deadline_ms,
            lines: String::new(),
            is_model: false,
        }
    }
}

/// Number of parts that prompts share.
const PARTS: u64 = 60;

/// Returns the headers of a model request whose prompt shares its first part with others.
fn prompt(number: u64) -> String {
    let shared = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let part = 0x5c1e_0000 + shared % PARTS;
    format!(
        "X-Model: m\r\nX-Token-Count: 628,125\r\nX-Prompt-Prefix: {part:x}:198,{:x}:430\r\n",
        part + (number << 32)
    )
}

/// Sends one attempt on a new connection and reads its answer.
pub fn call(record: &Record, name: &str, entry: SocketAddr, ask: &Ask) -> Outcome {
    let attempt = format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::Relaxed));
    record.note(&format!("{attempt} is sent to {name}: {} {}", ask.method, ask.path));
    let mut outcome = Outcome { attempt: attempt.clone(), ..Outcome::default() };
    let length = match ask.method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", ask.body.len()),
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token k1\r\nConnection: close\r\n{length}{}\r\n",
        ask.method, ask.path, ask.deadline_ms, ask.lines
    )
    .into_bytes();
    request.extend(&ask.body);
    let patience = Duration::from_millis(ask.deadline_ms + 1_000);
    let _ = receive(entry, &request, patience, &mut outcome);
    record.note(&format!(
        "{attempt} has status {}, {} events, {} bytes, {}",
        outcome.status,
        outcome.events.len(),
        outcome.body.len(),
        if outcome.complete { "complete" } else { "cut" }
    ));
    outcome
}

fn receive(
    entry: SocketAddr,
    request: &[u8],
    patience: Duration,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let mut reader = http::send(entry, request, patience)?;
    let Some(head) = read_head(&mut reader)? else { return Ok(()) };
    outcome.status = head.status();
    outcome.sealed = head.header("x-server-seal").is_some();
    if let Some(length) = head.header("content-length").and_then(|length| length.parse().ok()) {
        outcome.body = vec![0; length];
        std::io::Read::read_exact(&mut reader, &mut outcome.body)?;
    } else if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            outcome.body.extend(chunk);
            let text = String::from_utf8_lossy(&outcome.body).into_owned();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            outcome.events = ids.filter_map(|id| id.parse().ok()).collect();
        }
    } else {
        let mut rest = Vec::new();
        while !reader.fill_buf()?.is_empty() {
            let read = reader.buffer().len();
            rest.extend(reader.buffer());
            reader.consume(read);
        }
        outcome.body = rest;
    }
    outcome.complete = true;
    Ok(())
}

/// Clients that send requests one after the other until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    open: Arc<AtomicU64>,
}

impl Load {
    /// Sends `ask` to `entry` once in each `period`.
    pub fn start(
        record: &Record,
        name: &str,
        entry: SocketAddr,
        ask: Ask,
        period: Duration,
    ) -> Load {
        let load = Load { stop: Arc::default(), outcomes: Arc::default(), open: Arc::default() };
        let (record, name, stop) = (record.clone(), name.to_owned(), Arc::clone(&load.stop));
        let (outcomes, open) = (Arc::clone(&load.outcomes), Arc::clone(&load.open));
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let mut ask = ask.clone();
                ask.path = format!("{}{number}", ask.path);
                if ask.is_model {
                    ask.lines.push_str(&prompt(number));
                }
                let (record, name) = (record.clone(), name.clone());
                let (outcomes, open) = (Arc::clone(&outcomes), Arc::clone(&open));
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let outcome = call(&record, &name, entry, &ask);
                    outcomes.lock().unwrap().push(outcome);
                    open.fetch_sub(1, Ordering::Relaxed);
                });
                thread::sleep(period);
            }
        });
        load
    }

    /// Stops the clients, and returns what they got once all have an end.
    pub fn end(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        while self.open.load(Ordering::Relaxed) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
        self.outcomes.lock().unwrap().clone()
    }
}
