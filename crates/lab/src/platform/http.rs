//! HTTP routes of the platform stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pimentorock_platform::wire::{
    AppendAnswer, AppendRequest, HostEntry, OrderAnswer, OrderRequest, ReadAnswer, UsageReport,
};
use poem::{
    EndpointExt, IntoEndpoint, IntoResponse, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use super::{
    FaultMode, FaultSpec, PlatformOptions,
    state::{PlatformState, RecordedOrder},
};

/// Maximum number of records in the answer to a read that does not set `max`.
const DEFAULT_READ_BATCH: usize = 512;

/// The state of the platform, and a notification for waiting reads when a stream or a fault
/// changes.
struct PlatformServer {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl PlatformServer {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the operation of a call under the fault of the interface and returns the answer.
    async fn run_with_fault<F>(&self, interface: &str, operation: F) -> Response
    where
        F: AsyncFnOnce(&PlatformServer) -> Response,
    {
        let (mode, wait) = self.lock().faults.next_fault(interface);
        match mode {
            FaultMode::Ok => operation(self).await,
            FaultMode::Down => unavailable(),
            FaultMode::Slow => {
                sleep(wait).await;
                operation(self).await
            }
            FaultMode::LoseAnswer => {
                operation(self).await;
                unavailable()
            }
        }
    }
}

type Server<'a> = Data<&'a Arc<PlatformServer>>;

/// Returns the routes of a new platform stand-in: its interfaces and the controls for tests.
pub fn app(options: &PlatformOptions) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    let server =
        PlatformServer { state: Mutex::new(PlatformState::new(options)), changed: Notify::new() };
    Route::new()
        .at("/log/:stream/append", post(append))
        .at("/log/:stream/read", get(read))
        .at("/hosts", get(hosts))
        .at("/orders", post(order))
        .at("/usage", post(usage))
        .at("/weights/:model", get(weights))
        .at("/stand-in/faults", post(set_fault))
        .at("/stand-in/hosts", post(put_host))
        .at("/stand-in/hosts/:host", poem::delete(remove_host))
        .at("/stand-in/trim/:stream/:retain", post(trim))
        .at("/stand-in/usage", get(recorded_usage))
        .at("/stand-in/orders", get(recorded_orders))
        .data(Arc::new(server))
}

fn unavailable() -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into()
}

#[handler]
async fn append(
    server: Server<'_>,
    Path(stream): Path<String>,
    Json(request): Json<AppendRequest>,
) -> Response {
    let operation = async move |server: &PlatformServer| {
        let first = server.lock().append(&stream, request.records);
        server.changed.notify_waiters();
        Json(AppendAnswer { first }).into_response()
    };
    server.run_with_fault("append", operation).await
}

/// Query string of a read: first offset, maximum number of records, and how long to wait.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: Option<usize>,
    wait_ms: Option<u64>,
}

#[handler]
async fn read(
    server: Server<'_>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let operation =
        async move |server: &PlatformServer| match long_poll_read(server, &stream, query).await {
            Some(answer) => Json(answer).into_response(),
            None => unavailable(),
        };
    server.run_with_fault("read", operation).await
}

/// Waits up to `wait_ms` for records from the requested offset on and returns them.
///
/// Returns an answer without records when the time is over, and `None` if a fault takes the
/// interface down during the wait.
async fn long_poll_read(
    server: &PlatformServer,
    stream: &str,
    query: ReadQuery,
) -> Option<ReadAnswer> {
    let until = Instant::now() + Duration::from_millis(query.wait_ms.unwrap_or(0));
    let max = query.max.unwrap_or(DEFAULT_READ_BATCH);
    loop {
        let changed = server.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let answer = {
            let mut state = server.lock();
            if state.faults.is_down("read") {
                return None;
            }
            state.stream(stream).read(query.from, max)
        };
        if !answer.entries.is_empty() || timeout_at(until, changed).await.is_err() {
            return Some(answer);
        }
    }
}

#[handler]
async fn hosts(server: Server<'_>) -> Response {
    let operation = async |server: &PlatformServer| Json(server.lock().hosts()).into_response();
    server.run_with_fault("hosts", operation).await
}

#[handler]
async fn order(server: Server<'_>, Json(request): Json<OrderRequest>) -> Response {
    let operation = async move |server: &PlatformServer| {
        let id = request.id.clone();
        if server.lock().order(request) {
            Json(OrderAnswer { id }).into_response()
        } else {
            (StatusCode::CONFLICT, "the fencing number is old").into_response()
        }
    };
    server.run_with_fault("orders", operation).await
}

#[handler]
async fn usage(server: Server<'_>, Json(report): Json<UsageReport>) -> Response {
    let operation = async move |server: &PlatformServer| {
        server.lock().report_usage(report);
        StatusCode::NO_CONTENT.into_response()
    };
    server.run_with_fault("usage", operation).await
}

#[handler]
async fn weights(server: Server<'_>, Path(model): Path<String>) -> Response {
    let operation = async move |server: &PlatformServer| {
        if server.lock().allow_download() {
            return format!("weights of {model}\n").into_response();
        }
        let refusal = StatusCode::TOO_MANY_REQUESTS.into_response();
        refusal.with_header("Retry-After", "1").into_response()
    };
    server.run_with_fault("weights", operation).await
}

#[handler]
async fn set_fault(server: Server<'_>, Json(spec): Json<FaultSpec>) -> Response {
    let exists = server.lock().faults.set(&spec);
    server.changed.notify_waiters();
    if exists {
        return StatusCode::NO_CONTENT.into();
    }
    let text = format!("interface \"{}\" does not exist", spec.interface);
    (StatusCode::BAD_REQUEST, text).into_response()
}

#[handler]
async fn put_host(server: Server<'_>, Json(entry): Json<HostEntry>) -> StatusCode {
    server.lock().put_host(entry);
    StatusCode::NO_CONTENT
}

#[handler]
async fn remove_host(server: Server<'_>, Path(host): Path<String>) -> StatusCode {
    server.lock().remove_host(&host);
    StatusCode::NO_CONTENT
}

#[handler]
async fn trim(server: Server<'_>, Path((stream, retain)): Path<(String, usize)>) -> StatusCode {
    server.lock().stream(&stream).trim(retain);
    StatusCode::NO_CONTENT
}

#[handler]
async fn recorded_usage(server: Server<'_>) -> Json<Vec<UsageReport>> {
    Json(server.lock().usage().to_vec())
}

#[handler]
async fn recorded_orders(server: Server<'_>) -> Json<Vec<RecordedOrder>> {
    Json(server.lock().orders().to_vec())
}
