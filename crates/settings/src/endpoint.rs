//! Reads the settings of one endpoint at `/fleet/endpoints/NAME`.

use pimentorock_kernel::catalog::{EndpointKind, EndpointSpec, FencingMode};

use crate::{reader::ObjectReader, sink::FindingSink};

/// Default number of requests that an endpoint runs concurrently.
const DEFAULT_SLOTS: u64 = 8;

/// Maximum number of requests that an endpoint runs concurrently.
const MAX_SLOTS: u64 = 4096;

/// Default size of an endpoint's KV cache, in tokens.
const DEFAULT_KV_TOKENS: u64 = 65_536;

/// Default output rate of an endpoint, in tokens per second.
const DEFAULT_TOKENS_PER_SECOND: f64 = 1000.0;

/// Default cost of an endpoint per hour.
const DEFAULT_COST_PER_HOUR: f64 = 1.0;

/// Reads one endpoint, or returns `None` if its failure domain or models are missing or invalid.
pub(crate) fn read_endpoint(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    name: &str,
) -> Option<EndpointSpec> {
    let domain = reader.required(sink, "domain", ObjectReader::text);
    let kinds = [("engine", EndpointKind::Engine), ("service", EndpointKind::Service)];
    let kind = reader.choice(sink, "kind", &kinds).unwrap_or(EndpointKind::Engine);
    let models = reader.required(sink, "models", ObjectReader::texts);
    if let Some(models) = &models {
        check_models(&reader, sink, kind, models);
    }
    let slots = reader.integer(sink, "slots", 1, MAX_SLOTS).unwrap_or(DEFAULT_SLOTS);
    let kv_tokens = reader.integer(sink, "kv_tokens", 1, u64::MAX).unwrap_or(DEFAULT_KV_TOKENS);
    let tokens_per_second = reader.number(sink, "tokens_per_second", 0.001);
    let cost_per_hour = reader.number(sink, "cost_per_hour", 0.0);
    let modes = [("checked", FencingMode::Checked), ("ignored", FencingMode::Ignored)];
    // The agent checks the fencing number unless the endpoint is known to check it.
    let fencing = reader.choice(sink, "fencing", &modes).unwrap_or(FencingMode::Ignored);
    reader.finish(sink);
    Some(EndpointSpec {
        name: name.into(),
        domain: domain?.into(),
        kind,
        models: models?,
        slots: slots as u32,
        kv_tokens,
        tokens_per_second: tokens_per_second.unwrap_or(DEFAULT_TOKENS_PER_SECOND),
        cost_per_hour: cost_per_hour.unwrap_or(DEFAULT_COST_PER_HOUR),
        fencing,
    })
}

/// Reports an empty list of models, and a service with more than one name.
fn check_models(
    reader: &ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    kind: EndpointKind,
    models: &[Box<str>],
) {
    let path = reader.field_path("models");
    if models.is_empty() {
        sink.report(&path, "an endpoint must offer at least one model or service");
    }
    if kind == EndpointKind::Service && models.len() > 1 {
        sink.report_with_hint(
            &path,
            "a service must have exactly one name",
            "keep the name that callers use under /services/NAME",
        );
    }
}
