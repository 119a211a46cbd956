//! A TCP connection that counts the bytes it transfers.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Shared counter of the bytes transferred on all connections to and from peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteCount {
    bytes: Arc<AtomicU64>,
}

impl ByteCount {
    /// Returns the total number of bytes sent and received.
    pub(crate) fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A TCP connection that counts the bytes it transfers.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    count: ByteCount,
}

impl CountedStream {
    /// Returns a connection that adds the bytes it transfers to `count`.
    pub(crate) fn new(stream: TcpStream, count: ByteCount) -> CountedStream {
        CountedStream { stream, count }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.count.add(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.count.add(*written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
