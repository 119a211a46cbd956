//! Connections to endpoints that wait for their next request.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use crate::connection::{ConnectionError, HttpConnection};

/// Time that a connection may wait if its endpoint names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Share of the endpoint's limit after which a connection is not used again, since the endpoint
/// may be closing it.
const IDLE_SHARE: f64 = 0.6;

/// Most idle connections kept to one run of an endpoint.
const MAX_IDLE: usize = 32;

/// Connections by the run of the endpoint, as an address may be given to another endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<Box<str>, Vec<HttpConnection>>>,
}

impl ConnectionPool {
    /// Returns a connection to the endpoint `name`, an idle one if there is one.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and does not come to be.
    pub(crate) async fn take(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<HttpConnection, ConnectionError> {
        match self.take_idle(name) {
            Some(connection) => Ok(connection),
            None => HttpConnection::open(address).await,
        }
    }

    fn take_idle(&self, name: &str) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let connections = idle.get_mut(name)?;
        connections.retain(|connection| {
            !connection.is_closed() && connection.idle() < usable_idle_time(connection)
        });
        let ready = connections.iter().rposition(HttpConnection::is_ready)?;
        Some(connections.swap_remove(ready))
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(&self, name: &str, mut connection: HttpConnection) {
        connection.touch();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let connections = idle.entry(name.into()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, name: &str) {
        self.idle.lock().expect("no holder of the lock panics").remove(name);
    }

    /// Closes idle connections that may not be used again.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                !connection.is_closed() && connection.idle() < usable_idle_time(connection)
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

fn usable_idle_time(connection: &HttpConnection) -> Duration {
    connection.idle_limit().unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE)
}
