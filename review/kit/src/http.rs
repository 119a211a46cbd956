//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Headers with names in lower case.
pub type Headers = Vec<(String, String)>;

/// Returns the first value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// A request that a stand-in has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn ended(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// Reads the first line and the headers; `None` if the connection ended before the first byte.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended("the head broke off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk; an empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ended("the body broke off before a chunk"));
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| ended("no chunk"))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

/// Reads a request; `None` if the connection was closed.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| ended("no length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunks,
    Connection,
}

/// An answer whose head has arrived.
pub struct Reply {
    pub status: u16,
    pub headers: Headers,
    framing: Framing,
}

/// A client's connection.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second, as clients do.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Sets how long one read may wait.
    pub fn set_patience(&self, patience: Duration) {
        let _ = self.stream.set_read_timeout(Some(patience));
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        if method != "GET" || !body.is_empty() {
            bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
        }
        bytes.extend(b"\r\n");
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Reads the head of the answer.
    pub fn reply(&mut self) -> io::Result<Reply> {
        let (first, headers) = read_head(&mut self.reader)?.ok_or_else(|| ended("no answer"))?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| ended("no status"))?;
        let framing = if header(&headers, "transfer-encoding").is_some() {
            Framing::Chunks
        } else {
            let length = header(&headers, "content-length").and_then(|length| length.parse().ok());
            length.map_or(Framing::Connection, Framing::Length)
        };
        Ok(Reply { status, headers, framing })
    }

    /// Reads the next part of the body; `None` at its end.
    pub fn part(&mut self, reply: &mut Reply) -> io::Result<Option<Vec<u8>>> {
        match reply.framing {
            Framing::Chunks => {
                let chunk = read_chunk(&mut self.reader)?;
                Ok((!chunk.is_empty()).then_some(chunk))
            }
            Framing::Length(0) => Ok(None),
            Framing::Length(left) => {
                let mut data = vec![0; left.min(64 << 10)];
                let read = self.reader.read(&mut data)?;
                if read == 0 {
                    return Err(ended("the body broke off"));
                }
                data.truncate(read);
                reply.framing = Framing::Length(left - read);
                Ok(Some(data))
            }
            Framing::Connection => {
                let mut data = vec![0; 64 << 10];
                let read = self.reader.read(&mut data)?;
                data.truncate(read);
                Ok((read > 0).then_some(data))
            }
        }
    }

    /// Reads the whole body.
    pub fn body(&mut self, reply: &mut Reply) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.part(reply)? {
            body.extend(part);
        }
        Ok(body)
    }
}
