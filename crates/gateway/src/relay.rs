//! Relays an endpoint's response to the caller.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use pimentorock_kernel::answer::AnswerLimits;

use crate::{
    clock,
    connection::ConnectionBody,
    dispatch_failure::DispatchFailure,
    dispatcher::RequestDispatcher,
    endpoint_response::EndpointResponse,
    fleet_config::{RouteKind, RouteSpec},
    logs::part,
    message_buffers::{HeldMessage, MessageBuffer},
    stream_form::StreamForm,
    stream_frames::StreamFrames,
    stream_relay::streamed_response,
};

/// Maximum size of a response that is buffered before it is sent to the caller, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 16 << 20;

/// Maximum size of one event in bytes. An event holds a few tokens, or a short document.
const MAX_EVENT_BYTES: u64 = 256 << 10;

/// Minimum time for which bytes arrive a few at a time before they are taken for a trickle. TCP
/// retransmits a lost packet within this time.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Number of latency targets, and of longest pauses, after which callers no longer wait for the rest
/// of an answer that arrives a few bytes at a time.
const TARGETS_WAITED: u32 = 4;
const PAUSES_WAITED: u32 = 8;

/// Size of the parts in which a complete response is handed to the caller's connection, in bytes.
const PART_BYTES: usize = 64 << 10;

