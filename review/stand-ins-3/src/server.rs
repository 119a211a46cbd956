//! A stand-in of a server, as PROTOCOL.md tells it.
//!
//! It writes its heartbeats to the store, turns away what names another instance, and runs requests:
//! streams of events under `/chat/` and `/report/`, plain answers under other paths.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message, read_request, write_response},
    record::Record,
    store::{BEAT, SERVERS, Store},
    unix_ms,
};

/// Size of a plain answer.
pub const BODY_BYTES: usize = 800;

/// What a server is and how it answers.
#[derive(Clone)]
pub struct Habits {
    pub service: &'static str,
    pub version: &'static str,
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// Time that a plain request takes.
    pub work: Duration,
    /// Whether the server is a model server, which tells its state.
    pub reports: bool,
}

/// How a server answers plain requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// With a whole answer that has a length.
    Sound,
    /// With 503 to a share of the requests, after it has run them; one of so many.
    Fails(usize),
}

/// One request that a server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    /// Whether its answer was written to its end.
    pub whole: bool,
}

/// What a server says of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Ready,
    Draining,
    /// It writes to the store no more.
    Silent,
}

struct Shared {
    id: String,
    born: u64,
    address: SocketAddr,
    habits: Habits,
    store: Store,
    record: Record,
    seq: AtomicU64,
    listing: Mutex<Listing>,
    says_leaving: AtomicBool,
    ended: AtomicBool,
    manner: Mutex<Manner>,
    /// What becomes of the next periodic heartbeat: the time after which the store executes it.
    next_late: Mutex<Option<Duration>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    connections: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

/// A server; clones share it.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server at a free port, which writes to the store at once and with each heartbeat.
    pub fn start(id: &str, habits: Habits, store: &Store, record: &Record) -> io::Result<Server> {
        let (listener, address) = http::listen()?;
        let server = Server(Arc::new(Shared {
            id: id.to_owned(),
            born: unix_ms(),
            address,
            habits,
            store: store.clone(),
            record: record.clone(),
            seq: AtomicU64::new(0),
            listing: Mutex::new(Listing::Ready),
            says_leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            manner: Mutex::new(Manner::Sound),
            next_late: Mutex::new(None),
            open: Mutex::default(),
            connections: AtomicU64::new(0),
            runs: Mutex::default(),
        }));
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        server.beat();
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.0.ended.load(Ordering::Relaxed) {
                thread::sleep(BEAT);
                let late = beating.0.next_late.lock().unwrap().take();
                match late {
                    Some(span) => beating.beat_late(span),
                    None => beating.beat(),
                }
            }
        });
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Sets how the server answers plain requests from now on.
    pub fn set_manner(&self, manner: Manner) {
        *self.0.manner.lock().unwrap() = manner;
    }

    /// Returns the requests that the server has begun to run.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Writes a heartbeat.
    pub fn beat(&self) {
        // The state and the number of a heartbeat belong together.
        let listing = self.0.listing.lock().unwrap();
        if *listing == Listing::Silent || self.0.ended.load(Ordering::Relaxed) {
            return;
        }
        let entry = self.entry(*listing);
        self.0.store.put(SERVERS, &self.0.id, entry.as_bytes());
    }

    /// Waits until the next periodic heartbeat. If `late` is set, the store executes that one so much later,
    /// and does not answer it.
    pub fn await_beat(&self, late: Option<Duration>) {
        let before = self.0.seq.load(Ordering::Relaxed);
        *self.0.next_late.lock().unwrap() = late;
        while self.0.seq.load(Ordering::Relaxed) == before {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn beat_late(&self, span: Duration) {
        let listing = self.0.listing.lock().unwrap();
        let entry = self.entry(*listing);
        self.0.record.note(&format!("{} writes {entry}: no answer", self.0.id));
        self.0.store.put_late(span, SERVERS, &self.0.id, entry.as_bytes());
    }

    fn entry(&self, listing: Listing) -> String {
        let Shared { habits, address, born, .. } = &*self.0;
        let state = if listing == Listing::Draining { "draining" } else { "ready" };
        let seq = self.0.seq.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"santander\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold-left-ms\":0,\"born\":{born},\"seq\":{seq}}}",
            habits.service, habits.version
        )
    }

    /// Reports to the store that the server drains, and says in all answers that it leaves. Returns when the
    /// store has accepted the report.
    pub fn drain(&self) -> Duration {
        self.0.says_leaving.store(true, Ordering::Relaxed);
        *self.0.listing.lock().unwrap() = Listing::Draining;
        self.beat();
        self.0.record.note(&format!("{} is draining: the store has accepted that", self.0.id))
    }

    /// Leaves without reporting `draining`: the entry is removed, and all answers say that the server
    /// leaves. Returns when the entry was removed.
    pub fn leave(&self) -> Duration {
        self.0.says_leaving.store(true, Ordering::Relaxed);
        *self.0.listing.lock().unwrap() = Listing::Silent;
        self.0.store.remove_server(&self.0.id);
        self.0.record.note(&format!("{} leaves: its entry is removed", self.0.id))
    }

    /// Ends the server, with all its connections.
    pub fn exit(&self) -> Duration {
        let at = self.0.record.note(&format!("{} exits", self.0.id));
        self.0.ended.store(true, Ordering::Relaxed);
        for stream in self.0.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which closes the listening socket.
        let _ = TcpStream::connect(self.0.address);
        at
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.0.ended.load(Ordering::Relaxed) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let key = self.0.connections.fetch_add(1, Ordering::Relaxed);
            if let Ok(clone) = stream.try_clone() {
                self.0.open.lock().unwrap().insert(key, clone);
            }
            let serving = self.clone();
            thread::spawn(move || {
                let _ = serving.serve(stream);
                serving.0.open.lock().unwrap().remove(&key);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            self.respond(&mut writer, &request)?;
            if self.0.says_leaving.load(Ordering::Relaxed) {
                break;
            }
        }
        Ok(())
    }

    fn respond(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let shared = &*self.0;
        let (_, path, _) = request.target();
        let leaving = if shared.says_leaving.load(Ordering::Relaxed) { "1" } else { "" };
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        let mut headers = vec![("X-Attempt-Id", attempt.as_str()), ("Keep-Alive", "timeout=10")];
        if !leaving.is_empty() {
            headers.push(("Server-Leaving", leaving));
            headers.push(("Connection", "close"));
        }
        if path == "/api/report" && !shared.habits.reports {
            headers.remove(0);
            return write_response(writer, "404 Not Found", &headers, b"");
        }
        if path == "/api/report" {
            headers.remove(0);
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\
                 \"handles\":0,\"born\":{}}}",
                shared.born
            );
            return write_response(writer, "200 OK", &headers, body.as_bytes());
        }
        if request.header("x-expect-instance").is_some_and(|id| id != shared.id) {
            headers.push(("X-Not-Executed", "1"));
            return write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        let seal = format!("{}.1", shared.id);
        headers.push(("X-Server-Seal", &seal));
        let at = shared.record.note(&format!("{} runs {attempt}: {path}", shared.id));
        let number = {
            let mut runs = shared.runs.lock().unwrap();
            runs.push(Run { at, attempt: attempt.clone(), whole: false });
            runs.len() - 1
        };
        let answered = match path.starts_with("/chat/") || path.starts_with("/report/") {
            true => self.stream(writer, request, &headers),
            false => self.answer(writer, &headers, number),
        };
        shared.runs.lock().unwrap()[number].whole = answered.is_ok();
        let end = if answered.is_ok() { "whole" } else { "cut" };
        shared.record.note(&format!("{} ends {attempt}: {end}", shared.id));
        answered
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        headers: &[(&str, &str)],
        number: usize,
    ) -> io::Result<()> {
        thread::sleep(self.0.habits.work);
        let body = [b'a'; BODY_BYTES];
        let manner = *self.0.manner.lock().unwrap();
        match manner {
            Manner::Fails(one_of) if number.is_multiple_of(one_of) => {
                write_response(writer, "503 Service Unavailable", headers, b"")
            }
            _ => write_response(writer, "200 OK", headers, &body),
        }
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        request: &Message,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let Habits { events, gap, .. } = self.0.habits;
        let mut head = http::head("200 OK", headers);
        head.extend(b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        writer.write_all(&head)?;
        let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in last + 1..=events {
            thread::sleep(gap);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
