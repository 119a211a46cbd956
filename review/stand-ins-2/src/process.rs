//! Processes that a case starts, and the signals that it sends to them.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A child process, which is killed when it is dropped, and when the thread that started it ends.
pub struct Process(Child);

impl Process {
    pub fn start(command: &mut Command) -> Process {
        // SAFETY: the call is one that may be made between `fork` and `exec`.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        Process(command.stdin(Stdio::null()).spawn().expect("the program starts"))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(self.0.id() as i32, signal) };
    }

    /// Kills the process, also if it is stopped, and waits for its end.
    pub fn end(&mut self) {
        if self.has_ended() {
            return;
        }
        self.signal(SIGCONT);
        self.signal(SIGKILL);
        let _ = self.0.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a free port at an address.
pub fn free_port(address: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Returns a loopback address of this run, so that cases that run side by side do not meet.
pub fn own_address(last: u8) -> Ipv4Addr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 128 | (high & 63), low, last)
}

/// What entries need to know of their deployment.
pub struct Deployment {
    pub folder: PathBuf,
    pub daemon: PathBuf,
    pub store: SocketAddr,
    /// Address for usage reports.
    pub cloud: SocketAddr,
    /// Addresses where other entries reach those named as seeds.
    pub seeds: Vec<SocketAddr>,
    pub bounds: &'static str,
    pub memory_mb: u32,
}

/// An entry: `pimentorockd --hosted` with a settings file.
pub struct Entry {
    settings: PathBuf,
    daemon: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub process: Process,
}

impl Entry {
    /// Starts entry `index`, whose address ends in `index` + 1.
    pub fn start(deployment: &Deployment, index: u8, zone: &str, control_port: u16) -> Entry {
        let address = own_address(index + 1);
        let at = |port| SocketAddr::from((address, port));
        let (front, ready) = (at(free_port(address)), at(free_port(address)));
        let control = at(control_port);
        let seeds: Vec<String> =
            deployment.seeds.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let (bounds, memory) = (deployment.bounds, deployment.memory_mb);
        let text = format!(
            "node: \"front-{zone}-{index}\"\nrole: \"entry\"\nmachine-class: \"front\"\n\
             serves:\n  - \"front\"\n  - \"control\"\nip: \"{address}\"\nzone: \"{zone}\"\n\
             region: \"r\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  \
             control: \"{control}\"\nseeds:\n{}bootstrap: true\nlimits:\n  cpu-share: 1.0\n  \
             cores: 1\n  memory-mb: {memory}\n  max-fds: 4100\ndata-dir: null\n\
             discovery: \"platform\"\nentry: \"vip\"\nbeat-interval-ms: 1200\nbounds:\n{bounds}\
             platform:\n  address: \"{}\"\n  form: \"log\"\ncloud:\n  address: \"{}\"\n  \
             duties:\n    - \"usage\"\n",
            seeds.concat(),
            deployment.store,
            deployment.cloud,
        );
        let settings = deployment.folder.join(format!("entry-{index}.yaml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = deployment.folder.join(format!("entry-{index}.log"));
        let daemon = deployment.daemon.clone();
        let process = Entry::spawn(&daemon, &settings, &log);
        Entry { settings, daemon, log, front, ready, process }
    }

    fn spawn(daemon: &Path, settings: &Path, log: &Path) -> Process {
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        Process::start(
            Command::new(daemon)
                .arg("--hosted")
                .env("PIMENTOROCK_CONFIG", settings)
                .stdout(log)
                .stderr(errors),
        )
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        self.process.end();
        self.process = Entry::spawn(&self.daemon, &self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        http::call(self.ready, request.as_bytes(), Duration::from_secs(1)).status == 200
    }

    /// Waits until the entry says that it is ready; returns whether it did.
    pub fn await_ready(&self, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
