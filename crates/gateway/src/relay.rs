//! Relays an endpoint's response to the caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use pimentorock_kernel::{answer::AnswerLimits, time::TimePoint};
use tokio::{sync::mpsc, time::Sleep};

use crate::{
    body_framing::BodyFraming,
    clock,
    connection::ConnectionBody,
    dispatch_failure::DispatchFailure,
    dispatcher::RequestDispatcher,
    endpoint_response::EndpointResponse,
    event_splitter::{EventBatch, EventSplitter},
    fleet_config::{RouteKind, RouteSpec},
    logs::part,
    message_buffers::{HeldMessage, MessageBuffer},
    stream_frames::{CompletionMark, StreamFrames},
};

/// Number of stream frames that are buffered for a slow caller.
const FRAME_BUFFER: usize = 8;

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

/// Time after which a caller gets the comments of a stream although no event follows, so that its
/// connection is kept.
const MAX_SILENCE: Duration = Duration::from_secs(5);

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

/// Sends the request to endpoints and returns the response for the caller.
pub(crate) async fn respond(mut dispatcher: RequestDispatcher) -> Response<CallerBody> {
    if let Err(failure) = dispatcher.find_version().await {
        return failure_response(&mut dispatcher, &failure);
    }
    let last_event = dispatcher.request.last_event.clone();
    loop {
        let response = match dispatcher.dispatch(last_event.as_deref()).await {
            Ok(response) => response,
            Err(failure) => return failure_response(&mut dispatcher, &failure),
        };
        note_first_byte(&dispatcher);
        let streams = dispatcher.request.route.kind == RouteKind::Stream;
        if streams && response.parts.status.is_success() {
            return streamed_response(dispatcher, response);
        }
        match buffered_response(&mut dispatcher, response).await {
            Ok(response) => return response,
            Err(Some(failure)) => return failure_response(&mut dispatcher, &failure),
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
fn event_limits(route: &RouteSpec) -> AnswerLimits {
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
const EVICTED: &str = "messages need more memory than they may have";

/// Reason for taking an answer that ended with its connection for an incomplete one.
const ENDED_WITH_ENDPOINT: &str = "it ended with its connection, and its endpoint with it";

fn millis(span: Duration) -> i64 {
    span.as_millis() as i64
}

fn caller_headers(dispatcher: &RequestDispatcher, headers: &HeaderMap) -> HeaderMap {
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
fn note_start(dispatcher: &RequestDispatcher) {
    if let Some(account) = &dispatcher.request.account {
        let wall_ms = dispatcher.state.wall_ms();
        dispatcher.state.usage_counter().note_start(wall_ms, account);
    }
}

/// Starts a task that relays a stream, and returns the response that carries the stream.
fn streamed_response(
    dispatcher: RequestDispatcher,
    response: EndpointResponse,
) -> Response<CallerBody> {
    let (frames, receiver) = mpsc::channel(FRAME_BUFFER);
    let headers = caller_headers(&dispatcher, &response.parts.headers);
    let status = response.parts.status;
    let last_event = dispatcher.request.last_event.clone();
    let framing = response.framing;
    let mark = CompletionMark::default();
    let body = StreamFrames::new(receiver, mark.clone());
    let relay = StreamRelay { dispatcher, frames, mark, framing, last_event, progress: None };
    tokio::spawn(relay.run(response));
    let mut response = Response::new(CallerBody::Stream(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// How the relay of one endpoint's stream ended.
#[derive(Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    /// The caller closed its connection.
    CallerGone,
    DeadlinePassed,
    /// The endpoint's stream was incomplete or invalid.
    Broken(Box<str>),
}

/// Relays a stream to the caller; if the route allows it, a broken stream is resumed at another
/// endpoint.
struct StreamRelay {
    dispatcher: RequestDispatcher,
    frames: mpsc::Sender<Result<Bytes, TruncatedResponse>>,
    mark: CompletionMark,
    /// Framing of the last response.
    framing: BodyFraming,
    /// Identifier of the last event that was sent to the caller; `None` if there is none.
    last_event: Option<Box<str>>,
    /// Statistics of the events sent to the caller; `None` before the first event.
    progress: Option<StreamProgress>,
}

/// Statistics of the events that were sent to the caller.
struct StreamProgress {
    events: u32,
    /// Time of the first event.
    first: TimePoint,
    /// Time of the last event.
    last: TimePoint,
    longest_pause: Duration,
}

impl StreamProgress {
    fn new(now: TimePoint) -> StreamProgress {
        StreamProgress { events: 0, first: now, last: now, longest_pause: Duration::ZERO }
    }

    fn note(&mut self, now: TimePoint, events: u32) {
        self.events = self.events.saturating_add(events);
        self.longest_pause = self.longest_pause.max(now.since(self.last));
        self.last = now;
    }
}

impl StreamRelay {
    async fn run(mut self, mut response: EndpointResponse) {
        loop {
            self.framing = response.framing;
            let end = self.relay_events(&mut response).await;
            let reason = match end {
                RelayEnd::Complete => {
                    let EndpointResponse { parts, head, framing, body, work } = response;
                    self.dispatcher.note_completed(framing, parts.status);
                    if !head.closes {
                        self.dispatcher.state.pool.put(&work.instance, body.connection);
                    }
                    self.mark.set();
                    return self.finish("served");
                }
                RelayEnd::CallerGone => return self.finish("caller_gone"),
                RelayEnd::DeadlinePassed => return self.abort("the deadline passed").await,
                RelayEnd::Broken(reason) => reason,
            };
            response = match self.resume(response, &reason).await {
                Some(response) => response,
                None => return self.abort(&reason).await,
            };
        }
    }

    /// Asks another endpoint to continue the stream after the last event that the caller received; it
    /// has the software version of the one that sent the events.
    ///
    /// Returns `None` if the request must not be sent again or if the other endpoint fails.
    async fn resume(&mut self, broken: EndpointResponse, reason: &str) -> Option<EndpointResponse> {
        let EndpointResponse { body, work, .. } = broken;
        // Dropping the body closes the connection, so that the endpoint stops its work.
        drop(body);
        let last_event = self.last_event.clone();
        self.dispatcher.await_retry_after_lost_response(&work, reason).await.ok()?;
        let before = work.instance.software.clone();
        if self.progress.is_some() {
            if !self.dispatcher.is_run_known(&work).await {
                return None;
            }
            self.dispatcher.continue_after(&work);
        }
        drop(work);
        let next = self.dispatcher.dispatch(last_event.as_deref()).await.ok()?;
        log::info!(
            target: part::REQUEST,
            request = &*self.dispatcher.request.id, endpoint = &*next.work.instance.name,
            version = &*next.work.instance.software, version_before = &*before,
            last_event = last_event.as_deref().unwrap_or("none"), reason = reason;
            "stream resumed"
        );
        next.parts.status.is_success().then_some(next)
    }

    async fn relay_events(&mut self, response: &mut EndpointResponse) -> RelayEnd {
        let limits = event_limits(&self.dispatcher.request.route);
        response.body.connection.limit_body(limits);
        let mut splitter = EventSplitter::default();
        let mut buffer = self.dispatcher.state.buffers.buffer();
        let time_left = self.dispatcher.request.time_left();
        let deadline = tokio::time::sleep(time_left);
        tokio::pin!(deadline);
        let mut forwarded_at = clock::now();
        loop {
            let frame = tokio::select! {
                biased;
                () = self.frames.closed() => return RelayEnd::CallerGone,
                frame = response.body.frame() => frame,
                () = buffer.evicted() => return RelayEnd::Broken(EVICTED.into()),
                () = &mut deadline => return RelayEnd::DeadlinePassed,
            };
            let data = match frame {
                None if splitter.is_within_event() => {
                    return RelayEnd::Broken("it ended within an event".into());
                }
                None => {
                    let is_whole = tokio::select! {
                        () = self.frames.closed() => return RelayEnd::CallerGone,
                        is_whole = self.dispatcher.is_whole(response.framing, &response.work) => is_whole,
                    };
                    if !is_whole {
                        return RelayEnd::Broken(ENDED_WITH_ENDPOINT.into());
                    }
                    return match splitter.take_blank() {
                        Some(blank) => {
                            self.forward(blank, deadline).await.unwrap_or(RelayEnd::Complete)
                        }
                        None => RelayEnd::Complete,
                    };
                }
                Some(Err(error)) => return self.broken(response, &error),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let events = splitter.push(&data);
            buffer.resize(splitter.held());
            let Some(mut events) = events else {
                let is_silent = clock::now().since(forwarded_at) >= MAX_SILENCE;
                if let Some(blank) = is_silent.then(|| splitter.take_blank()).flatten() {
                    forwarded_at = clock::now();
                    if let Some(end) = self.forward(blank, deadline.as_mut()).await {
                        return end;
                    }
                }
                continue;
            };
            response.body.connection.complete_part();
            forwarded_at = clock::now();
            let is_ordered = events.keep_ordered(self.last_event.as_deref());
            if events.count() > 0
                && let Some(end) = self.forward_events(response, events, deadline.as_mut()).await
            {
                return end;
            }
            if !is_ordered {
                self.dispatcher.state.metrics.note_disorder();
                return RelayEnd::Broken("it goes on at another event".into());
            }
        }
    }

    /// Notes complete events of `response` and sends them to the caller, as [`forward`](StreamRelay::forward) does.
    async fn forward_events(
        &mut self,
        response: &mut EndpointResponse,
        events: EventBatch,
        deadline: Pin<&mut Sleep>,
    ) -> Option<RelayEnd> {
        if self.progress.is_none() {
            self.dispatcher.note_first_event(&response.work);
        }
        self.note_events(events.count());
        response.work.started();
        if let Some(id) = events.last_id() {
            self.last_event = Some(id.into());
        }
        self.forward(events.bytes, deadline).await
    }

    /// Sends a part of the stream to the caller, and returns the end of the relay if this is not
    /// possible before the deadline.
    async fn forward(&self, part: Bytes, deadline: Pin<&mut Sleep>) -> Option<RelayEnd> {
        tokio::select! {
            sent = self.frames.send(Ok(part)) => sent.is_err().then_some(RelayEnd::CallerGone),
            () = deadline => Some(RelayEnd::DeadlinePassed),
        }
    }

    /// Returns the end of a stream whose connection failed.
    fn broken(&self, response: &EndpointResponse, error: &hyper::Error) -> RelayEnd {
        match response.body.connection.endless() {
            Some(endless) => {
                self.dispatcher.note_endless(&response.work.instance, endless);
                RelayEnd::Broken(endless.to_string().into())
            }
            None => RelayEnd::Broken(error.to_string().into()),
        }
    }

    fn note_events(&mut self, events: u32) {
        let now = clock::now();
        if self.progress.is_none() {
            note_start(&self.dispatcher);
        }
        self.progress.get_or_insert_with(|| StreamProgress::new(now)).note(now, events);
    }

    fn finish(&mut self, outcome: &'static str) {
        let request = &self.dispatcher.request;
        let progress = self.progress.as_ref();
        log::info!(
            target: part::REQUEST,
            request = &*request.id, route = &*request.route.name, outcome = outcome,
            sends = self.dispatcher.sends(), framing = self.framing.label(),
            events = progress.map_or(0, |progress| progress.events),
            first_ms = progress.map_or(-1, |progress| millis(progress.first.since(request.arrived))),
            pause_ms = progress.map_or(-1, |progress| millis(progress.longest_pause)),
            total_ms = millis(clock::now().since(request.arrived));
            "stream ended"
        );
        self.dispatcher.note_end(outcome);
    }

    /// Ends the stream with an error, so that the caller can detect the truncation.
    async fn abort(&mut self, reason: &str) {
        let request = &self.dispatcher.request;
        log::warn!(
            target: part::REQUEST,
            request = &*request.id, route = &*request.route.name, reason = reason,
            sends = self.dispatcher.sends(),
            last_event = self.last_event.as_deref().unwrap_or("none");
            "stream broken off"
        );
        self.finish("broken_off");
        // If the caller reads nothing within the timeout, the error follows what it has not read yet.
        let _ = tokio::time::timeout(ABORT_TIMEOUT, self.frames.send(Err(TruncatedResponse))).await;
    }
}

/// Maximum time to wait for a slow caller when a stream is aborted.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a response with `status` and without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::Empty);
    *response.status_mut() = status;
    response
}
