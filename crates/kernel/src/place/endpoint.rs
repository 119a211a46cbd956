//! One endpoint as placement sees it.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{route::hash_text, time::TimePoint};

/// Time for which an endpoint counts as holding a shared part after its last use.
const PART_MEMORY: Duration = Duration::from_secs(30);

/// Shared parts remembered for one endpoint before old ones are dropped.
const MAX_PARTS: usize = 4096;

/// Time without new sends after a first failure; each further one in a row doubles it.
const FIRST_REST: Duration = Duration::from_millis(400);

/// Longest time without new sends after failures.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// Shortest time between two tries to connect to an endpoint that is down.
const LEAST_DOWN: Duration = Duration::from_millis(200);

/// Longest time between two tries to connect to an endpoint that is down.
const MOST_DOWN: Duration = Duration::from_secs(3);

/// Time between two tries to connect, in relation to the time that one takes to fail: a host that
/// refuses at once is asked often, one that does not answer rarely.
const DOWN_RATIO: u32 = 10;

/// Age at which what an endpoint said of its load no longer counts.
const SAMPLE_LIFE: Duration = Duration::from_secs(1);

/// Age at which what other entries said they sent no longer counts.
const OTHERS_LIFE: Duration = Duration::from_secs(2);

/// An endpoint that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedEndpoint {
    /// Name of this run of the endpoint, unique over the deployment.
    pub name: Box<str>,
    /// Service that it runs.
    pub service: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What an endpoint said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointSample {
    /// Requests that run there, whoever sent them.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// What one or more entries have at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Hash of the endpoint's name, see [`LoadRow::endpoint_hash`].
    pub endpoint: u32,
    /// Requests without their whole answer.
    pub in_flight: u32,
    /// Prompt tokens of requests without their first token.
    pub prefill: u32,
    /// Tokens that the requests take of the endpoint's memory beside shared parts.
    pub memory: u32,
}

impl LoadRow {
    /// Returns the row of an endpoint at which nothing is.
    pub(crate) fn none(endpoint: u32) -> LoadRow {
        LoadRow { endpoint, in_flight: 0, prefill: 0, memory: 0 }
    }

    /// Returns this row with what `other` has at the same endpoint added.
    pub(crate) fn plus(self, other: &LoadRow) -> LoadRow {
        LoadRow {
            endpoint: self.endpoint,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            prefill: self.prefill.saturating_add(other.prefill),
            memory: self.memory.saturating_add(other.memory),
        }
    }

    /// Returns this row without what `other` has at the same endpoint.
    pub(crate) fn minus(self, other: &LoadRow) -> LoadRow {
        LoadRow {
            endpoint: self.endpoint,
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            prefill: self.prefill.saturating_sub(other.prefill),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// Returns the hash that stands for the endpoint named `name`.
    pub fn endpoint_hash(name: &str) -> u32 {
        hash_text(name) as u32
    }
}

/// What this entry knows of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) spec: PlacedEndpoint,
    /// Hash of its name.
    pub(super) hash: u64,
    /// Requests of this entry that have no answer yet or whose answer is under way.
    pub(super) in_flight: u32,
    /// Prompt tokens of this entry's requests that have no first token yet.
    pub(super) prefill: f64,
    /// Tokens that this entry's requests take of the endpoint's memory beside shared parts.
    pub(super) memory: u64,
    /// Whether it is kept for strict classes.
    pub(super) strict: bool,
    /// Whether it may be gone, so that others come first.
    pub(super) lapsed: bool,
    /// What other entries have there, as of a point in time.
    pub(super) others: Option<(TimePoint, LoadRow)>,
    sample: Option<(TimePoint, EndpointSample, u32)>,
    parts: HashMap<u64, TimePoint>,
    failures: u32,
    rests_until: TimePoint,
    /// Whether the last try to connect failed.
    unreached: bool,
    down_until: TimePoint,
    /// Whether one request tries whether it is back.
    tried: bool,
    /// Whether another endpoint answers at its address.
    pub(super) replaced: bool,
}

impl EndpointState {
    pub(super) fn new(spec: PlacedEndpoint) -> EndpointState {
        EndpointState {
            hash: hash_text(&spec.name),
            spec,
            in_flight: 0,
            prefill: 0.0,
            memory: 0,
            strict: false,
            lapsed: false,
            others: None,
            sample: None,
            parts: HashMap::new(),
            failures: 0,
            rests_until: TimePoint::ZERO,
            unreached: false,
            down_until: TimePoint::ZERO,
            tried: false,
            replaced: false,
        }
    }

