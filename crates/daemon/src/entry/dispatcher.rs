//! Dispatch of one request: its attempts, retries and final answer.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::{
    ids::EndpointKey,
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    retry::{RetryCase, RetryDecision},
    route::{RouteChoice, RouteEvent},
    time::TimePoint,
};

use crate::{
    entry::{
        api_error::ApiError,
        attempt::{AttemptEnd, AttemptMetrics, EndpointAttempt, token_latencies},
        caller_channel::CallerChannel,
        caller_request::{AnswerFormat, CallerRequest},
        claim::{self, ClaimResult},
        final_answer::{deadline_error, outcome_unknown, refusal_error},
        state::EntryState,
    },
    logs::part,
    recorder::ServiceSample,
    run_header::RunHeader,
    state::{AttemptTicket, billed},
    view::ControlView,
};

/// Maximum time that one choice of an endpoint waits for a report of a crash or a restart.
///
/// This exceeds the time (10 s without a usable state report) after which all entries know that an
/// endpoint is unavailable and agree on another endpoint for a suspected request.
const MAX_CRASH_REPORT_WAIT: Duration = Duration::from_secs(15);

/// Minimum time that an attempt needs: two round trips between hosts and one engine step.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Maximum time that a request waits for the digests (state reports) of agents after the process
/// start.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(500);

/// Interval at which a waiting request checks again whether an endpoint is available.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one request until it has a final answer or the caller has disconnected.
#[derive(Debug)]
pub(crate) struct RequestDispatcher {
    state: Arc<EntryState>,
    request: CallerRequest,
    spec: RequestSpec,
    caller: CallerChannel,
    excluded: Vec<EndpointKey>,
    metrics: AttemptMetrics,
    /// Number of attempts begun, which is also the number of the current attempt.
    attempts_begun: u32,
    /// Number of failed attempts, without the refusals that were waited out.
    failed_attempts: u32,
    /// Whether the connection of an earlier attempt was lost after the request may have run.
    may_have_run: bool,
    /// Whether an agent refused the request as suspected of a crash; the agent may not know yet
    /// that the request is no longer suspected.
    refused_as_suspect: bool,
    /// Error of the last attempt, returned to the caller if no further attempt is possible.
    last_error: Option<ApiError>,
}

/// The endpoint that an attempt is sent to.
struct AttemptTarget {
    endpoint: EndpointKey,
    isolated: bool,
}

/// The action that follows an attempt.
enum NextStep {
    Retry(Duration),
    Done,
    GiveUp(ApiError),
}

impl RequestDispatcher {
    /// Returns a dispatcher for a request that arrived now.
    pub(crate) fn new(
        state: Arc<EntryState>,
        request: CallerRequest,
        caller: CallerChannel,
        view: &ControlView,
    ) -> RequestDispatcher {
        let spec = request_spec(&request, view, state.parts.clock.now());
        RequestDispatcher {
            state,
            request,
            spec,
            caller,
            excluded: Vec::new(),
            metrics: AttemptMetrics::default(),
            attempts_begun: 0,
            failed_attempts: 0,
            may_have_run: false,
            refused_as_suspect: false,
            last_error: None,
        }
    }

    /// Serves the request until the caller has received one final answer or has disconnected.
    pub(crate) async fn run(mut self) {
        let outcome = match claim::acquire(&self.state, &self.request, &mut self.caller).await {
            Ok(ClaimResult::Unclaimed) => self.admit_and_serve().await,
            Ok(ClaimResult::Won(claim)) => {
                self.caller.capture();
                let outcome = self.admit_and_serve().await;
                claim::settle(&self.state, &claim, &outcome, &mut self.caller);
                outcome
            }
            Ok(ClaimResult::Answered) => Ok(()),
            Err(error) => Err(error),
        };
        if let Err(error) = &outcome {
            self.explain(format_args!("ended with the error \"{}\"", error.code()));
            self.caller.fail(error).await;
        }
        self.record_service_level(outcome.is_err());
    }

    /// Charges the request to its account and serves it.
    ///
    /// # Errors
    ///
    /// Returns the final error for the caller if a limit is exceeded or all attempts failed.
    async fn admit_and_serve(&mut self) -> Result<(), ApiError> {
        let charged = self
            .state
            .admit(&self.spec)
            .map_err(|refusal| refusal_error(&refusal.reason(), refusal.retry_after))?;
        let outcome = self.serve().await;
        let used = self.metrics.usage.prompt + self.metrics.usage.output;
        self.state.settle_charge(&self.spec, charged, used as u32);
        // An earlier attempt may have run even if the last attempt did not.
        let may_have_run = self.may_have_run;
        outcome.map_err(|error| if may_have_run { error.with_outcome_unknown() } else { error })
    }

