//! Keeps the configuration and the endpoints up to date, by reading the store or through the hub.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pimentorock_kernel::{hub::HubChoice, time::TimePoint};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    peer::{EntryShare, PeerClients},
    state::GatewayState,
    store::StoreTopic,
    topic_reader::{ReadPace, TopicReader},
};

/// Maximum wait of one read for a new configuration.
///
/// Each answer shows that the configuration is current. While a read waits, the hub does not know
/// this, so the wait bounds the age of the configuration that the hub reports to other entries.
const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Time between reads of the endpoints; shorter than the heartbeat period of the endpoints.
const ENDPOINTS_PERIOD: Duration = Duration::from_millis(400);

/// Time between two calls by which a hub makes itself known to another entry.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Time between two exchanges that include a list of known entries. The kernel's roster drops an
/// entry without contact after its `ENTRY_LIFE`, which is a few of these periods.
pub(crate) const ENTRY_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Number of reports in the place of one while entries learn of new shares by which streams begin, and how long
/// that may take.
const SETTLING_RATIO: u32 = 3;
pub(crate) const MAX_SETTLING_TIME: Duration = Duration::from_secs(1);

/// Time between calls to other entries while neither the hub nor the store provides current data.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(500);

/// Maximum wait of one read for new suspects. Entries hear of them from their hub; the reads are for
/// those that another entry wrote which is cut off from this one.
const SUSPECTS_WAIT: Duration = Duration::from_secs(10);

/// Time between reads of the suspects as long as there are none, since the store then answers at
/// once.
const NO_SUSPECTS_PERIOD: Duration = Duration::from_secs(4);

/// Reads the configuration until `stop` is cancelled.
pub(crate) async fn follow_config(state: Arc<GatewayState>, stop: CancellationToken) {
    let pace = ReadPace { wait: CONFIG_WAIT, period: Duration::ZERO, empty_period: Duration::ZERO };
    TopicReader::new(state, StoreTopic::Config, pace).run(stop).await;
}

/// Reads the endpoints until `stop` is cancelled.
pub(crate) async fn follow_endpoints(state: Arc<GatewayState>, stop: CancellationToken) {
    let pace =
        ReadPace { wait: Duration::ZERO, period: ENDPOINTS_PERIOD, empty_period: ENDPOINTS_PERIOD };
    TopicReader::new(state, StoreTopic::Endpoints, pace).run(stop).await;
}

/// Reads the suspects until `stop` is cancelled.
pub(crate) async fn follow_suspects(state: Arc<GatewayState>, stop: CancellationToken) {
    let pace =
        ReadPace { wait: SUSPECTS_WAIT, period: Duration::ZERO, empty_period: NO_SUSPECTS_PERIOD };
    TopicReader::new(state, StoreTopic::Suspects, pace).run(stop).await;
}

/// Removes lapsed endpoints that did not register again in time and connections that were idle for
/// too long, until `stop` is cancelled.
pub(crate) async fn expire_idle(state: Arc<GatewayState>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        state.expire_endpoints();
        state.expire_evacuations();
        state.pool.prune();
        state.step_origins();
        state.give_up_on_suspects();
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(ENDPOINTS_PERIOD) => {}
        }
    }
}

