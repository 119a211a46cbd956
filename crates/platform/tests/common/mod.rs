//! A fake log and host list with scripted faults.

#![allow(dead_code)] // Each test file uses only some of the items.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use pimentorock_platform::wire::{
    AppendAnswer, AppendRequest, HostEntry, HostList, LogEntry, ReadAnswer,
};
use poem::{
    EndpointExt, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    middleware::AddData,
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;
use tokio::sync::Notify;

/// Fault that the fake log injects into one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// The records are stored, and the answer states their offset.
    NoFault,
    /// The records are stored, but the answer is a 500.
    StoreThenFail,
    /// The records are not stored, and the answer is a 500.
    Fail,
    /// The records are not stored, and no answer is sent.
    Hang,
    /// No answer is sent, and the records are stored once `release` is called.
    AppendLater,
    /// The records are stored and then trimmed, and the answer is a 500.
    AppendAndTrim,
}

/// Content of the fake log and its scripted faults.
#[derive(Default)]
pub struct LogState {
    pub streams: HashMap<String, Vec<LogEntry>>,
    pub heads: HashMap<String, u64>,
    /// Faults of the next appends, in order; appends after the last one have no fault.
    pub append_faults: VecDeque<AppendFault>,
    /// Number of next reads that fail with a 500.
    pub failing_reads: u32,
    /// Number of reads since the last reset.
    pub reads: u32,
    /// Sizes of the stored batches, except those of [`AppendFault::AppendLater`].
    pub batches: Vec<usize>,
    /// Appends with a record that contains this text are rejected with a 400.
    pub refused_text: Option<&'static str>,
    /// End offset that reads report instead of the real one, as a log that lost records would.
    pub reported_end: Option<u64>,
    pub hosts: Vec<HostEntry>,
    /// Stream and line that are stored just before the next append.
    pub before_next_append: Option<(String, Box<str>)>,
}

#[derive(Clone)]
pub struct FakeLog {
    pub url: String,
    state: Arc<Mutex<LogState>>,
    release: Arc<Notify>,
    delayed_append_done: Arc<Notify>,
    was_read: Arc<Notify>,
}

impl FakeLog {
    /// Starts the fake log on a free port.
    pub async fn start() -> FakeLog {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let fake = FakeLog {
            url,
            state: Arc::default(),
            release: Arc::default(),
            delayed_append_done: Arc::default(),
            was_read: Arc::default(),
        };
        let app = Route::new()
            .at("/log/:stream/append", post(append))
            .at("/log/:stream/read", get(read))
            .at("/hosts", get(hosts))
            .with(AddData::new(fake.clone()));
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
        fake
    }

    pub fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap()
    }

    /// Stores the records of an [`AppendFault::AppendLater`] and waits until they are in the log.
    pub async fn release(&self) {
        self.release.notify_one();
        self.delayed_append_done.notified().await;
    }

    /// Waits for the next `count` reads.
    pub async fn wait_for_reads(&self, count: u32) {
        self.state().reads = 0;
        while self.state().reads < count {
            self.was_read.notified().await;
        }
    }

    /// Returns the identifiers of a stream's records in the order of offsets.
    pub fn ids(&self, stream: &str) -> Vec<String> {
        let state = self.state();
        let entries = state.streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let id = |entry: &LogEntry| {
            let value: serde_json::Value = serde_json::from_str(&entry.record).unwrap();
            value["id"].as_str().unwrap().to_owned()
        };
        entries.iter().map(id).collect()
    }

    /// Appends a line to a stream and returns its offset.
    pub fn push(&self, stream: &str, line: &str) -> u64 {
        store_records(&mut self.state(), stream, &[line.into()])
    }

    /// Appends a line to a stream just before the next append is handled.
    pub fn before_append(&self, stream: &str, line: &str) {
        self.state().before_next_append = Some((stream.to_owned(), line.into()));
    }

    /// Removes the records below offset `head`.
    pub fn trim(&self, stream: &str, head: u64) {
        trim(&mut self.state(), stream, head);
    }
}

fn store_records(state: &mut LogState, stream: &str, records: &[Box<str>]) -> u64 {
    let head = state.heads.get(stream).copied().unwrap_or(0);
    let entries = state.streams.entry(stream.to_owned()).or_default();
    let first = entries.last().map_or(head, |entry| entry.offset + 1);
    for (offset, record) in (first..).zip(records) {
        entries.push(LogEntry { offset, at_ms: 1000 + offset, record: record.clone() });
    }
    first
}

fn trim(state: &mut LogState, stream: &str, head: u64) {
    state.heads.insert(stream.to_owned(), head);
    state.streams.entry(stream.to_owned()).or_default().retain(|entry| entry.offset >= head);
}

#[handler]
async fn append(
    Path(stream): Path<String>,
    Data(fake): Data<&FakeLog>,
    Json(request): Json<AppendRequest>,
) -> Result<Json<AppendAnswer>, StatusCode> {
    let fault = {
        let mut state = fake.state();
        if let Some((stream, line)) = state.before_next_append.take() {
            store_records(&mut state, &stream, &[line]);
        }
        let refused_text = state.refused_text;
        if request.records.iter().any(|line| refused_text.is_some_and(|text| line.contains(text))) {
            return Err(StatusCode::BAD_REQUEST);
        }
        state.append_faults.pop_front().unwrap_or(AppendFault::NoFault)
    };
    let store_request = || {
        let mut state = fake.state();
        state.batches.push(request.records.len());
        store_records(&mut state, &stream, &request.records)
    };
    match fault {
        AppendFault::NoFault => Ok(Json(AppendAnswer { first: store_request() })),
        AppendFault::Fail => Err(StatusCode::INTERNAL_SERVER_ERROR),
        AppendFault::StoreThenFail => {
            store_request();
            Err(StatusCode::INTERNAL_SERVER_ERROR)
        }
        AppendFault::AppendAndTrim => {
            let end = store_request() + request.records.len() as u64;
            trim(&mut fake.state(), &stream, end);
            Err(StatusCode::INTERNAL_SERVER_ERROR)
        }
        AppendFault::Hang => std::future::pending().await,
        AppendFault::AppendLater => {
            // The server drops this handler once the caller disconnects, so a task stores the records.
            let (fake, stream) = (fake.clone(), stream.clone());
            tokio::spawn(async move {
                fake.release.notified().await;
                self::store_records(&mut fake.state(), &stream, &request.records);
                fake.delayed_append_done.notify_one();
            });
            std::future::pending().await
        }
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
}

#[handler]
async fn read(
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
    Data(fake): Data<&FakeLog>,
) -> Result<Json<ReadAnswer>, StatusCode> {
    let mut state = fake.state();
    state.reads += 1;
    fake.was_read.notify_one();
    if state.failing_reads > 0 {
        state.failing_reads -= 1;
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let head = state.heads.get(&stream).copied().unwrap_or(0);
    let entries = state.streams.get(&stream).map(Vec::as_slice).unwrap_or_default();
    let end = entries.last().map_or(head, |entry| entry.offset + 1);
    if let Some(end) = state.reported_end {
        return Ok(Json(ReadAnswer { head, end, entries: Vec::new() }));
    }
    let later = entries.iter().filter(|entry| entry.offset >= query.from);
    Ok(Json(ReadAnswer { head, end, entries: later.take(query.max).cloned().collect() }))
}

#[handler]
async fn hosts(Data(fake): Data<&FakeLog>) -> Json<HostList> {
    Json(HostList { hosts: fake.state().hosts.clone() })
}
