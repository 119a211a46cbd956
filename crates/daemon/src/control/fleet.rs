//! What the holder of the lease knows of the fleet, for the scaling policy.

use std::collections::{BTreeMap, HashMap};

use pimentorock_kernel::{
    catalog::{EndpointKind, ServiceCatalog},
    ids::{EndpointKey, ModelKey},
    record::{OrderIntent, OrderVerb},
    route::EndpointDigest,
    scale::{EndpointPhase, EndpointStatus, FleetStatus, ModelDemand},
};
use pimentorock_platform::wire::{HostEntry, HostList, HostState};

/// What a process has heard of endpoints.
#[derive(Debug)]
pub(crate) struct FleetNews {
    /// What their agents told lately.
    pub(crate) digests: Vec<EndpointDigest>,
    /// Orders whose effect the host list may not show yet, the newest last.
    pub(crate) orders: Vec<OrderIntent>,
    /// The last host list.
    pub(crate) hosts: HostList,
}

/// Returns where each engine stands; an order counts as carried out until the host list tells.
///
/// Plain services are not started or stopped.
fn phases(catalog: &ServiceCatalog, news: &FleetNews) -> HashMap<EndpointKey, EndpointPhase> {
    let engines =
        catalog.live_endpoints().filter(|&key| catalog.endpoints[key].kind == EndpointKind::Engine);
    engines
        .map(|key| {
            let name = &catalog.endpoints[key].name;
            let digest = news.digests.iter().find(|digest| digest.endpoint == *name);
            let order = news.orders.iter().rfind(|order| order.endpoint == *name);
            let host = news.hosts.hosts.iter().find(|host| host.host == *name);
            (key, phase(digest, order, host))
        })
        .collect()
}

/// An endpoint that drains for a restart or by an operator's wish is not one to be stopped.
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
pub(crate) fn status(catalog: &ServiceCatalog, news: &FleetNews) -> FleetStatus {
    let digests = &news.digests;
    let mut phases: Vec<(EndpointKey, EndpointPhase)> = phases(catalog, news).into_iter().collect();
    phases.sort_unstable_by_key(|(key, _)| *key);
    let endpoints = phases.iter().map(|&(endpoint, phase)| {
        let name = &catalog.endpoints[endpoint].name;
        let digest = digests.iter().find(|digest| digest.endpoint == *name);
        EndpointStatus { endpoint, phase, in_flight: digest.map_or(0, in_flight) }
    });
    FleetStatus { endpoints: endpoints.collect(), demand: demand(catalog, digests) }
}

/// Returns the first endpoint by name that offers `model` in a failure domain and is stopped.
pub(crate) fn stopped_endpoint(
    catalog: &ServiceCatalog,
    news: &FleetNews,
    model: &str,
    domain: &str,
) -> Option<Box<str>> {
    let phases = phases(catalog, news);
    let stopped = catalog
        .endpoints_of(model)
        .filter(|key| phases.get(key) == Some(&EndpointPhase::Stopped))
        .map(|key| &catalog.endpoints[key])
        .filter(|spec| &*spec.domain == domain);
    stopped.map(|spec| spec.name.clone()).min()
}

fn in_flight(digest: &EndpointDigest) -> u32 {
    digest.running + digest.waiting.iter().sum::<u32>()
}

/// Returns what is served and what waits, for each model.
///
/// An endpoint of several models counts towards the first; what exactly was asked for is known
/// only to its agent.
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
