//! Single calls to the host, order, usage and weight interfaces of the platform.

use std::time::Duration;

use pimentorock_platform::{
    error::PlatformError,
    host_client::HostClient,
    order_client::OrderClient,
    usage_client::UsageClient,
    weight_client::{WeightAnswer, WeightClient},
    wire::{HostList, OrderAnswer, OrderKind, OrderRequest, UsageReport},
};
use poem::{
    Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    post,
    web::{Json, Path},
};

/// Starts a fake platform on a free port and returns its URL.
async fn start() -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let app = Route::new()
        .at("/hosts", get(serve_hosts))
        .at("/orders", post(serve_order))
        .at("/usage", post(serve_usage))
        .at("/weights/:model", get(serve_weights));
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    url
}

#[handler]
async fn serve_hosts() -> Json<HostList> {
    Json(HostList::default())
}

/// Accepts orders, but rejects an empty endpoint name and answers 502 for endpoint `lost`.
#[handler]
async fn serve_order(Json(order): Json<OrderRequest>) -> Result<Json<OrderAnswer>, StatusCode> {
    match &*order.endpoint {
        "" => Err(StatusCode::CONFLICT),
        "lost" => Err(StatusCode::BAD_GATEWAY),
        _ => Ok(Json(OrderAnswer { id: order.id })),
    }
}

#[handler]
async fn serve_usage(Json(report): Json<UsageReport>) -> StatusCode {
    if report.requests == 0 { StatusCode::BAD_REQUEST } else { StatusCode::OK }
}

#[handler]
async fn serve_weights(Path(model): Path<String>) -> Response {
    let throttled = Response::builder().status(StatusCode::TOO_MANY_REQUESTS);
    match &*model {
        "busy" => throttled.header("retry-after", "7").finish(),
        "unreadable-delay" => throttled.header("retry-after", "soon").finish(),
        "absent" => Response::builder().status(StatusCode::NOT_FOUND).body("x".repeat(10_000)),
        _ => Response::builder().body(vec![1u8, 2, 3]),
    }
}

/// Returns whether a failed call may have taken effect and whether its failure is permanent, or
/// `None` for a successful call.
///
/// `Some((false, true))` stands for a call that the platform rejected, and `Some((true, false))` for
/// a call that may have taken effect and that a retry may complete.
fn failure_kind<T>(outcome: Result<T, PlatformError>) -> Option<(bool, bool)> {
    outcome.err().map(|error| (error.may_have_taken_effect(), error.is_permanent()))
}

// Guards against an error that reports the wrong effect of a failed call: the caller would then
// repeat a call that took effect, or give up on one that a retry would complete.
#[tokio::test]
async fn errors_report_whether_a_call_may_have_taken_effect() {
    let (http, url) = (reqwest::Client::new(), start().await);
    assert_eq!(HostClient::new(http.clone(), &url).list().await.unwrap(), HostList::default());

    let orders = OrderClient::new(http.clone(), &url);
    for (endpoint, expected) in
        [("e1", None), ("", Some((false, true))), ("lost", Some((true, false)))]
    {
        let order = OrderRequest {
            id: "o1".into(),
            sender: "entry-1".into(),
            fencing: 3,
            kind: OrderKind::Start,
            endpoint: endpoint.into(),
            domain: "d1".into(),
        };
        assert_eq!(failure_kind(orders.send(&order).await), expected, "endpoint \"{endpoint}\"");
    }

    let reports = UsageClient::new(http, &url);
    for (requests, expected) in [(1, None), (0, Some((false, true)))] {
        let report = UsageReport {
            account: "north/shop".into(),
            window_start_ms: 0,
            window_end_ms: 1,
            requests,
            prompt_tokens: 2,
            output_tokens: 3,
            sender: "entry-1".into(),
            fencing: 3,
        };
        assert_eq!(failure_kind(reports.send(&report).await), expected, "{requests} requests");
    }
}

// Guards against a lost or misread retry delay: the weight interface answers 429 with a
// readable or an unreadable `Retry-After` header. An error must not quote the whole body of a long answer.
#[tokio::test]
async fn a_throttled_weight_fetch_returns_the_retry_delay() {
    let weights = WeightClient::new(reqwest::Client::new(), &start().await);
    let throttled =
        |seconds: u64| WeightAnswer::Throttled { retry_after: Duration::from_secs(seconds) };
    for (model, expected) in [
        ("small", WeightAnswer::Bytes(vec![1, 2, 3])),
        ("busy", throttled(7)),
        ("unreadable-delay", throttled(1)),
    ] {
        assert_eq!(weights.fetch(model).await.unwrap(), expected, "{model}");
    }
    let error = weights.fetch("absent").await.unwrap_err();
    assert!(error.is_permanent() && error.to_string().len() < 400, "{error}");
}
