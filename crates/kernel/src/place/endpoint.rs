//! The state of one endpoint as the placement table tracks it.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    place::start_ramp::StartRamp, route::hash_text, send_limit::LimitScope,
    stream_origin::VersionKey, time::TimePoint,
};

/// Time after its last use for which a shared part counts as cached at an endpoint.
const PART_LIFE: Duration = Duration::from_secs(30);

/// Number of tracked shared parts of one endpoint at which expired ones are dropped.
const MAX_PARTS: usize = 4096;

/// Quarantine after a first failure; each further consecutive failure doubles the time.
const FIRST_QUARANTINE: Duration = Duration::from_millis(400);

/// Longest quarantine after failures.
const MAX_QUARANTINE: Duration = Duration::from_secs(3);

/// Shortest time between two attempts to connect to an endpoint that is down.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Longest time between two attempts to connect to an endpoint that is down.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(3);

/// Ratio between the time to the next attempt to connect and the time that the last one took to
/// fail. A host that refuses connections at once is tried often; a host that does not answer is
/// tried rarely.
const RECONNECT_DELAY_RATIO: u32 = 10;

/// Age at which a load sample of an endpoint expires.
const SAMPLE_LIFE: Duration = Duration::from_secs(1);

/// Age at which the reported load of other entries expires.
const OTHERS_LIFE: Duration = Duration::from_secs(2);

/// Describes an endpoint that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedEndpoint {
    /// Name of this run of the endpoint, unique over the deployment.
    pub name: Box<str>,
    /// Service that the endpoint runs.
    pub service: Box<str>,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
    /// Version of the endpoint's software; versions have no order.
    pub software: Box<str>,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint is leaving and accepts no new work.
    pub leaving: bool,
    /// Wall-clock time at which this run started, in milliseconds since 1970, if known.
    pub started_ms: Option<u64>,
}

/// Load that an endpoint reported about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointSample {
    /// Requests running at the endpoint, from all senders.
    pub running: u32,
    /// Requests waiting in the endpoint's own queue.
    pub waiting: u32,
}

/// Load that one or more entries have placed on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Hash of the endpoint's name; see [`LoadRow::endpoint_hash`].
    pub endpoint: u32,
    /// Requests whose answer is not complete.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not received their first token.
    pub prefill: u32,
    /// Tokens that the requests occupy in the endpoint's memory, without shared parts.
    pub memory: u32,
}

impl LoadRow {
    /// Returns the row of an endpoint without load.
    pub(crate) fn none(endpoint: u32) -> LoadRow {
        LoadRow { endpoint, in_flight: 0, prefill: 0, memory: 0 }
    }

    /// Returns the sum of this row and `other`, which must be of the same endpoint.
    pub(crate) fn plus(self, other: &LoadRow) -> LoadRow {
        LoadRow {
            endpoint: self.endpoint,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            prefill: self.prefill.saturating_add(other.prefill),
            memory: self.memory.saturating_add(other.memory),
        }
    }

    /// Returns this row minus `other`, which must be of the same endpoint; no value falls below 0.
    pub(crate) fn minus(self, other: &LoadRow) -> LoadRow {
        LoadRow {
            endpoint: self.endpoint,
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            prefill: self.prefill.saturating_sub(other.prefill),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// Returns the hash that identifies the endpoint named `name` in load reports.
    pub fn endpoint_hash(name: &str) -> u32 {
        hash_text(name) as u32
    }
}

/// State of one endpoint as known to this entry.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) spec: PlacedEndpoint,
    /// Key of the version of the endpoint's software.
    pub(super) version: VersionKey,
    /// Hash of the endpoint's name.
    pub(super) hash: u64,
    /// Requests of this entry whose answer is not complete.
    pub(super) in_flight: u32,
    /// Prompt tokens of this entry's requests that have not received their first token.
    pub(super) prefill: f64,
    /// Tokens that this entry's requests occupy in the endpoint's memory, without shared parts.
    pub(super) memory: u64,
    /// Whether the endpoint is reserved for strict classes.
    pub(super) strict: bool,
    /// Time before which the endpoint gets no requests, as it wants none, or as it may have left.
    pub(super) excluded_until: TimePoint,
    /// Time before which the endpoint gets no requests, as it may have left.
    pub(super) held_until: TimePoint,
    /// Whether the endpoint's record in the platform's store expired. The endpoint may be gone, so
    /// other endpoints are preferred.
    pub(super) lapsed: bool,
    /// Whether the endpoint has answered that it does not leave since its record expired.
    pub(super) answered: bool,
    /// Load of all other entries, with the time at which it was reported.
    pub(super) others: Option<(TimePoint, LoadRow)>,
    /// Last load sample, with its time and this entry's requests in flight at that time.
    sample: Option<(TimePoint, EndpointSample, u32)>,
    /// Last use of each shared part, by the part's identifier.
    parts: HashMap<u64, TimePoint>,
    /// Consecutive failures.
    failures: u32,
    /// Time of the last failure.
    pub(super) failed_at: Option<TimePoint>,
    quarantined_until: TimePoint,
    /// Whether the last attempt to connect failed.
    last_connect_failed: bool,
    down_until: TimePoint,
    /// Whether a request in flight is probing whether the endpoint is up again.
    is_probed: bool,
    /// Whether another endpoint answers at this endpoint's address.
    pub(super) replaced: bool,
    /// Whether operators ordered that the endpoint's failure domain gets no requests.
    pub(super) evacuated: bool,
    /// Time at which the endpoint has warmed up.
    pub(super) warm_at: TimePoint,
    /// Bound on requests after a start; `None` if the endpoint gets requests like any other.
    pub(super) ramp: Option<StartRamp>,
}

impl EndpointState {
    pub(super) fn new(spec: PlacedEndpoint) -> EndpointState {
        EndpointState {
            hash: hash_text(&spec.name),
            version: VersionKey::new(&spec.service, &spec.software),
            spec,
            in_flight: 0,
            prefill: 0.0,
            memory: 0,
            strict: false,
            excluded_until: TimePoint::ZERO,
            held_until: TimePoint::ZERO,
            lapsed: false,
            answered: false,
            others: None,
            sample: None,
            parts: HashMap::new(),
            failures: 0,
            failed_at: None,
            quarantined_until: TimePoint::ZERO,
            last_connect_failed: false,
            down_until: TimePoint::ZERO,
            is_probed: false,
            replaced: false,
            evacuated: false,
            warm_at: TimePoint::ZERO,
            ramp: None,
        }
    }

