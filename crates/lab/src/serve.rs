//! Serves stand-ins over HTTP.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use poem::{
    Endpoint, IntoEndpoint, Server,
    listener::{Acceptor, Listener, TcpListener},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
};

/// Serves `app` until the process receives SIGTERM or SIGINT.
///
/// Prints the socket address as one line of JSON to the standard output once the socket is
/// bound.
///
/// # Errors
///
/// Fails if the address cannot be bound, a signal handler cannot be installed, or the server
/// fails.
pub async fn run<E>(listen: SocketAddr, app: E) -> io::Result<()>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Endpoint + 'static,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (address, server) = spawn(listen, app).await?;
    println!("{}", serde_json::json!({ "listening": address.to_string() }));
    io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        ended = server => ended.map_err(io::Error::other)?,
    }
}

/// Serves `app` in a spawned task and returns the bound address with the task's handle.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn<E>(
    listen: SocketAddr,
    app: E,
) -> io::Result<(SocketAddr, JoinHandle<io::Result<()>>)>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Endpoint + 'static,
{
    let acceptor = TcpListener::bind(listen).into_acceptor().await?;
    let address = acceptor
        .local_addr()
        .iter()
        .find_map(|address| address.as_socket_addr().copied())
        .ok_or_else(|| io::Error::other("the listener has no socket address"))?;
    let server = Server::new_with_acceptor(acceptor);
    Ok((address, tokio::spawn(async move { server.run(app).await })))
}
