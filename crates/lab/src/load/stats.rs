//! Outcome counts and latencies of each stream, and the table that shows them.

use std::{fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{CallOutcome, CallReport, StreamSpec};

/// Significant decimal digits of the latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// Outcome counts and latency histograms of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    name: Box<str>,
    target: Duration,
    counts: [u64; 4],
    attained: u64,
    tokens: u64,
    first_us: Histogram<u64>,
    whole_us: Histogram<u64>,
}

/// Results of one stream, a row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRow {
    /// Name of the stream.
    pub name: Box<str>,
    /// Number of requests that were sent.
    pub sent: u64,
    /// Number of answers that were the expected ones, byte for byte.
    pub exact: u64,
    /// Number of answers that differed from the expected ones.
    pub wrong: u64,
    /// Number of requests that were refused with an error that states that they did not run.
    pub refused: u64,
    /// Number of requests that failed and may have run.
    pub failed: u64,
    /// Share of all requests with an exact answer that began within the target, from 0 to 1.
    pub attainment: f64,
    /// Output tokens of exact answers per second.
    pub tokens_per_second: f64,
    /// Median time to the first part of an exact answer, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the time to the first part of an exact answer, in milliseconds.
    pub first_p99_ms: f64,
    /// Median time to the end of an exact answer, in milliseconds.
    pub whole_p50_ms: f64,
    /// 99th percentile of the time to the end of an exact answer, in milliseconds.
    pub whole_p99_ms: f64,
}

impl StreamStats {
    /// Returns the statistics of a stream without requests.
    pub fn new(stream: &StreamSpec) -> StreamStats {
        let histogram = || {
            Histogram::new(LATENCY_DIGITS)
                .expect("a precision of three significant digits is valid")
        };
        StreamStats {
            name: stream.name.clone(),
            target: Duration::from_millis(stream.target_ms),
            counts: [0; 4],
            attained: 0,
            tokens: 0,
            first_us: histogram(),
            whole_us: histogram(),
        }
    }

    /// Counts the outcome of a request and, if its answer is exact, its tokens and latencies.
    pub fn add(&mut self, report: &CallReport) {
        self.counts[report.outcome as usize] += 1;
        if report.outcome != CallOutcome::Exact {
            return;
        }
        self.tokens += u64::from(report.tokens);
        self.attained += u64::from(report.time_to_first_byte <= self.target);
        self.first_us.saturating_record(report.time_to_first_byte.as_micros() as u64);
        self.whole_us.saturating_record(report.total_time.as_micros() as u64);
    }

    /// Returns the results of the stream for a load that lasted `elapsed`.
    pub fn row(&self, elapsed: Duration) -> LoadRow {
        let [exact, wrong, refused, failed] = self.counts;
        let sent: u64 = self.counts.iter().sum();
        let millis =
            |histogram: &Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / 1000.0;
        LoadRow {
            name: self.name.clone(),
            sent,
            exact,
            wrong,
            refused,
            failed,
            attainment: self.attained as f64 / sent.max(1) as f64,
            tokens_per_second: self.tokens as f64 / elapsed.as_secs_f64().max(f64::MIN_POSITIVE),
            first_p50_ms: millis(&self.first_us, 0.5),
            first_p99_ms: millis(&self.first_us, 0.99),
            whole_p50_ms: millis(&self.whole_us, 0.5),
            whole_p99_ms: millis(&self.whole_us, 0.99),
        }
    }
}

/// Returns the rows as a table with aligned columns.
pub fn table(rows: &[LoadRow]) -> String {
    let mut text = format!(
        "{:<16} {:>7} {:>7} {:>6} {:>8} {:>7} {:>9} {:>9} {:>17} {:>19}\n",
        "stream",
        "sent",
        "exact",
        "wrong",
        "refused",
        "failed",
        "attained",
        "tokens/s",
        "first ms p50/p99",
        "whole ms p50/p99",
    );
    for row in rows {
        let first = format!("{:.1}/{:.1}", row.first_p50_ms, row.first_p99_ms);
        let whole = format!("{:.1}/{:.1}", row.whole_p50_ms, row.whole_p99_ms);
        // Writing into a string cannot fail.
        let _ = writeln!(
            text,
            "{:<16} {:>7} {:>7} {:>6} {:>8} {:>7} {:>8.2}% {:>9.1} {:>17} {:>19}",
            row.name,
            row.sent,
            row.exact,
            row.wrong,
            row.refused,
            row.failed,
            row.attainment * 100.0,
            row.tokens_per_second,
            first,
            whole,
        );
    }
    text
}
