//! The accept loop shared by all listening sockets of an entry.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{connection, logs::part};

/// Pause after a failed `accept`; most failures are a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Passes each accepted connection to `handle` until `stop` is cancelled. A connection whose peer
/// reads nothing for the time `unread` is closed.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    unread: Duration,
    stop: CancellationToken,
    handle: impl Fn(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(error) = connection::configure_socket(&stream, unread) {
                    let error = error.to_string();
                    log::warn!(
                        target: part::CALLERS, error = error;
                        "cannot set the options of an accepted socket"
                    );
                }
                handle(stream);
            }
            Err(error) => {
                log::warn!(
                    target: part::CALLERS, error = error.to_string();
                    "cannot accept a connection"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
