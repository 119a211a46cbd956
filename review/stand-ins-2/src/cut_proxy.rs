//! A proxy between an entry and the store that stands for their link, which can be cut.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two looks at the link.
const LOOK: Duration = Duration::from_millis(5);

/// The proxy; clones are the same one.
#[derive(Clone)]
pub struct CutProxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl CutProxy {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> CutProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = CutProxy { address, is_cut: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for entry in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.serve(entry, target));
            }
        });
        proxy
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    fn serve(&self, mut entry: TcpStream, target: SocketAddr) {
        if self.is_cut() {
            // A connection that is opened over a cut link is never answered.
            let mut bytes = [0; 4096];
            while entry.read(&mut bytes).is_ok_and(|read| read > 0) {}
            return;
        }
        let Ok(store) = TcpStream::connect(target) else { return };
        let _ = (entry.set_nodelay(true), store.set_nodelay(true));
        let (Ok(entry_in), Ok(store_out)) = (entry.try_clone(), store.try_clone()) else { return };
        let upstream = self.clone();
        thread::spawn(move || upstream.copy(entry_in, store_out));
        self.copy(store, entry);
    }

    /// Copies bytes, and holds them while the link is cut.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 << 10];
        while let Ok(read) = from.read(&mut bytes) {
            while self.is_cut() {
                thread::sleep(LOOK);
            }
            if read == 0 || to.write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
    }
}
