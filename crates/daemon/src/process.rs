//! Lifecycle of one daemon process: start, serve, drain, stop.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use pimentorock_kernel::ids::ProcessId;
use pimentorock_settings::process::{ProcessRole, ProcessSettings};
use poem::{Endpoint, Response, Server, listener::TcpAcceptor};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::{self, state::AgentState},
    clock::ProcessClock,
    control::{ControlCore, ControlHandles, ControlIdentity, ControlSockets, ControlThread},
    entry::{
        self,
        entry_report::EntryReportCell,
        state::{EntryParts, EntryState},
    },
    error::{DaemonError, ErrorKind},
    explain::ExplainLog,
    logs::{self, part},
    operators::{OperatorState, ServiceMetrics},
    peer::ByteCount,
    recorder::ServiceRecorder,
    state::{AnswerCache, BackupCounter, ClaimRegistry, StateReplica, UsageCounter},
    view::ViewCell,
};

/// Number of threads that serve traffic.
const TRAFFIC_THREADS: usize = 4;

/// Maximum time to connect to another process or an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between the stop signal and the closing of the listener.
///
/// Meanwhile the load balancer or the entries learn of the drain and send new requests elsewhere.
const DRAIN_NOTICE: Duration = Duration::from_millis(1000);

/// Maximum time that a stopping process waits until the log holds its last records.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between checks whether the log holds the last records.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);

/// Runs one process from its settings file, or only checks the file if `check` is true.
///
/// # Errors
///
/// Fails if the settings are unreadable or invalid, or if a socket, a thread or a part of the
/// process cannot be started.
pub fn run(path: &Path, check: bool) -> Result<(), DaemonError> {
    let settings = read_settings(path)?;
    if check {
        println!("{}: no findings", path.display());
        return Ok(());
    }
    logs::start(&settings.logs)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|source| DaemonError::new(ErrorKind::Start { part: "traffic", source }))?;
    runtime.block_on(serve(settings))
}

fn read_settings(path: &Path) -> Result<ProcessSettings, DaemonError> {
    let text = std::fs::read_to_string(path).map_err(|source| {
        DaemonError::new(ErrorKind::ReadSettings { path: path.to_owned(), source })
    })?;
    ProcessSettings::parse(&text, &path.display().to_string())
        .map_err(|report| DaemonError::new(ErrorKind::Settings(report)))
}

/// Listening sockets of one process, with their bound addresses.
struct ProcessSockets {
    listen: TcpListener,
    listen_address: SocketAddr,
    peer_address: SocketAddr,
    operators_address: SocketAddr,
    control: ControlSockets,
}

impl ProcessSockets {
    fn open(settings: &ProcessSettings) -> Result<ProcessSockets, DaemonError> {
        let (listen, listen_address) = open(settings.listen, "requests")?;
        let (peer, peer_address) = open(settings.peer, "peers")?;
        let (operators, operators_address) = open(settings.operators, "operators")?;
        let control = ControlSockets { peer, operators };
        Ok(ProcessSockets { listen, listen_address, peer_address, operators_address, control })
    }

    /// Prints the addresses as one line of JSON, for the program that started the process.
    fn announce(&self) {
        let line = serde_json::json!({
            "listen": self.listen_address,
            "peer": self.peer_address,
            "operators": self.operators_address,
        });
        println!("{line}");
        // A closed standard output does not affect the service.
        let _ = std::io::stdout().flush();
    }
}

