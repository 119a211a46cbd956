//! The way back to one caller.

use std::io;

use bytes::Bytes;
use poem::http::StatusCode;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{entry::api_error::ApiError, state::HeldAnswer};

/// Chunks that wait for a slow caller before the endpoint's stream is held back.
const CHUNK_CAPACITY: usize = 16;

/// What the caller gets first.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
    pub(crate) body: AnswerBody,
}

/// The body behind an [`AnswerHead`].
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Chunks as they come; an error ends the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

/// The way back to one caller: one head, then chunks, or one error.
#[derive(Debug)]
pub(crate) struct CallerChannel {
    head: Option<oneshot::Sender<Result<AnswerHead, ApiError>>>,
    chunks: Option<mpsc::Sender<io::Result<Bytes>>>,
    disconnected: CancellationToken,
    captured: Option<HeldAnswer>,
    capturing: bool,
}

impl CallerChannel {
    /// Returns a channel; `gone` is cancelled when the caller hangs up.
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
        }
    }

    /// Keeps a copy of what is sent from now on.
    pub(crate) fn capture(&mut self) {
        self.capturing = true;
    }

    /// Returns the copy of what was sent.
    pub(crate) fn take_captured(&mut self) -> Option<HeldAnswer> {
        self.captured.take()
    }

    /// Returns whether the caller has seen a part of an answer.
    pub(crate) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Returns whether the caller has hung up.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected.is_cancelled()
    }

    /// Waits until the caller hangs up.
    pub(crate) async fn disconnected(&self) {
        self.disconnected.cancelled().await;
    }

    /// Answers with a whole body.
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
        if let Some(head) = self.head.take() {
            // A caller that has gone takes no answer; its work was cancelled by then.
            let _ = head.send(Ok(AnswerHead { status, headers, body: AnswerBody::Whole(body) }));
        }
    }

    /// Sends a chunk, with the head before the first one; returns `false` once the caller is gone.
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

    /// Ends with an error: as the whole answer, or as the last event of a stream.
    pub(crate) async fn fail(&mut self, error: &ApiError) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error.clone()));
            return;
        }
        if let Some(chunks) = self.chunks.take() {
            let event = format!("data: {}\n\n", error.body());
            let _ = chunks.send(Ok(Bytes::from(event))).await;
            // The missing end of the body tells callers that read no events.
            let _ = chunks.send(Err(io::Error::other(error.code()))).await;
        }
    }
}
