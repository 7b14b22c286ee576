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

/// Number of waits for an entry of this data centre that has the list.
const NEARBY_ATTEMPTS: u32 = 3;

/// Revision in a query that requests no changes of the list.
const NO_LIST_CHANGES: u64 = u64::MAX;

/// Fetches announced state that is missing here, one fetch at a time.
///
/// A large configuration is not sent by peers if its difference from the one here is unknown. It
/// is read from the store, and from a peer only if the store doesn't answer.
pub(crate) fn fetch(node: &Rc<Node>, announcer: Ipv4Addr, missing: MissingState) {
    let Some(guard) = node.peers.borrow().begin_fetch() else {
        return;
    };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let from = match missing.list {
            Some(_) if node.peers.borrow().needs_full_list => None,
            Some(_) => list_source(&node, &missing).await,
            None => node.peers.borrow().source(node.now(), &missing),
        };
        let from = from.unwrap_or(announcer);
        let what = missing.list.map_or("config", |_| "list");
        node.metrics.fetches.with_label_values(&[what]).inc();
        log_missing_config(&node, from, &missing);
        let mut fetched = fetch_state(&node, from, &missing, false).await;
        let lacking = missing
            .config
            .filter(|v| *v > node.config_version() && node.peers.borrow().has_config(from, *v));
        if let (Ok(()), Some(version)) = (&fetched, lacking)
            && !read_config(&node, version).await
        {
            fetched = fetch_state(&node, from, &missing, true).await;
        }
        if let Err(e) = fetched {
            log_failed_fetch(from, what, &e);
        }
    });
}

/// Logs that another entry has a newer configuration, which is about to be fetched.
fn log_missing_config(node: &Node, from: Ipv4Addr, missing: &MissingState) {
    if let Some(announced) = missing.config {
        log::info!(
            event = "config_missing", from = from.to_string(), announced = announced,
            version = node.config_version();
            ""
        );
    }
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
    let Some(guard) = node.peers.borrow().begin_fetch() else {
        return;
    };
    node.metrics.fetches.with_label_values(&["entries"]).inc();
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let query = StateQuery {
            config: u64::MAX,
            config_revision: 0,
            whole_config: false,
            upstreams: NO_LIST_CHANGES,
        };
        match get_state(&node, from, &query).await {
            Ok(state) => node
                .peers
                .borrow_mut()
                .add_second_hand(node.now(), &state.entries),
            Err(e) => log_failed_fetch(from, "entries", &e),
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
    Ok(serde_json::from_slice(&answered.body)?)
}

async fn fetch_state(
    node: &Node,
    from: Ipv4Addr,
    missing: &MissingState,
    whole_config: bool,
) -> anyhow::Result<()> {
    let known = list_base_revision(node, missing);
    let query = StateQuery {
        config: node.config_version(),
        config_revision: node.configs.borrow().revision(),
        whole_config,
        upstreams: known,
    };
    let announced = node.peers.borrow().announced_config(from);
    let mut state = get_state(node, from, &query).await?;
    node.record_store_era(era_of(state.revision), "peer");
    node.peers
        .borrow_mut()
        .add_second_hand(node.now(), &state.entries);
    let payload = state.config.take();
    let config = payload.and_then(|h| node.configs.borrow().reconstruct(h));
    if let Some(config) = config
        && !node.adopt_config(&config, "peer")
    {
        node.peers.borrow_mut().refuse_config(from, announced);
    }
    if known == NO_LIST_CHANGES {
        return Ok(());
    }
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
    Ok(())
}

/// Returns the revision of the list from which changes are requested.
fn list_base_revision(node: &Node, missing: &MissingState) -> u64 {
    if missing.list.is_none() && node.awaits_store_data() {
        return NO_LIST_CHANGES;
    }
    if node.peers.borrow().needs_full_list || !node.has_complete_list() {
        return 0;
    }
    node.pool.borrow().complete_to()
}
