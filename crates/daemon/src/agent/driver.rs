//! The task that owns the queue of one endpoint.

use std::{collections::HashMap, sync::Arc, time::Duration};

use pimentorock_kernel::{
    control::WithdrawalDigest,
    ids::{ProcessId, RequestId},
    queue::{self, EndpointQueue, QueueAction, QueueEvent},
    reason::DecisionReason,
    request::RunOutcome,
    route::{EndpointDigest, EntryProgress},
    suspect::SuspectTable,
};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::{
        crash_tracker::CrashTracker,
        driver_handle::{Admission, AttemptOrigin, DriverCommand, DriverHandle, EndpointCapacity},
        endpoint_client::EndpointClient,
    },
    clock::ProcessClock,
    explain::ExplainLog,
    logs::part,
    view::ViewCell,
};

/// Interval between queue ticks.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Retry delay sent for an endpoint that the settings do not name.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay sent for a request whose start was refused.
const REFUSED_START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of commands that are buffered for the driver.
const COMMAND_CAPACITY: usize = 1024;

/// A request that is queued or running at the endpoint.
#[derive(Debug)]
struct ActiveRequest {
    /// Identifier of the caller's request, under which explanations are recorded.
    caller_request: RequestId,
    key_hash: Box<str>,
    /// Identifier of the attempt that is sent to the endpoint.
    attempt_id: Box<str>,
    /// Whether the request must run alone because the entry suspects it of crashes.
    isolated: bool,
    /// The entry's table of requests suspected of crashes, if the entry sent one.
    suspects: Option<SuspectTable>,
    running: bool,
    fingerprint: u64,
    /// Sender of the queue's decision; `None` after the request was started.
    admission: Option<oneshot::Sender<Admission>>,
    /// Cancelled when the queue aborts the run.
    abort: CancellationToken,
}

/// Owns the queue of one endpoint and processes the commands for it.
#[derive(Debug)]
pub(crate) struct EndpointDriver {
    clock: ProcessClock,
    views: ViewCell,
    explain: ExplainLog,
    client: EndpointClient,
    /// `None` while no queue has been built, such as before the settings name the endpoint.
    queue: Option<EndpointQueue>,
    /// Capacity that the queue uses; `None` before the first report, and from the restart of a
    /// drained endpoint until the queue is rebuilt.
    capacity: Option<EndpointCapacity>,
    active: HashMap<RequestId, ActiveRequest>,
    commands: mpsc::Receiver<DriverCommand>,
    digest_sender: watch::Sender<EndpointDigest>,
    actions: Vec<QueueAction>,
    incarnation: u64,
    /// Highest ordinal (number of a send) received from each entry.
    entry_progress: Vec<EntryProgress>,
    crash_tracker: CrashTracker,
    /// Requests whose start was refused and whose end the queue has not been told yet.
    refused_starts: Vec<RequestId>,
    draining: bool,
    /// Whether the platform will stop the endpoint.
    retiring: bool,
    /// Whether a run was lost and no probe has shown since then whether the endpoint is up.
    health_unknown: bool,
    /// Requests whose start is deferred until the probe result, with the queue's reason to start.
    deferred_starts: Vec<(RequestId, DecisionReason)>,
    /// Count and checksum of the key withdrawals that were last checked against the queue.
    checked_withdrawals: Option<WithdrawalDigest>,
    /// Requests a probe of the endpoint.
    probe: Arc<Notify>,
}

