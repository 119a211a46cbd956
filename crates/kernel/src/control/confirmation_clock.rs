//! Decides how long a process may accept keys without hearing of new withdrawals.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::time::TimePoint;

/// Time limits after which knowledge of withdrawals is too old to accept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationLimits {
    /// Maximum time since a read to the end of the log, or since an exchange with a peer.
    pub contact: Duration,
    /// Maximum time for which a group of processes that is cut off from the log and from half of
    /// the fleet accepts keys.
    pub island: Duration,
    /// Minimum number of failure domains that must be in contact when the log is not, counting this
    /// process's own domain.
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

/// A peer's own view of the log and the fleet, sent with each exchange of withdrawals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFreshness {
    /// Failure domain of the peer.
    pub domain: Box<str>,
    /// Time since the latest read to the end of the log that the peer knows of, made by itself or
    /// by others. `None` if it knows of none.
    pub log_age: Option<Duration>,
    /// Fraction of the fleet's processes that the peer hears, directly or through relays, 0 to 1.
    pub reach: f64,
}

/// Reason why a process must not accept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ConfirmationError {
    /// Neither the log nor peers of enough failure domains were heard in time.
    #[error("neither the log nor peers of {domains} failure domains were heard in time")]
    Isolated {
        /// Number of failure domains needed, counting this process's own.
        domains: usize,
    },
    /// The reachable processes were cut off from the log and from half of the fleet for too long.
    #[error("cut off from the log and from half of the fleet for {} s", cut_off.as_secs())]
    Partitioned {
        /// Time since the latest known read to the end of the log, or since the clock started if
        /// none is known.
        cut_off: Duration,
    },
}

/// A known read to the end of the log and its age at a time of this process's clock.
///
/// The age is stored beside the time because the read may be older than the start of the clock.
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

/// Decides whether this process's knowledge of withdrawals is recent enough to accept keys.
///
/// All times are those at which a call was *sent*, because its response contains everything that
/// was known at that time. The age of a read to the end of the log is passed from peer to peer,
/// since a peer that made such a read forwards every withdrawal in the log. Without the log,
/// processes may rely on one another for an unlimited time only if a peer hears more than half of
/// the fleet, because only then a withdrawal made elsewhere reaches them.
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
    /// Returns the clock of a process in failure domain `domain` that has heard neither the log nor
    /// a peer.
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

    /// Records a read, sent at `sent`, that reached the end of the `config` stream.
    pub fn log_read(&mut self, sent: TimePoint) {
        self.record_log_observation(LogObservation { sent, age: Duration::ZERO });
    }

    /// Records an exchange, sent at `sent`, after which this process has all withdrawals that the
    /// peer knew.
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

    /// Returns the age of the latest known read to the end of the log, for this process's own
    /// [`PeerFreshness`]. `None` if no read is known.
    pub fn log_age(&self, now: TimePoint) -> Option<Duration> {
        self.log.map(|observation| observation.age_at(now))
    }

    /// Reports whether keys may be accepted.
    pub fn may_accept(&self, now: TimePoint) -> bool {
        self.check(now).is_ok()
    }

    /// Checks whether keys may be accepted.
    ///
    /// # Errors
    ///
    /// Fails if neither the log nor peers of enough failure domains were heard in time, or if the
    /// reachable processes were cut off for too long.
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
