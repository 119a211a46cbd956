//! HTTP routes of the engine stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures::{StreamExt, stream};
use poem::{
    EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{
        Data, Json, Path, Query,
        sse::{Event, SSE},
    },
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, mpsc::UnboundedReceiver},
    time,
};

use super::{
    EngineOptions,
    batch::{RunKey, StepToken},
    cache::CacheEvent,
    order_state::EngineOrder,
    recorded_run::{RecordedOutcome, RecordedRun},
    state::{EngineLoad, EngineState},
    wire::{EngineRequest, Interface, error_body},
};
use crate::{answer, service::header_list};

/// Exit status of the process when a prompt crashes the engine.
const CRASH_STATUS: i32 = 1;

/// The state of the engine, and a notification that wakes the task that runs its steps.
struct EngineServer {
    state: Mutex<EngineState>,
    work: Notify,
    max_tokens_default: u32,
}

impl EngineServer {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the engine's steps in real time, and never returns.
    ///
    /// The end of each step is computed from the end of the previous one, so that late wake-ups do
    /// not accumulate.
    async fn run_steps(self: Arc<EngineServer>) {
        let mut next = time::Instant::now();
        loop {
            let started = self.lock().batch.begin_step();
            let Some(step_time) = started else {
                self.work.notified().await;
                next = time::Instant::now();
                continue;
            };
            next += step_time;
            time::sleep_until(next).await;
            if self.lock().finish_step(step_time) {
                std::process::exit(CRASH_STATUS);
            }
        }
    }
}

/// Cancels a run when it is dropped, which happens when the client closes the connection.
struct RunGuard {
    server: Arc<EngineServer>,
    run: RunKey,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.server.lock().close(self.run, RecordedOutcome::Cancelled);
    }
}

type Server<'a> = Data<&'a Arc<EngineServer>>;

/// Returns the routes of a new engine stand-in: its interfaces and the controls for tests.
///
/// # Panics
///
/// Panics outside a tokio runtime, because the engine's steps run in a spawned task.
pub fn app(options: &EngineOptions) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    let server = Arc::new(EngineServer {
        state: Mutex::new(EngineState::new(options)),
        work: Notify::new(),
        max_tokens_default: options.max_tokens_default,
    });
    tokio::spawn(server.clone().run_steps());
    Route::new()
        .at("/v1/chat/completions", post(chat))
        .at("/v1/completions", post(completion))
        .at("/v1/models", get(models))
        .at("/v1/requests/:id", poem::delete(cancel))
        .at("/v1/requests/:id/pause", post(pause))
        .at("/v1/requests/:id/resume", post(resume))
        .at("/load", get(load))
        .at("/cache/events", get(cache_events))
        .at("/orders", post(order))
        .at("/stand-in/orders", get(recorded_orders))
        .at("/stand-in/seen", get(recorded_runs))
        .at("/stand-in/speed", post(set_speed))
        .data(server)
}

#[handler]
async fn chat(server: Server<'_>, request: &Request, body: String) -> Response {
    answer_request(&server, Interface::Chat, request, &body).await
}

#[handler]
async fn completion(server: Server<'_>, request: &Request, body: String) -> Response {
    answer_request(&server, Interface::Completion, request, &body).await
}

async fn answer_request(
    server: &Arc<EngineServer>,
    interface: Interface,
    http: &Request,
    body: &str,
) -> Response {
    let id = http.header("x-request-id").unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let request = match EngineRequest::new(interface, id, &body, server.max_tokens_default) {
        Ok(request) => request,
        Err(problem) => return refusal(StatusCode::BAD_REQUEST, problem),
    };
    if !server.lock().orders.models.contains(&request.model) {
        let problem = format!("model \"{}\" is not loaded", request.model);
        return refusal(StatusCode::NOT_FOUND, &problem);
    }
    let recorded = recorded_run(&request, http);
    let (run, tokens) = server.lock().open(recorded, &request.prompt, request.tokens());
    let guard = RunGuard { server: server.clone(), run };
    server.work.notify_one();
    if request.stream {
        stream_answer(request, tokens, guard).into_response()
    } else {
        whole_answer(&request, tokens, guard).await
    }
}

fn refusal(status: StatusCode, problem: &str) -> Response {
    Json(error_body(problem, "invalid_request_error")).with_status(status).into_response()
}

