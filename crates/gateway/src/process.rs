//! The life of one entry: start, serve, drain, stop.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{SignalKind, signal},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    callers, clock, duty,
    error::{ErrorKind, GatewayError},
    follow,
    logs::{self, part},
    peer, ready,
    settings::GatewaySettings,
    state::GatewayState,
    store::FleetStore,
    wire::WireCodec,
};

/// Time between the signal to stop and the closing of connections: the balancer asks once a
/// second and needs two answers.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace at which the process gives up what is under way.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Serves as an entry until a signal to stop; `reload` reads the settings again.
///
/// # Errors
///
/// Fails if an address or a thread cannot be had.
pub fn run(
    settings: GatewaySettings,
    codec: WireCodec,
    store: FleetStore,
    reload: Box<dyn Fn() + Send + Sync>,
) -> Result<(), GatewayError> {
    logs::start(&settings.name)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| GatewayError::new(ErrorKind::Start { part: "traffic", source }))?;
    runtime.block_on(serve(settings, codec, store, reload))
}

async fn serve(
    settings: GatewaySettings,
    codec: WireCodec,
    store: FleetStore,
    reload: Box<dyn Fn() + Send + Sync>,
) -> Result<(), GatewayError> {
    let callers = listen(settings.callers, "callers")?;
    let ready = listen(settings.ready, "readiness")?;
    let peers = listen(settings.peers, "peers")?;
    let metrics = listen(SocketAddr::new(settings.ready.ip(), settings.metrics_port), "metrics")?;
    let grace = settings.grace;
    let state = Arc::new(GatewayState::new(settings, codec, store));
    log::info!(
        target: part::PROCESS,
        process = state.process.to_string(), domain = &*state.settings.domain,
        pid = std::process::id();
        "entry started"
    );
    let stop = CancellationToken::new();
    let stop_callers = CancellationToken::new();
    let connections = TaskTracker::new();
    let tasks = TaskTracker::new();
    tokio::spawn(follow::follow_config(Arc::clone(&state), stop.clone()));
    tokio::spawn(follow::follow_endpoints(Arc::clone(&state), stop.clone()));
    tokio::spawn(follow::tidy(Arc::clone(&state), stop.clone()));
    tokio::spawn(follow::exchange(Arc::clone(&state), stop.clone()));
    tokio::spawn(ready::serve(Arc::clone(&state), ready, stop.clone()));
    tokio::spawn(ready::serve(Arc::clone(&state), metrics, stop.clone()));
    tokio::spawn(peer::serve(Arc::clone(&state), peers, stop.clone()));
    tokio::spawn(duty::report(Arc::clone(&state), stop_callers.clone()));
    tasks.spawn(duty::share(Arc::clone(&state), stop.clone()));
    tokio::spawn(callers::serve(
        Arc::clone(&state),
        callers,
        stop_callers.clone(),
        connections.clone(),
    ));
    wait_for_stop(reload).await?;
    let signalled = clock::now();
    state.draining.store(true, Ordering::Relaxed);
    log::info!(target: part::PROCESS, grace_ms = grace.as_millis() as u64; "stopping");
    sleep(DRAIN_NOTICE.min(grace / 3)).await;
    stop_callers.cancel();
    connections.close();
    let left = grace.saturating_sub(GRACE_MARGIN + clock::now().since(signalled));
    let drained = tokio::time::timeout(left, connections.wait()).await.is_ok();
    stop.cancel();
    tasks.close();
    // What was counted last must be shared; the store may not answer.
    let shared = tokio::time::timeout(GRACE_MARGIN / 2, tasks.wait()).await.is_ok();
    log::info!(target: part::PROCESS, drained = drained, shared = shared; "stopped");
    Ok(())
}

/// Returns at the signal to stop; each signal to reload is passed on.
async fn wait_for_stop(reload: Box<dyn Fn() + Send + Sync>) -> Result<(), GatewayError> {
    let failed = |source| GatewayError::new(ErrorKind::Start { part: "signals", source });
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(failed)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                log::info!(target: part::PROCESS, "reloading settings");
                reload();
            }
        }
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, GatewayError> {
    let failed = |source| {
        let address = address.to_string().into();
        GatewayError::new(ErrorKind::Listen { purpose, address, source })
    };
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(callers::BACKLOG as u32).map_err(failed)
}
