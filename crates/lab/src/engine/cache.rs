//! The prefix cache of the engine stand-in and the events that report its changes.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::answer;

/// Bytes of prompt text per cached block.
const BLOCK_BYTES: usize = 64;

/// Number of blocks above which the cache evicts the least recently used one.
const CACHE_CAPACITY_BLOCKS: usize = 4096;

/// Number of recent events that are retained.
const MAX_RETAINED_EVENTS: usize = 8192;

/// One in this many events is never reported, which leaves a gap in the sequence numbers.
const EVENT_LOSS_INTERVAL: u64 = 16;

/// An event that reports a change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each event; a gap means that an event was lost.
    pub sequence: u64,
    /// Whether the block was stored (`true`) or evicted (`false`).
    pub stored: bool,
    /// Hash of the prompt up to the end of the block, as 16 hexadecimal digits.
    pub block: Box<str>,
}

/// Returns a hash for each complete block of a prompt.
///
/// Each hash covers the model's name and the prompt from its beginning to the end of the block.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let ends = (1..=bytes.len() / BLOCK_BYTES).map(|block| block * BLOCK_BYTES);
    ends.map(|end| answer::hash(&[model.as_bytes(), &bytes[..end]])).collect()
}

/// Cached blocks in the order of their last use, and the recent events.
#[derive(Debug)]
pub struct PrefixCache {
    lag: Duration,
    blocks: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Returns an empty cache whose events become visible after `lag`.
    pub fn new(lag: Duration) -> PrefixCache {
        PrefixCache { lag, blocks: VecDeque::new(), events: VecDeque::new(), next_sequence: 0 }
    }

    /// Stores the blocks of a prompt and returns the number of its tokens that were already cached.
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

    /// Returns the retained events from sequence number `from` on that are visible at `now`.
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
