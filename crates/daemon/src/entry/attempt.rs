//! A single attempt to run a request at one endpoint.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use pimentorock_kernel::{ids::EndpointKey, route::RouteEvent, time::TimePoint};
use poem::http::StatusCode;
use reqwest::Response;

use crate::{
    entry::{
        caller_channel::CallerChannel,
        caller_request::{AnswerFormat, CallerRequest},
        state::EntryState,
    },
    event_stream::{EventContent, EventReader, StreamEvent, TokenUsage},
    run_header::{ATTEMPT_HEADER, REFUSAL_HEADER, RUN_HEADER, RefusalHeader, RunHeader},
};

/// Maximum size of a non-streamed answer, in bytes, which is buffered in full before it is sent.
const MAX_UNSTREAMED_ANSWER_BYTES: usize = 64 << 20;

/// Maximum size of a single event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Time between two checks whether the agent still sends digests.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Number of consecutive checks that must find an agent silent. After this process itself was
/// suspended, the first check finds all agents silent.
const SILENT_CHECKS: u32 = 2;

/// Headers of an endpoint's answer that are forwarded to the caller.
const FORWARDED_HEADERS: [&str; 7] = [
    "content-type",
    "content-language",
    "content-range",
    "etag",
    "last-modified",
    "location",
    "cache-control",
];

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The complete answer was sent to the caller; the answer of a plain service may have any
    /// status.
    Completed,
    /// A model endpoint answered with a status other than 2xx; nothing was sent to the caller.
    Failed {
        /// HTTP status of the endpoint's answer.
        status: StatusCode,
        /// Headers of the endpoint's answer that may be forwarded.
        headers: Vec<(Box<str>, Box<str>)>,
        /// Body of the endpoint's answer.
        body: Bytes,
    },
    /// The agent refused the attempt.
    Refused(RefusalHeader),
    /// No connection to the agent was established, so the request did not run.
    Unreachable,
    /// No valid and complete answer arrived, and the request may have started.
    Lost,
    /// The agent stopped sending digests before it answered, and the request may have started.
    AgentSilent,
    /// The deadline passed before the attempt ended.
    DeadlinePassed,
    /// The caller disconnected before the attempt ended.
    CallerDisconnected,
}

/// Token counts and times measured during an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptMetrics {
    /// Token usage: the engine's own count if the engine sent one, otherwise the tokens that
    /// this entry counted.
    pub(crate) usage: TokenUsage,
    /// Time at which the first token arrived; `None` if no token has arrived.
    pub(crate) first_token: Option<TimePoint>,
    /// Time at which the latest token arrived; `None` if no token has arrived.
    pub(crate) last_token: Option<TimePoint>,
    /// Whether the head of an answer to this attempt arrived, so that the endpoint is known to have
    /// started the request.
    pub(crate) answer_begun: bool,
}

/// A single attempt to run a request at one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointAttempt<'a> {
    state: &'a EntryState,
    request: &'a CallerRequest,
    endpoint: EndpointKey,
    header: RunHeader,
    metrics: AttemptMetrics,
}

