//! An append-only stream of the platform's log.

use std::collections::VecDeque;

use pimentorock_platform::wire::{LogEntry, ReadAnswer};

/// A stream of records with consecutive offsets that retains its newest records.
#[derive(Debug, Default)]
pub struct LogStream {
    end: u64,
    entries: VecDeque<LogEntry>,
}

impl LogStream {
    /// Returns an empty stream.
    pub fn new() -> LogStream {
        LogStream::default()
    }

    /// Appends `records`, trims the stream to `retain` records, and returns the offset of the first
    /// appended record.
    pub fn append(&mut self, records: Vec<Box<str>>, at_ms: u64, retain: usize) -> u64 {
        let first = self.end;
        for record in records {
            self.entries.push_back(LogEntry { offset: self.end, at_ms, record });
            self.end += 1;
        }
        self.trim(retain);
        first
    }

    /// Drops the oldest records until at most `retain` are left.
    pub fn trim(&mut self, retain: usize) {
        while self.entries.len() > retain {
            self.entries.pop_front();
        }
    }

    /// Returns up to `max` records, beginning at offset `from` or at the oldest retained record.
    pub fn read(&self, from: u64, max: usize) -> ReadAnswer {
        let head = self.end - self.entries.len() as u64;
        let skip = from.saturating_sub(head).min(self.entries.len() as u64) as usize;
        let entries = self.entries.iter().skip(skip).take(max).cloned().collect();
        ReadAnswer { head, end: self.end, entries }
    }
}
