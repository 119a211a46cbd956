//! State of endpoints for operators' status requests.

use pimentorock_kernel::{catalog::ServiceCatalog, route::EndpointDigest};
use pimentorock_platform::operator_wire::EndpointStatus;

/// Returns the state of all known endpoints, sorted by name.
///
/// `own` holds the digests of the endpoints that this process serves, `heard` those that peers
/// reported.
pub(crate) fn endpoints<'a>(
    own: &[EndpointDigest],
    heard: impl Iterator<Item = &'a EndpointDigest>,
    catalog: &ServiceCatalog,
) -> Vec<EndpointStatus> {
    let own = own.iter().map(|digest| endpoint_status(digest, catalog, true));
    let heard = heard.map(|digest| endpoint_status(digest, catalog, false));
    let mut endpoints: Vec<EndpointStatus> = own.chain(heard).collect();
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    endpoints
}

fn endpoint_status(digest: &EndpointDigest, catalog: &ServiceCatalog, own: bool) -> EndpointStatus {
    let slots = catalog.endpoint(&digest.endpoint).map_or(0, |key| catalog.endpoints[key].slots);
    EndpointStatus {
        name: digest.endpoint.clone(),
        up: digest.up,
        draining: digest.draining,
        running: digest.running,
        waiting: digest.waiting.clone(),
        slots,
        own,
    }
}
