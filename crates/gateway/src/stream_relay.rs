//! Relays a stream of events to the caller; a stream that breaks off goes on at another endpoint.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use pimentorock_kernel::time::TimePoint;
use tokio::{sync::mpsc, time::Sleep};

use crate::{
    body_framing::BodyFraming,
    clock,
    dispatcher::RequestDispatcher,
    endpoint_response::EndpointResponse,
    event_splitter::{EventBatch, EventSplitter},
    logs::part,
    relay::{
        CallerBody, ENDED_WITH_ENDPOINT, EVICTED, TruncatedResponse, caller_headers, event_limits,
        millis, note_start,
    },
    stream_form::{FormMismatch, StreamForm},
    stream_frames::{CompletionMark, StreamFrames},
};

/// Number of stream frames that are buffered for a slow caller.
const FRAME_BUFFER: usize = 8;

/// Time after which a caller gets the comments of a stream although no event follows, so that its
/// connection is kept.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// Maximum size in bytes of the comments that a caller gets then. An endpoint that keeps a connection sends a few
/// of them; more are bytes without end.
const MAX_KEPT_BYTES: usize = 4 << 10;

/// Maximum time to wait for a slow caller when a stream is aborted.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a task that relays a stream of this form, and returns the response that carries the stream.
pub(crate) fn streamed_response(
    dispatcher: RequestDispatcher,
    response: EndpointResponse,
    form: StreamForm,
) -> Response<CallerBody> {
    let (frames, receiver) = mpsc::channel(FRAME_BUFFER);
    let headers = caller_headers(&dispatcher, &response.parts.headers);
    let status = response.parts.status;
    let last_event = dispatcher.request.last_event.clone();
    let framing = response.framing;
    let mark = CompletionMark::default();
    let body = StreamFrames::new(receiver, mark.clone());
    let progress = None;
    let relay = StreamRelay { dispatcher, frames, mark, form, framing, last_event, progress };
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
    /// The entry stops.
    Stopping,
    /// The endpoint's stream was incomplete or invalid.
    Broken(Box<str>),
}

/// Relays a stream to the caller; if the route allows it, a broken stream is resumed at another
/// endpoint.
struct StreamRelay {
    dispatcher: RequestDispatcher,
    frames: mpsc::Sender<Result<Bytes, TruncatedResponse>>,
    mark: CompletionMark,
    /// What the head that the caller has says of the stream.
    form: StreamForm,
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
        let state = Arc::clone(&self.dispatcher.state);
        let mut resumed = false;
        loop {
            self.framing = response.framing;
            let end = tokio::select! {
                end = self.relay_events(&mut response, resumed) => end,
                () = state.planned_stop.answers_due() => RelayEnd::Stopping,
            };
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
                RelayEnd::Stopping => return self.abort("the entry stops").await,
                RelayEnd::Broken(reason) => reason,
            };
            let frames = self.frames.clone();
            let next = tokio::select! {
                next = self.resume(response, &reason) => next,
                // Dropping the take-up closes its connection, so that the endpoint stops its work.
                () = frames.closed() => return self.finish("caller_gone"),
                () = state.planned_stop.answers_due() => None,
            };
            response = match next {
                Some(response) => response,
                None => return self.abort(&reason).await,
            };
            resumed = true;
        }
    }

    /// Asks other endpoints to continue the stream after the last event that the caller received; they
    /// have the software version of the one that sent the events.
    ///
    /// Returns `None` if the request must not be sent again or if no answer continues the stream.
    async fn resume(&mut self, broken: EndpointResponse, reason: &str) -> Option<EndpointResponse> {
        let EndpointResponse { body, work, .. } = broken;
        // Dropping the body closes the connection, so that the endpoint stops its work.
        drop(body);
        let last_event = self.last_event.clone();
        self.dispatcher.await_retry_after_lost_response(&work, reason).await.ok()?;
        let before = work.instance.software.clone();
        if self.progress.is_some() {
            // Without identifiers nothing tells which events the caller has.
            if last_event.is_none() || !self.dispatcher.is_run_known(&work).await {
                return None;
            }
            self.dispatcher.continue_after(&work);
        }
        drop(work);
        loop {
            let next = self.dispatcher.dispatch(last_event.as_deref()).await.ok()?;
            if let Some(mismatch) = self.form.mismatch(&next.parts) {
                self.note_mismatch(&next, mismatch);
                let EndpointResponse { body, work, .. } = next;
                drop(body);
                let reason = mismatch.to_string();
                self.dispatcher.await_retry_after_other_answer(&work, &reason).await.ok()?;
                continue;
            }
            log::info!(
                target: part::REQUEST,
                request = &*self.dispatcher.request.id, endpoint = &*next.work.instance.name,
                version = &*next.work.instance.software, version_before = &*before,
                last_event = last_event.as_deref().unwrap_or("none"), reason = reason;
                "stream resumed"
            );
            return Some(next);
        }
    }

    /// Logs and counts an answer that does not continue the stream.
    fn note_mismatch(&self, answer: &EndpointResponse, mismatch: FormMismatch) {
        log::warn!(
            target: part::REQUEST,
            request = &*self.dispatcher.request.id, endpoint = &*answer.work.instance.name,
            status = answer.parts.status.as_u16(), reason = mismatch.to_string();
            "answer does not continue the stream"
        );
        self.dispatcher.state.metrics.note_resumed("refused", mismatch.label());
    }

    /// Relays the events of an answer; `resumed` is true if it was to continue the stream of another one.
    async fn relay_events(&mut self, response: &mut EndpointResponse, resumed: bool) -> RelayEnd {
        let limits = event_limits(&self.dispatcher.request.route);
        response.body.connection.limit_body(limits);
        let mut splitter = EventSplitter::default();
        let mut buffer = self.dispatcher.state.buffers.buffer();
        let time_left = self.dispatcher.request.time_left();
        let deadline = tokio::time::sleep(time_left);
        tokio::pin!(deadline);
        let mut forwarded_at = clock::now();
        // Whether the answer has shown that it is the stream which the caller knows.
        let mut is_proven = !resumed;
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
                // The stream was not complete at the endpoint before, and an empty answer does not tell that
                // it is complete now.
                None if !is_proven => {
                    self.dispatcher.state.metrics.note_resumed("refused", "no_event");
                    return RelayEnd::Broken("the answer brought no event".into());
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
                let is_kept = is_silent && is_proven && splitter.held() <= MAX_KEPT_BYTES;
                if let Some(blank) = is_kept.then(|| splitter.take_blank()).flatten() {
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
            if events.count() > 0 && !is_proven {
                is_proven = true;
                self.dispatcher.state.metrics.note_resumed("continued", "event");
            }
            if events.count() > 0
                && let Some(end) = self.forward_events(response, events, deadline.as_mut()).await
            {
                return end;
            }
            if !is_ordered {
                self.dispatcher.state.metrics.note_disorder();
                if !is_proven {
                    self.dispatcher.state.metrics.note_resumed("refused", "event");
                }
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
