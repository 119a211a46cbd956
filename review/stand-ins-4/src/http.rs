//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A message head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three words of the first line.
    pub start: [String; 3],
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is as long as the head says, or ended where the head says so.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.start[0]
    }

    pub fn target(&self) -> &str {
        &self.start[1]
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    /// Returns a parameter of the query string.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(invalid("the connection ended within a line"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut words = start.splitn(3, ' ').map(str::to_owned);
    let start = [(); 3].map(|()| words.next().unwrap_or_default());
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or_else(|| invalid("the connection ended in a head"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk; `None` at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or_else(|| invalid("the connection ended in a body"))?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk"))?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    read_line(reader)?;
    Ok((size > 0).then_some(bytes))
}

/// Reads the body of a message. What came before an error is kept, and the message is not whole.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_answer: bool) {
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    let length: Option<usize> = message.header("content-length").and_then(|text| text.parse().ok());
    if is_chunked {
        loop {
            match read_chunk(reader) {
                Ok(Some(bytes)) => message.body.extend(bytes),
                Ok(None) => message.is_whole = true,
                Err(_) => return,
            }
            if message.is_whole {
                return;
            }
        }
    }
    match length {
        Some(length) => {
            let read = reader.by_ref().take(length as u64).read_to_end(&mut message.body);
            message.is_whole = read.is_ok() && message.body.len() == length;
        }
        None if is_answer => message.is_whole = reader.read_to_end(&mut message.body).is_ok(),
        None => message.is_whole = true,
    }
}

/// Reads a request; `None` if the connection ended before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut request, false);
    if request.is_whole { Ok(Some(request)) } else { Err(invalid("the request is cut")) }
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}
