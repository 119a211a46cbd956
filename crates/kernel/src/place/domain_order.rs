//! An order of endpoints that alternates between the failure domains.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{ids::EndpointKey, place::endpoint::EndpointState};

/// Orders the endpoints of `pool` round-robin over the failure domains.
///
/// The first endpoint of each domain comes first, then the second of each domain, and so on.
/// Within a domain, and among endpoints of the same round, the order is by name hash.
pub(super) fn interleave_domains(
    endpoints: &SlotMap<EndpointKey, EndpointState>,
    pool: &[EndpointKey],
) -> Vec<EndpointKey> {
    let mut by_hash = pool.to_vec();
    by_hash.sort_unstable_by_key(|key| endpoints[*key].hash);
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let mut order: Vec<(usize, u64, EndpointKey)> = by_hash
        .into_iter()
        .map(|key| {
            let state = &endpoints[key];
            let round = seen.entry(&state.spec.domain).or_default();
            *round += 1;
            (*round, state.hash, key)
        })
        .collect();
    order.sort_unstable_by_key(|row| (row.0, row.1));
    order.into_iter().map(|(_, _, key)| key).collect()
}
