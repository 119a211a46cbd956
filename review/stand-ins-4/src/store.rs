//! The platform: its store, a log with topics of keyed records, and its interface for usage reports.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Records of a topic as pairs of key and value; the index is the offset.
type TopicLog = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, TopicLog>,
}

/// The platform's store and its interface for usage reports, at one address.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address");
        let address = listener.local_addr().expect("a local address");
        let store = Store { address, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record, as operators and servers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Store-Era", "1")];
            if http::write_answer(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/api/log-read") => self.read(request),
            ("GET", "/api/log-newest") => self.newest(request),
            ("POST", "/api/log-append") => self.append(request),
            ("POST", "/usage") => ("200 OK", b"{}".to_vec()),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn read(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let topic = request.parameter("topic").unwrap_or_default();
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let length = state.topics.get(topic).map_or(0, TopicLog::len);
            let left = until.saturating_duration_since(Instant::now());
            if length > from || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let empty = TopicLog::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        if from > log.len() {
            return ("410 Gone", b"{\"first\":0}".to_vec());
        }
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in &log[from..] {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        ("200 OK", body)
    }

    fn newest(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let empty = TopicLog::new();
        let topic = request.parameter("topic").unwrap_or_default();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key.as_str());
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        let end = log.len();
        let body = format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}");
        ("200 OK", body.into_bytes())
    }

    fn append(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let log = state.topics.entry(topic).or_default();
        let end = log.len();
        if request.parameter("as-of").is_some_and(|expected| expected != end.to_string()) {
            return ("412 Precondition Failed", format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() > 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let (content, after) = after.split_at(length);
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            log.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = after;
        }
        let body = format!("{{\"offset\":{end},\"end\":{}}}", log.len());
        changed.notify_all();
        ("200 OK", body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let [a, b, c] = [0, 1, 2].map(|index| u32::from(group.get(index).copied().unwrap_or(0)));
        let bits = a << 16 | b << 8 | c;
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
