//! HTTP interface for operators.

mod metrics;
mod routes;

pub(crate) use self::{metrics::ServiceMetrics, routes::OperatorState};
