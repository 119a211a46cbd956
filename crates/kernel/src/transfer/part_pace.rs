//! How much of a record is asked for at a time.

use std::time::Duration;

/// Time that one part takes on the link, and for which other messages on the link wait behind it at most.
const PART_TIME: Duration = Duration::from_millis(100);

/// Bounds of the size of a part in bytes, and the size of the first one.
const MIN_PART_BYTES: usize = 4 << 10;
const MAX_PART_BYTES: usize = 64 << 10;
const FIRST_PART_BYTES: usize = 16 << 10;

/// Fits the parts of a transfer to the rate at which they arrive.
#[derive(Clone, Copy, Debug)]
pub struct PartPace {
    bytes: usize,
}

impl Default for PartPace {
    fn default() -> PartPace {
        PartPace { bytes: FIRST_PART_BYTES }
    }
}

impl PartPace {
    /// Returns the pace of a transfer of which nothing has arrived.
    pub fn new() -> PartPace {
        PartPace::default()
    }

    /// Returns the number of bytes to ask for next.
    pub fn part_bytes(&self) -> usize {
        self.bytes
    }

    /// Notes a part of `bytes` that arrived after `time`.
    pub fn note_part(&mut self, bytes: usize, time: Duration) {
        let rate = bytes as f64 / time.as_secs_f64().max(1e-6);
        let fitting = (rate * PART_TIME.as_secs_f64()) as usize;
        let most = self.bytes.saturating_mul(2).min(MAX_PART_BYTES);
        self.bytes = fitting.clamp(MIN_PART_BYTES, most);
    }

    /// Notes a part that did not arrive.
    pub fn note_failure(&mut self) {
        self.bytes = (self.bytes / 2).max(MIN_PART_BYTES);
    }
}
