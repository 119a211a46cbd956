//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Headers with names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By its length or its last chunk.
    Complete,
    /// By the end of a connection whose head states neither a length nor chunks.
    Closed,
    /// The connection ended or was reset before that.
    Broken,
    /// Nothing came any more until the client stopped waiting.
    TimedOut,
}

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct Response {
    /// 0 if no head came.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub ending: Ending,
}

/// Reads bytes until a head is complete; returns its lines and what follows it.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(head.split("\r\n").map(str::to_owned).collect());
        }
        fill(stream, buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; 16 << 10];
    let read = stream.read(&mut chunk)?;
    if read == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&chunk[..read]);
    Ok(())
}

fn header_map(lines: &[String]) -> HashMap<String, String> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect()
}

fn is_chunked(headers: &HashMap<String, String>) -> bool {
    headers.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
}

/// Reads one request; fails at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Request> {
    let lines = read_head(stream, buffer)?;
    let mut first = lines[0].split(' ').map(str::to_owned);
    let (method, target) = (first.next().unwrap_or_default(), first.next().unwrap_or_default());
    let headers = header_map(&lines[1..]);
    let mut body = Vec::new();
    if is_chunked(&headers) {
        read_chunks(stream, buffer, &mut body)?;
    } else {
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while buffer.len() < length {
            fill(stream, buffer)?;
        }
        body = buffer.drain(..length).collect();
    }
    Ok(Request { method, target, headers, body })
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                break end;
            }
            fill(stream, buffer)?;
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        buffer.drain(..end + 2);
        while buffer.len() < size + 2 {
            fill(stream, buffer)?;
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends the bytes of a request on a new connection and reads the response, for `patience` at most.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Response {
    let nothing =
        |ending| Response { status: 0, headers: HashMap::new(), body: Vec::new(), ending };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return nothing(Ending::Broken);
    };
    if stream.write_all(request).is_err() {
        return nothing(Ending::Broken);
    }
    read_response(&mut stream, patience)
}

/// Reads one response on a connection that carries no other.
pub fn read_response(stream: &mut TcpStream, patience: Duration) -> Response {
    let deadline = Instant::now() + patience;
    let mut response =
        Response { status: 0, headers: HashMap::new(), body: Vec::new(), ending: Ending::Complete };
    if let Err(ending) = read_parts(stream, deadline, &mut response) {
        response.ending = ending;
    }
    response
}

fn read_parts(
    stream: &mut TcpStream,
    deadline: Instant,
    response: &mut Response,
) -> Result<(), Ending> {
    let mut buffer = Vec::new();
    let mut more = |buffer: &mut Vec<u8>| -> Result<bool, Ending> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Ending::TimedOut);
        }
        stream.set_read_timeout(Some(left)).map_err(|_| Ending::Broken)?;
        let mut chunk = [0; 16 << 10];
        match stream.read(&mut chunk) {
            Ok(read) => {
                buffer.extend_from_slice(&chunk[..read]);
                Ok(read > 0)
            }
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                Err(Ending::TimedOut)
            }
            Err(_) => Err(Ending::Broken),
        }
    };
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if !more(&mut buffer)? {
            return Err(Ending::Broken);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let lines: Vec<String> = head.split("\r\n").map(str::to_owned).collect();
    response.status = lines[0].split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    response.headers = header_map(&lines[1..]);
    if is_chunked(&response.headers) {
        loop {
            while let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| Ending::Broken)?;
                if buffer.len() < end + 2 + size + 2 {
                    break;
                }
                buffer.drain(..end + 2);
                response.body.extend(buffer.drain(..size));
                buffer.drain(..2);
                if size == 0 {
                    return Ok(());
                }
            }
            if !more(&mut buffer)? {
                return Err(Ending::Broken);
            }
        }
    }
    let length: Option<usize> =
        response.headers.get("content-length").and_then(|text| text.parse().ok());
    loop {
        if let Some(length) = length
            && buffer.len() >= length
        {
            response.body = buffer;
            return Ok(());
        }
        match more(&mut buffer) {
            Ok(true) => {}
            Ok(false) => {
                response.body = buffer;
                return Err(if length.is_none() { Ending::Closed } else { Ending::Broken });
            }
            Err(ending) => {
                response.body = buffer;
                return Err(ending);
            }
        }
    }
}

/// Returns a response with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
