//! The HTTP interface for callers.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::ids::{AccountKey, RequestId};
use poem::{
    Body, Endpoint, EndpointExt, Request, Response, Route, handler,
    http::{StatusCode, header},
    web::Data,
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::{
    entry::{
        api_error::ApiError,
        caller_channel::{AnswerBody, AnswerHead, CallerChannel},
        caller_request::{CallerRequest, RequestParts},
        dispatcher::RequestDispatcher,
        header_filter::HeaderFilter,
        state::EntryState,
    },
    key_hash::KeyHash,
    run_header::REQUEST_ID_HEADER,
    view::ControlView,
};

/// Maximum size of a caller's request body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Maximum total size of a request's header names and values, in bytes.
const MAX_HEADERS: usize = 32 << 10;

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Returns the routes that callers use.
pub(crate) fn routes(state: Arc<EntryState>) -> impl Endpoint<Output = Response> {
    Route::new()
        .at("/v1/chat/completions", run_model)
        .at("/v1/completions", run_model)
        .at("/v1/models", list_models)
        .at("/services/*path", run_service)
        .at("/*path", unknown_path)
        .data(state)
        .map_to_response()
}

#[handler]
async fn run_model(request: &Request, body: Body, Data(state): Data<&Arc<EntryState>>) -> Response {
    let id = random_request_id();
    let answer = answer_model(id, request, body, state).await;
    answer.unwrap_or_else(|error| error.response(id))
}

#[handler]
async fn run_service(
    request: &Request,
    body: Body,
    Data(state): Data<&Arc<EntryState>>,
) -> Response {
    let id = random_request_id();
    let answer = answer_service(id, request, body, state).await;
    answer.unwrap_or_else(|error| error.response(id))
}

#[handler]
async fn list_models(request: &Request, Data(state): Data<&Arc<EntryState>>) -> Response {
    let id = random_request_id();
    let view = state.parts.views.load();
    match authenticate(request, &view) {
        Ok(caller) => model_list(id, &view, caller.account),
        Err(error) => error.response(id),
    }
}

#[handler]
async fn unknown_path(request: &Request) -> Response {
    let message = format!("path \"{}\" does not exist", request.uri().path());
    ApiError::new(StatusCode::NOT_FOUND, "path_not_found", message).response(random_request_id())
}

async fn answer_model(
    id: RequestId,
    request: &Request,
    body: Body,
    state: &Arc<EntryState>,
) -> Result<Response, ApiError> {
    check_method(request)?;
    let view = state.parts.views.load();
    let caller = authenticate(request, &view)?;
    let body = read_body(body).await?;
    let path = request.uri().path().to_owned();
    let parts = request_parts(id, request, &caller, &view, path);
    let request = CallerRequest::for_model(parts, &body, &view.catalog)?;
    dispatch(state, request, &view).await
}

async fn answer_service(
    id: RequestId,
    request: &Request,
    body: Body,
    state: &Arc<EntryState>,
) -> Result<Response, ApiError> {
    let view = state.parts.views.load();
    let caller = authenticate(request, &view)?;
    let filter = HeaderFilter::new(&caller.key, &view.keys);
    let rest = request.uri().path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    if filter.contains_key(rest) {
        let message = "the path holds a key".to_owned();
        return Err(ApiError::new(StatusCode::BAD_REQUEST, "key_in_path", message));
    }
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = filter.query(request.uri().query().unwrap_or_default());
    let path = if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") };
    let body = read_body(body).await?;
    let parts = request_parts(id, request, &caller, &view, path);
    let request = CallerRequest::for_service(parts, service, body, &view.catalog)?;
    dispatch(state, request, &view).await
}

/// Runs the request in a separate task, so that it is cleaned up when the caller disconnects.
async fn dispatch(
    state: &Arc<EntryState>,
    request: CallerRequest,
    view: &ControlView,
) -> Result<Response, ApiError> {
    let id = request.id;
    let disconnected = CancellationToken::new();
    let guard = disconnected.clone().drop_guard();
    let (sender, receiver) = oneshot::channel();
    let caller = CallerChannel::new(sender, disconnected);
    let dispatcher = RequestDispatcher::new(Arc::clone(state), request, caller, view);
    state.tracker.spawn(dispatcher.run());
    let head = receiver.await.unwrap_or_else(|_| Err(internal_error()))?;
    let AnswerHead { status, headers, body } = head;
    let mut builder = Response::builder().status(status).header(REQUEST_ID_HEADER, id.to_string());
    for (name, value) in &headers {
        builder = builder.header(&**name, &**value);
    }
    Ok(match body {
        AnswerBody::Complete(body) => builder.body(body),
        AnswerBody::Stream(chunks) => {
            // The guard is dropped together with the body, which signals that the caller has
            // disconnected.
            let chunks = futures::stream::unfold((chunks, guard), async |(mut chunks, guard)| {
                let chunk: io::Result<Bytes> = chunks.recv().await?;
                Some((chunk, (chunks, guard)))
            });
            builder.body(Body::from_bytes_stream(chunks))
        }
    })
}

/// The key that a request presents and the account that the key belongs to.
struct CallerIdentity {
    key: Box<str>,
    account: AccountKey,
}

fn authenticate(request: &Request, view: &ControlView) -> Result<CallerIdentity, ApiError> {
    check_headers(request)?;
    let unauthorized =
        |code, message: &str| ApiError::new(StatusCode::UNAUTHORIZED, code, message.to_owned());
    let value = request.headers().get(header::AUTHORIZATION);
    let value =
        value.ok_or_else(|| unauthorized("key_missing", "header \"authorization\" is missing"))?;
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim())
        .filter(|key| !key.is_empty())
        .ok_or_else(|| {
            unauthorized("key_malformed", "header \"authorization\" is not \"Bearer KEY\"")
        })?;
    if !view.keys_confirmed {
        let message = "this entry has not heard of withdrawn keys for too long".to_owned();
        let error = ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "keys_unconfirmed", message);
        return Err(error.with_retry_after(Duration::from_secs(1)));
    }
    let account = view
        .account_of(&KeyHash::of(key))
        .ok_or_else(|| unauthorized("key_unknown", "the key does not exist or was withdrawn"))?;
    Ok(CallerIdentity { key: key.into(), account })
}