    /// Returns requests at the endpoint: this entry's, and others' as of its last word.
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let own = f64::from(self.in_flight);
        if let Some(others) = self.others(now) {
            return own + f64::from(others.in_flight);
        }
        match self.sample {
            Some((at, sample, own_then)) if now.since(at) < SAMPLE_LIFE => {
                let all = sample.running + sample.waiting;
                own + f64::from(all.saturating_sub(own_then))
            }
            _ => own,
        }
    }

    /// Returns prompt tokens that the endpoint has yet to read, of all entries.
    pub(super) fn prefill(&self, now: TimePoint) -> f64 {
        self.prefill + self.others(now).map_or(0.0, |others| f64::from(others.prefill))
    }

    /// Returns tokens of the endpoint's memory that requests take, of all entries.
    pub(super) fn memory(&self, now: TimePoint) -> u64 {
        self.memory + self.others(now).map_or(0, |others| u64::from(others.memory))
    }

    fn others(&self, now: TimePoint) -> Option<LoadRow> {
        self.others.filter(|(at, _)| now.since(*at) < OTHERS_LIFE).map(|(_, row)| row)
    }

    /// Returns requests that waited there as of the endpoint's last word.
    pub(super) fn waiting(&self, now: TimePoint) -> u32 {
        match self.sample {
            Some((at, sample, _)) if now.since(at) < SAMPLE_LIFE => sample.waiting,
            _ => 0,
        }
    }

    pub(super) fn note_sample(&mut self, now: TimePoint, sample: EndpointSample) {
        self.sample = Some((now, sample, self.in_flight));
    }

    pub(super) fn holds(&self, now: TimePoint, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|used| now.since(*used) < PART_MEMORY)
    }

    pub(super) fn note_part(&mut self, now: TimePoint, part: u64) {
        if self.parts.len() >= MAX_PARTS {
            self.parts.retain(|_, used| now.since(*used) < PART_MEMORY);
        }
        self.parts.insert(part, now);
    }

    /// Returns whether nothing listens there as far as this entry knows. Once it may be back, one
    /// request at a time tries.
    pub(super) fn is_down(&self, now: TimePoint) -> bool {
        self.replaced || now < self.down_until || (self.unreached && self.tried)
    }

    pub(super) fn note_sent(&mut self) {
        self.tried = self.unreached;
    }

    pub(super) fn note_unreached(&mut self, now: TimePoint, waited: Duration) {
        self.down_until = now + (waited * DOWN_RATIO).clamp(LEAST_DOWN, MOST_DOWN);
        self.unreached = true;
        self.tried = false;
    }

    /// Notes the end of a request, which may have been the one that tried.
    pub(super) fn note_ended(&mut self) {
        self.tried = false;
    }

    pub(super) fn note_reached(&mut self) {
        self.unreached = false;
        self.tried = false;
    }

    pub(super) fn rests(&self, now: TimePoint) -> bool {
        now < self.rests_until
    }

    pub(super) fn note_failure(&mut self, now: TimePoint) {
        let rest = FIRST_REST * (1 << self.failures.min(4));
        self.failures += 1;
        self.rests_until = now + rest.min(LONGEST_REST);
    }

    pub(super) fn note_success(&mut self) {
        self.failures = 0;
    }
}
