//! What all cases have in common: the temporary folder, the store's first records, the result.

use std::{
    path::{Path, PathBuf},
    process::exit,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{record::Recorder, store::Store};

/// Bounds of a small deployment, as the settings file states them.
pub const BOUNDS: &str = "  drain-ms: 2000\n  config-ms: 2000\n  grace-s: 8\n  budget-ratio: 0.2\n  \
     budget-slack: 54\n  usage-window-s: 5\n  usage-late-s: 10\n  lease-ms: 3000\n";

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// The surroundings of one run of a case.
pub struct Case {
    pub folder: PathBuf,
    pub daemon: PathBuf,
    pub record: Recorder,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Case {
    /// Reads the arguments: the repository, the folder of the case.
    pub fn new(repository: &str, case: &str) -> Case {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let daemon = Path::new(repository).join("target/release/pimentorockd");
        if !daemon.exists() {
            eprintln!("the daemon is not built");
            exit(2);
        }
        let record = Recorder::new(&Path::new(case).join("record.txt"));
        thread::spawn(|| {
            thread::sleep(LONGEST_RUN);
            eprintln!("the case takes too long");
            exit(2);
        });
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        record.note(if trouble { "with the disruption" } else { "without the disruption" });
        Case { folder, daemon, record, trouble }
    }

    /// Records the result and returns the exit status.
    pub fn result(&self, violations: &[String]) -> i32 {
        for violation in violations {
            self.record.note(format!("BROKEN {violation}"));
            println!("{violation}");
        }
        let text = if violations.is_empty() { "the rule held" } else { "the rule was broken" };
        self.record.note(text);
        println!("{text}");
        if std::env::var_os("KEEP").is_none() {
            // The folder is temporary anyway.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        i32::from(!violations.is_empty())
    }
}

/// Returns the Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Writes a configuration.
pub fn put_config(store: &Store, version: u64, routes: &str, tenants: &str) {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}{tenants}}}"
    );
    store.put("keyed.op", "config", &text);
}
