//! A client with a kept connection.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
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

pub struct Client {
    entry: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
    /// Time for which the client waits for bytes.
    patience: Duration,
}

impl Client {
    pub fn new(entry: SocketAddr, patience: Duration) -> Client {
        Client { entry, connection: None, patience }
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
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.entry, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            // The answer of the machine itself may come a little after the deadline.
            stream.set_read_timeout(Some(self.patience + Duration::from_secs(1)))?;
            let reader = BufReader::new(stream.try_clone()?);
            self.connection = Some((stream, reader));
        }
        let (stream, reader) = self.connection.as_mut().expect("a connection");
        stream.write_all(head)?;
        stream.write_all(body)?;
        let answer = http::read_head(reader)?;
        let closed = || std::io::Error::other("closed without an answer");
        let mut answer = answer.ok_or_else(closed)?;
        http::read_body(reader, &mut answer, true);
        Ok(answer)
    }
}
