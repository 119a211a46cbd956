//! Stand-ins of the servers: a plain application and a model server.

use std::{
    io::{BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, answer, read_request},
    pause,
    record::Record,
    store::Store,
};

/// Time between two heartbeats.
const BEAT_MS: u64 = 1_200;

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Works for some milliseconds and answers with a body; goes on if its caller leaves.
    Answer { ms: u64 },
    /// Reads all prompts by turns, then sends events; drops a request whose caller leaves.
    Stream { tokens_per_ms: u64, tokens_per_event: u64, gap_ms: u64 },
}

/// What happened at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// A request for this server was read.
    Arrived,
    /// The server began to work on it.
    Began,
    /// The server finished its answer.
    Finished,
    /// The server noticed that its caller had left, and dropped the request.
    Dropped,
    /// The server exited while it worked on the request.
    Cut,
}

/// One thing that happened at a server.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub server: String,
    pub attempt: String,
    pub what: What,
}

/// Everything that happened at all servers.
#[derive(Clone)]
pub struct Observer {
    record: Record,
    seen: Arc<Mutex<Vec<Seen>>>,
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    since.as_millis() as u64
}

impl Observer {
    pub fn new(record: &Record) -> Observer {
        Observer { record: record.clone(), seen: Arc::default() }
    }

    fn note(&self, server: &str, attempt: &str, what: What) {
        let at = self.record.now();
        self.record.line(format!("server {server} request {attempt}: {what:?}"));
        let (server, attempt) = (server.to_owned(), attempt.to_owned());
        self.seen.lock().unwrap().push(Seen { at, server, attempt, what });
    }

    /// Returns everything that happened so far.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

/// A server of a service.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    /// Version of the server's software.
    version: String,
    born: u64,
    work: Work,
    store: Store,
    observer: Observer,
    /// Whether the process runs.
    runs: Arc<AtomicBool>,
    /// Whether the server writes its entry.
    beats: Arc<AtomicBool>,
    /// Whether the server reports `draining`.
    drains: Arc<AtomicBool>,
    seq: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Requests whose prompts are being read.
    reading: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    /// Value of `Server-Limit` in answers; empty for none.
    limit: Arc<Mutex<String>>,
}

