//! Time since each failure domain was last heard.

use std::{collections::BTreeMap, time::Duration};

use crate::{control::member_roster::name_hash, time::TimePoint};

/// When a member of each failure domain was last heard, by hash of the domain's name.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainAges {
    last_heard: BTreeMap<u32, TimePoint>,
}

impl DomainAges {
    /// Records that a member of `domain` was heard at `now`.
    pub(crate) fn record(&mut self, now: TimePoint, domain: &str) {
        self.note(name_hash(domain), now);
    }

    /// Merges the ages of a message, which count from `sent`.
    ///
    /// Ages from before the start of this process's clock are ignored.
    pub(crate) fn merge(&mut self, sent: TimePoint, ages: &[(u32, u32)]) {
        for &(domain, age) in ages {
            let age = Duration::from_millis(age.into());
            if age <= sent.since(TimePoint::ZERO) {
                self.note(domain, sent - age);
            }
        }
    }

    /// Returns the time since a member of `domain` was heard, `None` if none ever was.
    pub(crate) fn age(&self, now: TimePoint, domain: &str) -> Option<Duration> {
        self.last_heard.get(&name_hash(domain)).map(|heard| now.since(*heard))
    }

    /// Returns the milliseconds since each domain was heard; `own`, the domain of this process, has
    /// age 0.
    pub(crate) fn ages(&self, now: TimePoint, own: &str) -> Vec<(u32, u32)> {
        let age = |at: TimePoint| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let own = name_hash(own);
        let others = self.last_heard.iter().filter(|(domain, _)| **domain != own);
        others.map(|(domain, at)| (*domain, age(*at))).chain([(own, 0)]).collect()
    }

    fn note(&mut self, domain: u32, at: TimePoint) {
        let known = self.last_heard.entry(domain).or_insert(at);
        *known = at.max(*known);
    }
}
