//! Finds out which run of an endpoint is behind a connection.
//!
//! An endpoint that was started again may have its name and its address from before, and other
//! software. The version of a stream is that of the run which writes it, so a connection that is to
//! carry streams belongs to one run: the endpoint states its start time on it, or the list of
//! endpoints shows the run and matched the store after the connection was opened.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use pimentorock_kernel::{
    answer::AnswerLimits,
    place::EndpointNotice,
    stream_origin::{StreamKey, VersionKey},
    time::TimePoint,
};
use tokio::time::{sleep, timeout};

use crate::{
    body_framing::BodyFraming,
    clock,
    connection::{ConnectionBody, ConnectionError, HttpConnection},
    connection_pool::ConnectionNeeds,
    crash_checks::EndpointInstance,
    dispatcher::RequestDispatcher,
    fleet_config::RouteKind,
    logs::part,
    run_doubts::LISTING_TIME,
    run_statement::RunStatement,
    state::GatewayState,
    work_guard::WorkGuard,
};

/// Maximum time in which an endpoint states its run.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of an endpoint's report.
const REPORT_LIMITS: AnswerLimits = AnswerLimits { bytes: 256 << 10, patience: REPORT_TIMEOUT };

/// Maximum number of times that an endpoint which closes the connection after its report is asked.
const MAX_REPORTS: u32 = 2;

/// Maximum time for which a stream that goes on waits until the list of endpoints tells the run.
const MAX_RUN_WAIT: Duration = Duration::from_secs(1);

/// Time between two looks at the list of endpoints.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Number of milliseconds by which the wall clocks of endpoints may differ from that of the entries.
const CLOCK_TOLERANCE_MS: u64 = 500;

/// What an endpoint says of itself on a new connection.
pub(crate) struct RunAnswer {
    /// Its run.
    pub(crate) run: RunStatement,
    /// Whether it leaves.
    pub(crate) leaving: bool,
    /// The connection, unless the endpoint closes it after its answer.
    connection: Option<HttpConnection>,
}

/// What the list of endpoints tells of the run behind a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunKnowledge {
    /// It is the run that was listed when the connection was opened.
    Listed,
    /// It may be another run, which is listed now.
    Other,
    /// The list may be older than the run.
    Open,
}

impl GatewayState {
    /// Returns what the list of endpoints tells of a connection to `instance` that was opened at `opened_at`.
    pub(crate) fn run_knowledge(
        &self,
        instance: &EndpointInstance,
        opened_at: TimePoint,
    ) -> RunKnowledge {
        // Before the list, which then is at least as new.
        let listed_at = self.view().endpoints_current_at();
        match self.instance(&instance.name) {
            Some(listed) if listed != *instance => {
                let opened_ms = self.wall_ms().saturating_sub(age_ms(opened_at));
                match listed.started_ms {
                    Some(started_ms) if started_ms > opened_ms + CLOCK_TOLERANCE_MS => {
                        RunKnowledge::Listed
                    }
                    _ => RunKnowledge::Other,
                }
            }
            Some(_) if self.run_doubts.is_proof(instance, opened_at, listed_at) => {
                RunKnowledge::Listed
            }
            _ => RunKnowledge::Open,
        }
    }

    /// Waits until the list of endpoints tells which run is behind a connection, until `end` at the latest.
    async fn await_run_knowledge(
        &self,
        instance: &EndpointInstance,
        opened_at: TimePoint,
        end: TimePoint,
    ) -> RunKnowledge {
        loop {
            let knowledge = self.run_knowledge(instance, opened_at);
            if knowledge != RunKnowledge::Open || clock::now() >= end {
                return knowledge;
            }
            sleep(LOOK_PERIOD).await;
        }
    }

    /// Returns the listed run of the endpoint named `name`.
    pub(crate) fn instance(&self, name: &str) -> Option<EndpointInstance> {
        let directory = self.directory();
        let endpoint = directory.entry(name)?;
        let software = endpoint.software.clone();
        let (address, started_ms) = (endpoint.address, endpoint.started_ms);
        Some(EndpointInstance { name: name.into(), address, started_ms, software })
    }

