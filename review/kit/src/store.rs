//! A stand-in of the platform: its store, a log with keyed topics, and its interface for duties.
//!
//! It follows PROTOCOL.md, "The platform's metadata store": records with a length, conditional
//! appends, reads that wait, 410 for records that were deleted, and the newest record of each key.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Request, answer, read_request},
    pause,
};

/// Time for one answer.
const ANSWER_MS: u64 = 4;

type LogRecord = (String, Vec<u8>);

#[derive(Default)]
struct Topic {
    log: Vec<LogRecord>,
    /// When each record was appended.
    times: Vec<Instant>,
    /// Offset of the first record that was not deleted.
    first: usize,
    newest: BTreeMap<String, usize>,
}

impl Topic {
    fn append(&mut self, key: String, value: Vec<u8>) {
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key.clone(), self.log.len());
        }
        self.log.push((key, value));
        self.times.push(Instant::now());
    }

    /// Forgets all records that were appended later than `at`.
    fn go_back(&mut self, at: Instant) {
        let kept = self.times.partition_point(|time| *time <= at);
        self.log.truncate(kept);
        self.times.truncate(kept);
        self.first = self.first.min(kept);
        self.newest.clear();
        for (offset, (key, value)) in self.log.iter().enumerate() {
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.clone(), offset);
            }
        }
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Number of calls by path and topic.
    calls: BTreeMap<String, u64>,
    /// Number of times that the store came back from an older copy.
    era: u64,
    /// Whether the store is away: it answers 503 to all calls and does nothing.
    is_away: bool,
    /// Numbers of the addresses at which calls are turned away with 503.
    turned_away: BTreeSet<usize>,
    /// Number of addresses.
    addresses: usize,
    /// Calls for the duty's topic: time, number of the address, path and status.
    duty_calls: Vec<(Instant, usize, String, &'static str)>,
    /// Usage reports: time, holder, token and body.
    reports: Vec<(Instant, String, u64, String)>,
}

/// The platform.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// Number of the address; each machine may be given one of its own.
    number: usize,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts the platform at a free port.
    pub fn start() -> Store {
        Store::serve_at_free_port(Arc::default())
    }

    /// Returns the same platform at another address, at which it may turn calls away.
    pub fn at_another_address(&self) -> Store {
        Store::serve_at_free_port(Arc::clone(&self.state))
    }

    /// Returns the number of the address.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Sets whether calls at this address are turned away with 503.
    pub fn turn_away(&self, turns_away: bool) {
        let mut state = self.state.lock().unwrap();
        if turns_away {
            state.turned_away.insert(self.number);
        } else {
            state.turned_away.remove(&self.number);
        }
    }

    fn serve_at_free_port(state: Arc<Mutex<State>>) -> Store {
        let number = {
            let mut state = state.lock().unwrap();
            state.addresses += 1;
            state.addresses
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store { address, number, state };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes a record, as the operator and the servers do; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.into()).or_default().append(key.into(), value.into());
    }

    /// Deletes the records of a topic that the log holds now; the newest one of each key is retained.
    pub fn delete_records(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.log.len();
        }
    }

    /// Returns the newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let topic = state.topics.get(topic)?;
        let (_, value) = &topic.log[*topic.newest.get(key)?];
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Takes the store away for a drill.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Brings the store back from a copy that was made at `at`; the era rises by one.
    pub fn come_back(&self, at: Instant) {
        let mut state = self.state.lock().unwrap();
        state.topics.values_mut().for_each(|topic| topic.go_back(at));
        state.era += 1;
        state.is_away = false;
    }

    /// Returns how often each call was made.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Returns the calls for the duty's topic: time, number of the address, path and status.
    pub fn duty_calls(&self) -> Vec<(Instant, usize, String, &'static str)> {
        self.state.lock().unwrap().duty_calls.clone()
    }

    /// Returns the usage reports: time, holder, token and body.
    pub fn reports(&self) -> Vec<(Instant, String, u64, String)> {
        self.state.lock().unwrap().reports.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            pause(ANSWER_MS);
            let is_store = request.path() != "/usage";
            let is_refused = {
                let state = self.state.lock().unwrap();
                state.is_away || state.turned_away.contains(&self.number)
            };
            let (status, body) = match is_store && is_refused {
                true => ("503 Service Unavailable", Vec::new()),
                false => self.respond(&request),
            };
            if request.parameter("topic") == Some("keyed.usage-duty") {
                let call = (Instant::now(), self.number, request.path().to_owned(), status);
                self.state.lock().unwrap().duty_calls.push(call);
            }
            let era = self.state.lock().unwrap().era.to_string();
            let bytes = answer(status, &[("Store-Era", &era)], &body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let call = format!("{} {topic}", request.path());
        *self.state.lock().unwrap().calls.entry(call).or_default() += 1;
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/log-read") => self.read(request, &topic),
            ("GET", "/api/log-newest") => self.newest(&topic),
            ("POST", "/api/log-append") => self.append(request, &topic),
            ("POST", "/usage") => {
                let fence = request.header("x-fence-token").and_then(|fence| fence.parse().ok());
                let holder = request.header("x-duty-holder").unwrap_or_default().to_owned();
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let report = (Instant::now(), holder, fence.unwrap_or(0), body);
                self.state.lock().unwrap().reports.push(report);
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn read(&self, request: &Request, topic: &str) -> (&'static str, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0) as u64);
        loop {
            {
                let state = self.state.lock().unwrap();
                if state.is_away || state.turned_away.contains(&self.number) {
                    return ("503 Service Unavailable", Vec::new());
                }
                let empty = Topic::default();
                let topic = state.topics.get(topic).unwrap_or(&empty);
                if from < topic.first || from > topic.log.len() {
                    return ("410 Gone", format!("{{\"first\":{}}}", topic.first).into_bytes());
                }
                if from < topic.log.len() || Instant::now() >= end {
                    let mut body = Vec::new();
                    body.extend((topic.log.len() as u64).to_be_bytes());
                    body.extend((topic.first as u64).to_be_bytes());
                    for record in &topic.log[from..] {
                        body.extend(encoded(record));
                    }
                    return ("200 OK", body);
                }
            }
            pause(5);
        }
    }

    fn newest(&self, topic: &str) -> (&'static str, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let item = |(key, offset): (&String, &usize)| {
            let value = base64(&topic.log[*offset].1);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let items: Vec<String> = topic.newest.iter().map(item).collect();
        let end = topic.log.len();
        let body = format!("{{\"items\":[{}],\"has-more\":false,\"end\":{end}}}", items.join(","));
        ("200 OK", body.into_bytes())
    }

    fn append(&self, request: &Request, topic: &str) -> (&'static str, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.log.len();
        if request.parameter("as-of").is_some_and(|end| end != offset.to_string()) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let content = &rest[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            topic.append(String::from_utf8_lossy(key).into_owned(), value.to_vec());
            rest = &rest[4 + length..];
        }
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{}}}", topic.log.len()).into_bytes())
    }
}

fn encoded((key, value): &LogRecord) -> Vec<u8> {
    let mut bytes = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    bytes.push(key.len() as u8);
    bytes.extend(key.as_bytes());
    bytes.extend(value);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= group.len() { letter } else { '=' });
        }
    }
    text
}
