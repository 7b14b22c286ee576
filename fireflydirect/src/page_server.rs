//! HTTP server for short responses to the balancer, other entries and operators.

use bytes::Bytes;
use fireflycroft::Purpose;
use fireflynet::{Account, CallerStream, Callers, HeadLimits};
use http_body_util::{BodyExt, Full};
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

/// Limits on the head of a request for a page.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 16 << 10,
    time: Duration::from_secs(10),
};

/// A response whose body is held in memory.
pub type Page = Response<Full<Bytes>>;

/// Answers each request with the response of `page`, for as long as the process lives.
pub async fn serve(
    listener: TcpListener,
    callers: Callers,
    page: impl Fn(&Request<Incoming>) -> Page + 'static,
) {
    let page = Rc::new(page);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(account) = callers.open(peer) {
                    tokio::task::spawn_local(serve_connection(stream, account, page.clone()));
                }
                // Connections that give way to it close before the next one comes.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string(); "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    account: Account,
    page: Rc<impl Fn(&Request<Incoming>) -> Page>,
) {
    let service = service_fn(|req| {
        let call = account.begin_call();
        let answer = page(&req);
        let account = account.clone();
        async move {
            let answer = reserve(answer, &account).await;
            drop(call);
            Ok::<_, Infallible>(answer)
        }
    });
    let stream = CallerStream::new(stream, account.clone(), HEAD_LIMITS);
    // Clients retry the request when their connection breaks.
    let _ = http1::Builder::new()
        .max_buf_size(HEAD_LIMITS.bytes)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reserves the memory of a page until it is written; the page says so if there is none.
async fn reserve(answer: Page, account: &Account) -> Page {
    let (parts, body) = answer.into_parts();
    let bytes = match body.collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(never) => match never {},
    };
    let Some(charge) = account.reserve(bytes.len() as u64, Purpose::Answer) else {
        log::warn!(event = "page_refused", bytes = bytes.len(); "");
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    Response::from_parts(parts, Full::new(charge.hold(bytes)))
}

/// Returns a response with a status and no body.
#[must_use]
pub fn empty(status: StatusCode) -> Page {
    let mut page = Page::default();
    *page.status_mut() = status;
    page
}