impl EndpointDriver {
    /// Spawns a driver task, which ends when `stop` is cancelled, and returns its handle.
    pub(crate) fn start(
        clock: ProcessClock,
        views: ViewCell,
        explain: ExplainLog,
        client: EndpointClient,
        stop: CancellationToken,
    ) -> DriverHandle {
        let (sender, commands) = mpsc::channel(COMMAND_CAPACITY);
        let initial_digest =
            EndpointDigest { endpoint: client.name().into(), ..EndpointDigest::default() };
        let (digest_sender, watcher) = watch::channel(initial_digest);
        let probe = Arc::new(Notify::new());
        let driver = EndpointDriver {
            clock,
            views,
            explain,
            client,
            queue: None,
            capacity: None,
            active: HashMap::new(),
            commands,
            digest_sender,
            actions: Vec::new(),
            incarnation: clock.incarnation(),
            entry_progress: Vec::new(),
            crash_tracker: CrashTracker::new(clock.incarnation()),
            refused_starts: Vec::new(),
            draining: false,
            retiring: false,
            health_unknown: false,
            deferred_starts: Vec::new(),
            checked_withdrawals: None,
            probe: Arc::clone(&probe),
        };
        tokio::spawn(driver.run(stop));
        DriverHandle::new(sender, watcher, probe)
    }

