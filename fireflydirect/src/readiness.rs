//! The address where the balancer asks whether callers should be sent here.

use crate::node::Node;
use bytes::Bytes;
use fireflycroft_platform::ready_path;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Answers for as long as the process lives.
pub async fn answer(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| {
                let status = status(&node, &req);
                async move { Ok::<_, Infallible>(reply(status)) }
            });
            // The balancer asks again if its connection breaks.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn status(node: &Node, req: &Request<Incoming>) -> StatusCode {
    if req.uri().path() != ready_path() {
        StatusCode::NOT_FOUND
    } else if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn reply(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}
