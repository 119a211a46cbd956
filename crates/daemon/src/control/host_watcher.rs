//! Discovers peers through the platform's host list.

use std::{
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use pimentorock_platform::{host_client::HostClient, wire::HostState};
use pimentorock_settings::process::ProcessRole;
use tokio_util::sync::CancellationToken;

use crate::{control::ControlCore, logs::part, peer::PeerPoller};

/// Time between reads of the host list.
const LIST_PERIOD: Duration = Duration::from_millis(500);

/// Number of peers that an agent polls.
const MAX_AGENT_PEERS: usize = 4;

/// Runs one poller for each peer on the host list, or for a few of them in an agent.
#[derive(Debug)]
pub(crate) struct HostWatcher {
    core: Arc<ControlCore>,
    hosts: HostClient,
    /// Peers from the process settings, which count as listed in any case.
    fixed_peers: Vec<SocketAddr>,
    pollers: HashMap<SocketAddr, CancellationToken>,
}

impl HostWatcher {
    /// Returns a watcher without pollers; `fixed_peers` count as listed in any case.
    pub(crate) fn new(
        core: Arc<ControlCore>,
        hosts: HostClient,
        fixed_peers: Vec<SocketAddr>,
    ) -> HostWatcher {
        HostWatcher { core, hosts, fixed_peers, pollers: HashMap::new() }
    }

    /// Reads the host list periodically until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut was_readable = true;
        loop {
            let sent = self.core.now();
            match self.hosts.list().await {
                Ok(list) => {
                    self.core.note_host_list(sent, &list);
                    let live = list.hosts.iter().filter(|host| host.state != HostState::Starting);
                    let addresses = live.filter_map(|host| host.address.parse().ok()).collect();
                    self.update_pollers(addresses, &stop);
                    was_readable = true;
                }
                // Known peers are still polled: an unreadable list does not prove their absence.
                Err(error) if was_readable => {
                    was_readable = false;
                    log::warn!(target: part::CONTROL, "The host list could not be read: {error}.");
                    self.update_pollers(self.pollers.keys().copied().collect(), &stop);
                }
                Err(_) => {}
            }
            self.core.tick();
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(LIST_PERIOD) => {}
            }
        }
    }

    /// Returns the peers that an agent polls, chosen by rendezvous hashing.
    ///
    /// Entries poll every agent. An agent needs peers only for withdrawals and, in an outage of the
    /// log, for the configuration.
    fn select_agent_peers(&self, addresses: HashSet<SocketAddr>) -> HashSet<SocketAddr> {
        let own = &self.core.identity().process.name;
        let rank = |address: &SocketAddr| {
            let mut hasher = DefaultHasher::new();
            (&**own, address).hash(&mut hasher);
            hasher.finish()
        };
        let mut ranked: Vec<SocketAddr> = addresses.into_iter().collect();
        ranked.sort_by_key(rank);
        ranked.truncate(MAX_AGENT_PEERS);
        ranked.into_iter().collect()
    }

    /// Starts pollers for new addresses and stops those of addresses that are no longer wanted.
    fn update_pollers(&mut self, mut addresses: HashSet<SocketAddr>, stop: &CancellationToken) {
        addresses.extend(&self.fixed_peers);
        addresses.remove(&self.core.identity().peer);
        self.core.set_listed_peers(addresses.len());
        if self.core.identity().role == ProcessRole::Agent.as_str() {
            addresses = self.select_agent_peers(addresses);
        }
        self.pollers.retain(|address, token| {
            let is_selected = addresses.contains(address);
            if !is_selected {
                token.cancel();
            }
            is_selected
        });
        for address in addresses {
            self.pollers.entry(address).or_insert_with(|| {
                let token = stop.child_token();
                tokio::spawn(PeerPoller::new(Arc::clone(&self.core), address).run(token.clone()));
                token
            });
        }
    }
}
