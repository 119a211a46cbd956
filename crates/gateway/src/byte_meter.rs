//! Calls that end once no byte arrives, however long they take as a whole.

use std::{
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

/// Number of bytes in a period of silence below which a call counts as silent, so that one whose bytes come
/// singly ends.
const LEAST_BYTES: u64 = 1_024;

/// Counts the bytes of a connection, or of calls of one kind.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter(Arc<AtomicU64>);

impl ByteMeter {
    /// Returns a meter that has counted nothing.
    pub fn new() -> ByteMeter {
        ByteMeter::default()
    }

    /// Counts `bytes` more.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns the result of `call`, or `None` once next to nothing was counted for the time `silence`.
    pub async fn until_silent<T>(
        &self,
        silence: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let mut call = pin!(call);
        let mut counted = self.bytes();
        loop {
            if let Ok(result) = timeout(silence, &mut call).await {
                return Some(result);
            }
            let now = self.bytes();
            if now - counted < LEAST_BYTES {
                return None;
            }
            counted = now;
        }
    }
}

/// A connection whose bytes are counted in both directions.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    meter: ByteMeter,
}

impl CountedStream {
    /// Returns `stream`, whose bytes `meter` counts.
    pub(crate) fn new(stream: TcpStream, meter: ByteMeter) -> CountedStream {
        CountedStream { stream, meter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.meter.add(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.add(*written);
        }
        polled
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
