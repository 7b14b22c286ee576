//! Connections to an upstream.

use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::engine::{Shared, answer};
use super::faults::Loss;
use super::http::{read_request, reset, until_closed};
use super::runs::UnheardRun;
use super::start::{close, close_port};

/// Action on a connection after a request.
pub(super) enum ConnectionAction<'a> {
    Keep,
    Reset,
    Close,
    /// Ends in one direction, until the caller closes it.
    HalfClose,
    /// Ends before the run does.
    WorkOn(UnheardRun<'a>, Loss),
}

pub(super) async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let (closing, closed) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        tokio::select! {
            accepted = next_connection(listener.as_ref()) => {
                let Some(stream) = accepted else { return };
                connections.spawn(serve_connection(stream, shared.clone(), closed.clone()));
            }
            () = shared.refuse.notified() => {
                listener.take().into_iter().for_each(close_port);
            }
            () = shared.crash.notified() => break,
            _ = stopped.wait_for(|s| *s) => break,
        }
    }
    let port_delay = shared.record.port_delay();
    let end_connections = async move {
        closing.send_replace(true);
        connections.shutdown().await;
    };
    close(listener, port_delay, end_connections).await;
}

/// Returns the next connection; never if the port is closed.
async fn next_connection(listener: Option<&TcpListener>) -> Option<TcpStream> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let (stream, _) = listener.accept().await.ok()?;
    Some(stream)
}

async fn serve_connection(
    mut stream: TcpStream,
    shared: Arc<Shared>,
    mut closed: watch::Receiver<bool>,
) {
    let mut buf = Vec::new();
    let mut second = None;
    loop {
        let read = tokio::select! {
            read = read_request(&mut stream, &mut buf) => read,
            _ = closed.wait_for(|c| *c) => return reset(stream),
        };
        let Ok(Some(req)) = read else { return };
        match answer(&mut stream, &shared, &req, &mut second).await {
            Ok(ConnectionAction::Keep) => {}
            Ok(ConnectionAction::Reset) => return reset(stream),
            Ok(ConnectionAction::Close) => {
                // Fails when the caller has closed it already.
                let _ = stream.shutdown().await;
                return;
            }
            Ok(ConnectionAction::HalfClose) => {
                // The same.
                let _ = stream.shutdown().await;
                return until_closed(&stream).await;
            }
            Ok(ConnectionAction::WorkOn(run, Loss::Reset)) => {
                reset(stream);
                return run.work_on().await;
            }
            Ok(ConnectionAction::WorkOn(run, Loss::Close)) => {
                drop(stream);
                return run.work_on().await;
            }
            Err(_) => return,
        }
    }
}
