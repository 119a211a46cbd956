//! Deployments, requests and digests for the tests of decisions in entries.

#![allow(dead_code, reason = "no test uses the whole fixture")]

use std::time::Duration;

use pimentorock_kernel::{
    catalog::{
        AccountLimits, AccountSpec, CatalogSpec, ClassMatch, ClassSpec, EndpointKind, EndpointSpec,
        FencingMode, ServiceCatalog,
    },
    ids::{EndpointKey, RequestId},
    request::RequestSpec,
    route::EndpointDigest,
    time::TimePoint,
};

/// Failure domains of the deployment under test.
pub const DOMAINS: [&str; 3] = ["north", "mid", "south"];

/// Returns a deployment of `count` engines; engine `i` offers the models `i` and `i + 1`, modulo
/// `models`.
pub fn deployment(count: usize, models: usize, accounts: usize) -> ServiceCatalog {
    let offered = |index: usize| {
        let mut offered = [index % models, (index + 1) % models].map(model_name).to_vec();
        offered.dedup();
        offered
    };
    let endpoint = |index: usize| EndpointSpec {
        name: format!("e{index:03}").into(),
        domain: DOMAINS[index % DOMAINS.len()].into(),
        kind: EndpointKind::Engine,
        models: offered(index),
        slots: 8,
        kv_tokens: 100_000,
        tokens_per_second: 800.0,
        cost_per_hour: 2.0,
        fencing: FencingMode::Checked,
    };
    let account = |index: usize| AccountSpec {
        name: format!("team/a{index:03}").into(),
        weight: 1,
        limits: AccountLimits::default(),
        models: Vec::new(),
    };
    let class = |tier: u8| ClassSpec {
        name: format!("team/c{tier}").into(),
        tier,
        order: u32::from(tier),
        matches: ClassMatch::default(),
        first_token: Duration::from_millis(770),
        between_tokens: Duration::from_millis(27),
        deadline: Duration::from_secs(30),
        floor: 0.05,
        idempotent: true,
        preemptible: true,
    };
    let spec = CatalogSpec {
        accounts: (0..accounts).map(account).collect(),
        classes: (0..5).map(class).collect(),
        endpoints: (0..count).map(endpoint).collect(),
        ..CatalogSpec::default()
    };
    ServiceCatalog::with_spec(1, spec)
}

/// Returns the name of model `index`.
pub fn model_name(index: usize) -> Box<str> {
    format!("m{index}").into()
}

/// Returns request `id` for the model with index `model`; the fingerprint is a hash of `id`.
pub fn request(catalog: &ServiceCatalog, id: u64, model: usize, now: TimePoint) -> RequestSpec {
    RequestSpec {
        id: RequestId(u128::from(id)),
        account: catalog.account("team/a000").unwrap(),
        class: catalog.class("team/c0").unwrap(),
        model: catalog.model(&model_name(model)).unwrap(),
        prompt_tokens: 200,
        max_tokens: 100,
        arrived: now,
        deadline: now + Duration::from_secs(30),
        idempotent: true,
        resumable: true,
        fingerprint: id.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        prefix: Box::new([]),
    }
}

/// Returns a digest of an idle endpoint with all its models loaded.
pub fn idle_digest(catalog: &ServiceCatalog, key: EndpointKey, sequence: u64) -> EndpointDigest {
    let spec = &catalog.endpoints[key];
    EndpointDigest {
        endpoint: spec.name.clone(),
        sequence,
        waiting: vec![0; 5],
        up: true,
        models: spec.models.clone(),
        ..EndpointDigest::default()
    }
}
