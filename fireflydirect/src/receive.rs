//! Receiving datagrams of the other entries, and fetching state that is missing here.

use crate::announce;
use crate::client::Client;
use crate::conditions;
use crate::config_read::read_config;
use crate::crash_sync;
use crate::ingest::apply_peer_state;
use crate::node::Node;
use crate::owner_queries;
use crate::peers::{MissingState, v4};
use crate::state_page::{PeerState, StateQuery, state_path};
use crate::suspects;
use fireflycroft::{EntryAnnouncement, EntryMessage, HedgedCall, Time, era_of};
use fireflycroft_wire::decode_datagram;
use rand::RngExt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Size of the longest datagram read, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// Pause after a receive error, whose cause is brief.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(15);

/// Time without a byte after which fetching a peer's state is abandoned: the next announcement
/// starts it again, perhaps from another peer. A response in progress over a slow link may take
/// any time.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Receives datagrams for as long as the process lives.
pub async fn listen(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut empty_at = node.now();
    loop {
        let polled_at = node.now();
        match socket.try_recv_from(&mut buf) {
            Ok((len, from)) => {
                receive(&node, &buf[..len], from, empty_at).await;
                // The next datagram may be there already.
                tokio::task::consume_budget().await;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                empty_at = polled_at;
                // An error is reported by the next attempt to receive.
                let _ = socket.readable().await;
            }
            Err(e) => {
                log::warn!(event = "datagram_failed", error = e.to_string(); "");
                tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
            }
        }
    }
}

/// Handles a datagram that came after the socket was last seen empty.
async fn receive(node: &Rc<Node>, bytes: &[u8], from: SocketAddr, empty_at: Time) {
    match (decode_datagram(bytes), v4(from.ip())) {
        (Ok(message), Some(ip)) => dispatch(node, ip, message, empty_at).await,
        (Err(e), _) => {
            let from = from.to_string();
            log::warn!(event = "datagram_unreadable", from = from, error = e.to_string(); "");
        }
        (Ok(_), None) => {}
    }
}

async fn dispatch(node: &Rc<Node>, from: Ipv4Addr, message: EntryMessage, empty_at: Time) {
    if from == node.place.ip {
        return;
    }
    node.peers.borrow_mut().record_received(node.now(), from);
    match message {
        EntryMessage::Announcement(announcement) => {
            let on_way = node.now().since(empty_at);
            apply_announcement(node, from, *announcement, on_way);
        }
        EntryMessage::Report(report) => owner_queries::apply_report(node, &report),
        EntryMessage::Query(query) => owner_queries::reply(node, from, query).await,
        EntryMessage::Reply(reply) => owner_queries::apply_reply(node, reply),
    }
}

/// Applies an announcement that was on its way for `on_way` at most.
fn apply_announcement(
    node: &Rc<Node>,
    from: Ipv4Addr,
    announcement: EntryAnnouncement,
    on_way: Duration,
) {
    if announcement.name == node.place.vm {
        return;
    }
    let now = node.now();
    let introduces = node
        .peers
        .borrow_mut()
        .may_introduce(from, announcement.incarnation);
    node.peers
        .borrow_mut()
        .apply_announcement(now, from, &announcement);
    if introduces {
        crash_sync::meet(node, from, announcement.incarnation);
        let node = node.clone();
        tokio::task::spawn_local(async move { announce::introduce(&node, from).await });
    }
    let revision = announcement
        .upstreams
        .max(announcement.evacuations.revision);
    if revision > 0 {
        node.record_store_era(era_of(revision), "peer");
    }
    if let Some(age) = announcement.store_age {
        node.record_store_contact(now - age, "peer");
    }
    for change in announcement.list_changes.iter().cloned() {
        let pool_changes = node.pool.borrow_mut().apply_change(now, change);
        node.apply_pool_changes(pool_changes, "peer");
    }
    if announcement.evacuations.revision > 0 {
        node.apply_evacuations(announcement.evacuations.clone(), "peer");
    }
    conditions::apply_announced_rates(node, &announcement.rate_limits);
    conditions::apply_announced_leaving(node, &announcement.departing);
    suspects::apply(node, from, &announcement.crash_news, on_way);
    if node.peers.borrow().lacks_entries(now, &announcement) {
        fetch_entries(node, from);
    }
    let missing = missing_state(node, now, from, &announcement);
    if missing.is_any() {
        fetch(node, from, missing);
    }
    let mut waiting = node.waiting_demand.borrow_mut();
    waiting.apply(now, &announcement.name, announcement.demands);
    let mut pool = node.pool.borrow_mut();
    pool.apply_pause_counts(now, &announcement.name, announcement.pauses);
    let mut budget = node.retry_budget.borrow_mut();
    budget.apply_report(now, &announcement.name, announcement.retries);
}

/// Returns what this entry has to fetch after an announcement.
fn missing_state(
    node: &Node,
    now: Time,
    from: Ipv4Addr,
    announcement: &EntryAnnouncement,
) -> MissingState {
    let mut pool = node.pool.borrow_mut();
    let mut peers = node.peers.borrow_mut();
    let is_same = pool.digest() == announcement.upstreams_digest;
    if is_same {
        pool.record_complete(announcement.upstreams_complete);
    }
    if announcement.watches && is_same {
        peers.record_list_current();
    }
    let is_ahead = announcement.upstreams_complete > pool.complete_to();
    let is_newer = !is_same && (is_ahead || announcement.upstreams >= pool.revision());
    let announced = MissingState {
        config: Some(announcement.config)
            .filter(|v| *v > node.config_version() && peers.has_config(from, *v)),
        list: (announcement.watches && is_newer).then_some(announcement.upstreams_complete),
    };
    peers.overdue_state(now, announced, node.awaits_store_data())
}

/// Fetches announced state that is missing here, one fetch at a time.
///
/// A large configuration is not sent by peers if its difference from the one here is unknown. It
/// is read from the store, and from a peer only if the store doesn't answer.
fn fetch(node: &Rc<Node>, announcer: Ipv4Addr, missing: MissingState) {
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
fn fetch_entries(node: &Rc<Node>, from: Ipv4Addr) {
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

/// Number of waits for an entry of this data centre that has the list.
const NEARBY_ATTEMPTS: u32 = 3;

/// Revision in a query that requests no changes of the list.
const NO_LIST_CHANGES: u64 = u64::MAX;

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
