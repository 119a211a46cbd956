//! Accepts callers' connections and reads their requests.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use pimentorock_kernel::time::TimePoint;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    acceptor::accept_connections,
    caller_request::CallerRequest,
    clock, connection,
    dispatcher::RequestDispatcher,
    fleet_config::{CallerLimits, RouteSpec},
    logs::part,
    message_buffers::{HeldMessage, MessageBuffer},
    relay::{self, CallerBody, empty_response},
    route_table::RouteTable,
    shared_view::{age_ms, reader_name},
    state::GatewayState,
};

/// Limits that apply until the first configuration is known.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Delay in the retry header while the entry has no configuration, does not know the suspects yet, or
/// has no memory left for messages.
const UNPREPARED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Delay in the retry header while the entry stops. Another entry takes the caller's next connection.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum number of connections in the accept queue of a listening socket.
pub(crate) const LISTEN_BACKLOG: u32 = 1024;

/// Counts the requests in progress on one connection.
#[derive(Debug, Default)]
struct ConnectionActivity {
    /// Requests in progress.
    active: AtomicU32,
    /// Notified whenever a request begins or ends.
    changed: Notify,
}

/// Counts a request as in progress until the guard is dropped.
struct RequestGuard(Arc<ConnectionActivity>);

impl RequestGuard {
    fn new(activity: &Arc<ConnectionActivity>) -> RequestGuard {
        activity.active.fetch_add(1, Ordering::Relaxed);
        activity.changed.notify_one();
        RequestGuard(Arc::clone(activity))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
        self.0.changed.notify_one();
    }
}

/// Accepts connections until `stop` is cancelled.
///
/// Each connection is a task of `tracker`. It also observes `stop`, finishes the request in
/// progress and then closes.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
    tracker: TaskTracker,
) {
    let spawn_connection = |stream| {
        tracker.spawn(serve_connection(Arc::clone(&state), stream, stop.clone()));
    };
    accept_connections(listener, connection::CALLER_TIMEOUT, stop.clone(), spawn_connection).await;
}

