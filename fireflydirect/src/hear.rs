//! Hearing the other entries, and fetching what this one lacks.

use crate::client::Client;
use crate::feed::{read_config, take_told};
use crate::node::Node;
use crate::peers::v4;
use crate::state_page::{PeerState, state_path};
use fireflycroft::{CrashCount, EntryNews, Overlap, Time};
use fireflycroft_wire::decode_news;
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

/// Bytes of a configuration from which on it is read from the store.
///
/// Told of a configuration, twenty entries fetch it from one peer at once. Over the slowest links
/// of 10 Mbit/s, 400 kB then took over six seconds; the store's link is a hundred times wider.
const LARGE_CONFIG: u32 = 64 << 10;

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
        match (decode_news(&buf[..len]), v4(from.ip())) {
            (Ok(news), Some(ip)) => take(&node, ip, news),
            (Err(e), _) => {
                let from = from.to_string();
                log::warn!(event = "datagram_unreadable", from = from, error = e.to_string(); "");
            }
            (Ok(_), None) => {}
        }
    }
}

fn take(node: &Rc<Node>, from: Ipv4Addr, news: EntryNews) {
    if news.name == node.place.vm {
        return;
    }
    let now = node.now();
    node.peers.borrow_mut().learn(now, from, &news);
    if let Some(age) = news.store_age {
        node.note_contact(now - age, "peer");
    }
    let mut pool = node.pool.borrow_mut();
    pool.note_others(now, &news.name, &news.placed, news.changes_only);
    drop(pool);
    for change in news.list_changes {
        let taken = node.pool.borrow_mut().take_change(now, change);
        node.take_changes(taken, "peer");
    }
    if !news.changes_only {
        let mut budget = node.budget.borrow_mut();
        budget.note_others(now, &news.name, news.repeats);
    }
    for refusal in &news.refused {
        node.returns.borrow_mut().learn(now, refusal);
    }
    for crash in &news.crashes {
        learn_crash(node, now, crash);
    }
    let config_behind = news.config > node.version();
    let upstreams_behind = news.watches && {
        let pool = node.pool.borrow();
        let mut peers = node.peers.borrow_mut();
        if pool.digest() == news.upstreams_digest {
            peers.behind_since = None;
        }
        let behind = pool.digest() != news.upstreams_digest && news.upstreams >= pool.revision();
        behind && peers.note_behind(now)
    };
    if config_behind && news.config_bytes > LARGE_CONFIG {
        fetch(node, from, Source::StoreFirst);
    } else if config_behind || upstreams_behind {
        fetch(node, from, Source::Peer);
    }
}

fn learn_crash(node: &Node, now: Time, crash: &CrashCount) {
    let mut quarantine = node.quarantine.borrow_mut();
    if quarantine.learn(now, crash.content, crash.count) {
        let content = crash.content.to_string();
        log::warn!(event = "crash_told", content = content, crashes = crash.count; "");
    }
}

/// Where news is fetched from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From the peer that told of it.
    Peer,
    /// A configuration from the store, and from the peer only if the store doesn't answer.
    StoreFirst,
}

/// Fetches what a peer told of, one at a time.
fn fetch(node: &Rc<Node>, from: Ipv4Addr, source: Source) {
    let Some(guard) = node.peers.borrow().begin_fetch() else {
        return;
    };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        if source == Source::StoreFirst && read_config(&node).await {
            return;
        }
        if let Err(e) = fetch_state(&node, from).await {
            let (from, why) = (from.to_string(), e.to_string());
            log::warn!(event = "peer_fetch_failed", from = from, why = why; "");
        }
    });
}

async fn fetch_state(node: &Node, from: Ipv4Addr) -> anyhow::Result<()> {
    let addr = SocketAddr::from((from, node.place.peer_ports.0));
    let known = if node.peers.borrow().wants_all {
        0
    } else {
        node.pool.borrow().revision()
    };
    let path = state_path(node.version(), known);
    let mut client = Client::new(addr, node.clock);
    let overlap = Overlap::single(FETCH_PATIENCE);
    let (status, body) = client.get(&path, overlap, || ()).await?;
    anyhow::ensure!(status == 200, "status {status}");
    let state: PeerState = serde_json::from_slice(&body)?;
    if let Some(config) = &state.config {
        node.adopt(config, "peer");
    }
    let (revision, digest) = (state.revision, state.digest);
    if state.revision >= node.pool.borrow().revision() {
        take_told(node, state);
    }
    // Changes that don't lead to the same list at the same revision leave only the whole of it.
    let pool = node.pool.borrow();
    let differs = pool.revision() == revision && pool.digest() != digest;
    node.peers.borrow_mut().wants_all = differs;
    Ok(())
}
