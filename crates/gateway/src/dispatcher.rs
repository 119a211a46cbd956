//! The sends of one request, until an endpoint's answer is there or it is given up.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, request, response};
use http_body_util::Full;
use pimentorock_kernel::{
    ids::EndpointKey,
    place::{PlaceChoice, PlacedRequest, PlacementDiagnosis, WorkTicket, urgency},
    reason::DecisionReason,
    request::RunOutcome,
    retry::{RetryCase, RetryDecision},
    time::TimePoint,
};

use crate::{
    clock,
    connection::{ConnectionBody, HttpConnection},
    fleet_config::{RouteKind, RouteSpec},
    logs::part,
    state::GatewayState,
    wire::{CallerHead, ForwardSpec, ResponseHead},
};

/// Least time that a send needs: two round trips between failure domains and some work.
const MIN_SEND_TIME: Duration = Duration::from_millis(8);

/// Least time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Share of the time left by which refused callers are spread, so that they do not come back
/// together; they wait at most a third of it.
const RETRY_JITTER: f64 = 0.25;

/// A request of a caller, with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: Box<str>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: RouteSpec,
    pub(crate) account: Option<Box<str>>,
    /// How urgent it is to an endpoint, 0 first.
    pub(crate) urgency: Option<u8>,
    pub(crate) last_event: Option<Box<str>>,
    pub(crate) placed: PlacedRequest,
    pub(crate) arrived: TimePoint,
    pub(crate) deadline: TimePoint,
}

impl CallerRequest {
    /// Returns a request that took `route` and runs for `service`.
    pub(crate) fn new(
        parts: request::Parts,
        body: Bytes,
        head: CallerHead,
        route: RouteSpec,
        service: Box<str>,
        arrived: TimePoint,
    ) -> CallerRequest {
        let timeout = head.time_left.unwrap_or(route.timeout).min(route.timeout);
        let output_tokens = head.output_guess.unwrap_or(head.output_tokens).min(head.output_tokens);
        CallerRequest {
            id: head.id.unwrap_or_default(),
            method: parts.method,
            target: parts.uri,
            headers: parts.headers,
            body,
            account: None,
            urgency: urgency(route.tier, None),
            last_event: head.last_event,
            placed: PlacedRequest {
                service,
                prompt_tokens: head.prompt_tokens,
                output_tokens,
                needed_rate: f64::from(output_tokens) / timeout.as_secs_f64().max(0.1),
                strict: route.strict,
                parts: head.parts,
            },
            deadline: arrived + timeout,
            arrived,
            route,
        }
    }

    /// Sets the client account that the request runs for.
    pub(crate) fn with_account(mut self, name: Box<str>, tier: Option<u8>) -> CallerRequest {
        self.account = Some(name);
        self.urgency = urgency(self.route.tier, tier);
        self
    }

    /// Returns the time left for the answer.
    pub(crate) fn time_left(&self) -> Duration {
        clock::now().until(self.deadline)
    }
}

/// Work under way at an endpoint; ends when it is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    state: Arc<GatewayState>,
    pub(crate) ticket: WorkTicket,
    /// Name of the endpoint's run.
    pub(crate) endpoint: Box<str>,
}

impl WorkGuard {
    /// Notes the first token of the answer.
    pub(crate) fn started(&mut self) {
        self.state.table().started(&mut self.ticket);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.state.table().ended(&mut self.ticket);
    }
}

/// An answer whose head is there.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: response::Parts,
    pub(crate) response_head: ResponseHead,
    pub(crate) body: ConnectionBody,
    pub(crate) work: WorkGuard,
}

/// Why a request got no answer of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct DispatchFailure {
    /// Status for the caller.
    pub(crate) status: StatusCode,
    /// What happened, for the log.
    pub(crate) reason: Box<str>,
    /// When to come back, if the request has not run.
    pub(crate) retry_after: Option<Duration>,
}

/// How one send ended.
#[derive(Debug)]
enum SendOutcome {
    Answered(Box<EndpointResponse>),
    /// Nothing of the request reached the endpoint.
    Unreached(Box<str>),
    NotRun(Box<str>),
    Lost(Box<str>),
    DeadlinePassed,
}

/// Sends one request until an endpoint answers it.
#[derive(Debug)]
pub(crate) struct RequestDispatcher {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: Arc<CallerRequest>,
    excluded: Vec<EndpointKey>,
    /// Sends so far.
    sends: u32,
    /// Sends that reached no endpoint.
    unreached: u32,
    /// Sends that may have run.
    runs: u32,
    /// What the last send that failed came to.
    last_failure: Option<Box<str>>,
    /// Whether the request's end was logged.
    ended: bool,
}

