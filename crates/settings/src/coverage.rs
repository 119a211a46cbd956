//! Finds unreachable classes, to which no request can be assigned.
//!
//! A class matches the product of three sets: accounts, models and labels. An empty list matches
//! every value, including values that the settings do not name yet. A class is unreachable if
//! each combination that it matches is also matched by an earlier class of its team, or contains
//! a model that the account may not use. The check enumerates the combinations. All values that
//! no class names behave alike, so a single placeholder represents them.

use std::collections::HashMap;

use pimentorock_kernel::catalog::{AccountSpec, CatalogSpec, ClassSpec};

use crate::{
    compile::{entity_path, local_name, team_of},
    sink::FindingSink,
};

/// Index of the placeholder for all values that the settings do not name.
const OTHER_VALUES: usize = 0;

/// Reports unreachable classes of all teams.
pub(crate) fn check_reachability(spec: &CatalogSpec, sink: &mut FindingSink<'_>) {
    let mut classes: Vec<&ClassSpec> = spec.classes.iter().collect();
    classes.sort_by_key(|class| (team_of(&class.name), class.order, &*class.name));
    for team in classes.chunk_by(|a, b| team_of(&a.name) == team_of(&b.name)) {
        let name = team_of(&team[0].name);
        let accounts: Vec<&AccountSpec> =
            spec.accounts.iter().filter(|account| team_of(&account.name) == name).collect();
        check_team(team, &accounts, sink);
    }
}

/// Reports unreachable classes of one team, given its classes in matching order.
fn check_team(team: &[&ClassSpec], accounts: &[&AccountSpec], sink: &mut FindingSink<'_>) {
    let space = RequestSpace::new(team, accounts);
    let coverages: Vec<ClassCoverage> =
        team.iter().map(|class| ClassCoverage::new(class, &space)).collect();
    for (index, class) in team.iter().enumerate() {
        let overlapping_indexes: Vec<usize> =
            (0..index).filter(|&earlier| coverages[earlier].overlaps(&coverages[index])).collect();
        let overlapping: Vec<&ClassCoverage> =
            overlapping_indexes.iter().map(|&other| &coverages[other]).collect();
        if coverages[index].is_reachable(&overlapping, &space) {
            continue;
        }
        let path = entity_path("classes", &class.name);
        if coverages[index].is_reachable(&[], &space) {
            let names: Vec<&str> =
                overlapping_indexes.iter().map(|&other| local_name(&team[other].name)).collect();
            let problem = format!(
                "this class is unreachable: earlier classes match all of its requests: {}",
                names.join(", ")
            );
            sink.report_with_hint(&path, problem, "lower its \"order\" or narrow those classes");
        } else {
            let problem = "this class is unreachable: its accounts may not use its models";
            sink.report_with_hint(&path, problem, "widen \"match\" or the accounts' \"models\"");
        }
    }
}

/// The accounts, models and labels by which the classes of one team distinguish requests.
struct RequestSpace<'a> {
    accounts: ValueIndex<'a>,
    models: ValueIndex<'a>,
    labels: ValueIndex<'a>,
    /// For each account, which models it may use.
    allowed_models: Vec<Vec<bool>>,
}

impl<'a> RequestSpace<'a> {
    fn new(team: &[&'a ClassSpec], accounts: &[&'a AccountSpec]) -> RequestSpace<'a> {
        let mut space = RequestSpace {
            accounts: ValueIndex::new(),
            models: ValueIndex::new(),
            labels: ValueIndex::new(),
            allowed_models: Vec::new(),
        };
        for class in team {
            space.accounts.extend(&class.matches.accounts);
            space.models.extend(&class.matches.models);
            space.labels.extend(&class.matches.labels);
        }
        for account in accounts {
            space.accounts.insert(local_name(&account.name));
            space.models.extend(&account.models);
        }
        // Accounts that the settings do not describe, and those that the placeholder represents, may
        // use all models.
        space.allowed_models = vec![space.models.matched_values(&[]); space.accounts.len()];
        for account in accounts {
            let index = space.accounts.indexes[local_name(&account.name)];
            space.allowed_models[index] = space.models.matched_values(&account.models);
        }
        space
    }
}

/// Indexes of the named values of one kind, from 1; index 0 represents all other values.
struct ValueIndex<'a> {
    indexes: HashMap<&'a str, usize>,
}

impl<'a> ValueIndex<'a> {
    fn new() -> ValueIndex<'a> {
        ValueIndex { indexes: HashMap::new() }
    }

    fn insert(&mut self, name: &'a str) {
        let next = self.len();
        self.indexes.entry(name).or_insert(next);
    }

    fn extend(&mut self, names: &'a [Box<str>]) {
        names.iter().for_each(|name| self.insert(name));
    }

    /// Returns the number of values, including the placeholder.
    fn len(&self) -> usize {
        self.indexes.len() + 1
    }

    /// Returns for each index whether a list matches the value; an empty list matches all values.
    fn matched_values(&self, list: &[Box<str>]) -> Vec<bool> {
        let mut matched = vec![list.is_empty(); self.len()];
        for name in list {
            matched[self.indexes[&**name]] = true;
        }
        debug_assert!(
            list.is_empty() || !matched[OTHER_VALUES],
            "a list does not match values that it does not name"
        );
        matched
    }
}

/// The requests that one class matches, as the product of three sets of values.
struct ClassCoverage {
    accounts: Vec<bool>,
    models: Vec<bool>,
    labels: Vec<bool>,
}

impl ClassCoverage {
    fn new(class: &ClassSpec, space: &RequestSpace<'_>) -> ClassCoverage {
        ClassCoverage {
            accounts: space.accounts.matched_values(&class.matches.accounts),
            models: space.models.matched_values(&class.matches.models),
            labels: space.labels.matched_values(&class.matches.labels),
        }
    }

    /// Reports whether both classes match a common request.
    fn overlaps(&self, other: &ClassCoverage) -> bool {
        intersects(&self.accounts, &other.accounts)
            && intersects(&self.models, &other.models)
            && intersects(&self.labels, &other.labels)
    }

    /// Reports whether the class matches a request that its account may send and that none of the
    /// `overlapping` classes matches.
    fn is_reachable(&self, overlapping: &[&ClassCoverage], space: &RequestSpace<'_>) -> bool {
        member_indexes(&self.accounts).any(|account| {
            let of_account: Vec<&ClassCoverage> =
                overlapping.iter().copied().filter(|other| other.accounts[account]).collect();
            member_indexes(&self.models).filter(|&model| space.allowed_models[account][model]).any(
                |model| {
                    let of_model: Vec<&ClassCoverage> =
                        of_account.iter().copied().filter(|other| other.models[model]).collect();
                    member_indexes(&self.labels)
                        .any(|label| !of_model.iter().any(|other| other.labels[label]))
                },
            )
        })
    }
}

/// Returns the indexes of the members of a set.
fn member_indexes(set: &[bool]) -> impl Iterator<Item = usize> + '_ {
    set.iter().enumerate().filter(|(_, member)| **member).map(|(index, _)| index)
}

/// Reports whether two sets have a common member.
fn intersects(left: &[bool], right: &[bool]) -> bool {
    left.iter().zip(right).any(|(a, b)| *a && *b)
}
