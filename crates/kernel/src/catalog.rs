//! The compiled settings that decisions read.
//!
//! The settings crate compiles an accepted settings tree into a [`CatalogSpec`]. Each process
//! applies the spec to its [`ServiceCatalog`], which keeps every key stable for the lifetime of
//! the process, so that the keys of requests in flight stay valid when the settings change.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::ids::{AccountKey, ClassKey, EndpointKey, ModelKey};

/// Limits of one client account over the whole fleet; `None` means no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountLimits {
    /// Maximum number of requests per second.
    pub requests_per_second: Option<f64>,
    /// Maximum number of prompt and output tokens per second.
    pub tokens_per_second: Option<f64>,
    /// Maximum number of requests in flight.
    pub concurrency: Option<u32>,
}

/// A client account with its weight, its limits and the models it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Name in the form `TEAM/ACCOUNT`.
    pub name: Box<str>,
    /// Weight in the distribution of service among accounts, at least 1.
    pub weight: u32,
    /// Limits of the account in the whole fleet.
    pub limits: AccountLimits,
    /// Names of the models and services that the account may use; empty means all.
    pub models: Vec<Box<str>>,
}

/// The requests of a team that belong to a class; an empty list matches every request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassMatch {
    /// Account names without the team prefix.
    pub accounts: Vec<Box<str>>,
    /// Model or service names.
    pub models: Vec<Box<str>>,
    /// Values of the `x-request-class` header; an empty list also matches a request without it.
    pub labels: Vec<Box<str>>,
}

/// A request class with its tier and service level targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Name in the form `TEAM/CLASS`.
    pub name: Box<str>,
    /// Service tier; 0 is the highest.
    pub tier: u8,
    /// Position in the matching order of the team; classes with lower values are tried first.
    pub order: u32,
    /// Criteria that a request of the class meets.
    pub matches: ClassMatch,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: Duration,
    /// Maximum time from the arrival of a request to the last byte of its answer.
    pub deadline: Duration,
    /// Minimum share of an endpoint's tokens, 0 to 1, that the class gets while it has requests.
    pub floor: f64,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// Whether a running request may be paused for a request of a higher tier.
    pub preemptible: bool,
}

/// The kind of server behind an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service, which is an HTTP service that is not a model engine.
    Service,
}

/// Whether an endpoint itself rejects orders with an outdated fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The endpoint checks the fencing number.
    Checked,
    /// The endpoint ignores the fencing number, and its agent checks the number instead.
    Ignored,
}

/// An endpoint of the deployment with its capacity and cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Name, unique in the fleet.
    pub name: Box<str>,
    /// Name of the failure domain.
    pub domain: Box<str>,
    /// Kind of server behind the endpoint.
    pub kind: EndpointKind,
    /// Names of the models that an engine can serve; for a plain service, only its own name.
    pub models: Vec<Box<str>>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Output tokens per second with all slots in use.
    pub tokens_per_second: f64,
    /// Cost per hour in the deployment's currency.
    pub cost_per_hour: f64,
    /// Whether the endpoint or its agent checks fencing numbers.
    pub fencing: FencingMode,
}

/// Names of the active policies; each policy is a plug-in registered in this crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyNames {
    /// Policy of the queue order at an agent.
    pub queue: Box<str>,
    /// Policy of the endpoint choice at an entry.
    pub route: Box<str>,
    /// Policy that starts and stops endpoints.
    pub scale: Box<str>,
}

impl Default for PolicyNames {
    fn default() -> PolicyNames {
        PolicyNames { queue: "tiered".into(), route: "expected".into(), scale: "none".into() }
    }
}

/// Default length of a usage window.
pub const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(3600);

/// A complete accepted configuration, in which objects refer to each other by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogSpec {
    /// Client accounts of all teams.
    pub accounts: Vec<AccountSpec>,
    /// Classes of all teams.
    pub classes: Vec<ClassSpec>,
    /// Endpoints of the deployment.
    pub endpoints: Vec<EndpointSpec>,
    /// Active policies.
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
    /// Name that callers use.
    pub name: Box<str>,
}

/// Arenas of the active configuration, with stable keys.
///
/// An object that a later revision no longer contains keeps its key and its last spec, but can
/// no longer be looked up by name, except for models.
#[derive(Clone, Debug, Default)]
pub struct ServiceCatalog {
    revision: u64,
    /// Client accounts by key, including removed ones.
    pub accounts: SlotMap<AccountKey, AccountSpec>,
    /// Request classes by key, including removed ones.
    pub classes: SlotMap<ClassKey, ClassSpec>,
    /// Endpoints by key, including removed ones.
    pub endpoints: SlotMap<EndpointKey, EndpointSpec>,
    /// Models and services by key, including removed ones.
    pub models: SlotMap<ModelKey, ModelEntry>,
    /// Active policies.
    pub policies: PolicyNames,
    /// Length of a usage window; zero until the first settings are applied.
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

    /// Returns the revision of the active configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the configuration and keeps the keys of names that already exist.
    ///
    /// Returns `false` and changes nothing if `revision` is lower than the active revision.
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

    /// Returns the key of the account `TEAM/ACCOUNT` if the active configuration contains it.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.account_names.get(name).copied()
    }

    /// Returns the key of the class `TEAM/CLASS` if the active configuration contains it.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_names.get(name).copied()
    }

    /// Returns the key of an endpoint if the active configuration contains it.
    pub fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.endpoint_names.get(name).copied()
    }

    /// Returns the key of a model or service that an endpoint offers or offered earlier.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        self.model_names.get(name).copied()
    }

    /// Returns the accounts of the active configuration.
    pub fn live_accounts(&self) -> impl Iterator<Item = AccountKey> + '_ {
        self.account_names.values().copied()
    }

    /// Returns the classes of the active configuration.
    pub fn live_classes(&self) -> impl Iterator<Item = ClassKey> + '_ {
        self.class_names.values().copied()
    }

    /// Returns the endpoints of the active configuration.
    pub fn live_endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.endpoint_names.values().copied()
    }

    /// Returns the endpoints of the active configuration that offer `model`.
    pub fn endpoints_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = EndpointKey> + 'a {
        self.live_endpoints()
            .filter(move |&key| self.endpoints[key].models.iter().any(|name| &**name == model))
    }

    /// Reports whether `account` may use `model`.
    pub fn may_use(&self, account: AccountKey, model: &str) -> bool {
        let models = &self.accounts[account].models;
        models.is_empty() || models.iter().any(|name| &**name == model)
    }

    /// Returns the first class of the account's team that matches the request.
    ///
    /// `label` is the value of the `x-request-class` header. Classes are tried by `order` and
    /// then by name.
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

/// Reports whether a list of a [`ClassMatch`] matches `value`; an empty list always does.
fn list_matches(list: &[Box<str>], value: Option<&str>) -> bool {
    list.is_empty() || value.is_some_and(|value| list.iter().any(|name| &**name == value))
}

/// Inserts or replaces each spec by its name and returns the keys of all given specs.
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
