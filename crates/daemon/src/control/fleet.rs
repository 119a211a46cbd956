//! The fleet as the lease holder knows it, as input of the scaling policy.

use std::collections::{BTreeMap, HashMap};

use pimentorock_kernel::{
    catalog::{EndpointKind, ServiceCatalog},
    ids::{EndpointKey, ModelKey},
    record::{OrderIntent, OrderVerb},
    route::EndpointDigest,
    scale::{EndpointPhase, EndpointStatus, FleetStatus, ModelDemand},
};
use pimentorock_platform::wire::{HostEntry, HostList, HostState};

/// Digests, orders and hosts from which the phase of each endpoint is derived.
#[derive(Debug)]
pub(crate) struct FleetSnapshot {
    /// Recent digests of the endpoints, reported by their agents.
    pub(crate) digests: Vec<EndpointDigest>,
    /// Orders whose effect the host list may not show yet, the newest last.
    pub(crate) orders: Vec<OrderIntent>,
    /// The last host list; empty if none was read.
    pub(crate) hosts: HostList,
}

/// Returns the phase of each engine.
///
/// An order counts as carried out until the host list can show its effect. Plain services are left
/// out, since they are not started or stopped.
fn phases(
    catalog: &ServiceCatalog,
    snapshot: &FleetSnapshot,
) -> HashMap<EndpointKey, EndpointPhase> {
    let engines =
        catalog.live_endpoints().filter(|&key| catalog.endpoints[key].kind == EndpointKind::Engine);
    engines
        .map(|key| {
            let name = &catalog.endpoints[key].name;
            let digest = snapshot.digests.iter().find(|digest| digest.endpoint == *name);
            let order = snapshot.orders.iter().rfind(|order| order.endpoint == *name);
            let host = snapshot.hosts.hosts.iter().find(|host| host.host == *name);
            (key, phase(digest, order, host))
        })
        .collect()
}

/// Returns the phase of one endpoint.
///
/// An endpoint that drains for a restart or at an operator's request counts as live: only one that
/// retires is about to be stopped.
fn phase(
    digest: Option<&EndpointDigest>,
    order: Option<&OrderIntent>,
    host: Option<&HostEntry>,
) -> EndpointPhase {
    let up = digest.filter(|digest| digest.up);
    let starting = host.is_some_and(|host| host.state == HostState::Starting);
    match (order.map(|order| order.verb), up) {
        (Some(OrderVerb::Stop), _) => EndpointPhase::Stopped,
        (_, Some(digest)) if digest.retiring => EndpointPhase::Draining,
        (_, Some(_)) => EndpointPhase::Live,
        (Some(OrderVerb::Start), None) => EndpointPhase::Starting,
        (None, None) if starting => EndpointPhase::Starting,
        (None, None) => EndpointPhase::Stopped,
    }
}

/// Returns the state of all engines and the demand for all models.
pub(crate) fn status(catalog: &ServiceCatalog, snapshot: &FleetSnapshot) -> FleetStatus {
    let digests = &snapshot.digests;
    let mut phases: Vec<(EndpointKey, EndpointPhase)> =
        phases(catalog, snapshot).into_iter().collect();
    phases.sort_unstable_by_key(|(key, _)| *key);
    let endpoints = phases.iter().map(|&(endpoint, phase)| {
        let name = &catalog.endpoints[endpoint].name;
        let digest = digests.iter().find(|digest| digest.endpoint == *name);
        EndpointStatus { endpoint, phase, in_flight: digest.map_or(0, in_flight) }
    });
    FleetStatus { endpoints: endpoints.collect(), demand: demand(catalog, digests) }
}

/// Returns the stopped endpoint, first by name, in the failure domain `domain` that offers `model`.
pub(crate) fn stopped_endpoint(
    catalog: &ServiceCatalog,
    snapshot: &FleetSnapshot,
    model: &str,
    domain: &str,
) -> Option<Box<str>> {
    let phases = phases(catalog, snapshot);
    let stopped = catalog
        .endpoints_of(model)
        .filter(|key| phases.get(key) == Some(&EndpointPhase::Stopped))
        .map(|key| &catalog.endpoints[key])
        .filter(|spec| &*spec.domain == domain);
    stopped.map(|spec| spec.name.clone()).min()
}

/// Returns the number of running and waiting requests.
fn in_flight(digest: &EndpointDigest) -> u32 {
    digest.running + digest.waiting.iter().sum::<u32>()
}

/// Returns the served and the waiting tokens of each model.
///
/// An endpoint with several models counts towards the first one, since only its agent knows which
/// models the requests name. The share of waiting tokens is estimated from the request counts.
fn demand(catalog: &ServiceCatalog, digests: &[EndpointDigest]) -> Vec<ModelDemand> {
    let mut demand: BTreeMap<ModelKey, ModelDemand> = BTreeMap::new();
    for digest in digests.iter().filter(|digest| digest.up) {
        let Some(key) = catalog.endpoint(&digest.endpoint) else { continue };
        let spec = &catalog.endpoints[key];
        if spec.kind != EndpointKind::Engine {
            continue;
        }
        let Some(model) = spec.models.first().and_then(|name| catalog.model(name)) else {
            continue;
        };
        let sum = demand.entry(model).or_insert(ModelDemand {
            model,
            tokens_per_second: 0.0,
            waiting_tokens: 0.0,
        });
        sum.tokens_per_second += digest.tokens_per_second;
        let waiting: u32 = digest.waiting.iter().sum();
        let share = f64::from(waiting) / f64::from(in_flight(digest).max(1));
        sum.waiting_tokens += digest.pending_tokens as f64 * share;
    }
    demand.into_values().collect()
}
