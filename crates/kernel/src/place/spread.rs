//! An order of endpoints that spreads them over the failure domains.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{ids::EndpointKey, place::endpoint::EndpointState};

/// Returns endpoints in an order in which the first of each failure domain come first, then the
/// second, and so on; within a domain by the hash of their names.
pub(super) fn spread(
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
            let turn = seen.entry(&state.spec.domain).or_default();
            *turn += 1;
            (*turn, state.hash, key)
        })
        .collect();
    order.sort_unstable_by_key(|row| (row.0, row.1));
    order.into_iter().map(|(_, _, key)| key).collect()
}
