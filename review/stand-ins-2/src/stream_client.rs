//! A client of a stream, which takes the stream up again after a broken connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// How one try of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryEnd {
    /// The stream is complete.
    Complete,
    /// The connection broke, or was not established.
    Broken,
    /// Another status than 200.
    Refused(u16, f64),
    /// The client's deadline has passed.
    Late,
}

/// One stream of a client, over all its tries.
#[derive(Clone, Debug)]
pub struct StreamClient {
    pub name: String,
    path: String,
    deadline: Instant,
    tries: u32,
    /// Attempt that brought the first event.
    first: Option<String>,
    /// Number and text of each event.
    pub events: Vec<(u32, String)>,
}

impl StreamClient {
    pub fn new(name: &str, path: &str, patience: Duration) -> StreamClient {
        StreamClient {
            name: name.to_owned(),
            path: path.to_owned(),
            deadline: Instant::now() + patience,
            tries: 0,
            first: None,
            events: Vec::new(),
        }
    }

    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the software versions whose events the client has.
    pub fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> =
            self.events.iter().filter_map(|(_, text)| text.split(' ').nth(1)).collect();
        versions.dedup();
        versions
    }

    /// Asks the entry at `front` for the stream, or for the rest of it.
    pub fn call(&mut self, front: SocketAddr) -> TryEnd {
        self.tries += 1;
        let attempt = format!("{}-{}", self.name, self.tries);
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: engine.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
             X-Token-Count: 100,200\r\nX-Prompt-Prefix: 5c1e:60,{:x}:40\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Token k1\r\nContent-Length: 2\r\n",
            self.path,
            self.name.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte)),
            self.time_left().as_millis()
        );
        if let Some((last, _)) = self.events.last() {
            head.push_str(&format!("Last-Event-Id: {last}\r\n"));
            head.push_str(&format!("Resumes: {}\r\n", self.first.as_deref().unwrap_or_default()));
        }
        head.push_str("\r\n{}");
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            return TryEnd::Broken;
        };
        if stream.write_all(head.as_bytes()).is_err() {
            return TryEnd::Broken;
        }
        self.read(&mut stream, &attempt)
    }

    fn read(&mut self, stream: &mut TcpStream, attempt: &str) -> TryEnd {
        let (mut raw, mut text) = (Vec::new(), String::new());
        let mut has_head = false;
        loop {
            let left = self.time_left();
            if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
                return TryEnd::Late;
            }
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(0) => return TryEnd::Broken,
                Ok(read) => raw.extend_from_slice(&chunk[..read]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    return TryEnd::Late;
                }
                Err(_) => return TryEnd::Broken,
            }
            if !has_head {
                let Some(end) = raw.windows(4).position(|window| window == b"\r\n\r\n") else {
                    continue;
                };
                let head = String::from_utf8_lossy(&raw[..end]).to_ascii_lowercase();
                raw.drain(..end + 4);
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                if status != 200 {
                    let after = head.lines().find_map(|line| line.strip_prefix("retry-after:"));
                    let after = after.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0);
                    return TryEnd::Refused(status, after);
                }
                has_head = true;
            }
            // Takes whole chunks; the last one ends the stream.
            while let Some(end) = raw.windows(2).position(|window| window == b"\r\n") {
                let size = String::from_utf8_lossy(&raw[..end]).into_owned();
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return TryEnd::Broken;
                };
                if raw.len() < end + 2 + size + 2 {
                    break;
                }
                raw.drain(..end + 2);
                text.push_str(&String::from_utf8_lossy(&raw.drain(..size).collect::<Vec<u8>>()));
                raw.drain(..2);
                self.take_events(&mut text, attempt);
                if size == 0 {
                    return TryEnd::Complete;
                }
            }
        }
    }

    /// Takes whole events from the text.
    fn take_events(&mut self, text: &mut String, attempt: &str) {
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            let data = field("data: ").unwrap_or_default().to_owned();
            self.first.get_or_insert_with(|| attempt.to_owned());
            self.events.push((id, data));
        }
    }
}
