//! The compiled settings that decisions read.
//!
//! The settings crate turns an accepted settings tree into a [`CatalogSpec`]; each process
//! applies it to its [`ServiceCatalog`], which keeps every key stable for as long as the
//! process lives, so that requests in flight keep valid keys over a change of settings.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::ids::{AccountKey, ClassKey, EndpointKey, ModelKey};

/// Limits of one client account over the whole fleet; `None` means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountLimits {
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Prompt and output tokens a second.
    pub tokens_per_second: Option<f64>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// `TEAM/ACCOUNT`.
    pub name: Box<str>,
    /// Share of service relative to other accounts, at least 1.
    pub weight: u32,
    /// Limits over the whole fleet.
    pub limits: AccountLimits,
    /// Models and services the account may use; empty means all.
    pub models: Vec<Box<str>>,
}

/// Which requests of a team a class takes; an empty list matches everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassMatch {
    /// Account names without the team.
    pub accounts: Vec<Box<str>>,
    /// Model or service names.
    pub models: Vec<Box<str>>,
    /// Values of the `x-request-class` header; empty matches also a request without it.
    pub labels: Vec<Box<str>>,
}

/// A request class with its service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// `TEAM/CLASS`.
    pub name: Box<str>,
    /// Service tier; 0 is the highest.
    pub tier: u8,
    /// Order of matching within the team; lower is tried first.
    pub order: u32,
    /// Which requests the class takes.
    pub matches: ClassMatch,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: Duration,
    /// Longest time from arrival to the last byte.
    pub deadline: Duration,
    /// Share of an endpoint's tokens the class gets at least while it has work, 0 to 1.
    pub floor: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether a running request may be paused for a higher tier.
    pub preemptible: bool,
}

/// What stands behind an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Whether an endpoint refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The endpoint checks the number itself.
    Checked,
    /// The endpoint ignores the number; its agent checks it instead.
    Ignored,
}

/// An endpoint that the deployment may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Name, unique over the fleet.
    pub name: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// What stands behind it.
    pub kind: EndpointKind,
    /// Models it can serve, or for a service the service's name alone.
    pub models: Vec<Box<str>>,
    /// Requests it runs at once.
    pub slots: u32,
    /// Tokens that fit its KV cache.
    pub kv_tokens: u64,
    /// Output tokens a second with all slots in use.
    pub tokens_per_second: f64,
    /// Cost of one hour, in the deployment's currency.
    pub cost_per_hour: f64,
    /// Who checks fencing numbers.
    pub fencing: FencingMode,
}

/// Names of the policies in force; each names a plug-in registered in the kernel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyNames {
    /// Queue order at an agent.
    pub queue: Box<str>,
    /// Endpoint choice at an entry.
    pub route: Box<str>,
    /// Starting and stopping of endpoints.
    pub scale: Box<str>,
}

impl Default for PolicyNames {
    fn default() -> PolicyNames {
        PolicyNames { queue: "tiered".into(), route: "expected".into(), scale: "none".into() }
    }
}

/// Length of a usage window unless the settings say otherwise.
pub const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(3600);

/// A whole accepted configuration, by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogSpec {
    /// Client accounts of all teams.
    pub accounts: Vec<AccountSpec>,
    /// Classes of all teams.
    pub classes: Vec<ClassSpec>,
    /// Endpoints of the deployment.
    pub endpoints: Vec<EndpointSpec>,
    /// Policies in force.
    pub policies: PolicyNames,
    /// Length of a usage window.
    pub usage_window: Duration,
}

impl Default for CatalogSpec {
    fn default() -> CatalogSpec {
        CatalogSpec {
            accounts: Vec::new(),
            classes: Vec::new(),
            endpoints: Vec::new(),
            policies: PolicyNames::default(),
            usage_window: DEFAULT_USAGE_WINDOW,
        }
    }
}

/// A model or plain service, known by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name as callers give it.
    pub name: Box<str>,
}

/// Arenas of the configuration in force, with stable keys.
///
/// A name that a later revision no longer holds keeps its key and is marked as removed.
#[derive(Clone, Debug, Default)]
pub struct ServiceCatalog {
    revision: u64,
    /// Client accounts.
    pub accounts: SlotMap<AccountKey, AccountSpec>,
    /// Classes.
    pub classes: SlotMap<ClassKey, ClassSpec>,
    /// Endpoints.
    pub endpoints: SlotMap<EndpointKey, EndpointSpec>,
    /// Models and services.
    pub models: SlotMap<ModelKey, ModelEntry>,
    /// Policies in force.
    pub policies: PolicyNames,
    /// Length of a usage window; zero before any settings are in force.
    pub usage_window: Duration,
    account_names: HashMap<Box<str>, AccountKey>,
    class_names: HashMap<Box<str>, ClassKey>,
    endpoint_names: HashMap<Box<str>, EndpointKey>,
    model_names: HashMap<Box<str>, ModelKey>,
}

