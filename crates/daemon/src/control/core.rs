//! The control state of one process.

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
        ControlIdentity, ControlLinks, PeerTable, PeerWants,
        config_state::{self, ConfigState},
        fleet::{self, FleetNews},
        status,
    },
    entry::entry_report::RouterUpdate,
    logs::part,
    peer::{ByteCount, PeerReport},
    state::{DatedHostList, HeldAnswer, StateKeeper},
    view::{ControlView, ViewCell},
};

/// The control state of one process; only the control thread locks it.
#[derive(Debug)]
pub(crate) struct ControlCore {
    clock: ProcessClock,
    identity: ControlIdentity,
    views: ViewCell,
    links: ControlLinks,
    closing: AtomicBool,
    change: Notify,
    parts: Mutex<ControlParts>,
}

#[derive(Debug)]
struct ControlParts {
    config: ConfigState,
    confirmation: ConfirmationClock,
    peers: PeerTable,
    /// The last host list.
    host_list: Option<DatedHostList>,
    log_up_since: TimePoint,
    log_reachable: bool,
}

impl ControlCore {
    /// Returns the state of a process that has heard of nothing.
    pub(crate) fn new(
        clock: ProcessClock,
        identity: ControlIdentity,
        views: ViewCell,
        links: ControlLinks,
    ) -> ControlCore {
        let limits = ConfirmationLimits::default();
        let parts = ControlParts {
            config: ConfigState::new(&identity.process.name),
            confirmation: ConfirmationClock::new(limits, &identity.domain, clock.now()),
            peers: PeerTable::new(),
            host_list: None,
            log_up_since: TimePoint::ZERO,
            log_reachable: false,
        };
        let change = Notify::new();
        let closing = AtomicBool::new(false);
        ControlCore { clock, identity, views, links, closing, change, parts: Mutex::new(parts) }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns this process's identity.
    pub(crate) fn identity(&self) -> &ControlIdentity {
        &self.identity
    }

    /// Returns the count of bytes to and from peers.
    pub(crate) fn peer_bytes(&self) -> &ByteCount {
        &self.links.peer_bytes
    }

    /// Returns the state shared through the log.
    pub(crate) fn keeper(&self) -> &StateKeeper {
        &self.links.keeper
    }

    /// Returns the state shared through the log, to be kept.
    pub(crate) fn shared_keeper(&self) -> Arc<StateKeeper> {
        Arc::clone(&self.links.keeper)
    }

    /// Returns the answer kept under the key of a claim.
    pub(crate) fn held_answer(&self, key: &str) -> Option<HeldAnswer> {
        self.links.answers.get(key)
    }

    /// Begins a planned stop: what this process keeps is settled in the log.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.links.keeper.resign();
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Returns whether a process's run lives, this one included.
    pub(crate) fn lives(&self, process: &ProcessId) -> bool {
        *process == self.identity.process || self.views.load().lives(process)
    }

    /// Returns the length of a usage window.
    pub(crate) fn usage_window(&self) -> Duration {
        self.lock().config.catalog.usage_window
    }

    /// Returns this process's rank among the living candidates for the lease.
    pub(crate) fn lease_rank(&self) -> u32 {
        let parts = self.lock();
        let now = self.clock.now();
        let own = &*self.identity.process.name;
        parts.peers.entries(now).filter(|name| *name < own).count() as u32
    }

    /// Notes how many other processes the host list holds.
    pub(crate) fn note_listed(&self, listed: usize) {
        self.lock().peers.note_listed(listed);
    }

    /// Takes the host list asked for at `sent` as evidence about the lease's holder.
    pub(crate) fn note_hosts(&self, sent: TimePoint, list: &HostList) {
        let hosts = {
            let mut parts = self.lock();
            parts.host_list = Some((sent, list.clone()));
            parts.peers.hosts().clone()
        };
        let listed = |process: &ProcessId| {
            // Nothing is known of the host of a process that was never heard.
            let Some(host) = hosts.get(&process.name) else { return true };
            list.hosts.iter().any(|entry| entry.host == *host)
        };
        self.links.keeper.note_host_list(sent, listed);
    }

    /// Lets an endpoint beside this process take no new work; returns whether it is there.
    ///
    /// `retire` tells that the platform will stop it.
    pub(crate) async fn drain_endpoint(&self, name: &str, retire: bool) -> bool {
        let agent = self.links.agent.as_ref();
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

    /// Returns the last host list.
    pub(crate) fn host_list(&self) -> Option<DatedHostList> {
        self.lock().host_list.clone()
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Arc<ServiceCatalog> {
        Arc::clone(&self.lock().config.catalog)
    }

    /// Returns the address of the agent beside an endpoint.
    pub(crate) fn agent_of(&self, endpoint: &str) -> Option<SocketAddr> {
        self.lock().peers.agent_of(endpoint)
    }

    /// Returns an endpoint that offers `model` in a failure domain and is stopped.
    pub(crate) fn stopped_endpoint(&self, model: &str, domain: &str) -> Option<Box<str>> {
        fleet::stopped_endpoint(&self.catalog(), &self.fleet_news(), model, domain)
    }

    /// Returns the state of all endpoints and the demand for all models.
    pub(crate) fn fleet_status(&self) -> FleetStatus {
        fleet::status(&self.catalog(), &self.fleet_news())
    }

    fn fleet_news(&self) -> FleetNews {
        let orders = self.links.keeper.orders_in_effect();
        let parts = self.lock();
        let reports = parts.peers.alive(self.clock.now());
        FleetNews {
            digests: reports.flat_map(|report| report.endpoints.iter().cloned()).collect(),
            orders,
            hosts: parts.host_list.as_ref().map(|(_, list)| list.clone()).unwrap_or_default(),
        }
    }

    /// Waits until something happened that peers should hear of at once.
    pub(crate) async fn changed(&self) {
        self.change.notified().await;
    }

    /// Returns the offset from which the configuration must be read on.
    pub(crate) fn next_offset(&self) -> u64 {
        self.lock().config.replay.next_offset()
    }

    /// Applies one record of the `config` stream.
    pub(crate) fn apply(&self, offset: u64, record: &ConfigRecord) {
        let mut parts = self.lock();
        let outcome = parts.config.replay.apply(offset, record);
        config_state::log_outcome(offset, &outcome);
        if matches!(outcome, ReplayOutcome::KeyWithdrawn { .. }) {
            self.change.notify_waiters();
        }
        self.publish(&mut parts);
    }

    /// Passes over a record of the `config` stream that cannot be read.
    pub(crate) fn skip(&self, offset: u64) {
        self.lock().config.replay.skip(offset);
    }

    /// Notes that the log was read to its end by a call sent at `sent`.
    pub(crate) fn log_read(&self, sent: TimePoint) {
        let mut parts = self.lock();
        parts.confirmation.log_read(sent);
        if !parts.log_reachable {
            parts.log_reachable = true;
            parts.log_up_since = sent;
            log::info!(target: part::CONTROL, "The log is read to its end.");
        }
        self.publish(&mut parts);
    }

    /// Notes that the log could not be read.
    pub(crate) fn log_failed(&self, error: &dyn std::fmt::Display) {
        let mut parts = self.lock();
        if parts.log_reachable {
            log::warn!(target: part::CONTROL, "The log is not readable: {error}.");
        }
        parts.log_reachable = false;
        self.publish(&mut parts);
    }

    /// Takes an operator's withdrawal.
    pub(crate) fn withdraw(&self, withdrawn: KeyWithdrawn) {
        let mut parts = self.lock();
        log::info!(target: part::CONTROL, "Key {} is withdrawn.", config_state::short(&withdrawn.hash));
        parts.config.replay.keys_mut().withdraw(withdrawn, self.clock.now());
        self.publish(&mut parts);
        self.change.notify_waiters();
    }

    /// Takes a peer's withdrawals.
    pub(crate) fn merge_withdrawals(&self, withdrawn: &[KeyWithdrawn]) {
        let mut parts = self.lock();
        let fresh = parts.config.replay.keys_mut().merge(withdrawn, self.clock.now());
        if fresh.is_empty() {
            return;
        }
        for hash in &fresh {
            log::info!(target: part::CONTROL, "Key {} is withdrawn, says a peer.", config_state::short(hash));
        }
        self.publish(&mut parts);
        self.change.notify_waiters();
    }

    /// Returns all withdrawals known here.
    pub(crate) fn withdrawals(&self) -> Vec<KeyWithdrawn> {
        self.lock().config.replay.keys().withdrawals_since(0)
    }

    /// Returns withdrawals that this process should append to the log now.
    pub(crate) fn due_appends(&self) -> Vec<KeyWithdrawn> {
        let parts = self.lock();
        if !parts.log_reachable {
            return Vec::new();
        }
        parts.config.replay.keys().due_appends(self.clock.now(), parts.log_up_since)
    }

    /// Returns the configuration as JSON if it has come further than `next_offset`.
    pub(crate) fn configuration_above(&self, next_offset: u64) -> Option<Box<str>> {
        let parts = self.lock();
        if parts.config.replay.next_offset() <= next_offset {
            return None;
        }
        serde_json::to_string(&parts.config.replay.snapshot()).ok().map(String::into_boxed_str)
    }

    /// Takes a peer's configuration unless it is older.
    pub(crate) fn take_configuration(&self, text: &str) {
        let snapshot: ConfigSnapshot = match serde_json::from_str(text) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!(target: part::CONTROL, "A peer's configuration is damaged: {error}.");
                return;
            }
        };
        self.restore_configuration(&snapshot, "a peer");
    }

    /// Takes over a configuration from `origin` unless it is older.
    pub(crate) fn restore_configuration(&self, snapshot: &ConfigSnapshot, origin: &str) {
        let mut parts = self.lock();
        if let ReplayOutcome::Restored { revision } = parts.config.replay.restore(snapshot) {
            parts.config.gap = false;
            log::info!(target: part::CONTROL, "Configuration {revision} came from {origin}.");
        }
        self.publish(&mut parts);
    }

    /// Returns the configuration with keys, for a snapshot.
    pub(crate) fn config_snapshot(&self) -> ConfigSnapshot {
        self.lock().config.replay.snapshot()
    }

    /// Notes that records are missing which only a peer may have.
    pub(crate) fn note_gap(&self) {
        self.lock().config.gap = true;
    }

    /// Returns the names of the entries that live, this process's own among them.
    pub(crate) fn live_entries(&self) -> Vec<Box<str>> {
        let parts = self.lock();
        let now = self.clock.now();
        let own = std::iter::once(self.identity.process.name.clone());
        parts.peers.entries(now).map(Into::into).chain(own).collect()
    }

    /// Returns what this process says of itself.
    pub(crate) fn report(&self) -> PeerReport {
        let parts = self.lock();
        let now = self.clock.now();
        PeerReport {
            process: self.identity.process.clone(),
            role: self.identity.role.into(),
            listen: self.identity.listen.to_string().into(),
            endpoints: self.links.agent.as_ref().map(|agent| agent.digests()).unwrap_or_default(),
            host: self.identity.host.clone(),
            usage_run: self.links.keeper.counter.as_ref().map(|counter| counter.run()),
            entry_news: Option::clone(&self.links.entry_report.load()),
            next_offset: parts.config.replay.next_offset(),
            revision: parts.config.replay.revision(),
            withdrawals: parts.config.replay.keys().digest(),
            vouch: PeerFreshness {
                domain: self.identity.domain.clone(),
                log_age: parts.confirmation.log_age(now),
                reach: parts.peers.reach(now),
            },
        }
    }

    /// Takes a peer's report and returns what is wanted from it.
    pub(crate) fn peer_heard(
        &self,
        address: SocketAddr,
        sent: TimePoint,
        report: PeerReport,
    ) -> PeerWants {
        let mut parts = self.lock();
        parts.confirmation.peer_heard(sent, &report.vouch);
        let ahead = report.next_offset > parts.config.replay.next_offset();
        let wants = PeerWants {
            withdrawals: report.withdrawals != parts.config.replay.keys().digest(),
            configuration_above: (ahead && (parts.config.gap || !parts.log_reachable))
                .then(|| parts.config.replay.next_offset()),
            lease_answer: self.lapsed_lease(&report),
        };
        self.send_digests(&report.endpoints);
        if let Some(entry_report) = &report.entry_news {
            let _ = self.links.router.send(RouterUpdate::Entry(entry_report.clone()));
        }
        let change = parts.peers.heard(self.clock.now(), address, report);
        self.note_agents_lost(change.ended_run);
        if change.moved {
            self.publish(&mut parts);
        }
        wants
    }

    /// Notes that a peer did not answer.
    pub(crate) fn peer_lost(&self, address: SocketAddr) {
        let mut parts = self.lock();
        let dropped = parts.peers.lost(self.clock.now(), address);
        self.note_agents_lost(dropped);
        self.publish(&mut parts);
    }

    /// Publishes a view again, so that what depends on time is up to date.
    pub(crate) fn tick(&self) {
        self.publish(&mut self.lock());
    }

    /// Returns the settings tree in force with its revision.
    pub(crate) fn settings(&self) -> (u64, Value) {
        let parts = self.lock();
        (parts.config.replay.revision(), parts.config.replay.tree().clone())
    }

    /// Returns what operators see.
    pub(crate) fn status(&self) -> StatusAnswer {
        let parts = self.lock();
        let now = self.clock.now();
        let own = self.links.agent.as_ref().map(|agent| agent.digests()).unwrap_or_default();
        let endpoints = status::endpoints(&own, parts.peers.digests(), &parts.config.catalog);
        StatusAnswer {
            process: self.identity.process.clone(),
            role: self.identity.role.into(),
            domain: self.identity.domain.clone(),
            revision: parts.config.replay.revision(),
            endpoints,
            members: parts.peers.members(now),
            lease: self.lease_status(),
        }
    }

    fn lease_status(&self) -> Option<LeaseStatus> {
        let lease = self.links.keeper.lease()?;
        Some(LeaseStatus { holder: lease.holder?.name, fencing: lease.fencing.0 })
    }

    /// Returns whether the process knows a configuration and may accept keys.
    pub(crate) fn is_ready(&self) -> bool {
        let parts = self.lock();
        parts.config.replay.next_offset() > 0 && parts.confirmation.may_accept(self.clock.now())
    }

    /// Returns the lapsed lease that the peer may answer for.
    fn lapsed_lease(&self, report: &PeerReport) -> Option<(ProcessId, FencingNumber)> {
        let keeper = &self.links.keeper;
        if !keeper.is_candidate() {
            return None;
        }
        let lease = keeper.lease()?;
        let holder = lease.holder?;
        let asked = holder.name == report.process.name && holder != self.identity.process;
        asked.then_some((holder, lease.fencing))
    }

    /// Notes that runs of agents count no more.
    fn note_agents_lost(&self, runs: impl IntoIterator<Item = ProcessId>) {
        let Some(witness) = &self.links.keeper.witness else { return };
        for run in runs {
            log::info!(target: part::USAGE, "Run {run} counts no more.");
            witness.agent_lost(&run);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControlParts> {
        self.parts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn send_digests<'a>(&self, digests: impl IntoIterator<Item = &'a EndpointDigest>) {
        for digest in digests {
            // Only an entry reads digests.
            let _ = self.links.router.send(RouterUpdate::Digest(digest.clone()));
        }
    }

    fn publish(&self, parts: &mut ControlParts) {
        let now = self.clock.now();
        if parts.config.refresh() {
            // A digest that came before the settings named its endpoint counts now.
            self.send_digests(parts.peers.digests());
        }
        self.views.store(ControlView {
            catalog: Arc::clone(&parts.config.catalog),
            keys: Arc::clone(&parts.config.keys),
            agents: Arc::new(parts.peers.agents(now)),
            processes: Arc::new(parts.peers.processes(now)),
            log_up: parts.log_reachable,
            keys_confirmed: parts.confirmation.may_accept(now),
        });
    }
}
