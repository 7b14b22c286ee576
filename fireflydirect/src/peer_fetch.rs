//! Fetching of state that another entry announced and that is missing here.

use crate::client::Client;
use crate::config_read::read_config;
use crate::ingest::apply_peer_state;
use crate::node::Node;
use crate::peers::MissingState;
use crate::state_page::{PeerState, StateQuery, state_path};
use fireflycroft::{HedgedCall, era_of};
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Time without a byte after which fetching a peer's state is abandoned: the next announcement
/// starts it again, perhaps from another peer. A response in progress over a slow link may take
/// any time.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time for a configuration from another entry before it is read from the store, which leaves time for that
/// within the two seconds in which it has to be active.
const MAX_CONFIG_FETCH_TIME: Duration = Duration::from_millis(1_200);

/// Number of waits for an entry of this data centre that has the list.
const NEARBY_ATTEMPTS: u32 = 3;

/// Revision in a query that requests no changes of the list.
const NO_LIST_CHANGES: u64 = u64::MAX;

/// Version in a query that requests no configuration.
const NO_CONFIG: u64 = u64::MAX;

/// Pause after a configuration that neither an entry nor the store handed out.
const FAILED_FETCH_PAUSE: Duration = Duration::from_millis(250);

/// Fetches announced state that is missing here, one fetch of each kind at a time.
///
/// Configuration and list are fetched apart, so that a list that is slow, large or unreadable doesn't hold up the
/// configuration.
pub(crate) fn fetch(node: &Rc<Node>, announcer: Ipv4Addr, missing: MissingState) {
    if let Some(version) = missing.config {
        fetch_config(node, announcer, version);
    }
    if missing.list.is_some() {
        fetch_list(node, announcer, missing);
    }
}

fn fetch_config(node: &Rc<Node>, announcer: Ipv4Addr, version: u64) {
    let Some(guard) = node.peers.borrow().begin_config_fetch() else {
        return;
    };
    node.metrics.fetches.with_label_values(&["config"]).inc();
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        if !obtain_config(&node, announcer, version).await {
            tokio::time::sleep(FAILED_FETCH_PAUSE).await;
        }
    });
}

/// Obtains an announced configuration from an entry that has it, else from the store; returns false if neither hands
/// it out.
///
/// A large configuration is not sent by peers if its difference from the one here is unknown. It is read from the
/// store, and from a peer only if the store doesn't answer.
async fn obtain_config(node: &Node, announcer: Ipv4Addr, version: u64) -> bool {
    let from = config_source(node, announcer, version);
    log::info!(
        event = "config_missing", from = from.to_string(), announced = version,
        version = node.config_version();
        ""
    );
    let fetched = tokio::time::timeout(MAX_CONFIG_FETCH_TIME, request_config(node, from, false));
    let fetched = fetched.await.unwrap_or_else(|e| Err(e.into()));
    if let Err(e) = &fetched {
        log_failed_fetch(from, "config", e);
    }
    let is_refused = fetched.is_ok() && !node.peers.borrow().has_config(from, version);
    if node.config_version() >= version || is_refused || read_config(node, version).await {
        return true;
    }
    let from = config_source(node, announcer, version);
    if let Err(e) = request_config(node, from, true).await {
        log_failed_fetch(from, "config", &e);
    }
    node.config_version() >= version
}

fn config_source(node: &Node, announcer: Ipv4Addr, version: u64) -> Ipv4Addr {
    let missing = MissingState {
        config: Some(version),
        list: None,
    };
    let source = node.peers.borrow().source(node.now(), &missing);
    source.unwrap_or(announcer)
}

fn fetch_list(node: &Rc<Node>, announcer: Ipv4Addr, missing: MissingState) {
    let Some(guard) = node.peers.borrow().begin_list_fetch() else {
        return;
    };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let missing = MissingState {
            config: None,
            ..missing
        };
        let from = if node.peers.borrow().needs_full_list {
            None
        } else {
            list_source(&node, &missing).await
        };
        let from = from.unwrap_or(announcer);
        node.metrics.fetches.with_label_values(&["list"]).inc();
        if let Err(e) = request_list(&node, from).await {
            log_failed_fetch(from, "list", &e);
        }
    });
}

