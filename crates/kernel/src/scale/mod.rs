//! Scaling decisions: when endpoints are started and stopped, by demand, failure domain and cost.
//!
//! The process that is responsible for scaling passes in the state of the endpoints and the
//! demand, and receives the desired actions. The module [`control`](crate::control) handles the
//! orders that carry out the actions, their identifiers and the lease that permits sending them.
//! An endpoint is drained before it is stopped: [`ScaleAction::Stop`] is only returned for a
//! draining endpoint that runs no requests.

mod forecast;
mod message;
mod policy;
mod pool;
mod scaler;

pub use self::{
    forecast::DemandForecast,
    message::{
        EndpointPhase, EndpointStatus, FleetStatus, ModelDemand, ScaleAction, ScaleDecision,
    },
    policy::{PoolPlan, ScalePolicy, policy_names},
    pool::{PoolMember, PoolSnapshot, ScaleSettings},
    scaler::EndpointScaler,
};
