//! HTTP/1.1 server for callers and operators.
//!
//! A connection carries one request at a time, and an answer's bytes stay in the buffers that were handed over until
//! they are written, so that the account of its connection bounds both.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Response};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::acceptor::HEAD_LIMITS;

/// Delay after a failed accept: shortages of descriptors are brief.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the connections of `acceptor` until `stop` completes, and those that are open then until they have ended or
/// `grace` is over.
pub(crate) async fn serve(
    mut acceptor: impl Acceptor,
    endpoint: impl Endpoint<Output = Response> + 'static,
    stop: impl Future<Output = ()>,
    grace: Option<Duration>,
) {
    let endpoint = Arc::new(endpoint);
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = stop.as_mut() => break,
            Some(ended) = connections.join_next() => {
                log_panic(ended);
                continue;
            }
            accepted = acceptor.accept() => accepted,
        };
        match accepted {
            Ok((stream, local, remote, scheme)) => {
                let origin = (local, remote, scheme);
                let closing = closing.subscribe();
                connections.spawn(serve_connection(stream, origin, endpoint.clone(), closing));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error:% = e; "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(acceptor);
    closing.send_replace(true);
    let all_ended = async {
        while let Some(ended) = connections.join_next().await {
            log_panic(ended);
        }
    };
    match grace {
        None => all_ended.await,
        // Connections that are still open are closed.
        Some(grace) => drop(tokio::time::timeout(grace, all_ended).await),
    }
}

/// Logs the panic of a connection's task.
pub(crate) fn log_panic(ended: Result<(), tokio::task::JoinError>) {
    if let Err(e) = ended {
        log::error!(event = "connection_panicked", error:% = e; "");
    }
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    origin: (LocalAddr, RemoteAddr, Scheme),
    endpoint: Arc<impl Endpoint<Output = Response>>,
    mut closing: watch::Receiver<bool>,
) {
    let service = service_fn(|req: hyper::Request<Incoming>| {
        let endpoint = endpoint.clone();
        let (local, remote, scheme) = origin.clone();
        async move {
            let answer = endpoint.get_response((req, local, remote, scheme).into());
            Ok::<hyper::Response<_>, Infallible>(answer.await.into())
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size(HEAD_LIMITS.bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    tokio::select! {
        // A connection broken by its caller isn't logged.
        _ = conn.as_mut() => return,
        // Fails once the server is gone, which closes as well.
        _ = closing.wait_for(|closing| *closing) => {}
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}
