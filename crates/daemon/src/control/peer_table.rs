//! The table of peers with their latest reports.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use pimentorock_kernel::{
    ids::{FencingNumber, ProcessId},
    route::EndpointDigest,
    time::TimePoint,
};
use pimentorock_platform::operator_wire::MemberStatus;
use pimentorock_settings::process::ProcessRole;

use crate::{
    peer::PeerReport,
    view::{AgentAddress, PeerAddress},
};

/// Age of a peer's report after which the peer counts as suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

/// Age of a peer's report after which the peer is dropped, and an agent's usage run is fenced.
///
/// The fence does no harm to an agent that is still alive: it continues to count under a new run.
const DROP_AFTER: Duration = Duration::from_secs(10);

/// Calls to make to a peer after its report was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerFollowUp {
    /// Whether to request the peer's withdrawals, since they differ from this process's.
    pub(crate) withdrawals: bool,
    /// Offset above which to request the peer's configuration; `None` if it is not needed.
    ///
    /// Set if the peer has replayed more and this process cannot get the records from the log.
    pub(crate) configuration_above: Option<u64>,
    /// Lease holder and fencing number to ask about; `None` if the peer cannot answer.
    ///
    /// The peer may confirm that this holder has relinquished the lease.
    pub(crate) lease_answer: Option<(ProcessId, FencingNumber)>,
}

/// Holds the latest report of each peer, by peer address.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<SocketAddr, PeerEntry>,
    /// Number of other processes on the last host list.
    listed_peers: usize,
    /// Host of every process that ever reported, by process name.
    hosts: HashMap<Box<str>, Box<str>>,
}

/// The latest report of one peer and its reachability.
#[derive(Debug)]
struct PeerEntry {
    report: PeerReport,
    /// Time at which the report was received.
    last_heard: TimePoint,
    /// Whether the peer answered the last call.
    reachable: bool,
}

/// Effects of a peer's report.
#[derive(Debug)]
pub(crate) struct PeerChange {
    /// Former usage run of the peer, if the report names another run or none.
    pub(crate) ended_run: Option<ProcessId>,
    /// Whether the published view must be updated.
    pub(crate) view_changed: bool,
}

impl PeerTable {
    /// Returns a table without peers.
    pub(crate) fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Records a report and returns its effects.
    pub(crate) fn record_report(
        &mut self,
        now: TimePoint,
        address: SocketAddr,
        report: PeerReport,
    ) -> PeerChange {
        let Some(known) = self.peers.get_mut(&address) else {
            self.hosts.insert(report.process.name.clone(), report.host.clone());
            self.peers.insert(address, PeerEntry { report, last_heard: now, reachable: true });
            return PeerChange { ended_run: None, view_changed: true };
        };
        let view_changed = !known.is_alive(now) || !same_identity(&known.report, &report);
        let former_run = std::mem::replace(&mut known.report, report).usage_run;
        let run = &known.report.usage_run;
        let ended_run = former_run.filter(|former_run| Some(former_run) != run.as_ref());
        (known.last_heard, known.reachable) = (now, true);
        if view_changed {
            let process = &known.report.process;
            self.hosts.insert(process.name.clone(), known.report.host.clone());
        }
        PeerChange { ended_run, view_changed }
    }