impl ServiceCatalog {
    /// Returns an empty catalog at revision 0.
    pub fn new() -> ServiceCatalog {
        ServiceCatalog::default()
    }

    /// Returns a catalog that holds `spec` at `revision`.
    pub fn with_spec(revision: u64, spec: CatalogSpec) -> ServiceCatalog {
        let mut catalog = ServiceCatalog::new();
        catalog.apply(revision, spec);
        catalog
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the configuration, keeping the keys of names that are known already.
    ///
    /// Returns `false` and changes nothing if `revision` is lower than the one in force.
    pub fn apply(&mut self, revision: u64, spec: CatalogSpec) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.policies = spec.policies;
        self.usage_window = spec.usage_window;
        for endpoint in &spec.endpoints {
            for model in &endpoint.models {
                if !self.model_names.contains_key(model) {
                    let key = self.models.insert(ModelEntry { name: model.clone() });
                    self.model_names.insert(model.clone(), key);
                }
            }
        }
        self.account_names = upsert(&mut self.accounts, spec.accounts, |spec| &spec.name);
        self.class_names = upsert(&mut self.classes, spec.classes, |spec| &spec.name);
        self.endpoint_names = upsert(&mut self.endpoints, spec.endpoints, |spec| &spec.name);
        true
    }

    /// Returns the key of the account `TEAM/ACCOUNT` if it is in force.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.account_names.get(name).copied()
    }

    /// Returns the key of the class `TEAM/CLASS` if it is in force.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_names.get(name).copied()
    }

    /// Returns the key of an endpoint if it is in force.
    pub fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.endpoint_names.get(name).copied()
    }

    /// Returns the key of a model or service that some endpoint offers or offered.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        self.model_names.get(name).copied()
    }

    /// Returns the accounts in force.
    pub fn live_accounts(&self) -> impl Iterator<Item = AccountKey> + '_ {
        self.account_names.values().copied()
    }

    /// Returns the classes in force.
    pub fn live_classes(&self) -> impl Iterator<Item = ClassKey> + '_ {
        self.class_names.values().copied()
    }

    /// Returns the endpoints in force.
    pub fn live_endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.endpoint_names.values().copied()
    }

    /// Returns the endpoints in force that offer `model`.
    pub fn endpoints_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = EndpointKey> + 'a {
        self.live_endpoints()
            .filter(move |&key| self.endpoints[key].models.iter().any(|name| &**name == model))
    }

    /// Returns whether `account` may use `model`.
    pub fn may_use(&self, account: AccountKey, model: &str) -> bool {
        let models = &self.accounts[account].models;
        models.is_empty() || models.iter().any(|name| &**name == model)
    }

    /// Returns the first class of the account's team that takes the request.
    pub fn classify(
        &self,
        account: AccountKey,
        model: &str,
        label: Option<&str>,
    ) -> Option<ClassKey> {
        let (team, account_name) = self.accounts[account].name.split_once('/')?;
        self.live_classes()
            .filter(|&key| {
                let class = &self.classes[key];
                class.name.split_once('/').is_some_and(|(owner, _)| owner == team)
                    && list_matches(&class.matches.accounts, Some(account_name))
                    && list_matches(&class.matches.models, Some(model))
                    && list_matches(&class.matches.labels, label)
            })
            .min_by_key(|&key| (self.classes[key].order, self.classes[key].name.clone()))
    }
}

/// Returns whether a list of a [`ClassMatch`] takes `value`.
fn list_matches(list: &[Box<str>], value: Option<&str>) -> bool {
    list.is_empty() || value.is_some_and(|value| list.iter().any(|name| &**name == value))
}

/// Inserts or replaces each spec by its name and returns the keys of all specs given.
fn upsert<K: slotmap::Key, S>(
    arena: &mut SlotMap<K, S>,
    specs: Vec<S>,
    name: fn(&S) -> &Box<str>,
) -> HashMap<Box<str>, K> {
    let known: HashMap<Box<str>, K> =
        arena.iter().map(|(key, spec)| (name(spec).clone(), key)).collect();
    let mut names = HashMap::with_capacity(specs.len());
    for spec in specs {
        let label = name(&spec).clone();
        let key = match known.get(&label) {
            Some(&key) => {
                arena[key] = spec;
                key
            }
            None => arena.insert(spec),
        };
        names.insert(label, key);
    }
    names
}
