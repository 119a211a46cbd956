//! The endpoints of each service that accept new work, and their partition among classes.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;

use crate::{
    ids::EndpointKey,
    place::{
        PlacedRequest, domain_order::interleave_domains, endpoint::EndpointState,
        partition::EndpointPartition,
    },
    time::TimePoint,
};

/// Time between two checks whether the partition still fits the work.
const REPARTITION_PERIOD: Duration = Duration::from_secs(1);

/// The pools of all services, built anew when endpoints or the work have changed.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointPools {
    /// Endpoints of each service that accept new work, as of the last rebuild.
    pools: HashMap<Box<str>, Vec<EndpointKey>>,
    /// Partitions of the services that have strict classes.
    partitions: HashMap<Box<str>, EndpointPartition>,
    /// Time of the last check whether the partitions still fit the work.
    checked_at: TimePoint,
    is_stale: bool,
}

impl EndpointPools {
    /// Marks the pools as stale, because the endpoints have changed.
    pub(super) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Returns the endpoints of `service`, as of the last call of
    /// [`refresh`](EndpointPools::refresh).
    pub(super) fn of(&self, service: &str) -> &[EndpointKey] {
        self.pools.get(service).map_or(&[][..], Vec::as_slice)
    }

    /// Sets the services whose endpoints are partitioned between strict and all other classes.
    pub(super) fn partition_services(&mut self, services: &[Box<str>]) {
        self.partitions.retain(|service, _| services.contains(service));
        for service in services {
            self.partitions.entry(service.clone()).or_insert_with(EndpointPartition::new);
        }
        self.is_stale = true;
    }

    /// Returns for each partitioned service the number of endpoints of its strict classes.
    pub(super) fn strict_counts(&self) -> Vec<(Box<str>, u32)> {
        let counts = self.partitions.iter();
        counts.map(|(service, partition)| (service.clone(), partition.count() as u32)).collect()
    }

    /// Applies the hub's counts in place of this entry's own.
    pub(super) fn take_strict_counts(&mut self, now: TimePoint, counts: &[(Box<str>, u32)]) {
        for (service, count) in counts {
            if let Some(partition) = self.partitions.get_mut(service) {
                self.is_stale |= partition.take_count(now, *count as usize);
            }
        }
    }

    /// Adds the work of a request to the partition of its service, if the service has one.
    pub(super) fn note_work(&mut self, now: TimePoint, request: &PlacedRequest, prompt: f64) {
        let Some(partition) = self.partitions.get_mut(&request.service) else { return };
        partition.note(now, request.strict, prompt, request.output_tokens);
        if now.since(self.checked_at) >= REPARTITION_PERIOD {
            self.checked_at = now;
            self.is_stale = true;
        }
    }

    /// Rebuilds the pools if they are stale, and decides which endpoints are reserved for strict
    /// classes.
    ///
    /// The reserved endpoints are distributed over the failure domains. Entries that know the same
    /// endpoints order them the same way.
    pub(super) fn refresh(&mut self, endpoints: &mut SlotMap<EndpointKey, EndpointState>) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        self.pools.clear();
        let takes_work = |state: &EndpointState| !state.spec.leaving && !state.evacuated;
        for (key, state) in endpoints.iter().filter(|(_, state)| takes_work(state)) {
            match self.pools.get_mut(&state.spec.service) {
                Some(pool) => pool.push(key),
                None => {
                    self.pools.insert(state.spec.service.clone(), vec![key]);
                }
            }
        }
        for (service, pool) in &self.pools {
            let partition = self.partitions.get_mut(service);
            let strict = partition.map_or(0, |partition| partition.strict_count(pool.len()));
            let order = interleave_domains(endpoints, pool);
            for (index, key) in order.into_iter().enumerate() {
                endpoints[key].strict = index < strict;
            }
        }
    }
}
