//! The requests that one entry has sent.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{EndpointKey, ModelKey, RequestId},
    request::RequestSpec,
    time::TimePoint,
};

/// Time after which a choice that was never sent is forgotten.
const CHOICE_TTL: Duration = Duration::from_secs(30);

/// A choice that was not sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingChoice {
    model: ModelKey,
    fingerprint: u64,
    at: TimePoint,
}

/// A request that this entry sent and that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    /// Where it went.
    pub(crate) endpoint: EndpointKey,
    /// Its model, unless it was sent without a choice.
    pub(crate) model: Option<ModelKey>,
    /// Its fingerprint, unless it was sent without a choice.
    pub(crate) fingerprint: Option<u64>,
    /// Its number among the sends to the endpoint.
    pub(crate) ordinal: u64,
    /// When it was sent.
    pub(crate) sent_at: TimePoint,
    /// When its first token came back.
    pub(crate) first_at: Option<TimePoint>,
    /// When its pace was last measured.
    pub(crate) sample_start: TimePoint,
    /// Output tokens since then.
    pub(crate) sample_tokens: u32,
    /// Output tokens it is expected to need.
    pub(crate) expected_tokens: u32,
    /// Whether all slots were taken when it was sent.
    pub(crate) queued: bool,
}

impl InFlightRequest {
    /// Returns when the first token came back, if no pace was measured since.
    pub(crate) fn unsampled_since(&self) -> Option<TimePoint> {
        self.first_at.filter(|&first_at| first_at == self.sample_start)
    }
}

/// The requests that one entry has chosen endpoints for and sent.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    pending: HashMap<RequestId, PendingChoice>,
    requests: HashMap<RequestId, InFlightRequest>,
}

impl InFlightTable {
    /// Notes a choice, so that the send can be told of its model and fingerprint.
    pub(crate) fn record_choice(&mut self, now: TimePoint, request: &RequestSpec) {
        let pending =
            PendingChoice { model: request.model, fingerprint: request.fingerprint, at: now };
        self.pending.insert(request.id, pending);
    }

    /// Notes a send.
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

    /// Takes out a request that ended.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<InFlightRequest> {
        self.pending.remove(&request);
        self.requests.remove(&request)
    }

    /// Returns all requests in flight.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests.values()
    }

    /// Forgets choices that were never sent.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.pending.retain(|_, pending| now.since(pending.at) < CHOICE_TTL);
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.pending.capacity() * size_of::<(RequestId, PendingChoice)>()
            + self.requests.capacity() * size_of::<(RequestId, InFlightRequest)>()
    }
}
