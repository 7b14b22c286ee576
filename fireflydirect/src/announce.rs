//! Telling the other entries, and deciding who watches the store for all.

use crate::node::{Node, Stage};
use fireflycroft::{EntryAnnouncement, EntryMessage, ListChange, OwnedKey};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Least time between two tellings, however urgent.
const TELL_SPACING: Duration = Duration::from_millis(15);

/// Tells the others for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    let begins = node.watcher_role.borrow().is_watching();
    log::info!(event = "watch_duty", watching = begins, peers = 0; "");
    let mut tell_at = node.now();
    loop {
        let reason = tokio::select! {
            biased;
            () = node.announce_now.notified() => Reason::Urgent,
            () = tokio::time::sleep_until(node.clock.instant(tell_at)) => Reason::Due,
        };
        decide_duty(&node);
        node.update_fleet_view();
        let pace = node.peers.borrow().pace(is_relied_on(&node));
        tell_at = node.now() + pace;
        tell(&node, reason).await;
        if reason != Reason::Due {
            tokio::time::sleep(TELL_SPACING).await;
        }
    }
}

/// Decides whether this entry watches the store.
fn decide_duty(node: &Node) {
    let now = node.now();
    let views = node.peers.borrow().watch_views(now);
    let mut duty = node.watcher_role.borrow_mut();
    let was_relied_on = duty.is_primary();
    let changed = duty.decide(now, &views);
    let (watching, relied_on) = (duty.is_watching(), duty.is_primary());
    drop(duty);
    if changed {
        log::info!(event = "watch_duty", watching = watching, peers = views.len(); "");
    }
    if changed || relied_on != was_relied_on {
        node.watcher_role_changed.notify_waiters();
    }
}

/// Why news is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Something that others must know at once.
    Urgent,
    /// The time has come.
    Due,
}

/// Whether the others rely on this entry for what the store says.
///
/// After a start of the whole fleet all watch for a moment; if all of them told all, datagrams
/// would grow with the square of the fleet.
fn is_relied_on(node: &Node) -> bool {
    node.watches_store() && node.watcher_role.borrow().is_primary()
}

async fn tell(node: &Node, reason: Reason) {
    let must_reach_all = reason == Reason::Urgent && node.announce_to_all.take();
    let all = must_reach_all || is_relied_on(node);
    let news = news(node);
    let mut targets: BTreeSet<Ipv4Addr> = BTreeSet::new();
    targets.extend(node.peers.borrow_mut().targets(node.now(), all));
    targets.extend(lenders(node, &news));
    let message = EntryMessage::Announcement(Box::new(news));
    node.datagrams.send_all(targets, &message).await;
}

/// Tells one entry that has just started.
pub(crate) async fn greet(node: &Node, newcomer: Ipv4Addr) {
    let message = EntryMessage::Announcement(Box::new(news(node)));
    node.datagrams.send_all([newcomer], &message).await;
}

/// Owners of the services that this entry repeats requests to: they lend what is left, and have to
/// know what was spent.
fn lenders(node: &Node, news: &EntryAnnouncement) -> Vec<Ipv4Addr> {
    let peers = node.peers.borrow();
    let services = news.retries.iter().map(|c| &c.service);
    let owners = services.flat_map(|s| peers.other_owners(node.now(), OwnedKey::of_retries(s)));
    owners.collect()
}

fn news(node: &Node) -> EntryAnnouncement {
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
        crashes: peers.crashes.iter().copied().collect(),
        peers: peers.named(now),
        evacuations: node.pool.borrow().evacuations().clone(),
        rate_limits,
        departing,
        leaving: node.stage() != Stage::Serving,
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
    let answered_at = node.last_store_response.get();
    let answered_at = answered_at.filter(|_| node.watcher_role.borrow().is_watching());
    answered_at.map(|at| node.now().since(at))
}
