//! Connections to endpoints that wait for their next request.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use crate::link::{HttpLink, LinkError};

/// Time that a connection may wait if its endpoint names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Share of the endpoint's limit after which a connection is not used again, since the endpoint
/// may be closing it.
const IDLE_SHARE: f64 = 0.6;

/// Most idle connections kept to one run of an endpoint.
const MAX_IDLE: usize = 32;

/// Connections by the run of the endpoint, as an address may be given to another endpoint.
#[derive(Debug, Default)]
pub(crate) struct LinkPool {
    idle: Mutex<HashMap<Box<str>, Vec<HttpLink>>>,
}

impl LinkPool {
    /// Returns a connection to the endpoint `name`, an idle one if there is one.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and does not come to be.
    pub(crate) async fn take(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<HttpLink, LinkError> {
        match self.take_idle(name) {
            Some(link) => Ok(link),
            None => HttpLink::open(address).await,
        }
    }

    fn take_idle(&self, name: &str) -> Option<HttpLink> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let links = idle.get_mut(name)?;
        links.retain(|link| !link.is_closed() && link.idle() < usable_for(link));
        let ready = links.iter().rposition(HttpLink::is_ready)?;
        Some(links.swap_remove(ready))
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(&self, name: &str, mut link: HttpLink) {
        link.touch();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let links = idle.entry(name.into()).or_default();
        if links.len() < MAX_IDLE {
            links.push(link);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, name: &str) {
        self.idle.lock().expect("no holder of the lock panics").remove(name);
    }

    /// Closes idle connections that may not be used again.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for links in idle.values_mut() {
            links.retain(|link| !link.is_closed() && link.idle() < usable_for(link));
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

fn usable_for(link: &HttpLink) -> Duration {
    link.idle_limit().unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE)
}
