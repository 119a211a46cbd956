//! A pool of idle connections to endpoints.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{
    connection::{ConnectionError, HttpConnection},
    state_lock::StateLock,
};

/// Idle limit of a connection if its endpoint states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Fraction of the idle limit after which a connection is not reused, because the endpoint may be
/// closing it already.
const IDLE_SHARE: f64 = 0.6;

/// Idle time after which a connection counts as quiet: bytes that a faulty endpoint sends after a response have
/// come by then, and closed the connection.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// Maximum number of idle connections to one process instance of an endpoint.
const MAX_IDLE: usize = 32;

/// Idle connections by the name of the endpoint's process instance; an address cannot be the key,
/// because an address may be assigned to another endpoint later.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: StateLock<HashMap<Box<str>, Vec<HttpConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to the endpoint `name`, or a new connection to `address` if there
    /// is none. A connection that `must_be_quiet` has been idle for [`QUIET_TIME`], or is new.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and cannot be established.
    pub(crate) async fn take(
        &self,
        name: &str,
        address: SocketAddr,
        must_be_quiet: bool,
    ) -> Result<HttpConnection, ConnectionError> {
        match self.take_idle(name, must_be_quiet) {
            Some(connection) => Ok(connection),
            None => HttpConnection::open(address).await,
        }
    }

    fn take_idle(&self, name: &str, must_be_quiet: bool) -> Option<HttpConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(name)?;
        connections.retain(|connection| {
            !connection.is_closed() && connection.idle() < usable_idle_time(connection)
        });
        let may_take = |connection: &HttpConnection| {
            connection.is_ready() && (!must_be_quiet || connection.idle() >= QUIET_TIME)
        };
        let ready = connections.iter().rposition(may_take)?;
        Some(connections.swap_remove(ready))
    }

    /// Returns a connection whose response was read to its end to the pool.
    pub(crate) fn put(&self, name: &str, mut connection: HttpConnection) {
        connection.touch();
        let mut idle = self.idle.lock();
        let connections = idle.entry(name.into()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn forget(&self, name: &str) {
        self.idle.lock().remove(name);
    }

    /// Closes the idle connections that may not be reused.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock();
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
