//! A stand-in for a plain HTTP service that records its calls.
//!
//! A call whose path contains `/slow/N` is answered after N milliseconds, and a call whose path
//! begins with `/fail` is answered with status 500.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bpaf::Bpaf;
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, Request, Result, Route, get, handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{answer, serve};

/// Command-line options of the service stand-in.
#[derive(Clone, Debug, Bpaf)]
pub struct ServiceOptions {
    /// Address to listen on.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Name of the service, which every answer contains.
    #[bpaf(argument("NAME"))]
    pub name: String,
}

/// A call that the service stand-in received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Value of the header `x-request-id`, empty if the call had none.
    pub request_id: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with the query string.
    pub path: Box<str>,
    /// Hash of the body as [`answer::hash`] computes it.
    pub body_hash: u64,
    /// Names and values of all headers of the call.
    pub headers: Vec<(Box<str>, Box<str>)>,
}

type CallLog = Arc<Mutex<Vec<RecordedCall>>>;

/// Runs the stand-in until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the address cannot be bound, a signal handler cannot be installed, or the server
/// fails.
pub async fn run(options: ServiceOptions) -> io::Result<()> {
    serve::run(options.listen, app(&options.name)).await
}

/// Returns the routes of a new service stand-in.
pub fn app(name: &str) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    let calls = CallLog::default();
    Route::new()
        .at("/stand-in/seen", get(recorded_calls))
        .at("/*", call_endpoint(name.into(), calls.clone()))
        .data(calls)
}

/// Returns the exact body with which the service `name` answers a call.
pub fn expected_answer(name: &str, method: &str, path: &str, body: &[u8]) -> Value {
    let body_hash = answer::hash(&[body]);
    json!({ "service": name, "method": method, "path": path, "body_hash": body_hash })
}

fn call_endpoint(name: Box<str>, calls: CallLog) -> impl Endpoint<Output = Json<Value>> {
    poem::endpoint::make(move |request| handle_call(name.clone(), calls.clone(), request))
}

async fn handle_call(name: Box<str>, calls: CallLog, mut request: Request) -> Result<Json<Value>> {
    let body = request.take_body().into_vec().await?;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let entry = RecordedCall {
        request_id: request.header("x-request-id").unwrap_or_default().into(),
        method: request.method().as_str().into(),
        path: path.as_str().into(),
        body_hash: answer::hash(&[&body]),
        headers: header_list(request.headers()),
    };
    calls.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    if let Some(millis) = requested_delay_ms(&path) {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
    if path.starts_with("/fail") {
        return Err(poem::Error::from_status(StatusCode::INTERNAL_SERVER_ERROR));
    }
    Ok(Json(expected_answer(&name, request.method().as_str(), &path, &body)))
}

/// Returns the names and values of all headers; invalid UTF-8 in values is replaced.
pub(crate) fn header_list(headers: &poem::http::HeaderMap) -> Vec<(Box<str>, Box<str>)> {
    let text = |value: &poem::http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
    headers.iter().map(|(name, value)| (name.as_str().into(), text(value))).collect()
}

/// Returns the delay that a path with `/slow/N` requests, in milliseconds.
fn requested_delay_ms(path: &str) -> Option<u64> {
    let (_, rest) = path.split_once("/slow/")?;
    rest.split(['/', '?']).next()?.parse().ok()
}

#[handler]
fn recorded_calls(calls: Data<&CallLog>) -> Json<Vec<RecordedCall>> {
    Json(calls.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