/// Returns an entry to fetch the list from, preferably one of this data centre.
///
/// So links between data centres carry the list for a few entries of each data centre, instead of
/// all of them.
async fn list_source(node: &Node, missing: &MissingState) -> Option<Ipv4Addr> {
    for _ in 0..NEARBY_ATTEMPTS {
        let (spread, share) = {
            let peers = node.peers.borrow();
            (
                peers.fetch_spread(),
                peers.remote_share(&node.place.data_centre),
            )
        };
        let wait = spread.mul_f64(rand::rng().random());
        tokio::time::sleep(wait).await;
        let nearby = {
            let peers = node.peers.borrow();
            peers.nearby_source(node.now(), missing, &node.place.data_centre)
        };
        if nearby.is_some() {
            return nearby;
        }
        if rand::rng().random::<f64>() < share {
            break;
        }
    }
    node.peers.borrow().source(node.now(), missing)
}

/// Fetches the addresses of the entries that a peer knows.
pub(crate) fn fetch_entries(node: &Rc<Node>, from: Ipv4Addr) {
    let Some(guard) = node.peers.borrow().begin_list_fetch() else {
        return;
    };
    node.metrics.fetches.with_label_values(&["entries"]).inc();
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let query = StateQuery {
            config: NO_CONFIG,
            config_revision: 0,
            whole_config: false,
            upstreams: NO_LIST_CHANGES,
        };
        if let Err(e) = get_state(&node, from, &query).await {
            log_failed_fetch(from, "entries", &e);
        }
    });
}

fn log_failed_fetch(from: Ipv4Addr, what: &str, why: &anyhow::Error) {
    let (from, why) = (from.to_string(), why.to_string());
    log::warn!(event = "peer_fetch_failed", from = from, what = what, why = why; "");
}

/// Fetches the state of another entry beyond what this one knows.
async fn get_state(node: &Node, from: Ipv4Addr, query: &StateQuery) -> anyhow::Result<PeerState> {
    let addr = SocketAddr::from((from, node.place.peer_ports.0));
    let mut client = Client::new(addr, node);
    let hedged_call = HedgedCall::single(FETCH_TIMEOUT);
    let answered = client.get(&state_path(query), hedged_call, || ()).await?;
    anyhow::ensure!(answered.status == 200, "status {}", answered.status);
    let state: PeerState = serde_json::from_slice(&answered.body)?;
    node.record_store_era(era_of(state.revision), "peer");
    let mut peers = node.peers.borrow_mut();
    peers.add_second_hand(node.now(), &state.entries);
    Ok(state)
}

/// Fetches the configuration from another entry, however large it is if `whole`; an entry that has just started and
/// gets no list from the store fetches that as well.
async fn request_config(node: &Node, from: Ipv4Addr, whole: bool) -> anyhow::Result<()> {
    let lacks_list = !node.has_complete_list() && !node.awaits_store_data();
    let brings_list = lacks_list && !whole;
    let query = StateQuery {
        config: node.config_version(),
        config_revision: node.configs.borrow().revision(),
        whole_config: whole,
        upstreams: if brings_list { 0 } else { NO_LIST_CHANGES },
    };
    let announced = node.peers.borrow().announced_config(from);
    let mut state = get_state(node, from, &query).await?;
    let payload = state.config.take();
    let config = payload.and_then(|h| node.configs.borrow().reconstruct(h));
    if let Some(config) = config
        && !node.adopt_config(&config, "peer")
    {
        node.peers.borrow_mut().refuse_config(from, announced);
    }
    if brings_list {
        apply_list(node, state);
    }
    Ok(())
}

/// Fetches the list of upstreams from another entry, as far as its changes aren't known here.
async fn request_list(node: &Node, from: Ipv4Addr) -> anyhow::Result<()> {
    let query = StateQuery {
        config: NO_CONFIG,
        config_revision: 0,
        whole_config: false,
        upstreams: list_base_revision(node),
    };
    let state = get_state(node, from, &query).await?;
    apply_list(node, state);
    Ok(())
}

fn apply_list(node: &Node, state: PeerState) {
    let (revision, digest, complete_to) = (state.revision, state.digest, state.complete_to);
    apply_peer_state(node, state);
    let mut pool = node.pool.borrow_mut();
    pool.record_complete(complete_to);
    // If the digests differ at a revision up to which all changes are known, only the complete
    // list helps.
    let differs = pool.revision() == revision && pool.digest() != digest;
    let mut peers = node.peers.borrow_mut();
    peers.needs_full_list = differs && complete_to == revision;
    peers.record_list_fetched();
}

/// Returns the revision of the list from which changes are requested.
fn list_base_revision(node: &Node) -> u64 {
    if node.peers.borrow().needs_full_list || !node.has_complete_list() {
        return 0;
    }
    node.pool.borrow().complete_to()
}
