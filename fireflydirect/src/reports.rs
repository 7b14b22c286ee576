//! Telling owners what this entry does: work that it places and callers whom it refuses.
//!
//! Changes are told at once, and all that holds again twice a second, since a
//! datagram may be lost and an owner may be new.

use crate::node::Node;
use fireflycroft::{EntryMessage, OwnedKey, OwnerReport, PlacedAt, Refusal};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two whole reports.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Least time between two reports, so that changes of one moment go together.
const REPORT_SPACING: Duration = Duration::from_millis(15);

/// Reports for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    let mut whole_at = node.now();
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(node.clock.instant(whole_at)) => {
                whole_at = node.now() + REPORT_EVERY;
                report_all(&node).await;
            }
            () = node.to_report.notified() => {
                report_changes(&node).await;
                tokio::time::sleep(REPORT_SPACING).await;
            }
        }
    }
}

async fn report_all(node: &Node) {
    let placed = node.pool.borrow().placed();
    let refused = node.returns.borrow().tell(node.now());
    report(node, placed, refused, true).await;
}

async fn report_changes(node: &Node) {
    let changed = std::mem::take(&mut *node.loads_changed.borrow_mut());
    let placed = node.pool.borrow().placed_at(changed);
    let refused = std::mem::take(&mut *node.refused.borrow_mut());
    report(node, placed, refused, false).await;
}

async fn report(node: &Node, placed: Vec<PlacedAt>, refused: Vec<Refusal>, is_whole: bool) {
    for (owner, report) in by_owner(node, placed, refused, is_whole) {
        let message = EntryMessage::Report(report);
        node.datagrams.send_all([owner], &message).await;
    }
}

/// One report for each owner of what is reported.
fn by_owner(
    node: &Node,
    placed: Vec<PlacedAt>,
    refused: Vec<Refusal>,
    is_whole: bool,
) -> HashMap<Ipv4Addr, OwnerReport> {
    let now = node.now();
    let peers = node.peers.borrow();
    let empty = || OwnerReport {
        entry: node.place.vm.clone(),
        is_whole,
        ..OwnerReport::default()
    };
    let mut reports: HashMap<Ipv4Addr, OwnerReport> = HashMap::new();
    for at in placed {
        for owner in peers.other_owners(now, OwnedKey::of_upstream(&at.instance)) {
            let report = reports.entry(owner).or_insert_with(empty);
            report.placed.push(at.clone());
        }
    }
    for refusal in refused {
        for owner in peers.other_owners(now, OwnedKey::of_content(refusal.content)) {
            let report = reports.entry(owner).or_insert_with(empty);
            report.refused.push(refusal.clone());
        }
    }
    reports
}
