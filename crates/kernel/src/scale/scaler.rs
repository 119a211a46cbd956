//! The scaler, which decides which endpoints of the fleet to start, drain and stop.

use std::collections::HashMap;

use slotmap::SecondaryMap;

use crate::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ModelKey},
    reason::DecisionReason,
    scale::{
        DemandForecast, EndpointPhase, EndpointStatus, FleetStatus, ModelDemand, PoolMember,
        PoolSnapshot, ScaleAction, ScaleDecision, ScaleSettings, policy::policy,
    },
    time::TimePoint,
};

/// Decides which endpoints of the fleet to start, drain and stop.
#[derive(Clone, Debug, Default)]
pub struct EndpointScaler {
    settings: ScaleSettings,
    forecasts: SecondaryMap<ModelKey, DemandForecast>,
}

impl EndpointScaler {
    /// Returns a scaler with default settings and without observed demand.
    ///
    /// A process that takes over scaling starts with a new scaler. With the policy "steady" a new
    /// scaler drains no endpoint before it has observed demand for [`ScaleSettings::idle_span`].
    pub fn new() -> EndpointScaler {
        EndpointScaler::default()
    }

    /// Replaces the default settings.
    pub fn with_settings(mut self, settings: ScaleSettings) -> EndpointScaler {
        self.settings = settings;
        self
    }

    /// Processes the state of the fleet and returns the desired actions according to the policy
    /// that the catalog names.
    pub fn step(
        &mut self,
        now: TimePoint,
        status: &FleetStatus,
        catalog: &ServiceCatalog,
    ) -> Vec<ScaleDecision> {
        let known: HashMap<EndpointKey, &EndpointStatus> =
            status.endpoints.iter().map(|status| (status.endpoint, status)).collect();
        let mut pools = self.snapshot_pools(now, status, &known, catalog);
        let mut decisions = stop_drained(status);
        let Some(policy) = policy(&catalog.policies.scale) else { return decisions };
        for index in 0..pools.len() {
            let model = pools[index].model;
            let plan = (policy.plan)(&pools[index], &self.settings);
            let Some(reason) = plan.reason else { continue };
            for domain in plan.starts {
                let action = ScaleAction::Start { domain, model };
                decisions.push(ScaleDecision { action, reason: reason.clone() });
            }
            if let Some(endpoint) =
                plan.drain.filter(|&key| self.others_can_spare(key, model, &pools))
            {
                mark_draining(endpoint, &mut pools);
                let action = ScaleAction::Drain { endpoint };
                decisions.push(ScaleDecision { action, reason });
            }
        }
        decisions
    }

    /// Returns a snapshot of each model that an endpoint of the active configuration offers.
    fn snapshot_pools(
        &mut self,
        now: TimePoint,
        status: &FleetStatus,
        known: &HashMap<EndpointKey, &EndpointStatus>,
        catalog: &ServiceCatalog,
    ) -> Vec<PoolSnapshot> {
        let mut endpoints: Vec<EndpointKey> = catalog.live_endpoints().collect();
        endpoints.sort_unstable();
        let mut pools = Vec::new();
        for (model, entry) in &catalog.models {
            let offers = |key: &EndpointKey| catalog.endpoints[*key].models.contains(&entry.name);
            let members: Vec<PoolMember> = endpoints
                .iter()
                .copied()
                .filter(offers)
                .map(|key| pool_member(key, model, status, known, catalog))
                .collect();
            if members.is_empty() {
                continue;
            }
            let model_demand = status.demand.iter().find(|demand| demand.model == model);
            let demand = model_demand.map_or(0.0, |demand| self.total_demand(demand));
            if !self.forecasts.contains_key(model) {
                self.forecasts.insert(model, DemandForecast::new());
            }
            let forecast = &mut self.forecasts[model];
            let settings = &self.settings;
            forecast.observe(now, demand, settings.start_time, settings.idle_span);
            pools.push(PoolSnapshot {
                model,
                demand,
                forecast: forecast.predict(self.settings.start_time),
                peak: forecast.peak(),
                observed: forecast.observed(),
                members,
            });
        }
        pools
    }

    fn total_demand(&self, demand: &ModelDemand) -> f64 {
        demand.tokens_per_second + demand.waiting_tokens / self.settings.backlog_span.as_secs_f64()
    }

    /// Reports whether the pools of the other models of the endpoint have enough capacity without
    /// the endpoint.
    fn others_can_spare(
        &self,
        endpoint: EndpointKey,
        model: ModelKey,
        pools: &[PoolSnapshot],
    ) -> bool {
        pools.iter().filter(|pool| pool.model != model).all(|pool| {
            let member = pool.members.iter().find(|member| member.endpoint == endpoint);
            let Some(member) = member else { return true };
            let in_use = [EndpointPhase::Live, EndpointPhase::Starting];
            pool.can_spare(member.rate, &self.settings)
                && pool.members_in(&in_use).count() > self.settings.min_live
        })
    }
}

/// Marks the endpoint as draining in all pools, so that a later drain in the same step does not
/// count its capacity.
fn mark_draining(endpoint: EndpointKey, pools: &mut [PoolSnapshot]) {
    let members = pools.iter_mut().flat_map(|pool| &mut pool.members);
    for member in members.filter(|member| member.endpoint == endpoint) {
        member.phase = EndpointPhase::Draining;
    }
}

/// Returns a stop action for each draining endpoint without requests in flight.
fn stop_drained(status: &FleetStatus) -> Vec<ScaleDecision> {
    let empty =
        |status: &&EndpointStatus| status.phase == EndpointPhase::Draining && status.in_flight == 0;
    let stop = |status: &EndpointStatus| ScaleDecision {
        action: ScaleAction::Stop { endpoint: status.endpoint },
        reason: DecisionReason::Drained,
    };
    status.endpoints.iter().filter(empty).map(stop).collect()
}

/// Returns the pool member for an endpoint; the rate of the endpoint is divided among its models
/// in proportion to their demand.
fn pool_member(
    key: EndpointKey,
    model: ModelKey,
    status: &FleetStatus,
    known: &HashMap<EndpointKey, &EndpointStatus>,
    catalog: &ServiceCatalog,
) -> PoolMember {
    let spec = &catalog.endpoints[key];
    let demand_of = |model: Option<ModelKey>| {
        let model_demand = status.demand.iter().find(|demand| Some(demand.model) == model);
        model_demand.map_or(0.0, |demand| demand.tokens_per_second)
    };
    let own = demand_of(Some(model));
    let all: f64 = spec.models.iter().map(|name| demand_of(catalog.model(name))).sum();
    let share = if all > 0.0 { own / all } else { 1.0 / spec.models.len().max(1) as f64 };
    PoolMember {
        endpoint: key,
        domain: spec.domain.clone(),
        phase: known.get(&key).map_or(EndpointPhase::Stopped, |status| status.phase),
        rate: spec.tokens_per_second * share,
        cost_per_hour: spec.cost_per_hour,
    }
}
