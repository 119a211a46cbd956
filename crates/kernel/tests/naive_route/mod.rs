//! A naive version of the router's state that keeps the whole history and evaluates it for each
//! query.

use std::time::Duration;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, RequestId},
    route::{EXPIRED_DIGEST_AGE, EndpointDigest, RouteEvent},
    time::TimePoint,
};

/// The event history of one entry.
#[derive(Default)]
pub struct NaiveEntry {
    /// All events so far, with their times, oldest first.
    pub history: Vec<(TimePoint, RouteEvent)>,
}

impl NaiveEntry {
    /// Returns the newest digest of an endpoint with its index in the history and its arrival time.
    pub fn digest(&self, name: &str) -> Option<(usize, TimePoint, &EndpointDigest)> {
        let mut best: Option<(usize, TimePoint, &EndpointDigest)> = None;
        for (index, (at, event)) in self.history.iter().enumerate() {
            let RouteEvent::Digest(digest) = event else { continue };
            let order = |digest: &EndpointDigest| (digest.incarnation, digest.sequence);
            let newer = best.is_none_or(|(_, _, last)| order(digest) > order(last));
            if &*digest.endpoint == name && newer {
                best = Some((index, *at, digest));
            }
        }
        best
    }

    /// Reports whether the endpoint can accept new requests for `model`.
    pub fn may_serve(
        &self,
        now: TimePoint,
        catalog: &ServiceCatalog,
        key: EndpointKey,
        model: &str,
    ) -> bool {
        let Some((_, at, digest)) = self.digest(&catalog.endpoints[key].name) else { return false };
        let mut failures = 0;
        let mut blocked_until = TimePoint::ZERO;
        for (at, event) in &self.history {
            match event {
                RouteEvent::Unreachable { endpoint } if *endpoint == key => {
                    blocked_until = *at + Duration::from_secs(1 << failures.min(5));
                    failures += 1;
                }
                RouteEvent::FirstToken { request } if self.sent_to(*request) == Some(key) => {
                    failures = 0;
                }
                _ => {}
            }
        }
        digest.up
            && !digest.draining
            && digest.models.iter().any(|name| &**name == model)
            && now.since(at) < EXPIRED_DIGEST_AGE
            && now >= blocked_until
    }

    /// Returns the number of requests at the endpoint.
    ///
    /// This is the number in its newest digest, minus this entry's requests that have ended since,
    /// plus this entry's requests that the digest does not include.
    pub fn load(&self, catalog: &ServiceCatalog, key: EndpointKey, own: &str) -> u32 {
        let digest = self.digest(&catalog.endpoints[key].name);
        let covered = digest.map_or(0, |(_, _, digest)| {
            let own = digest.seen.iter().find(|progress| &*progress.entry.name == own);
            own.map_or(0, |progress| progress.ordinal)
        });
        let digest_index = digest.map_or(0, |(index, _, _)| index);
        let counted =
            digest.map_or(0, |(_, _, digest)| digest.running + digest.waiting.iter().sum::<u32>());
        let (mut ordinal, mut unseen, mut ended) = (0, 0, 0);
        for (_, event) in &self.history {
            let RouteEvent::Sent { request, endpoint, .. } = event else { continue };
            if *endpoint != key {
                continue;
            }
            ordinal += 1;
            let end = self.history.iter().position(|(_, event)| {
                matches!(event, RouteEvent::Ended { request: ended, .. } if ended == request)
            });
            match end {
                None if ordinal > covered => unseen += 1,
                Some(end) if ordinal <= covered && end > digest_index => ended += 1,
                _ => {}
            }
        }
        counted.saturating_sub(ended) + unseen
    }

    /// Reports whether any call failed within the last `span`.
    pub fn failed_within(&self, now: TimePoint, span: Duration) -> bool {
        self.history.iter().any(|(at, event)| {
            matches!(event, RouteEvent::Unreachable { .. }) && now.since(*at) < span
        })
    }

    fn sent_to(&self, id: RequestId) -> Option<EndpointKey> {
        self.history.iter().find_map(|(_, event)| match event {
            RouteEvent::Sent { request, endpoint, .. } if *request == id => Some(*endpoint),
            _ => None,
        })
    }
}
