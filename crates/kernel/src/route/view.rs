//! An entry's view of the state of one endpoint.

use std::{collections::VecDeque, time::Duration};

use crate::{
    catalog::{EndpointKind, EndpointSpec, ServiceCatalog},
    ids::{ModelKey, ProcessId},
    request::RequestSpec,
    route::EndpointDigest,
    time::TimePoint,
};

/// Age of the last digest from which an endpoint is used only if no other endpoint is available.
pub const STALE_DIGEST_AGE: Duration = Duration::from_secs(2);

/// Age of the last digest from which an endpoint is unavailable.
pub const EXPIRED_DIGEST_AGE: Duration = Duration::from_secs(5);

/// Initial backoff after a failed call, in which the endpoint gets no new requests.
const UNREACHABLE_BASE: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the backoff after consecutive failed calls.
const UNREACHABLE_DOUBLINGS: u32 = 5;

/// Time after which a sent request is considered included in a digest whose
/// [`EndpointDigest::seen`] does not list this entry.
const DIGEST_DELAY: Duration = Duration::from_millis(50);

/// Number of prompt tokens that an engine processes in the time of one output token of a full
/// batch.
const PREFILL_SPEEDUP: f64 = 16.0;

/// Assumed duration of a call to a plain service before one was measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Time without a digest of a usable endpoint after which the endpoint is left out of the probe
/// order; by then every entry has learned that the endpoint is unavailable.
const LONG_UNAVAILABLE_AGE: Duration = Duration::from_secs(10);

/// Time within which the report of a crash reaches every entry.
pub const CRASH_REPORT_TIME: Duration = Duration::from_secs(2);

/// Number of digests after a failure of which the last was certainly created after the failure.
const MIN_DIGESTS_AFTER_FAILURE: u64 = 2;

/// Whether an endpoint can accept new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointHealth {
    /// The endpoint can accept requests.
    Available,
    /// The last digest of the endpoint is stale.
    Stale,
    /// The endpoint cannot accept requests.
    Unavailable,
}

/// The result of applying a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DigestOutcome {
    /// Whether the digest was newer than the last digest and was applied.
    pub(crate) newer: bool,
    /// Identifier of the unconfirmed crash that turned out not to have happened.
    pub(crate) withdrawn: Option<u64>,
}

/// A failure whose cause the agent has not reported yet.
#[derive(Clone, Copy, Debug)]
struct UnexplainedFailure {
    at: TimePoint,
    incarnation: u64,
    sequence: u64,
    engine_run: u64,
    /// Whether requests were lost, so that the entry recorded an unconfirmed crash.
    unconfirmed_crash: bool,
}

/// A request sent by this entry that no digest includes yet.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedSend {
    ordinal: u64,
    tokens: u32,
    at: TimePoint,
}

/// An entry's view of the state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointView {
    has_digest: bool,
    digest_at: TimePoint,
    sequence: u64,
    incarnation: u64,
    engine_run: u64,
    running: u32,
    waiting: Vec<u32>,
    pending_tokens: u64,
    step_time: Duration,
    draining: bool,
    up: bool,
    loaded: Vec<ModelKey>,
    unacknowledged: VecDeque<UnacknowledgedSend>,
    unacknowledged_tokens: u64,
    ended_since_digest: u32,
    last_ordinal: u64,
    failures: u32,
    unreachable_until: TimePoint,
    service_time: Option<Duration>,
    last_usable_at: Option<TimePoint>,
    failure: Option<UnexplainedFailure>,
}

impl EndpointView {
    /// Applies a digest unless it is older than the last one.
    ///
    /// `entry` identifies this entry in [`EndpointDigest::seen`].
    pub(crate) fn apply_digest(
        &mut self,
        now: TimePoint,
        digest: &EndpointDigest,
        entry: Option<&ProcessId>,
        catalog: &ServiceCatalog,
    ) -> DigestOutcome {
        let order = (digest.incarnation, digest.sequence);
        if self.has_digest && order <= (self.incarnation, self.sequence) {
            return DigestOutcome::default();
        }
        self.has_digest = true;
        self.digest_at = now;
        (self.incarnation, self.sequence) = order;
        self.engine_run = digest.engine_run;
        self.running = digest.running;
        self.waiting.clone_from(&digest.waiting);
        self.pending_tokens = digest.pending_tokens;
        self.step_time = digest.step_time;
        self.draining = digest.draining;
        self.up = digest.up;
        self.loaded.clear();
        self.loaded.extend(digest.models.iter().filter_map(|name| catalog.model(name)));
        if self.up && !self.draining {
            self.last_usable_at = Some(now);
        }
        self.drop_acknowledged(now, digest, entry);
        self.ended_since_digest = 0;
        DigestOutcome { newer: true, withdrawn: self.explain_failure(now, digest) }
    }

