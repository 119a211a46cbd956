//! The control state of one process, shared by the tasks of the control thread.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    control::{ConfirmationClock, ConfirmationLimits, PeerFreshness, ReplayOutcome},
    ids::{FencingNumber, ProcessId},
    record::{ConfigRecord, ConfigSnapshot, KeyWithdrawn},
    route::EndpointDigest,
    scale::FleetStatus,
    time::TimePoint,
};
use pimentorock_platform::{
    operator_wire::{LeaseStatus, StatusAnswer},
    wire::HostList,
};
use serde_json::Value;
use tokio::sync::Notify;

use crate::{
    clock::ProcessClock,
    control::{
        ControlHandles, ControlIdentity, PeerFollowUp, PeerTable,
        config_state::{self, ConfigState},
        fleet::{self, FleetSnapshot},
        status,
    },
    entry::entry_report::RouterUpdate,
    logs::part,
    peer::{ByteCount, PeerReport},
    state::{DatedHostList, HeldAnswer, StateReplica},
    view::{ControlView, ViewCell},
};

/// Holds the control state of one process; only the control thread locks it.
#[derive(Debug)]
pub(crate) struct ControlCore {
    clock: ProcessClock,
    identity: ControlIdentity,
    views: ViewCell,
    handles: ControlHandles,
    closing: AtomicBool,
    change: Notify,
    inner: Mutex<ControlInner>,
}

#[derive(Debug)]
struct ControlInner {
    config: ConfigState,
    confirmation: ConfirmationClock,
    peers: PeerTable,
    /// The last host list that was read.
    host_list: Option<DatedHostList>,
    /// Send time of the first successful read since the `config` stream became readable again.
    log_up_since: TimePoint,
    log_reachable: bool,
}

impl ControlCore {
    /// Returns the state of a process that has read no configuration and heard no peer.
    pub(crate) fn new(
        clock: ProcessClock,
        identity: ControlIdentity,
        views: ViewCell,
        handles: ControlHandles,
    ) -> ControlCore {
        let limits = ConfirmationLimits::default();
        let inner = ControlInner {
            config: ConfigState::new(&identity.process.name),
            confirmation: ConfirmationClock::new(limits, &identity.domain, clock.now()),
            peers: PeerTable::new(),
            host_list: None,
            log_up_since: TimePoint::ZERO,
            log_reachable: false,
        };
        let change = Notify::new();
        let closing = AtomicBool::new(false);
        ControlCore { clock, identity, views, handles, closing, change, inner: Mutex::new(inner) }
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the name and the addresses of this process.
    pub(crate) fn identity(&self) -> &ControlIdentity {
        &self.identity
    }

    /// Returns the counter of bytes sent to and received from peers.
    pub(crate) fn peer_bytes(&self) -> &ByteCount {
        &self.handles.peer_bytes
    }

    /// Returns this process's replica of the `state` stream.
    pub(crate) fn replica(&self) -> &StateReplica {
        &self.handles.replica
    }

    /// Returns a shared handle to this process's replica of the `state` stream.
    pub(crate) fn shared_replica(&self) -> Arc<StateReplica> {
        Arc::clone(&self.handles.replica)
    }

    /// Returns the cached answer to the request that holds the claim `key`.
    pub(crate) fn held_answer(&self, key: &str) -> Option<HeldAnswer> {
        self.handles.answers.get(key)
    }

    /// Begins a planned stop: the process settles its counts, claims and lease in the log.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.handles.replica.resign();
    }

    /// Reports whether a planned stop has begun.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Reports whether the given run of a process is alive; this process is always alive.
    pub(crate) fn is_alive(&self, process: &ProcessId) -> bool {
        *process == self.identity.process || self.views.load().is_alive(process)
    }

    /// Returns the length of a usage window.
    pub(crate) fn usage_window(&self) -> Duration {
        self.lock().config.catalog.usage_window
    }

    /// Returns the rank of this process, by name, among the live candidates for the lease.
    pub(crate) fn lease_rank(&self) -> u32 {
        let inner = self.lock();
        let now = self.clock.now();
        let own = &*self.identity.process.name;
        inner.peers.entries(now).filter(|name| *name < own).count() as u32
    }

    /// Sets the number of other processes on the host list.
    pub(crate) fn set_listed_peers(&self, listed: usize) {
        self.lock().peers.set_listed_peers(listed);
    }

