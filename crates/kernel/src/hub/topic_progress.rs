//! How far an entry has a topic whose records it reads itself or gets from others.

use std::collections::BTreeMap;

use crate::{hub::PositionClaim, log_position::LogPosition};

/// Maximum number of claims that are kept for versions which this entry does not have yet.
const MAX_CLAIMS: usize = 32;

/// Tracks the position from which an entry has to read a topic with versions of one record.
///
/// What other entries passed on need not be read again: each tells with the version that it has how far it
/// knows the topic, which holds for this entry as soon as it has that version too.
#[derive(Clone, Debug, Default)]
pub struct TopicProgress {
    /// Position up to which the topic was read, or is known from others.
    next: Option<LogPosition>,
    /// Positions that hold once this entry has a version, by version.
    claims: BTreeMap<u64, LogPosition>,
}

impl TopicProgress {
    /// Returns the progress of an entry that knows nothing of the topic.
    pub fn new() -> TopicProgress {
        TopicProgress::default()
    }

    /// Returns the position before which this entry, which has `version`, has all records; `None` if it knows
    /// none.
    pub fn next(&self, version: Option<u64>) -> Option<LogPosition> {
        let Some(version) = version else { return self.next };
        let claimed = self.claims.range(..=version).map(|(_, next)| *next).max();
        self.next.max(claimed)
    }

    /// Notes that this entry has read the records before `next` of a log that it continued.
    pub fn advance(&mut self, next: LogPosition) {
        self.next = self.next.max(Some(next));
    }

    /// Notes that this entry has read the newest records of the topic, which ends at `end`; what was known
    /// before is no longer of use.
    pub fn restart(&mut self, end: LogPosition) {
        *self = TopicProgress { next: Some(end), claims: BTreeMap::new() };
    }

    /// Notes what another entry said of its position, while this entry has `version`.
    pub fn note_claim(&mut self, version: Option<u64>, claim: PositionClaim) {
        if !claim.is_readable() || self.next(version) >= Some(claim.next()) {
            return;
        }
        let claimed = self.claims.entry(claim.version()).or_insert(claim.next());
        *claimed = claim.next().max(*claimed);
        self.next = self.next(version);
        self.claims.retain(|claimed, _| version.is_none_or(|version| *claimed > version));
        if self.claims.len() > MAX_CLAIMS {
            self.claims.pop_last();
        }
    }
}
