//! The prefix cache of the engine stand-in and its events.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::answer;

/// Bytes of prompt text in one cached block.
const BLOCK_BYTES: usize = 64;

/// Blocks that the cache keeps.
const CACHE_CAPACITY_BLOCKS: usize = 4096;

/// Events that can still be asked for.
const MAX_RETAINED_EVENTS: usize = 8192;

/// One in this many events is never shown.
const EVENT_LOSS_INTERVAL: u64 = 16;

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap means that an event was lost.
    pub sequence: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
    /// Hash of the prompt up to the end of the block, in hexadecimal digits.
    pub block: Box<str>,
}

/// Returns the hash of each whole block of a prompt, each over the prompt up to its end.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let ends = (1..=bytes.len() / BLOCK_BYTES).map(|block| block * BLOCK_BYTES);
    ends.map(|end| answer::hash(&[model.as_bytes(), &bytes[..end]])).collect()
}

/// Blocks in the order of their last use, and the events of their changes.
#[derive(Debug)]
pub struct PrefixCache {
    lag: Duration,
    blocks: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Returns an empty cache whose events are late by `lag`.
    pub fn new(lag: Duration) -> PrefixCache {
        PrefixCache { lag, blocks: VecDeque::new(), events: VecDeque::new(), next_sequence: 0 }
    }

    /// Stores the blocks of a prompt and returns how many prompt tokens were there already.
    pub fn store_prompt(&mut self, model: &str, prompt: &str) -> u32 {
        let hashes = block_hashes(model, prompt);
        let cached = hashes.iter().take_while(|hash| self.blocks.contains(hash)).count();
        for (index, &hash) in hashes.iter().enumerate() {
            if index < cached {
                self.blocks.retain(|&block| block != hash);
            } else {
                self.record_event(hash, true);
            }
            self.blocks.push_back(hash);
        }
        while self.blocks.len() > CACHE_CAPACITY_BLOCKS {
            if let Some(hash) = self.blocks.pop_front() {
                self.record_event(hash, false);
            }
        }
        (cached * BLOCK_BYTES / answer::BYTES_PER_TOKEN) as u32
    }

    /// Returns the events from sequence number `from` on that are old enough to be seen.
    pub fn events(&self, from: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, event)| {
            event.sequence >= from
                && now.duration_since(*at) >= self.lag
                && event.sequence % EVENT_LOSS_INTERVAL != EVENT_LOSS_INTERVAL - 1
        });
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn record_event(&mut self, hash: u64, stored: bool) {
        let block = format!("{hash:016x}").into();
        let event = CacheEvent { sequence: self.next_sequence, stored, block };
        self.next_sequence += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
