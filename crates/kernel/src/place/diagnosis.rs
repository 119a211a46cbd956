//! The reasons why no endpoint accepted a request.

use std::time::Duration;

/// Summarizes why no endpoint of a service accepted a request, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementDiagnosis {
    /// Endpoints that accept new work for the service.
    pub open: u32,
    /// Open endpoints that are down.
    pub down: u32,
    /// Endpoints that are up but have too little free memory for the request.
    pub short_of_memory: u32,
    /// Requests at the least loaded endpoint that is up; 0 if none is up.
    pub least_load: u32,
    /// Number of requests below which the least loaded endpoint accepts this request, provided that
    /// the endpoint has all shared parts cached.
    pub load_limit: u32,
    /// Age of the last report on other entries' requests at the least loaded endpoint; `None` if
    /// there was no report.
    pub others_age: Option<Duration>,
}
