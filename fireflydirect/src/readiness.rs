//! Readiness endpoint for the balancer.

use crate::node::Node;
use crate::page_server::{self, Page, empty};
use fireflycroft_platform::ready_path;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Serves the endpoint for as long as the process lives.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    page_server::serve(listener, node.page_callers("readiness"), move |req| {
        page(&node, req)
    })
    .await;
}

fn page(node: &Node, req: &Request<Incoming>) -> Page {
    if req.uri().path() != ready_path() {
        empty(StatusCode::NOT_FOUND)
    } else if node.is_ready() {
        empty(StatusCode::OK)
    } else {
        empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}
