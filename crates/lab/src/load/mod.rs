//! Open-loop load over HTTP.
//!
//! Each stream sends requests at its own rate and does not wait for earlier answers, so that a
//! slow system does not reduce the load. Every answer is checked byte for byte.

mod call;
mod spec;
mod stats;

use std::{io, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::jsonc;

pub use self::{
    call::{CallOutcome, CallReport},
    spec::{LoadSpec, StreamSpec},
    stats::{LoadRow, StreamStats, table},
};

/// Command-line options of the load generator.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadOptions {
    /// URL of an entry; may be repeated, the entries are used in turn.
    #[bpaf(argument("URL"))]
    pub entry: Vec<String>,
    /// Caller key of the streams whose description has none.
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Time during which requests are sent, in seconds; overrides the file's value.
    #[bpaf(argument("N"))]
    pub seconds: Option<f64>,
    /// Seed of the sending times and answer lengths; overrides the file's value.
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Print JSON instead of a table.
    pub json: bool,
    /// File that describes the load, as JSON with comments.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// A request that is scheduled to be sent.
#[derive(Clone, Copy, Debug)]
struct PlannedCall {
    at: Duration,
    stream: usize,
    number: u64,
    tokens: u32,
}

/// Sends the load and prints the outcomes and latencies of each stream.
///
/// # Errors
///
/// Fails if the file is invalid, no entry is given, or an answer differed from the expected one.
pub async fn run(options: LoadOptions) -> io::Result<()> {
    let mut spec: LoadSpec = jsonc::read_file(&options.file)?;
    spec.entries.extend(options.entry.iter().map(|url| url.as_str().into()));
    spec.seconds = options.seconds.unwrap_or(spec.seconds);
    spec.seed = options.seed.unwrap_or(spec.seed);
    for stream in &mut spec.streams {
        stream.key = stream.key.take().or(options.key.as_deref().map(Box::from));
    }
    if spec.entries.is_empty() {
        return Err(io::Error::other("no entry is named"));
    }
    let rows = send(&spec).await;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", table(&rows));
    }
    match rows.iter().map(|row| row.wrong).sum::<u64>() {
        0 => Ok(()),
        wrong => Err(io::Error::other(format!("{wrong} answers were wrong"))),
    }
}

/// Sends the load and returns the statistics of each stream.
pub async fn send(spec: &LoadSpec) -> Vec<LoadRow> {
    let http = reqwest::Client::new();
    let start = Instant::now();
    let mut calls: JoinSet<(usize, CallReport)> = JoinSet::new();
    let mut stats: Vec<StreamStats> = spec.streams.iter().map(StreamStats::new).collect();
    for (index, planned) in plan(spec).into_iter().enumerate() {
        let due = start + planned.at;
        sleep_until(due).await;
        while let Some(Ok((stream, report))) = calls.try_join_next() {
            stats[stream].add(&report);
        }
        let stream = spec.streams[planned.stream].clone();
        let entry = spec.entries[index % spec.entries.len()].clone();
        let prompt = stream.prompt(spec.seed, planned.number, planned.tokens);
        let http = http.clone();
        calls.spawn(async move {
            (planned.stream, call::send(http, &entry, &stream, &prompt, due).await)
        });
    }
    while let Some(Ok((stream, report))) = calls.join_next().await {
        stats[stream].add(&report);
    }
    let elapsed = start.elapsed();
    stats.iter().map(|stats| stats.row(elapsed)).collect()
}

/// Draws the requests of all streams and returns them in the order of their sending times.
///
/// The times between the requests of a stream are exponentially distributed.
fn plan(spec: &LoadSpec) -> Vec<PlannedCall> {
    let mut planned = Vec::new();
    for (index, stream) in spec.streams.iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(spec.seed);
        random.set_stream(index as u64);
        let mut at = 0.0;
        for number in 0..spec.max_requests {
            at += -(1.0 - random.random::<f64>()).ln() / stream.per_second;
            if at >= spec.seconds {
                break;
            }
            let spread = stream.tokens / 2;
            let tokens = random.random_range(stream.tokens - spread..=stream.tokens + spread);
            planned.push(PlannedCall {
                at: Duration::from_secs_f64(at),
                stream: index,
                number,
                tokens: tokens.max(1),
            });
        }
    }
    planned.sort_by_key(|call| call.at);
    planned.truncate(spec.max_requests as usize);
    planned
}
