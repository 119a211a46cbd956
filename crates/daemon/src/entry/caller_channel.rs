//! The channel through which the answer to one request reaches the caller's connection.

use std::io;

use bytes::Bytes;
use poem::http::StatusCode;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{entry::api_error::ApiError, state::HeldAnswer};

/// Number of chunks buffered for a slow caller before backpressure stops reading from the
/// endpoint.
const CHUNK_CAPACITY: usize = 16;

/// Status, headers and body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
    pub(crate) body: AnswerBody,
}

/// The body that belongs to an [`AnswerHead`].
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body.
    Complete(Bytes),
    /// Chunks of a streamed body; an error aborts the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

/// Sends the answer to one caller: either a head followed by chunks, or an error.
#[derive(Debug)]
pub(crate) struct CallerChannel {
    head: Option<oneshot::Sender<Result<AnswerHead, ApiError>>>,
    chunks: Option<mpsc::Sender<io::Result<Bytes>>>,
    disconnected: CancellationToken,
    captured: Option<HeldAnswer>,
    capturing: bool,
    /// Whether the whole answer was passed on.
    complete: bool,
}

impl CallerChannel {
    /// Returns a channel whose token `disconnected` is cancelled when the caller disconnects.
    pub(crate) fn new(
        head: oneshot::Sender<Result<AnswerHead, ApiError>>,
        disconnected: CancellationToken,
    ) -> CallerChannel {
        CallerChannel {
            head: Some(head),
            chunks: None,
            disconnected,
            captured: None,
            capturing: false,
            complete: false,
        }
    }

    /// Starts to record a copy of the answer that is sent to the caller.
    pub(crate) fn capture(&mut self) {
        self.capturing = true;
    }

    /// Takes the recorded copy of the answer; `None` if the answer is not complete.
    pub(crate) fn take_captured(&mut self) -> Option<HeldAnswer> {
        self.captured.take().filter(|_| self.complete)
    }

    /// Notes that the whole answer was passed on. A caller that has it may disconnect at any time.
    pub(crate) fn note_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether a part of an answer was already sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected.is_cancelled()
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn disconnected(&self) {
        self.disconnected.cancelled().await;
    }

    /// Sends a complete answer.
    pub(crate) fn answer(
        &mut self,
        status: StatusCode,
        headers: Vec<(Box<str>, Box<str>)>,
        body: Bytes,
    ) {
        if self.capturing {
            let (status, headers, body) = (status.as_u16(), headers.clone(), body.to_vec());
            self.captured = Some(HeldAnswer { status, headers, body });
        }
        self.complete = true;
        if let Some(head) = self.head.take() {
            // The send fails if the caller has disconnected, in which case the request was already
            // cancelled.
            let _ = head.send(Ok(AnswerHead { status, headers, body: AnswerBody::Complete(body) }));
        }
    }

    /// Sends a chunk, preceded by the head if no chunk was sent before.
    ///
    /// Returns `false` if the caller has disconnected.
    pub(crate) async fn send(
        &mut self,
        status: StatusCode,
        headers: &[(Box<str>, Box<str>)],
        chunk: Bytes,
    ) -> bool {
        if self.capturing {
            let held = self.captured.get_or_insert_with(|| HeldAnswer {
                status: status.as_u16(),
                headers: headers.to_vec(),
                body: Vec::new(),
            });
            held.body.extend_from_slice(&chunk);
        }
        if let Some(head) = self.head.take() {
            let (sender, receiver) = mpsc::channel(CHUNK_CAPACITY);
            let body = AnswerBody::Stream(receiver);
            if head.send(Ok(AnswerHead { status, headers: headers.to_vec(), body })).is_err() {
                return false;
            }
            self.chunks = Some(sender);
        }
        match &self.chunks {
            Some(chunks) => chunks.send(Ok(chunk)).await.is_ok(),
            None => false,
        }
    }

    /// Ends the answer with an error.
    ///
    /// The error is the entire answer if nothing was sent yet, otherwise the last event of the
    /// stream.
    pub(crate) async fn fail(&mut self, error: &ApiError) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error.clone()));
            return;
        }
        if let Some(chunks) = self.chunks.take() {
            let event = format!("data: {}\n\n", error.body());
            let _ = chunks.send(Ok(Bytes::from(event))).await;
            // Callers that do not parse events detect the error by the missing end of the body.
            let _ = chunks.send(Err(io::Error::other(error.code()))).await;
        }
    }
}
