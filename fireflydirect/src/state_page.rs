//! HTTP endpoints for other entries and operators.

use crate::config_history::ConfigPayload;
use crate::crash_sync::{self, CRASHES_PATH};
use crate::metrics::METRICS_PATH;
use crate::node::Node;
use crate::overview::{OVERVIEW_PATH, overview};
use crate::page_server::{self, Page, empty};
use crate::suspects;
use fireflycroft::{Name, UpstreamRecord};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Path of the state that other entries fetch.
pub const STATE_PATH: &str = "/fleet/state";

/// Path on which an operator releases the refused part or content that its query names.
pub const RELEASE_PATH: &str = "/fleet/parts/release";

/// Configuration and upstreams as held by the platform's store.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerState {
    /// Active configuration, if the requester's is older and it can be sent.
    #[serde(default)]
    pub config: Option<ConfigPayload>,
    /// Upstreams newer than the requested revision.
    pub upstreams: Vec<UpstreamRecord>,
    /// Upstreams known at that revision that have since only announced their departure, with the
    /// revision of that.
    #[serde(default)]
    pub leaving: Vec<(Name, u64)>,
    /// Upstreams removed since that revision, with the revisions of their removal.
    pub removed: Vec<(Name, u64)>,
    /// Whether all upstreams are included.
    pub is_whole: bool,
    /// Revision of the list of upstreams.
    pub revision: u64,
    /// Revision up to which every change of the list is known.
    #[serde(default)]
    pub complete_to: u64,
    /// Digest of the list.
    pub digest: u64,
    /// Whether the store has been connected for long enough that an upstream missing from the list
    /// is gone.
    #[serde(rename = "sure")]
    pub confirmed: bool,
    /// Available entries, as far as the sender knows.
    #[serde(default)]
    pub entries: Vec<Ipv4Addr>,
}

/// Serves the endpoints for as long as the process lives.
pub async fn serve(node: Rc<Node>, listener: TcpListener, server: &'static str) {
    let callers = node.page_callers(server);
    page_server::serve(listener, callers, move |req| page(&node, req)).await;
}

fn page(node: &Node, req: &Request<Incoming>) -> Page {
    match req.uri().path() {
        STATE_PATH => as_json(&peer_state(node, &parse_query(req))),
        CRASHES_PATH => crash_sync::page(node),
        OVERVIEW_PATH => as_json(&overview(node)),
        RELEASE_PATH => release_part(node, req),
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

/// Releases the part or content named as `part=ID`, in hexadecimal digits; 404 if it isn't refused here.
fn release_part(node: &Node, req: &Request<Incoming>) -> Page {
    if req.method() != Method::POST {
        return empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let query = req.uri().query().unwrap_or_default();
    let id = query.strip_prefix("part=");
    let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    if suspects::release(node, id) {
        empty(StatusCode::NO_CONTENT)
    } else {
        empty(StatusCode::NOT_FOUND)
    }
}

fn as_json(value: &impl Serialize) -> Page {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::from(body)),
        Err(e) => {
            log::error!(event = "state_unwritable", error = e.to_string(); "");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// State that the requester knows already.
pub struct StateQuery {
    /// Version of its configuration.
    pub config: u64,
    /// Revision of that configuration in the store.
    pub config_revision: u64,
    /// Whether the complete configuration is requested, however large it is.
    pub whole_config: bool,
    /// Revision up to which every change of the list of upstreams is known.
    pub upstreams: u64,
}

/// Returns the path and query string for a state query.
#[must_use]
pub fn state_path(query: &StateQuery) -> String {
    let whole = u8::from(query.whole_config);
    format!(
        "{STATE_PATH}?config={}&config_revision={}&whole_config={whole}&upstreams={}",
        query.config, query.config_revision, query.upstreams
    )
}

fn parse_query(req: &Request<Incoming>) -> StateQuery {
    let query = req.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map(|(_, value)| value);
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    StateQuery {
        config: number("config"),
        config_revision: number("config_revision"),
        whole_config: number("whole_config") > 0,
        upstreams: number("upstreams"),
    }
}

fn peer_state(node: &Node, query: &StateQuery) -> PeerState {
    let pool = node.pool.borrow();
    let changes = pool.changes_since(query.upstreams);
    let newer = node.config_version() > query.config;
    let configs = node.configs.borrow();
    let config = configs.payload_since(query.config_revision, query.whole_config);
    PeerState {
        config: config.filter(|_| newer),
        upstreams: changes.listed,
        leaving: changes.leaving,
        removed: changes.removed,
        is_whole: query.upstreams == 0,
        revision: pool.revision(),
        complete_to: pool.complete_to(),
        digest: pool.digest(),
        confirmed: node.has_settled_list(),
        entries: node.peers.borrow().available(node.now()),
    }
}
