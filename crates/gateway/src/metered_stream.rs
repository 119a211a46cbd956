//! A TCP stream that fails if the bytes of a response do not become one.

use std::{
    fmt,
    io::{Error, ErrorKind},
    pin::Pin,
    sync::{Arc, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};

use pimentorock_kernel::answer::{AnswerFault, AnswerLimits, AnswerProgress};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::{clock, state_lock::StateLock};

/// Maximum number of bytes until the end of a response head, with all provisional responses before
/// it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum time from the first byte of a head to its end. A server sends a head at once; TCP
/// retransmits a lost packet within a second or two.
const MAX_HEAD_TIME: Duration = Duration::from_secs(3);

/// Maximum number of provisional responses to one request.
const MAX_PROVISIONAL: u32 = 16;

/// Why the bytes of a response are taken for bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessResponse {
    /// The head has too many bytes.
    LongHead {
        /// Bytes that arrived.
        bytes: usize,
    },
    /// The head takes too long from its first byte.
    SlowHead {
        /// Bytes that arrived.
        bytes: usize,
    },
    /// The body, or the event that has begun, has no end.
    Body(AnswerFault),
}

impl EndlessResponse {
    /// Returns the name of the part without end in logs and metrics.
    pub fn part(self) -> &'static str {
        match self {
            EndlessResponse::LongHead { .. } | EndlessResponse::SlowHead { .. } => "head",
            EndlessResponse::Body(_) => "body",
        }
    }

    /// Returns the number of bytes that arrived.
    pub fn bytes(self) -> u64 {
        match self {
            EndlessResponse::LongHead { bytes } | EndlessResponse::SlowHead { bytes } => {
                bytes as u64
            }
            EndlessResponse::Body(fault) => fault.bytes(),
        }
    }
}

impl fmt::Display for EndlessResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndlessResponse::LongHead { bytes } => {
                write!(f, "no end of the head after {bytes} bytes")
            }
            EndlessResponse::SlowHead { bytes } => {
                write!(f, "no end of the head after {bytes} bytes that arrived a few at a time")
            }
            EndlessResponse::Body(fault) => write!(f, "{fault}"),
        }
    }
}

/// A head that a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AwaitedHead {
    /// Number of the request on its connection.
    request: u32,
    /// Number of provisional responses to the request so far.
    provisional: u32,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default)]
enum ResponsePhase {
    /// No request was sent, or its response has ended.
    #[default]
    Idle,
    /// The head of a response, of which so many bytes have arrived, with those of provisional
    /// responses.
    Head { head: AwaitedHead, bytes: usize },
    /// The body of a response.
    Body(AnswerProgress),
}

#[derive(Debug, Default)]
struct MeterState {
    phase: ResponsePhase,
    /// Number of requests that were sent.
    requests: u32,
    fault: Option<EndlessResponse>,
}

/// Follows the bytes of the response that a connection waits for; shared by the connection and its
/// stream.
#[derive(Debug, Default)]
pub(crate) struct ResponseMeter {
    state: StateLock<MeterState>,
}

impl ResponseMeter {
    /// Notes that a request is about to be sent.
    pub(crate) fn begin(&self) {
        let mut state = self.lock();
        state.requests += 1;
        let head = AwaitedHead { request: state.requests, provisional: 0 };
        state.phase = ResponsePhase::Head { head, bytes: 0 };
    }

    /// Notes that a provisional response has arrived.
    pub(crate) fn note_provisional(&self) {
        if let ResponsePhase::Head { head, .. } = &mut self.lock().phase {
            head.provisional += 1;
        }
    }

    /// Notes that the head has arrived; the body is not limited until
    /// [`limit_body`](ResponseMeter::limit_body).
    pub(crate) fn end_head(&self) {
        self.lock().phase = ResponsePhase::Idle;
    }

    /// Limits the body that follows the head.
    pub(crate) fn limit_body(&self, limits: AnswerLimits) {
        self.lock().phase = ResponsePhase::Body(AnswerProgress::new(limits));
    }

