//! What the driver of an endpoint is told, and the handle that tells it.

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

/// Whether a request may go to the endpoint.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// Send it now.
    Run,
    /// It did not run and will not.
    Refused {
        /// Why.
        reason: DecisionReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Where an attempt comes from.
#[derive(Clone, Debug)]
pub(crate) struct AttemptOrigin {
    /// Run of the entry that sent it.
    pub(crate) entry: ProcessId,
    /// Count of that entry's sends up to this one.
    pub(crate) ordinal: u64,
    /// Request under which steps are explained.
    pub(crate) caller_request: RequestId,
    /// Identifier that the endpoint sees.
    pub(crate) attempt_id: Box<str>,
    /// Whether it is sent as a suspect of crashes.
    pub(crate) isolated: bool,
    /// What its entry knows of suspects.
    pub(crate) suspects: Option<SuspectTable>,
    /// SHA-256 of the caller's key.
    pub(crate) key_hash: Box<str>,
}

/// What an endpoint can do now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointCapacity {
    /// Whether it answers.
    pub(crate) up: bool,
    /// Requests it runs at once.
    pub(crate) slots: u32,
    /// Tokens that fit its KV cache.
    pub(crate) kv_tokens: u64,
    /// Output tokens a second with all slots in use.
    pub(crate) tokens_per_second: f64,
    /// Name of the queue order.
    pub(crate) policy: Box<str>,
    /// Models it serves.
    pub(crate) models: Vec<Box<str>>,
}

/// What a driver is told.
#[derive(Debug)]
pub(crate) enum DriverCommand {
    Arrive {
        spec: RequestSpec,
        origin: AttemptOrigin,
        admission: oneshot::Sender<Admission>,
        abort: CancellationToken,
    },
    Event(QueueEvent),
    Capacity(EndpointCapacity),
    ProbeResult(bool),
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

    /// Hands a request to the queue; the answer comes through the returned receiver.
    pub(crate) async fn enqueue(
        &self,
        spec: RequestSpec,
        origin: AttemptOrigin,
        abort: CancellationToken,
    ) -> oneshot::Receiver<Admission> {
        let (admission, receiver) = oneshot::channel();
        let command = DriverCommand::Arrive { spec, origin, admission, abort };
        // A driver that has ended drops the sender, which the receiver sees.
        let _ = self.commands.send(command).await;
        receiver
    }

    /// Tells the queue what happened.
    pub(crate) async fn send_event(&self, event: QueueEvent) {
        let _ = self.commands.send(DriverCommand::Event(event)).await;
    }

    /// Tells the queue what its endpoint can do now.
    pub(crate) async fn set_capacity(&self, capacity: EndpointCapacity) {
        let _ = self.commands.send(DriverCommand::Capacity(capacity)).await;
    }

    /// Tells the queue what happened, from a place that must not wait.
    pub(crate) fn spawn_send_event(&self, event: QueueEvent) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let _ = commands.send(DriverCommand::Event(event)).await;
        });
    }

    /// Waits until the driver wants to know whether the endpoint answers.
    pub(crate) async fn probe_requested(&self) {
        self.probe.notified().await;
    }

    /// Tells the driver whether the endpoint answered the probe that it wanted.
    pub(crate) async fn report_probe(&self, up: bool) {
        let _ = self.commands.send(DriverCommand::ProbeResult(up)).await;
    }

    /// Tells the queue to take no new work.
    pub(crate) async fn drain(&self) {
        self.send_event(QueueEvent::Drain).await;
    }

    /// Tells the queue to take no new work, since the platform will stop the endpoint.
    pub(crate) async fn retire(&self) {
        let _ = self.commands.send(DriverCommand::Retire).await;
    }

    /// Returns the latest digest.
    pub(crate) fn digest(&self) -> EndpointDigest {
        self.digest.borrow().clone()
    }
}
