//! Runs one entry, which is a gateway process: starts its tasks, serves requests, drains connections
//! and stops.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    callers, clock, config_transfer, copy_search, duty,
    error::{ErrorKind, GatewayError},
    follow, listing_checks,
    logs::{self, part},
    origin_publisher, peer,
    planned_stop::GRACE_MARGIN,
    ready,
    settings::GatewaySettings,
    state::GatewayState,
    store::FleetStore,
    suspects,
    wire::WireCodec,
};

/// Time between reads of the settings that detect a change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);

/// Reads the settings again, or returns the reason why they are unusable.
pub type ReloadCall = Box<dyn Fn() -> Result<GatewaySettings, Box<str>> + Send + Sync>;

/// Starts logging and runs an entry until SIGTERM or SIGINT; `reload` reads the settings again.
///
/// # Errors
///
/// Fails if the logger or the runtime cannot be started, or if a listening socket cannot be opened.
pub fn run(
    settings: GatewaySettings,
    codec: WireCodec,
    store: FleetStore,
    reload: ReloadCall,
) -> Result<(), GatewayError> {
    logs::start(&settings.name)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| GatewayError::new(ErrorKind::Start { part: "traffic", source }))?;
    let served = runtime.block_on(async {
        let sockets = GatewaySockets::open(&settings)?;
        let stop = CancellationToken::new();
        tokio::spawn(stop_on_signal(stop.clone()));
        serve(settings, codec, store, reload, sockets, stop).await;
        Ok(())
    });
    logs::flush();
    served
}

/// Listening sockets of an entry.
#[derive(Debug)]
pub struct GatewaySockets {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    /// `None` if the address could not be opened; the entry then serves requests without metrics.
    metrics: Option<TcpListener>,
}

impl GatewaySockets {
    /// Opens the sockets named in `settings`; for port 0 the operating system picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address other than that of the metrics cannot be opened.
    pub fn open(settings: &GatewaySettings) -> Result<GatewaySockets, GatewayError> {
        let metrics = SocketAddr::new(settings.ready.ip(), settings.metrics_port);
        Ok(GatewaySockets {
            callers: listen(settings.callers, "callers")?,
            ready: listen(settings.ready, "readiness")?,
            peers: listen(settings.peers, "peers")?,
            metrics: listen(metrics, "metrics")
                .inspect_err(|error| {
                    log::error!(
                        target: part::PROCESS, error = error.to_string();
                        "cannot open the metrics address; serving without metrics"
                    );
                })
                .ok(),
        })
    }

    /// Returns the local addresses for callers, the load balancer and peers, in this order.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report an address.
    pub fn addresses(&self) -> std::io::Result<[SocketAddr; 3]> {
        Ok([self.callers.local_addr()?, self.ready.local_addr()?, self.peers.local_addr()?])
    }
}

/// Serves as an entry until `stop` is cancelled, then drains connections within the grace period.
pub async fn serve(
    settings: GatewaySettings,
    codec: WireCodec,
    store: FleetStore,
    reload: ReloadCall,
    sockets: GatewaySockets,
    stop: CancellationToken,
) {
    let grace = settings.grace;
    let state = Arc::new(GatewayState::new(settings, codec, store));
    log::info!(
        target: part::PROCESS,
        process = state.process.to_string(), domain = &*state.settings.domain,
        pid = std::process::id();
        "entry started"
    );
    let stop_tasks = CancellationToken::new();
    let stop_serving = CancellationToken::new();
    let connections = TaskTracker::new();
    let awaited_tasks = TaskTracker::new();
    start_followers(&state, &stop_tasks);
    let reload = Arc::new(reload);
    start_servers(&state, sockets, &stop_tasks, &stop_serving, &connections);
    // The duty is released as soon as the entry stops accepting callers, before connections drain.
    tokio::spawn(lasting_task(&state, &stop_serving, "report_usage", duty::report_usage));
    awaited_tasks.spawn(lasting_task(&state, &stop_tasks, "publish_shares", duty::publish_shares));
    awaited_tasks.spawn(lasting_task(
        &state,
        &stop_tasks,
        "publish_suspects",
        suspects::publish_suspects,
    ));
    awaited_tasks.spawn(lasting_task(
        &state,
        &stop_tasks,
        "publish_origins",
        origin_publisher::publish_origins,
    ));
    tokio::spawn(lasting_task(
        &state,
        &stop_tasks,
        "pass_on_origins",
        origin_publisher::pass_on_origins,
    ));
    let follow =
        move |state, stop: CancellationToken| follow_settings(state, Arc::clone(&reload), stop);
    tokio::spawn(lasting_task(&state, &stop_tasks, "follow_settings", follow));
    stop.cancelled().await;
    state.planned_stop.begin(clock::now(), grace);
    log::info!(target: part::PROCESS, grace_ms = grace.as_millis() as u64; "stopping");
    sleep(state.planned_stop.until_closed(clock::now())).await;
    stop_serving.cancel();
    connections.close();
    let drained = drain(&state, &connections).await;
    stop_tasks.cancel();
    awaited_tasks.close();
    // The last counts must reach the store; the timeout covers a store that does not answer.
    let shared = timeout(GRACE_MARGIN / 2, awaited_tasks.wait()).await.is_ok();
    log::info!(target: part::PROCESS, drained = drained, shared = shared; "stopped");
}

