//! A stand-in of the platform: its log with keyed topics, and its interface for usage reports.

use std::{
    collections::{BTreeMap, HashMap},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    base64,
    http::{self, Request, answer},
};

/// Time after which the store answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Stands for all topics where one is named.
const ALL_TOPICS: &str = "*";

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct Logs {
    topics: HashMap<String, Vec<Record>>,
}

/// The store; clones share their records.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    logs: Arc<(Mutex<Logs>, Condvar)>,
    /// Topic whose partition is down; its calls are refused.
    away: Arc<Mutex<Option<String>>>,
    pub era: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store on a free port of 127.0.0.1.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store =
            Store { address, logs: Arc::default(), away: Arc::default(), era: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(request) = http::read_request(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            thread::sleep(ANSWER_TIME);
            let era = self.era.load(Ordering::Relaxed).to_string();
            if stream.write_all(&answer(status, &[("Store-Era", &era)], &body)).is_err() {
                return;
            }
        }
    }

    /// Appends a record as the operator, a server or an entry does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (logs, changed) = &*self.logs;
        let record = Record { key: key.into(), value: value.as_bytes().to_vec() };
        logs.lock().unwrap().topics.entry(topic.into()).or_default().push(record);
        changed.notify_all();
    }

    /// Takes the partition of a topic down, or brings all back.
    pub fn set_away(&self, topic: Option<&str>) {
        *self.away.lock().unwrap() = topic.map(str::to_owned);
    }

    /// Refuses the calls of all topics, or of none.
    pub fn set_all_away(&self, is_away: bool) {
        *self.away.lock().unwrap() = is_away.then(|| ALL_TOPICS.to_owned());
    }

    /// Returns the number of records of each topic.
    pub fn copy(&self) -> HashMap<String, usize> {
        let logs = self.logs.0.lock().unwrap();
        logs.topics.iter().map(|(topic, log)| (topic.clone(), log.len())).collect()
    }

    /// Brings the store back from a copy: what was written since is gone, and the era rises by one.
    pub fn restore(&self, copy: &HashMap<String, usize>) {
        let mut logs = self.logs.0.lock().unwrap();
        for (topic, log) in &mut logs.topics {
            log.truncate(copy.get(topic).copied().unwrap_or(0));
        }
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    fn respond(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let away = self.away.lock().unwrap().clone();
        if away.is_some_and(|away| away == topic || (away == ALL_TOPICS && !topic.is_empty())) {
            return ("503 Service Unavailable", Vec::new());
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/log-read") => self.read(&topic, request),
            ("GET", "/api/log-newest") => self.newest(&topic),
            ("POST", "/api/log-append") => self.append(&topic, request),
            ("POST", "/usage") => ("200 OK", b"{}".to_vec()),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn read(&self, topic: &str, request: &Request) -> (&'static str, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
        let (logs, changed) = &*self.logs;
        let end_of = |logs: &Logs| logs.topics.get(topic).map_or(0, Vec::len);
        let guard = logs.lock().unwrap();
        let (guard, _) =
            changed.wait_timeout_while(guard, wait, |logs| end_of(logs) <= from).unwrap();
        let log = guard.topics.get(topic).map_or(&[][..], Vec::as_slice);
        if from > log.len() {
            return ("410 Gone", b"{\"first\":0}".to_vec());
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(log.len() as u64).to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in &log[from..] {
            let length = 1 + record.key.len() + record.value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend_from_slice(record.key.as_bytes());
            body.extend_from_slice(&record.value);
            if body.len() > 1 << 20 {
                break;
            }
        }
        ("200 OK", body)
    }

    fn newest(&self, topic: &str) -> (&'static str, Vec<u8>) {
        let logs = self.logs.0.lock().unwrap();
        let log = logs.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        let items: Vec<String> = newest
            .values()
            .filter(|(_, record)| !record.value.is_empty())
            .map(|(offset, record)| {
                format!(
                    "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    record.key,
                    base64::encode(&record.value)
                )
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        ("200 OK", format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}").into_bytes())
    }

    fn append(&self, topic: &str, request: &Request) -> (&'static str, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return ("403 Forbidden", Vec::new());
        }
        let (logs, changed) = &*self.logs;
        let mut logs = logs.lock().unwrap();
        let log = logs.topics.entry(topic.into()).or_default();
        let end = log.len();
        if request.parameter("as-of").is_some_and(|as_of| as_of != end.to_string()) {
            return ("412 Precondition Failed", format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let content = &rest[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            log.push(Record { key, value: value.to_vec() });
            rest = &rest[4 + length..];
        }
        changed.notify_all();
        ("200 OK", format!("{{\"offset\":{end},\"end\":{}}}", log.len()).into_bytes())
    }
}