    async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = tick.tick() => {
                    self.refuse_withdrawn();
                    self.step(QueueEvent::Tick);
                }
            }
            self.publish();
        }
    }

    fn handle_command(&mut self, command: DriverCommand) {
        match command {
            DriverCommand::Arrive { spec, origin, admission, abort } => {
                let fingerprint = spec.fingerprint;
                let admission = Some(admission);
                self.record_send(origin.entry, origin.ordinal);
                let AttemptOrigin {
                    caller_request, attempt_id, isolated, suspects, key_hash, ..
                } = origin;
                let active = ActiveRequest {
                    caller_request,
                    key_hash,
                    attempt_id,
                    isolated,
                    suspects,
                    running: false,
                    fingerprint,
                    admission,
                    abort,
                };
                self.active.insert(spec.id, active);
                self.step(QueueEvent::Arrive(spec));
            }
            DriverCommand::Capacity(capacity) => self.set_capacity(capacity),
            DriverCommand::ProbeResult(up) => self.resolve_deferred_starts(up),
            DriverCommand::Retire => {
                self.retiring = true;
                self.draining = true;
                self.step(QueueEvent::Drain);
            }
            DriverCommand::Event(event) => {
                self.draining |= matches!(event, QueueEvent::Drain);
                let ended = match &event {
                    QueueEvent::Finish { request, .. } | QueueEvent::Cancel { request } => {
                        Some(*request)
                    }
                    _ => None,
                };
                if let QueueEvent::Finish { request, outcome } = event {
                    self.record_end(request, outcome);
                }
                self.step(event);
                if let Some(request) = ended {
                    self.active.remove(&request);
                }
            }
        }
    }

    /// Records the highest ordinal (number of a send) received from an entry.
    fn record_send(&mut self, entry: ProcessId, ordinal: u64) {
        let known =
            self.entry_progress.iter_mut().find(|progress| progress.entry.name == entry.name);
        match known {
            Some(progress) if progress.entry == entry => {
                progress.ordinal = progress.ordinal.max(ordinal);
            }
            // A new incarnation of the entry restarts its ordinals.
            Some(progress) => *progress = EntryProgress { entry, ordinal },
            None => self.entry_progress.push(EntryProgress { entry, ordinal }),
        }
    }

    /// Passes an event to the queue and performs the resulting actions.
    fn step(&mut self, event: QueueEvent) {
        let Some(queue) = &mut self.queue else {
            self.refuse_unconfigured(event);
            return;
        };
        let view = self.views.load();
        let mut actions = std::mem::take(&mut self.actions);
        queue.step(self.clock.now(), event, &view.catalog, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.finish_refused_starts();
    }

    /// Reports to the queue that requests whose start was refused did not run.
    fn finish_refused_starts(&mut self) {
        while let Some(request) = self.refused_starts.pop() {
            self.step(QueueEvent::Finish { request, outcome: RunOutcome::NotRun });
        }
    }

    /// Refuses waiting requests whose key was withdrawn; running requests continue.
    fn refuse_withdrawn(&mut self) {
        let view = self.views.load();
        let known = Some(view.keys.digest());
        if self.checked_withdrawals == known {
            return;
        }
        self.checked_withdrawals = known;
        let withdrawn = self.active.iter().filter(|(_, active)| {
            active.admission.is_some() && view.keys.is_withdrawn(&active.key_hash)
        });
        let withdrawn: Vec<RequestId> = withdrawn.map(|(&request, _)| request).collect();
        for request in withdrawn {
            self.step(QueueEvent::Cancel { request });
            let (reason, retry_after) = (DecisionReason::KeyWithdrawn, Duration::ZERO);
            self.perform(QueueAction::Refuse { request, reason, retry_after });
        }
    }

    /// Refuses a request that arrives while the settings do not name this endpoint.
    fn refuse_unconfigured(&mut self, event: QueueEvent) {
        let QueueEvent::Arrive(spec) = event else { return };
        self.perform(QueueAction::Refuse {
            request: spec.id,
            reason: DecisionReason::NoEndpoint,
            retry_after: UNCONFIGURED_RETRY_AFTER,
        });
    }

    fn set_capacity(&mut self, capacity: EndpointCapacity) {
        self.record_health(capacity.up);
        let (slots, kv_tokens) =
            if capacity.up { (capacity.slots, capacity.kv_tokens) } else { (0, 0) };
        let restarted = capacity.up && self.capacity.as_ref().is_some_and(|known| !known.up);
        if self.draining && restarted {
            // A drained endpoint returns to service when it has been stopped and started again.
            self.draining = false;
            self.retiring = false;
            self.capacity = None;
        }
        if self.policy_changed(&capacity) {
            // A changed policy takes effect only when no request is queued or running. Until then,
            // the capacity in the report is ignored as well.
            if self.active.is_empty() {
                let speed = capacity.tokens_per_second;
                self.queue = queue::build(&capacity.policy, slots, kv_tokens, speed);
                self.capacity = Some(capacity);
            }
            return;
        }
        self.capacity = Some(capacity);
        self.step(QueueEvent::Resize { slots, kv_tokens });
    }

    fn policy_changed(&self, capacity: &EndpointCapacity) -> bool {
        self.capacity.as_ref().is_none_or(|known| known.policy != capacity.policy)
    }

    fn perform(&mut self, action: QueueAction) {
        match action {
            QueueAction::Start { request, resume, reason } => {
                self.start_run(request, resume, reason)
            }
            QueueAction::Refuse { request, reason, retry_after } => {
                let Some(active) = self.active.remove(&request) else { return };
                self.explain_step(active.caller_request, format_args!("refused: {reason}"));
                if let Some(admission) = active.admission {
                    let _ = admission.send(Admission::Refused { reason, retry_after });
                }
            }
            QueueAction::Preempt { request, reason } => {
                let Some(active) = self.active.get(&request) else { return };
                self.explain_step(active.caller_request, format_args!("paused: {reason}"));
                self.client.pause(&active.attempt_id);
            }
            QueueAction::Abort { request, reason } => {
                let Some(active) = self.active.remove(&request) else { return };
                self.explain_step(active.caller_request, format_args!("stopped: {reason}"));
                active.abort.cancel();
            }
        }
    }

    fn start_run(&mut self, request: RequestId, resume: bool, reason: DecisionReason) {
        if !resume && self.health_unknown {
            // A request started at an endpoint that has just crashed would be recorded as running
            // at the crash. An innocent request that is recorded at two crashes would be suspected
            // of causing them.
            self.deferred_starts.push((request, reason));
            return;
        }
        if !resume && let Err(reason) = self.admit_start(request) {
            self.refuse_start(request, reason);
            return;
        }
        let Some(active) = self.active.get_mut(&request) else { return };
        active.running = true;
        let caller_request = active.caller_request;
        if resume {
            self.client.resume(&active.attempt_id);
        } else if let Some(admission) = active.admission.take() {
            let _ = admission.send(Admission::Run);
        }
        let verb = if resume { "resumed" } else { "started" };
        self.explain_step(caller_request, format_args!("{verb}: {reason}"));
    }

    /// Performs the starts that were deferred until the probe if the endpoint is up, and refuses
    /// them otherwise.
    fn resolve_deferred_starts(&mut self, up: bool) {
        self.health_unknown = false;
        for (request, reason) in std::mem::take(&mut self.deferred_starts) {
            if up {
                self.start_run(request, false, reason);
            } else {
                self.refuse_start(request, DecisionReason::EndpointDown);
            }
        }
        self.finish_refused_starts();
    }

    /// Checks whether a request may start; the check keeps requests suspected of crashes isolated.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must not start now.
    fn admit_start(&mut self, request: RequestId) -> Result<(), DecisionReason> {
        let Some(active) = self.active.get(&request) else { return Ok(()) };
        let running = self.active.values().filter(|other| other.running);
        let running: Vec<u64> = running.map(|other| other.fingerprint).collect();
        let now = self.clock.now();
        self.crash_tracker.admit(
            now,
            active.fingerprint,
            active.isolated,
            active.suspects.as_ref(),
            &running,
        )
    }

    /// Refuses a request that the queue had chosen to start.
    fn refuse_start(&mut self, request: RequestId, reason: DecisionReason) {
        let retry_after = REFUSED_START_RETRY_AFTER;
        self.perform(QueueAction::Refuse { request, reason, retry_after });
        self.refused_starts.push(request);
    }

    /// Reports the outcome of a run to the crash tracker; after a lost run, also defers further
    /// starts and requests a probe of the endpoint.
    fn record_end(&mut self, request: RequestId, outcome: RunOutcome) {
        let Some(active) = self.active.get_mut(&request) else { return };
        active.running = false;
        let fingerprint = active.fingerprint;
        self.crash_tracker.record_end(self.clock.now(), fingerprint, outcome);
        if outcome == RunOutcome::Lost {
            // No other request may be sent to the endpoint before a probe shows whether the
            // endpoint is up.
            self.health_unknown = true;
            self.probe.notify_one();
        }
    }

    /// Reports to the crash tracker whether the endpoint is up.
    fn record_health(&mut self, up: bool) {
        let running = self.active.values().filter(|active| active.running);
        let running: Vec<u64> = running.map(|active| active.fingerprint).collect();
        self.crash_tracker.record_health(self.clock.now(), self.client.name(), up, &running);
    }

    /// Publishes a new digest of the endpoint.
    fn publish(&mut self) {
        let now = self.clock.now();
        let queue_digest = self.queue.as_mut().map(|queue| queue.digest(now)).unwrap_or_default();
        let configured = self.queue.is_some();
        let models = self.capacity.as_ref().map(|capacity| capacity.models.clone());
        self.digest_sender.send_modify(|digest| {
            digest.sequence += 1;
            digest.running = queue_digest.running;
            digest.waiting = queue_digest.waiting;
            digest.pending_tokens = queue_digest.pending_tokens;
            digest.tokens_per_second = queue_digest.tokens_per_second;
            digest.step_time = queue_digest.step_time;
            digest.draining = self.draining;
            digest.retiring = self.retiring;
            digest.up = configured && self.client.is_up();
            digest.models = models.unwrap_or_default();
            digest.incarnation = self.incarnation;
            digest.seen.clone_from(&self.entry_progress);
            digest.engine_run = self.crash_tracker.engine_run();
            digest.crashes = self.crash_tracker.recent_crashes().to_vec();
        });
    }

    /// Appends a line to the explanation of a caller's request.
    fn explain_step(&self, request: RequestId, text: impl std::fmt::Display) {
        self.explain.note(request, part::AGENT, text);
    }
}
