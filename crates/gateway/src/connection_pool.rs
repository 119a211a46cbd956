//! A pool of idle connections to endpoints.

use std::{collections::HashMap, time::Duration};

use crate::{
    connection::{ConnectionError, HttpConnection},
    crash_checks::EndpointInstance,
    run_statement::RunStatement,
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

/// What an idle connection must be like to carry a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionNeeds {
    /// The connection has been idle for [`QUIET_TIME`], or is new.
    pub(crate) quiet: bool,
    /// The endpoint was asked for its run on the connection, or the connection is new.
    pub(crate) asked: bool,
}

/// Idle connections by the run of the endpoint. Neither an address nor a name can be the key, because
/// another endpoint, or another run of the same one, may have it later.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: StateLock<HashMap<EndpointInstance, Vec<HttpConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to `instance`, or a new connection to its address if there is none.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and cannot be established.
    pub(crate) async fn take(
        &self,
        instance: &EndpointInstance,
        needs: ConnectionNeeds,
    ) -> Result<HttpConnection, ConnectionError> {
        match self.take_idle(instance, needs) {
            Some(connection) => Ok(connection),
            None => HttpConnection::open(instance.address).await,
        }
    }

    fn take_idle(
        &self,
        instance: &EndpointInstance,
        needs: ConnectionNeeds,
    ) -> Option<HttpConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(instance)?;
        connections.retain(|connection| {
            !connection.is_closed() && connection.idle() < usable_idle_time(connection)
        });
        let may_take = |connection: &HttpConnection| {
            connection.is_ready()
                && (!needs.quiet || connection.idle() >= QUIET_TIME)
                && (!needs.asked || connection.run() != RunStatement::Unasked)
        };
        let ready = connections.iter().rposition(may_take)?;
        Some(connections.swap_remove(ready))
    }

    /// Returns a connection whose response was read to its end to the pool.
    pub(crate) fn put(&self, instance: &EndpointInstance, mut connection: HttpConnection) {
        connection.touch();
        let mut idle = self.idle.lock();
        let connections = idle.entry(instance.clone()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn forget(&self, name: &str) {
        let mut idle = self.idle.lock();
        idle.retain(|instance, _| *instance.name != *name);
    }

    /// Closes the idle connections to all runs of an endpoint but the one that started at `started_ms`.
    pub(crate) fn forget_other_runs(&self, name: &str, started_ms: Option<u64>) {
        let mut idle = self.idle.lock();
        idle.retain(|instance, _| *instance.name != *name || instance.started_ms == started_ms);
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
