//! Compiles a settings tree into the kernel's catalog.

use std::collections::{BTreeMap, BTreeSet};

use pimentorock_kernel::{
    catalog::{CatalogSpec, PolicyNames},
    queue, route, scale,
};
use serde_json::Value;

use crate::{
    account::read_account, class::read_class, coverage::check_reachability,
    endpoint::read_endpoint, policy::PolicyRegistry, position::PositionMap, reader::ObjectReader,
    report::FindingReport, sink::FindingSink, source::join_path,
};

/// Tolerance for sums of floors, which binary floating-point numbers do not represent exactly. The
/// floor of a class is the fraction of each endpoint that the class is guaranteed.
const FLOOR_TOLERANCE: f64 = 1e-9;

/// Compiles a settings tree, which may select the policies that are registered in the kernel.
///
/// A null or empty tree compiles to an empty catalog.
///
/// # Errors
///
/// Fails with all findings if the tree is invalid.
pub fn compile(tree: &Value) -> Result<CatalogSpec, FindingReport> {
    compile_with_positions(tree, None)
}

/// Compiles a settings tree like [`compile`], with findings that contain the file positions from
/// `positions`.
///
/// # Errors
///
/// Fails with all findings if the tree is invalid.
pub fn compile_with_positions(
    tree: &Value,
    positions: Option<&PositionMap>,
) -> Result<CatalogSpec, FindingReport> {
    let registered = [queue::policy_names(), route::policy_names(), scale::policy_names()];
    let [queue, route, scale] = &registered;
    compile_with_policies(tree, &PolicyRegistry { queue, route, scale }, positions)
}

/// Compiles a settings tree like [`compile`], with the error type that the kernel's `ConfigReplay`
/// expects.
///
/// # Errors
///
/// Fails with the text of all findings, one per line, if the tree is invalid.
pub fn check_tree(tree: &Value) -> Result<CatalogSpec, Box<str>> {
    compile(tree).map_err(|report| report.to_string().into())
}

/// Compiles a settings tree, which may select the policies in `registry`.
///
/// # Errors
///
/// Fails with all findings if the tree is invalid.
pub fn compile_with_policies(
    tree: &Value,
    registry: &PolicyRegistry<'_>,
    positions: Option<&PositionMap>,
) -> Result<CatalogSpec, FindingReport> {
    let mut sink = FindingSink::new(positions);
    let mut spec = CatalogSpec::default();
    if !tree.is_null() {
        let mut reader = ObjectReader::new(&mut sink, tree, "");
        if let Some(fleet) = reader.object(&mut sink, "fleet") {
            read_fleet(fleet, &mut sink, registry, &mut spec);
        }
        if let Some(teams) = reader.object(&mut sink, "teams") {
            for (team, value) in teams.named_fields(&mut sink) {
                let path = teams.field_path(team);
                read_team(ObjectReader::new(&mut sink, value, &path), &mut sink, team, &mut spec);
            }
        }
        reader.finish(&mut sink);
    }
    check_references(&spec, &mut sink);
    check_floors(&spec, &mut sink);
    check_reachability(&spec, &mut sink);
    sink.finish(spec)
}

fn read_fleet(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    registry: &PolicyRegistry<'_>,
    spec: &mut CatalogSpec,
) {
    if let Some(endpoints) = reader.object(sink, "endpoints") {
        for (name, value) in endpoints.named_fields(sink) {
            let reader = ObjectReader::new(sink, value, &endpoints.field_path(name));
            spec.endpoints.extend(read_endpoint(reader, sink, name));
        }
    }
    if let Some(policies) = reader.object(sink, "policies") {
        spec.policies = read_policies(policies, sink, registry);
    }
    if let Some(mut usage) = reader.object(sink, "usage") {
        if let Some(window) = usage.duration(sink, "window") {
            spec.usage_window = window;
        }
        usage.finish(sink);
    }
    reader.finish(sink);
}

fn read_policies(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    registry: &PolicyRegistry<'_>,
) -> PolicyNames {
    let mut names = PolicyNames::default();
    let kinds = [
        ("queue", registry.queue, &mut names.queue),
        ("route", registry.route, &mut names.route),
        ("scale", registry.scale, &mut names.scale),
    ];
    for (kind, known, name) in kinds {
        let Some(text) = reader.text(sink, kind) else { continue };
        if known.contains(&text) {
            *name = text.into();
        } else {
            reader.report_unknown(sink, kind, text, known.iter().copied());
        }
    }
    reader.finish(sink);
    names
}

