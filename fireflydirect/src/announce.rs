//! Announcing this entry's state to the others, and choosing the watchers of the store.

use crate::discovery;
use crate::hold;
use crate::kept_refusals;
use crate::node::{Node, Stage};
use fireflycroft::{CrashNews, EntryAnnouncement, EntryMessage, Evacuations, ListChange, OwnedKey};
use fireflycroft_wire::{MAX_DATAGRAM_BYTES, encode_datagram};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Minimum interval between two announcements, however urgent.
const ANNOUNCE_MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Parts that an announcement can do without, in the order in which they are left out.
const OPTIONAL_PARTS: [fn(&mut EntryAnnouncement); 3] = [
    |announcement| announcement.list_changes.clear(),
    |announcement| announcement.evacuations = Evacuations::default(),
    |announcement| announcement.crash_news = CrashNews::default(),
];

/// Announces for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    let begins = node.watcher_role.borrow().is_watching();
    log::info!(event = "watch_duty", watching = begins, peers = 0, reason = "start"; "");
    let mut announce_at = node.now();
    loop {
        let reason = tokio::select! {
            biased;
            () = node.announce_now.notified() => Reason::Urgent,
            () = tokio::time::sleep_until(node.clock.instant(announce_at)) => Reason::Due,
        };
        node.record_turn();
        update_watcher_role(&node);
        discovery::review(&node);
        kept_refusals::review(&node);
        node.update_fleet_view();
        let interval = node
            .peers
            .borrow()
            .announce_interval(is_primary_watcher(&node));
        announce_at = node.now() + interval;
        announce(&node, reason).await;
        if reason != Reason::Due {
            tokio::time::sleep(ANNOUNCE_MIN_INTERVAL).await;
        }
    }
}

/// Decides whether this entry watches the store.
fn update_watcher_role(node: &Node) {
    let now = node.now();
    let views = node.peers.borrow().watcher_views(now);
    node.update_watcher_role(|role| role.decide(now, &views));
}

/// Reason for an announcement.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// A change that others must know at once.
    Urgent,
    /// The regular interval is over.
    Due,
}

/// Returns whether the others rely on this entry for the store's state, also if the store has
/// ceased to answer it: then they leave the calls to it.
///
/// After a start of the whole fleet all entries watch briefly; if each of them announced to all,
/// the number of datagrams would grow with the square of the fleet.
fn is_primary_watcher(node: &Node) -> bool {
    let has_been_answered = node.last_store_response.get().is_some();
    has_been_answered && node.watcher_role.borrow().is_primary()
}

async fn announce(node: &Node, reason: Reason) {
    let to_all = reason == Reason::Urgent && node.announce_to_all.take();
    let all = to_all || is_primary_watcher(node);
    let announcement = announcement(node);
    let mut targets: BTreeSet<Ipv4Addr> = BTreeSet::new();
    targets.extend(node.peers.borrow_mut().targets(node.now(), all));
    targets.extend(retry_owners(node, &announcement));
    node.datagrams
        .send_all(targets, &sendable(announcement))
        .await;
    if to_all && node.crash_evidence.borrow().has_untold(node.now()) {
        node.announce_to_all_now();
    }
}

/// Announces this entry to one that has just started.
pub(crate) async fn introduce(node: &Node, newcomer: Ipv4Addr) {
    let message = sendable(announcement(node));
    node.datagrams.send_all([newcomer], &message).await;
}

/// Returns the message of an announcement, without parts that make it too large for a datagram.
///
/// Others fetch the list of upstreams if they lack a change; versions and watchers they hear of by announcements alone.
fn sendable(mut announcement: EntryAnnouncement) -> EntryMessage {
    for leave_out in OPTIONAL_PARTS {
        let message = EntryMessage::Announcement(Box::new(announcement.clone()));
        let bytes = encode_datagram(&message).len();
        if bytes <= MAX_DATAGRAM_BYTES {
            return message;
        }
        log::warn!(event = "announcement_shortened", bytes = bytes; "");
        leave_out(&mut announcement);
    }
    EntryMessage::Announcement(Box::new(announcement))
}

/// Returns the owners of services whose requests this entry retries: they grant the retries that
/// are left, and need to know the number used.
fn retry_owners(node: &Node, announcement: &EntryAnnouncement) -> Vec<Ipv4Addr> {
    let peers = node.peers.borrow();
    let services = announcement.retries.iter().map(|c| &c.service);
    let owners = services.flat_map(|s| peers.other_owners(node.now(), OwnedKey::of_retries(s)));
    owners.collect()
}

fn announcement(node: &Node) -> EntryAnnouncement {
    let now = node.now();
    let retries = node.retry_budget.borrow_mut().report(now);
    let rate_limits = node.pool.borrow_mut().rates_to_announce(now);
    let departing = node.pool.borrow_mut().leave_notices_to_announce(now);
    let peers = node.peers.borrow();
    EntryAnnouncement {
        name: node.place.vm.clone(),
        incarnation: peers.incarnation,
        config: node.config_version(),
        entries: u32::try_from(node.entries()).unwrap_or(u32::MAX),
        upstreams: node.pool.borrow().revision(),
        upstreams_digest: node.pool.borrow().digest(),
        upstreams_complete: node.pool.borrow().complete_to(),
        data_centre: node.place.data_centre.clone(),
        watches: node.watches_store(),
        store_age: store_age(node),
        list_changes: list_changes(node),
        retries,
        crash_news: node.crash_evidence.borrow_mut().news_to_tell(now),
        peers: peers.listed_peers(now),
        evacuations: node.pool.borrow().evacuations().clone(),
        rate_limits,
        departing,
        demands: hold::demands(node),
        pauses: node.pool.borrow().pause_counts(),
        leaving: node.stage() != Stage::Serving,
    }
}

/// Returns changes of the list of upstreams, if this entry has them from the store.
fn list_changes(node: &Node) -> Vec<ListChange> {
    if node.watches_store() && is_primary_watcher(node) {
        node.pool.borrow().list_changes(node.now())
    } else {
        Vec::new()
    }
}

/// Returns the time since the last response of the store; `None` if this entry doesn't watch.
fn store_age(node: &Node) -> Option<Duration> {
    let role = node.watcher_role.borrow();
    let answered_at = node.last_store_response.get();
    let answered_at = answered_at.filter(|_| role.is_watching() && !role.is_on_trial());
    answered_at.map(|at| node.now().since(at))
}
