//! Follows the endpoints that the store lists, through the store or other entries.

use std::{sync::MutexGuard, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    log_position::LogPosition,
    place::{
        CopyUpdate, DirectoryChange, EndpointCopy, EndpointDirectory, EndpointEntry,
        EndpointRecord, PlacedEndpoint,
    },
};

use crate::{
    clock,
    logs::part,
    state::GatewayState,
    store::{RecordBatch, StoreRecord, StoreTopic},
    topic_reader::topic_name,
};

impl RecordBatch {
    /// Returns the batch of a read of the newest record of each key as an update.
    pub(crate) fn into_list(self) -> CopyUpdate<Bytes> {
        let end = LogPosition { era: self.era, offset: self.end };
        CopyUpdate::from_list(end, self.records)
    }

    /// Returns the batch of a read from the offset `from` as an update.
    pub(crate) fn into_continuation(self, from: u64) -> CopyUpdate<Bytes> {
        CopyUpdate::from_log(LogPosition { era: self.era, offset: from }, self.records)
    }
}

impl GatewayState {
    /// Locks the directory of the endpoints that the store lists.
    pub(crate) fn directory(&self) -> DirectoryGuard<'_> {
        DirectoryGuard(self.endpoints())
    }

    /// Applies an update of the endpoints and returns whether this entry then has what the update
    /// describes; `source` is `store` or `peer`.
    ///
    /// A record that cannot be decoded counts as the removal of the endpoint.
    pub(crate) fn apply_endpoints(&self, update: CopyUpdate<Bytes>, source: &'static str) -> bool {
        let (now, end, records, is_list) =
            (clock::now(), update.end(), update.len(), update.is_list());
        let _applying = self.applying();
        let (before, applied) = {
            let mut endpoints = self.endpoints();
            let before = endpoints.position();
            let applied = endpoints.apply(now, update, |record| self.decode_endpoint(record));
            (before, applied)
        };
        let known = before.map_or(-1, |before| before.offset as i64);
        let Ok(changes) = applied else {
            log::warn!(
                target: part::FOLLOW,
                source = source, era = end.era, end = end.offset, known = known;
                "endpoint update does not continue the list"
            );
            self.metrics.note_endpoint_update(source, "gap");
            return false;
        };
        if is_list && before < Some(end) {
            log::info!(
                target: part::FOLLOW,
                source = source, era = end.era, end = end.offset, known = known,
                records = records, changes = changes.len();
                "endpoint list adopted"
            );
            self.metrics.note_endpoint_update(source, "list");
        }
        self.apply_changes(changes);
        true
    }

    /// Removes lapsed endpoints that did not register again in time.
    pub(crate) fn expire_endpoints(&self) {
        let _applying = self.applying();
        let gone = self.endpoints().expire(clock::now());
        self.apply_changes(gone);
    }
}

impl GatewayState {
    /// Applies changes of the endpoint directory to the placement table and the connection pool.
    pub(crate) fn apply_changes(&self, changes: Vec<DirectoryChange>) {
        if changes.is_empty() {
            return;
        }
        // The shares by which streams begin may change.
        self.origin_calls.want_write();
        // The endpoints of the first list have not just started.
        let is_known = !self.table().is_empty();
        for change in changes {
            match change {
                DirectoryChange::Put(name, endpoint) => self.put_endpoint(name, endpoint, is_known),
                DirectoryChange::Relisted(name, endpoint) => {
                    self.put_endpoint(name.clone(), endpoint, is_known);
                    self.check_listing(&name);
                }
                DirectoryChange::Lapsed(name) => {
                    log::info!(target: part::FOLLOW, endpoint = &*name; "endpoint lapsed");
                    self.table().mark_lapsed(&name);
                }
                DirectoryChange::Gone(name) => {
                    log::info!(target: part::FOLLOW, endpoint = &*name; "endpoint gone");
                    self.table().remove(&name);
                    self.pool.forget(&name);
                    self.run_doubts.forget(&name);
                }
                DirectoryChange::Outdated(name) => {
                    log::warn!(
                        target: part::FOLLOW, endpoint = &*name;
                        "endpoint record left out, it is older than the endpoint's leaving"
                    );
                    self.metrics.note_outdated_endpoint();
                }
            }
        }
        self.metrics.note_endpoints(self.directory().len());
    }

    /// Adds an endpoint to the placement table, or updates it; `is_known` is false for the endpoints of the first list.
    fn put_endpoint(&self, name: Box<str>, endpoint: EndpointEntry, is_known: bool) {
        log::info!(
            target: part::FOLLOW,
            endpoint = &*name, service = &*endpoint.service,
            version = &*endpoint.software, leaving = endpoint.leaving, warmup_ms = endpoint.warmup_ms;
            "endpoint listed"
        );
        let started_ms = endpoint.started_ms;
        let warmup = Duration::from_millis(endpoint.warmup_ms);
        self.pool.forget_other_runs(&name, started_ms);
        // Before a stream can begin there, so that it is shared.
        self.origins().note_listed(self.wall_ms(), &endpoint.service, &endpoint.software);
        self.note_replaced_instances(|instance| {
            let same = instance.name == name && instance.started_ms == started_ms;
            !same && (instance.name == name || instance.address == endpoint.address)
        });
        let now = clock::now();
        let mut table = self.table();
        let is_new_run = table.run_start(&name) != Some(started_ms);
        let key = table.put(PlacedEndpoint {
            name,
            service: endpoint.service,
            domain: endpoint.domain,
            software: endpoint.software,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
            started_ms,
        });
        table.note_warmup(now, key, warmup);
        if is_new_run && is_known {
            table.note_started(now, key);
        }
    }

    /// Decodes the record of an endpoint; `None` if it names none.
    fn decode_endpoint(&self, record: &StoreRecord) -> Option<EndpointRecord> {
        let mut endpoint = None;
        self.metrics.shield_record(topic_name(StoreTopic::Endpoints), &record.key, || {
            let decoded = (self.store.decode_endpoint)(record);
            let unreadable =
                |error: &_| self.note_undecodable(StoreTopic::Endpoints, record, error);
            endpoint = decoded.inspect_err(unreadable).ok();
        });
        endpoint
    }
}

/// A guard that locks the copy of the endpoints and dereferences to their directory.
pub(crate) struct DirectoryGuard<'a>(MutexGuard<'a, EndpointCopy<Bytes>>);

impl std::ops::Deref for DirectoryGuard<'_> {
    type Target = EndpointDirectory;

    fn deref(&self) -> &EndpointDirectory {
        self.0.directory()
    }
}
