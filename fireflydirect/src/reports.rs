//! Telling owners what this entry does and finds: work that it places, callers whom it refuses and
//! upstreams that it can't reach.
//!
//! Changes are told at once, and all that holds again twice a second, since a
//! datagram may be lost and an owner may be new.

use crate::node::Node;
use fireflycroft::{EntryMessage, OwnedKey, OwnerReport, PlacedAt, Refusal, UpstreamIncarnation};
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
    let refused = node.returns.borrow().own_refusals(node.now());
    let news = News {
        placed,
        refused,
        unreachable: Vec::new(),
    };
    report(node, news, true).await;
}

async fn report_changes(node: &Node) {
    let changed = std::mem::take(&mut *node.loads_changed.borrow_mut());
    let placed = node.pool.borrow().placed_at(changed);
    let news = News {
        placed,
        refused: std::mem::take(&mut *node.refused.borrow_mut()),
        unreachable: std::mem::take(&mut *node.unreachable.borrow_mut()),
    };
    report(node, news, false).await;
}

/// What is to be reported, whoever owns it.
struct News {
    placed: Vec<PlacedAt>,
    refused: Vec<Refusal>,
    unreachable: Vec<UpstreamIncarnation>,
}

async fn report(node: &Node, news: News, is_whole: bool) {
    for (owner, mut report) in by_owner(node, news) {
        report.entry = node.place.vm.clone();
        report.is_whole = is_whole;
        let message = EntryMessage::Report(report);
        node.datagrams.send_all([owner], &message).await;
    }
}

/// One report for each owner of what is reported.
fn by_owner(node: &Node, news: News) -> HashMap<Ipv4Addr, OwnerReport> {
    let now = node.now();
    let peers = node.peers.borrow();
    let mut reports: HashMap<Ipv4Addr, OwnerReport> = HashMap::new();
    for at in news.placed {
        for owner in peers.other_owners(now, OwnedKey::of_upstream(&at.instance)) {
            let report = reports.entry(owner).or_default();
            report.placed.push(at.clone());
        }
    }
    for refusal in news.refused {
        for owner in peers.other_owners(now, OwnedKey::of_content(refusal.content)) {
            let report = reports.entry(owner).or_default();
            report.refused.push(refusal.clone());
        }
    }
    for life in news.unreachable {
        for owner in peers.other_owners(now, OwnedKey::of_upstream(&life.instance)) {
            let report = reports.entry(owner).or_default();
            report.unreachable.push(life.clone());
        }
    }
    reports
}