    /// Sends the request to endpoints until it has a final result.
    async fn serve(&mut self) -> Result<(), ApiError> {
        loop {
            let target = self.choose_endpoint().await?;
            self.attempts_begun += 1;
            let end = self.run_attempt(self.attempts_begun, &target).await;
            match self.next_step(end, &target) {
                NextStep::Done => return Ok(()),
                NextStep::GiveUp(error) => return Err(error),
                NextStep::Retry(delay) => self.sleep(delay).await,
            }
        }
    }

    /// Chooses an endpoint, and waits for a limited time if a pending report of a crash, of a
    /// restart or, after the process start, of the agents' state may make one available.
    async fn choose_endpoint(&mut self) -> Result<AttemptTarget, ApiError> {
        let mut waited = Duration::ZERO;
        loop {
            self.check_time_left()?;
            match self.state.choose(&self.spec, &self.excluded) {
                RouteChoice::Endpoint { endpoint, reason } => {
                    let view = self.state.parts.views.load();
                    let name = &view.catalog.endpoints[endpoint].name;
                    self.explain(format_args!("endpoint \"{name}\": {reason}"));
                    let isolated = reason == DecisionReason::IsolatedAfterCrash;
                    return Ok(AttemptTarget { endpoint, isolated });
                }
                RouteChoice::Refuse { reason, .. }
                    if waited < self.max_wait(&reason) && self.may_wait() =>
                {
                    self.sleep(ENDPOINT_POLL_INTERVAL).await;
                    waited += ENDPOINT_POLL_INTERVAL;
                }
                RouteChoice::Refuse { reason, retry_after } => {
                    let error = self.last_error.take();
                    return Err(error.unwrap_or_else(|| refusal_error(&reason, retry_after)));
                }
            }
        }
    }

    /// Returns the maximum time to wait for a refusal with this reason to be resolved.
    fn max_wait(&self, reason: &DecisionReason) -> Duration {
        if awaits_crash_report(reason) {
            return MAX_CRASH_REPORT_WAIT;
        }
        if *reason == DecisionReason::NoEndpoint
            && self.state.is_starting()
            && self.excluded.is_empty()
        {
            return MAX_STARTUP_WAIT;
        }
        Duration::ZERO
    }

    /// Refuses the request if less than [`MIN_ATTEMPT_TIME`] is left before its deadline.
    fn check_time_left(&mut self) -> Result<(), ApiError> {
        let left = self.spec.time_left(self.state.parts.clock.now());
        if left >= MIN_ATTEMPT_TIME {
            return Ok(());
        }
        let reason = DecisionReason::DeadlineUnreachable {
            needed_ms: MIN_ATTEMPT_TIME.as_millis() as u64,
            left_ms: left.as_millis() as u64,
        };
        let error = self.last_error.take();
        Err(error.unwrap_or_else(|| refusal_error(&reason, Duration::from_secs(1))))
    }

    async fn run_attempt(&mut self, number: u32, target: &AttemptTarget) -> AttemptEnd {
        let state = Arc::clone(&self.state);
        let view = state.parts.views.load();
        let name = &view.catalog.endpoints[target.endpoint].name;
        let Some(address) = view.agents.get(name) else { return AttemptEnd::Unreachable };
        let ticket = state.parts.usage.begin(&address.run);
        let header = self.run_header(number, target, &ticket, name.clone(), &view);
        let mut attempt = EndpointAttempt::new(&state, &self.request, target.endpoint, header);
        let left = self.spec.time_left(state.parts.clock.now());
        let running = attempt.run(&address.listen, &mut self.caller);
        let end = tokio::time::timeout(left, running).await.unwrap_or(AttemptEnd::DeadlinePassed);
        self.metrics = attempt.metrics();
        let request = self.spec.id;
        let tokens = self.metrics.usage.output as u32;
        let outcome = run_outcome(&end);
        let counts = billed(outcome, self.metrics.usage, self.request.prompt_tokens);
        let account = &view.catalog.accounts[self.request.account].name;
        state.parts.usage.end(&ticket, view.catalog.usage_window, account, counts);
        if matches!(end, AttemptEnd::Unreachable) {
            state.route_event(RouteEvent::Unreachable { endpoint: target.endpoint });
        }
        state.route_event(RouteEvent::Ended { request, outcome, tokens });
        end
    }

