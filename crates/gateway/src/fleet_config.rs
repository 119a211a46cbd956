//! The configuration of the deployment, as an adapter decodes it.

use std::time::Duration;

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Grows with each configuration, in uneven steps.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<RouteSpec>,
    /// Services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// Client accounts; none if requests need no key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// Limits on what a caller sends.
    pub limits: CallerLimits,
}

/// What a request is, which decides whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Its answer is one piece; it may run more than once.
    Idempotent,
    /// Its answer is one piece; it runs at most once.
    Once,
    /// Its answer is a stream of events.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Host name that callers ask for, in lower case.
    pub host: Box<str>,
    /// Start of the paths that it takes.
    pub path_prefix: Box<str>,
    /// What its requests are.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Longest pause between two events for which a stream is on time.
    pub pause_target: Option<Duration>,
    /// Whether its streams allow only short pauses, compared with others of their service;
    /// found when the configuration is indexed.
    pub strict: bool,
    /// Service tier; 0 is the highest.
    pub tier: Option<u8>,
    /// Services with the weights by which requests are divided among them.
    pub services: Vec<(Box<str>, u32)>,
    /// Most endpoints that may run one request.
    pub max_runs: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,
}

impl RouteSpec {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: Box<str>,
    /// Tokens that fit the memory of one of its endpoints; none for a plain service.
    pub memory_tokens: Option<u64>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Name.
    pub name: Box<str>,
    /// Keys that its callers show.
    pub keys: Vec<Box<str>>,
    /// Service tier of all its requests, in place of their routes'.
    pub tier: Option<u8>,
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection stays open unused.
    pub idle_time: Duration,
}
