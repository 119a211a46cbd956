//! The offsets from which on an entry knows all changes of a topic.

use serde::{Deserialize, Serialize};

/// Maximum number of spans; the oldest ones are forgotten.
const MAX_SPANS: usize = 8;

/// Spans of offsets from which on all changes of a topic are known up to the end of the last span, in
/// ascending order, each with its first and its last offset.
///
/// A list shows what is different since the position before it, but not what was in between.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownSpans(Vec<(u64, u64)>);

impl KnownSpans {
    /// Returns one span.
    pub(crate) fn new(from: u64, to: u64) -> KnownSpans {
        KnownSpans(vec![(from, to)])
    }

    /// Reports whether all changes from `offset` on are known.
    pub(crate) fn contains(&self, offset: u64) -> bool {
        self.0.iter().any(|(from, to)| (*from..=*to).contains(&offset))
    }

    /// Begins a span at `offset`, to which a list has brought the copy.
    pub(crate) fn begin(&mut self, offset: u64) {
        self.0.push((offset, offset));
        self.forget_surplus();
    }

    /// Continues the last span, which ends within `later`, with what `later` has after it.
    pub(crate) fn follow(&mut self, later: &KnownSpans) {
        let Some(last) = self.0.last_mut() else { return };
        let at = last.1;
        for (from, to) in later.0.iter().filter(|(_, to)| *to > at) {
            match self.0.last_mut().filter(|_| *from <= at) {
                Some(last) => last.1 = *to,
                None => self.0.push((*from, *to)),
            }
        }
        self.forget_surplus();
    }

    /// Returns the spans from `offset` on.
    pub(crate) fn since(&self, offset: u64) -> KnownSpans {
        let mut spans = self.clone();
        spans.forget_before(offset);
        spans
    }

    fn forget_surplus(&mut self) {
        let surplus = self.0.len().saturating_sub(MAX_SPANS);
        self.0.drain(..surplus);
    }

    /// Forgets the changes before `offset`.
    pub(crate) fn forget_before(&mut self, offset: u64) {
        self.0.retain(|(_, to)| *to >= offset);
        self.0.iter_mut().for_each(|(from, _)| *from = (*from).max(offset));
    }

    /// Forgets all changes.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
