//! A server of streams, which states the version of its software in each event.
//!
//! A stream whose path holds `/unframed/` has neither a length nor chunks and ends with its connection.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::wall_ms,
    http::{self, answer},
    process::free_port,
    store::Store,
};

/// A server; clones are the same server.
#[derive(Clone)]
pub struct StreamServer {
    pub id: String,
    pub version: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    events: u32,
    pause: Duration,
    runs: Arc<Mutex<Vec<String>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Whether the server has crashed.
    has_crashed: Arc<AtomicBool>,
}

impl StreamServer {
    /// Starts a server whose streams have so many events with this pause between them.
    pub fn start(
        id: &str,
        version: &'static str,
        host: Ipv4Addr,
        events: u32,
        pause: Duration,
    ) -> StreamServer {
        let address = SocketAddr::from((host, free_port(host)));
        let listener = TcpListener::bind(address).expect("the address is free");
        let (id, born) = (id.to_owned(), wall_ms());
        let server = StreamServer {
            id,
            version,
            address,
            born,
            events,
            pause,
            runs: Arc::default(),
            arrivals: Arc::default(),
            has_crashed: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed.load(Ordering::Relaxed) {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Writes the server's entry to the store.
    pub fn list(&self, store: &Store, state: &str, beat: u64) {
        let text = format!(
            "{{\"service\":\"engine\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{beat},\"born\":{}}}",
            self.address, self.version, self.born
        );
        store.put("keyed.servers", &self.id, &text);
    }

    /// Crashes: all connections end at the next event, and new ones are closed.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the attempts that ran here, with the event after which each began.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns when requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(request) = http::read_request(&mut stream, &mut buffer) {
            if request.path() == "/api/report" {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":1,\"waiting\":0,\"running\":0,\"kv-used\":0,\
                     \"kv-total\":500000,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                let sent =
                    answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes());
                if stream.write_all(&sent).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("x-attempt-id").to_owned();
            if request.header("x-expect-instance") != self.id {
                let headers = [("X-Attempt-Id", &*attempt), ("X-Not-Executed", "1")];
                if stream.write_all(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            self.arrivals.lock().unwrap().push(Instant::now());
            let after = request.header("last-event-id").parse().unwrap_or(0);
            self.runs.lock().unwrap().push(format!("{attempt} after event {after}"));
            let is_unframed = request.path().contains("/unframed/");
            if self.write_events(&mut stream, &attempt, after, is_unframed).is_err() || is_unframed
            {
                return;
            }
        }
    }

    fn write_events(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        after: u32,
        is_unframed: bool,
    ) -> std::io::Result<()> {
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for id in after + 1..=self.events {
            thread::sleep(self.pause);
            if self.has_crashed.load(Ordering::Relaxed) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {id}\ndata: version {} of {}\n\n", self.version, self.id);
            let chunk = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(chunk.as_bytes())?;
        }
        if is_unframed { Ok(()) } else { stream.write_all(b"0\r\n\r\n") }
    }
}
