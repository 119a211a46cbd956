//! The project's program, started as the deploy file says, one process for each front machine.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{NOT_RUN, http::Connection, wait_for};

/// Command of the only role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/pimentorockd";

/// Longest time for a whole run.
const MAX_RUN: Duration = Duration::from_secs(117);

/// Set while the processes of a case run.
static RUNNING: AtomicBool = AtomicBool::new(false);

/// Ids of the processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// One front machine.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All front machines; dropping it ends their processes.
pub struct Entries {
    pub list: Vec<Entry>,
    /// Ports for clients, readiness and control, the same at all machines.
    ports: [u16; 3],
    folder: PathBuf,
    root: PathBuf,
}

/// Returns the root folder of the repository, two levels above the folder of a case.
fn repository() -> PathBuf {
    let here = std::env::current_dir().expect("a current folder");
    here.ancestors().nth(2).expect("a case lies in review/N").to_path_buf()
}

/// Returns three ports that are free at all addresses.
fn free_ports(addresses: &[Ipv4Addr]) -> [u16; 3] {
    let mut ports = Vec::new();
    let mut candidate = 20_000 + (std::process::id() % 10_000) as u16;
    while ports.len() < 3 {
        candidate += 1;
        if addresses.iter().all(|ip| TcpListener::bind((*ip, candidate)).is_ok()) {
            ports.push(candidate);
        }
    }
    [ports[0], ports[1], ports[2]]
}

impl Entries {
    /// Writes the settings of one machine for each zone and starts the processes.
    ///
    /// The settings are those of the users' small deployments.
    pub fn start(zones: &[&str], platform: SocketAddr) -> Entries {
        Entries::start_at(zones, &vec![platform; zones.len()], 0)
    }

    /// As [`start`](Entries::start), but the first `late` machines are added later; the others do not
    /// know of them.
    pub fn start_late(zones: &[&str], platform: SocketAddr, late: usize) -> Entries {
        Entries::start_at(zones, &vec![platform; zones.len()], late)
    }

    /// As [`start`](Entries::start), with an address of the platform for each machine.
    pub fn start_at(zones: &[&str], platforms: &[SocketAddr], late: usize) -> Entries {
        let root = repository();
        if !root.join(PROGRAM).exists() {
            eprintln!("{PROGRAM} is missing: build it as the deploy file says");
            std::process::exit(NOT_RUN);
        }
        let [low, high, ..] = std::process::id().to_le_bytes();
        let address = |index: usize| Ipv4Addr::new(127, 64 | (high & 63), low, 10 + index as u8);
        let addresses: Vec<Ipv4Addr> = (0..zones.len()).map(address).collect();
        let ports = free_ports(&addresses);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut entries = Entries { list: Vec::new(), ports, folder, root };
        let seeds: Vec<String> = addresses
            .iter()
            .skip(late)
            .take(3)
            .map(|ip| format!("  - \"{ip}:{}\"\n", ports[2]))
            .collect();
        for (index, zone) in zones.iter().enumerate() {
            let ip = addresses[index];
            let name = format!("front-{zone}-{}", index + 1);
            let settings = entries.folder.join(format!("{name}.yaml"));
            fs::write(
                &settings,
                settings_text(&name, zone, ip, ports, &seeds.concat(), platforms[index]),
            )
            .expect("settings can be written");
            let log = entries.folder.join(format!("{name}.log"));
            let zone = (*zone).to_owned();
            entries.list.push(Entry { name, zone, ip, settings, log, child: None });
        }
        for index in late..entries.list.len() {
            entries.spawn(index);
            // "All machines start within 0.3 s of each other, in any order."
            crate::pause(if index == late { 240 } else { 20 });
        }
        guard();
        entries
    }

