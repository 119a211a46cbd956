//! The thread that owns the control state.

use std::{io, sync::Arc, thread::JoinHandle};

use pimentorock_platform::host_client::HostClient;
use pimentorock_settings::process::ProcessSettings;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    control::{ControlCore, follower::ConfigFollower, host_watcher::HostWatcher},
    error::{DaemonError, ErrorKind},
    logs::part,
    operators::OperatorState,
    peer,
    state::{OrderSender, SnapshotLog, SnapshotWriter, StateFollower, UsageReporter},
};

/// Listening sockets of the control thread.
#[derive(Debug)]
pub(crate) struct ControlSockets {
    /// Socket for calls of peers.
    pub(crate) peer: std::net::TcpListener,
    /// Socket for operators' HTTP requests.
    pub(crate) operators: std::net::TcpListener,
}

/// Handle to the thread that runs all tasks of the control state.
#[derive(Debug)]
pub(crate) struct ControlThread {
    handle: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread; it ends when `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its runtime cannot be started.
    pub(crate) fn start(
        core: Arc<ControlCore>,
        operators: OperatorState,
        sockets: ControlSockets,
        settings: &ProcessSettings,
        stop: CancellationToken,
    ) -> Result<ControlThread, DaemonError> {
        let failed = |source| DaemonError::new(ErrorKind::Start { part: "control thread", source });
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let settings = settings.clone();
        let run = move || {
            let ended = runtime.block_on(run(core, operators, sockets, &settings, stop));
            if let Err(error) = ended {
                log::error!(target: part::CONTROL, "The control thread ended: {error}.");
            }
        };
        let builder = std::thread::Builder::new().name("control".to_owned());
        Ok(ControlThread { handle: builder.spawn(run).map_err(failed)? })
    }

    /// Waits until the thread has ended.
    pub(crate) fn join(self) {
        // A panic of the thread was already printed.
        let _ = self.handle.join();
    }
}

/// Runs all tasks of the control thread until `stop` is cancelled.
async fn run(
    core: Arc<ControlCore>,
    operators: OperatorState,
    sockets: ControlSockets,
    settings: &ProcessSettings,
    stop: CancellationToken,
) -> io::Result<()> {
    let http = reqwest::Client::new();
    let replica = core.shared_replica();
    let platform = &*settings.platform;
    let peer_listener = TcpListener::from_std(sockets.peer)?;
    let operators_listener = TcpListener::from_std(sockets.operators)?;
    let follower = ConfigFollower::new(Arc::clone(&core), http.clone(), platform);
    let hosts = HostClient::new(http.clone(), platform);
    let watcher = HostWatcher::new(Arc::clone(&core), hosts, settings.peers.clone());
    let state = StateFollower::new(Arc::clone(&core), Arc::clone(&replica), http.clone(), platform);
    let snapshots = SnapshotLog::new(http.clone(), platform);
    let writer =
        SnapshotWriter::new(Arc::clone(&core), Arc::clone(&replica), snapshots, settings.snapshots);
    let sender = OrderSender::new(Arc::clone(&core), Arc::clone(&replica), http.clone(), platform);
    let reporter = UsageReporter::new(Arc::clone(&core), replica, http, platform);
    tokio::join!(
        follower.run(stop.clone()),
        watcher.run(stop.clone()),
        state.run(stop.clone()),
        reporter.run(stop.clone()),
        sender.run(stop.clone()),
        writer.run(stop.clone()),
        peer::serve(core, peer_listener, stop.clone()),
        operators.serve(operators_listener, stop),
    );
    Ok(())
}
