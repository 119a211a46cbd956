//! Uniform random routing, the baseline for comparison with other routers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    catalog::ServiceCatalog, ids::EndpointKey, reason::DecisionReason, request::RequestSpec,
    route::RouteChoice,
};

/// Delay before the caller of a refused request should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses uniformly at random among the endpoints that offer the model.
#[derive(Debug)]
pub struct RandomRouter {
    random: ChaCha8Rng,
}

impl RandomRouter {
    /// Returns a router with a random generator that is initialised from `seed`.
    pub fn new(seed: u64) -> RandomRouter {
        RandomRouter { random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Chooses an endpoint for `request` that is not in `excluded`.
    pub fn choose(
        &mut self,
        request: &RequestSpec,
        catalog: &ServiceCatalog,
        excluded: &[EndpointKey],
    ) -> RouteChoice {
        let model = &catalog.models[request.model].name;
        let mut candidates: Vec<EndpointKey> =
            catalog.endpoints_of(model).filter(|key| !excluded.contains(key)).collect();
        candidates.sort_unstable();
        if candidates.is_empty() {
            let reason = DecisionReason::NoEndpoint;
            return RouteChoice::Refuse { reason, retry_after: RETRY_AFTER };
        }
        let endpoint = candidates[self.random.random_range(0..candidates.len())];
        RouteChoice::Endpoint { endpoint, reason: DecisionReason::SlotFree }
    }
}