fn read_team(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    team: &str,
    spec: &mut CatalogSpec,
) {
    if let Some(accounts) = reader.object(sink, "accounts") {
        for (name, value) in accounts.named_fields(sink) {
            let reader = ObjectReader::new(sink, value, &accounts.field_path(name));
            spec.accounts.push(read_account(reader, sink, team, name));
        }
    }
    if let Some(classes) = reader.object(sink, "classes") {
        for (name, value) in classes.named_fields(sink) {
            let reader = ObjectReader::new(sink, value, &classes.field_path(name));
            spec.classes.push(read_class(reader, sink, team, name));
        }
    }
    reader.finish(sink);
}

/// Reports references to models that no endpoint offers and to accounts that do not exist.
fn check_references(spec: &CatalogSpec, sink: &mut FindingSink<'_>) {
    let models: BTreeSet<&str> =
        spec.endpoints.iter().flat_map(|endpoint| &endpoint.models).map(|name| &**name).collect();
    for account in &spec.accounts {
        let path = join_path(&entity_path("accounts", &account.name), "models");
        check_models(&account.models, &models, &path, sink);
    }
    let mut accounts: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for account in &spec.accounts {
        accounts.entry(team_of(&account.name)).or_default().insert(local_name(&account.name));
    }
    let none = BTreeSet::new();
    for class in &spec.classes {
        let path = join_path(&entity_path("classes", &class.name), "match");
        check_models(&class.matches.models, &models, &join_path(&path, "models"), sink);
        let team = team_of(&class.name);
        let known = accounts.get(team).unwrap_or(&none);
        for (index, name) in class.matches.accounts.iter().enumerate() {
            if !known.contains(&**name) {
                let path = format!("{path}/accounts/{index}");
                let problem = format!("account \"{name}\" does not exist in team \"{team}\"");
                report_unknown_name(name, known, &path, problem, sink);
            }
        }
    }
}

/// Reports the names at `path` that are not among `models`.
fn check_models(
    names: &[Box<str>],
    models: &BTreeSet<&str>,
    path: &str,
    sink: &mut FindingSink<'_>,
) {
    for (index, name) in names.iter().enumerate() {
        if !models.contains(&**name) {
            let problem = format!("no endpoint offers model \"{name}\"");
            report_unknown_name(name, models, &join_path(path, &index.to_string()), problem, sink);
        }
    }
}

/// Reports a reference to an unknown name, with similar known names as a hint.
fn report_unknown_name(
    name: &str,
    known: &BTreeSet<&str>,
    path: &str,
    problem: String,
    sink: &mut FindingSink<'_>,
) {
    match crate::names::nearest_hint(name, known.iter().copied()) {
        Some(hint) => sink.report_with_hint(path, problem, hint),
        None => sink.report(path, problem),
    }
}

/// Reports floors that together reserve more than the whole of an endpoint.
///
/// The floors of one tier are a part of all floors, so one check of the sum of all floors covers
/// each tier too.
fn check_floors(spec: &CatalogSpec, sink: &mut FindingSink<'_>) {
    let total: f64 = spec.classes.iter().map(|class| class.floor).sum();
    if total <= 1.0 + FLOOR_TOLERANCE {
        return;
    }
    let Some(largest) = spec.classes.iter().max_by(|a, b| a.floor.total_cmp(&b.floor)) else {
        return;
    };
    sink.report_with_hint(
        &join_path(&entity_path("classes", &largest.name), "floor"),
        format!(
            "the floors of all {} classes sum to {:.1}%, which exceeds 100%",
            spec.classes.len(),
            total * 100.0
        ),
        "this class has the largest floor; lower this floor or others",
    );
}

/// Returns the settings path of the account or class `TEAM/NAME`; `kind` is the name of the
/// collection in the team's subtree.
pub(crate) fn entity_path(kind: &str, name: &str) -> String {
    format!("/teams/{}/{kind}/{}", team_of(name), local_name(name))
}

/// Returns the team part of `TEAM/NAME`, or an empty string if there is none.
pub(crate) fn team_of(name: &str) -> &str {
    name.split_once('/').map_or("", |(team, _)| team)
}

/// Returns the name part of `TEAM/NAME`.
pub(crate) fn local_name(name: &str) -> &str {
    name.split_once('/').map_or(name, |(_, local)| local)
}
