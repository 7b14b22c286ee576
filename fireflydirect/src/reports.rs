//! Reports to owners: work placed on upstreams, refused callers, unreachable upstreams and begun streams.
//!
//! Changes are reported at once. The full state is reported twice a second as well, since a
//! datagram may be lost and an owner may be new.

use crate::node::Node;
use crate::stream_origins;
use fireflycroft::{
    EntryMessage, OwnedKey, OwnerReport, PlacedAt, Refusal, StreamStart, UpstreamIncarnation,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two full reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two reports, so that changes made together are reported together.
const REPORT_MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Sends reports for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    let mut full_report_at = node.now();
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(node.clock.instant(full_report_at)) => {
                full_report_at = node.now() + REPORT_INTERVAL;
                report_full(&node).await;
            }
            () = node.report_due.notified() => {
                report_changes(&node).await;
                tokio::time::sleep(REPORT_MIN_INTERVAL).await;
            }
        }
    }
}

async fn report_full(node: &Node) {
    let placed = node.pool.borrow().placed();
    let refused = node.returning_callers.borrow().own_refusals(node.now());
    let items = ReportItems {
        placed,
        refused,
        unreachable: Vec::new(),
        streams: stream_origins::due(node),
    };
    report(node, items, true).await;
}

async fn report_changes(node: &Node) {
    let changed = std::mem::take(&mut *node.loads_changed.borrow_mut());
    let placed = node.pool.borrow().placed_at(changed);
    let items = ReportItems {
        placed,
        refused: std::mem::take(&mut *node.unreported_refusals.borrow_mut()),
        unreachable: std::mem::take(&mut *node.unreported_unreachable.borrow_mut()),
        streams: std::mem::take(&mut *node.unreported_starts.borrow_mut()),
    };
    report(node, items, false).await;
}

/// Items to report, not yet divided by owner.
struct ReportItems {
    placed: Vec<PlacedAt>,
    refused: Vec<Refusal>,
    unreachable: Vec<UpstreamIncarnation>,
    streams: Vec<StreamStart>,
}

async fn report(node: &Node, items: ReportItems, is_whole: bool) {
    for (owner, mut report) in by_owner(node, items) {
        report.entry = node.place.vm.clone();
        report.is_whole = is_whole;
        let message = EntryMessage::Report(report);
        node.datagrams.send_all([owner], &message).await;
    }
}

/// Builds one report for each owner of the items.
fn by_owner(node: &Node, items: ReportItems) -> HashMap<Ipv4Addr, OwnerReport> {
    let now = node.now();
    let peers = node.peers.borrow();
    let mut reports: HashMap<Ipv4Addr, OwnerReport> = HashMap::new();
    for at in items.placed {
        for owner in peers.other_owners(now, OwnedKey::of_upstream(&at.instance)) {
            let report = reports.entry(owner).or_default();
            report.placed.push(at.clone());
        }
    }
    for refusal in items.refused {
        for owner in peers.other_owners(now, OwnedKey::of_content(refusal.content)) {
            let report = reports.entry(owner).or_default();
            report.refused.push(refusal.clone());
        }
    }
    for incarnation in items.unreachable {
        for owner in peers.other_owners(now, OwnedKey::of_upstream(&incarnation.instance)) {
            let report = reports.entry(owner).or_default();
            report.unreachable.push(incarnation.clone());
        }
    }
    for start in items.streams {
        for owner in peers.stream_owners(now, start.stream) {
            let report = reports.entry(owner).or_default();
            report.streams.push(start.clone());
        }
    }
    reports
}
