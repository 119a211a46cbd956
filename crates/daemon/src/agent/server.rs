//! The HTTP interface for entries.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::reason::DecisionReason;
use poem::{
    Body, Endpoint, EndpointExt, Request, Response, Route, handler, http::StatusCode, post,
    web::Data,
};

use crate::{
    agent::{run::EndpointRun, state::AgentState},
    run_header::{ATTEMPT_HEADER, REFUSAL_HEADER, RUN_HEADER, RefusalHeader, RunHeader},
};

/// Maximum size of a request body, in bytes; the limit of entries is lower.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Returns the routes that entries use.
pub(crate) fn routes(state: Arc<AgentState>) -> impl Endpoint<Output = Response> {
    Route::new().at("/run", post(take_run)).data(state).map_to_response()
}

#[handler]
async fn take_run(request: &Request, body: Body, Data(state): Data<&Arc<AgentState>>) -> Response {
    let header = request.headers().get(RUN_HEADER);
    let header: Option<RunHeader> =
        header.and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
    let Some(header) = header else {
        return text_response(
            StatusCode::BAD_REQUEST,
            format!("header \"{RUN_HEADER}\" is not readable"),
        );
    };
    let Ok(body) = body.into_bytes_limit(MAX_BODY_BYTES).await else {
        return text_response(StatusCode::BAD_REQUEST, "the body is not readable".to_owned());
    };
    let run = EndpointRun::new(Arc::clone(state), header);
    run.answer(body).await
}

/// Returns the response to an attempt that the agent refuses or that gets no answer from its
/// endpoint.
pub(crate) fn refusal_response(attempt_id: &str, refusal: &RefusalHeader) -> Response {
    let text = serde_json::to_string(refusal).expect("a refusal header serializes to JSON");
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(ATTEMPT_HEADER, attempt_id)
        .header(REFUSAL_HEADER, text)
        .finish()
}

/// Returns the refusal of a request that did not run.
pub(crate) fn not_run_refusal(reason: DecisionReason, retry_after: Duration) -> RefusalHeader {
    RefusalHeader {
        not_run: true,
        endpoint_down: false,
        reason,
        retry_after_ms: retry_after.as_millis() as u64,
    }
}

fn text_response(status: StatusCode, text: String) -> Response {
    Response::builder().status(status).body(text)
}
