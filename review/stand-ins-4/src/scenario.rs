//! What all scenarios share.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{entry::Settings, record::Record, store::Store};

/// Time from the start of the machines to that of the traffic.
pub const LEAD: Duration = Duration::from_secs(10);

pub struct Scenario {
    pub record: Record,
    /// False if the scenario is played without its disruption.
    pub has_trouble: bool,
    /// A temporary folder.
    pub folder: PathBuf,
}

/// What a scenario found.
pub enum CaseResult {
    Held,
    Broken(String),
    CouldNotRun(String),
}

impl CaseResult {
    pub fn from_breaks(rule: &str, breaks: u32) -> CaseResult {
        match breaks {
            0 => CaseResult::Held,
            count => CaseResult::Broken(format!("{rule} was broken {count} times")),
        }
    }
}

impl Scenario {
    pub fn new(case: &str) -> Scenario {
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Scenario { record: Record::new(&PathBuf::from(case)), has_trouble, folder }
    }

    pub fn settings(&self, platform: SocketAddr, bounds: &'static str, machines: u8) -> Settings {
        Settings { platform, folder: self.folder.clone(), bounds, machines }
    }

    /// Returns an address whose port is free now.
    pub fn free_address(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        listener.local_addr().expect("a local address")
    }
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn put_config(store: &Store, config: &str) {
    store.put("keyed.op", "config", config.replace('\n', "").as_bytes());
}
