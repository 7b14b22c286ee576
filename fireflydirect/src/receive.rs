//! Receiving datagrams of the other entries.

use crate::announce;
use crate::conditions;
use crate::crash_sync;
use crate::node::Node;
use crate::owner_queries;
use crate::peer_fetch::{fetch, fetch_entries};
use crate::peers::{MissingState, v4};
use crate::suspects;
use fireflycroft::{EntryAnnouncement, EntryMessage, Time, era_of};
use fireflycroft_wire::decode_datagram;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Size of the longest datagram read, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// Pause after a receive error, whose cause is brief.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(15);

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
    node.record_turn();
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
    let missing = missing_state(node, now - on_way, from, &announcement);
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

/// Returns what this entry has to fetch after an announcement sent at `sent` or later; records whether it is a sign
/// that the list of upstreams is current.
fn missing_state(
    node: &Node,
    sent: Time,
    from: Ipv4Addr,
    announcement: &EntryAnnouncement,
) -> MissingState {
    let now = node.now();
    let mut pool = node.pool.borrow_mut();
    let mut peers = node.peers.borrow_mut();
    let mut currency = node.list_currency.borrow_mut();
    let is_same = pool.digest() == announcement.upstreams_digest;
    if is_same {
        pool.record_complete(announcement.upstreams_complete);
    }
    if announcement.watches && is_same {
        peers.record_list_current();
        currency.confirm(sent);
    }
    let is_ahead = announcement.upstreams_complete > pool.complete_to();
    let is_newer = !is_same && (is_ahead || announcement.upstreams >= pool.revision());
    if announcement.watches && is_newer && !node.watches_store() {
        currency.doubt(now);
    }
    let announced = MissingState {
        config: Some(announcement.config)
            .filter(|v| *v > node.config_version() && peers.has_config(from, *v)),
        list: (announcement.watches && is_newer).then_some(announcement.upstreams_complete),
    };
    peers.overdue_state(now, announced, node.awaits_store_data())
}