/// Waits until all connections are closed; requests that have no answer when answers are due get one then.
///
/// Returns false if connections are open at the end of the grace period.
async fn drain(state: &GatewayState, connections: &TaskTracker) -> bool {
    let until_due = state.planned_stop.until_due(clock::now());
    if timeout(until_due, connections.wait()).await.is_ok() {
        return true;
    }
    log::info!(target: part::PROCESS, open = connections.len(); "answers are due");
    state.planned_stop.end_answers();
    timeout(state.planned_stop.until_end(clock::now()), connections.wait()).await.is_ok()
}

/// Starts the tasks that follow the store and exchange state with other entries.
fn start_followers(state: &Arc<GatewayState>, stop: &CancellationToken) {
    tokio::spawn(lasting_task(state, stop, "follow_config", follow::follow_config));
    tokio::spawn(lasting_task(state, stop, "follow_endpoints", follow::follow_endpoints));
    tokio::spawn(lasting_task(state, stop, "follow_suspects", follow::follow_suspects));
    tokio::spawn(lasting_task(state, stop, "expire_idle", follow::expire_idle));
    tokio::spawn(lasting_task(state, stop, "check_listings", listing_checks::check_listings));
    tokio::spawn(lasting_task(state, stop, "exchange_with_peers", follow::exchange_with_peers));
    tokio::spawn(lasting_task(state, stop, "search_copies", copy_search::search_copies));
    tokio::spawn(lasting_task(state, stop, "fetch_configs", config_transfer::fetch_configs));
}

/// Returns the task `run` named `name`, which is started again if it ends by a panic.
fn lasting_task<F, R>(
    state: &Arc<GatewayState>,
    stop: &CancellationToken,
    name: &'static str,
    run: R,
) -> impl Future<Output = ()> + use<F, R>
where
    F: Future<Output = ()> + Send + 'static,
    R: Fn(Arc<GatewayState>, CancellationToken) -> F,
{
    let (state, stop) = (Arc::clone(state), stop.clone());
    state.metrics.clone().run_task(name, move || run(Arc::clone(&state), stop.clone()))
}

/// Starts the servers of all sockets.
fn start_servers(
    state: &Arc<GatewayState>,
    sockets: GatewaySockets,
    stop: &CancellationToken,
    stop_serving: &CancellationToken,
    connections: &TaskTracker,
) {
    tokio::spawn(ready::serve(Arc::clone(state), sockets.ready, stop.clone()));
    if let Some(metrics) = sockets.metrics {
        tokio::spawn(ready::serve(Arc::clone(state), metrics, stop.clone()));
    }
    tokio::spawn(peer::serve(Arc::clone(state), sockets.peers, stop.clone()));
    // The accept loop may accept connections until it has ended, so it is awaited like them.
    connections.spawn(callers::serve(
        Arc::clone(state),
        sockets.callers,
        stop_serving.clone(),
        connections.clone(),
    ));
}

/// Cancels `stop` on SIGTERM or SIGINT, or immediately if these signals cannot be received.
async fn stop_on_signal(stop: CancellationToken) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!(target: part::PROCESS, "signals cannot be received; stopping");
        return stop.cancel();
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop.cancel();
}

/// Reads the settings again on each SIGHUP and every [`RELOAD_PERIOD`], until `stop` is cancelled.
///
/// The seeds and the retry allowance are applied after a SIGHUP or if any setting changed; changes
/// of other settings take effect only after a restart. Unusable settings are logged, and the
/// previous settings stay in effect.
async fn follow_settings(
    state: Arc<GatewayState>,
    reload: Arc<ReloadCall>,
    stop: CancellationToken,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(
                target: part::PROCESS, error = error.to_string();
                "cannot receive SIGHUP; settings are not reloaded"
            );
            return;
        }
    };
    let mut known = state.settings.clone();
    let mut failure: Option<Box<str>> = None;
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return,
            _ = hangup.recv() => true,
            () = sleep(RELOAD_PERIOD) => false,
        };
        match reload() {
            Ok(settings) => {
                if signalled || settings != known {
                    log::info!(target: part::PROCESS, signalled = signalled; "settings reloaded");
                    state.apply_settings(&settings);
                    known = settings;
                }
                failure = None;
            }
            // The same error is logged only once, unless a signal asked for the reload.
            Err(error) if signalled || failure.as_ref() != Some(&error) => {
                log::warn!(target: part::PROCESS, error = &*error; "settings kept: the new ones are unusable");
                failure = Some(error);
            }
            Err(_) => {}
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
    socket.listen(callers::LISTEN_BACKLOG).map_err(failed)
}
