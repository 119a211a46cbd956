//! The requests that one entry has sent and that have not ended.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{EndpointKey, ModelKey, RequestId},
    request::RequestSpec,
    time::TimePoint,
};

/// Time after which a choice is removed if its request was not sent.
const CHOICE_TTL: Duration = Duration::from_secs(30);

/// A routing choice whose request has not been sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingChoice {
    model: ModelKey,
    fingerprint: u64,
    at: TimePoint,
}

/// A request that this entry sent and that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    /// Endpoint to which the request was sent.
    pub(crate) endpoint: EndpointKey,
    /// Model of the request; `None` if the request was sent without a recorded choice.
    pub(crate) model: Option<ModelKey>,
    /// Fingerprint of the request; `None` if the request was sent without a recorded choice.
    pub(crate) fingerprint: Option<u64>,
    /// Sequence number of the request among this entry's requests to the endpoint.
    pub(crate) ordinal: u64,
    /// Time at which the request was sent.
    pub(crate) sent_at: TimePoint,
    /// Time at which the first token arrived; `None` before the first token.
    pub(crate) first_at: Option<TimePoint>,
    /// Start of the current sample of the time between tokens.
    pub(crate) sample_start: TimePoint,
    /// Output tokens since the start of the sample.
    pub(crate) sample_tokens: u32,
    /// Expected number of output tokens.
    pub(crate) expected_tokens: u32,
    /// Whether all slots of the endpoint were in use when the request was sent.
    pub(crate) queued: bool,
}

impl InFlightRequest {
    /// Returns the arrival time of the first token if no time between tokens was sampled since.
    pub(crate) fn unsampled_since(&self) -> Option<TimePoint> {
        self.first_at.filter(|&first_at| first_at == self.sample_start)
    }
}

/// The pending choices and the requests in flight of one entry.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    pending: HashMap<RequestId, PendingChoice>,
    requests: HashMap<RequestId, InFlightRequest>,
}

impl InFlightTable {
    /// Records a choice, which supplies the model and the fingerprint when the request is sent.
    pub(crate) fn record_choice(&mut self, now: TimePoint, request: &RequestSpec) {
        let pending =
            PendingChoice { model: request.model, fingerprint: request.fingerprint, at: now };
        self.pending.insert(request.id, pending);
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(
        &mut self,
        now: TimePoint,
        request: RequestId,
        endpoint: EndpointKey,
        ordinal: u64,
        expected_tokens: u32,
        queued: bool,
    ) {
        let pending = self.pending.remove(&request);
        let in_flight = InFlightRequest {
            endpoint,
            model: pending.map(|pending| pending.model),
            fingerprint: pending.map(|pending| pending.fingerprint),
            ordinal,
            sent_at: now,
            first_at: None,
            sample_start: now,
            sample_tokens: 0,
            expected_tokens,
            queued,
        };
        self.requests.insert(request, in_flight);
    }

    /// Returns a request in flight.
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&request)
    }

    /// Returns the ordinal of a request in flight.
    pub(crate) fn ordinal(&self, request: RequestId) -> Option<u64> {
        self.requests.get(&request).map(|in_flight| in_flight.ordinal)
    }

    /// Removes and returns a request that ended.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<InFlightRequest> {
        self.pending.remove(&request);
        self.requests.remove(&request)
    }

    /// Returns all requests in flight.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests.values()
    }

    /// Removes old choices whose requests were not sent.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.pending.retain(|_, pending| now.since(pending.at) < CHOICE_TTL);
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.pending.capacity() * size_of::<(RequestId, PendingChoice)>()
            + self.requests.capacity() * size_of::<(RequestId, InFlightRequest)>()
    }
}
