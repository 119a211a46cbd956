//! Relaying of an endpoint's answer to the entry.

use std::io;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use pimentorock_kernel::{queue::QueueEvent, request::RunOutcome};
use poem::{Body, Response};
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    agent::run_guard::RunGuard,
    event_stream::{EventContent, EventReader, TokenUsage},
    run_header::{ATTEMPT_HEADER, RunHeader},
};

/// Number of chunks buffered for a slow entry before backpressure stops reading from the endpoint.
const CHUNK_CAPACITY: usize = 16;

/// Maximum number of bytes of a non-streamed answer that are buffered to count its tokens. A chunk
/// that would exceed the limit is relayed but not buffered.
const MAX_COUNTED_ANSWER_BYTES: usize = 64 << 20;

/// Headers that are not forwarded: those that apply to a single connection, and `content-length`,
/// because the body is sent in chunks.
const UNFORWARDED_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"];

/// Relays one answer and counts its tokens.
#[derive(Debug)]
pub(crate) struct AnswerRelay {
    header: RunHeader,
    guard: RunGuard,
    abort: CancellationToken,
    usage: TokenUsage,
}

impl AnswerRelay {
    /// Returns a relay for an attempt that the endpoint has started to answer.
    pub(crate) fn new(header: RunHeader, guard: RunGuard, abort: CancellationToken) -> AnswerRelay {
        AnswerRelay { header, guard, abort, usage: TokenUsage::default() }
    }

    /// Returns the answer for the entry and spawns a task that forwards the body.
    pub(crate) fn start(self, response: reqwest::Response, tracker: &TaskTracker) -> Response {
        let mut builder = Response::builder()
            .status(response.status())
            .header(ATTEMPT_HEADER, self.header.attempt_id());
        for (name, value) in response.headers() {
            if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
                builder = builder.header(name, value);
            }
        }
        let (sender, receiver) = mpsc::channel(CHUNK_CAPACITY);
        tracker.spawn(self.forward(response, sender));
        let chunks = futures::stream::unfold(receiver, async |mut receiver| {
            let chunk: io::Result<Bytes> = receiver.recv().await?;
            Some((chunk, receiver))
        });
        builder.body(Body::from_bytes_stream(chunks))
    }

    /// Forwards the chunks of the body to the entry and reports the outcome of the run.
    async fn forward(
        mut self,
        response: reqwest::Response,
        body_sender: mpsc::Sender<io::Result<Bytes>>,
    ) {
        let streamed = is_event_stream(&response);
        let mut chunks = response.bytes_stream();
        let mut reader = EventReader::new();
        let mut body = BytesMut::new();
        let mut done = false;
        let outcome = loop {
            let chunk = tokio::select! {
                biased;
                () = self.abort.cancelled() => break RunOutcome::Cancelled,
                () = body_sender.closed(), if !done => break RunOutcome::Cancelled,
                chunk = chunks.next() => chunk,
            };
            match chunk {
                Some(Ok(chunk)) => {
                    if streamed {
                        done |= self.count_chunk(&mut reader, &chunk).await;
                    } else if body.len() + chunk.len() <= MAX_COUNTED_ANSWER_BYTES {
                        body.extend_from_slice(&chunk);
                    }
                    if body_sender.send(Ok(chunk)).await.is_err() && !done {
                        break RunOutcome::Cancelled;
                    }
                }
                None if done || !streamed => break RunOutcome::Completed,
                Some(Err(_)) | None => break RunOutcome::Lost,
            }
        };
        if !streamed && outcome == RunOutcome::Completed {
            self.count_body(&body).await;
        }
        if outcome != RunOutcome::Completed {
            // Aborts the connection, so that the entry does not accept a truncated answer as
            // complete.
            let _ = body_sender.send(Err(io::Error::other("the endpoint's answer was cut"))).await;
        }
        self.guard.finish(outcome, self.usage);
    }

    /// Counts the tokens of a chunk, reports them to the queue, and returns whether the chunk
    /// contains the last event of the stream.
    async fn count_chunk(&mut self, reader: &mut EventReader, chunk: &Bytes) -> bool {
        let events = reader.push(chunk);
        let tokens = events.iter().filter(|event| event.content == EventContent::Token).count();
        self.usage.output += tokens as u64;
        self.report_progress(tokens as u32).await;
        for event in &events {
            if let EventContent::Usage(usage) = event.content {
                self.usage = usage;
            }
        }
        events.iter().any(|event| event.content == EventContent::Done)
    }

    /// Counts the tokens of a complete non-streamed answer and reports them to the queue.
    async fn count_body(&mut self, body: &[u8]) {
        let answer = serde_json::from_slice(body).unwrap_or_default();
        self.usage = TokenUsage::from_answer(&answer).unwrap_or_default();
        self.report_progress(self.usage.output as u32).await;
    }

    async fn report_progress(&self, tokens: u32) {
        if tokens > 0 {
            let request = self.guard.request();
            self.guard.driver().send_event(QueueEvent::Progress { request, tokens }).await;
        }
    }
}

fn is_event_stream(response: &reqwest::Response) -> bool {
    let kind = response.headers().get("content-type");
    kind.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
