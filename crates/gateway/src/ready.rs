//! HTTP server for the load balancer's readiness checks and for metrics.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{acceptor::accept_connections, connection, state::GatewayState};

/// Path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics on `listener` until `stop` is cancelled.
pub(crate) async fn serve(
    state: Arc<GatewayState>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let spawn_connection = |stream| {
        tokio::spawn(serve_connection(Arc::clone(&state), stream));
    };
    accept_connections(listener, connection::SERVER_TIMEOUT, stop, spawn_connection).await;
}

async fn serve_connection(state: Arc<GatewayState>, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = respond(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::trace!("readiness connection ended: {error}");
    }
}

fn respond(state: &GatewayState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let mut response = Response::new(Full::default());
    if path == METRICS_PATH {
        *response.body_mut() = Full::from(state.metrics.text());
    } else if path != state.codec.ready_path {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if !state.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
