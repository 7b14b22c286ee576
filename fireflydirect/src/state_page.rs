//! What an entry shows other entries and operators over HTTP.

use crate::metrics::METRICS_PATH;
use crate::node::Node;
use crate::small_server::{self, Page, empty};
use fireflycroft::UpstreamRecord;
use fireflycroft_platform::StoreObject;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Path of the state that other entries fetch.
pub const STATE_PATH: &str = "/fleet/state";

/// Configuration and upstreams as the platform's store held them.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerState {
    /// Configuration in force.
    pub config: Option<StoreObject>,
    /// Upstreams known.
    pub upstreams: Vec<UpstreamRecord>,
    /// Revision of the list of upstreams.
    pub revision: u64,
    /// Whether the store has answered for so long that what the list lacks is gone.
    pub sure: bool,
}

/// Answers for as long as the process lives.
pub async fn answer(node: Rc<Node>, listener: TcpListener) {
    small_server::serve(listener, move |req| page(&node, req)).await;
}

fn page(node: &Node, req: &Request<Incoming>) -> Page {
    match req.uri().path() {
        STATE_PATH => match serde_json::to_vec(&state(node)) {
            Ok(body) => Response::new(Full::from(body)),
            Err(e) => {
                log::error!(event = "state_unwritable", error = e.to_string(); "");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        METRICS_PATH => match node.metrics.render(node) {
            Ok(text) => Response::new(Full::from(text)),
            Err(e) => {
                log::error!(event = "metrics_unwritable", error = e.to_string(); "");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn state(node: &Node) -> PeerState {
    PeerState {
        config: node.published.borrow().clone(),
        upstreams: node.pool.borrow().records().cloned().collect(),
        revision: node.pool.borrow().revision(),
        sure: node.follows_store() && !node.pool.borrow().any_missing(),
    }
}
