//! Scaling settings and the input of a scaling policy for one model.

use std::time::Duration;

use crate::{
    ids::{EndpointKey, ModelKey},
    scale::EndpointPhase,
};

/// Settings of the scaler.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSettings {
    /// Time from the start order until an endpoint serves requests.
    pub start_time: Duration,
    /// Target share of the capacity that the demand uses, 0 to 1.
    pub target_utilization: f64,
    /// Share by which the remaining capacity must exceed the needed capacity when an endpoint is
    /// stopped.
    pub stop_margin: f64,
    /// Time for which there must have been surplus capacity before an endpoint is stopped.
    ///
    /// The value should be a few start times: an idle endpoint is kept until its cost is about the
    /// cost of starting it again (the break-even rule of the ski-rental problem).
    pub idle_span: Duration,
    /// Time within which the backlog of waiting requests should be processed.
    pub backlog_span: Duration,
    /// Minimum number of live and starting endpoints of each model.
    pub min_live: usize,
    /// Maximum number of endpoints of each model that are started in one step.
    pub max_starts: usize,
}

impl Default for ScaleSettings {
    fn default() -> ScaleSettings {
        ScaleSettings {
            start_time: Duration::from_secs(60),
            target_utilization: 0.8,
            stop_margin: 0.1,
            idle_span: Duration::from_secs(300),
            backlog_span: Duration::from_secs(30),
            min_live: 1,
            max_starts: 4,
        }
    }
}

/// One endpoint of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
    /// Phase of the endpoint.
    pub phase: EndpointPhase,
    /// Capacity of the endpoint for the model, in output tokens per second.
    pub rate: f64,
    /// Cost per hour in the deployment's currency.
    pub cost_per_hour: f64,
}

/// A snapshot of the endpoints that offer one model and of the demand for this model.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSnapshot {
    /// Key of the model.
    pub model: ModelKey,
    /// Current demand in tokens per second, with waiting requests spread over the backlog span.
    pub demand: f64,
    /// Predicted demand after the start time, in tokens per second.
    pub forecast: f64,
    /// Highest demand or forecast within the idle span, in tokens per second.
    pub peak: f64,
    /// Time for which the demand has been observed.
    pub observed: Duration,
    /// All endpoints that offer the model, sorted by key.
    pub members: Vec<PoolMember>,
}

impl PoolSnapshot {
    /// Returns the members that are in one of `phases`.
    pub fn members_in<'a>(
        &'a self,
        phases: &'a [EndpointPhase],
    ) -> impl Iterator<Item = &'a PoolMember> {
        self.members.iter().filter(move |member| phases.contains(&member.phase))
    }

    /// Reports whether the capacity suffices if it is reduced by `rate` tokens per second.
    pub fn can_spare(&self, rate: f64, settings: &ScaleSettings) -> bool {
        let needed = self.peak / settings.target_utilization * (1.0 + settings.stop_margin);
        self.capacity() - rate >= needed
    }

    /// Returns the capacity of the live and starting endpoints in tokens per second.
    pub fn capacity(&self) -> f64 {
        let phases = [EndpointPhase::Live, EndpointPhase::Starting];
        self.members_in(&phases).map(|member| member.rate).sum()
    }
}