    /// Asks the endpoint behind a new connection for its run.
    pub(crate) async fn ask_run(
        &self,
        instance: &EndpointInstance,
        mut connection: HttpConnection,
    ) -> Result<RunAnswer, ConnectionError> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static(self.codec.report_path);
        let host = HeaderValue::from_str(&instance.address.to_string());
        request.headers_mut().extend(host.ok().map(|host| (header::HOST, host)));
        let response = connection.send(request).await?;
        let (parts, body) = response.into_parts();
        connection.limit_body(REPORT_LIMITS);
        let mut body = ConnectionBody::new(connection, body);
        let report = read_report(&mut body).await?;
        let started = (self.codec.report_started)(&report);
        let run = match started.filter(|_| parts.status == StatusCode::OK) {
            Some(started_ms) => RunStatement::Started(started_ms),
            None => RunStatement::Unstated,
        };
        let head = (self.codec.response_head)(&parts.headers);
        if head.leaving {
            self.note_notice("report", instance, EndpointNotice::Leaving);
        }
        let closes =
            head.closes || BodyFraming::new(&Method::GET, &parts) == BodyFraming::Connection;
        let mut connection = body.connection;
        connection.touch();
        connection.set_run(run);
        let is_open = !closes && !connection.is_closed();
        let connection = Some(connection).filter(|_| is_open);
        Ok(RunAnswer { run, leaving: head.leaving, connection })
    }

    /// Reports whether the endpoint behind a new connection states that it is another run than `instance`, and keeps
    /// the connection if it does not.
    pub(crate) async fn is_other_run(
        &self,
        instance: &EndpointInstance,
        connection: HttpConnection,
    ) -> bool {
        let asked = timeout(REPORT_TIMEOUT, self.ask_run(instance, connection)).await;
        let Ok(Ok(RunAnswer { run, connection, .. })) = asked else {
            self.metrics.note_run_check("failed");
            return false;
        };
        if let (RunStatement::Started(stated_ms), Some(listed_ms)) = (run, instance.started_ms)
            && stated_ms != listed_ms
        {
            self.metrics.note_run_check("other");
            self.note_other_run(instance, stated_ms);
            return true;
        }
        self.metrics.note_run_check(run.label());
        if let Some(connection) = connection {
            self.pool.put(instance, connection);
        }
        false
    }

    /// Notes that another run of an endpoint than the listed one accepts connections.
    fn note_other_run(&self, instance: &EndpointInstance, stated_ms: u64) {
        log::warn!(
            target: part::REQUEST,
            endpoint = &*instance.name, listed_ms = instance.started_ms.unwrap_or(0),
            stated_ms = stated_ms, version = &*instance.software;
            "endpoint was started again"
        );
        self.note_replaced_instances(|checked| checked == instance);
    }

    /// Makes the version of streams unknown that began at `instance` over a connection which was opened at
    /// `opened_at`, if the store lists another run within [`LISTING_TIME`].
    async fn confirm_streams(
        self: Arc<Self>,
        instance: EndpointInstance,
        opened_at: TimePoint,
        streams: Vec<StreamKey>,
        kept_until_ms: u64,
    ) {
        loop {
            let listed_at = self.view().endpoints_current_at();
            match self.run_knowledge(&instance, opened_at) {
                RunKnowledge::Other => break,
                RunKnowledge::Listed if listed_at >= opened_at + LISTING_TIME => return,
                _ if self.wall_ms() >= kept_until_ms => return,
                _ => sleep(LOOK_PERIOD).await,
            }
        }
        log::warn!(
            target: part::REQUEST,
            endpoint = &*instance.name, version = &*instance.software, streams = streams.len();
            "streams began at another run than listed"
        );
        self.metrics.note_run_check("other_later");
        let mut origins = self.origins();
        for stream in &streams {
            origins.note_unknown(clock::now(), *stream, kept_until_ms);
        }
        let records = streams.iter().filter_map(|stream| origins.record(*stream)).collect();
        drop(origins);
        self.origin_calls.pass_on(records);
    }
}

impl RequestDispatcher {
    /// Returns a connection for a send to the endpoint of `work`.
    ///
    /// If the request's stream may be resumed, the run behind the connection is the listed one; a new
    /// stream does not wait until this is known for sure ([`WorkGuard::unproven_since`]).
    ///
    /// # Errors
    ///
    /// Returns why the request was not sent.
    pub(crate) async fn connect(
        &mut self,
        work: &mut WorkGuard,
    ) -> Result<HttpConnection, Box<str>> {
        self.ask_lapsed(work).await?;
        // What cannot be sent again must not meet the bytes that a faulty endpoint sends late.
        let quiet = !self.request.route.is_idempotent();
        let needs = ConnectionNeeds { quiet, asked: self.needs_run() };
        let taken = self.state.pool.take(&work.instance, needs).await;
        let mut connection = taken.map_err(|error| self.unreached(work, &error))?;
        if !needs.asked {
            return Ok(connection);
        }
        for _ in 0..MAX_REPORTS {
            if connection.run() != RunStatement::Unasked {
                break;
            }
            connection = self.ask_run(work, connection).await?;
        }
        if connection.run() == RunStatement::Unasked {
            connection.set_run(RunStatement::Unstated);
        }
        match (connection.run(), work.instance.started_ms) {
            (RunStatement::Started(stated_ms), Some(listed_ms)) if stated_ms == listed_ms => {
                Ok(connection)
            }
            (RunStatement::Started(stated_ms), Some(_)) => {
                self.state.metrics.note_run_check("other");
                self.state.note_other_run(&work.instance, stated_ms);
                let endpoint = work.ticket.endpoint;
                self.state.note_unreached(work.sent_at, endpoint, &work.instance.name);
                Err("the endpoint was started again".into())
            }
            _ => self.check_listed(work, connection).await,
        }
    }

