//! Looks up the route and the client account of a request.

use std::collections::HashMap;

use pimentorock_kernel::place::strict_pauses;

use crate::fleet_config::{AccountSpec, CallerLimits, FleetConfig, RouteSpec};

/// A configuration, indexed by host name and API key.
#[derive(Debug)]
pub(crate) struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// Routes by host name, the longest path prefix first.
    hosts: HashMap<Box<str>, Vec<RouteSpec>>,
    accounts: Vec<AccountSpec>,
    /// Index into `accounts` by API key; `None` if requests need no key.
    keys: Option<HashMap<Box<str>, usize>>,
    /// Services with both strict and other routes.
    partitioned: Vec<Box<str>>,
}

impl RouteTable {
    /// Returns the table for `config`.
    pub(crate) fn new(config: FleetConfig) -> RouteTable {
        let mut hosts: HashMap<Box<str>, Vec<RouteSpec>> = HashMap::new();
        let mut routes = config.routes;
        let partitioned = mark_strict(&mut routes);
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let needs_key = config.accounts.is_some();
        let accounts = config.accounts.unwrap_or_default();
        let keys = accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        RouteTable {
            version: config.version,
            limits: config.limits,
            hosts,
            accounts,
            keys: needs_key.then_some(keys),
            partitioned,
        }
    }

    /// Returns the version of the configuration.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the services with both strict and other routes.
    pub(crate) fn partitioned_services(&self) -> &[Box<str>] {
        &self.partitioned
    }

    /// Returns the limits for requests and connections of callers.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// A port in `host` is ignored, and the host name is not case-sensitive.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Reports whether requests need a key, unless their route is public.
    pub(crate) fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns all keys.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.iter().flat_map(|keys| keys.keys()).map(|key| &**key)
    }

    /// Returns the client account that `key` identifies.
    pub(crate) fn account(&self, key: &str) -> Option<&AccountSpec> {
        let index = self.keys.as_ref()?.get(key)?;
        self.accounts.get(*index)
    }
}

/// Marks the routes whose streams allow only short pauses compared with other routes of the same
/// service, and returns the services that have such routes.
fn mark_strict(routes: &mut [RouteSpec]) -> Vec<Box<str>> {
    let mut services: HashMap<Box<str>, Vec<usize>> = HashMap::new();
    let streams = routes.iter().enumerate().filter(|(_, route)| route.pause_target.is_some());
    for (index, route) in streams {
        for (service, _) in &route.services {
            services.entry(service.clone()).or_default().push(index);
        }
    }
    let mut partitioned = Vec::new();
    for (service, indices) in services {
        let pauses: Vec<_> = indices.iter().map(|index| routes[*index].pause_target).collect();
        let strict = strict_pauses(&pauses);
        if strict.contains(&true) {
            partitioned.push(service);
        }
        for (index, strict) in indices.into_iter().zip(strict) {
            routes[index].strict |= strict;
        }
    }
    partitioned
}