fn recorded_run(request: &EngineRequest, http: &Request) -> RecordedRun {
    let priority = http.header("x-priority").and_then(|text| text.parse().ok());
    RecordedRun {
        request_id: request.id.clone(),
        model: request.model.clone(),
        prompt_hash: answer::hash(&[request.prompt.as_bytes()]),
        priority: priority.unwrap_or(0),
        path: http.uri().path_and_query().map_or("/", |path| path.as_str()).into(),
        headers: header_list(http.headers()),
        outcome: RecordedOutcome::Open,
        tokens: 0,
    }
}

fn stream_answer(
    request: EngineRequest,
    tokens: UnboundedReceiver<StepToken>,
    guard: RunGuard,
) -> SSE {
    let events = stream::unfold((request, tokens, guard), async |(request, mut tokens, guard)| {
        let token = tokens.recv().await?;
        let events: Vec<Event> = request.events(token).into_iter().map(Event::message).collect();
        Some((stream::iter(events), (request, tokens, guard)))
    });
    SSE::new(events.flatten())
}

async fn whole_answer(
    request: &EngineRequest,
    mut tokens: UnboundedReceiver<StepToken>,
    guard: RunGuard,
) -> Response {
    let mut last = false;
    while let Some(token) = tokens.recv().await {
        last = token.last;
    }
    drop(guard);
    if last {
        return Json(request.completion_body()).into_response();
    }
    let body = error_body("the request was cancelled", "cancelled");
    Json(body).with_status(StatusCode::SERVICE_UNAVAILABLE).into_response()
}

#[handler]
fn models(server: Server<'_>) -> Json<Value> {
    let state = server.lock();
    let models: Vec<Value> =
        state.orders.models.iter().map(|id| json!({ "id": id, "object": "model" })).collect();
    Json(json!({ "object": "list", "data": models, "role": state.orders.role }))
}

#[handler]
fn cancel(server: Server<'_>, Path(id): Path<String>) -> StatusCode {
    update_runs(&server, &id, |state, run| state.close(run, RecordedOutcome::Cancelled))
}

#[handler]
fn pause(server: Server<'_>, Path(id): Path<String>) -> StatusCode {
    update_runs(&server, &id, |state, run| state.batch.set_paused(run, true))
}

#[handler]
fn resume(server: Server<'_>, Path(id): Path<String>) -> StatusCode {
    update_runs(&server, &id, |state, run| state.batch.set_paused(run, false))
}

fn update_runs(
    server: &EngineServer,
    id: &str,
    change: fn(&mut EngineState, RunKey),
) -> StatusCode {
    let mut state = server.lock();
    let runs = state.runs_for_request(id);
    for &run in &runs {
        change(&mut state, run);
    }
    server.work.notify_one();
    if runs.is_empty() { StatusCode::NOT_FOUND } else { StatusCode::NO_CONTENT }
}

#[handler]
fn load(server: Server<'_>) -> Json<EngineLoad> {
    Json(server.lock().load())
}

/// Query string of a request for cache events: the first sequence number.
#[derive(Debug, Deserialize)]
struct EventQuery {
    from: u64,
}

#[handler]
fn cache_events(server: Server<'_>, Query(query): Query<EventQuery>) -> Json<Vec<CacheEvent>> {
    Json(server.lock().cache.events(query.from, Instant::now()))
}

#[handler]
fn order(server: Server<'_>, Json(order): Json<EngineOrder>) -> Response {
    if server.lock().orders.accept(order) {
        return StatusCode::NO_CONTENT.into();
    }
    refusal(StatusCode::CONFLICT, "the fencing number is old")
}

#[handler]
fn recorded_orders(server: Server<'_>) -> Json<Vec<EngineOrder>> {
    Json(server.lock().orders.accepted.clone())
}

#[handler]
fn recorded_runs(server: Server<'_>) -> Json<Vec<RecordedRun>> {
    Json(server.lock().recorded_runs.clone())
}

/// Body of a request that sets the speed of the engine; 1 is the configured speed.
#[derive(Debug, Deserialize)]
struct SpeedRequest {
    factor: f64,
}

#[handler]
fn set_speed(server: Server<'_>, Json(request): Json<SpeedRequest>) -> StatusCode {
    server.lock().batch.set_speed(request.factor);
    StatusCode::NO_CONTENT
}
