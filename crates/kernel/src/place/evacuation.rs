//! Endpoints in failure domains that get no requests by order of the operators.

use std::collections::BTreeSet;

use crate::{ids::EndpointKey, place::PlacementTable, time::TimePoint};

impl PlacementTable {
    /// Sets the failure domains whose endpoints get no requests, and returns the number of these
    /// endpoints.
    ///
    /// The endpoints of a domain that was taken back may have lost their caches and started again
    /// without a word of it so far, so they are presumed to warm up.
    pub fn set_evacuated(&mut self, now: TimePoint, domains: &BTreeSet<Box<str>>) -> usize {
        self.evacuated = domains.clone();
        let mut returned: Vec<EndpointKey> = Vec::new();
        let mut count = 0;
        for (key, state) in &mut self.endpoints {
            let was_evacuated = state.evacuated;
            state.evacuated = domains.contains(&state.spec.domain);
            count += usize::from(state.evacuated);
            if was_evacuated && !state.evacuated {
                state.forget_parts();
                returned.push(key);
            }
        }
        for key in returned {
            self.presume_started(now, key);
            self.begin_ramp(now, key);
        }
        self.pools.mark_stale();
        count
    }

    /// Reports whether endpoints of `service` get no requests because their failure domains are
    /// evacuated.
    pub(super) fn is_evacuated(&self, service: &str) -> bool {
        !self.evacuated.is_empty()
            && self
                .endpoints
                .values()
                .any(|state| state.evacuated && *state.spec.service == *service)
    }
}
