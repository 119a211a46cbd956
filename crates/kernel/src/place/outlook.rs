//! Why no endpoint took a request.

use std::time::Duration;

/// What spoke against all endpoints of a service, for the log of a request that was not placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceOutlook {
    /// Endpoints that take new work for the service.
    pub open: u32,
    /// Those of them that are down.
    pub down: u32,
    /// Those of the others that have no memory for the request.
    pub short_of_memory: u32,
    /// Requests at the one with the fewest.
    pub least_load: u32,
    /// Requests up to which that one takes this request, if it need read no shared part again.
    pub load_limit: u32,
    /// Age of what is known of other entries' requests there.
    pub others_age: Option<Duration>,
}
