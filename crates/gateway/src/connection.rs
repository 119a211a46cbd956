//! One HTTP connection to an endpoint or to the platform.
//!
//! This module uses hyper's connection API directly. An HTTP client with its own pool reports
//! neither which connection carried a request nor whether any byte of the request left this host,
//! and the latter decides whether the request may be sent again.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
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
use pimentorock_kernel::{answer::AnswerLimits, time::TimePoint};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

use crate::{
    clock,
    metered_stream::{EndlessResponse, MAX_HEAD_BYTES, MeteredStream, ResponseMeter},
    run_statement::RunStatement,
};

/// Maximum time to open a connection. Hosts of a region are about a millisecond apart, and TCP
/// retransmits a lost first packet only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a connection to a server whose bytes are not acknowledged, or not read, is closed.
pub const SERVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a connection to a caller whose bytes are not acknowledged, or not read, is closed.
/// A caller may pause while it reads a long response.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which the first keepalive probe is sent.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between keepalive probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConnectionError {
    /// No connection was established, so nothing was sent.
    #[error("not connected: {0}")]
    Connect(Box<str>),
    /// The host refused the connection: no process listens at the address.
    #[error("not connected: connection refused")]
    Refused,
    /// The connection was closed before any byte of the request was written.
    #[error("closed before the request was written: {0}")]
    Unsent(hyper::Error),
    /// The connection was closed after bytes of the request may have been sent.
    #[error("lost: {0}")]
    Lost(hyper::Error),
    /// The head of the response has no end.
    #[error("{0}")]
    Endless(EndlessResponse),
}

impl ConnectionError {
    /// Reports whether no byte of the request left this host.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, ConnectionError::Lost(_) | ConnectionError::Endless(_))
    }
}

/// An HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<ResponseMeter>,
    task: AbortHandle,
    used: Instant,
    idle_limit: Option<Duration>,
    opened_at: TimePoint,
    run: RunStatement,
}

impl HttpConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if no connection is established within [`CONNECT_TIMEOUT`] or if a socket option
    /// cannot be set.
    pub async fn open(address: SocketAddr) -> Result<HttpConnection, ConnectionError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectionError::Refused);
            }
            Ok(Err(error)) => return Err(ConnectionError::Connect(error.to_string().into())),
            Err(_) => return Err(ConnectionError::Connect("timed out".into())),
        };
        configure_socket(&stream, SERVER_TIMEOUT)
            .map_err(|error| ConnectionError::Connect(error.to_string().into()))?;
        let meter = Arc::new(ResponseMeter::default());
        let stream = MeteredStream::new(stream, Arc::clone(&meter));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectionError::Unsent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("connection to {address} ended: {error}");
            }
        });
        let task = task.abort_handle();
        Ok(HttpConnection {
            sender,
            meter,
            task,
            used: Instant::now(),
            idle_limit: None,
            opened_at: clock::now(),
            run: RunStatement::Unasked,
        })
    }

    /// Returns the time at which the connection was established.
    pub(crate) fn opened_at(&self) -> TimePoint {
        self.opened_at
    }

    /// Returns what the server stated of its run on this connection.
    pub(crate) fn run(&self) -> RunStatement {
        self.run
    }

    /// Sets what the server stated of its run on this connection.
    pub(crate) fn set_run(&mut self, run: RunStatement) {
        self.run = run;
    }

    /// Reports whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Reports whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the time since the last request was sent or the last response was read to its end.
    pub fn idle(&self) -> Duration {
        self.used.elapsed()
    }

    /// Returns how long the server keeps the idle connection open, or `None` if the server has not
    /// stated a limit.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Sets how long the server keeps the idle connection open.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed before the head arrives, or if the head has no end; the
    /// error states whether any byte of the request may have been sent.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.used = Instant::now();
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::Unsent(error));
        }
        let meter = Arc::clone(&self.meter);
        hyper::ext::on_informational(&mut request, move |_| meter.note_provisional());
        self.meter.begin();
        let sent = self.sender.try_send_request(request).await;
        self.meter.end_head();
        sent.map_err(|mut failed| match (failed.take_message(), self.meter.fault()) {
            (Some(_), _) => ConnectionError::Unsent(failed.into_error()),
            (None, Some(fault)) => ConnectionError::Endless(fault),
            (None, None) => {
                let error = failed.into_error();
                match error.is_parse_too_large() {
                    true => ConnectionError::Endless(EndlessResponse::LongHead {
                        bytes: MAX_HEAD_BYTES,
                    }),
                    false => ConnectionError::Lost(error),
                }
            }
        })
    }

    /// Reports whether the connection has carried no request before the one that was sent last.
    pub fn is_first_use(&self) -> bool {
        self.meter.requests() <= 1
    }

    /// Limits the body of the response whose head has arrived. A body without end fails as if its
    /// connection was closed, and [`endless`](HttpConnection::endless) tells the reason.
    pub fn limit_body(&self, limits: AnswerLimits) {
        self.meter.limit_body(limits);
    }

    /// Notes a frame of the body, and reports whether the body may go on.
    pub fn note_frame(&self) -> bool {
        self.meter.note_frame()
    }

    /// Notes that a part of the body was complete in itself, such as an event; the limits apply to
    /// each part.
    pub fn complete_part(&self) {
        self.meter.complete_part();
    }

    /// Returns why the connection was closed, if its bytes had no end.
    pub fn endless(&self) -> Option<EndlessResponse> {
        self.meter.fault()
    }

    /// Restarts the idle time; called when the last response was read to its end.
    pub fn touch(&mut self) {
        self.meter.end();
        self.used = Instant::now();
    }
}

impl Drop for HttpConnection {
    /// Closes the connection immediately, so that the server stops working on the request.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Disables Nagle's algorithm, and sets the keepalive and user timeouts that close a connection
/// whose peer no longer answers, or reads nothing for the time `unread`.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn configure_socket(stream: &TcpStream, unread: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_PERIOD);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(unread))
}

/// The body of a response, together with the connection that it is read from.
#[derive(Debug)]
pub struct ConnectionBody {
    /// The connection; it is closed if it is dropped before the body was read to its end.
    pub connection: HttpConnection,
    body: Incoming,
}

impl ConnectionBody {
    /// Returns the body with its connection.
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
