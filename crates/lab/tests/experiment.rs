//! Tests of simulated experiments: determinism, errors, poison requests and report tables.

use std::path::Path;

use pimentorock_lab::{
    experiment::{self, ExperimentSpec},
    jsonc,
};

/// Returns an experiment that is shortened to 30 s and to the scenario `name`.
fn shortened_experiment(file: &str, name: &str) -> ExperimentSpec {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut spec: ExperimentSpec = jsonc::read_file(&root.join(file)).unwrap();
    spec.seconds = 30.0;
    spec.window = [5.0, 20.0];
    spec.scenarios.retain(|scenario| *scenario.name == *name);
    assert_eq!(spec.scenarios.len(), 1, "{file} must have exactly one scenario {name}");
    spec
}

/// Guards against nondeterminism: a report must depend on nothing but the experiment and the seed.
#[test]
fn same_seed_produces_same_report() {
    let mut spec = shortened_experiment("swachh-ghar.jsonc", "crash, poison, lag");
    spec.policies.retain(|policy| &*policy[1] == "expected");
    let json = |seed| {
        let report = experiment::simulate(&spec, seed).unwrap();
        serde_json::to_string(&report).unwrap()
    };
    assert_eq!(json(7), json(7));
    assert_ne!(json(7), json(8));
}

/// A class or a queue order that does not exist must be reported by kind and name, not simulated.
#[test]
fn unknown_names_are_reported_with_their_kind() {
    let mut spec = shortened_experiment("swachh-ghar.jsonc", "calm");
    spec.traffic[0].class = "swachh/none".into();
    let error = experiment::simulate(&spec, 1).unwrap_err();
    assert_eq!(error, "class \"swachh/none\" does not exist");
    spec = shortened_experiment("swachh-ghar.jsonc", "calm");
    spec.policies[0][0] = "none".into();
    let error = experiment::simulate(&spec, 1).unwrap_err();
    assert_eq!(error, "queue order \"none\" does not exist");
}

/// A poison request crashes every endpoint that runs it, and its caller sends it again.
///
/// Entries learn of crashes from digests, which are delayed by 1.5 s in this scenario, so that a
/// retry may arrive at an endpoint before the crash is known. The third crash must not happen.
#[test]
fn poison_request_crashes_at_most_two_endpoints_despite_delayed_digests() {
    for (file, seed) in [("swachh-ghar.jsonc", 8), ("disipadores-cantabricos.jsonc", 1)] {
        let mut spec = shortened_experiment(file, "crash, poison, lag");
        spec.seconds = 50.0;
        spec.window = [30.0, 50.0];
        spec.policies.retain(|policy| &*policy[1] == "expected");
        let report = experiment::simulate(&spec, seed).unwrap();
        let (_, run) = &report.scenarios[0].runs[0];
        assert_eq!((run.poisoned, run.violations), (2, 0), "{file} seed {seed}");
    }
}

/// Guards against unintended changes of the simulation, its metrics or the layout of the table.
#[test]
fn burst_reports_match_snapshots() {
    let bursts = [
        ("swachh_ghar", "swachh-ghar.jsonc", "burst of chat"),
        ("disipadores_cantabricos", "disipadores-cantabricos.jsonc", "burst of reports"),
    ];
    for (name, file, burst) in bursts {
        let mut spec = shortened_experiment(file, burst);
        spec.policies.retain(|[queue, route]| {
            matches!((&**queue, &**route), ("fifo", "naive-random") | ("tiered", "expected"))
        });
        let report = experiment::simulate(&spec, 1).unwrap();
        insta::assert_snapshot!(name, report.table());
    }
}
