//! Hearing the other entries, and fetching what this one lacks.

use crate::client::Client;
use crate::conditions;
use crate::config_read::read_config;
use crate::intake::take_told;
use crate::node::Node;
use crate::peers::{Behind, v4};
use crate::questions;
use crate::state_page::{Asked, PeerState, state_path};
use crate::tell;
use fireflycroft::{CrashCount, EntryAnnouncement, EntryMessage, HedgedCall, Time, era_of};
use fireflycroft_wire::decode_datagram;
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest datagram read, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// Pause after a datagram that couldn't be read: the cause lasts for moments only.
const FAILED_PAUSE: Duration = Duration::from_millis(15);

/// Time without a byte after which fetching a peer's state is given up: the next telling starts it
/// again, perhaps at another peer. A page on its way over a slow link goes on for as long as it takes.
const FETCH_PATIENCE: Duration = Duration::from_millis(900);

/// Takes what the others tell, for as long as the process lives.
pub async fn listen(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::warn!(event = "datagram_failed", error = e.to_string(); "");
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            }
        };
        match (decode_datagram(&buf[..len]), v4(from.ip())) {
            (Ok(message), Some(ip)) => take(&node, ip, message).await,
            (Err(e), _) => {
                let from = from.to_string();
                log::warn!(event = "datagram_unreadable", from = from, error = e.to_string(); "");
            }
            (Ok(_), None) => {}
        }
    }
}

async fn take(node: &Rc<Node>, from: Ipv4Addr, message: EntryMessage) {
    if from == node.place.ip {
        return;
    }
    node.peers.borrow_mut().note_heard(node.now(), from);
    match message {
        EntryMessage::Announcement(news) => take_news(node, from, *news),
        EntryMessage::Report(report) => questions::take_report(node, &report),
        EntryMessage::Query(query) => questions::reply(node, from, query).await,
        EntryMessage::Reply(reply) => questions::take_reply(node, reply),
    }
}

fn take_news(node: &Rc<Node>, from: Ipv4Addr, news: EntryAnnouncement) {
    if news.name == node.place.vm {
        return;
    }
    let now = node.now();
    let greets = node.peers.borrow_mut().may_greet(from, news.incarnation);
    node.peers.borrow_mut().learn(now, from, &news);
    if greets {
        let node = node.clone();
        tokio::task::spawn_local(async move { tell::greet(&node, from).await });
    }
    let revision = news.upstreams.max(news.evacuations.revision);
    if revision > 0 {
        node.note_era(era_of(revision), "peer");
    }
    if let Some(age) = news.store_age {
        node.note_contact(now - age, "peer");
    }
    for change in news.list_changes.iter().cloned() {
        let taken = node.pool.borrow_mut().apply_change(now, change);
        node.take_changes(taken, "peer");
    }
    if news.evacuations.revision > 0 {
        node.apply_evacuations(news.evacuations.clone(), "peer");
    }
    conditions::take_told_rates(node, &news.rate_limits);
    conditions::take_told_leaving(node, &news.departing);
    for crash in &news.crashes {
        learn_crash(node, now, crash);
    }
    if node.peers.borrow().lacks_entries(now, &news) {
        fetch_entries(node, from);
    }
    let behind = behind(node, now, &news);
    if behind.is_any() {
        fetch(node, from, behind);
    }
    let mut budget = node.budget.borrow_mut();
    budget.apply_report(now, &news.name, news.retries);
}

/// What this entry has to fetch of what another one tells.
fn behind(node: &Node, now: Time, news: &EntryAnnouncement) -> Behind {
    let mut pool = node.pool.borrow_mut();
    let mut peers = node.peers.borrow_mut();
    let is_same = pool.digest() == news.upstreams_digest;
    if is_same {
        pool.record_complete(news.upstreams_complete);
    }
    if news.watches && is_same {
        peers.note_list_held();
    }
    let is_ahead = news.upstreams_complete > pool.complete_to();
    let is_newer = !is_same && (is_ahead || news.upstreams >= pool.revision());
    let told = Behind {
        config: (news.config > node.version()).then_some(news.config),
        list: (news.watches && is_newer).then_some(news.upstreams_complete),
    };
    peers.note_behind(now, told, node.expects_store())
}

fn learn_crash(node: &Node, now: Time, crash: &CrashCount) {
    let mut quarantine = node.quarantine.borrow_mut();
    if quarantine.record(now, crash.content, crash.count) {
        let content = crash.content.to_string();
        log::warn!(event = "crash_told", content = content, crashes = crash.count; "");
    }
}

