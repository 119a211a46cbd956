//! Sends one request to endpoints until one of them responds or no further attempt is allowed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use pimentorock_kernel::{
    ids::EndpointKey,
    place::{PlaceChoice, PlacedRequest},
    reason::DecisionReason,
    request::RunOutcome,
    retry::{RetryCase, RetryDecision},
    suspect::{LostRun, PartVerdict},
};

use crate::{
    body_framing::BodyFraming,
    caller_request::CallerRequest,
    callers::STOPPING_RETRY_AFTER,
    choice_log::limit_decision,
    clock,
    connection::ConnectionError,
    crash_checks::{self, EndpointInstance},
    dispatch_failure::{DispatchFailure, MIN_RETRY_AFTER},
    endpoint_response::EndpointResponse,
    fleet_config::RouteKind,
    logs::part,
    metered_stream::EndlessResponse,
    send_outcome::SendOutcome,
    state::GatewayState,
    wire::ForwardSpec,
    work_guard::WorkGuard,
};

/// Minimum time that a send needs: two round trips between failure domains, and the time to process
/// the request.
const MIN_SEND_TIME: Duration = Duration::from_millis(8);

/// Maximum jitter of a retry delay, as a fraction of the request's remaining time.
///
/// The retry delay is [`MIN_RETRY_AFTER`] plus a random part of this jitter, so that refused callers
/// do not retry at the same time. Callers wait at most a third of the remaining time.
const RETRY_JITTER: f64 = 0.25;

/// Sends one request to endpoints until one of them responds.
#[derive(Debug)]
pub(crate) struct RequestDispatcher {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: Arc<CallerRequest>,
    /// What the choice of an endpoint depends on; once the stream goes on, its version too.
    pub(crate) placement: PlacedRequest,
    pub(crate) fingerprint: u64,
    /// Keys of the parts of the prompt, in order.
    pub(crate) parts: Box<[u64]>,
    /// Whether the next send is made although a part of the prompt is suspected.
    excused: bool,
    /// Endpoints that failed this request and are not chosen for it again.
    pub(crate) excluded: Vec<EndpointKey>,
    /// Number of sends so far.
    pub(crate) sends: u32,
    /// Number of sends that did not reach an endpoint.
    unreached: u32,
    /// Number of sends that have ended, after which the request may have run.
    runs: u32,
    /// Whether a send has begun that has not failed.
    sending: bool,
    /// Number of endpoints that closed the connection when they were asked for their run.
    pub(crate) lost_reports: u32,
    /// Reason of the last send that failed; `None` if no send failed.
    last_failure: Option<Box<str>>,
    /// Whether the end of the request was logged and counted.
    ended: bool,
}

impl Drop for RequestDispatcher {
    /// Logs and counts a request whose caller disconnected before the request ended.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        log::info!(
            target: part::REQUEST,
            request = &*self.request.id, route = &*self.request.route.name,
            outcome = "caller_gone", sends = self.sends,
            total_ms = clock::now().since(self.request.arrived).as_millis() as u64;
            "request ended"
        );
        self.state.metrics.note_request(&self.request.route.name, "caller_gone");
    }
}

impl RequestDispatcher {
    /// Returns a dispatcher and counts `request` towards the retry budget of its service.
    pub(crate) fn new(state: Arc<GatewayState>, request: CallerRequest) -> RequestDispatcher {
        state.note_request(&request.placement.service);
        RequestDispatcher {
            state,
            fingerprint: request.fingerprint(),
            parts: request.part_keys(),
            excused: false,
            placement: request.placement.clone(),
            request: Arc::new(request),
            excluded: Vec::new(),
            sends: 0,
            unreached: 0,
            runs: 0,
            sending: false,
            lost_reports: 0,
            last_failure: None,
            ended: false,
        }
    }

    /// Counts the end of the request as `outcome`; the caller of this method logs it.
    pub(crate) fn note_end(&mut self, outcome: &'static str) {
        self.ended = true;
        self.state.metrics.note_request(&self.request.route.name, outcome);
    }

