//! The system's own program, started with the command of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The program and its argument, as `deploy/system.toml` has them.
const PROGRAM: &str = "target/release/pimentorockd";

/// Ports for clients, readiness checks and other machines.
const PORTS: [u16; 3] = [18_227, 18_220, 18_229];

/// What the settings of a small deployment state.
#[derive(Clone)]
pub struct Settings {
    pub platform: SocketAddr,
    pub folder: PathBuf,
    /// Lines below `bounds`.
    pub bounds: &'static str,
    pub machines: u8,
}

/// One machine with its process.
pub struct Entry {
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the address of a loopback network of this process.
pub fn own_ip(last: u8) -> String {
    let [low, high, ..] = std::process::id().to_le_bytes();
    format!("127.{}.{low}.{last}", 64 | (high & 63))
}

impl Entry {
    pub fn start(settings: &Settings, index: u8) -> Entry {
        let ip = own_ip(10 + index);
        let name = format!("front-{index}");
        let path = settings.folder.join(format!("{name}.yaml"));
        let seeds: Vec<String> = (0..settings.machines.min(3))
            .map(|index| format!("  - \"{}:{}\"\n", own_ip(10 + index), PORTS[2]))
            .collect();
        let platform = settings.platform;
        let text = format!(
            "node: \"{name}\"\nrole: \"entry\"\nmachine-class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"a\"\nregion: \"r\"\nzones:\n  a: \"r\"\nlisten:\n  front: \"{ip}:{}\"\n  \
             ready: \"{ip}:{}\"\n  control: \"{ip}:{}\"\nseeds:\n{}bootstrap: true\nlimits:\n  memory-mb: 260\n\
             bounds:\n{}platform:\n  address: \"{platform}\"\n  form: \"log\"\ncloud:\n  address: \"{platform}\"\n  \
             duties:\n    - \"usage\"\n",
            PORTS[0],
            PORTS[1],
            PORTS[2],
            seeds.concat(),
            settings.bounds,
        );
        fs::write(&path, text).expect("the settings file");
        let log = settings.folder.join(format!("{name}.log"));
        let mut entry = Entry { ip, settings: path, log, child: None };
        entry.restart();
        entry
    }

    pub fn restart(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log file");
        let child = Command::new(PROGRAM)
            .arg("--hosted")
            .env("PIMENTOROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/pimentorockd must have been built"));
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, PORTS[0]).parse().expect("an address")
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let address: SocketAddr = format!("{}:{}", self.ip, PORTS[1]).parse().expect("an address");
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut text = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut text).is_ok()
            && &text[9..] == b"200"
    }

    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
