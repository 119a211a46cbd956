//! Routes for health checks, metrics and the calls of the command-line tool.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use pimentorock_kernel::{ids::RequestId, record::KeyWithdrawn};
use pimentorock_platform::operator_wire::{
    BurnAnswer, ExplainAnswer, SettingsAnswer, StatusAnswer, WithdrawRequest,
};
use poem::{
    EndpointExt, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    post,
    web::{Data, Json, Path},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    control::ControlCore, explain::ExplainLog, operators::ServiceMetrics, recorder::ServiceRecorder,
};

/// State that the routes for operators read.
#[derive(Clone, Debug)]
pub(crate) struct OperatorState {
    pub(crate) core: Arc<ControlCore>,
    pub(crate) recorder: ServiceRecorder,
    pub(crate) explain: ExplainLog,
    pub(crate) metrics: ServiceMetrics,
    /// Whether the process drains and reports itself as not ready.
    pub(crate) draining: Arc<AtomicBool>,
}

impl OperatorState {
    /// Serves operators until `stop` is cancelled.
    pub(crate) async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let routes = Route::new()
            .at("/healthz", get(health))
            .at("/readyz", get(readiness))
            .at("/metrics", get(metrics))
            .at("/status", get(status))
            .at("/explain/:request", get(explain))
            .at("/burn", get(burn))
            .at("/settings", get(settings))
            .at("/endpoints/:name/drain", post(drain_endpoint))
            .at("/keys/withdraw", post(withdraw_key))
            .data(self);
        let Ok(acceptor) = TcpAcceptor::from_tokio(listener) else { return };
        let serving: io::Result<()> = tokio::select! {
            () = stop.cancelled() => Ok(()),
            ended = Server::new_with_acceptor(acceptor).run(routes) => ended,
        };
        if let Err(error) = serving {
            log::error!(target: crate::logs::part::PROCESS, "The server for operators ended: {error}.");
        }
    }
}

#[handler]
async fn health() -> &'static str {
    "ok\n"
}

#[handler]
async fn readiness(Data(state): Data<&OperatorState>) -> Response {
    if state.draining.load(Ordering::Acquire) {
        return unavailable("draining\n");
    }
    if state.core.is_ready() { Response::from("ready\n") } else { unavailable("not ready\n") }
}

#[handler]
async fn metrics(Data(state): Data<&OperatorState>) -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(state.metrics.text())
}

#[handler]
async fn status(Data(state): Data<&OperatorState>) -> Json<StatusAnswer> {
    Json(state.core.status())
}

#[handler]
async fn explain(Path(request): Path<String>, Data(state): Data<&OperatorState>) -> Response {
    let steps = request.parse::<RequestId>().ok().and_then(|id| state.explain.steps(id));
    let Some(steps) = steps else {
        let text = format!("request \"{request}\" is not known here\n");
        return Response::builder().status(StatusCode::NOT_FOUND).body(text);
    };
    json(&ExplainAnswer { request: request.into(), steps })
}

#[handler]
async fn burn(Data(state): Data<&OperatorState>) -> Json<BurnAnswer> {
    Json(BurnAnswer { windows: state.recorder.windows() })
}

#[handler]
async fn settings(Data(state): Data<&OperatorState>) -> Json<SettingsAnswer> {
    let (revision, tree) = state.core.settings();
    Json(SettingsAnswer { revision, tree })
}

#[handler]
async fn drain_endpoint(Path(name): Path<String>, Data(state): Data<&OperatorState>) -> Response {
    if !state.core.drain_endpoint(&name, false).await {
        let text = format!("endpoint \"{name}\" is not beside this process\n");
        return Response::builder().status(StatusCode::NOT_FOUND).body(text);
    }
    Response::from("draining\n")
}

#[handler]
async fn withdraw_key(
    Json(request): Json<WithdrawRequest>,
    Data(state): Data<&OperatorState>,
) -> Response {
    let well_formed = request.hash.len() == 64
        && request.hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !well_formed {
        let text = "field \"hash\" is not a SHA-256 in lowercase hexadecimal digits\n";
        return Response::builder().status(StatusCode::BAD_REQUEST).body(text);
    }
    state.core.withdraw(KeyWithdrawn { hash: request.hash, author: request.author });
    Response::from("withdrawn\n")
}

/// Returns `value` as a JSON answer.
fn json<T: serde::Serialize>(value: &T) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => Response::builder().content_type("application/json").body(text),
        Err(error) => {
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body(error.to_string())
        }
    }
}

/// Returns an answer with status 503.
fn unavailable(text: &'static str) -> Response {
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body(text)
}
