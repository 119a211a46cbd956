//! The project's own program, in one process for each `front` machine.

use std::{
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::store::Store;

const SIGKILL: i32 = 9;

/// Ports of a machine for callers, readiness and control, on a loopback address of its own.
const PORTS: [u16; 3] = [8_227, 8_220, 8_229];

/// Processes to end when the script is over.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Notes a process that has to be ended.
fn note_started(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

/// Ends all processes that are still running.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the call has no effect on memory.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// One machine with its process.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Entry {
    /// Starts the process as the deploy file says.
    fn start(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/pimentorockd")
            .arg("--hosted")
            .env("PIMENTOROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_started(child.id());
        Ok(())
    }

    /// Reports whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.starts_with("HTTP/1.1 200"))
        };
        asked().unwrap_or(false)
    }
}

/// Starts `count` entries behind one store, with the settings of a small deployment, and waits until all are
/// ready.
pub fn start(folder: &Path, count: u8, store: &Store) -> io::Result<Vec<Entry>> {
    start_at(folder, &vec![store.address; usize::from(count)])
}

/// Starts an entry for each of the addresses at which the store serves it, as [`start`] does.
pub fn start_at(folder: &Path, stores: &[SocketAddr]) -> io::Result<Vec<Entry>> {
    let addresses = free_addresses(stores.len() as u8)?;
    let seeds = addresses.iter().take(3).map(|address| format!("  - \"{address}:{}\"\n", PORTS[2]));
    let seeds: String = seeds.collect();
    let mut entries = Vec::new();
    for (index, (address, store)) in addresses.iter().zip(stores).enumerate() {
        let name = format!("front-santander-{}", index + 1);
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, settings_text(&name, *address, &seeds, *store))?;
        let entry = Entry {
            callers: (*address, PORTS[0]).into(),
            ready: (*address, PORTS[1]).into(),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
        };
        entry.start()?;
        entries.push(entry);
    }
    let began = Instant::now();
    while !entries.iter().all(Entry::is_ready) {
        if began.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("the entries are not ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(entries)
}

/// Returns loopback addresses at which all ports are free.
fn free_addresses(count: u8) -> io::Result<Vec<Ipv4Addr>> {
    let [low, high, ..] = std::process::id().to_le_bytes();
    for shift in 0..64 {
        let third = low.wrapping_add(shift);
        let all = (1..=count).map(|last| Ipv4Addr::new(127, 64 | (high & 63), third, last));
        let all: Vec<Ipv4Addr> = all.collect();
        let is_free = |address: &Ipv4Addr| {
            PORTS.iter().all(|port| TcpListener::bind((*address, *port)).is_ok())
        };
        if all.iter().all(is_free) {
            return Ok(all);
        }
    }
    Err(io::Error::other("no free addresses"))
}

fn settings_text(name: &str, ip: Ipv4Addr, seeds: &str, store: SocketAddr) -> String {
    let [front, ready, control] = PORTS;
    format!(
        "node: \"{name}\"\nrole: \"entry\"\nmachine-class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
         ip: \"{ip}\"\nzone: \"santander\"\nregion: \"es-norte\"\nzones:\n  santander: \"es-norte\"\n\
         listen:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n  control: \"{ip}:{control}\"\n\
         port-range:\n  - 7340\n  - 7355\nseeds:\n{seeds}bootstrap: true\nloss-counts: false\n\
         limits:\n  cpu-share: 0.19\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\n\
         data-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nbeat-interval-ms: 1200\n\
         bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n  \
         drain-ms: 2000\n  grace-s: 8\n  loss-slack-ms: 200\n  config-ms: 2000\n  rollback-slack-ms: 250\n  \
         outer-ms: 5000\n  revoke-strict: false\n  revoke-ms: 5000\n  budget-ratio: 0.2\n  budget-window-s: 10\n  \
         budget-slack: 54\n  require-fence: false\n  lease-ms: 3000\n  thaw-ms: 300\n  usage-window-s: 5\n  \
         usage-off: 0.05\n  usage-late-s: 10\n  recover-s: 12\n  pass-ms: 120\n  again-s: 10\n\
         platform:\n  address: \"{store}\"\n  form: \"log\"\n  writes-per-s: 400\n  reads-per-s: 2000\n  parts: 12\n  \
         append-ms: 2.0\n  part-mb-s: 20.0\n  read-mb-s: 80.0\n  record-bytes: 262144\n  call-bytes: 2097152\n  \
         keep_s: 300\n  part-mb: 200\n  ttl-min-ms: 1000\n\
         cloud:\n  address: \"{store}\"\n  rate-per-s: 50.0\n  duties:\n    - \"usage\"\n  duty-per-s: 50.0\n"
    )
}
