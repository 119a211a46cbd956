//! Upper bounds on the attainment of the top tier under any order of service.

use std::collections::BTreeMap;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{ClassKey, ModelKey},
    time::TimePoint,
};
use serde::Serialize;

use super::{request::SimRequest, spec::ExperimentSpec, trace::pool_capacity};

/// Upper bounds on the attainment of the top tier.
///
/// Both bounds assume that the top tier may use all endpoints of a model, minus, for each other
/// class, the smaller of its floor and its work, and that work can be split between endpoints
/// without restriction. The work of an answer that meets its targets is done between the request's
/// arrival and the latest time that the targets allow. The total work of the answers of a span that
/// meet their targets is therefore at most the endpoints' time between the first arrival and the
/// last of these latest times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TierBound {
    /// Bound if the lengths of all answers are known in advance and the shortest are served.
    pub known: f64,
    /// Bound on the expected attainment if answers are chosen regardless of their length.
    pub unknown: f64,
}

/// Returns the bounds for those of `requests` that belong to the top tier.
pub fn top_tier_bound(
    requests: &[&SimRequest],
    spec: &ExperimentSpec,
    catalog: &ServiceCatalog,
) -> TierBound {
    let mut by_model: BTreeMap<ModelKey, Vec<&SimRequest>> = BTreeMap::new();
    for request in requests {
        by_model.entry(request.trace.spec.model).or_default().push(request);
    }
    let (mut all, mut known, mut unknown) = (0.0, 0.0, 0.0);
    for (&model, requests) in &by_model {
        let workload = TierWorkload::new(model, requests, spec, catalog);
        let count = workload.work_us.len() as f64;
        all += count;
        known += workload.shortest_first();
        unknown += count * (workload.time_us / workload.work_us.iter().sum::<f64>()).min(1.0);
    }
    match all {
        0.0 => TierBound { known: 1.0, unknown: 1.0 },
        _ => TierBound { known: known / all, unknown: unknown / all },
    }
}

/// Work of the top tier's requests for one model, and the endpoint time available for it.
struct TierWorkload {
    work_us: Vec<f64>,
    time_us: f64,
}

impl TierWorkload {
    fn new(
        model: ModelKey,
        requests: &[&SimRequest],
        spec: &ExperimentSpec,
        catalog: &ServiceCatalog,
    ) -> TierWorkload {
        let (endpoints, token_us) = pool_capacity(catalog, &catalog.models[model].name);
        let work = |request: &SimRequest| {
            let prefill = spec.prefill_us_per_token * u64::from(request.trace.spec.prompt_tokens);
            f64::from(request.trace.tokens) * token_us + prefill as f64
        };
        let top = catalog.classes.values().map(|class| class.tier).min().unwrap_or(0);
        let is_top = |request: &SimRequest| catalog.classes[request.trace.spec.class].tier == top;
        let of_tier = || requests.iter().copied().filter(|request| is_top(request));
        let first = of_tier().map(|request| request.trace.spec.arrived).min();
        let last = of_tier().map(|request| latest_completion(request, catalog)).max();
        let span = first.zip(last).map(|(first, last)| last.since(first)).unwrap_or_default();
        let whole_us = endpoints * span.as_micros() as f64;
        let mut others: BTreeMap<ClassKey, f64> = BTreeMap::new();
        for request in requests.iter().copied().filter(|request| !is_top(request)) {
            *others.entry(request.trace.spec.class).or_default() += work(request);
        }
        let floors = others.iter().map(|(&class, work)| {
            let floor = catalog.classes[class].floor * whole_us;
            floor.min(*work)
        });
        let time_us = whole_us - floors.sum::<f64>();
        TierWorkload { work_us: of_tier().map(work).collect(), time_us }
    }

    /// Returns the number of requests that fit into the available time, shortest first.
    fn shortest_first(&self) -> f64 {
        let mut work_us = self.work_us.clone();
        work_us.sort_by(f64::total_cmp);
        let mut left_us = self.time_us;
        let fits = work_us.iter().take_while(|&&work| {
            left_us -= work;
            left_us >= 0.0
        });
        fits.count() as f64
    }
}

/// Returns the latest time at which an answer that meets its targets may end.
fn latest_completion(request: &SimRequest, catalog: &ServiceCatalog) -> TimePoint {
    let class = &catalog.classes[request.trace.spec.class];
    // An answer of one token also counts one gap.
    let gaps = request.trace.tokens.saturating_sub(1).max(1);
    let allowed = class.first_token + class.between_tokens * gaps;
    (request.trace.spec.arrived + allowed).min(request.trace.spec.deadline)
}
