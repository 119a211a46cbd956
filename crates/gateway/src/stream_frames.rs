//! The frames of a streamed body, on their way to the caller.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::relay::TruncatedResponse;

/// A frame of a streamed body, or the error that ends it.
type StreamFrame = Result<Bytes, TruncatedResponse>;

/// Marks a streamed body as complete; a body that ends without the mark ends with an error.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionMark(Arc<AtomicBool>);

impl CompletionMark {
    /// Notes that all frames were sent.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The receiving end of a streamed body.
#[derive(Debug)]
pub(crate) struct StreamFrames {
    frames: mpsc::Receiver<StreamFrame>,
    mark: CompletionMark,
}

impl StreamFrames {
    /// Returns the body of the frames that come, which is complete once `mark` is set.
    pub(crate) fn new(frames: mpsc::Receiver<StreamFrame>, mark: CompletionMark) -> StreamFrames {
        StreamFrames { frames, mark }
    }

    /// Returns the next frame, an error if the sender is gone without the mark, or `None` at the end.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<StreamFrame>> {
        self.frames.poll_recv(cx).map(|frame| match frame {
            None if !self.mark.is_set() => Some(Err(TruncatedResponse)),
            frame => frame,
        })
    }
}
