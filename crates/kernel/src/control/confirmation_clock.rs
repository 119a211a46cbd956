//! How long a process may accept keys without news of withdrawals.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::time::TimePoint;

/// How long each kind of news lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationLimits {
    /// Longest time since a read to the end of the log, or since peers were heard.
    pub contact: Duration,
    /// Longest time that a group of processes cut off from the log and from half of the fleet
    /// accepts keys.
    pub island: Duration,
    /// Failure domains, this process's own among them, that such a group must span.
    pub domains: usize,
}

impl Default for ConfirmationLimits {
    fn default() -> ConfirmationLimits {
        ConfirmationLimits {
            contact: Duration::from_secs(5),
            island: Duration::from_secs(900),
            domains: 2,
        }
    }
}

/// What a peer says with each exchange of withdrawals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFreshness {
    /// Failure domain of the peer.
    pub domain: Box<str>,
    /// Time since the newest read to the log's end that the peer knows of, by itself or others.
    pub log_age: Option<Duration>,
    /// Share of the fleet's processes that the peer hears, directly or by relay, 0 to 1.
    pub reach: f64,
}

/// Why a process must not accept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ConfirmationError {
    /// Neither the log nor enough peers were heard.
    #[error("neither the log nor peers of {domains} failure domains were heard in time")]
    Isolated {
        /// Failure domains that are needed.
        domains: usize,
    },
    /// The reachable part of the fleet was cut off for too long.
    #[error("cut off from the log and from half of the fleet for {} s", cut_off.as_secs())]
    Partitioned {
        /// Time since the last news of the log.
        cut_off: Duration,
    },
}

/// News of the log: how old it was at a point of this process's clock.
///
/// Kept apart, since the news may be older than the start of the clock.
#[derive(Clone, Copy, Debug)]
struct LogObservation {
    sent: TimePoint,
    age: Duration,
}

impl LogObservation {
    fn age_at(self, now: TimePoint) -> Duration {
        self.age + now.since(self.sent)
    }
}

/// Decides whether this process has had news of withdrawals recently enough.
///
/// Times are those at which a call was *sent*: its answer holds everything that was known
/// then. News of the log passes from peer to peer with its age, since a peer that read the
/// log to its end hands on every withdrawal in it. Peers without the log freshness for one
/// another without limit only if together they hear more than half of the fleet, because
/// only then a withdrawal given elsewhere comes to them.
#[derive(Clone, Debug)]
pub struct ConfirmationClock {
    limits: ConfirmationLimits,
    domain: Box<str>,
    log: Option<LogObservation>,
    started: TimePoint,
    domain_contacts: HashMap<Box<str>, TimePoint>,
    majority_contact: Option<TimePoint>,
}

impl ConfirmationClock {
    /// Returns the clock of a process in failure domain `domain` that has heard nothing yet.
    pub fn new(limits: ConfirmationLimits, domain: &str, now: TimePoint) -> ConfirmationClock {
        ConfirmationClock {
            limits,
            domain: domain.into(),
            log: None,
            started: now,
            domain_contacts: HashMap::new(),
            majority_contact: None,
        }
    }

    /// Notes a read, sent at `sent`, that came to the end of the `config` stream.
    pub fn log_read(&mut self, sent: TimePoint) {
        self.record_log_observation(LogObservation { sent, age: Duration::ZERO });
    }

    /// Notes an exchange, sent at `sent`, after which this process has all withdrawals that
    /// the peer knew.
    pub fn peer_heard(&mut self, sent: TimePoint, freshness: &PeerFreshness) {
        let contact = self.domain_contacts.entry(freshness.domain.clone()).or_insert(sent);
        *contact = sent.max(*contact);
        if let Some(age) = freshness.log_age {
            self.record_log_observation(LogObservation { sent, age });
        }
        if freshness.reach > 0.5 {
            self.majority_contact = self.majority_contact.max(Some(sent));
        }
    }

    /// Returns the age of the newest news of the log, for this process's own [`PeerFreshness`].
    pub fn log_age(&self, now: TimePoint) -> Option<Duration> {
        self.log.map(|observation| observation.age_at(now))
    }

    /// Returns whether keys may be accepted.
    pub fn may_accept(&self, now: TimePoint) -> bool {
        self.check(now).is_ok()
    }

    /// Returns why keys must not be accepted.
    ///
    /// # Errors
    ///
    /// Fails if neither the log nor enough peers were heard in time.
    pub fn check(&self, now: TimePoint) -> Result<(), ConfirmationError> {
        let fresh = |point: TimePoint| now.since(point) <= self.limits.contact;
        let log_age = self.log_age(now);
        if log_age.is_some_and(|age| age <= self.limits.contact) {
            return Ok(());
        }
        let domains = self.limits.domains;
        let peers = self.domain_contacts.iter().filter(|(_, point)| fresh(**point));
        let others = peers.clone().filter(|(domain, _)| **domain != self.domain).count();
        if others + 1 < domains || peers.count() == 0 {
            return Err(ConfirmationError::Isolated { domains });
        }
        if self.majority_contact.is_some_and(fresh) {
            return Ok(());
        }
        let cut_off = log_age.unwrap_or_else(|| now.since(self.started));
        if cut_off <= self.limits.island {
            return Ok(());
        }
        Err(ConfirmationError::Partitioned { cut_off })
    }

    fn record_log_observation(&mut self, observation: LogObservation) {
        let newest = self.log.is_none_or(|known| {
            observation.age_at(observation.sent) < known.age_at(observation.sent)
        });
        if newest {
            self.log = Some(observation);
        }
    }
}