    /// Stores the host list requested at `sent` and uses it as evidence about the lease holder.
    pub(crate) fn note_host_list(&self, sent: TimePoint, list: &HostList) {
        let hosts = {
            let mut inner = self.lock();
            inner.host_list = Some((sent, list.clone()));
            inner.peers.hosts().clone()
        };
        let listed = |process: &ProcessId| {
            // The host of a process that never reported is unknown, so it counts as listed.
            let Some(host) = hosts.get(&process.name) else { return true };
            list.hosts.iter().any(|entry| entry.host == *host)
        };
        self.handles.replica.note_host_list(sent, listed);
    }

    /// Drains an endpoint that this process serves and reports whether it serves one named `name`.
    ///
    /// `retire` is true if the platform will stop the endpoint afterwards.
    pub(crate) async fn drain_endpoint(&self, name: &str, retire: bool) -> bool {
        let agent = self.handles.agent.as_ref();
        let Some(endpoint) = agent.and_then(|agent| agent.endpoints.get(name)) else {
            return false;
        };
        if retire {
            endpoint.driver.retire().await;
        } else {
            endpoint.driver.drain().await;
        }
        true
    }

    /// Returns the last host list and the time at which it was requested.
    pub(crate) fn host_list(&self) -> Option<DatedHostList> {
        self.lock().host_list.clone()
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Arc<ServiceCatalog> {
        Arc::clone(&self.lock().config.catalog)
    }

    /// Returns the peer address of the agent that serves `endpoint`.
    pub(crate) fn agent_address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.lock().peers.agent_address(endpoint)
    }

    /// Returns a stopped endpoint in the failure domain `domain` that offers `model`.
    pub(crate) fn stopped_endpoint(&self, model: &str, domain: &str) -> Option<Box<str>> {
        fleet::stopped_endpoint(&self.catalog(), &self.fleet_snapshot(), model, domain)
    }

    /// Returns the state of all engines and the demand for all models.
    pub(crate) fn fleet_status(&self) -> FleetStatus {
        fleet::status(&self.catalog(), &self.fleet_snapshot())
    }

    fn fleet_snapshot(&self) -> FleetSnapshot {
        let orders = self.handles.replica.pending_effects();
        let inner = self.lock();
        let reports = inner.peers.alive(self.clock.now());
        FleetSnapshot {
            digests: reports.flat_map(|report| report.endpoints.iter().cloned()).collect(),
            orders,
            hosts: inner.host_list.as_ref().map(|(_, list)| list.clone()).unwrap_or_default(),
        }
    }

    /// Waits until a key was withdrawn, which peers should hear of at once.
    pub(crate) async fn changed(&self) {
        self.change.notified().await;
    }

    /// Returns the offset of the `config` stream that has to be read next.
    pub(crate) fn next_offset(&self) -> u64 {
        self.lock().config.replay.next_offset()
    }

    /// Applies one record of the `config` stream.
    pub(crate) fn apply(&self, offset: u64, record: &ConfigRecord) {
        let mut inner = self.lock();
        let outcome = inner.config.replay.apply(offset, record);
        config_state::log_outcome(offset, &outcome);
        if matches!(outcome, ReplayOutcome::KeyWithdrawn { .. }) {
            self.change.notify_waiters();
        }
        self.publish(&mut inner);
    }

    /// Skips the record at `offset` of the `config` stream, which cannot be decoded.
    pub(crate) fn skip(&self, offset: u64) {
        self.lock().config.replay.skip(offset);
    }

    /// Records that a call sent at `sent` read the `config` stream to its end.
    pub(crate) fn record_log_read(&self, sent: TimePoint) {
        let mut inner = self.lock();
        inner.confirmation.log_read(sent);
        if !inner.log_reachable {
            inner.log_reachable = true;
            inner.log_up_since = sent;
            log::info!(target: part::CONTROL, "The config stream was read to its end.");
        }
        self.publish(&mut inner);
    }

    /// Records that the `config` stream could not be read.
    pub(crate) fn record_log_failure(&self, error: &dyn std::fmt::Display) {
        let mut inner = self.lock();
        if inner.log_reachable {
            log::warn!(target: part::CONTROL, "The config stream could not be read: {error}.");
        }
        inner.log_reachable = false;
        self.publish(&mut inner);
    }

    /// Applies an operator's withdrawal of a key.
    pub(crate) fn withdraw(&self, withdrawn: KeyWithdrawn) {
        let mut inner = self.lock();
        log::info!(target: part::CONTROL, "Key {} is withdrawn.", config_state::short(&withdrawn.hash));
        inner.config.replay.keys_mut().withdraw(withdrawn, self.clock.now());
        self.publish(&mut inner);
        self.change.notify_waiters();
    }

