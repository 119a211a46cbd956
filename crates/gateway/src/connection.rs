//! One connection to an endpoint or to the platform.
//!
//! A client with a pool of its own does not tell on which connection a request went and whether
//! any byte of it left this host, which decides whether the request may be sent again. So this
//! is the level below: hyper's connection.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

/// Longest time to open a connection; hosts of a region are about a millisecond apart, and the
/// first packet that is lost is sent again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which bytes that the other side did not acknowledge end the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time of silence after which the other side is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Largest head of an answer in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConnectionError {
    /// No connection came to be: nothing was sent.
    #[error("not connected: {0}")]
    Connect(Box<str>),
    /// The connection had ended before anything of the request was written to it.
    #[error("closed before the request was written: {0}")]
    Unsent(hyper::Error),
    /// The connection ended after some of the request may have been sent.
    #[error("lost: {0}")]
    Lost(hyper::Error),
}

impl ConnectionError {
    /// Returns whether nothing of the request left this host.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, ConnectionError::Lost(_))
    }
}

/// A connection that takes one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    used: Instant,
    idle_limit: Option<Duration>,
}

impl HttpConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if nobody answers within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<HttpConnection, ConnectionError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectionError::Connect(error.to_string().into())),
            Err(_) => return Err(ConnectionError::Connect("timed out".into())),
        };
        configure_socket(&stream)
            .map_err(|error| ConnectionError::Connect(error.to_string().into()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectionError::Unsent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("connection to {address} ended: {error}");
            }
        });
        let task = task.abort_handle();
        Ok(HttpConnection { sender, task, used: Instant::now(), idle_limit: None })
    }

    /// Returns whether the connection takes a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection takes no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the time since the last use.
    pub fn idle(&self) -> Duration {
        self.used.elapsed()
    }

    /// Returns the time that the other side keeps the connection open unused, if it said so.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Notes the time that the other side keeps the connection open unused.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before; the error tells whether anything was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.used = Instant::now();
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::Unsent(error));
        }
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            match failed.take_message() {
                Some(_) => ConnectionError::Unsent(failed.into_error()),
                None => ConnectionError::Lost(failed.into_error()),
            }
        })
    }

    /// Notes that the last answer was read to its end.
    pub fn touch(&mut self) {
        self.used = Instant::now();
    }
}

impl Drop for HttpConnection {
    /// Closes the connection at once, so that the other side stops its work.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes a connection that went silent end by itself.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_PERIOD);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// The body of an answer together with its connection.
#[derive(Debug)]
pub struct ConnectionBody {
    /// The connection; it closes if it is dropped with the body unread.
    pub connection: HttpConnection,
    body: Incoming,
}

impl ConnectionBody {
    /// Joins a body to its connection.
    pub fn new(connection: HttpConnection, body: Incoming) -> ConnectionBody {
        ConnectionBody { connection, body }
    }
}

impl Body for ConnectionBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
