//! Failure domains that operators order to be evacuated: orders from the store and other entries.

use std::{collections::BTreeSet, sync::MutexGuard};

use pimentorock_kernel::{
    log_position::LogPosition,
    place::{EvacuationOrders, EvacuationUpdate},
};

use crate::{clock, logs::part, state::GatewayState, store::RecordBatch};

impl GatewayState {
    /// Locks the orders to evacuate failure domains. A holder of this lock may not lock the table of
    /// endpoints.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, EvacuationOrders> {
        self.evacuations.lock()
    }

    /// Applies the orders in a read of the operators' records; `is_list` tells whether the read
    /// returned the newest record of each key.
    pub(crate) fn apply_evacuations(&self, batch: &RecordBatch, is_list: bool) {
        let orders = batch.records.iter().filter_map(|record| {
            let domain = (self.store.evacuated_domain)(&record.key)?;
            Some((record.offset, domain, record.value.is_some()))
        });
        let _applying = self.applying();
        let before = self.evacuations().domains().clone();
        if is_list {
            let end = LogPosition { era: batch.era, offset: batch.end };
            let ordered = orders.filter(|(_, _, is_ordered)| *is_ordered);
            let domains = ordered.map(|(_, domain, _)| domain.into()).collect();
            self.evacuations().apply_list(clock::now(), end, domains);
        } else {
            for (offset, domain, is_ordered) in orders {
                let position = LogPosition { era: batch.era, offset };
                self.evacuations().apply_record(position, domain, is_ordered);
            }
        }
        self.put_evacuations_in_force(&before, "store");
    }

    /// Takes over the orders that another entry knows.
    pub(crate) fn adopt_evacuations(&self, update: EvacuationUpdate) {
        let _applying = self.applying();
        let before = self.evacuations().domains().clone();
        self.evacuations().adopt(update);
        self.put_evacuations_in_force(&before, "peer");
    }

    /// Ends the orders that a store which came back from an older copy has lost.
    pub(crate) fn expire_evacuations(&self) {
        let _applying = self.applying();
        let before = self.evacuations().domains().clone();
        self.evacuations().expire(clock::now());
        self.put_evacuations_in_force(&before, "expired");
    }

    /// Applies the orders to the endpoints if they differ from those `before`.
    fn put_evacuations_in_force(&self, before: &BTreeSet<Box<str>>, source: &'static str) {
        let domains = self.evacuations().domains().clone();
        if domains == *before {
            return;
        }
        let endpoints = self.table().set_evacuated(clock::now(), &domains);
        // Streams begin at the versions of the endpoints that take requests.
        self.origin_calls.want_write();
        self.metrics.note_evacuated(domains.len());
        for domain in domains.difference(before) {
            let known = self.directory().entries().any(|entry| entry.domain == *domain);
            log::info!(
                target: part::FOLLOW,
                domain = &**domain, source = source, endpoints = endpoints, known = known;
                "failure domain evacuated"
            );
        }
        for domain in before.difference(&domains) {
            log::info!(
                target: part::FOLLOW, domain = &**domain, source = source;
                "evacuation of failure domain taken back"
            );
        }
    }
}
