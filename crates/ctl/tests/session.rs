//! Sessions of the tool against a fake log and fake processes. Each session's calls and their
//! output are compared with a golden file, so that an unintended change of output, exit code or
//! JSON keys fails a test.

#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod fake_process;

use std::{fmt::Write, path::PathBuf};

use common::{AppendFault, FakeLog};
use fake_process::FakeProcess;
use pimentorock_ctl::{environment::ToolEnvironment, output::ToolOutput, run};
use pimentorock_kernel::{
    control::{ConfigReplay, UsageLedger},
    ids::{FencingNumber, ProcessId},
    record::{
        ConfigChange, ConfigEdit, ConfigRecord, STATE_STREAM, StateRecord, UsageBatch, UsageCounts,
        UsageLine, WindowClosed,
    },
};
use pimentorock_platform::{
    envelope::RecordEnvelope,
    wire::{HostEntry, HostState},
};
use pimentorock_settings::compile::check_tree;
use serde_json::json;

const STREAM: &str = "config";

/// Lengths in hexadecimal digits of the random values: key ids, request and change ids, and key
/// hashes and keys.
const RANDOM_VALUE_DIGITS: [usize; 3] = [12, 32, 64];

/// A request that the fake processes know, and one that they do not.
const REQUESTS: [&str; 2] =
    ["0123456789abcdef0123456789abcdef", "00000000000000000000000000000000"];