impl Drop for RequestDispatcher {
    /// Logs the end of a request whose caller left before there was an answer.
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
    /// Returns a dispatcher that has sent nothing.
    pub(crate) fn new(state: Arc<GatewayState>, request: CallerRequest) -> RequestDispatcher {
        state.note_request(&request.placed.service);
        RequestDispatcher {
            state,
            request: Arc::new(request),
            excluded: Vec::new(),
            sends: 0,
            unreached: 0,
            runs: 0,
            last_failure: None,
            ended: false,
        }
    }

    /// Notes that the request's end is logged and counted as `outcome`.
    pub(crate) fn note_end(&mut self, outcome: &'static str) {
        self.ended = true;
        self.state.metrics.note_request(&self.request.route.name, outcome);
    }

    /// Returns how often the request was sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the answer of an endpoint, sending again as long as that is allowed.
    ///
    /// `last_event` is the last event that the caller has.
    ///
    /// # Errors
    ///
    /// Fails with the caller's final answer.
    pub(crate) async fn dispatch(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, DispatchFailure> {
        loop {
            let choice = self.choose()?;
            let end = self.send(&choice, last_event).await;
            let reached = !matches!(end, SendOutcome::Unreached(_));
            let (outcome, reason) = match end {
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
            self.note_failure(&choice, outcome, &reason);
            self.last_failure = Some(reason);
            self.pause_before_next(outcome, reached).await?;
        }
    }

    /// Notes that the answer of `endpoint` broke off, and asks for leave to send again.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent again.
    pub(crate) async fn retry_lost(
        &mut self,
        work: &WorkGuard,
        reason: &str,
    ) -> Result<(), DispatchFailure> {
        let endpoint = work.ticket.endpoint;
        self.runs += 1;
        self.state.note_failure(clock::now(), endpoint, &work.endpoint);
        self.excluded.push(endpoint);
        self.last_failure = Some(reason.into());
        self.pause_before_next(RunOutcome::Lost, true).await
    }

    /// Notes that the endpoint itself answered with a failure, and asks for leave to send again.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent again.
    pub(crate) async fn retry_failed(
        &mut self,
        work: &WorkGuard,
        status: StatusCode,
    ) -> Result<(), DispatchFailure> {
        self.runs += 1;
        self.excluded.push(work.ticket.endpoint);
        self.last_failure = Some(format!("the endpoint answered {status}").into());
        self.pause_before_next(RunOutcome::Failed, true).await
    }

    /// Decides whether the request is sent again, and waits as long as that decision says.
    ///
    /// `reached` tells whether anything of the last send may have reached an endpoint.
    async fn pause_before_next(
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
        match self.state.decide_retry(&request.placed.service, &case, seed) {
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
        let mut table = self.state.table();
        let choice = table.choose(now, &self.request.placed, &self.excluded);
        choice.map_err(|reason: DecisionReason| {
            let diagnosis = table.diagnose(now, &self.request.placed);
            drop(table);
            self.log_not_placed(&reason, &diagnosis);
            self.failure(reason.to_string().into())
        })
    }

    fn log_not_placed(&self, reason: &DecisionReason, diagnosis: &PlacementDiagnosis) {
        log::info!(
            target: part::REQUEST,
            request = &*self.request.id, service = &*self.request.placed.service,
            reason = reason.to_string(), open = diagnosis.open, down = diagnosis.down,
            excluded = self.excluded.len(), short_of_memory = diagnosis.short_of_memory,
            least_load = diagnosis.least_load, load_limit = diagnosis.load_limit,
            others_age_ms = diagnosis.others_age.map_or(-1, |age| age.as_millis() as i64),
            prompt_tokens = self.request.placed.prompt_tokens;
            "request not placed"
        );
    }

    /// Returns the final answer for a request that is sent no more.
    fn failure(&self, reason: Box<str>) -> DispatchFailure {
        let why = self.last_failure.as_deref();
        let reason = why.map_or(reason.clone(), |why| format!("{reason}; before: {why}").into());
        if self.runs == 0 {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let spread = self.request.time_left().mul_f64(RETRY_JITTER * random_fraction());
            return DispatchFailure { status, reason, retry_after: Some(MIN_RETRY_AFTER + spread) };
        }
        let late = self.request.time_left() < MIN_SEND_TIME;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        DispatchFailure { status, reason, retry_after: None }
    }

    fn log_choice(&self, choice: &PlaceChoice) {
        let request = &self.request;
        log::info!(
            target: part::REQUEST,
            request = &*request.id, route = &*request.route.name, endpoint = &*choice.name,
            sends = self.sends, cost = choice.cost as u64, cached = choice.cached,
            home_rank = choice.home_rank.map_or(-1, |rank| rank as i64),
            ahead = choice.ahead, load = choice.load, strict = choice.strict,
            others_age_ms = choice.others_age.map_or(-1, |age| age.as_millis() as i64),
            prompt_tokens = request.placed.prompt_tokens;
            "request placed"
        );
    }

    fn note_failure(&mut self, choice: &PlaceChoice, outcome: RunOutcome, reason: &str) {
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
        let address = match self.state.directory().entry(&choice.name) {
            Some(entry) => entry.address,
            None => return SendOutcome::Unreached("the endpoint has just left".into()),
        };
        self.log_choice(choice);
        let now = clock::now();
        let ticket = self.state.table().sent(now, choice.endpoint, &self.request.placed);
        let state = Arc::clone(&self.state);
        let work = WorkGuard { state, ticket, endpoint: choice.name.clone() };
        let repeat = self.sends > 1;
        let mut connection = match self.state.pool.take(&choice.name, address).await {
            Ok(connection) => connection,
            Err(error) => {
                self.state.metrics.note_send("unreached", repeat);
                self.state.note_unreached(now, choice.endpoint, &choice.name);
                return SendOutcome::Unreached(error.to_string().into());
            }
        };
        self.state.table().note_reached(choice.endpoint);
        let request = self.forwarded_request(choice, last_event);
        let response =
            tokio::time::timeout(self.request.time_left(), connection.send(request)).await;
        let end = match response {
            Err(_) => SendOutcome::DeadlinePassed,
            Ok(Err(error)) if error.is_unsent() => SendOutcome::Unreached(error.to_string().into()),
            Ok(Err(error)) => {
                self.state.note_failure(clock::now(), choice.endpoint, &choice.name);
                SendOutcome::Lost(error.to_string().into())
            }
            Ok(Ok(response)) => self.check_head(choice, connection, response, work),
        };
        self.state.metrics.note_send(outcome_label(&end), repeat);
        end
    }

    /// Checks that the head of an answer belongs to this request and says that it ran.
    fn check_head(
        &self,
        choice: &PlaceChoice,
        mut connection: HttpConnection,
        response: http::Response<hyper::body::Incoming>,
        work: WorkGuard,
    ) -> SendOutcome {
        let (head, body) = response.into_parts();
        let response_head = (self.state.codec.response_head)(&head.headers);
        let now = clock::now();
        if response_head.id.as_deref().is_some_and(|id| id != &*self.request.id) {
            return SendOutcome::Lost("the answer belongs to another request".into());
        }
        if let Some(sample) = response_head.sample {
            self.state.table().note_sample(now, choice.endpoint, sample);
        }
        if response_head.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                self.state.note_replaced(choice.endpoint, &choice.name);
            }
            return SendOutcome::NotRun(format!("turned away with status {}", head.status).into());
        }
        if head.status.is_success() && (!response_head.signed || response_head.id.is_none()) {
            return SendOutcome::Lost("the answer bears no signature".into());
        }
        if let Some(limit) = response_head.idle_limit {
            connection.set_idle_limit(limit);
        }
        let body = ConnectionBody::new(connection, body);
        SendOutcome::Answered(Box::new(EndpointResponse { head, response_head, body, work }))
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
            urgency: request.urgency,
            last_event,
        };
        let mut forwarded = Request::new(Full::new(request.body.clone()));
        *forwarded.method_mut() = request.method.clone();
        *forwarded.uri_mut() = request.target.clone();
        *forwarded.headers_mut() = (self.state.codec.request_headers)(&request.headers, &spec);
        forwarded
    }
}

fn outcome_label(end: &SendOutcome) -> &'static str {
    match end {
        SendOutcome::Answered(_) => "answered",
        SendOutcome::Unreached(_) => "unreached",
        SendOutcome::NotRun(_) => "not_run",
        SendOutcome::Lost(_) => "lost",
        SendOutcome::DeadlinePassed => "deadline_passed",
    }
}

/// Returns a number from 0 to 1 that differs from call to call.
fn random_fraction() -> f64 {
    (clock::now().as_micros().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64
        / f64::from(u32::MAX)
}
