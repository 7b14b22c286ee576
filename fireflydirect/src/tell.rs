//! Telling the other entries, and deciding who watches the store for all.

use crate::node::{Node, Stage};
use crate::peers::Peers;
use fireflycroft::{EntryNews, ListChange};
use fireflycroft_wire::encode_news;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Least time between two tellings, however urgent.
const TELL_SPACING: Duration = Duration::from_millis(15);

/// Tells the others for as long as the process lives.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut tell_all_at = node.now();
    loop {
        let reason = tokio::select! {
            biased;
            () = node.urgent.notified() => Reason::Urgent,
            () = tokio::time::sleep_until(node.clock.instant(tell_all_at)) => Reason::Due,
            () = node.placed.notified() => Reason::Placed,
        };
        let news = match reason {
            Reason::Urgent | Reason::Due => {
                decide_duty(&node);
                let pace = node.peers.borrow().pace(is_relied_on(&node));
                tell_all_at = node.now() + pace;
                all_news(&node)
            }
            Reason::Placed => changes(&node),
        };
        tell(&node, &socket, &news).await;
        if reason != Reason::Due {
            tokio::time::sleep(TELL_SPACING).await;
        }
    }
}

/// Decides whether this entry watches the store.
fn decide_duty(node: &Node) {
    let now = node.now();
    let views = node.peers.borrow().watch_views(now);
    let mut duty = node.duty.borrow_mut();
    if duty.decide(now, &views) {
        let watching = duty.is_watching();
        drop(duty);
        log::info!(event = "watch_duty", watching = watching, peers = views.len(); "");
        node.duty_changed.notify_waiters();
    }
}

/// Why news is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Something that others must know at once.
    Urgent,
    /// The time has come.
    Due,
    /// Generations were placed or their prompts read.
    Placed,
}

/// Whether the others rely on this entry for what the store says.
///
/// After a start of the whole fleet all watch for a moment; if all of them told all, datagrams
/// would grow with the square of the fleet.
fn is_relied_on(node: &Node) -> bool {
    node.watches_store() && node.duty.borrow().is_relied_on()
}

async fn tell(node: &Node, socket: &UdpSocket, news: &EntryNews) {
    let bytes = encode_news(news);
    let all = !news.changes_only && is_relied_on(node);
    let targets = node.peers.borrow_mut().targets(node.now(), all);
    let port = node.place.peer_ports.0;
    for ip in targets {
        // A datagram that can't be sent counts as one that was lost on the way.
        let _ = socket.send_to(&bytes, SocketAddr::from((ip, port))).await;
    }
}

/// Everything that the others are told.
fn all_news(node: &Node) -> EntryNews {
    node.loads_changed.borrow_mut().clear();
    let repeats = node.budget.borrow_mut().tell(node.now());
    let peers = node.peers.borrow();
    EntryNews {
        repeats,
        list_changes: list_changes(node),
        placed: node.pool.borrow().placed(),
        refused: node.returns.borrow().tell(node.now()),
        crashes: peers.crashes.iter().copied().collect(),
        peers: peers.named(),
        ..head(node, &peers)
    }
}

/// Loads that have changed since the last news.
fn changes(node: &Node) -> EntryNews {
    let changed = std::mem::take(&mut *node.loads_changed.borrow_mut());
    EntryNews {
        changes_only: true,
        placed: node.pool.borrow().placed_at(changed),
        ..head(node, &node.peers.borrow())
    }
}

/// Changes of the list of upstreams, if this entry has them from the store.
fn list_changes(node: &Node) -> Vec<ListChange> {
    if is_relied_on(node) {
        node.pool.borrow().list_changes(node.now())
    } else {
        Vec::new()
    }
}

/// Time since the store answered this entry; none if it doesn't watch.
fn store_age(node: &Node) -> Option<Duration> {
    let answered_at = node.store_answered_at.get();
    let answered_at = answered_at.filter(|_| node.duty.borrow().is_watching());
    answered_at.map(|at| node.now().since(at))
}

fn head(node: &Node, peers: &Peers) -> EntryNews {
    EntryNews {
        name: node.place.vm.clone(),
        incarnation: peers.incarnation,
        config: node.version(),
        config_bytes: node.config_bytes(),
        upstreams: node.pool.borrow().revision(),
        upstreams_digest: node.pool.borrow().digest(),
        watches: node.watches_store(),
        store_age: store_age(node),
        leaving: node.stage() != Stage::Serving,
        ..EntryNews::default()
    }
}
