//! A client with a kept connection.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// Returns a new identifier of an attempt.
pub fn new_attempt() -> String {
    format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// How an attempt ended.
pub enum Outcome {
    /// An answer; it is whole if its end was marked.
    Answered(Message),
    /// The connection failed, or the client stopped waiting.
    Failed(String),
}

/// Round trip by which a connection to a machine is made: 3 ms each way on the sheet.
const CONNECT_TIME: Duration = Duration::from_millis(6);

/// Closes a connection at a time, unless the answer has come before.
struct Leaver(Arc<AtomicBool>);

impl Leaver {
    fn start(stream: &TcpStream, left: Duration) -> std::io::Result<Leaver> {
        let (stream, is_answered) = (stream.try_clone()?, Arc::<AtomicBool>::default());
        let answered = Arc::clone(&is_answered);
        thread::spawn(move || {
            thread::sleep(left);
            if !answered.load(Ordering::Relaxed) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Ok(Leaver(is_answered))
    }
}

impl Drop for Leaver {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

pub struct Client {
    entry: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
    /// Time for which the client waits for bytes.
    patience: Duration,
    /// Time for which it waits beyond the deadline that it states.
    margin: Duration,
}

impl Client {
    pub fn new(entry: SocketAddr, patience: Duration) -> Client {
        // The answer of the machine itself may come a little after the deadline.
        let margin = Duration::from_secs(1);
        Client { entry, connection: None, patience, margin }
    }

    /// Lets the client leave at its deadline, counted from the moment at which it begins to connect.
    pub fn leaves_at_deadline(self) -> Client {
        Client { margin: Duration::ZERO, ..self }
    }

    /// Sends a request and reads its answer; `head` is its first line and its own headers.
    pub fn send(&mut self, head: &str, attempt: &str, body: &[u8]) -> Outcome {
        let millis = self.patience.as_millis();
        let text = format!(
            "{head}Host: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {millis}\r\n\
             Authorization: Token key-1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        match self.exchange(text.as_bytes(), body) {
            Ok(answer) => {
                let closes = answer.header("connection").is_some_and(|value| value == "close");
                if closes || !answer.is_whole {
                    self.connection = None;
                }
                Outcome::Answered(answer)
            }
            Err(error) => {
                self.connection = None;
                Outcome::Failed(error.to_string())
            }
        }
    }

    fn exchange(&mut self, head: &[u8], body: &[u8]) -> std::io::Result<Message> {
        let began = Instant::now();
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.entry, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            if self.margin.is_zero() {
                thread::sleep(CONNECT_TIME);
            }
            let reader = BufReader::new(stream.try_clone()?);
            self.connection = Some((stream, reader));
        }
        let (stream, reader) = self.connection.as_mut().expect("a connection");
        stream.write_all(head)?;
        stream.write_all(body)?;
        let left = (self.patience + self.margin).saturating_sub(began.elapsed());
        stream.set_read_timeout(Some(left + Duration::from_millis(20)))?;
        let _leaver = self.margin.is_zero().then(|| Leaver::start(stream, left)).transpose()?;
        let answer = http::read_head(reader)?;
        let closed = || std::io::Error::other("closed without an answer");
        let mut answer = answer.ok_or_else(closed)?;
        http::read_body(reader, &mut answer, true);
        Ok(answer)
    }
}