    /// Returns the key of the endpoint's limit.
    pub(super) fn limit_scope(&self) -> LimitScope {
        LimitScope::from_hash(self.hash)
    }

    /// Returns the number of requests at the endpoint.
    ///
    /// The requests of other entries come from their load reports or, without a recent report, from
    /// the endpoint's last sample.
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let own = f64::from(self.in_flight);
        if let Some(others) = self.others(now) {
            return own + f64::from(others.in_flight);
        }
        match self.sample {
            Some((at, sample, own_then)) if now.since(at) < SAMPLE_LIFE => {
                let all = sample.running.saturating_add(sample.waiting);
                own + f64::from(all.saturating_sub(own_then))
            }
            _ => own,
        }
    }

    /// Returns the prompt tokens of all entries that the endpoint has not prefilled yet.
    pub(super) fn prefill(&self, now: TimePoint) -> f64 {
        self.prefill + self.others(now).map_or(0.0, |others| f64::from(others.prefill))
    }

    /// Returns the tokens that the requests of all entries occupy in the endpoint's memory.
    pub(super) fn memory(&self, now: TimePoint) -> u64 {
        let others = self.others(now).map_or(0, |others| u64::from(others.memory));
        self.memory.saturating_add(others)
    }

    fn others(&self, now: TimePoint) -> Option<LoadRow> {
        self.others.filter(|(at, _)| now.since(*at) < OTHERS_LIFE).map(|(_, row)| row)
    }

    /// Returns the number of requests in the endpoint's own queue as of its last sample, or 0 if
    /// there is no recent sample.
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
        self.parts.get(&part).is_some_and(|used| now.since(*used) < PART_LIFE)
    }

    pub(super) fn note_part(&mut self, now: TimePoint, part: u64) {
        if self.parts.len() >= MAX_PARTS {
            self.parts.retain(|_, used| now.since(*used) < PART_LIFE);
        }
        self.parts.insert(part, now);
    }

    /// Forgets which shared parts the endpoint has cached.
    pub(super) fn forget_parts(&mut self) {
        self.parts.clear();
    }

    /// Reports whether the last attempt to connect failed.
    pub(super) fn is_reconnecting(&self) -> bool {
        self.last_connect_failed
    }

    /// Reports whether the endpoint is presumed unreachable or was replaced by another endpoint at
    /// its address.
    ///
    /// After the reconnect delay, one request at a time may probe the endpoint; for all other
    /// requests the endpoint stays down until a connection succeeds.
    pub(super) fn is_down(&self, now: TimePoint) -> bool {
        self.replaced || now < self.down_until || (self.last_connect_failed && self.is_probed)
    }

    pub(super) fn note_sent(&mut self) {
        self.is_probed = self.last_connect_failed;
    }

    pub(super) fn note_unreached(&mut self, now: TimePoint, waited: Duration) {
        let delay = waited.saturating_mul(RECONNECT_DELAY_RATIO);
        self.down_until = now + delay.clamp(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
        self.last_connect_failed = true;
        self.is_probed = false;
    }

    /// Notes the end of a request, which may have been the one that probed the endpoint.
    pub(super) fn note_ended(&mut self) {
        self.is_probed = false;
    }

    pub(super) fn note_reached(&mut self) {
        self.last_connect_failed = false;
        self.is_probed = false;
    }

    pub(super) fn is_quarantined(&self, now: TimePoint) -> bool {
        now < self.quarantined_until
    }

    pub(super) fn note_failure(&mut self, now: TimePoint) {
        let quarantine = FIRST_QUARANTINE * (1 << self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
        self.quarantined_until = now + quarantine.min(MAX_QUARANTINE);
    }

    /// Returns the number of lost requests since the last answer.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn note_success(&mut self) {
        self.failures = 0;
    }
}