fn request_parts<'a>(
    id: RequestId,
    request: &'a Request,
    caller: &CallerIdentity,
    view: &ControlView,
    path: String,
) -> RequestParts<'a> {
    let filter = HeaderFilter::new(&caller.key, &view.keys);
    RequestParts {
        id,
        account: caller.account,
        key_hash: KeyHash::of(&caller.key),
        method: request.method().as_str(),
        path,
        headers: request.headers(),
        forwarded: filter.headers(request.headers()),
    }
}

fn check_method(request: &Request) -> Result<(), ApiError> {
    if request.method() == poem::http::Method::POST {
        return Ok(());
    }
    let message = format!("method \"{}\" is not allowed here", request.method());
    Err(ApiError::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", message))
}

fn check_headers(request: &Request) -> Result<(), ApiError> {
    let size: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= MAX_HEADERS {
        return Ok(());
    }
    let message = format!("the headers take {size} bytes, at most {MAX_HEADERS} are allowed");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(ApiError::new(status, "headers_too_large", message))
}

async fn read_body(body: Body) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(BODY_TIMEOUT, body.into_bytes_limit(MAX_BODY)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            let message = format!("the body is larger than {MAX_BODY} bytes");
            Err(ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
        Ok(Err(error)) => {
            let message = format!("the body could not be read: {error}");
            Err(ApiError::new(StatusCode::BAD_REQUEST, "body_unreadable", message))
        }
        Err(_) => {
            let message = format!("the body did not come within {} s", BODY_TIMEOUT.as_secs());
            Err(ApiError::new(StatusCode::REQUEST_TIMEOUT, "body_timeout", message))
        }
    }
}

fn model_list(id: RequestId, view: &ControlView, account: AccountKey) -> Response {
    let catalog = &view.catalog;
    let mut names: Vec<&str> = catalog
        .models
        .values()
        .map(|model| &*model.name)
        .filter(|name| {
            catalog.may_use(account, name) && catalog.endpoints_of(name).next().is_some()
        })
        .collect();
    names.sort_unstable();
    let data: Vec<serde_json::Value> = names
        .iter()
        .map(|name| {
            serde_json::json!({"id": name, "object": "model", "created": 0, "owned_by": "deployment"})
        })
        .collect();
    let body = serde_json::json!({"object": "list", "data": data});
    Response::builder()
        .content_type("application/json")
        .header(REQUEST_ID_HEADER, id.to_string())
        .body(body.to_string())
}

fn internal_error() -> ApiError {
    let message = "the request ended without an answer".to_owned();
    ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", message).with_outcome_unknown()
}

fn random_request_id() -> RequestId {
    RequestId(rand::random())
}