impl<'a> EndpointAttempt<'a> {
    /// Returns an attempt that has not been sent yet.
    pub(crate) fn new(
        state: &'a EntryState,
        request: &'a CallerRequest,
        endpoint: EndpointKey,
        header: RunHeader,
    ) -> EndpointAttempt<'a> {
        EndpointAttempt { state, request, endpoint, header, metrics: AttemptMetrics::default() }
    }

    /// Returns the measurements taken so far.
    pub(crate) fn metrics(&self) -> AttemptMetrics {
        self.metrics
    }

    /// Sends the request to the agent at `address` and relays the answer to `caller`.
    pub(crate) async fn run(&mut self, address: &str, caller: &mut CallerChannel) -> AttemptEnd {
        let head = {
            let sending = self.send(address);
            tokio::pin!(sending);
            tokio::select! {
                biased;
                () = caller.disconnected() => return AttemptEnd::CallerDisconnected,
                head = &mut sending => head,
                () = self.agent_silent() => return AttemptEnd::AgentSilent,
            }
        };
        let response = match head {
            Ok(response) => response,
            // No byte of the request was written if the connection was never established.
            Err(error) if error.is_connect() => return AttemptEnd::Unreachable,
            Err(_) => return AttemptEnd::Lost,
        };
        self.relay(response, caller).await
    }

    /// Waits until the agent has stopped sending digests; for ever if the request must not be sent
    /// to another endpoint after that.
    async fn agent_silent(&self) {
        if !self.request.idempotent {
            return std::future::pending().await;
        }
        let mut silent_checks = 0;
        while silent_checks < SILENT_CHECKS {
            tokio::time::sleep(SILENCE_CHECK_PERIOD).await;
            silent_checks = if self.state.is_silent(self.endpoint) { silent_checks + 1 } else { 0 };
        }
    }

    async fn send(&self, address: &str) -> Result<Response, reqwest::Error> {
        let header = serde_json::to_string(&self.header).expect("a run header serializes to JSON");
        self.state
            .parts
            .http
            .post(format!("http://{address}/run"))
            .header(RUN_HEADER, header)
            .body(self.request.body.clone())
            .send()
            .await
    }

    async fn relay(&mut self, response: Response, caller: &mut CallerChannel) -> AttemptEnd {
        if let Some(refusal) = read_refusal(&response) {
            return AttemptEnd::Refused(refusal);
        }
        let expected = self.header.attempt_id();
        let answered = response.headers().get(ATTEMPT_HEADER).map(|value| value.as_bytes());
        if answered != Some(expected.as_bytes()) {
            // The answer belongs to another request and must not be sent to this caller.
            return AttemptEnd::Lost;
        }
        self.metrics.answer_begun = true;
        let status = response.status();
        let headers = forwarded_headers(&response);
        match self.request.format {
            AnswerFormat::Stream { with_usage } if status.is_success() => {
                self.relay_events(response, status, headers, with_usage, caller).await
            }
            format => self.relay_unstreamed(response, status, headers, format, caller).await,
        }
    }

    async fn relay_unstreamed(
        &mut self,
        response: Response,
        status: StatusCode,
        headers: Vec<(Box<str>, Box<str>)>,
        format: AnswerFormat,
        caller: &mut CallerChannel,
    ) -> AttemptEnd {
        let received = tokio::select! {
            biased;
            () = caller.disconnected() => return AttemptEnd::CallerDisconnected,
            received = read_body(response) => received,
        };
        let Some(body) = received else { return AttemptEnd::Lost };
        if format != AnswerFormat::Service {
            if !status.is_success() {
                return AttemptEnd::Failed { status, headers, body };
            }
            let Ok(answer) = serde_json::from_slice(&body) else { return AttemptEnd::Lost };
            self.metrics.usage = TokenUsage::from_answer(&answer).unwrap_or_default();
        }
        caller.answer(status, headers, body);
        AttemptEnd::Completed
    }

    async fn relay_events(
        &mut self,
        response: Response,
        status: StatusCode,
        headers: Vec<(Box<str>, Box<str>)>,
        with_usage: bool,
        caller: &mut CallerChannel,
    ) -> AttemptEnd {
        let mut chunks = response.bytes_stream();
        let mut reader = EventReader::new();
        let mut done = false;
        loop {
            let chunk = tokio::select! {
                biased;
                () = caller.disconnected() => return AttemptEnd::CallerDisconnected,
                chunk = chunks.next() => chunk,
            };
            // Reading past the last event until the end of the body lets the client reuse the
            // connection.
            let chunk = match chunk {
                Some(Ok(chunk)) => chunk,
                _ if done => return AttemptEnd::Completed,
                _ => return AttemptEnd::Lost,
            };
            for event in reader.push(&chunk) {
                done |= event.content == EventContent::Done;
                if event.content == EventContent::Error {
                    return AttemptEnd::Lost;
                }
                if self.count_event(&event, with_usage)
                    && !caller.send(status, &headers, event.bytes).await
                {
                    return AttemptEnd::CallerDisconnected;
                }
            }
            if reader.pending() > MAX_EVENT_BYTES {
                return AttemptEnd::Lost;
            }
        }
    }

    /// Updates the metrics for an event and returns whether the event is forwarded to the caller.
    fn count_event(&mut self, event: &StreamEvent, with_usage: bool) -> bool {
        match event.content {
            EventContent::Token => {
                self.metrics.usage.output += 1;
                self.record_token();
                true
            }
            EventContent::Usage(usage) => {
                self.metrics.usage = usage;
                with_usage
            }
            _ => true,
        }
    }

    fn record_token(&mut self) {
        let now = self.state.parts.clock.now();
        if self.metrics.first_token.is_none() {
            self.metrics.first_token = Some(now);
            self.state.route_event(RouteEvent::FirstToken { request: self.request.id });
        }
        self.metrics.last_token = Some(now);
    }
}

fn read_refusal(response: &Response) -> Option<RefusalHeader> {
    let value = response.headers().get(REFUSAL_HEADER)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

fn forwarded_headers(response: &Response) -> Vec<(Box<str>, Box<str>)> {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|&name| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some((name.into(), value.into()))
        })
        .collect()
}

/// Returns the complete body, or `None` if the body was truncated or is larger than
/// [`MAX_UNSTREAMED_ANSWER_BYTES`].
async fn read_body(response: Response) -> Option<Bytes> {
    let mut chunks = response.bytes_stream();
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_UNSTREAMED_ANSWER_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

/// Returns the time from arrival to the first token and the mean time between tokens.
///
/// The first value is `None` if no token arrived, the second if fewer than two tokens arrived.
pub(crate) fn token_latencies(
    metrics: &AttemptMetrics,
    arrived: TimePoint,
) -> (Option<Duration>, Option<Duration>) {
    let first = metrics.first_token.map(|first| first.since(arrived));
    let between = match (metrics.first_token, metrics.last_token) {
        (Some(first), Some(last)) if metrics.usage.output > 1 => {
            Some(last.since(first) / (metrics.usage.output - 1) as u32)
        }
        _ => None,
    };
    (first, between)
}