    /// Merges the withdrawals that a peer knows.
    pub(crate) fn merge_withdrawals(&self, withdrawn: &[KeyWithdrawn]) {
        let mut inner = self.lock();
        let fresh = inner.config.replay.keys_mut().merge(withdrawn, self.clock.now());
        if fresh.is_empty() {
            return;
        }
        for hash in &fresh {
            log::info!(target: part::CONTROL, "A peer reports that key {} is withdrawn.", config_state::short(hash));
        }
        self.publish(&mut inner);
        self.change.notify_waiters();
    }

    /// Returns all withdrawals that this process knows.
    pub(crate) fn withdrawals(&self) -> Vec<KeyWithdrawn> {
        self.lock().config.replay.keys().withdrawals_since(0)
    }

    /// Returns withdrawals that this process should append to the log now.
    pub(crate) fn due_appends(&self) -> Vec<KeyWithdrawn> {
        let inner = self.lock();
        if !inner.log_reachable {
            return Vec::new();
        }
        inner.config.replay.keys().due_appends(self.clock.now(), inner.log_up_since)
    }

    /// Returns the configuration as JSON if its replay is ahead of `next_offset`.
    pub(crate) fn configuration_above(&self, next_offset: u64) -> Option<Box<str>> {
        let inner = self.lock();
        if inner.config.replay.next_offset() <= next_offset {
            return None;
        }
        serde_json::to_string(&inner.config.replay.snapshot()).ok().map(String::into_boxed_str)
    }

