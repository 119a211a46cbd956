//! Accepts callers' connections and takes their requests.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
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
    acceptor::accept_each,
    clock,
    dispatcher::{CallerRequest, RequestDispatcher},
    fleet_config::{CallerLimits, RouteSpec},
    logs::part,
    relay::{self, CallerBody, plain},
    route_table::RouteTable,
    state::GatewayState,
};

/// Limits until a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Smallest read buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// Time after which a caller may come back to an entry that knows no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Most connections that wait to be accepted.
pub(crate) const BACKLOG: u32 = 1024;

/// What one connection is doing.
#[derive(Debug, Default)]
struct ConnectionUse {
    /// Requests under way.
    active: AtomicU32,
    /// Told whenever a request begins or ends.
    changed: Notify,
}

/// Counts a request as under way until it is dropped.
struct ActiveGuard(Arc<ConnectionUse>);

impl ActiveGuard {
    fn new(usage: &Arc<ConnectionUse>) -> ActiveGuard {
        usage.active.fetch_add(1, Ordering::Relaxed);
        usage.changed.notify_one();
        ActiveGuard(Arc::clone(usage))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
        self.0.changed.notify_one();
    }
}

/// Accepts connections until `stop` is cancelled, then drains them.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
    tracker: TaskTracker,
) {
    let take = |stream| {
        tracker.spawn(connection(Arc::clone(&state), stream, stop.clone()));
    };
    accept_each(listener, stop.clone(), take).await;
}

async fn connection(state: Arc<GatewayState>, stream: TcpStream, stop: CancellationToken) {
    let usage = Arc::new(ConnectionUse::default());
    let limits = limits(&state);
    let service = service_fn({
        let state = Arc::clone(&state);
        let usage = Arc::clone(&usage);
        move |request| {
            let guard = ActiveGuard::new(&usage);
            let state = Arc::clone(&state);
            async move {
                let response = take(&state, request).await;
                Ok::<_, Infallible>(finish_head(&state, response, guard))
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a head, too.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut draining = false;
    loop {
        let idle = idle_time(&state, &usage);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::trace!("caller's connection ended: {error}");
                }
                return;
            }
            () = usage.changed.notified() => {}
            () = stop.cancelled(), if !draining => {
                draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(idle), if !draining => {
                if usage.active.load(Ordering::Relaxed) == 0 {
                    draining = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Returns the time after which an unused connection closes.
fn idle_time(state: &GatewayState, usage: &ConnectionUse) -> Duration {
    if usage.active.load(Ordering::Relaxed) > 0 {
        return Duration::from_secs(60);
    }
    limits(state).idle_time
}

fn limits(state: &GatewayState) -> CallerLimits {
    state.routes.load().as_ref().map_or(FIRST_LIMITS, |routes| routes.limits())
}

/// Adds what every answer carries, and keeps the request counted until its body is out.
fn finish_head(
    state: &GatewayState,
    response: Response<CallerBody>,
    guard: ActiveGuard,
) -> Response<GuardedBody> {
    let mut response = response.map(|body| GuardedBody { body, _guard: guard });
    if state.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A body whose connection counts as used until the body is dropped.
struct GuardedBody {
    body: CallerBody,
    _guard: ActiveGuard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = relay::BrokenAnswer;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Bytes>, relay::BrokenAnswer>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Takes one request and returns its answer.
async fn take(state: &Arc<GatewayState>, request: Request<Incoming>) -> Response<CallerBody> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let Some(routes) = state.routes.load_full() else {
        return starting(state);
    };
    let head = (state.codec.caller_head)(&parts.headers);
    let Some(route) = find_route(&routes, &parts).cloned() else {
        return turned_away(state, &head.id, StatusCode::NOT_FOUND, "no route", routes.version());
    };
    let account = head.key.as_deref().and_then(|key| routes.account(key)).cloned();
    if routes.needs_key() && !route.public && account.is_none() {
        let status = StatusCode::UNAUTHORIZED;
        return turned_away(state, &head.id, status, "unknown key", routes.version());
    }
    let left = head.time_left.unwrap_or(route.timeout).min(route.timeout);
    let body = match read_body(body, routes.limits(), left).await {
        Ok(body) => body,
        Err(status) => {
            let version = routes.version();
            return turned_away(state, &head.id, status, "body not read", version);
        }
    };
    let service = service_of(&route, arrived);
    let mut request = CallerRequest::new(parts, body, head, route, service, arrived);
    if let Some(account) = account.filter(|_| routes.needs_key()) {
        request = request.with_account(account.name, account.tier);
    }
    relay::answer(RequestDispatcher::new(Arc::clone(state), request)).await
}

fn find_route<'a>(routes: &'a RouteTable, parts: &request::Parts) -> Option<&'a RouteSpec> {
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.authority()?.as_str(),
    };
    routes.route(host, parts.uri.path())
}

/// Returns the service that a request goes to, drawn by the route's weights.
fn service_of(route: &RouteSpec, arrived: TimePoint) -> Box<str> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    // Arrival times in microseconds are spread evenly enough over the weights.
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

async fn read_body(
    body: Incoming,
    limits: CallerLimits,
    left: Duration,
) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let reading = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(left, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn starting(state: &GatewayState) -> Response<CallerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    (state.codec.retry_after)(response.headers_mut(), STARTING_RETRY_AFTER);
    state.metrics.note_request("none", "refused");
    response
}

fn turned_away(
    state: &GatewayState,
    id: &Option<Box<str>>,
    status: StatusCode,
    reason: &str,
    version: u64,
) -> Response<CallerBody> {
    log::info!(
        target: part::REQUEST,
        request = id.as_deref().unwrap_or("none"), status = status.as_u16(), reason = reason,
        version = version;
        "request turned away"
    );
    state.metrics.note_request("none", "turned_away");
    plain(status)
}
