//! When endpoints are started and stopped, by failure domain, cost and service.
//!
//! The process in charge passes in what it knows of endpoints and demand; desired actions come
//! out. Orders, their identifiers and the lease to send them belong to [`control`](crate::control).
//! A planned stop drains first: [`ScaleAction::Stop`] comes only for a draining endpoint that
//! runs nothing.

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