impl Server {
    /// Starts a server at a free port and lists it in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: Work,
        store: &Store,
        observer: &Observer,
    ) -> Server {
        Server::start_version(id, service, zone, slots, work, "1.0", store, observer)
    }

    /// Starts a server with this version of its software.
    #[allow(clippy::too_many_arguments)]
    pub fn start_version(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: Work,
        version: &str,
        store: &Store,
        observer: &Observer,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            service: service.into(),
            zone: zone.into(),
            slots,
            version: version.into(),
            born: wall_ms(),
            work,
            store: store.clone(),
            observer: observer.clone(),
            runs: Arc::new(AtomicBool::new(true)),
            beats: Arc::new(AtomicBool::new(true)),
            drains: Arc::default(),
            seq: Arc::default(),
            streams: Arc::default(),
            reading: Arc::default(),
            running: Arc::default(),
            limit: Arc::default(),
        };
        server.run(listener);
        server
    }

    /// Starts a server that has exited again, under its id and at its address, with this version of
    /// its software; it lists itself at once.
    pub fn start_again(&self, version: &str) -> Server {
        let server = Server {
            version: version.into(),
            born: wall_ms(),
            runs: Arc::new(AtomicBool::new(true)),
            beats: Arc::new(AtomicBool::new(true)),
            drains: Arc::default(),
            seq: Arc::default(),
            streams: Arc::default(),
            reading: Arc::default(),
            running: Arc::default(),
            ..self.clone()
        };
        server.run(TcpListener::bind(self.address).expect("the port is free again"));
        server
    }

    fn run(&self, listener: TcpListener) {
        self.beat();
        let beating = self.clone();
        std::thread::spawn(move || {
            loop {
                pause(BEAT_MS);
                if !beating.beats.load(Ordering::Relaxed) {
                    return;
                }
                beating.beat();
            }
        });
        let accepting = self.clone();
        std::thread::spawn(move || accepting.accept(listener));
    }

    /// Writes the server's entry.
    fn beat(&self) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.drains.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.slots, self.born
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Names this limit in all answers from now on.
    pub fn name_limit(&self, limit: &str) {
        *self.limit.lock().unwrap() = limit.to_owned();
    }

    /// Reports `draining`; the server goes on serving.
    pub fn drain(&self) {
        self.drains.store(true, Ordering::Relaxed);
        self.beat();
    }

    /// Removes the server's entry without reporting `draining`; the server goes on serving.
    pub fn remove_entry(&self) {
        self.beats.store(false, Ordering::Relaxed);
        self.store.put("keyed.servers", &self.id, "");
    }

    /// Ends the server's process: its listening socket and its connections are closed.
    pub fn exit(&self) {
        self.beats.store(false, Ordering::Relaxed);
        self.runs.store(false, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        while self.runs.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        self.streams.lock().unwrap().push(clone);
                    }
                    let serving = self.clone();
                    std::thread::spawn(move || serving.serve(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => pause(1),
                Err(_) => return,
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.runs.load(Ordering::Relaxed) {
                return;
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Executed", "1")];
                if writer.write_all(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            self.observer.note(&self.id, &attempt, What::Arrived);
            self.running.fetch_add(1, Ordering::Relaxed);
            let goes_on = match self.work {
                Work::Answer { ms } => self.answer(&mut writer, &attempt, ms),
                Work::Stream { tokens_per_ms, tokens_per_event, gap_ms } => {
                    let speed = (tokens_per_ms, tokens_per_event);
                    self.stream(&mut writer, &request, &attempt, speed, gap_ms)
                }
            };
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !goes_on {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn seal(&self, attempt: &str) -> String {
        format!("{}.{attempt}", self.id)
    }

    fn answer(&self, writer: &mut TcpStream, attempt: &str, ms: u64) -> bool {
        self.observer.note(&self.id, attempt, What::Began);
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if !self.runs.load(Ordering::Relaxed) {
                self.observer.note(&self.id, attempt, What::Cut);
                return false;
            }
            pause(2);
        }
        let (seal, load) = (self.seal(attempt), self.load());
        let limit = self.limit.lock().unwrap().clone();
        let mut headers = vec![
            ("X-Attempt-Id", attempt),
            ("X-Server-Seal", seal.as_str()),
            ("X-Server-Load", load.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        if !limit.is_empty() {
            headers.push(("Server-Limit", limit.as_str()));
        }
        self.observer.note(&self.id, attempt, What::Finished);
        let body = format!("done {attempt}");
        writer.write_all(&answer("200 OK", &headers, body.as_bytes())).is_ok()
    }

    /// Ends the work on a request if its caller has left or the server exits.
    fn is_over(&self, writer: &TcpStream, attempt: &str) -> bool {
        if !self.runs.load(Ordering::Relaxed) {
            self.observer.note(&self.id, attempt, What::Cut);
            return true;
        }
        let _ = writer.set_nonblocking(true);
        let peeked = writer.peek(&mut [0]);
        let _ = writer.set_nonblocking(false);
        let has_left = match peeked {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        if has_left {
            let what = if self.runs.load(Ordering::Relaxed) { What::Dropped } else { What::Cut };
            self.observer.note(&self.id, attempt, what);
        }
        has_left
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        attempt: &str,
        (tokens_per_ms, tokens_per_event): (u64, u64),
        gap_ms: u64,
    ) -> bool {
        let mut counts = request.header("x-token-count").unwrap_or("0,0").split(',');
        let mut count = || counts.next().and_then(|count| count.trim().parse().ok()).unwrap_or(0);
        let (tokens, output): (u64, u64) = (count(), count());
        let events = output / tokens_per_event.max(1);
        self.observer.note(&self.id, attempt, What::Began);
        // All prompts at the server are read by turns, a chunk at a time.
        let mut left = tokens as f64 / tokens_per_ms.max(1) as f64;
        let mut over = false;
        self.reading.fetch_add(1, Ordering::Relaxed);
        while !over && left > 0.0 {
            let from = Instant::now();
            pause(5);
            let reading = self.reading.load(Ordering::Relaxed).max(1);
            left -= from.elapsed().as_secs_f64() * 1_000.0 / reading as f64;
            over = self.is_over(writer, attempt);
        }
        self.reading.fetch_sub(1, Ordering::Relaxed);
        if over {
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Server-Seal: {}\r\nX-Server-Load: {}\r\n\r\n",
            self.seal(attempt),
            self.load()
        );
        if writer.write_all(head.as_bytes()).is_err() {
            self.observer.note(&self.id, attempt, What::Dropped);
            return false;
        }
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        for event in last.map_or(0, |last| last + 1)..events {
            let text = format!("id: {event}\ndata: version {} piece {event}\n\n", self.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                self.observer.note(&self.id, attempt, What::Dropped);
                return false;
            }
            let end = Instant::now() + Duration::from_millis(gap_ms);
            while Instant::now() < end {
                pause(5);
                if self.is_over(writer, attempt) {
                    return false;
                }
            }
        }
        self.observer.note(&self.id, attempt, What::Finished);
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