    /// Records that a peer did not answer, drops expired peers and returns their usage runs.
    pub(crate) fn record_failure(&mut self, now: TimePoint, address: SocketAddr) -> Vec<ProcessId> {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.reachable = false;
        }
        let is_expired = |peer: &PeerEntry| now.since(peer.last_heard) >= DROP_AFTER;
        let dropped = self.peers.values().filter(|peer| is_expired(peer));
        let runs = dropped.filter_map(|peer| peer.report.usage_run.clone()).collect();
        self.peers.retain(|_, peer| !is_expired(peer));
        runs
    }

    /// Sets the number of other processes on the host list.
    pub(crate) fn set_listed_peers(&mut self, listed_peers: usize) {
        self.listed_peers = listed_peers;
    }

    /// Returns the host of every process that ever reported, by process name.
    pub(crate) fn hosts(&self) -> &HashMap<Box<str>, Box<str>> {
        &self.hosts
    }

    /// Returns the reports of live peers.
    pub(crate) fn alive(&self, now: TimePoint) -> impl Iterator<Item = &PeerReport> + '_ {
        let alive = self.peers.values().filter(move |peer| peer.is_alive(now));
        alive.map(|peer| &peer.report)
    }

    /// Returns the names of live entries.
    pub(crate) fn entries(&self, now: TimePoint) -> impl Iterator<Item = &str> + '_ {
        let entries = self.alive(now).filter(|report| &*report.role == ProcessRole::Entry.as_str());
        entries.map(|report| &*report.process.name)
    }

    /// Returns all digests, including those of suspect peers.
    pub(crate) fn digests(&self) -> impl Iterator<Item = &EndpointDigest> + '_ {
        self.peers.values().flat_map(|peer| &peer.report.endpoints)
    }

    /// Returns the peer address of the agent that serves `endpoint`.
    pub(crate) fn agent_address(&self, endpoint: &str) -> Option<SocketAddr> {
        let serves_endpoint = |peer: &PeerEntry| {
            peer.report.endpoints.iter().any(|digest| &*digest.endpoint == endpoint)
        };
        self.peers.iter().find(|(_, peer)| serves_endpoint(peer)).map(|(&address, _)| address)
    }

    /// Returns the addresses of live agents, by the names of their endpoints.
    pub(crate) fn agents(&self, now: TimePoint) -> HashMap<Box<str>, AgentAddress> {
        let addresses = self.alive(now).flat_map(|report| {
            let run = report.usage_run.as_ref().unwrap_or(&report.process);
            report.endpoints.iter().map(move |digest| {
                let address = AgentAddress { run: run.clone(), listen: report.listen.clone() };
                (digest.endpoint.clone(), address)
            })
        });
        addresses.collect()
    }

    /// Returns the addresses of live processes, by process name.
    pub(crate) fn processes(&self, now: TimePoint) -> HashMap<Box<str>, PeerAddress> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(now));
        let addresses = alive.map(|(&peer, entry)| {
            let process = &entry.report.process;
            let address = PeerAddress { incarnation: process.incarnation, peer };
            (process.name.clone(), address)
        });
        addresses.collect()
    }

    /// Returns the state of each peer for an operator's status request.
    pub(crate) fn members(&self, now: TimePoint) -> Vec<MemberStatus> {
        let state = |peer: &PeerEntry| if peer.is_alive(now) { "alive" } else { "suspect" };
        let members = self.peers.values().map(|peer| MemberStatus {
            name: peer.report.process.name.clone(),
            state: state(peer).into(),
        });
        members.collect()
    }

    /// Returns the fraction of listed processes that are alive, including this process.
    ///
    /// The denominator comes from the last host list and not from the peers heard recently: a
    /// partitioned process must not take the few peers that it still hears for the whole fleet.
    pub(crate) fn reach(&self, now: TimePoint) -> f64 {
        let alive = self.alive(now).count() + 1;
        alive as f64 / (self.listed_peers.max(self.peers.len()) + 1) as f64
    }
}

impl PeerEntry {
    fn is_alive(&self, now: TimePoint) -> bool {
        self.reachable && now.since(self.last_heard) < SUSPECT_AFTER
    }
}

/// Reports whether two reports name the same run, addresses and endpoints.
fn same_identity(known: &PeerReport, report: &PeerReport) -> bool {
    let known_names = known.endpoints.iter().map(|digest| &digest.endpoint);
    let names = report.endpoints.iter().map(|digest| &digest.endpoint);
    known.process == report.process
        && known.listen == report.listen
        && known.usage_run == report.usage_run
        && known_names.eq(names)
}
