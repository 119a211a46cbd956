//! The attempts of one request, from its arrival to its final answer.

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
        attempt::{AttemptEnd, AttemptFigures, EndpointAttempt, token_times},
        caller_channel::CallerChannel,
        caller_request::{AnswerForm, CallerRequest},
        claim::{self, ClaimEntry},
        final_answer::{deadline_error, outcome_unknown, refusal_error},
        state::EntryState,
    },
    logs::part,
    recorder::ServiceSample,
    run_header::RunHeader,
    state::{AttemptTicket, billed},
    view::ControlView,
};

/// Longest wait of a request that may have caused a crash for the endpoint that may try it.
///
/// Longer than the time after which all entries agree on another endpoint for it.
const CRASH_NEWS_WAIT: Duration = Duration::from_secs(15);

/// Least time that an attempt needs: two round trips between hosts and one step of an engine.
const LEAST_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Age of the process up to which agents may be known whose digests the router has not taken.
const STARTUP_SPAN: Duration = Duration::from_secs(10);

/// Longest wait for those digests.
const STARTUP_WAIT: Duration = Duration::from_millis(500);

/// Time between looks for such news.
const CRASH_NEWS_PERIOD: Duration = Duration::from_millis(50);

/// Serves one request to its end.
#[derive(Debug)]
pub(crate) struct RequestDispatcher {
    state: Arc<EntryState>,
    request: CallerRequest,
    spec: RequestSpec,
    caller: CallerChannel,
    excluded: Vec<EndpointKey>,
    figures: AttemptFigures,
    /// Sends to agents, which number the attempts.
    sends: u32,
    /// Attempts that failed.
    attempts: u32,
    /// Whether an attempt was lost that may have run.
    may_have_run: bool,
    /// Whether an agent kept the request apart; it may not know yet that it is cleared.
    gate_refused: bool,
    /// Why the last attempt ended, for the case that no other endpoint is left.
    last_error: Option<ApiError>,
}

/// Where an attempt goes.
struct AttemptTarget {
    endpoint: EndpointKey,
    isolated: bool,
}

