//! A link to a server that can be cut: a proxy that holds bytes, ends of connections and new
//! connections until the cut has healed.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// What passes a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Everything.
    #[default]
    None,
    /// Nothing.
    Both,
    /// Only what the server sends; its peers' bytes and new connections do not reach it.
    ToServer,
    /// Nothing, as the server's machine is dark: opening packets are not answered.
    Dark,
}

/// Time in which a connection is made unless the queue of new connections is full.
const CONNECT_TIME: Duration = Duration::from_millis(60);

/// Maximum number of connections that fill the queue.
const MAX_FILLERS: usize = 4_200;

#[derive(Clone)]
pub struct Link {
    /// The address at which machines reach the server.
    pub address: SocketAddr,
    cut: Arc<(Mutex<Cut>, Condvar)>,
    /// Connections that fill the queue of new connections, so that further opening packets are dropped.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(ip: &str, server: SocketAddr) -> Link {
        let listener = TcpListener::bind((ip, 0)).expect("the link's address");
        let address = listener.local_addr().expect("a local address");
        let link = Link { address, cut: Arc::default(), fillers: Arc::default() };
        let passing = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                passing.await_path(|cut| cut == Cut::None);
                if is_closed(&near) {
                    continue;
                }
                match TcpStream::connect(server) {
                    Ok(far) => passing.pass(near, far),
                    // No process listens: the connection is reset.
                    Err(_) => reset(&near),
                }
            }
        });
        link
    }

    /// Cuts the link, or heals it. Opening packets are dropped while the link is cut towards the server, or dark.
    pub fn set_cut(&self, cut: Cut) {
        *self.cut.0.lock().unwrap() = cut;
        let mut fillers = self.fillers.lock().unwrap();
        fillers.clear();
        while matches!(cut, Cut::ToServer | Cut::Dark) && fillers.len() < MAX_FILLERS {
            match TcpStream::connect_timeout(&self.address, CONNECT_TIME) {
                Ok(filler) => fillers.push(filler),
                Err(_) => break,
            }
        }
        self.cut.1.notify_all();
    }

    /// Waits until `passes` accepts the state of the link.
    fn await_path(&self, passes: impl Fn(Cut) -> bool) {
        let (cut, changed) = &*self.cut;
        let _path = changed.wait_while(cut.lock().unwrap(), |cut| !passes(*cut)).unwrap();
    }

    fn pass(&self, near: TcpStream, far: TcpStream) {
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ends = [(&near, &far, true), (&far, &near, false)];
        for (from, to, is_to_server) in ends {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let link = self.clone();
            thread::spawn(move || link.pump(from, to, is_to_server));
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, is_to_server: bool) {
        let mut bytes = [0; 16 << 10];
        loop {
            let read = from.read(&mut bytes);
            self.await_path(|cut| cut == Cut::None || (cut == Cut::ToServer && !is_to_server));
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
                Ok(_) => {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
                // The other end reset the connection.
                Err(_) => {
                    reset(&to);
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    is_closed
}

/// Lets the connection end with a reset where the system allows it: an end with unread bytes does so.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