    fn next_step(&mut self, end: AttemptEnd, target: &AttemptTarget) -> NextStep {
        self.explain(format_args!("attempt {} ended: {}", self.attempts_begun, describe_end(&end)));
        let outcome = run_outcome(&end);
        let reached = !matches!(end, AttemptEnd::Unreachable);
        self.may_have_run |= matches!(outcome, RunOutcome::Lost);
        let error = match end {
            AttemptEnd::Completed => {
                self.caller.note_complete();
                self.state.record_completion();
                return NextStep::Done;
            }
            AttemptEnd::CallerDisconnected => return NextStep::Done,
            AttemptEnd::DeadlinePassed => return NextStep::GiveUp(deadline_error()),
            AttemptEnd::Failed { status, headers, body } => {
                // The endpoint's error answer is final, because a retry could run the request a
                // second time.
                self.caller.answer(status, headers, body);
                return NextStep::Done;
            }
            AttemptEnd::Refused(refusal) if refusal.not_run => {
                let retry_after = Duration::from_millis(refusal.retry_after_ms);
                let error = refusal_error(&refusal.reason, retry_after);
                if is_final_refusal(&refusal.reason) {
                    return NextStep::GiveUp(error);
                }
                if refusal.endpoint_down || refusal.reason == DecisionReason::EndpointDown {
                    let endpoint = target.endpoint;
                    self.state.route_event(RouteEvent::Unreachable { endpoint });
                }
                self.refused_as_suspect |= refusal.reason == DecisionReason::IsolatedAfterCrash;
                let may_be_temporary = awaits_crash_report(&refusal.reason) || target.isolated;
                if may_be_temporary && self.may_wait() {
                    // A suspected request may run at one endpoint only and waits until that
                    // endpoint admits it. The refusal does not count as a failed attempt, because
                    // the agent did not send the request to the endpoint.
                    return NextStep::Retry(ENDPOINT_POLL_INTERVAL);
                }
                error
            }
            AttemptEnd::Unreachable => {
                refusal_error(&DecisionReason::EndpointDown, Duration::from_secs(1))
            }
            AttemptEnd::Refused(_) | AttemptEnd::Lost | AttemptEnd::AgentSilent => {
                outcome_unknown()
            }
        };
        if !target.isolated {
            self.excluded.push(target.endpoint);
        }
        self.failed_attempts += 1;
        let case = RetryCase {
            outcome,
            idempotent: self.request.idempotent,
            retry_failures: false,
            answer_begun: self.caller.has_begun(),
            reached,
            attempts: self.failed_attempts,
            unreached: 0,
            time_left: self.spec.time_left(self.state.parts.clock.now()),
            needed: Duration::ZERO,
        };
        match self.state.decide_retry(&case, self.spec.id.0 as u64) {
            RetryDecision::Retry { delay, reason } => {
                self.explain(format_args!("sent again: {reason}"));
                self.last_error = Some(error);
                NextStep::Retry(delay)
            }
            RetryDecision::Stop { reason } => {
                self.explain(format_args!("not sent again: {reason}"));
                NextStep::GiveUp(error)
            }
        }
    }

    /// Waits for `span` or until the caller disconnects, whichever comes first.
    async fn sleep(&self, span: Duration) {
        tokio::select! {
            () = self.caller.disconnected() => {}
            () = tokio::time::sleep(span) => {}
        }
    }

    /// Returns whether the deadline has not passed and the caller is still connected.
    fn may_wait(&self) -> bool {
        self.state.parts.clock.now() < self.spec.deadline && !self.caller.is_disconnected()
    }

