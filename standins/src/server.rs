//! Starting and stopping an HTTP server within a process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::listener::TcpAcceptor;
use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::acceptor::NoDelayAcceptor;

/// A running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    stop: Stop,
    server: JoinHandle<io::Result<()>>,
    _tasks: JoinSet<()>,
}

/// A signal that stops a server and closes its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stop(Arc<Notify>);

impl Stop {
    /// Stops the server now.
    pub(crate) fn stop(&self) {
        self.0.notify_one();
    }
}

impl Running {
    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Stops the server, closes all connections and waits for termination.
    pub async fn kill(mut self) {
        self.stop.stop();
        self.stopped().await;
    }

    /// Waits until the server has stopped.
    pub async fn stopped(&mut self) {
        match (&mut self.server).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => log::error!("event=server-failed error={err}"),
            Err(err) => log::error!("event=server-panicked error={err}"),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Serves `ep` on `listener` until `stop`; dropping the handle aborts `tasks`.
pub(crate) fn start<E>(
    listener: TcpListener,
    ep: E,
    stop: Stop,
    tasks: JoinSet<()>,
) -> io::Result<Running>
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let addr = listener.local_addr()?;
    let acceptor = NoDelayAcceptor(TcpAcceptor::from_tokio(listener)?);
    let ep = ep.into_endpoint();
    let signal = stop.clone();
    let server = tokio::spawn(async move {
        Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(
                ep,
                async move { signal.0.notified().await },
                Some(Duration::ZERO),
            )
            .await
    });
    Ok(Running {
        addr,
        stop,
        server,
        _tasks: tasks,
    })
}