    /// Clears the failure if `digest` explains its cause.
    ///
    /// Returns the identifier of the unconfirmed crash if the endpoint had not crashed.
    fn explain_failure(&mut self, now: TimePoint, digest: &EndpointDigest) -> Option<u64> {
        let failure = self.failure?;
        let same_run = digest.engine_run == failure.engine_run;
        let later = digest.incarnation > failure.incarnation
            || digest.sequence >= failure.sequence + MIN_DIGESTS_AFTER_FAILURE;
        let settled = !failure.unconfirmed_crash || now.since(failure.at) >= CRASH_REPORT_TIME;
        if digest.up && same_run && !(later && settled) {
            return None;
        }
        self.failure = None;
        (digest.up && same_run && failure.unconfirmed_crash).then_some(failure.engine_run)
    }

    /// Removes the sent requests that the counts of `digest` include.
    fn drop_acknowledged(
        &mut self,
        now: TimePoint,
        digest: &EndpointDigest,
        entry: Option<&ProcessId>,
    ) {
        let progress = digest.seen.iter().find(|progress| Some(&progress.entry) == entry);
        let covered = |send: &UnacknowledgedSend| match progress {
            Some(progress) => send.ordinal <= progress.ordinal,
            None => now.since(send.at) >= DIGEST_DELAY,
        };
        self.unacknowledged.retain(|send| !covered(send));
        self.unacknowledged_tokens =
            self.unacknowledged.iter().map(|send| u64::from(send.tokens)).sum();
    }

    /// Records that this entry sent a request and returns the ordinal of the request.
    pub(crate) fn record_sent(&mut self, now: TimePoint, tokens: u32) -> u64 {
        self.last_ordinal += 1;
        let send = UnacknowledgedSend { ordinal: self.last_ordinal, tokens, at: now };
        self.unacknowledged.push_back(send);
        self.unacknowledged_tokens += u64::from(tokens);
        self.last_ordinal
    }

    /// Records the end of this entry's request `ordinal`.
    pub(crate) fn record_ended(&mut self, ordinal: u64, tokens: u32) {
        match self.unacknowledged.binary_search_by_key(&ordinal, |send| send.ordinal) {
            Ok(index) => {
                self.unacknowledged.remove(index);
                self.unacknowledged_tokens -= u64::from(tokens);
            }
            Err(_) => {
                self.ended_since_digest += 1;
            }
        }
    }

    /// Records a failed call; the endpoint gets no new requests for a backoff that doubles with
    /// each consecutive failure.
    pub(crate) fn record_unreachable(&mut self, now: TimePoint) {
        self.record_failure(now, false);
        let span = UNREACHABLE_BASE * (1 << self.failures.min(UNREACHABLE_DOUBLINGS));
        self.failures += 1;
        self.unreachable_until = now + span;
    }

    /// Records that a request was lost and returns the identifier of the unconfirmed crash.
    pub(crate) fn record_lost(&mut self, now: TimePoint) -> u64 {
        self.record_failure(now, true);
        self.engine_run
    }

    fn record_failure(&mut self, now: TimePoint, unconfirmed_crash: bool) {
        let failure = self.failure.get_or_insert(UnexplainedFailure {
            at: now,
            incarnation: self.incarnation,
            sequence: self.sequence,
            engine_run: self.engine_run,
            unconfirmed_crash,
        });
        failure.unconfirmed_crash |= unconfirmed_crash;
    }

    /// Reports whether the endpoint failed and a report of the cause may still arrive.
    pub(crate) fn awaits_crash_report(&self, now: TimePoint) -> bool {
        self.failure.is_some_and(|failure| now.since(failure.at) < CRASH_REPORT_TIME)
    }

