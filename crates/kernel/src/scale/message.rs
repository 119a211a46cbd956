//! Input and output types of the scaler.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointKey, ModelKey},
    reason::DecisionReason,
};

/// The phase in the life cycle of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointPhase {
    /// The endpoint does not run and costs nothing.
    Stopped,
    /// The start was ordered, but the endpoint is not up yet.
    Starting,
    /// The endpoint is in service.
    Live,
    /// The endpoint accepts no new requests.
    Draining,
}

/// The state of one endpoint as the process responsible for scaling knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Phase of the endpoint; an order that is not yet settled counts as carried out.
    pub phase: EndpointPhase,
    /// Number of requests that run or wait at the endpoint.
    pub in_flight: u32,
}

/// The demand for one model in the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Key of the model.
    pub model: ModelKey,
    /// Demand since the previous status, in output tokens per second.
    pub tokens_per_second: f64,
    /// Output tokens of the waiting requests.
    pub waiting_tokens: f64,
}

/// The state of the fleet as the process responsible for scaling knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// States of the endpoints; an endpoint that is not listed counts as stopped.
    pub endpoints: Vec<EndpointStatus>,
    /// Demand of the models; a model that is not listed has no demand.
    pub demand: Vec<ModelDemand>,
}

/// A desired scaling action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScaleAction {
    /// Start one endpoint that offers the model.
    Start {
        /// Failure domain in which to start the endpoint.
        domain: Box<str>,
        /// Model that the endpoint must offer.
        model: ModelKey,
    },
    /// Send the endpoint no new requests.
    Drain {
        /// Endpoint to drain.
        endpoint: EndpointKey,
    },
    /// Stop the endpoint, which has drained.
    Stop {
        /// Endpoint to stop.
        endpoint: EndpointKey,
    },
}

/// A desired scaling action and its reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleDecision {
    /// Desired action.
    pub action: ScaleAction,
    /// Reason for the action.
    pub reason: DecisionReason,
}