/// Exchanges state with other entries until `stop` is cancelled.
///
/// Reports to the hub if another entry is the hub, and fetches newer data than the hub's from an entry
/// that has them. The root hub, and an entry with stale data, call other known entries by turns.
pub(crate) async fn exchange_with_peers(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut clients = PeerClients::default();
    let mut announced_at = TimePoint::ZERO;
    let mut entries_sent_at = None;
    let mut followed = HubChoice::Own;
    let mut round = 0;
    while !stop.is_cancelled() {
        let now = clock::now();
        let (hub, exchange_period, stale) = {
            let view = state.view();
            (view.roster.hub(now), view.roster.period(now), view.is_stale(now))
        };
        if hub != followed {
            followed = hub;
            log_hub(&state, hub);
        }
        state.step_limits(hub, exchange_period);
        match hub {
            HubChoice::Peer(address) => {
                let wants_entries =
                    entries_sent_at.is_none_or(|at| now.since(at) >= ENTRY_LIST_PERIOD);
                let is_served = report_to_hub(&state, &mut clients, address, wants_entries).await;
                if is_served && wants_entries {
                    entries_sent_at = Some(now);
                }
            }
            HubChoice::Own => {
                state.note_others_load();
                state.note_clocks();
            }
        }
        let starting = state.view().roster.starting(clock::now());
        if let Some(address) = starting {
            announce(&state, &mut clients, address).await;
        }
        let source = state.view().follower.source(clock::now());
        if let Some(address) = source {
            call_source(&state, &mut clients, address).await;
        }
        let period = if stale { DISCOVERY_PERIOD } else { ANNOUNCE_PERIOD };
        // While the store is away, what entries know must not die with them and their hubs.
        let looks_around = hub == HubChoice::Own || stale;
        if looks_around && now.since(announced_at) >= period {
            announced_at = now;
            round += 1;
            let other = state.view().roster.other(now, round);
            if let Some(address) = other {
                announce(&state, &mut clients, address).await;
            }
        }
        // Entries learn of new shares, and say so, without waiting for a whole period.
        let wall_ms = state.wall_ms();
        let is_settling = state.origins().is_settling(wall_ms, MAX_SETTLING_TIME);
        let pause = exchange_period / if is_settling { SETTLING_RATIO } else { 1 };
        tokio::select! {
            () = stop.cancelled() => return,
            () = state.copy_calls.newer_copy() => {}
            () = sleep(pause) => {}
        }
    }
}

/// Logs and counts a change of the hub.
fn log_hub(state: &GatewayState, hub: HubChoice) {
    let address = match hub {
        HubChoice::Peer(address) => address.to_string(),
        HubChoice::Own => "none".to_owned(),
    };
    let age_ms = clock::now().since(state.view().follower.current_at()).as_millis() as u64;
    log::info!(target: part::PEER, hub = address, store_age_ms = age_ms; "hub changed");
    state.metrics.note_hub_change();
}

/// Reports the state of this entry, and of the entries that report to this entry, to the hub and
/// applies the hub's answer. `wants_entries` is true if both sides send the entries that they know.
///
/// Returns whether the hub answered.
async fn report_to_hub(
    state: &GatewayState,
    clients: &mut PeerClients,
    address: SocketAddr,
    wants_entries: bool,
) -> bool {
    let sent_at = clock::now();
    let shares = state.shares_to_send(address);
    let known = clients.known_ledgers(address);
    let report = state.report(shares.clone(), wants_entries, known);
    let Some(update) = clients.exchange(state, address, report).await else { return false };
    state.apply_update(address, sent_at, update, true);
    state.note_shared(address, shares);
    true
}

/// Makes this entry known to another entry, and applies the state that the other entry returns.
async fn announce(state: &GatewayState, clients: &mut PeerClients, address: SocketAddr) {
    call_other(state, clients, address, Vec::new()).await;
}

/// Fetches data from an entry that has newer ones than the hub, and passes on the usage shares that the
/// store does not have yet.
async fn call_source(state: &GatewayState, clients: &mut PeerClients, address: SocketAddr) {
    let shares = state.shares_to_send(address);
    if call_other(state, clients, address, shares.clone()).await {
        state.note_shared(address, shares);
    }
}

/// Sends an announcement with `shares` to an entry that is not the hub, and returns whether it answered.
async fn call_other(
    state: &GatewayState,
    clients: &mut PeerClients,
    address: SocketAddr,
    shares: Vec<EntryShare>,
) -> bool {
    let sent_at = clock::now();
    let known = clients.known_ledgers(address);
    let announcement = state.announcement(shares, true, known);
    match clients.exchange(state, address, announcement.report).await {
        Some(update) => {
            state.apply_update(address, sent_at, update, false);
            true
        }
        None => false,
    }
}
