//! What servers write to the store about themselves.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::store::Store;

/// Time between two heartbeats, after three of which a silent server is no longer listed.
pub const BEAT: Duration = Duration::from_millis(1_200);

struct Listed {
    id: String,
    service: &'static str,
    address: SocketAddr,
    born: u64,
    version: &'static str,
    /// Time until which the server is slow after its start.
    cold_until: Instant,
    /// Number of the next heartbeat.
    seq: u64,
    /// Time of the crash, for a run that has ended.
    ended: Option<Instant>,
}

impl Listed {
    fn beat(&mut self, store: &Store) {
        let Listed { service, address, born, version, seq, .. } = self;
        let cold_ms = self.cold_until.saturating_duration_since(Instant::now()).as_millis();
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\"slots\":64,\
             \"state\":\"ready\",\"cold-left-ms\":{cold_ms},\"seq\":{seq},\"born\":{born}}}"
        );
        store.put("keyed.servers", &self.id, text.as_bytes());
        self.seq += 1;
    }
}

/// The records of all servers, which are written again with each heartbeat.
#[derive(Clone)]
pub struct Listing {
    store: Store,
    listed: Arc<Mutex<Vec<Listed>>>,
}

impl Listing {
    pub fn start(store: &Store) -> Listing {
        let listing = Listing { store: store.clone(), listed: Arc::default() };
        let beating = listing.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.beat();
            }
        });
        listing
    }

    fn beat(&self) {
        let mut listed = self.listed.lock().unwrap();
        listed.retain(|entry| {
            let is_silent = entry.ended.is_some_and(|at| at.elapsed() > 3 * BEAT);
            if is_silent {
                self.store.put("keyed.servers", &entry.id, b"");
            }
            !is_silent
        });
        listed
            .iter_mut()
            .filter(|entry| entry.ended.is_none())
            .for_each(|entry| entry.beat(&self.store));
    }

    /// Registers a server that has started.
    pub fn add(&self, id: &str, service: &'static str, address: SocketAddr, born: u64) {
        self.add_version(id, service, address, born, "v1", Duration::ZERO);
    }

    /// Registers a server of this software version that has started, and is slow for this time.
    pub fn add_version(
        &self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        born: u64,
        version: &'static str,
        cold: Duration,
    ) {
        let cold_until = Instant::now() + cold;
        let id = id.to_owned();
        let mut entry =
            Listed { id, service, address, born, version, cold_until, seq: 1, ended: None };
        entry.beat(&self.store);
        self.listed.lock().unwrap().push(entry);
    }

    /// Forgets a run that has ended; its record stays in the store until another run under the id
    /// replaces it.
    pub fn forget(&self, id: &str) {
        self.listed.lock().unwrap().retain(|entry| entry.id != id);
    }

    /// Notes that a server has crashed; it sends nothing any more.
    pub fn note_crash(&self, id: &str) {
        let mut listed = self.listed.lock().unwrap();
        listed
            .iter_mut()
            .filter(|entry| entry.id == id)
            .for_each(|entry| entry.ended = Some(Instant::now()));
    }
}
