//! A fake process that serves the operator interface; its burn counts and the steps of its
//! explanations are fixed.

use std::sync::{Arc, Mutex};

use pimentorock_kernel::ids::ProcessId;
use pimentorock_platform::operator_wire::{
    BurnAnswer, BurnRow, BurnWindow, EndpointStatus, ExplainAnswer, ExplainStep, LeaseStatus,
    MemberStatus, StatusAnswer, WithdrawRequest,
};
use poem::{
    EndpointExt, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    middleware::AddData,
    post,
    web::{Data, Json, Path},
};

/// A fake process with a fixed name and role. The role decides the answers: only an agent manages
/// endpoint `e1`, and only an entry has burn counts.
#[derive(Clone)]
pub struct FakeProcess {
    pub url: String,
    pub name: &'static str,
    role: &'static str,
    state: Arc<Mutex<ProcessState>>,
}

#[derive(Default)]
struct ProcessState {
    revision: u64,
    draining: bool,
    withdrawn: Vec<String>,
}

impl FakeProcess {
    pub async fn start(name: &'static str, role: &'static str, revision: u64) -> FakeProcess {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let state = ProcessState { revision, ..ProcessState::default() };
        let fake = FakeProcess { url, name, role, state: Arc::new(Mutex::new(state)) };
        let app = Route::new()
            .at("/status", get(status))
            .at("/explain/:request", get(explain))
            .at("/burn", get(burn))
            .at("/endpoints/:name/drain", post(drain))
            .at("/keys/withdraw", post(withdraw))
            .with(AddData::new(fake.clone()));
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
        fake
    }

    pub fn set_revision(&self, revision: u64) {
        self.state.lock().unwrap().revision = revision;
    }

    pub fn withdrawn(&self) -> Vec<String> {
        self.state.lock().unwrap().withdrawn.clone()
    }
}

#[handler]
async fn status(Data(fake): Data<&FakeProcess>) -> Json<StatusAnswer> {
    let state = fake.state.lock().unwrap();
    let endpoint = EndpointStatus {
        name: "e1".into(),
        up: true,
        draining: state.draining,
        running: 3,
        waiting: vec![0, 2, 1],
        slots: 8,
        own: fake.role == "agent",
    };
    // The endpoint's own agent reports 3 running requests; other processes report an outdated 7.
    let endpoint = if endpoint.own { endpoint } else { EndpointStatus { running: 7, ..endpoint } };
    let down_endpoint =
        EndpointStatus { name: "e2".into(), up: false, own: false, ..endpoint.clone() };
    let member = |name: &str, state: &str| MemberStatus { name: name.into(), state: state.into() };
    Json(StatusAnswer {
        process: ProcessId { name: fake.name.into(), incarnation: 7 },
        role: fake.role.into(),
        domain: "d1".into(),
        revision: state.revision,
        endpoints: vec![endpoint, down_endpoint],
        members: vec![member("agent-1", "alive"), member("agent-2", "suspect")],
        lease: Some(LeaseStatus { holder: "entry-1".into(), fencing: 41 }),
    })
}

#[handler]
async fn explain(
    Path(request): Path<String>,
    Data(fake): Data<&FakeProcess>,
) -> Result<Json<ExplainAnswer>, StatusCode> {
    // The identifier of the unknown request in `session.rs` starts with these digits.
    if request.starts_with("00") {
        return Err(StatusCode::NOT_FOUND);
    }
    let step = |at_ms: u64, part: &str, text: &str| ExplainStep {
        at_ms,
        part: part.into(),
        text: text.into(),
    };
    let steps = match fake.role {
        "entry" => vec![
            step(1_764_800_000_000, "entry", "class north/chat, endpoint e1: shortest expected"),
            step(1_764_800_000_950, "entry", "answer whole after 950 ms"),
        ],
        _ => vec![step(1_764_800_000_004, "agent", "a slot was free")],
    };
    Ok(Json(ExplainAnswer { request: request.into(), steps }))
}

#[handler]
async fn burn(Data(fake): Data<&FakeProcess>) -> Json<BurnAnswer> {
    if fake.role == "agent" {
        return Json(BurnAnswer::default());
    }
    let row = |class: &str, requests: u64, missed: u64| BurnRow {
        class: class.into(),
        account: "north/shop".into(),
        requests,
        first_token_met: requests - missed,
        between_tokens_met: requests,
        deadline_met: requests - missed / 2,
        refused: missed / 4,
        target: 0.95,
    };
    let window = |window_s: u64, rows: Vec<BurnRow>| BurnWindow { window_s, rows };
    Json(BurnAnswer {
        windows: vec![
            window(300, vec![row("north/chat", 100, 20), row("north/bulk", 10, 0)]),
            window(3600, vec![row("north/chat", 1200, 60)]),
            window(21_600, vec![row("north/chat", 5000, 100)]),
            window(259_200, vec![row("north/chat", 90_000, 900), row("north/bulk", 0, 0)]),
        ],
    })
}

#[handler]
async fn drain(Path(name): Path<String>, Data(fake): Data<&FakeProcess>) -> StatusCode {
    if fake.role != "agent" || name != "e1" {
        return StatusCode::NOT_FOUND;
    }
    fake.state.lock().unwrap().draining = true;
    StatusCode::OK
}

#[handler]
async fn withdraw(
    Data(fake): Data<&FakeProcess>,
    Json(request): Json<WithdrawRequest>,
) -> StatusCode {
    fake.state.lock().unwrap().withdrawn.push(request.hash.into());
    StatusCode::OK
}
