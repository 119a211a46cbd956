//! Health probes of an endpoint.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::{
    agent::{
        driver_handle::{DriverHandle, EndpointCapacity},
        endpoint_client::EndpointClient,
    },
    logs::part,
    view::ViewCell,
};

/// Interval between probes.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes one endpoint and reports changes of its health and settings to its driver.
#[derive(Debug)]
pub(crate) struct EndpointProbe {
    pub(crate) client: EndpointClient,
    pub(crate) driver: DriverHandle,
    pub(crate) views: ViewCell,
}

impl EndpointProbe {
    /// Probes until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut reported = None;
        let mut requested = false;
        loop {
            let up = self.accepts_connection().await;
            if self.client.set_up(up) != up {
                let word = if up { "answers" } else { "does not answer" };
                log::info!(target: part::AGENT, "Endpoint {} {word}.", self.client.name());
            }
            let current = self.capacity(up);
            if current != reported {
                reported = current;
                if let Some(capacity) = reported.clone() {
                    self.driver.set_capacity(capacity).await;
                }
            }
            if requested {
                self.driver.report_probe(up).await;
            }
            requested = tokio::select! {
                () = stop.cancelled() => return,
                () = self.driver.probe_requested() => true,
                () = tokio::time::sleep(PROBE_PERIOD) => false,
            };
        }
    }

    /// Returns whether the endpoint accepts a TCP connection.
    ///
    /// A slow endpoint also counts as up; its speed is measured by its runs.
    async fn accepts_connection(&self) -> bool {
        let connecting = TcpStream::connect(self.client.address());
        matches!(tokio::time::timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    /// Returns the endpoint's capacity from the current settings, or `None` if they do not name it.
    fn capacity(&self, up: bool) -> Option<EndpointCapacity> {
        let view = self.views.load();
        let spec = &view.catalog.endpoints[view.catalog.endpoint(self.client.name())?];
        Some(EndpointCapacity {
            up,
            slots: spec.slots,
            kv_tokens: spec.kv_tokens,
            tokens_per_second: spec.tokens_per_second,
            policy: view.catalog.policies.queue.clone(),
            models: spec.models.clone(),
        })
    }
}
