//! What a scaling policy sees of the endpoints that offer one model.

use std::time::Duration;

use crate::{
    ids::{EndpointKey, ModelKey},
    scale::EndpointPhase,
};

/// Settings of scaling.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSettings {
    /// Time from the order until an endpoint serves.
    pub start_time: Duration,
    /// Share of capacity that demand may take.
    pub target_utilization: f64,
    /// Share by which capacity must exceed what was needed before an endpoint is stopped.
    pub stop_margin: f64,
    /// Time for which capacity must have been surplus before an endpoint is stopped.
    ///
    /// A few start times: an idle endpoint is kept about as long as it would cost to start it
    /// again (the break-even rule of the ski-rental problem).
    pub idle_span: Duration,
    /// Time within which waiting requests are to be worked off.
    pub backlog_span: Duration,
    /// Endpoints of each model that are kept at least.
    pub min_live: usize,
    /// Endpoints of each model that are started at once at most.
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

/// One endpoint that offers the model.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it stands.
    pub phase: EndpointPhase,
    /// Output tokens a second that it gives the model.
    pub rate: f64,
    /// Cost of one hour.
    pub cost_per_hour: f64,
}

/// What a scaling policy sees of the endpoints that offer one model.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSnapshot {
    /// The model.
    pub model: ModelKey,
    /// Demand now, in tokens a second, with waiting requests spread over the backlog span.
    pub demand: f64,
    /// Demand to be ready for after the start time.
    pub forecast: f64,
    /// Highest demand or forecast within the idle span.
    pub peak: f64,
    /// For how long demand has been seen.
    pub observed: Duration,
    /// All endpoints that offer the model, by key.
    pub members: Vec<PoolMember>,
}

impl PoolSnapshot {
    /// Returns the members in one of `phases`.
    pub fn members_in<'a>(
        &'a self,
        phases: &'a [EndpointPhase],
    ) -> impl Iterator<Item = &'a PoolMember> {
        self.members.iter().filter(move |member| phases.contains(&member.phase))
    }

    /// Returns whether the model can do without `rate` tokens a second of its capacity.
    pub fn can_spare(&self, rate: f64, settings: &ScaleSettings) -> bool {
        let needed = self.peak / settings.target_utilization * (1.0 + settings.stop_margin);
        self.capacity() - rate >= needed
    }

    /// Returns the tokens a second of the endpoints in service or on their way.
    pub fn capacity(&self) -> f64 {
        let phases = [EndpointPhase::Live, EndpointPhase::Starting];
        self.members_in(&phases).map(|member| member.rate).sum()
    }
}