/// What follows an attempt.
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
            figures: AttemptFigures::default(),
            sends: 0,
            attempts: 0,
            may_have_run: false,
            gate_refused: false,
            last_error: None,
        }
    }

    /// Serves the request; the caller always gets one final answer or has gone.
    pub(crate) async fn run(mut self) {
        let outcome = match claim::enter(&self.state, &self.request, &mut self.caller).await {
            Ok(ClaimEntry::Unclaimed) => self.admitted().await,
            Ok(ClaimEntry::Won(attempt)) => {
                self.caller.capture();
                let outcome = self.admitted().await;
                claim::settle(&self.state, &attempt, &outcome, &mut self.caller);
                outcome
            }
            Ok(ClaimEntry::Answered) => Ok(()),
            Err(error) => Err(error),
        };
        if let Err(error) = &outcome {
            self.note(format_args!("ended with the error \"{}\"", error.code()));
            self.caller.fail(error).await;
        }
        self.record(outcome.is_err());
    }

    /// Charges the account's limits and serves the request.
    async fn admitted(&mut self) -> Result<(), ApiError> {
        let charged = self
            .state
            .admit(&self.spec)
            .map_err(|refusal| refusal_error(&refusal.reason(), refusal.retry_after))?;
        let outcome = self.attempts().await;
        let used = self.figures.usage.prompt + self.figures.usage.output;
        self.state.settle(&self.spec, charged, used as u32);
        // An earlier attempt may have run although the last one did not.
        let may_have_run = self.may_have_run;
        outcome.map_err(|error| if may_have_run { error.with_outcome_unknown() } else { error })
    }

    async fn attempts(&mut self) -> Result<(), ApiError> {
        loop {
            let target = self.choose().await?;
            self.sends += 1;
            let end = self.attempt(self.sends, &target).await;
            match self.next_step(end, &target) {
                NextStep::Done => return Ok(()),
                NextStep::GiveUp(error) => return Err(error),
                NextStep::Retry(delay) => self.wait(delay).await,
            }
        }
    }

    /// Chooses an endpoint, waiting for a while if news of a crash may decide.
    async fn choose(&mut self) -> Result<AttemptTarget, ApiError> {
        let mut waited = Duration::ZERO;
        loop {
            self.check_time_left()?;
            match self.state.choose(&self.spec, &self.excluded) {
                RouteChoice::Endpoint { endpoint, reason } => {
                    let view = self.state.parts.views.load();
                    let name = &view.catalog.endpoints[endpoint].name;
                    self.note(format_args!("endpoint \"{name}\": {reason}"));
                    let isolated = reason == DecisionReason::IsolatedAfterCrash;
                    return Ok(AttemptTarget { endpoint, isolated });
                }
                RouteChoice::Refuse { reason, .. }
                    if waited < self.longest_wait(&reason) && self.in_time() =>
                {
                    self.wait(CRASH_NEWS_PERIOD).await;
                    waited += CRASH_NEWS_PERIOD;
                }
                RouteChoice::Refuse { reason, retry_after } => {
                    let error = self.last_error.take();
                    return Err(error.unwrap_or_else(|| refusal_error(&reason, retry_after)));
                }
            }
        }
    }

    /// Returns how long the router's refusal may be waited out.
    fn longest_wait(&self, reason: &DecisionReason) -> Duration {
        if awaits_news(reason) {
            return CRASH_NEWS_WAIT;
        }
        let starting = self.state.parts.clock.now() < TimePoint::ZERO + STARTUP_SPAN;
        if *reason == DecisionReason::NoEndpoint && starting && self.excluded.is_empty() {
            return STARTUP_WAIT;
        }
        Duration::ZERO
    }

    /// Refuses a request that no endpoint can serve in the time left.
    fn check_time_left(&mut self) -> Result<(), ApiError> {
        let left = self.spec.time_left(self.state.parts.clock.now());
        if left >= LEAST_ATTEMPT_TIME {
            return Ok(());
        }
        let reason = DecisionReason::DeadlineUnreachable {
            needed_ms: LEAST_ATTEMPT_TIME.as_millis() as u64,
            left_ms: left.as_millis() as u64,
        };
        let error = self.last_error.take();
        Err(error.unwrap_or_else(|| refusal_error(&reason, Duration::from_secs(1))))
    }

    async fn attempt(&mut self, number: u32, target: &AttemptTarget) -> AttemptEnd {
        let state = Arc::clone(&self.state);
        let view = state.parts.views.load();
        let name = &view.catalog.endpoints[target.endpoint].name;
        let Some(address) = view.agents.get(name) else { return AttemptEnd::Unreachable };
        let ticket = state.parts.usage.begin(&address.run);
        let header = self.run_header(number, target, &ticket, name.clone(), &view);
        let mut attempt = EndpointAttempt::new(&state, &self.request, header);
        let left = self.spec.time_left(state.parts.clock.now());
        let running = attempt.run(&address.listen, &mut self.caller);
        let end = tokio::time::timeout(left, running).await.unwrap_or(AttemptEnd::DeadlinePassed);
        self.figures = attempt.figures();
        let request = self.spec.id;
        let tokens = self.figures.usage.output as u32;
        let outcome = run_outcome(&end);
        let counts = billed(outcome, self.figures.usage, self.request.prompt_tokens);
        let account = &view.catalog.accounts[self.request.account].name;
        state.parts.usage.end(&ticket, view.catalog.usage_window, account, counts);
        if matches!(end, AttemptEnd::Unreachable) {
            state.route_event(RouteEvent::Unreachable { endpoint: target.endpoint });
        }
        state.route_event(RouteEvent::Ended { request, outcome, tokens });
        end
    }

    fn next_step(&mut self, end: AttemptEnd, target: &AttemptTarget) -> NextStep {
        self.note(format_args!("attempt {} ended: {}", self.sends, end_text(&end)));
        let outcome = run_outcome(&end);
        let reached = !matches!(end, AttemptEnd::Unreachable);
        self.may_have_run |= matches!(outcome, RunOutcome::Lost);
        let error = match end {
            AttemptEnd::Completed => {
                self.state.completed();
                return NextStep::Done;
            }
            AttemptEnd::CallerGone => return NextStep::Done,
            AttemptEnd::DeadlinePassed => return NextStep::GiveUp(deadline_error()),
            AttemptEnd::Failed { status, headers, body } => {
                // The endpoint's own answer is final; another might run the request again.
                self.caller.answer(status, headers, body);
                return NextStep::Done;
            }
            AttemptEnd::Refused(refusal) if refusal.not_run => {
                let retry_after = Duration::from_millis(refusal.retry_after_ms);
                let error = refusal_error(&refusal.reason, retry_after);
                if is_final(&refusal.reason) {
                    return NextStep::GiveUp(error);
                }
                if refusal.endpoint_down || refusal.reason == DecisionReason::EndpointDown {
                    let endpoint = target.endpoint;
                    self.state.route_event(RouteEvent::Unreachable { endpoint });
                }
                self.gate_refused |= refusal.reason == DecisionReason::IsolatedAfterCrash;
                let passes = awaits_news(&refusal.reason) || target.isolated;
                if passes && self.in_time() {
                    // A suspect has one endpoint only and waits until that can take it. This was
                    // no attempt, as the request did not leave the agent.
                    return NextStep::Retry(CRASH_NEWS_PERIOD);
                }
                error
            }
            AttemptEnd::Unreachable => {
                refusal_error(&DecisionReason::EndpointDown, Duration::from_secs(1))
            }
            AttemptEnd::Refused(_) | AttemptEnd::Lost => outcome_unknown(),
        };
        if !target.isolated {
            self.excluded.push(target.endpoint);
        }
        self.attempts += 1;
        let case = RetryCase {
            outcome,
            idempotent: self.request.idempotent,
            retry_failures: false,
            answer_begun: self.caller.has_begun(),
            reached,
            attempts: self.attempts,
            unreached: 0,
            time_left: self.spec.time_left(self.state.parts.clock.now()),
            needed: Duration::ZERO,
        };
        match self.state.decide_retry(&case, self.spec.id.0 as u64) {
            RetryDecision::Retry { delay, reason } => {
                self.note(format_args!("sent again: {reason}"));
                self.last_error = Some(error);
                NextStep::Retry(delay)
            }
            RetryDecision::Stop { reason } => {
                self.note(format_args!("not sent again: {reason}"));
                NextStep::GiveUp(error)
            }
        }
    }

    /// Waits, but not beyond the moment the caller hangs up.
    async fn wait(&self, span: Duration) {
        tokio::select! {
            () = self.caller.gone() => {}
            () = tokio::time::sleep(span) => {}
        }
    }

    fn in_time(&self) -> bool {
        self.state.parts.clock.now() < self.spec.deadline && !self.caller.is_gone()
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
            ordinal: self.state.sent(&self.spec, target.endpoint),
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
            suspects: (target.isolated || self.gate_refused).then(|| self.state.suspects()),
            prefix: request.prefix.to_vec(),
            key_hash: request.key_hash.as_str().into(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
        }
    }

    /// Counts the request towards its service level.
    fn record(&self, refused: bool) {
        let parts = &self.state.parts;
        let view = parts.views.load();
        let class = &view.catalog.classes[self.request.class];
        let (first, between) = token_times(&self.figures, self.spec.arrived);
        let outcome = if refused { "refused" } else { "answered" };
        parts.metrics.note_request(&class.name, outcome, self.figures.usage.output);
        if let Some(span) = first {
            parts.metrics.note_first_token(&class.name, span.as_secs_f64());
        }
        parts.recorder.note(&ServiceSample {
            class: class.name.clone(),
            account: view.catalog.accounts[self.request.account].name.clone(),
            first_token_met: !refused && first.is_none_or(|span| span <= class.first_token),
            between_tokens_met: !refused && between.is_none_or(|span| span <= class.between_tokens),
            deadline_met: !refused && parts.clock.now() <= self.spec.deadline,
            refused,
        });
    }

    fn note(&self, text: impl std::fmt::Display) {
        self.state.parts.explain.note(self.request.id, part::ENTRY, text);
    }
}