/// Error that aborts the response to the caller, because the endpoint's response was incomplete.
#[derive(Debug)]
pub(crate) struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// No body.
    Empty,
    /// A complete body.
    Complete(HeldMessage),
    /// A streamed body. An error in it closes the connection, so that the caller can detect the
    /// truncation.
    Stream(StreamFrames),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut *self {
            CallerBody::Empty => Poll::Ready(None),
            CallerBody::Complete(message) => {
                Poll::Ready(message.take_part(PART_BYTES).map(|part| Ok(Frame::data(part))))
            }
            CallerBody::Stream(frames) => {
                frames.poll_next(cx).map(|frame| frame.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Empty => true,
            CallerBody::Complete(message) => message.bytes.is_empty(),
            CallerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Empty => SizeHint::with_exact(0),
            CallerBody::Complete(message) => SizeHint::with_exact(message.bytes.len() as u64),
            CallerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// What a caller gets.
enum CallerAnswer {
    Complete(Response<CallerBody>),
    /// The rest of a stream that has begun, and what its head says.
    Stream(Box<EndpointResponse>, StreamForm),
}

/// Sends the request to endpoints and returns the response for the caller.
///
/// If the entry stops meanwhile, the response comes before it ends.
pub(crate) async fn respond(mut dispatcher: RequestDispatcher) -> Response<CallerBody> {
    let state = Arc::clone(&dispatcher.state);
    let answer = tokio::select! {
        answer = find_answer(&mut dispatcher) => answer,
        () = state.planned_stop.answers_due() => Err(dispatcher.stop_failure()),
    };
    match answer {
        Ok(CallerAnswer::Complete(response)) => response,
        Ok(CallerAnswer::Stream(response, form)) => streamed_response(dispatcher, *response, form),
        Err(failure) => failure_response(&mut dispatcher, &failure),
    }
}

async fn find_answer(dispatcher: &mut RequestDispatcher) -> Result<CallerAnswer, DispatchFailure> {
    dispatcher.find_version().await?;
    let last_event = dispatcher.request.last_event.clone();
    loop {
        let response = dispatcher.dispatch(last_event.as_deref()).await?;
        note_first_byte(dispatcher);
        let streams = dispatcher.request.route.kind == RouteKind::Stream;
        if let Some(form) = StreamForm::new(&response.parts).filter(|_| streams) {
            return Ok(CallerAnswer::Stream(Box::new(response), form));
        }
        match buffered_response(dispatcher, response).await {
            Ok(response) => return Ok(CallerAnswer::Complete(response)),
            Err(Some(failure)) => return Err(failure),
            // The response was discarded; the loop dispatches the request again.
            Err(None) => {}
        }
    }
}

/// Logs a request that no endpoint served, and returns the entry's own response for it.
fn failure_response(
    dispatcher: &mut RequestDispatcher,
    failure: &DispatchFailure,
) -> Response<CallerBody> {
    let request = &dispatcher.request;
    log::warn!(
        target: part::REQUEST,
        request = &*request.id, route = &*request.route.name, status = failure.status.as_u16(),
        sends = dispatcher.sends(), reason = &*failure.reason,
        waited_ms = clock::now().since(request.arrived).as_millis() as u64;
        "request given up"
    );
    let outcome = if failure.retry_after.is_some() { "refused" } else { "failed" };
    dispatcher.note_end(outcome);
    let mut response = Response::new(CallerBody::Empty);
    if let Some(code) = failure.code {
        *response.body_mut() = error_body(dispatcher, code, &failure.reason);
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
    }
    *response.status_mut() = failure.status;
    if let Some(span) = failure.retry_after {
        (dispatcher.state.codec.retry_after)(response.headers_mut(), span);
    }
    response
}

/// Returns the body of an own response whose reason the caller can act on.
fn error_body(dispatcher: &RequestDispatcher, code: &str, reason: &str) -> CallerBody {
    let body = serde_json::json!({"error": {"code": code, "message": reason}}).to_string();
    CallerBody::Complete(HeldMessage::new(body.into(), dispatcher.state.buffers.buffer()))
}

/// Reads a complete response that is not streamed.
///
/// # Errors
///
/// Returns `Err(None)` if the response was discarded and the request has to be dispatched again.
/// Returns `Err(Some(failure))` if the response was incomplete and the request must not be sent
/// again.
async fn buffered_response(
    dispatcher: &mut RequestDispatcher,
    response: EndpointResponse,
) -> Result<Response<CallerBody>, Option<DispatchFailure>> {
    let EndpointResponse { parts, head, framing, mut body, mut work } = response;
    note_start(dispatcher);
    work.started();
    let time_left = dispatcher.request.time_left();
    body.connection.limit_body(buffered_limits(&dispatcher.request.route));
    let buffer = dispatcher.state.buffers.buffer();
    let collected = match tokio::time::timeout(time_left, collect(&mut body, buffer)).await {
        Ok(collected) => collected,
        Err(_) => Err("the deadline passed within the answer".into()),
    };
    let message = match collected {
        Ok(message) => message,
        Err(reason) => {
            if let Some(endless) = body.connection.endless() {
                dispatcher.note_endless(&work.instance, endless);
            }
            drop(body);
            return match dispatcher.await_retry_after_lost_response(&work, &reason).await {
                Ok(()) => Err(None),
                Err(failure) => Err(Some(failure)),
            };
        }
    };
    if !dispatcher.is_whole(framing, &work).await {
        drop(body);
        return match dispatcher.await_retry_after_lost_response(&work, ENDED_WITH_ENDPOINT).await {
            Ok(()) => Err(None),
            Err(failure) => Err(Some(failure)),
        };
    }
    if !head.closes {
        dispatcher.state.pool.put(&work.instance, body.connection);
    }
    if !parts.status.is_server_error() {
        dispatcher.note_completed(framing, parts.status);
    } else if dispatcher.await_retry_after_failure_status(&work, parts.status).await.is_ok() {
        return Err(None);
    }
    let request = &dispatcher.request;
    let outcome = if parts.status.is_success() { "served" } else { "failed_at_endpoint" };
    log::info!(
        target: part::REQUEST,
        request = &*request.id, route = &*request.route.name, outcome = outcome,
        status = parts.status.as_u16(), sends = dispatcher.sends(), framing = framing.label(),
        total_ms = millis(clock::now().since(request.arrived));
        "request ended"
    );
    dispatcher.note_end(outcome);
    let headers = caller_headers(dispatcher, &parts.headers);
    let mut response = Response::new(CallerBody::Complete(message));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Returns the limits of a response that is buffered.
fn buffered_limits(route: &RouteSpec) -> AnswerLimits {
    AnswerLimits { bytes: MAX_BUFFERED_RESPONSE_BYTES, patience: patience(route) }
}

/// Returns the limits of one event of a stream.
pub(crate) fn event_limits(route: &RouteSpec) -> AnswerLimits {
    AnswerLimits { bytes: MAX_EVENT_BYTES, patience: patience(route) }
}

/// Returns the time for which callers of `route` wait for the rest of an answer that has begun.
fn patience(route: &RouteSpec) -> Duration {
    let target = route.latency_target.unwrap_or_default() * TARGETS_WAITED;
    let pause = route.pause_target.unwrap_or_default() * PAUSES_WAITED;
    target.max(pause).max(MIN_PATIENCE)
}

/// Reads a body to its end.
async fn collect(
    body: &mut ConnectionBody,
    mut buffer: MessageBuffer,
) -> Result<HeldMessage, Box<str>> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.evicted() => return Err(EVICTED.into()),
        };
        let data = match frame {
            None => return Ok(HeldMessage::new(bytes.freeze(), buffer)),
            Some(Ok(frame)) if body.connection.note_frame() => {
                frame.into_data().unwrap_or_default()
            }
            Some(frame) => {
                let endless = body.connection.endless().map(|endless| endless.to_string());
                let broken = frame.err().map(|error| error.to_string());
                return Err(endless.or(broken).unwrap_or_default().into());
            }
        };
        bytes.extend_from_slice(&data);
        buffer.resize(bytes.capacity());
        if buffer.is_evicted() {
            return Err(EVICTED.into());
        }
    }
}

/// Reason for dropping the largest incomplete messages.
pub(crate) const EVICTED: &str = "messages need more memory than they may have";

/// Reason for taking an answer that ended with its connection for an incomplete one.
pub(crate) const ENDED_WITH_ENDPOINT: &str =
    "it ended with its connection, and its endpoint with it";

pub(crate) fn millis(span: Duration) -> i64 {
    span.as_millis() as i64
}

pub(crate) fn caller_headers(dispatcher: &RequestDispatcher, headers: &HeaderMap) -> HeaderMap {
    let mut headers = (dispatcher.state.codec.response_headers)(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn note_first_byte(dispatcher: &RequestDispatcher) {
    let request = &dispatcher.request;
    let span = clock::now().since(request.arrived);
    dispatcher.state.metrics.note_first_byte(&request.route.name, span);
}

/// Counts a response that begins to arrive towards the usage of the request's client account.
///
/// A buffered response begins with its head, a stream with its first event. A request is counted
/// again for each response that replaces a failed or truncated buffered response; a stream is
/// counted once, even if another endpoint resumes it.
pub(crate) fn note_start(dispatcher: &RequestDispatcher) {
    if let Some(account) = &dispatcher.request.account {
        let wall_ms = dispatcher.state.wall_ms();
        dispatcher.state.usage_counter().note_start(wall_ms, account);
    }
}

/// Returns a response with `status` and without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::Empty);
    *response.status_mut() = status;
    response
}