    /// Notes that a part of the body was complete in itself, such as an event.
    pub(crate) fn complete_part(&self) {
        if let ResponsePhase::Body(progress) = &mut self.lock().phase {
            progress.complete();
        }
    }

    /// Notes a frame of the body, and reports whether the body may go on.
    pub(crate) fn note_frame(&self) -> bool {
        let mut state = self.lock();
        let ResponsePhase::Body(progress) = &mut state.phase else { return true };
        let fault = progress.note_frame().err();
        state.fault = fault.map(EndlessResponse::Body).or(state.fault);
        fault.is_none()
    }

    /// Notes that the response has ended.
    pub(crate) fn end(&self) {
        self.lock().phase = ResponsePhase::Idle;
    }

    /// Returns the number of requests that were sent.
    pub(crate) fn requests(&self) -> u32 {
        self.lock().requests
    }

    /// Returns why the stream failed, if it failed because of bytes without end.
    pub(crate) fn fault(&self) -> Option<EndlessResponse> {
        self.lock().fault
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock()
    }

    /// Notes bytes that arrived, and returns the head that they belong to, if any.
    fn note_arrival(&self, arrived: usize) -> Result<Option<AwaitedHead>, Error> {
        let mut state = self.lock();
        let (awaited, fault) = match &mut state.phase {
            ResponsePhase::Idle => (None, None),
            ResponsePhase::Head { head, bytes } => {
                *bytes += arrived;
                let too_long = *bytes > MAX_HEAD_BYTES || head.provisional > MAX_PROVISIONAL;
                let fault = EndlessResponse::LongHead { bytes: *bytes };
                (Some(*head), too_long.then_some(fault))
            }
            ResponsePhase::Body(progress) => {
                let noted = progress.note(clock::now(), arrived);
                (None, noted.err().map(EndlessResponse::Body))
            }
        };
        match fault {
            Some(fault) => Err(state.fail(fault)),
            None => Ok(awaited),
        }
    }

    /// Notes that a head takes too long; does nothing if it has arrived meanwhile.
    fn fail_slow_head(&self, slow: AwaitedHead) -> Option<Error> {
        let mut state = self.lock();
        match state.phase {
            ResponsePhase::Head { head, bytes } if head == slow => {
                Some(state.fail(EndlessResponse::SlowHead { bytes }))
            }
            _ => None,
        }
    }
}

impl MeterState {
    fn fail(&mut self, fault: EndlessResponse) -> Error {
        self.fault = Some(fault);
        Error::new(ErrorKind::InvalidData, fault.to_string())
    }
}

/// A TCP stream with a [`ResponseMeter`].
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ResponseMeter>,
    /// Time by which a head that has begun must end.
    head_timer: Option<(Pin<Box<Sleep>>, AwaitedHead)>,
}

impl MeteredStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream, meter: Arc<ResponseMeter>) -> MeteredStream {
        MeteredStream { stream, meter, head_timer: None }
    }

    /// Fails if the head has no end although no byte arrives now.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<Error> {
        let Some((timer, head)) = &mut self.head_timer else { return Poll::Pending };
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let head = *head;
        self.head_timer = None;
        self.meter.fail_slow_head(head).map_or(Poll::Pending, Poll::Ready)
    }

    /// Starts the timer at the first byte of a head, also of one that follows a provisional
    /// response.
    fn update_timer(&mut self, awaited: Option<AwaitedHead>) {
        let running = self.head_timer.as_ref().map(|(_, head)| *head);
        if running != awaited {
            self.head_timer = awaited.map(|head| (Box::pin(sleep(MAX_HEAD_TIME)), head));
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Ready(Ok(())) => {
                let arrived = buffer.filled().len() - filled;
                if arrived == 0 {
                    return Poll::Ready(Ok(()));
                }
                let noted = self.meter.note_arrival(arrived);
                Poll::Ready(noted.map(|awaited| self.update_timer(awaited)))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_overdue(cx).map(Err),
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
