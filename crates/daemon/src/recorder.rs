//! Attainment of service levels, by class and account.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use pimentorock_platform::operator_wire::{BurnRow, BurnWindow};

use crate::clock::wall_ms;

/// Fraction of requests that should meet each service level.
const ATTAINMENT_TARGET: f64 = 0.95;

/// Windows of the burn report, each with the width of its buckets.
///
/// Longer windows use wider buckets to bound the memory for the longest window.
const WINDOWS: [(Duration, Duration); 4] = [
    (Duration::from_secs(300), Duration::from_secs(10)),
    (Duration::from_secs(3600), Duration::from_secs(60)),
    (Duration::from_secs(6 * 3600), Duration::from_secs(600)),
    (Duration::from_secs(3 * 24 * 3600), Duration::from_secs(3600)),
];

/// Service levels that one request met.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceSample {
    /// `TEAM/CLASS`.
    pub(crate) class: Box<str>,
    /// `TEAM/ACCOUNT`.
    pub(crate) account: Box<str>,
    /// Whether the first token was sent in time.
    pub(crate) first_token_met: bool,
    /// Whether the time between tokens was met.
    pub(crate) between_tokens_met: bool,
    /// Whether the answer was complete before the deadline.
    pub(crate) deadline_met: bool,
    /// Whether the request was refused.
    pub(crate) refused: bool,
}

/// Number of requests and of met service levels.
#[derive(Clone, Copy, Debug, Default)]
struct SampleCount {
    requests: u64,
    first_token_met: u64,
    between_tokens_met: u64,
    deadline_met: u64,
    refused: u64,
}

/// Class and account of a row.
type RowKey = (Box<str>, Box<str>);

/// The buckets of one window, oldest first.
///
/// Each bucket begins at a wall-clock time in milliseconds.
#[derive(Debug, Default)]
struct BucketRing {
    buckets: VecDeque<(u64, HashMap<RowKey, SampleCount>)>,
}

/// Counts requests and met service levels over several windows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRecorder {
    rings: Arc<Mutex<[BucketRing; WINDOWS.len()]>>,
}

impl ServiceRecorder {
    /// Returns a recorder without requests.
    pub(crate) fn new() -> ServiceRecorder {
        ServiceRecorder::default()
    }

    /// Counts one request.
    pub(crate) fn note(&self, sample: &ServiceSample) {
        let now = wall_ms();
        let mut rings = self.rings.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (ring, (window, width)) in rings.iter_mut().zip(WINDOWS) {
            ring.add(now, window, width, sample);
        }
    }

    /// Returns the counts of each window, by class and account.
    pub(crate) fn windows(&self) -> Vec<BurnWindow> {
        let now = wall_ms();
        let rings = self.rings.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        rings
            .iter()
            .zip(WINDOWS)
            .map(|(ring, (window, _))| BurnWindow {
                window_s: window.as_secs(),
                rows: ring.rows(now.saturating_sub(window.as_millis() as u64)),
            })
            .collect()
    }
}

impl BucketRing {
    /// Adds a sample to the current bucket and drops buckets that have left the window.
    fn add(&mut self, now: u64, window: Duration, width: Duration, sample: &ServiceSample) {
        let width = width.as_millis() as u64;
        let start = now - now % width;
        if self.buckets.back().is_none_or(|(last, _)| *last < start) {
            self.buckets.push_back((start, HashMap::new()));
        }
        let oldest = now.saturating_sub(window.as_millis() as u64 + width);
        while self.buckets.front().is_some_and(|(first, _)| *first < oldest) {
            self.buckets.pop_front();
        }
        if let Some((_, rows)) = self.buckets.back_mut() {
            let key = (sample.class.clone(), sample.account.clone());
            rows.entry(key).or_default().add(sample);
        }
    }

    /// Returns the sums of all buckets that begin at `oldest` or later.
    fn rows(&self, oldest: u64) -> Vec<BurnRow> {
        let mut sums: HashMap<&RowKey, SampleCount> = HashMap::new();
        for (_, rows) in self.buckets.iter().filter(|(start, _)| *start >= oldest) {
            for (key, count) in rows {
                sums.entry(key).or_default().merge(count);
            }
        }
        let mut rows: Vec<BurnRow> = sums
            .into_iter()
            .map(|((class, account), count)| BurnRow {
                class: class.clone(),
                account: account.clone(),
                requests: count.requests,
                first_token_met: count.first_token_met,
                between_tokens_met: count.between_tokens_met,
                deadline_met: count.deadline_met,
                refused: count.refused,
                target: ATTAINMENT_TARGET,
            })
            .collect();
        rows.sort_by(|a, b| (&a.class, &a.account).cmp(&(&b.class, &b.account)));
        rows
    }
}

impl SampleCount {
    fn add(&mut self, sample: &ServiceSample) {
        self.requests += 1;
        self.first_token_met += u64::from(sample.first_token_met);
        self.between_tokens_met += u64::from(sample.between_tokens_met);
        self.deadline_met += u64::from(sample.deadline_met);
        self.refused += u64::from(sample.refused);
    }

    fn merge(&mut self, other: &SampleCount) {
        self.requests += other.requests;
        self.first_token_met += other.first_token_met;
        self.between_tokens_met += other.between_tokens_met;
        self.deadline_met += other.deadline_met;
        self.refused += other.refused;
    }
}