    /// Returns how many times the request was sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends
    }

    /// Sends the request, with retries as far as they are allowed, and returns an endpoint's
    /// response.
    ///
    /// `last_event` is the identifier of the last event that the caller has received; `None` starts
    /// the stream from its beginning.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint can be chosen, if the deadline passes, or if no retry is allowed.
    pub(crate) async fn dispatch(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, DispatchFailure> {
        loop {
            let choice = self.choose()?;
            let send_outcome = self.send(&choice, last_event).await;
            let reached = !matches!(send_outcome, SendOutcome::Unreached(_));
            // An answer that has begun is a send that has not failed.
            self.sending = matches!(send_outcome, SendOutcome::Answered(_));
            let (outcome, reason) = match send_outcome {
                SendOutcome::Answered(response) => return Ok(*response),
                SendOutcome::DeadlinePassed => {
                    self.runs += 1;
                    return Err(self.failure("the deadline passed at an endpoint".into()));
                }
                SendOutcome::Unreached(reason) => {
                    self.unreached += 1;
                    (RunOutcome::NotRun, reason)
                }
                SendOutcome::NotRun(reason) => (RunOutcome::NotRun, reason),
                SendOutcome::Lost(reason) => {
                    self.runs += 1;
                    (RunOutcome::Lost, reason)
                }
            };
            self.exclude_after_failed_send(&choice, outcome, &reason);
            self.last_failure = Some(reason);
            self.await_retry(outcome, reached).await?;
        }
    }

    /// Excludes and quarantines the endpoint of `work`, whose response was incomplete, and waits
    /// until the request may be sent again.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent again.
    pub(crate) async fn await_retry_after_lost_response(
        &mut self,
        work: &WorkGuard,
        reason: &str,
    ) -> Result<(), DispatchFailure> {
        self.note_run_ended();
        self.note_lost_run(work, "answer", reason);
        self.excluded.push(work.ticket.endpoint);
        self.last_failure = Some(reason.into());
        self.await_retry(RunOutcome::Lost, true).await
    }

    /// Excludes the endpoint of `work`, which responded with the failure `status`, and waits until
    /// the request may be sent again.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent again.
    pub(crate) async fn await_retry_after_failure_status(
        &mut self,
        work: &WorkGuard,
        status: StatusCode,
    ) -> Result<(), DispatchFailure> {
        self.note_run_ended();
        self.excluded.push(work.ticket.endpoint);
        self.last_failure = Some(format!("the endpoint answered {status}").into());
        self.await_retry(RunOutcome::Failed, true).await
    }

    /// Excludes the endpoint of `work`, whose answer does not continue the request's stream, and waits
    /// until the request may be sent again.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent again.
    pub(crate) async fn await_retry_after_other_answer(
        &mut self,
        work: &WorkGuard,
        reason: &str,
    ) -> Result<(), DispatchFailure> {
        self.note_run_ended();
        self.excluded.push(work.ticket.endpoint);
        self.last_failure = Some(reason.into());
        self.await_retry(RunOutcome::Lost, true).await
    }

    /// Counts a run whose answer is of no use.
    fn note_run_ended(&mut self) {
        self.runs += 1;
        self.sending = false;
    }

    /// Decides whether the request is sent again, and waits for the delay before the retry.
    ///
    /// Fails if the request must not be sent again. `reached` is true if any byte of the last send
    /// may have reached an endpoint.
    async fn await_retry(
        &mut self,
        outcome: RunOutcome,
        reached: bool,
    ) -> Result<(), DispatchFailure> {
        let request = Arc::clone(&self.request);
        let case = RetryCase {
            outcome,
            idempotent: request.route.is_idempotent() && self.runs < request.route.max_runs,
            retry_failures: request.route.kind == RouteKind::Idempotent,
            answer_begun: false,
            reached,
            attempts: self.sends - self.unreached,
            unreached: self.unreached,
            time_left: request.time_left(),
            needed: MIN_SEND_TIME,
        };
        let seed = clock::now().as_micros();
        match self.state.decide_retry(&self.placement.service, &case, seed) {
            RetryDecision::Retry { delay, .. } => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            RetryDecision::Stop { reason } => Err(self.failure(reason.to_string().into())),
        }
    }

    fn choose(&mut self) -> Result<PlaceChoice, DispatchFailure> {
        let now = clock::now();
        if now + MIN_SEND_TIME > self.request.deadline {
            return Err(self.failure("no time is left".into()));
        }
        if self.is_refused(now) {
            return Err(self.suspect_failure(now));
        }
        let verdict = self.state.part_suspects().verdict(now, &self.parts);
        if let PartVerdict::Refuse(part) = verdict {
            return Err(self.suspect_part_failure(now, part));
        }
        self.excused = verdict == PartVerdict::Excused;
        let mut table = self.state.table();
        let choice = table.choose(now, &self.placement, &self.excluded);
        if let Some(decision) = limit_decision(&choice) {
            self.state.metrics.note_limit_decision(decision);
        }
        choice.map_err(|reason: DecisionReason| {
            let diagnosis = table.diagnose(now, &self.placement);
            drop(table);
            self.log_not_placed(&reason, &diagnosis);
            let failure = self.failure(reason.to_string().into());
            match reason {
                DecisionReason::VersionGone => self.version_failure(&reason),
                // Coming back before an endpoint takes requests again would be in vain.
                DecisionReason::EndpointsExcluded { millis }
                | DecisionReason::EndpointsLimited { millis } => {
                    failure.with_delay_of_at_least(Duration::from_millis(millis))
                }
                _ => failure,
            }
        })
    }

    /// Returns the failure for a request that is not sent again.
    ///
    /// The failure has a retry delay only if the request has certainly not run.
    pub(crate) fn failure(&self, reason: Box<str>) -> DispatchFailure {
        let why = self.last_failure.as_deref();
        let reason = why.map_or(reason.clone(), |why| format!("{reason}; before: {why}").into());
        if self.runs == 0 {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let spread = self.request.time_left().mul_f64(RETRY_JITTER * clock::random_fraction());
            let retry_after = Some(MIN_RETRY_AFTER + spread);
            return DispatchFailure { status, reason, retry_after, code: None };
        }
        let late = self.request.time_left() < MIN_SEND_TIME;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        DispatchFailure { status, reason, retry_after: None, code: None }
    }

    /// Returns the failure for a request that has no answer when the entry stops.
    pub(crate) fn stop_failure(&self) -> DispatchFailure {
        let reason = "the entry stops".into();
        if self.runs == 0 && !self.sending {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let retry_after = Some(STOPPING_RETRY_AFTER);
            return DispatchFailure { status, reason, retry_after, code: None };
        }
        DispatchFailure {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason,
            retry_after: None,
            code: None,
        }
    }

    /// Records a run whose connection was lost, and quarantines the endpoint; `phase` is `head` or
    /// `answer`, the part of the response that was lost.
    ///
    /// The log field `beside` is the number of other requests of this entry at the endpoint.
    fn note_lost_run(&self, work: &WorkGuard, phase: &'static str, reason: &str) {
        let (endpoint, instance) = (work.ticket.endpoint, &work.instance);
        log::info!(
            target: part::REQUEST,
            request = &*self.request.id, endpoint = &*instance.name,
            fingerprint = format!("{:016x}", self.fingerprint), phase = phase,
            parts = self.request.logged_parts(), beside = self.state.table().in_flight(endpoint).saturating_sub(1), reason = reason;
            "run lost"
        );
        self.state.metrics.note_lost_run(phase);
        self.state.note_failure(clock::now(), endpoint, &instance.name);
        self.check_after_lost_run(work);
    }

    /// Has the endpoint of `work` checked, because a run of the request was lost there.
    fn check_after_lost_run(&self, work: &WorkGuard) {
        let service = &self.placement.service;
        crash_checks::note_lost_run(&self.state, &work.instance, service, self.run(work));
    }

    /// Returns the run of the request that ends now.
    fn run(&self, work: &WorkGuard) -> LostRun {
        LostRun {
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            excused: work.excused,
            began: work.sent_at,
            lost: clock::now(),
        }
    }

    /// Reports whether an answer that ended with its connection is complete: its endpoint must not
    /// have ended with it.
    pub(crate) async fn is_whole(&self, framing: BodyFraming, work: &WorkGuard) -> bool {
        if framing == BodyFraming::Marked {
            return true;
        }
        let service = &self.placement.service;
        crash_checks::outlives_answer(&self.state, &work.instance, service, self.run(work)).await
    }

    /// Logs and counts bytes without end in a response.
    pub(crate) fn note_endless(&self, instance: &EndpointInstance, endless: EndlessResponse) {
        log::warn!(
            target: part::REQUEST,
            request = &*self.request.id, endpoint = &*instance.name, part = endless.part(),
            bytes = endless.bytes(), reason = endless.to_string();
            "response without end cut off"
        );
        self.state.metrics.note_endless(endless.part());
    }

    /// Notes that the request completed at an endpoint, so that it cannot have crashed others.
    ///
    /// An answer that ended with its connection tells nothing yet: the check of its endpoint goes
    /// on.
    pub(crate) fn note_completed(&self, framing: BodyFraming, status: StatusCode) {
        if framing == BodyFraming::Connection {
            return;
        }
        let now = clock::now();
        self.state.suspects().note_completed(now, self.fingerprint);
        if status.is_success() {
            let service = &self.placement.service;
            self.state.part_suspects().note_completed(now, service, &self.parts);
        }
    }

    /// Logs a failed send and excludes the endpoint of `choice` from further sends of the request.
    fn exclude_after_failed_send(
        &mut self,
        choice: &PlaceChoice,
        outcome: RunOutcome,
        reason: &str,
    ) {
        log::info!(
            target: part::REQUEST,
            request = &*self.request.id, endpoint = &*choice.name, sends = self.sends,
            may_have_run = outcome != RunOutcome::NotRun, reason = reason;
            "send failed"
        );
        self.excluded.push(choice.endpoint);
    }

    async fn send(&mut self, choice: &PlaceChoice, last_event: Option<&str>) -> SendOutcome {
        self.sends += 1;
        let Some(instance) = self.state.instance(&choice.name) else {
            return SendOutcome::Unreached("the endpoint has just left".into());
        };
        self.log_choice(choice);
        let now = clock::now();
        let ticket = self.state.table().sent(now, choice.endpoint, &self.placement);
        let state = Arc::clone(&self.state);
        let excused = self.excused;
        let mut work =
            WorkGuard { state, ticket, instance, sent_at: now, unproven_since: None, excused };
        if !self.is_chosen_version(&work) {
            return SendOutcome::Unreached("the endpoint was started again".into());
        }
        let repeat = self.sends > 1;
        let mut connection = match self.connect(&mut work).await {
            Ok(connection) => connection,
            Err(reason) => {
                self.state.metrics.note_send("unreached", repeat);
                return SendOutcome::Unreached(reason);
            }
        };
        self.state.table().note_reached(clock::now(), choice.endpoint);
        let urgency = self.placement.urgency;
        if !self.state.table().may_send(clock::now(), choice, urgency) {
            self.state.pool.put(&work.instance, connection);
            return SendOutcome::Unreached("the endpoint takes no requests meanwhile".into());
        }
        let request = self.forwarded_request(choice, last_event);
        self.sending = true;
        let response =
            tokio::time::timeout(self.request.time_left(), connection.send(request)).await;
        let send_outcome = match response {
            Err(_) => {
                self.check_after_lost_run(&work);
                SendOutcome::DeadlinePassed
            }
            Ok(Err(error)) if error.is_unsent() => SendOutcome::Unreached(error.to_string().into()),
            Ok(Err(error)) => {
                if let ConnectionError::Endless(endless) = error {
                    self.note_endless(&work.instance, endless);
                }
                let reason = error.to_string();
                self.note_lost_run(&work, "head", &reason);
                SendOutcome::Lost(reason.into())
            }
            Ok(Ok(response)) => self.check_head(choice, connection, response, work),
        };
        self.state.metrics.note_send(send_outcome.label(), repeat);
        send_outcome
    }

    fn forwarded_request(
        &self,
        choice: &PlaceChoice,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let request = &self.request;
        let spec = ForwardSpec {
            endpoint: &choice.name,
            account: request.account.as_deref(),
            time_left: request.time_left(),
            urgency: self.placement.urgency,
            last_event,
        };
        let mut forwarded = Request::new(Full::new(request.body.bytes.clone()));
        *forwarded.method_mut() = request.method.clone();
        *forwarded.uri_mut() = request.target.clone();
        *forwarded.headers_mut() = (self.state.codec.request_headers)(&request.headers, &spec);
        forwarded
    }
}
