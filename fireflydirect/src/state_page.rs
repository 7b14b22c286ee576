//! What an entry shows other entries and operators over HTTP.

use crate::config_history::ConfigHandover;
use crate::metrics::METRICS_PATH;
use crate::node::Node;
use crate::overview::{OVERVIEW_PATH, overview};
use crate::small_server::{self, Page, empty};
use fireflycroft::{Name, UpstreamRecord};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Path of the state that other entries fetch.
pub const STATE_PATH: &str = "/fleet/state";

/// Configuration and upstreams as the platform's store held them.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerState {
    /// Configuration in force, if the asker's is older and it can be handed over.
    #[serde(default)]
    pub config: Option<ConfigHandover>,
    /// Upstreams known that are newer than the revision asked from.
    pub upstreams: Vec<UpstreamRecord>,
    /// Upstreams known before that only said since that they leave, with the revision.
    #[serde(default)]
    pub leaving: Vec<(Name, u64)>,
    /// Upstreams that were removed since that revision, with the revision of their removal.
    pub removed: Vec<(Name, u64)>,
    /// Whether all upstreams are in it.
    pub is_whole: bool,
    /// Revision of the list of upstreams.
    pub revision: u64,
    /// Revision up to which every change of it is known.
    #[serde(default)]
    pub complete_to: u64,
    /// Digest of that list.
    pub digest: u64,
    /// Whether the store has answered for so long that what the list lacks is gone.
    pub sure: bool,
    /// Entries that live, as far as the sender knows.
    #[serde(default)]
    pub entries: Vec<Ipv4Addr>,
}

/// Answers for as long as the process lives.
pub async fn answer(node: Rc<Node>, listener: TcpListener) {
    small_server::serve(listener, move |req| page(&node, req)).await;
}

fn page(node: &Node, req: &Request<Incoming>) -> Page {
    match req.uri().path() {
        STATE_PATH => as_json(&state(node, &asked(req))),
        OVERVIEW_PATH => as_json(&overview(node)),
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

fn as_json(value: &impl Serialize) -> Page {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::from(body)),
        Err(e) => {
            log::error!(event = "state_unwritable", error = e.to_string(); "");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// What the asker knows already, as the query says.
pub struct Asked {
    /// Version of the configuration.
    pub config: u64,
    /// Revision at which the store holds that.
    pub config_revision: u64,
    /// Whether the configuration is wanted whole, however large it is.
    pub whole_config: bool,
    /// Revision up to which every change of the list of upstreams is known.
    pub upstreams: u64,
}

/// Path and query of a state for one who knows so much.
#[must_use]
pub fn state_path(asked: &Asked) -> String {
    let whole = u8::from(asked.whole_config);
    format!(
        "{STATE_PATH}?config={}&config_revision={}&whole_config={whole}&upstreams={}",
        asked.config, asked.config_revision, asked.upstreams
    )
}

fn asked(req: &Request<Incoming>) -> Asked {
    let query = req.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map(|(_, value)| value);
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    Asked {
        config: number("config"),
        config_revision: number("config_revision"),
        whole_config: number("whole_config") > 0,
        upstreams: number("upstreams"),
    }
}

fn state(node: &Node, asked: &Asked) -> PeerState {
    let pool = node.pool.borrow();
    let changes = pool.changes_since(asked.upstreams);
    let newer = node.version() > asked.config;
    let configs = node.configs.borrow();
    let config = configs.since(asked.config_revision, asked.whole_config);
    PeerState {
        config: config.filter(|_| newer),
        upstreams: changes.listed,
        leaving: changes.leaving,
        removed: changes.removed,
        is_whole: asked.upstreams == 0,
        revision: pool.revision(),
        complete_to: pool.complete_to(),
        digest: pool.digest(),
        sure: node.follows_store(),
        entries: node.peers.borrow().living(node.now()),
    }
}
