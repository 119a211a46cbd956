//! Configuration of the deployment, as decoded by an adapter.

use std::{collections::HashMap, time::Duration};

use pimentorock_kernel::place::{WarmupAllowance, WarmupLimit};

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version; it increases with each configuration, not always by one.
    pub version: u64,
    /// Routes that assign requests to services.
    pub routes: Vec<RouteSpec>,
    /// Services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// Limits on what a caller sends.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the limits for endpoints that warm up, by service.
    pub(crate) fn warmup_limits(
        &self,
        allowance: WarmupAllowance,
    ) -> HashMap<Box<str>, WarmupLimit> {
        let limit = |service: &ServiceSpec| {
            let WarmupSpec { span, per_second } = service.warmup?;
            Some((service.name.clone(), WarmupLimit::new(span, per_second, allowance)?))
        };
        self.services.iter().filter_map(limit).collect()
    }
}

/// Kind of a request, which decides whether the request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The response is not streamed, and the request may run more than once.
    Idempotent,
    /// The response is not streamed, and the request runs at most once.
    Once,
    /// The response is a stream of events.
    Stream,
}

/// A rule that assigns requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name in logs and metrics.
    pub name: Box<str>,
    /// Host name that callers request, in lower case and without a port.
    pub host: Box<str>,
    /// Prefix of the request paths that the route matches.
    pub path_prefix: Box<str>,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Time within which the response, or the first event of a stream, is on time; `None` if the route
    /// has no such target.
    pub latency_target: Option<Duration>,
    /// Maximum pause between two events of a stream that meets its target; `None` if the route has
    /// no such target.
    pub pause_target: Option<Duration>,
    /// Whether the streams of the route allow only short pauses compared with the other routes of
    /// their services. Computed when the configuration is indexed.
    pub strict: bool,
    /// Service tier; 0 is the highest. `None` if the route has no tier.
    pub tier: Option<u8>,
    /// Services with the weights by which requests are split among them.
    pub services: Vec<(Box<str>, u32)>,
    /// Maximum number of times that one request may run.
    pub max_runs: u32,
    /// Whether requests of the route need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
}

impl RouteSpec {
    /// Reports whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service, which is a set of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name, unique in the configuration.
    pub name: Box<str>,
    /// Number of tokens that fit the memory of one endpoint; `None` if the service is not a model.
    pub memory_tokens: Option<u64>,
    /// What the service's endpoints tolerate after a start; `None` if they need no warm-up.
    pub warmup: Option<WarmupSpec>,
}

/// What the endpoints of a service tolerate after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSpec {
    /// Time for which an endpoint warms up.
    pub span: Duration,
    /// Requests a second that an endpoint tolerates while it warms up.
    pub per_second: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Name in usage reports and at endpoints.
    pub name: Box<str>,
    /// API keys that identify the account.
    pub keys: Vec<Box<str>>,
    /// Service tier of all requests of the account, combined with the tier of the route; `None` if
    /// the account has none.
    pub tier: Option<u8>,
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}
