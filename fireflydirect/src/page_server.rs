//! HTTP server for short responses to the balancer, other entries and operators.

use bytes::Bytes;
use fireflynet::LingeringStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept: a shortage of file descriptors is brief.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A response whose body is held in memory.
pub type Page = Response<Full<Bytes>>;

/// Answers each request with the response of `page`, for as long as the process lives.
pub async fn serve(listener: TcpListener, page: impl Fn(&Request<Incoming>) -> Page + 'static) {
    let page = Rc::new(page);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, page.clone()));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string(); "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, page: Rc<impl Fn(&Request<Incoming>) -> Page>) {
    let service = service_fn(|req| {
        let answer = page(&req);
        async move { Ok::<_, Infallible>(answer) }
    });
    // Clients retry the request when their connection breaks.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(LingeringStream::new(stream)), service)
        .await;
}

/// Returns a response with a status and no body.
#[must_use]
pub fn empty(status: StatusCode) -> Page {
    let mut page = Page::default();
    *page.status_mut() = status;
    page
}
