//! Commands to the driver of an endpoint, and the handle that sends them.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::{
    ids::{ProcessId, RequestId},
    queue::QueueEvent,
    reason::DecisionReason,
    request::RequestSpec,
    route::EndpointDigest,
    suspect::SuspectTable,
};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// The queue's decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// The request may be sent to the endpoint now.
    Run,
    /// The request is refused and will not run.
    Refused {
        /// Reason for the refusal.
        reason: DecisionReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The entry and the caller's request that an attempt belongs to.
#[derive(Clone, Debug)]
pub(crate) struct AttemptOrigin {
    /// Incarnation of the entry that sent the attempt.
    pub(crate) entry: ProcessId,
    /// Ordinal of the attempt among the entry's sends.
    pub(crate) ordinal: u64,
    /// Identifier of the caller's request, under which explanations are recorded.
    pub(crate) caller_request: RequestId,
    /// Identifier of the attempt that is sent to the endpoint.
    pub(crate) attempt_id: Box<str>,
    /// Whether the entry sent the request as one suspected of crashes.
    pub(crate) isolated: bool,
    /// The entry's table of requests suspected of crashes, if the entry sent one.
    pub(crate) suspects: Option<SuspectTable>,
    /// SHA-256 hash of the caller's key.
    pub(crate) key_hash: Box<str>,
}

/// Availability and capacity of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointCapacity {
    /// Whether the endpoint is up.
    pub(crate) up: bool,
    /// Number of requests that the endpoint runs concurrently.
    pub(crate) slots: u32,
    /// Capacity of the endpoint's KV cache, in tokens.
    pub(crate) kv_tokens: u64,
    /// Output tokens per second while all slots are in use.
    pub(crate) tokens_per_second: f64,
    /// Name of the queueing policy.
    pub(crate) policy: Box<str>,
    /// Models that the endpoint serves.
    pub(crate) models: Vec<Box<str>>,
}

/// A command to a driver.
#[derive(Debug)]
pub(crate) enum DriverCommand {
    /// A request arrived for the endpoint.
    Arrive {
        spec: RequestSpec,
        origin: AttemptOrigin,
        admission: oneshot::Sender<Admission>,
        abort: CancellationToken,
    },
    /// An event for the queue.
    Event(QueueEvent),
    /// The capacity of the endpoint changed.
    Capacity(EndpointCapacity),
    /// The requested probe ended; `true` if the endpoint is up.
    ProbeResult(bool),
    /// The platform will stop the endpoint, so the queue accepts no new requests.
    Retire,
}

/// A handle to the driver of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct DriverHandle {
    commands: mpsc::Sender<DriverCommand>,
    digest: watch::Receiver<EndpointDigest>,
    probe: Arc<Notify>,
}

impl DriverHandle {
    /// Returns a handle whose driver reads `commands` and writes `digest`.
    pub(crate) fn new(
        commands: mpsc::Sender<DriverCommand>,
        digest: watch::Receiver<EndpointDigest>,
        probe: Arc<Notify>,
    ) -> DriverHandle {
        DriverHandle { commands, digest, probe }
    }

    /// Passes a request to the queue and returns the receiver of the queue's decision.
    pub(crate) async fn enqueue(
        &self,
        spec: RequestSpec,
        origin: AttemptOrigin,
        abort: CancellationToken,
    ) -> oneshot::Receiver<Admission> {
        let (admission, receiver) = oneshot::channel();
        let command = DriverCommand::Arrive { spec, origin, admission, abort };
        // A driver that has ended drops the sender, which makes the receiver return an error.
        let _ = self.commands.send(command).await;
        receiver
    }

    /// Sends an event to the queue.
    pub(crate) async fn send_event(&self, event: QueueEvent) {
        let _ = self.commands.send(DriverCommand::Event(event)).await;
    }

    /// Sends the current capacity of the endpoint to the driver.
    pub(crate) async fn set_capacity(&self, capacity: EndpointCapacity) {
        let _ = self.commands.send(DriverCommand::Capacity(capacity)).await;
    }

    /// Sends an event to the queue from a spawned task, for callers that cannot wait.
    pub(crate) fn spawn_send_event(&self, event: QueueEvent) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let _ = commands.send(DriverCommand::Event(event)).await;
        });
    }

    /// Waits until the driver requests a probe.
    pub(crate) async fn probe_requested(&self) {
        self.probe.notified().await;
    }

    /// Sends the result of a requested probe to the driver.
    pub(crate) async fn report_probe(&self, up: bool) {
        let _ = self.commands.send(DriverCommand::ProbeResult(up)).await;
    }

    /// Makes the queue refuse new requests.
    pub(crate) async fn drain(&self) {
        self.send_event(QueueEvent::Drain).await;
    }

    /// Makes the queue refuse new requests because the platform will stop the endpoint.
    pub(crate) async fn retire(&self) {
        let _ = self.commands.send(DriverCommand::Retire).await;
    }

    /// Returns the latest digest of the endpoint.
    pub(crate) fn digest(&self) -> EndpointDigest {
        self.digest.borrow().clone()
    }
}
