//! A stand-in of the platform's store and of its interface for usage reports, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message, parameter, read_request, write_response};

/// Time between two heartbeats of a server.
pub const BEAT: Duration = Duration::from_millis(1_200);

/// Topic of the servers.
pub const SERVERS: &str = "keyed.servers";

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Default)]
struct Topic {
    /// Keys and values by offset.
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    era: u64,
    down: bool,
    /// When each server wrote last.
    beats: BTreeMap<String, Instant>,
}

/// The number of records of each topic at some time.
#[derive(Clone)]
pub struct Copy(BTreeMap<String, usize>);

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    /// Whether calls to this address are refused with 503.
    refuses: Arc<AtomicBool>,
}

impl Store {
    /// Starts the store at a free port.
    pub fn start() -> std::io::Result<Store> {
        let (listener, address) = http::listen()?;
        let store = Store { state: Arc::default(), address, refuses: Arc::default() };
        let serving = store.clone();
        http::serve(listener, move |stream| serving.handle(stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Returns the same store at another address, at which it may turn its callers away.
    pub fn at_another_address(&self) -> std::io::Result<Store> {
        let (listener, address) = http::listen()?;
        let store = Store { state: Arc::clone(&self.state), address, refuses: Arc::default() };
        let serving = store.clone();
        http::serve(listener, move |stream| serving.handle(stream));
        Ok(store)
    }

    /// Sets whether calls to this address are refused.
    pub fn set_refusing(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Appends a record, as the operator and the servers do. Returns whether the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.down {
            return false;
        }
        if topic == SERVERS {
            state.beats.insert(key.to_owned(), Instant::now());
        }
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        records.push((key.to_owned(), value.to_vec()));
        self.state.1.notify_all();
        true
    }

    /// Appends a record `span` later; the store answers the call with nothing.
    pub fn put_late(&self, span: Duration, topic: &str, key: &str, value: &[u8]) {
        let (store, topic, key, value) =
            (self.clone(), topic.to_owned(), key.to_owned(), value.to_vec());
        thread::spawn(move || {
            thread::sleep(span);
            store.put(&topic, &key, &value);
        });
    }

    /// Removes the entry of a server that leaves without saying so before.
    pub fn remove_server(&self, key: &str) {
        self.put(SERVERS, key, b"");
        self.state.0.lock().unwrap().beats.remove(key);
    }

    /// Makes a copy of what the store has.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        let count = |(name, topic): (&String, &Topic)| (name.clone(), topic.records.len());
        Copy(state.topics.iter().map(count).collect())
    }

    /// Takes the store away: calls get 503.
    pub fn go_down(&self) {
        self.state.0.lock().unwrap().down = true;
        self.state.1.notify_all();
    }

    /// Brings the store back from an older copy, in the next era.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        for (name, topic) in &mut state.topics {
            topic.records.truncate(copy.0.get(name).copied().unwrap_or(0));
        }
        state.era += 1;
        state.down = false;
        // Silence counts from the return on.
        let listed: Vec<String> = newest(state.topics.get(SERVERS)).into_keys().collect();
        state.beats = listed.into_iter().map(|key| (key, Instant::now())).collect();
        self.state.1.notify_all();
    }

    /// Removes the entries of servers that were silent for three heartbeats.
    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        if state.down {
            return;
        }
        let silent = |at: &Instant| at.elapsed() > BEAT * 3;
        let gone: Vec<String> =
            state.beats.iter().filter(|(_, at)| silent(at)).map(|(key, _)| key.clone()).collect();
        for key in gone {
            state.beats.remove(&key);
            let records = &mut state.topics.entry(SERVERS.to_owned()).or_default().records;
            records.push((key, Vec::new()));
        }
        self.state.1.notify_all();
    }

    fn handle(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.respond(&request);
            let era = self.state.0.lock().unwrap().era.to_string();
            let headers = [("Store-Era", era.as_str()), ("Content-Type", "application/json")];
            if write_response(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (&'static str, Vec<u8>) {
        thread::sleep(Duration::from_millis(4));
        let (method, path, query) = request.target();
        if (method, path) == ("POST", "/usage") {
            return ("200 OK", b"{}".to_vec());
        }
        let topic = parameter(query, "topic").unwrap_or_default();
        if self.state.0.lock().unwrap().down || self.refuses.load(Ordering::Relaxed) {
            return ("503 Service Unavailable", b"{}".to_vec());
        }
        match (method, path) {
            ("POST", "/api/log-append") => self.append(&topic, query, &request.body),
            ("GET", "/api/log-read") => self.read(&topic, query),
            ("GET", "/api/log-newest") => self.list(&topic, query),
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn append(&self, topic: &str, query: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        if matches!(topic, "keyed.op" | SERVERS) {
            return ("403 Forbidden", b"{}".to_vec());
        }
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        let offset = records.len();
        if parameter(query, "as-of").is_some_and(|end| end != offset.to_string()) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (content, after) = after.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = after;
        }
        let end = records.len();
        self.state.1.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, query: &str) -> (&'static str, Vec<u8>) {
        let number = |name| parameter(query, name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0) as u64);
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.down {
                return ("503 Service Unavailable", b"{}".to_vec());
            }
            let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
            if from > records.len() || state.era != era {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return ("200 OK", body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn list(&self, topic: &str, query: &str) -> (&'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let after = parameter(query, "after").unwrap_or_default();
        let newest = newest(state.topics.get(topic));
        let later: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let item = |(key, (offset, value)): &(String, (usize, Vec<u8>))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = later.iter().take(PAGE_ITEMS).map(item).collect();
        let end = state.topics.get(topic).map_or(0, |topic| topic.records.len());
        let more = later.len() > PAGE_ITEMS;
        let items = items.join(",");
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has-more\":{more},\"end\":{end}}}").into_bytes(),
        )
    }
}

/// Returns the newest record of each key that has a value, with its offset.
fn newest(topic: Option<&Topic>) -> BTreeMap<String, (usize, Vec<u8>)> {
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in topic.iter().flat_map(|topic| topic.records.iter().enumerate()) {
        if value.is_empty() {
            newest.remove(key);
        } else {
            newest.insert(key.clone(), (offset, value.clone()));
        }
    }
    newest
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let part = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let known = digit <= group.len();
            let index = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if known { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}