    /// Starts the process of a machine; it must not run.
    pub fn spawn(&mut self, index: usize) {
        let entry = &mut self.list[index];
        let log = fs::OpenOptions::new().create(true).append(true).open(&entry.log).expect("a log");
        let child = Command::new(self.root.join(PROGRAM))
            .arg("--hosted")
            .current_dir(&self.root)
            .env("PIMENTOROCK_CONFIG", &entry.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        entry.child = Some(child);
    }

    /// Sends a signal, such as `KILL`, `STOP`, `CONT` or `TERM`, to the process of a machine.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.list[index].child {
            let id = child.id().to_string();
            let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.list[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Waits for the end of the process of a machine.
    pub fn wait(&mut self, index: usize) {
        if let Some(mut child) = self.list[index].child.take() {
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Reports whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.list[index].child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns the address for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        (self.list[index].ip, self.ports[0]).into()
    }

    /// Asks a machine whether it is ready, as the platform does.
    pub fn is_ready(&self, index: usize) -> bool {
        let address: SocketAddr = (self.list[index].ip, self.ports[1]).into();
        let ask = || -> std::io::Result<bool> {
            let mut connection = Connection::open(address)?;
            connection.set_patience(Duration::from_secs(1));
            connection.send("GET", "/api/ready", &[("Host", "ready")], b"")?;
            Ok(connection.reply()?.status == 200)
        };
        ask().unwrap_or(false)
    }

    /// Waits until all machines are ready; ends the case as one that could not run otherwise.
    pub fn await_ready(&mut self) {
        for index in 0..self.list.len() {
            let runs = self.list[index].child.is_some();
            if runs && !wait_for(20.0, || self.is_ready(index)) {
                eprintln!("{} is not ready", self.list[index].name);
                self.end();
                std::process::exit(NOT_RUN);
            }
        }
    }

    /// Returns the lines that a machine has logged with `text`.
    pub fn logged(&self, index: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.list[index].log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&mut self) {
        for index in 0..self.list.len() {
            self.signal(index, "CONT");
            self.kill(index);
        }
        RUNNING.store(false, Ordering::Relaxed);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        self.end();
    }
}

/// Forgets a process that has ended.
fn forget(id: u32) {
    STARTED.lock().unwrap().retain(|started| *started != id);
}

/// Ends the case if it takes too long; the shell that started it sees that it could not run.
fn guard() {
    RUNNING.store(true, Ordering::Relaxed);
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        if RUNNING.load(Ordering::Relaxed) {
            eprintln!("the case takes too long");
            let ids: Vec<String> = STARTED.lock().unwrap().iter().map(u32::to_string).collect();
            let _ =
                Command::new("sh").args(["-c", &format!("kill -KILL {}", ids.join(" "))]).status();
            std::process::exit(NOT_RUN);
        }
    });
}

fn settings_text(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    [front, ready, control]: [u16; 3],
    seeds: &str,
    platform: SocketAddr,
) -> String {
    format!(
        "node: \"{name}\"\nrole: \"entry\"\nmachine-class: \"front\"\nserves:\n  - \"front\"\n  - \
         \"control\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"es-norte\"\nlisten:\n  front: \
         \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n  control: \"{ip}:{control}\"\nseeds:\n\
         {seeds}bootstrap: true\nlimits:\n  cpu-share: 0.19\n  cores: 1\n  memory-mb: 260\n  \
         max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\ndata-dir: null\ndiscovery: \
         \"platform\"\nentry: \"vip\"\nbeat-interval-ms: 1200\nbounds:\n  reuse-after-s: 2\n  \
         stable-window-ms: 3000\n  ack-ms: 4000\n  drain-ms: 2000\n  grace-s: 8\n  loss-slack-ms: \
         200\n  config-ms: 2000\n  rollback-slack-ms: 250\n  outer-ms: 5000\n  budget-ratio: 0.2\n  \
         budget-window-s: 10\n  budget-slack: 54\n  require-fence: false\n  lease-ms: 3000\n  \
         thaw-ms: 300\n  usage-window-s: 5\n  usage-off: 0.05\n  usage-late-s: 10\n  recover-s: \
         12\nplatform:\n  address: \"{platform}\"\n  form: \"log\"\n  writes-per-s: 400\n  \
         reads-per-s: 2000\ncloud:\n  address: \"{platform}\"\n  rate-per-s: 50.0\n  duties:\n    \
         - \"usage\"\n"
    )
}
