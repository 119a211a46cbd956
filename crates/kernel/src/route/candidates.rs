//! The search for the candidate endpoints of a routing decision.

use slotmap::SecondaryMap;

use crate::{
    catalog::ServiceCatalog,
    ids::EndpointKey,
    request::RequestSpec,
    route::{
        StragglerDetector,
        pool::ModelPool,
        view::{EndpointHealth, EndpointView},
    },
    time::TimePoint,
};

/// Number of endpoints that one decision compares (the power of two choices, Mitzenmacher 2001).
const COMPARED_ENDPOINTS: usize = 2;

/// Maximum number of probes of the hash ring before all endpoints of a model are examined.
const MAX_PROBES: u64 = 24;

/// Index of the prefix block whose hash selects the endpoint that caches the prompt; for a shorter
/// prefix the last block is used.
const AFFINITY_BLOCK: usize = 8;

/// Number of the probe that uses the hash of the prefix instead of the ring key of the request.
const AFFINITY_PROBE: u64 = 1;

/// The result of a candidate search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Candidates {
    /// One or two candidates.
    Found(Vec<EndpointKey>),
    /// No probed endpoint can accept a request that has never completed, but one of them failed
    /// recently and its crash report may still arrive.
    AwaitCrashReport,
    /// No endpoint can accept the request.
    Empty,
}

/// The suitability of an endpoint for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fitness {
    Preferred,
    /// Used only if no endpoint is preferred: the digests are stale, or the endpoint is ejected or
    /// was recently reinstated.
    Fallback,
    Unavailable,
}

/// A search for the endpoints to which one request may be sent.
///
/// The probe order depends only on the request and the catalog, except that endpoints that have
/// been unavailable for a long time are skipped. A request that has never completed is sent to the
/// first pair of endpoints in this order as long as one of them can accept it. All entries use the
/// same pair, which limits the number of endpoints that the request can crash before the entries
/// learn of the crashes.
pub(crate) struct CandidateSearch<'a> {
    pub(crate) now: TimePoint,
    /// Time at which the router first received a catalog.
    pub(crate) first_catalog_at: TimePoint,
    pub(crate) request: &'a RequestSpec,
    pub(crate) catalog: &'a ServiceCatalog,
    pub(crate) excluded: &'a [EndpointKey],
    pub(crate) pool: &'a ModelPool,
    pub(crate) views: &'a SecondaryMap<EndpointKey, EndpointView>,
    pub(crate) stragglers: &'a StragglerDetector,
}

impl CandidateSearch<'_> {
    /// Returns the endpoints to compare.
    ///
    /// `ring_key` selects the starting points on the hash ring. The candidates of a
    /// `never_completed` request all come from one pair of the probe order. `random_number` is a
    /// random number from 0 to 1 that decides whether a recently reinstated endpoint is preferred.
    pub(crate) fn candidates(
        &self,
        ring_key: u64,
        never_completed: bool,
        random_number: f64,
    ) -> Candidates {
        let mut probed = Vec::with_capacity(2 * COMPARED_ENDPOINTS);
        let mut found = Vec::with_capacity(COMPARED_ENDPOINTS);
        let mut fallback = Vec::new();
        for probe in 0..MAX_PROBES {
            let Some(endpoint) = self.probe(ring_key, probe, &probed) else { continue };
            probed.push(endpoint);
            match self.fitness(endpoint, random_number) {
                Fitness::Preferred => found.push(endpoint),
                Fitness::Fallback => fallback.push(endpoint),
                Fitness::Unavailable => {}
            }
            let pair_ends = never_completed && probed.len().is_multiple_of(COMPARED_ENDPOINTS);
            if found.len() == COMPARED_ENDPOINTS || (pair_ends && !found.is_empty()) {
                return Candidates::Found(found);
            }
            if pair_ends && !fallback.is_empty() {
                return Candidates::Found(fallback);
            }
            if pair_ends && probed.iter().any(|&key| self.awaits_crash_report(key)) {
                return Candidates::AwaitCrashReport;
            }
        }
        if found.is_empty() {
            found = fallback;
        }
        if found.is_empty() {
            found = self.scan();
        }
        found.truncate(COMPARED_ENDPOINTS);
        if found.is_empty() { Candidates::Empty } else { Candidates::Found(found) }
    }

    /// Returns the only endpoint at which a suspect may run, if it can accept requests now.
    ///
    /// This is the first endpoint in the probe order that is not in `crashed`. If no other endpoint
    /// is left, it is the first endpoint in the order.
    pub(crate) fn isolated(&self, ring_key: u64, crashed: &[EndpointKey]) -> Option<EndpointKey> {
        let members = self.pool.members();
        let has_alternative = members
            .iter()
            .any(|member| !crashed.contains(member) && !self.long_unavailable(*member));
        let mut probed = Vec::new();
        for probe in 0..MAX_PROBES * COMPARED_ENDPOINTS as u64 {
            let Some(endpoint) = self.probe(ring_key, probe, &probed) else { continue };
            probed.push(endpoint);
            if !has_alternative || !crashed.contains(&endpoint) {
                let usable = self.fitness(endpoint, 0.0) != Fitness::Unavailable;
                return usable.then_some(endpoint);
            }
        }
        None
    }

    /// Returns the endpoint of probe number `probe` unless it is in `probed` or has been
    /// unavailable for a long time.
    fn probe(&self, ring_key: u64, probe: u64, probed: &[EndpointKey]) -> Option<EndpointKey> {
        let prefix = &self.request.prefix;
        let affinity = prefix.get(AFFINITY_BLOCK.min(prefix.len().saturating_sub(1)));
        let probe_key = match affinity {
            Some(&block) if probe == AFFINITY_PROBE => block,
            _ => ring_key,
        };
        let endpoint = self.pool.probe(probe_key, probe)?;
        (!probed.contains(&endpoint) && !self.long_unavailable(endpoint)).then_some(endpoint)
    }

    /// Returns up to two endpoints that can accept the request, from a scan of the whole pool.
    fn scan(&self) -> Vec<EndpointKey> {
        let members = self.pool.members().iter().copied();
        members
            .filter(|&key| self.fitness(key, 0.0) != Fitness::Unavailable)
            .take(COMPARED_ENDPOINTS)
            .collect()
    }

    fn fitness(&self, endpoint: EndpointKey, random_number: f64) -> Fitness {
        let Some(view) = self.views.get(endpoint) else { return Fitness::Unavailable };
        let spec = &self.catalog.endpoints[endpoint];
        let health = view.health(self.now, self.request.model, spec);
        let held_back =
            self.stragglers.share(self.now, endpoint) < random_number.max(f64::MIN_POSITIVE);
        match health {
            EndpointHealth::Unavailable => Fitness::Unavailable,
            _ if self.excluded.contains(&endpoint) => Fitness::Unavailable,
            EndpointHealth::Stale => Fitness::Fallback,
            EndpointHealth::Available if held_back => Fitness::Fallback,
            EndpointHealth::Available => Fitness::Preferred,
        }
    }

    fn awaits_crash_report(&self, endpoint: EndpointKey) -> bool {
        self.views.get(endpoint).is_some_and(|view| view.awaits_crash_report(self.now))
    }

    fn long_unavailable(&self, endpoint: EndpointKey) -> bool {
        match self.views.get(endpoint) {
            Some(view) => view.long_unavailable(self.now, self.first_catalog_at),
            None => EndpointView::default().long_unavailable(self.now, self.first_catalog_at),
        }
    }
}