    /// Reports whether the endpoint has been unavailable for so long that all entries know it.
    ///
    /// `first_catalog_at` is the time at which the router first received a catalog. It applies to
    /// an endpoint that was never usable.
    pub(crate) fn long_unavailable(&self, now: TimePoint, first_catalog_at: TimePoint) -> bool {
        now.since(self.last_usable_at.unwrap_or(first_catalog_at)) >= LONG_UNAVAILABLE_AGE
    }

    /// Records an answer, which resets the count of consecutive failures.
    pub(crate) fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records the duration of one call to a plain service.
    pub(crate) fn record_service_time(&mut self, span: Duration) {
        let mean = self.service_time.unwrap_or(span);
        self.service_time = Some((mean * 7 + span) / 8);
    }

    /// Reports whether the agent of the endpoint has stopped sending digests.
    pub(crate) fn is_silent(&self, now: TimePoint) -> bool {
        self.has_digest && now.since(self.digest_at) >= EXPIRED_DIGEST_AGE
    }

    /// Returns whether the endpoint can accept new requests for `model`.
    pub(crate) fn health(
        &self,
        now: TimePoint,
        model: ModelKey,
        spec: &EndpointSpec,
    ) -> EndpointHealth {
        let age = now.since(self.digest_at);
        let offers = self.loaded.contains(&model)
            || (spec.kind == EndpointKind::Service && self.loaded.is_empty());
        let serves = self.has_digest && self.up && !self.draining && offers;
        if !serves || age >= EXPIRED_DIGEST_AGE || now < self.unreachable_until {
            EndpointHealth::Unavailable
        } else if age >= STALE_DIGEST_AGE {
            EndpointHealth::Stale
        } else {
            EndpointHealth::Available
        }
    }

    /// Returns the number of requests that run or wait ahead of a new request of `tier`.
    pub(crate) fn requests_ahead(&self, tier: u8) -> u32 {
        let waiting: u32 = self.waiting.iter().take(usize::from(tier) + 1).sum();
        let known = (self.running + waiting).saturating_sub(self.ended_since_digest);
        known + self.unacknowledged.len() as u32
    }

    /// Returns the mean number of output tokens that a request at the endpoint still needs, or
    /// `tokens` if the endpoint has no requests.
    fn mean_remaining_tokens(&self, tokens: u32) -> f64 {
        let counted = self.running + self.waiting.iter().sum::<u32>();
        let known = counted.saturating_sub(self.ended_since_digest);
        let all = known + self.unacknowledged.len() as u32;
        if all == 0 {
            return f64::from(tokens);
        }
        let mean = self.pending_tokens as f64 / f64::from(counted.max(1));
        (mean * f64::from(known) + self.unacknowledged_tokens as f64) / f64::from(all)
    }

    /// Returns the expected time to completion of `request` with `tokens` output tokens.
    ///
    /// `cached` is the share of the prompt that the endpoint caches, 0 to 1.
    pub(crate) fn expected_completion(
        &self,
        spec: &EndpointSpec,
        request: &RequestSpec,
        tier: u8,
        tokens: u32,
        cached: f64,
    ) -> Duration {
        let ahead = self.requests_ahead(tier);
        let slots = spec.slots.max(1);
        let queued = (ahead + 1).saturating_sub(slots);
        if spec.kind == EndpointKind::Service || spec.tokens_per_second <= 0.0 {
            let one = self.service_time.unwrap_or(DEFAULT_SERVICE_TIME);
            return one + one * queued / slots;
        }
        let rate = spec.tokens_per_second;
        let full_step = f64::from(slots) / rate;
        let step = full_step.max(self.step_time.as_secs_f64());
        let mean_tokens = self.mean_remaining_tokens(tokens);
        let wait = f64::from(queued) * mean_tokens * step / f64::from(slots);
        let prompt = f64::from(request.prompt_tokens) * (1.0 - cached);
        let prefill = prompt * step / (f64::from(slots) * PREFILL_SPEEDUP);
        Duration::from_secs_f64(wait + prefill + f64::from(tokens) * step)
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.waiting.capacity() * size_of::<u32>()
            + self.loaded.capacity() * size_of::<ModelKey>()
            + self.unacknowledged.capacity() * size_of::<UnacknowledgedSend>()
    }
}