    /// Restores a peer's configuration, given as JSON, unless it is older than this process's.
    pub(crate) fn restore_peer_configuration(&self, text: &str) {
        let snapshot: ConfigSnapshot = match serde_json::from_str(text) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!(target: part::CONTROL, "A peer's configuration could not be parsed: {error}.");
                return;
            }
        };
        self.restore_configuration(&snapshot, "a peer");
    }

    /// Restores a configuration from `origin` unless it is older than this process's.
    pub(crate) fn restore_configuration(&self, snapshot: &ConfigSnapshot, origin: &str) {
        let mut inner = self.lock();
        if let ReplayOutcome::Restored { revision } = inner.config.replay.restore(snapshot) {
            inner.config.gap = false;
            log::info!(target: part::CONTROL, "Configuration {revision} was restored from {origin}.");
        }
        self.publish(&mut inner);
    }

    /// Returns a snapshot of the configuration with its keys.
    pub(crate) fn config_snapshot(&self) -> ConfigSnapshot {
        self.lock().config.replay.snapshot()
    }

    /// Records that the log has dropped records that no snapshot covers.
    pub(crate) fn note_gap(&self) {
        self.lock().config.gap = true;
    }

    /// Returns the names of the live entries, including this process.
    pub(crate) fn live_entries(&self) -> Vec<Box<str>> {
        let inner = self.lock();
        let now = self.clock.now();
        let own = std::iter::once(self.identity.process.name.clone());
        inner.peers.entries(now).map(Into::into).chain(own).collect()
    }

    /// Returns the report of this process to its peers.
    pub(crate) fn report(&self) -> PeerReport {
        let inner = self.lock();
        let now = self.clock.now();
        PeerReport {
            process: self.identity.process.clone(),
            role: self.identity.role.into(),
            listen: self.identity.listen.to_string().into(),
            endpoints: self.handles.agent.as_ref().map(|agent| agent.digests()).unwrap_or_default(),
            host: self.identity.host.clone(),
            usage_run: self.handles.replica.counter.as_ref().map(|counter| counter.run()),
            entry_news: Option::clone(&self.handles.entry_report.load()),
            next_offset: inner.config.replay.next_offset(),
            revision: inner.config.replay.revision(),
            withdrawals: inner.config.replay.keys().digest(),
            vouch: PeerFreshness {
                domain: self.identity.domain.clone(),
                log_age: inner.confirmation.log_age(now),
                reach: inner.peers.reach(now),
            },
        }
    }

    /// Records a peer's report, requested at `sent`, and returns what to ask the peer next.
    pub(crate) fn record_peer_report(
        &self,
        address: SocketAddr,
        sent: TimePoint,
        report: PeerReport,
    ) -> PeerFollowUp {
        let mut inner = self.lock();
        inner.confirmation.peer_heard(sent, &report.vouch);
        let peer_is_ahead = report.next_offset > inner.config.replay.next_offset();
        let follow_up = PeerFollowUp {
            withdrawals: report.withdrawals != inner.config.replay.keys().digest(),
            configuration_above: (peer_is_ahead && (inner.config.gap || !inner.log_reachable))
                .then(|| inner.config.replay.next_offset()),
            lease_answer: self.lease_to_confirm(&report),
        };
        self.send_digests(&report.endpoints);
        if let Some(entry_report) = &report.entry_news {
            let _ = self.handles.router.send(RouterUpdate::Entry(entry_report.clone()));
        }
        let change = inner.peers.record_report(self.clock.now(), address, report);
        self.record_ended_runs(change.ended_run);
        if change.view_changed {
            self.publish(&mut inner);
        }
        follow_up
    }

    /// Records that the peer at `address` did not answer.
    pub(crate) fn record_peer_failure(&self, address: SocketAddr) {
        let mut inner = self.lock();
        let ended_runs = inner.peers.record_failure(self.clock.now(), address);
        self.record_ended_runs(ended_runs);
        self.publish(&mut inner);
    }

    /// Publishes a new view, since liveness of peers and confirmation of keys depend on time.
    pub(crate) fn tick(&self) {
        self.publish(&mut self.lock());
    }

    /// Returns the revision in force and its settings tree.
    pub(crate) fn settings(&self) -> (u64, Value) {
        let inner = self.lock();
        (inner.config.replay.revision(), inner.config.replay.tree().clone())
    }

    /// Returns the answer to an operator's status request.
    pub(crate) fn status(&self) -> StatusAnswer {
        let inner = self.lock();
        let now = self.clock.now();
        let own = self.handles.agent.as_ref().map(|agent| agent.digests()).unwrap_or_default();
        let endpoints = status::endpoints(&own, inner.peers.digests(), &inner.config.catalog);
        StatusAnswer {
            process: self.identity.process.clone(),
            role: self.identity.role.into(),
            domain: self.identity.domain.clone(),
            revision: inner.config.replay.revision(),
            endpoints,
            members: inner.peers.members(now),
            lease: self.lease_status(),
        }
    }

    fn lease_status(&self) -> Option<LeaseStatus> {
        let lease = self.handles.replica.lease()?;
        Some(LeaseStatus { holder: lease.holder?.name, fencing: lease.fencing.0 })
    }

    /// Reports whether the process has a configuration and may accept keys.
    pub(crate) fn is_ready(&self) -> bool {
        let inner = self.lock();
        inner.config.replay.next_offset() > 0 && inner.confirmation.may_accept(self.clock.now())
    }

    /// Returns the lease holder to ask the peer about, if the peer is a run of the same process.
    fn lease_to_confirm(&self, report: &PeerReport) -> Option<(ProcessId, FencingNumber)> {
        let replica = &self.handles.replica;
        if !replica.is_candidate() {
            return None;
        }
        let lease = replica.lease()?;
        let holder = lease.holder?;
        let is_holder_name = holder.name == report.process.name && holder != self.identity.process;
        is_holder_name.then_some((holder, lease.fencing))
    }

    /// Records that these runs of agents no longer count usage.
    fn record_ended_runs(&self, runs: impl IntoIterator<Item = ProcessId>) {
        let Some(backup) = &self.handles.replica.backup else { return };
        for run in runs {
            log::info!(target: part::USAGE, "Run {run} of an agent has ended.");
            backup.agent_lost(&run);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControlInner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn send_digests<'a>(&self, digests: impl IntoIterator<Item = &'a EndpointDigest>) {
        for digest in digests {
            // Only an entry reads digests.
            let _ = self.handles.router.send(RouterUpdate::Digest(digest.clone()));
        }
    }

    fn publish(&self, inner: &mut ControlInner) {
        let now = self.clock.now();
        if inner.config.refresh() {
            // A digest that arrived before the settings named its endpoint takes effect now.
            self.send_digests(inner.peers.digests());
        }
        self.views.store(ControlView {
            catalog: Arc::clone(&inner.config.catalog),
            keys: Arc::clone(&inner.config.keys),
            agents: Arc::new(inner.peers.agents(now)),
            processes: Arc::new(inner.peers.processes(now)),
            log_up: inner.log_reachable,
            keys_confirmed: inner.confirmation.may_accept(now),
        });
    }
}