fn open(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let failed = |source| {
        let address = address.to_string().into();
        DaemonError::new(ErrorKind::Listen { purpose, address, source })
    };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Serves in the role of the settings until a signal drains the process.
async fn serve(settings: ProcessSettings) -> Result<(), DaemonError> {
    let clock = ProcessClock::new();
    let process = ProcessId { name: settings.name.clone(), incarnation: clock.incarnation() };
    let sockets = ProcessSockets::open(&settings)?;
    let views = ViewCell::new(&settings.name);
    let explain = ExplainLog::new();
    let recorder = ServiceRecorder::new();
    let peer_bytes = ByteCount::default();
    let metrics = ServiceMetrics::new(peer_bytes.clone());
    let http = http_client()?;
    let stop = CancellationToken::new();
    let draining = Arc::new(AtomicBool::new(false));
    let is_agent = settings.role == ProcessRole::Agent;
    let claims = Arc::new(ClaimRegistry::new(process.clone()));
    let usage = Arc::new(BackupCounter::new(process.clone()));
    let counter = Arc::new(UsageCounter::new(process.clone()));
    let answers = AnswerCache::new();
    let replica = Arc::new(StateReplica::new(
        clock,
        process.clone(),
        (!is_agent).then(|| Arc::clone(&claims)),
        (!is_agent).then(|| Arc::clone(&usage)),
        is_agent.then(|| Arc::clone(&counter)),
    ));
    let agent = is_agent.then(|| {
        let endpoints = &settings.endpoints;
        let counter = Arc::clone(&counter);
        Arc::new(AgentState::start(
            clock,
            views.clone(),
            &explain,
            &http,
            endpoints,
            counter,
            &stop,
        ))
    });
    let identity = ControlIdentity {
        process: process.clone(),
        role: settings.role.as_str(),
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        listen: sockets.listen_address,
        peer: sockets.peer_address,
    };
    let (sender, router_updates) = mpsc::unbounded_channel();
    let entry_report = EntryReportCell::default();
    let handles = ControlHandles {
        agent: agent.clone(),
        router: sender,
        entry_report: Arc::clone(&entry_report),
        replica,
        answers: answers.clone(),
        peer_bytes,
    };
    let core = Arc::new(ControlCore::new(clock, identity, views.clone(), handles));
    sockets.announce();
    let operators = OperatorState {
        core: Arc::clone(&core),
        recorder: recorder.clone(),
        explain: explain.clone(),
        metrics: metrics.clone(),
        draining: Arc::clone(&draining),
    };
    let control = ControlThread::start(
        Arc::clone(&core),
        operators,
        sockets.control,
        &settings,
        stop.clone(),
    )?;
    log::info!(target: part::PROCESS, "Process {process} serves as {}.", settings.role.as_str());
    let closing = CancellationToken::new();
    let drain = drain_on_signal(agent.clone(), draining, closing.clone());
    match agent {
        Some(state) => {
            let routes = agent::server::routes(Arc::clone(&state));
            serve_until_drained(sockets.listen, routes, closing, drain).await?;
            state.tracker.close();
            state.tracker.wait().await;
        }
        None => {
            let parts = EntryParts {
                clock,
                process,
                views,
                http,
                recorder,
                explain,
                metrics,
                entry_report,
                claims,
                usage,
                answers,
            };
            let state = Arc::new(EntryState::new(parts, &settings.domain));
            tokio::spawn(Arc::clone(&state).apply_updates(router_updates, stop.clone()));
            let routes = entry::server::routes(Arc::clone(&state));
            serve_until_drained(sockets.listen, routes, closing, drain).await?;
            state.tracker.close();
            state.tracker.wait().await;
        }
    }
    wait_until_settled(&core).await;
    stop.cancel();
    control.join();
    log::info!(target: part::PROCESS, "The process has drained and stops.");
    Ok(())
}

/// Waits until the log holds all counts and claims of this process and its release of the lease.
///
/// Gives up after `SETTLE_TIMEOUT`; peers append the counts that are missing.
async fn wait_until_settled(core: &ControlCore) {
    core.close();
    let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
    while !core.replica().is_settled() {
        if tokio::time::Instant::now() >= deadline {
            log::warn!(target: part::PROCESS, "The log does not hold all records of this process; peers append the missing counts.");
            return;
        }
        tokio::time::sleep(SETTLE_PERIOD).await;
    }
}

/// Returns the client for calls to agents and endpoints, without redirects, proxies and retries.
fn http_client() -> Result<reqwest::Client, DaemonError> {
    let failed = |error: reqwest::Error| {
        let source = std::io::Error::other(error);
        DaemonError::new(ErrorKind::Start { part: "HTTP client", source })
    };
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .map_err(failed)
}

/// Serves `routes` until `closing` is cancelled and every connection has ended.
async fn serve_until_drained(
    listener: TcpListener,
    routes: impl Endpoint<Output = Response> + 'static,
    closing: CancellationToken,
    drain: impl Future<Output = ()> + Send + 'static,
) -> Result<(), DaemonError> {
    let failed = |source| DaemonError::new(ErrorKind::Start { part: "requests", source });
    let acceptor = TcpAcceptor::from_std(listener).map_err(failed)?;
    tokio::spawn(drain);
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes, closing.cancelled_owned(), None)
        .await
        .map_err(failed)
}

/// Waits for a stop signal, announces the drain, and cancels `closing` after `DRAIN_NOTICE`.
async fn drain_on_signal(
    agent: Option<Arc<AgentState>>,
    draining: Arc<AtomicBool>,
    closing: CancellationToken,
) {
    wait_for_signal().await;
    log::info!(target: part::PROCESS, "The process starts to drain.");
    draining.store(true, Ordering::Release);
    if let Some(agent) = agent {
        agent.drain().await;
    }
    tokio::time::sleep(DRAIN_NOTICE).await;
    closing.cancel();
}

/// Waits for SIGTERM or SIGINT; waits forever if no handler can be installed.
async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