/// Fetches what a peer told of, one at a time.
///
/// A configuration that peers don't hand over, since it is large and what differs isn't known, is read
/// from the store, and from a peer only if the store doesn't answer.
fn fetch(node: &Rc<Node>, teller: Ipv4Addr, behind: Behind) {
    let Some(guard) = node.peers.borrow().begin_fetch() else {
        return;
    };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let from = match behind.list {
            Some(_) if node.peers.borrow().wants_all => None,
            Some(_) => list_source(&node, &behind).await,
            None => node.peers.borrow().source(node.now(), &behind),
        };
        let from = from.unwrap_or(teller);
        let what = behind.list.map_or("config", |_| "list");
        node.metrics.fetches.with_label_values(&[what]).inc();
        let mut fetched = fetch_state(&node, from, &behind, false).await;
        let lacking = behind.config.filter(|v| *v > node.version());
        if let (Ok(()), Some(version)) = (&fetched, lacking)
            && !read_config(&node, version).await
        {
            fetched = fetch_state(&node, from, &behind, true).await;
        }
        if let Err(e) = fetched {
            note_failed_fetch(from, &e);
        }
    });
}

/// An entry to fetch the list from: one of this data centre as soon as any has it.
///
/// Links between data centres carry the list once for some entries of each data centre, and not for
/// all of them.
async fn list_source(node: &Node, behind: &Behind) -> Option<Ipv4Addr> {
    for _ in 0..NEAR_TRIES {
        let (spread, share) = {
            let peers = node.peers.borrow();
            (peers.spread(), peers.far_share(&node.place.data_centre))
        };
        let wait = spread.mul_f64(rand::rng().random());
        tokio::time::sleep(wait).await;
        let near = {
            let peers = node.peers.borrow();
            peers.near_source(node.now(), behind, &node.place.data_centre)
        };
        if near.is_some() {
            return near;
        }
        if rand::rng().random::<f64>() < share {
            break;
        }
    }
    node.peers.borrow().source(node.now(), behind)
}

/// Fetches whom a peer knows.
fn fetch_entries(node: &Rc<Node>, from: Ipv4Addr) {
    let Some(guard) = node.peers.borrow().begin_fetch() else {
        return;
    };
    node.metrics.fetches.with_label_values(&["entries"]).inc();
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let asked = Asked {
            config: u64::MAX,
            config_revision: 0,
            whole_config: false,
            upstreams: NOTHING_NEWER,
        };
        match get_state(&node, from, &asked).await {
            Ok(state) => node.peers.borrow_mut().learn_of(node.now(), &state.entries),
            Err(e) => note_failed_fetch(from, &e),
        }
    });
}

fn note_failed_fetch(from: Ipv4Addr, why: &anyhow::Error) {
    let (from, why) = (from.to_string(), why.to_string());
    log::warn!(event = "peer_fetch_failed", from = from, why = why; "");
}

/// The state of another entry beyond what this one knows.
async fn get_state(node: &Node, from: Ipv4Addr, asked: &Asked) -> anyhow::Result<PeerState> {
    let addr = SocketAddr::from((from, node.place.peer_ports.0));
    let mut client = Client::new(addr, node.clock);
    let overlap = HedgedCall::single(FETCH_PATIENCE);
    let answered = client.get(&state_path(asked), overlap, || ()).await?;
    anyhow::ensure!(answered.status == 200, "status {}", answered.status);
    Ok(serde_json::from_slice(&answered.body)?)
}

async fn fetch_state(
    node: &Node,
    from: Ipv4Addr,
    behind: &Behind,
    whole_config: bool,
) -> anyhow::Result<()> {
    let known = known_revision(node, behind);
    let asked = Asked {
        config: node.version(),
        config_revision: node.configs.borrow().revision(),
        whole_config,
        upstreams: known,
    };
    let mut state = get_state(node, from, &asked).await?;
    node.note_era(era_of(state.revision), "peer");
    node.peers.borrow_mut().learn_of(node.now(), &state.entries);
    let handover = state.config.take();
    let config = handover.and_then(|h| node.configs.borrow().receive(h));
    if let Some(config) = config {
        node.adopt(&config, "peer");
    }
    if known == NOTHING_NEWER {
        return Ok(());
    }
    let (revision, digest, complete_to) = (state.revision, state.digest, state.complete_to);
    take_told(node, state);
    let mut pool = node.pool.borrow_mut();
    pool.record_complete(complete_to);
    // Changes that don't lead to the same list at a revision up to which all of them are known leave
    // only the whole of it.
    let differs = pool.revision() == revision && pool.digest() != digest;
    let mut peers = node.peers.borrow_mut();
    peers.wants_all = differs && complete_to == revision;
    peers.note_list_fetched();
    Ok(())
}

/// Times that an entry waits for one of its data centre to have the list.
const NEAR_TRIES: u32 = 3;

/// Revision after which no change of the list is asked for.
const NOTHING_NEWER: u64 = u64::MAX;

/// Revision of the list from which on a peer is asked for changes.
fn known_revision(node: &Node, behind: &Behind) -> u64 {
    if behind.list.is_none() && node.expects_store() {
        return NOTHING_NEWER;
    }
    if node.peers.borrow().wants_all || !node.has_whole_list.get() {
        return 0;
    }
    node.pool.borrow().complete_to()
}