    fn run_header(
        &self,
        attempt: u32,
        target: &AttemptTarget,
        ticket: &AttemptTicket,
        name: Box<str>,
        view: &ControlView,
    ) -> RunHeader {
        let request = &self.request;
        RunHeader {
            request: request.id,
            attempt,
            entry: self.state.parts.process.clone(),
            ordinal: self.state.record_send(&self.spec, target.endpoint),
            agent: ticket.agent.clone(),
            link_number: ticket.number,
            endpoint: name,
            account: view.catalog.accounts[request.account].name.clone(),
            class: view.catalog.classes[request.class].name.clone(),
            model: request.model.clone(),
            left_ms: self.spec.time_left(self.state.parts.clock.now()).as_millis() as u64,
            prompt_tokens: request.prompt_tokens,
            max_tokens: self.spec.max_tokens,
            idempotent: request.idempotent,
            fingerprint: request.fingerprint,
            isolated: target.isolated,
            suspects: (target.isolated || self.refused_as_suspect).then(|| self.state.suspects()),
            prefix: request.prefix.to_vec(),
            key_hash: request.key_hash.as_str().into(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
        }
    }

    /// Records the request in the metrics and the service level statistics. A request that ended
    /// with any error (`failed`) is recorded as refused.
    fn record_service_level(&self, failed: bool) {
        let parts = &self.state.parts;
        let view = parts.views.load();
        let class = &view.catalog.classes[self.request.class];
        let (first, between) = token_latencies(&self.metrics, self.spec.arrived);
        let outcome = if failed { "refused" } else { "answered" };
        parts.metrics.note_request(&class.name, outcome, self.metrics.usage.output);
        if let Some(span) = first {
            parts.metrics.note_first_token(&class.name, span.as_secs_f64());
        }
        parts.recorder.note(&ServiceSample {
            class: class.name.clone(),
            account: view.catalog.accounts[self.request.account].name.clone(),
            first_token_met: !failed && first.is_none_or(|span| span <= class.first_token),
            between_tokens_met: !failed && between.is_none_or(|span| span <= class.between_tokens),
            deadline_met: !failed && parts.clock.now() <= self.spec.deadline,
            refused: failed,
        });
    }

    /// Appends a line to the request's explanation.
    fn explain(&self, text: impl std::fmt::Display) {
        self.state.parts.explain.note(self.request.id, part::ENTRY, text);
    }
}

fn request_spec(request: &CallerRequest, view: &ControlView, now: TimePoint) -> RequestSpec {
    let model = view.catalog.model(&request.model).unwrap_or_default();
    let service = request.format == AnswerFormat::Service;
    RequestSpec {
        id: request.id,
        account: request.account,
        class: request.class,
        model,
        prompt_tokens: request.prompt_tokens,
        // A plain service has no tokens; its entire answer counts as one token.
        max_tokens: if service { 1 } else { request.max_tokens },
        arrived: now,
        deadline: now + request.time_allowed,
        idempotent: request.idempotent,
        resumable: !service,
        fingerprint: request.fingerprint,
        prefix: request.prefix.clone(),
    }
}

/// Returns whether a pending report of a crash or restart may soon make an endpoint available.
fn awaits_crash_report(reason: &DecisionReason) -> bool {
    matches!(
        reason,
        DecisionReason::AwaitingCrashReport
            | DecisionReason::IsolatedAfterCrash
            | DecisionReason::AgentRestarted
    )
}

/// Returns whether every other agent would refuse the request for the same reason.
fn is_final_refusal(reason: &DecisionReason) -> bool {
    matches!(
        reason,
        DecisionReason::SuspectedOfCrashes
            | DecisionReason::KeyWithdrawn
            | DecisionReason::TooLarge { .. }
    )
}

fn run_outcome(end: &AttemptEnd) -> RunOutcome {
    match end {
        AttemptEnd::Completed => RunOutcome::Completed,
        AttemptEnd::Failed { .. } => RunOutcome::Failed,
        AttemptEnd::Refused(refusal) if refusal.not_run => RunOutcome::NotRun,
        AttemptEnd::Unreachable => RunOutcome::NotRun,
        AttemptEnd::Refused(_) | AttemptEnd::Lost | AttemptEnd::AgentSilent => RunOutcome::Lost,
        AttemptEnd::DeadlinePassed | AttemptEnd::CallerDisconnected => RunOutcome::Cancelled,
    }
}

fn describe_end(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Completed => "completed".to_owned(),
        AttemptEnd::Failed { status, .. } => format!("the endpoint answered {status}"),
        AttemptEnd::Refused(refusal) => format!("the agent refused: {}", refusal.reason),
        AttemptEnd::Unreachable => "the agent was not reached".to_owned(),
        AttemptEnd::Lost => "the connection was lost".to_owned(),
        AttemptEnd::AgentSilent => "the agent fell silent".to_owned(),
        AttemptEnd::DeadlinePassed => "the deadline passed".to_owned(),
        AttemptEnd::CallerDisconnected => "the caller hung up".to_owned(),
    }
}
