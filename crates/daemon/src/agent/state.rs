//! State shared by all requests of an agent.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use pimentorock_kernel::route::EndpointDigest;
use pimentorock_settings::process::EndpointAddress;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    agent::{
        driver::EndpointDriver, driver_handle::DriverHandle, endpoint_client::EndpointClient,
        probe::EndpointProbe,
    },
    clock::ProcessClock,
    explain::ExplainLog,
    state::UsageCounter,
    view::ViewCell,
};

/// An endpoint that this agent serves.
#[derive(Debug)]
pub(crate) struct LocalEndpoint {
    pub(crate) client: EndpointClient,
    pub(crate) driver: DriverHandle,
}

/// State shared by all requests of an agent.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) clock: ProcessClock,
    pub(crate) views: ViewCell,
    pub(crate) tracker: TaskTracker,
    pub(crate) counter: Arc<UsageCounter>,
    pub(crate) endpoints: HashMap<Box<str>, LocalEndpoint>,
    draining: AtomicBool,
}

impl AgentState {
    /// Starts a driver and a probe for each endpoint, which end when `stop` is cancelled.
    pub(crate) fn start(
        clock: ProcessClock,
        views: ViewCell,
        explain: &ExplainLog,
        http: &reqwest::Client,
        addresses: &[EndpointAddress],
        counter: Arc<UsageCounter>,
        stop: &CancellationToken,
    ) -> AgentState {
        let mut endpoints = HashMap::new();
        for address in addresses {
            let client = EndpointClient::new(&address.name, &address.url, http.clone());
            let driver = EndpointDriver::start(
                clock,
                views.clone(),
                explain.clone(),
                client.clone(),
                stop.clone(),
            );
            let probe = EndpointProbe {
                client: client.clone(),
                driver: driver.clone(),
                views: views.clone(),
            };
            tokio::spawn(probe.run(stop.clone()));
            endpoints.insert(address.name.clone(), LocalEndpoint { client, driver });
        }
        AgentState {
            clock,
            views,
            tracker: TaskTracker::new(),
            counter,
            endpoints,
            draining: AtomicBool::new(false),
        }
    }

    /// Drains all endpoints, so that the agent accepts no new requests.
    pub(crate) async fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        for endpoint in self.endpoints.values() {
            endpoint.driver.drain().await;
        }
    }

    /// Returns the digests of all endpoints.
    pub(crate) fn digests(&self) -> Vec<EndpointDigest> {
        let draining = self.draining.load(Ordering::Acquire);
        let digests = self.endpoints.values().map(|endpoint| endpoint.driver.digest());
        digests
            .map(|digest| EndpointDigest { draining: draining || digest.draining, ..digest })
            .collect()
    }
}