/// A sequence of calls of the tool and a transcript of their output.
struct ToolSession {
    common: Vec<String>,
    transcript: String,
    /// Random values in order of their first appearance.
    random_values: Vec<String>,
    directory: tempfile::TempDir,
    /// Texts that differ from run to run, and their replacements in the transcript.
    replacements: Vec<(String, &'static str)>,
}

impl ToolSession {
    fn new(log: Option<&FakeLog>, processes: &[&FakeProcess]) -> ToolSession {
        let mut common = vec!["--author=ana".to_owned()];
        common.extend(log.map(|log| format!("--platform={}", log.url)));
        common.extend(processes.iter().map(|process| format!("--process={}", process.url)));
        let directory = tempfile::tempdir().unwrap();
        let mut replacements = vec![(directory.path().display().to_string(), "DIR")];
        replacements.extend(log.map(|log| (log.url.clone(), "http://PLATFORM")));
        for (process, name) in processes.iter().zip(["http://FIRST", "http://SECOND"]) {
            replacements.push((process.url.clone(), name));
        }
        ToolSession {
            common,
            transcript: String::new(),
            random_values: Vec::new(),
            directory,
            replacements,
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Calls the tool, appends the call and its output to the transcript, and returns its standard
    /// output.
    async fn call(&mut self, args: &[&str]) -> String {
        let mut output = ToolOutput::new();
        let call_args = args.iter().map(|arg| (*arg).to_owned());
        let all: Vec<String> = call_args.chain(self.common.iter().cloned()).collect();
        let code = run(&all, &ToolEnvironment::new(), &mut output).await;
        let mut text = format!("$ pimentorock {}\n{}", args.join(" "), output.stdout);
        for line in output.stderr.lines() {
            writeln!(text, "! {line}").unwrap();
        }
        writeln!(text, "[{code}]\n").unwrap();
        for (original, name) in &self.replacements {
            text = text.replace(original, name);
        }
        let text = self.mask_random_values(&text);
        self.transcript.push_str(&text);
        output.stdout
    }

    /// Replaces each random value by a number; equal values get equal numbers.
    fn mask_random_values(&mut self, text: &str) -> String {
        let mut masked = String::new();
        let mut rest = text;
        while let Some(start) = rest.find(|c: char| c.is_ascii_hexdigit()) {
            let run = &rest[start..];
            let length = run.find(|c: char| !c.is_ascii_hexdigit()).unwrap_or(run.len());
            masked.push_str(&rest[..start]);
            let digits = &run[..length];
            if RANDOM_VALUE_DIGITS.contains(&length) && !REQUESTS.contains(&digits) {
                // A key id is a prefix of the key's hash and gets the same number.
                let same =
                    |random: &String| random.starts_with(digits) || digits.starts_with(&**random);
                let known = self.random_values.iter().position(same);
                let number = known.unwrap_or_else(|| {
                    self.random_values.push(digits.to_owned());
                    self.random_values.len() - 1
                });
                write!(masked, "<random {number}>").unwrap();
            } else {
                masked.push_str(digits);
            }
            rest = &run[length..];
        }
        masked + rest
    }
}

const FLEET: &str = r#"{
  // Two teams share one engine.
  "teams": {
    "north": {
      "accounts": {"shop": {"weight": 2}},
      "classes": {"chat": {"tier": 1, "floor": "5%"}},
    },
    "south": {"accounts": {"works": {}}},
  },
  "fleet": {"endpoints": {"e1": {"domain": "d1", "models": ["small"]}}},
}"#;

// Guards the output of all settings and account commands, including refused edits: findings with
// positions, conflicts with a base, edits outside a team and missing files.
#[tokio::test]
async fn settings_commands_check_apply_and_list_changes() {
    let log = FakeLog::start().await;
    let mut session = ToolSession::new(Some(&log), &[]);
    let fleet = session.file("fleet.jsonc", FLEET);
    let paths = session.file(
        "paths.jsonc",
        r#"{
  "/teams/south": null,
  "/teams/north/classes/bulk": {"match": {"models": ["smal"]}, "tier": 4, "flor": "1%"},
}"#,
    );
    let wrong = session.file("process.jsonc", r#"{"role": "entry", "nam": "e"}"#);
    for args in [
        &["settings", "check", &fleet] as &[&str],
        &["settings", "diff", &fleet],
        &["settings", "apply", &fleet],
        &["settings", "apply", &fleet],
        &["settings", "get", "/teams/north"],
        &["settings", "get", "/teams/west", "--json"],
        &["settings", "set", "/teams/north/classes/chat/deadline", "20s"],
        &["settings", "set", "/teams/north/classes/chat/deadline", "20"],
        &["settings", "set", "/teams/north/classes/chat", "{\"tier\": 1"],
        &["settings", "set", "--team", "south", "/teams/north/accounts/shop/weight", "9"],
        &["settings", "apply", &paths],
        &["settings", "apply", &paths, "--json"],
        &["settings", "delete", "/teams/south/accounts/works"],
        &["settings", "delete", "/teams/south/accounts/works"],
        &["settings", "set", "--base=2", "/teams/north/classes/chat/deadline", "25s"],
        &["settings", "set", "--base=2", "/teams/north/classes/chat/deadline", "25s", "--json"],
        &["account", "set", "south/works", "--weight=3", "--concurrency=8", "--model=small"],
        &["account", "set", "south", "--weight=3"],
        &["account", "list"],
        &["class", "list"],
        &["settings", "history"],
        &["settings", "history", "/teams/south", "--last=1"],
        // No such command.
        &["settings", "revert"],
        &["settings", "check", &fleet, &paths, &wrong],
        &["settings", "check", "absent.jsonc"],
    ] {
        session.call(args).await;
    }
    insta::assert_snapshot!(session.transcript);
}

// Guards against an append that is reported with the wrong outcome: the answers to appends are
// lost, another operator's change is appended first, or the log is trimmed before the tool reads
// its own record back. In the last case the outcome must be reported as unknown (exit code 6).
#[tokio::test]
async fn lost_answers_and_conflicting_changes_are_reported() {
    let log = FakeLog::start().await;
    let mut session = ToolSession::new(Some(&log), &[]);
    let fleet = session.file("fleet.jsonc", FLEET);
    log.state().append_faults = [AppendFault::StoreThenFail, AppendFault::StoreThenFail].into();
    session.call(&["settings", "apply", &fleet]).await;
    // Another operator's change is appended after this call has read the log and before it appends.
    let concurrent_change = ConfigRecord::Change(ConfigChange {
        change_id: "rival".into(),
        base: 1,
        author: "ben".into(),
        edits: vec![ConfigEdit {
            path: "/teams/north/accounts/shop/weight".into(),
            value: Some(json!(7)),
        }],
    });
    log.before_append(STREAM, &RecordEnvelope::new("rival", &concurrent_change).encode());
    session.call(&["settings", "set", "/teams/north/accounts/shop", "{\"weight\": 4}"]).await;
    log.push(STREAM, "damaged");
    session.call(&["settings", "set", "/teams/north/accounts/shop", "{\"weight\": 4}"]).await;
    session.call(&["settings", "history"]).await;
    log.state().append_faults = [AppendFault::AppendAndTrim].into();
    session.call(&["settings", "set", "/teams/north/accounts/shop/weight", "5"]).await;
    session.call(&["settings", "get"]).await;
    assert!(session.transcript.contains("[6]"));
    insta::assert_snapshot!(session.transcript);
}

// Guards against a key that stays valid because the log does not answer, and against a key that is
// stored in the log in plain text.
#[tokio::test]
async fn keys_are_withdrawn_through_the_log_or_a_process() {
    let log = FakeLog::start().await;
    let process = FakeProcess::start("entry-1", "entry", 3).await;
    let mut session = ToolSession::new(Some(&log), &[&process]);
    let fleet = session.file("fleet.jsonc", FLEET);
    session.call(&["settings", "apply", &fleet]).await;
    let created_output = session.call(&["key", "create", "north/shop", "--label=web"]).await;
    let key = created_output.lines().nth(1).unwrap().to_owned();
    assert_eq!(key.len(), "pmr-".len() + 64);
    let listed: serde_json::Value =
        serde_json::from_str(&session.call(&["key", "list", "--json"]).await).unwrap();
    let hash = listed["keys"][0]["hash"].as_str().unwrap().to_owned();
    session.call(&["key", "create", "north/shop", "--label", "app", "--json"]).await;
    session.call(&["key", "create", "north/nobody"]).await;
    session.call(&["key", "create", "north/shop", "--team=south"]).await;
    session.call(&["key", "withdraw", "nothing"]).await;
    session.call(&["key", "withdraw", "app", "--team=south"]).await;
    session.call(&["key", "withdraw", "app"]).await;
    session.call(&["key", "list"]).await;
    // Without the log, a process withdraws a key that is given by its complete hash.
    log.state().failing_reads = 1;
    session.call(&["key", "withdraw", &hash]).await;
    assert_eq!(process.withdrawn(), [hash]);
    session.call(&["key", "withdraw", "web"]).await;
    session.call(&["key", "list", "--account=north/shop"]).await;
    let stored: Vec<String> =
        log.state().streams[STREAM].iter().map(|entry| entry.record.to_string()).collect();
    assert!(
        stored.iter().all(|line| !line.contains(&key)),
        "the log contains a caller key in plain text"
    );
    // If the outcome of the append is unknown, a process is asked as well.
    session.call(&["key", "create", "north/shop", "--label=last"]).await;
    log.state().append_faults = [AppendFault::AppendAndTrim].into();
    session.call(&["key", "withdraw", "last"]).await;
    assert_eq!(process.withdrawn().len(), 2);
    insta::assert_snapshot!(session.transcript);
}

// Guards the commands that ask processes: waiting for a revision that some processes have not
// applied, taking the status of an endpoint from its own agent instead of another process's
// outdated copy, draining, explaining a request, and burn rates.
#[tokio::test]
async fn process_commands_combine_the_answers_of_all_processes() {
    let log = FakeLog::start().await;
    let entry = FakeProcess::start("entry-1", "entry", 0).await;
    let agent = FakeProcess::start("agent-1", "agent", 0).await;
    let mut session = ToolSession::new(Some(&log), &[]);
    session.replacements.push((entry.url.clone(), "http://FIRST"));
    session.replacements.push((agent.url.clone(), "http://SECOND"));
    session.call(&["status"]).await;
    for process in [&entry, &agent] {
        log.state().hosts.push(HostEntry {
            host: process.name.into(),
            domain: "d1".into(),
            state: HostState::Live,
            role: "entry".into(),
            address: "".into(),
            order: None,
            operators: Some(process.url.trim_start_matches("http://").into()),
        });
    }
    let fleet = session.file("fleet.jsonc", FLEET);
    let plot = session.directory.path().join("burn.svg").display().to_string();
    session.call(&["settings", "apply", &fleet]).await;
    session.call(&["settings", "set", "/teams/north/accounts/shop/weight", "3"]).await;
    entry.set_revision(3);
    let set_and_wait = ["settings", "set", "/teams/north/accounts/shop/weight", "4", "--wait"];
    session.call(&[&set_and_wait as &[&str], &["--wait-timeout=0"]].concat()).await;
    agent.set_revision(3);
    session.call(&set_and_wait).await;
    session.call(&[&set_and_wait as &[&str], &["--json"]].concat()).await;
    entry.set_revision(2);
    session.call(&[&set_and_wait as &[&str], &["--json", "--wait-timeout=0"]].concat()).await;
    entry.set_revision(3);
    for args in [
        &["status"] as &[&str],
        &["endpoint", "list"],
        &["endpoint", "drain", "e1"],
        &["endpoint", "drain", "e9"],
        &["explain", REQUESTS[0]],
        &["explain", REQUESTS[0], "--json"],
        &["explain", REQUESTS[1]],
        &["explain", "me"],
        &["burn", "--plot", &plot],
        &["burn", "--json"],
        // The plot is not a settings file.
        &["settings", "check", &plot],
    ] {
        session.call(args).await;
    }
    insta::assert_snapshot!(session.transcript);
    insta::assert_snapshot!("burn_plot", std::fs::read_to_string(plot).unwrap());
}

// Guards the exit codes and messages if no platform or process is given, or if nothing listens at
// the given URL.
#[tokio::test]
async fn missing_and_unreachable_targets_are_errors() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let mut session = ToolSession::new(None, &[]);
    session.replacements.push((url.clone(), "http://NOBODY"));
    session.call(&["status"]).await;
    session.call(&["settings", "get"]).await;
    session.call(&["status", "--process", &url]).await;
    session.call(&["settings", "get", "--process", &url]).await;
    session.call(&["key", "list", "--platform", &url]).await;
    insta::assert_snapshot!(session.transcript);
}

// Guards the names and descriptions of commands and options.
#[tokio::test]
async fn help_lists_commands_and_options() {
    let mut session = ToolSession::new(None, &[]);
    session.common.clear();
    for args in [&["--help"] as &[&str], &["settings", "--help"], &["settings", "apply", "--help"]]
    {
        session.call(args).await;
    }
    insta::assert_snapshot!(session.transcript);
}

// Guards against lost settings after the start of the log was trimmed: the tool must restore the
// snapshot and also apply the change that was appended after the snapshot's state was taken and
// before the snapshot itself was appended.
#[tokio::test]
async fn a_snapshot_replaces_trimmed_records() {
    let log = FakeLog::start().await;
    let mut session = ToolSession::new(Some(&log), &[]);
    let fleet = session.file("fleet.jsonc", FLEET);
    session.call(&["settings", "apply", &fleet]).await;
    session.call(&["key", "create", "north/shop", "--label=web"]).await;
    let mut replay = ConfigReplay::new(check_tree);
    let entries = log.state().streams[STREAM].clone();
    for entry in entries {
        let envelope = RecordEnvelope::decode(&entry.record).unwrap();
        replay.apply(entry.offset, &envelope.body().unwrap());
    }
    // This change is not part of the snapshot's state, but precedes the snapshot in the log.
    session.call(&["settings", "set", "/teams/north/accounts/shop/weight", "5"]).await;
    let snapshot = ConfigRecord::Snapshot(Box::new(replay.snapshot()));
    log.push(STREAM, &RecordEnvelope::new("snapshot", &snapshot).encode());
    log.trim(STREAM, 2);
    for args in [
        &["account", "list"] as &[&str],
        &["key", "list"],
        &["settings", "set", "/teams/north/accounts/shop/weight", "6"],
        &["settings", "history"],
    ] {
        session.call(args).await;
    }
    insta::assert_snapshot!(session.transcript);
}

// Guards against a window that is listed twice or with the wrong figures because a batch was
// appended twice or two processes closed the window, also after the log was trimmed. Also guards
// against a change of the window length while the log contains usage.
#[tokio::test]
async fn usage_lists_each_closed_window_once() {
    let log = FakeLog::start().await;
    let mut ledger = UsageLedger::new();
    let counts = |requests: u64| UsageCounts {
        requests,
        prompt_tokens: 100 * requests,
        output_tokens: 30 * requests,
    };
    let batch = |sequence: u64, lines: &[(u64, &str, u64)]| {
        let line = |&(window, account, requests): &(u64, &str, u64)| UsageLine {
            window,
            account: account.into(),
            counts: counts(requests),
        };
        StateRecord::UsageBatch(UsageBatch {
            agent: ProcessId { name: "agent-1".into(), incarnation: 1 },
            sequence,
            lines: lines.iter().map(line).collect(),
            covered: Vec::new(),
        })
    };
    let mut push = |record: StateRecord| {
        let line = RecordEnvelope::new(&format!("{record:?}"), &record).encode();
        ledger.apply(log.push(STATE_STREAM, &line), &record);
        ledger.clone()
    };
    push(batch(1, &[(7, "north/shop", 3), (7, "south/works", 1)]));
    let ledger = push(batch(1, &[(7, "north/shop", 3)]));
    let fencing = FencingNumber(4);
    let ledger = push(ledger.close(7, fencing).unwrap());
    // Another process closes the same window after it was closed.
    push(StateRecord::WindowClosed(WindowClosed {
        window: 7,
        previous: None,
        fencing,
        figures: Vec::new(),
    }));
    push(ledger.reported(7, fencing));
    let ledger = push(batch(2, &[(7, "south/works", 2), (8, "north/shop", 5)]));
    push(ledger.close(8, fencing).unwrap());
    push(batch(3, &[(9, "north/shop", 1)]));
    let mut session = ToolSession::new(Some(&log), &[]);
    session.call(&["settings", "set", "/fleet/usage/window", "1m"]).await;
    session.call(&["usage"]).await;
    session.call(&["usage", "--account=south/works"]).await;
    session.call(&["usage", "--account=south/works", "--json"]).await;
    // The second trim removes the accepted record of window 7, so that the rejected record of the
    // same window is the first one left.
    for first_kept in [1, 3] {
        log.trim(STATE_STREAM, first_kept);
        session.call(&["usage"]).await;
    }
    insta::assert_snapshot!(session.transcript);
}

/// Lines of two gateway processes whose clocks differ by three seconds, as saved by a log
/// collector.
const SAVED_LOGS: [&str; 2] = [
    r#"{"at_ms":1796350000000,"process":"front-a-1#1","level":"WARN","part":"peer","message":"wall clock differs from most others","skew_ms":3000}
{"at_ms":1796350000100,"process":"front-a-1#1","level":"INFO","part":"request","message":"request placed","request":"r-lost","route":"order","endpoint":"i-2","sends":1,"load":0,"others_age_ms":56}
{"at_ms":1796350000250,"process":"front-a-1#1","level":"INFO","part":"request","message":"send failed","request":"r-lost","endpoint":"i-2","sends":1,"may_have_run":true,"reason":"lost: connection error"}
{"at_ms":1796350000250,"process":"front-a-1#1","level":"INFO","part":"request","message":"endpoint rests after a failure","endpoint":"i-2"}
{"at_ms":1796350000251,"process":"front-a-1#1","level":"WARN","part":"request","message":"request given up","request":"r-lost","route":"order","status":502,"sends":1,"waited_ms":155,"reason":"it may have run and is not idempotent; before: lost: connection error"}
{"at_ms":1796350000900,"process":"front-a-1#1","level":"INFO","part":"follow","message":"endpoint gone","endpoint":"i-2"}
{"at_ms":1796350000901,"process":"front-a-1#1","level":"INFO","part":"follow","message":"endpoint gone","endpoint":"i-9"}
"#,
    r#"  3.0000 front-b-1 {"at_ms":1796350003000,"process":"front-b-1#1","level":"INFO","part":"follow","message":"configuration applied","version":35,"source":"peer"}
  3.0000 front-b-1 {"at_ms":1796350003400,"process":"front-b-1#1","level":"WARN","part":"request","message":"request given up","request":"r-full","route":"chat","status":503,"sends":0,"waited_ms":0,"reason":"the queue is full"}
  3.0000 front-b-1 {"at_ms":1796350003500,"process":"front-b-1#1","level":"INFO","part":"request","message":"request placed","request":"r-cut","route":"chat","endpoint":"i-3","sends":1,"load":6}
  3.0000 front-b-1 {"at_ms":1796350004304,"process":"front-b-1#1","level":"WARN","part":"request","message":"stream broken off","request":"r-cut","route":"chat","last_event":"3","reason":"the deadline passed"}
  3.0000 front-b-1 {"at_ms":1796350004305,"process":"front-b-1#1","level":"INFO","part":"request","message":"stream ended","request":"r-cut","route":"chat","outcome":"broken_off","sends":1,"total_ms":804}
  a line of another program
"#,
];

// Guards the explanation of a request from saved logs: the correction of clock skew, the choice of
// related lines, the final sentence, and lines that are not log lines.
#[tokio::test]
async fn saved_logs_explain_a_request() {
    let mut session = ToolSession::new(None, &[]);
    let [first, second] = SAVED_LOGS;
    let first = session.file("front-a-1.log", first);
    let second = session.file("front-b-1.log", second);
    let logs = format!("--logs={first}");
    let more_logs = format!("--logs={second}");
    // A request refused under overload, a lost answer to a request that must run at most once, a
    // broken stream, and a request that is not in the logs.
    for request in ["r-full", "r-lost", "r-cut", "r-absent"] {
        session.call(&["explain", &logs, &more_logs, request]).await;
    }
    session.call(&["explain", &more_logs, "r-full", "--json"]).await;
    session.call(&["explain", "--logs=no-such-file.log", "r-full"]).await;
    insta::assert_snapshot!(session.transcript);
}
