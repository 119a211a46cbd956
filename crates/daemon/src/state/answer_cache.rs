//! A cache of answers for callers that repeat a request with its idempotency key.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};

/// Size of the largest answer that is cached, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Maximum total size of the cached answers, in bytes.
const MAX_TOTAL_BYTES: usize = 8 << 20;

/// A complete answer as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers that were sent to the caller.
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
    /// Body; all chunks of a stream in order.
    pub(crate) body: Vec<u8>,
}

/// Caches answers by the key of their claim and evicts the oldest answer first.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerCache {
    answers: Arc<Mutex<CachedAnswers>>,
}

#[derive(Debug, Default)]
struct CachedAnswers {
    by_key: HashMap<Box<str>, HeldAnswer>,
    /// Keys in the order of insertion.
    order: VecDeque<Box<str>>,
    /// Total size of the bodies.
    bytes: usize,
}

impl AnswerCache {
    /// Returns an empty cache.
    pub(crate) fn new() -> AnswerCache {
        AnswerCache::default()
    }

    /// Caches an answer, unless its body exceeds `MAX_ANSWER_BYTES`.
    pub(crate) fn insert(&self, key: &str, answer: HeldAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return;
        }
        let mut answers = self.answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        answers.insert(key, answer);
    }

    /// Returns the cached answer of the claim `key`.
    pub(crate) fn get(&self, key: &str) -> Option<HeldAnswer> {
        let answers = self.answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        answers.by_key.get(key).cloned()
    }
}

impl CachedAnswers {
    fn insert(&mut self, key: &str, answer: HeldAnswer) {
        self.bytes += answer.body.len();
        match self.by_key.insert(key.into(), answer) {
            Some(former) => self.bytes -= former.body.len(),
            None => self.order.push_back(key.into()),
        }
        while self.bytes > MAX_TOTAL_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            let dropped = self.by_key.remove(&oldest);
            self.bytes -= dropped.map_or(0, |answer| answer.body.len());
        }
    }
}