fn request_spec(request: &CallerRequest, view: &ControlView, now: TimePoint) -> RequestSpec {
    let model = view.catalog.model(&request.model).unwrap_or_default();
    let service = request.form == AnswerForm::Service;
    RequestSpec {
        id: request.id,
        account: request.account,
        class: request.class,
        model,
        prompt_tokens: request.prompt_tokens,
        // A plain service has no tokens; one stands for its whole answer.
        max_tokens: if service { 1 } else { request.max_tokens },
        arrived: now,
        deadline: now + request.time_allowed,
        idempotent: request.idempotent,
        resumable: !service,
        fingerprint: request.fingerprint,
        prefix: request.prefix.clone(),
    }
}

/// Returns whether news of a crash or restart will soon turn this refusal into a choice.
fn awaits_news(reason: &DecisionReason) -> bool {
    matches!(
        reason,
        DecisionReason::AwaitingCrashReport
            | DecisionReason::IsolatedAfterCrash
            | DecisionReason::AgentRestarted
    )
}

/// Returns whether no other endpoint would take what an agent refused for this reason.
fn is_final(reason: &DecisionReason) -> bool {
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
        AttemptEnd::Refused(_) | AttemptEnd::Lost => RunOutcome::Lost,
        AttemptEnd::DeadlinePassed | AttemptEnd::CallerGone => RunOutcome::Cancelled,
    }
}

fn end_text(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Completed => "completed".to_owned(),
        AttemptEnd::Failed { status, .. } => format!("the endpoint answered {status}"),
        AttemptEnd::Refused(refusal) => format!("the agent refused: {}", refusal.reason),
        AttemptEnd::Unreachable => "the agent was not reached".to_owned(),
        AttemptEnd::Lost => "the connection was lost".to_owned(),
        AttemptEnd::DeadlinePassed => "the deadline passed".to_owned(),
        AttemptEnd::CallerGone => "the caller hung up".to_owned(),
    }
}
