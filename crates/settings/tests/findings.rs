//! Snapshots of the findings for invalid settings and of the values for valid ones.

use std::fmt::Write;

use pimentorock_settings::{
    compile::{compile, compile_with_policies},
    policy::PolicyRegistry,
    process::ProcessSettings,
    source::parse_jsonc,
};
use serde_json::json;

fn tree_findings(text: &str) -> String {
    let (tree, positions) = match parse_jsonc(text, "fleet.jsonc") {
        Ok(parsed) => parsed,
        Err(report) => return report.to_string(),
    };
    match compile_with_policies(&tree, &PolicyRegistry::default(), Some(&positions)) {
        Ok(spec) => format!("{spec:#?}"),
        Err(report) => report.to_string(),
    }
}

fn snapshot(cases: &[(&str, &str)], check: impl Fn(&str) -> String) -> String {
    let mut out = String::new();
    for (name, text) in cases {
        writeln!(out, "== {name}\n{}\n", check(text)).unwrap();
    }
    out
}

const FLEET: &str = r#""fleet": {"endpoints": {
    "e1": {"domain": "d1", "models": ["small", "large"]},
    "book": {"domain": "d1", "kind": "service", "models": ["book"]}}}"#;

// Guards against invalid trees that are accepted, and against findings with a wrong position, text
// or hint.
#[test]
fn invalid_trees_produce_findings() {
    let with_fleet = |teams: &str| format!("{{{FLEET},\n\"teams\": {teams}}}");
    let dangling = with_fleet(
        r#"{"north": {
    "accounts": {"shop": {"models": ["smal"], "limits": {"concurency": 3}}},
    "classes": {"fast": {"match": {"accounts": ["shpo"], "models": ["book"]}}}}}"#,
    );
    let units = with_fleet(
        r#"{"north": {"classes": {
    "a": {"first_token": 770, "between_tokens": "27", "deadline": "1d"},
    "b": {"floor": 2, "tier": "1", "order": 1.5},
    "c": {"floor": "101%", "idempotent": "yes", "first_token": "0ms"},
    "d": {"floor": "0%", "deadline": "500ms"}}}}"#,
    );
    let covered = with_fleet(
        r#"{"north": {"accounts": {"a": {}, "b": {"models": ["large"]}}, "classes": {
    "by-a": {"order": 1, "match": {"accounts": ["a"]}},
    "by-b": {"order": 2, "match": {"accounts": ["b"], "labels": ["x"]}},
    "pair": {"order": 3, "match": {"accounts": ["a", "b"], "labels": ["x"]}},
    "small-b": {"order": 4, "match": {"accounts": ["b"], "models": ["small"]}},
    "rest": {"order": 5},
    "after-rest": {"order": 6, "match": {"labels": ["y"]}}}},
    "south": {"classes": {"rest": {}}}}"#,
    );
    let floors = with_fleet(
        r#"{"north": {"classes": {"a": {"floor": "70%", "match": {"labels": ["a"]}}}},
    "south": {"classes": {"b": {"floor": "40%"}}}}"#,
    );
    let names = r#"{"fleet": {"endpoints": {"e 1": {}, "e2": {"kind": "enigne"}},
    "policies": {"queue": "tired", "route": "expected"}}, "team": {}}"#;
    let cases = [
        ("dangling names and unknown fields", dangling.as_str()),
        ("units and types", &units),
        ("unreachable classes", &covered),
        ("floors", &floors),
        ("names and policies", names),
        ("field twice", "{\"teams\": {},\n \"teams\": {}}"),
        ("no JSON", "{\"teams\": \n {]"),
        ("empty", " // nothing\n"),
        ("other type", "{\"teams\": [1], \"fleet\": null}"),
    ];
    insta::assert_snapshot!(snapshot(&cases, tree_findings));
}

// Guards against changed defaults of omitted fields.
#[test]
fn omitted_fields_get_their_defaults() {
    let text = format!(
        "{{{FLEET}, /* a path as a property */
        \"/teams/north/accounts/shop\": {{}}, \"teams\": {{\"north\": {{\"classes\": {{\"c\": {{}},}}}}}}}}"
    );
    // The compiler reports a property whose name is a path as unknown; `pimentorock-ctl` resolves such
    // properties before it compiles a tree.
    assert!(tree_findings(&text).contains("unknown field \"/teams/north/accounts/shop\""));
    let text = format!(
        "{{{FLEET}, \"teams\": {{\"north\": {{\"accounts\": {{\"shop\": {{}}}}, \"classes\": {{\"c\": {{}},}}}}}}}}"
    );
    insta::assert_snapshot!(tree_findings(&text));
}

// Guards against a compiler that accepts only the policies of `PolicyRegistry::default`: the kernel
// registers more, such as `edf`.
#[test]
fn settings_may_select_registered_policies() {
    let compiled = compile(
        &json!({"fleet": {"policies": {"queue": "edf", "route": "random", "scale": "threshold"}}}),
    );
    let policies = compiled.unwrap().policies;
    assert_eq!(
        (&*policies.queue, &*policies.route, &*policies.scale),
        ("edf", "random", "threshold")
    );
}

// Guards against fields of a process file that are lost, and against invalid files that are
// accepted or get wrong findings.
#[test]
fn process_files_produce_settings_or_findings() {
    let agent = r#"{
  // An agent beside one engine.
  "name": "agent-1", "role": "agent", "host": "h1", "domain": "d1", "region": "west",
  "listen": "127.0.0.1:7001", "operators": "127.0.0.1:7002", "peer": "127.0.0.1:7003",
  "platform": "http://127.0.0.1:9000/", "peers": ["127.0.0.1:7103"],
  "endpoints": [{"name": "e1", "url": "http://127.0.0.1:8001", "load_url": "http://127.0.0.1:8002"}],
  "logs": {"level": "warn", "format": "json", "parts": {"queue": "debug"}},
}"#;
    let wrong = r#"{"name": "", "role": "agnet", "host": "h1", "listen": "localhost:1",
  "operators": "127.0.0.1:7002", "peer": "127.0.0.1:7002", "platform": "http://user@host",
  "peers": [7], "endpoints": {}, "log": {}, "logs": {"level": "loud", "parts": {"queue": 3}}}"#;
    let entry = r#"{"name": "entry-1", "role": "entry", "host": "h", "domain": "d",
  "listen": "127.0.0.1:0", "operators": "127.0.0.1:0", "peer": "127.0.0.1:0",
  "platform": "127.0.0.1:9000",
  "endpoints": [{"name": "e1", "url": "ftp://x"}, {"name": "e1"}]}"#;
    let cases = [("agent", agent), ("wrong", wrong), ("entry with endpoints", entry)];
    let check = |text: &str| match ProcessSettings::parse(text, "process.jsonc") {
        Ok(settings) => format!("{settings:#?}"),
        Err(report) => report.to_string(),
    };
    insta::assert_snapshot!(snapshot(&cases, check));
}
