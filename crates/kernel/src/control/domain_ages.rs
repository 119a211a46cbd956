//! How old the news of each failure domain is.

use std::{collections::BTreeMap, time::Duration};

use crate::{control::member_roster::name_hash, time::TimePoint};

/// When each failure domain was last heard of, by hash of its name.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainAges {
    heard: BTreeMap<u32, TimePoint>,
}

impl DomainAges {
    /// Notes that a member of `domain` was heard.
    pub(crate) fn record(&mut self, now: TimePoint, domain: &str) {
        self.note(name_hash(domain), now);
    }

    /// Takes the ages that a message held which was asked for at `sent`.
    pub(crate) fn merge(&mut self, sent: TimePoint, ages: &[(u32, u32)]) {
        for &(domain, age) in ages {
            let age = Duration::from_millis(age.into());
            if age <= sent.since(TimePoint::ZERO) {
                self.note(domain, sent - age);
            }
        }
    }

    /// Returns the age of the news of `domain`.
    pub(crate) fn age(&self, now: TimePoint, domain: &str) -> Option<Duration> {
        self.heard.get(&name_hash(domain)).map(|heard| now.since(*heard))
    }

    /// Returns the milliseconds since news of each domain, for a member of `own`.
    pub(crate) fn ages(&self, now: TimePoint, own: &str) -> Vec<(u32, u32)> {
        let age = |at: TimePoint| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let own = name_hash(own);
        let others = self.heard.iter().filter(|(domain, _)| **domain != own);
        others.map(|(domain, at)| (*domain, age(*at))).chain([(own, 0)]).collect()
    }

    fn note(&mut self, domain: u32, at: TimePoint) {
        let known = self.heard.entry(domain).or_insert(at);
        *known = at.max(*known);
    }
}
