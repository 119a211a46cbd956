//! Finds the route and the client account of a request.

use std::collections::HashMap;

use pimentorock_kernel::place::strict_pauses;

use crate::fleet_config::{AccountSpec, CallerLimits, FleetConfig, RouteSpec};

/// A configuration, indexed for requests.
#[derive(Debug)]
pub(crate) struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<RouteSpec>>,
    accounts: Vec<AccountSpec>,
    /// Account of each key; `None` if requests need no key.
    keys: Option<HashMap<Box<str>, usize>>,
    /// Services that have strict routes and others.
    partitioned: Vec<Box<str>>,
}

impl RouteTable {
    /// Returns the table of `config`.
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

    /// Returns the configuration's version.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the services that have strict routes and others.
    pub(crate) fn partitioned_services(&self) -> &[Box<str>] {
        &self.partitioned
    }

    /// Returns the limits on what callers send.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// A port behind the host name does not count, nor does the case of its letters.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether requests need a key.
    pub(crate) fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the account that holds `key`.
    pub(crate) fn account(&self, key: &str) -> Option<&AccountSpec> {
        let index = self.keys.as_ref()?.get(key)?;
        self.accounts.get(*index)
    }
}

/// Marks the routes whose streams allow only short pauses, compared with others of their service,
/// and returns the services that have such.
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
