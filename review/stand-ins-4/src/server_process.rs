//! A server as a process of its own, which can be killed and started again.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

use crate::{record::Record, scenario::wall_ms};

/// A server process, which can be killed and started again at its address.
pub struct ServerProcess {
    /// Kind of the server, as this program's first argument names it.
    kind: &'static str,
    pub address: SocketAddr,
    pub id: String,
    /// Start of the process, in milliseconds since 1970.
    pub born: u64,
    /// Number of requests that the process has begun to run.
    runs: Arc<AtomicU32>,
    /// Number of deadly requests among them.
    deadly: Arc<AtomicU32>,
    child: Child,
}

impl ServerProcess {
    pub fn start(
        kind: &'static str,
        address: SocketAddr,
        id: String,
        record: &Record,
    ) -> ServerProcess {
        ServerProcess::start_version(kind, address, id, "v1", record)
    }

    /// Starts a server of this software version.
    pub fn start_version(
        kind: &'static str,
        address: SocketAddr,
        id: String,
        version: &'static str,
        record: &Record,
    ) -> ServerProcess {
        let program = std::env::current_exe().expect("this program");
        let born = wall_ms();
        let mut child = Command::new(program)
            .args([kind, &address.to_string(), &id, &born.to_string(), version])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server process");
        let mut lines = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        let _ = lines.read_line(&mut line);
        let (record, runs, deadly) =
            (record.clone(), Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
        let (counting, counting_deadly) = (Arc::clone(&runs), Arc::clone(&deadly));
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                counting.fetch_add(u32::from(line.starts_with("run")), Ordering::Relaxed);
                counting_deadly.fetch_add(u32::from(line.starts_with("deadly")), Ordering::Relaxed);
                record.note(&format!("server: {line}"));
            }
        });
        ServerProcess { kind, address, id, born, runs, deadly, child }
    }

    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Reports whether a request that crashes the process has begun to run.
    pub fn is_struck(&self) -> bool {
        self.deadly.load(Ordering::Relaxed) > 0
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts another process at the same address.
    pub fn start_again(&mut self, id: String, record: &Record) {
        *self = ServerProcess::start(self.kind, self.address, id, record);
    }

    /// Starts another process with this software at the same address and under the same id.
    pub fn start_version_again(&mut self, version: &'static str, record: &Record) {
        let id = self.id.clone();
        *self = ServerProcess::start_version(self.kind, self.address, id, version, record);
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
