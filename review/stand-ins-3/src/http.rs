//! The part of HTTP/1.1 that the stand-ins speak.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or a response: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the method, the path and the query of a request.
    pub fn target(&self) -> (&str, &str, &str) {
        let mut words = self.first.split(' ');
        let method = words.next().unwrap_or("");
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path, query)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.get(9..12).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Returns a parameter of a query, without percent-encoding.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(known, _)| *known == name)?.1.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < value.len() {
        let hex = value.get(index + 1..index + 3).filter(|_| value[index] == b'%');
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        decoded.push(byte.unwrap_or(value[index]));
        index += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8(decoded).ok()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            let begun = !message.first.is_empty();
            return if begun { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.first.is_empty() {
            message.first = line;
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else {
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Returns the beginning of a response, up to its last header.
pub fn head(status: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let fields = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("HTTP/1.1 {status}\r\n{}", fields.collect::<String>()).into_bytes()
}

/// Opens a listening socket at a free port of 127.0.0.1.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Handles each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Connects to `address` and sends the bytes of a request.
pub fn send(
    address: SocketAddr,
    request: &[u8],
    patience: Duration,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    Ok(BufReader::new(stream))
}
