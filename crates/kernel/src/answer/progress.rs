//! Tells a message that arrives slowly from bytes that never become one.

use std::{fmt, time::Duration};

use crate::time::TimePoint;

/// Pace below which bytes are a trickle, in bytes a second. A message of this size is smaller than
/// one packet, so that an endpoint which has it would send it at once.
const TRICKLE_RATE: f64 = 100.0;

/// Minimum number of pieces of a trickle. Fewer may be a message that its sender wrote in parts.
const TRICKLE_PIECES: u32 = 3;

/// Longest part of a pause between two pieces that counts towards the duration of a trickle.
const MAX_COUNTED_PAUSE: Duration = Duration::from_secs(1);

/// Pause from which on a peer is silent. Silence is no trickle: an endpoint may compute between two
/// parts of its answer, and send a comment now and then so that the connection is kept.
const MIN_SILENCE: Duration = Duration::from_secs(5);

/// Number of frames from which on their mean size counts. A sender that writes a short message byte by
/// byte sends fewer.
const MANY_FRAMES: u64 = 4_096;

/// Mean size in bytes below which many frames are fragments. Each frame costs the receiver time.
const MIN_FRAME_BYTES: u64 = 16;

/// What may arrive before a message is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum size of a message in bytes.
    pub bytes: u64,
    /// Minimum duration of a trickle.
    pub patience: Duration,
}

/// Why bytes are not taken for the beginning of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// There are more bytes than a message may have.
    Oversized {
        /// Number of bytes since the last complete message.
        bytes: u64,
    },
    /// The bytes arrive too slowly to become a message.
    Trickle {
        /// Number of bytes since the last complete message.
        bytes: u64,
    },
    /// The bytes arrive in a great many frames of a few bytes.
    Fragments {
        /// Number of bytes since the last complete message.
        bytes: u64,
    },
}

impl AnswerFault {
    /// Returns the number of bytes since the last complete message.
    pub fn bytes(self) -> u64 {
        match self {
            AnswerFault::Oversized { bytes }
            | AnswerFault::Trickle { bytes }
            | AnswerFault::Fragments { bytes } => bytes,
        }
    }
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerFault::Oversized { bytes } => {
                write!(f, "no end after {bytes} bytes, more than an answer may have")
            }
            AnswerFault::Trickle { bytes } => {
                write!(f, "no end after {bytes} bytes that arrived a few at a time")
            }
            AnswerFault::Fragments { bytes } => {
                write!(f, "no end after {bytes} bytes in frames of a few bytes")
            }
        }
    }
}

/// Follows the bytes that arrive of one message after the other.
#[derive(Clone, Copy, Debug)]
pub struct AnswerProgress {
    limits: AnswerLimits,
    bytes: u64,
    pieces: u32,
    frames: u64,
    /// Time of the last piece.
    last: TimePoint,
    /// Time for which pieces of this message have been arriving.
    arriving: Duration,
}

impl AnswerProgress {
    /// Returns the progress of a message of which nothing has arrived.
    pub fn new(limits: AnswerLimits) -> AnswerProgress {
        let (last, arriving) = (TimePoint::ZERO, Duration::ZERO);
        AnswerProgress { limits, bytes: 0, pieces: 0, frames: 0, last, arriving }
    }

    /// Notes that a message is complete and the next one begins.
    pub fn complete(&mut self) {
        *self = AnswerProgress::new(self.limits);
    }

    /// Notes a piece of `bytes` bytes that does not complete the message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes since the last complete message are not the beginning of another one.
    pub fn note(&mut self, now: TimePoint, bytes: usize) -> Result<(), AnswerFault> {
        let pause = now.since(self.last);
        if self.pieces > 0 && pause < MIN_SILENCE {
            self.arriving += pause.min(MAX_COUNTED_PAUSE);
        }
        self.bytes += bytes as u64;
        self.pieces += 1;
        self.last = now;
        if self.bytes > self.limits.bytes {
            return Err(AnswerFault::Oversized { bytes: self.bytes });
        }
        let is_slow = (self.bytes as f64) < TRICKLE_RATE * self.arriving.as_secs_f64();
        if self.pieces >= TRICKLE_PIECES && self.arriving >= self.limits.patience && is_slow {
            return Err(AnswerFault::Trickle { bytes: self.bytes });
        }
        Ok(())
    }

    /// Notes a frame of the message; one piece may have many.
    ///
    /// # Errors
    ///
    /// Fails if the message arrives in a great many frames of a few bytes.
    pub fn note_frame(&mut self) -> Result<(), AnswerFault> {
        self.frames += 1;
        let is_fragmented = self.frames > MANY_FRAMES && self.bytes < MIN_FRAME_BYTES * self.frames;
        if is_fragmented { Err(AnswerFault::Fragments { bytes: self.bytes }) } else { Ok(()) }
    }
}