async fn serve_connection(state: Arc<GatewayState>, stream: TcpStream, stop: CancellationToken) {
    let activity = Arc::new(ConnectionActivity::default());
    let limits = limits(&state);
    let service = service_fn({
        let state = Arc::clone(&state);
        let activity = Arc::clone(&activity);
        move |request| {
            let guard = RequestGuard::new(&activity);
            let state = Arc::clone(&state);
            async move {
                let response = handle_request(&state, request).await;
                Ok::<_, Infallible>(finish_response(&state, response, guard))
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's timer for the head also covers the idle time before the head.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut draining = false;
    loop {
        let idle = idle_time(&state, &activity);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::trace!("caller's connection ended: {error}");
                }
                return;
            }
            () = activity.changed.notified() => {}
            () = stop.cancelled(), if !draining => {
                draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(idle), if !draining => {
                if activity.active.load(Ordering::Relaxed) == 0 {
                    draining = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Returns how long to wait before checking whether the connection is idle and should be closed.
fn idle_time(state: &GatewayState, activity: &ConnectionActivity) -> Duration {
    if activity.active.load(Ordering::Relaxed) > 0 {
        return Duration::from_secs(60);
    }
    limits(state).idle_time
}

fn limits(state: &GatewayState) -> CallerLimits {
    state.routes.load().as_ref().map_or(INITIAL_LIMITS, |routes| routes.limits())
}

/// Asks the caller to close the connection if the entry is draining, and counts the request as in
/// progress until its response body is dropped.
fn finish_response(
    state: &GatewayState,
    response: Response<CallerBody>,
    guard: RequestGuard,
) -> Response<GuardedBody> {
    let mut response = response.map(|body| GuardedBody { body, _guard: guard });
    if state.planned_stop.has_begun() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A response body that counts its request as in progress until the body is dropped.
struct GuardedBody {
    body: CallerBody,
    _guard: RequestGuard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = relay::TruncatedResponse;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Bytes>, relay::TruncatedResponse>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Handles one request and returns its response.
async fn handle_request(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let Some(routes) = state.routes.load_full().filter(|_| state.knows_fleet()) else {
        return reject_unconfigured(state);
    };
    let head = (state.codec.caller_head)(&parts.headers);
    let Some(route) = find_route(&routes, &parts).cloned() else {
        return reject(state, &head.id, StatusCode::NOT_FOUND, "no route", routes.version());
    };
    let key = head.key.as_deref().filter(|key| !state.view().configs.withdraws(key));
    let account = key.and_then(|key| routes.account(key)).cloned();
    if routes.needs_key() && !route.public && account.is_none() {
        let status = StatusCode::UNAUTHORIZED;
        return reject(state, &head.id, status, "unknown key", routes.version());
    }
    let time_left = head.time_left.unwrap_or(route.timeout).min(route.timeout);
    if state.planned_stop.turns_away(arrived, time_left) {
        return reject_stopping(state, &head.id, "head", time_left);
    }
    let buffer = state.buffers.buffer();
    let reading = read_body(body, routes.limits(), time_left, buffer);
    let body = tokio::select! {
        body = reading => body,
        () = state.planned_stop.answers_due() => Err(BodyFault::Stopping),
    };
    let body = match body {
        Ok(body) => body,
        Err(BodyFault::Evicted) => return reject_evicted(state, &head.id),
        Err(BodyFault::Stopping) => {
            return reject_stopping(state, &head.id, "body", Duration::ZERO);
        }
        Err(BodyFault::Rejected(status)) => {
            let version = routes.version();
            return reject(state, &head.id, status, "body not read", version);
        }
    };
    let now = clock::now();
    let time_left = now.until(arrived + time_left);
    if state.planned_stop.turns_away(now, time_left) {
        return reject_stopping(state, &head.id, "body", time_left);
    }
    let service = pick_service(&route, arrived);
    let mut request = CallerRequest::new(parts, body, head, route, service, arrived);
    if let Some(account) = account.filter(|_| routes.needs_key()) {
        request = request.with_account(account.name, account.tier);
    }
    relay::respond(RequestDispatcher::new(Arc::clone(state), request)).await
}

fn find_route<'a>(routes: &'a RouteTable, parts: &request::Parts) -> Option<&'a RouteSpec> {
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.authority()?.as_str(),
    };
    routes.route(host, parts.uri.path())
}

/// Picks the service for a request at random, by the route's weights.
fn pick_service(route: &RouteSpec, arrived: TimePoint) -> Box<str> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    // Hashed arrival times in microseconds are distributed evenly enough over the weights.
    let mut draw = arrived.as_micros().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    draw %= total.max(1);
    for (name, weight) in &route.services {
        if draw < u64::from(*weight) {
            return name.clone();
        }
        draw -= u64::from(*weight);
    }
    route.services.first().map(|(name, _)| name.clone()).unwrap_or_default()
}

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFault {
    /// The body breaks a limit or did not arrive; the status tells which.
    Rejected(StatusCode),
    /// Messages need more memory than they may have.
    Evicted,
    /// The entry stops before the body has come.
    Stopping,
}

async fn read_body(
    body: Incoming,
    limits: CallerLimits,
    time_left: Duration,
    buffer: MessageBuffer,
) -> Result<HeldMessage, BodyFault> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(BodyFault::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let reading = collect_body(Limited::new(body, limits.body_bytes), buffer);
    match tokio::time::timeout(time_left, reading).await {
        Ok(read) => read,
        Err(_) => Err(BodyFault::Rejected(StatusCode::REQUEST_TIMEOUT)),
    }
}

async fn collect_body(
    mut body: Limited<Incoming>,
    mut buffer: MessageBuffer,
) -> Result<HeldMessage, BodyFault> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.evicted() => return Err(BodyFault::Evicted),
        };
        match frame {
            None => return Ok(HeldMessage::new(bytes.freeze(), buffer)),
            Some(Ok(frame)) => {
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
                buffer.resize(bytes.capacity());
            }
            Some(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(BodyFault::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
            }
            Some(Err(_)) => return Err(BodyFault::Rejected(StatusCode::BAD_REQUEST)),
        }
    }
}

/// Refuses a request whose body does not fit into the memory for messages.
fn reject_evicted(state: &GatewayState, id: &Option<Box<str>>) -> Response<CallerBody> {
    log::warn!(
        target: part::REQUEST,
        request = id.as_deref().unwrap_or("none"), used_bytes = state.buffers.used();
        "request refused: messages need more memory than they may have"
    );
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    (state.codec.retry_after)(response.headers_mut(), UNPREPARED_RETRY_AFTER);
    state.metrics.note_request("none", "refused");
    response
}

/// Refuses a request that may not be answered before the entry stops, when its `phase` has come.
fn reject_stopping(
    state: &GatewayState,
    id: &Option<Box<str>>,
    phase: &str,
    time_left: Duration,
) -> Response<CallerBody> {
    log::info!(
        target: part::REQUEST,
        request = id.as_deref().unwrap_or("none"), phase = phase,
        time_left_ms = time_left.as_millis() as u64,
        stop_ms = state.planned_stop.until_due(clock::now()).as_millis() as u64;
        "request refused: the entry stops"
    );
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    (state.codec.retry_after)(response.headers_mut(), STOPPING_RETRY_AFTER);
    state.metrics.note_request("none", "refused_at_stop");
    response
}

fn reject_unconfigured(state: &GatewayState) -> Response<CallerBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    (state.codec.retry_after)(response.headers_mut(), UNPREPARED_RETRY_AFTER);
    state.metrics.note_request("none", "refused");
    response
}

fn reject(
    state: &GatewayState,
    id: &Option<Box<str>>,
    status: StatusCode,
    reason: &str,
    version: u64,
) -> Response<CallerBody> {
    let (current_at, reader) = {
        let view = state.view();
        (view.follower.current_at(), view.follower.reader())
    };
    log::info!(
        target: part::REQUEST,
        request = id.as_deref().unwrap_or("none"), status = status.as_u16(), reason = reason,
        version = version, store_age_ms = age_ms(clock::now(), current_at), reader = reader_name(reader);
        "request turned away"
    );
    state.metrics.note_request("none", "turned_away");
    empty_response(status)
}