    /// Reports whether the request needs a connection whose run is known.
    fn needs_run(&self) -> bool {
        let route = &self.request.route;
        route.kind == RouteKind::Stream && (route.resumable || self.placement.continues)
    }

    fn unreached(&self, work: &WorkGuard, error: &ConnectionError) -> Box<str> {
        if matches!(error, ConnectionError::Refused) {
            self.state.crash_checks.note_refused(clock::now(), &work.instance);
        }
        self.state.note_unreached(work.sent_at, work.ticket.endpoint, &work.instance.name);
        error.to_string().into()
    }

    /// Returns the connection after the endpoint was asked for its run on it, or a new one if the endpoint
    /// closed it or did not answer in time.
    async fn ask_run(
        &mut self,
        work: &WorkGuard,
        connection: HttpConnection,
    ) -> Result<HttpConnection, Box<str>> {
        let limit = REPORT_TIMEOUT.min(self.request.time_left());
        let asked = timeout(limit, self.state.ask_run(&work.instance, connection)).await;
        // Without a report the list of endpoints has to do; an endpoint that states its run is preferred once.
        let is_without = asked.is_err() || self.lost_reports > 0;
        match asked {
            Ok(Ok(RunAnswer { run, connection, .. })) => {
                self.state.metrics.note_run_check(run.label());
                if let Some(connection) = connection {
                    return Ok(connection);
                }
            }
            Ok(Err(error)) => {
                self.state.metrics.note_run_check("failed");
                if !is_without {
                    self.lost_reports += 1;
                    let endpoint = work.ticket.endpoint;
                    self.state.note_failure(clock::now(), endpoint, &work.instance.name);
                    return Err(format!("the endpoint did not state its run: {error}").into());
                }
            }
            Err(_) => {
                log::info!(
                    target: part::REQUEST,
                    request = &*self.request.id, endpoint = &*work.instance.name;
                    "endpoint did not state its run in time"
                );
                self.state.metrics.note_run_check("late");
            }
        }
        let opened = HttpConnection::open(work.instance.address).await;
        let mut opened = opened.map_err(|error| self.unreached(work, &error))?;
        if is_without {
            opened.set_run(RunStatement::Unstated);
        }
        Ok(opened)
    }

    /// Checks the run behind a connection by the list of endpoints.
    async fn check_listed(
        &self,
        work: &mut WorkGuard,
        connection: HttpConnection,
    ) -> Result<HttpConnection, Box<str>> {
        let opened_at = connection.opened_at();
        let wait = if self.placement.continues { MAX_RUN_WAIT } else { Duration::ZERO };
        let end = clock::now() + wait.min(self.request.time_left());
        match self.state.await_run_knowledge(&work.instance, opened_at, end).await {
            RunKnowledge::Listed => Ok(connection),
            RunKnowledge::Other => Err("the endpoint was started again".into()),
            RunKnowledge::Open if self.placement.continues => {
                Err("it is not known which run of the endpoint answers".into())
            }
            RunKnowledge::Open => {
                work.unproven_since = Some(opened_at);
                Ok(connection)
            }
        }
    }

    /// Reports whether the endpoint of `work` still is the one that was chosen.
    pub(crate) fn is_chosen_version(&self, work: &WorkGuard) -> bool {
        let software = &work.instance.software;
        self.placement
            .version
            .is_none_or(|version| VersionKey::new(&self.placement.service, software) == version)
    }

    /// Reports whether the run that sent the events of `work` is the one that was listed, so that its
    /// stream may go on at the version of that run.
    pub(crate) async fn is_run_known(&self, work: &WorkGuard) -> bool {
        let Some(opened_at) = work.unproven_since else { return true };
        let end = clock::now() + MAX_RUN_WAIT.min(self.request.time_left());
        let knowledge = self.state.await_run_knowledge(&work.instance, opened_at, end).await;
        knowledge == RunKnowledge::Listed
    }

    /// Has `streams`, which began at the endpoint of `work`, checked once it is known which run that was.
    pub(crate) fn confirm_streams(
        &self,
        work: &WorkGuard,
        streams: Vec<StreamKey>,
        kept_until_ms: u64,
    ) {
        if let Some(opened_at) = work.unproven_since {
            let (state, instance) = (Arc::clone(&self.state), work.instance.clone());
            tokio::spawn(state.confirm_streams(instance, opened_at, streams, kept_until_ms));
        }
    }
}

fn age_ms(at: TimePoint) -> u64 {
    clock::now().since(at).as_millis() as u64
}

/// Reads an endpoint's report to its end.
async fn read_report(body: &mut ConnectionBody) -> Result<Bytes, ConnectionError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match body.connection.endless() {
            Some(endless) => ConnectionError::Endless(endless),
            None => ConnectionError::Lost(error),
        })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        if bytes.len() as u64 > REPORT_LIMITS.bytes {
            break;
        }
        body.connection.note_frame();
    }
    Ok(bytes.freeze())
}
