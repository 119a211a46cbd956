//! Plays the cases 12 to 14 of the review, and two scenarios that are no case: `review-stand-ins-4 CASE FOLDER`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod app_server;
mod blamed;
mod client;
mod entry;
mod http;
mod link;
mod listing;
mod model_server;
mod one_way;
mod reborn;
mod record;
mod scenario;
mod server_process;
mod silent;
mod store;
mod upgrade;
mod versioned_server;

use std::process::ExitCode;

use scenario::{CaseResult, Scenario};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (play, folder): (fn(&Scenario) -> CaseResult, &str) = match words.as_slice() {
        ["app-server", address, id, _, _] => {
            app_server::run(address, id);
            return ExitCode::SUCCESS;
        }
        ["model-server", address, id, born, _] => {
            model_server::run(address, id, born.parse().unwrap_or(0));
            return ExitCode::SUCCESS;
        }
        ["versioned-server", address, id, born, version] => {
            versioned_server::run(address, id, born.parse().unwrap_or(0), version);
            return ExitCode::SUCCESS;
        }
        ["reborn", folder] => (reborn::play, folder),
        ["blamed", folder] => (blamed::play, folder),
        ["upgrade", folder] => (upgrade::play, folder),
        ["one-way", folder] => (one_way::play, folder),
        ["silent", folder] => (silent::play, folder),
        _ => {
            eprintln!("usage: review-stand-ins-4 CASE FOLDER");
            return ExitCode::from(2);
        }
    };
    let scenario = Scenario::new(folder);
    let result = play(&scenario);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scenario.folder);
    }
    match result {
        CaseResult::Held => {
            scenario.record.tell("the rule held");
            ExitCode::SUCCESS
        }
        CaseResult::Broken(what) => {
            scenario.record.tell(&what);
            ExitCode::from(1)
        }
        CaseResult::CouldNotRun(why) => {
            scenario.record.tell(&format!("could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
