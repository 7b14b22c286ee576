//! Queries to engines whether they leave, while the store can't tell.

use crate::departures::{self, fetch_report};
use crate::log_value::or_empty;
use crate::node::Node;
use fireflycroft::{
    CLOSES_OF_LEAVING, Mechanism, OwnedKey, OwnerRank, ReportMeaning, ServiceSpec, StoreContact,
    Time, UpstreamIx, judge_report,
};
use fireflycroft_platform::EngineReport;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks which engines to query.
const TICK: Duration = Duration::from_millis(50);

/// Interval between checks whether the store is silent.
const IDLE_TICK: Duration = Duration::from_millis(150);

/// Interval between updates of the engines that this entry owns.
///
/// Ranking all entries for all engines takes a hundredth of a core each second at 1,000 entries. The
/// other owner queries while an entry that has died isn't found out.
const OWNED_INTERVAL: Duration = Duration::from_secs(1);

/// Watches for departures until the process ends.
pub async fn run(node: Rc<Node>) {
    let queries = node.policy.uses(Mechanism::DepartureWatch);
    if !queries && !node.policy.uses(Mechanism::StandbyCopies) {
        return;
    }
    let mut owned = Vec::new();
    let mut owned_until = Time::default();
    loop {
        update(&node);
        let is_active = node.departure_watch.borrow().is_active();
        if is_active && queries {
            let now = node.now();
            if now >= owned_until {
                owned = owned_engines(&node);
                owned_until = now + OWNED_INTERVAL;
            }
            query_due(&node, &owned);
        }
        tokio::time::sleep(if is_active { TICK } else { IDLE_TICK }).await;
    }
}

fn update(node: &Node) {
    let now = node.now();
    let contact = store_contact(node);
    let mut watch = node.departure_watch.borrow_mut();
    if watch.update(now, &contact) {
        log::info!(
            event = "departure_watch", active = watch.is_active(), watched = contact.is_watched,
            answer_age_ms = or_empty(contact.answered_at.map(|at| now.since(at).as_millis())),
            confirms_removals = contact.confirms_removals;
            ""
        );
    }
}

fn store_contact(node: &Node) -> StoreContact {
    let now = node.now();
    let views = node.peers.borrow().watcher_views(now);
    let pool = node.pool.borrow();
    let connectivity = pool.store_connectivity();
    StoreContact {
        is_watched: node.watches_store() || views.iter().any(|v| v.watches),
        answered_at: connectivity.answered_at(),
        confirms_removals: connectivity.confirms_removals(now),
    }
}

/// Queries the engines that are due, each in a task of its own.
fn query_due(node: &Rc<Node>, owned: &[(UpstreamIx, OwnerRank)]) {
    let now = node.now();
    for (ix, rank) in owned.iter().copied() {
        let is_due = node.departure_watch.borrow_mut().is_due(now, ix, rank);
        if is_due && node.pool.borrow().is_serving(ix) {
            let node = node.clone();
            tokio::task::spawn_local(async move { query(&node, ix).await });
        }
    }
}

/// Returns the serving engines that this entry owns and whose runs can be saved; idle ones too, since
/// they may be chosen to hold copies.
fn owned_engines(node: &Node) -> Vec<(UpstreamIx, OwnerRank)> {
    let catalog = node.catalog.borrow();
    let services = catalog.iter().flat_map(|c| c.services());
    let can_save = |s: &&ServiceSpec| s.engine.is_some_and(|e| e.can_migrate || e.can_back_up);
    let services: Vec<&ServiceSpec> = services.filter(can_save).collect();
    let pool = node.pool.borrow();
    let is_watched = |ix: &UpstreamIx| {
        let service = &pool.record(*ix).service;
        pool.is_serving(*ix) && services.iter().any(|s| s.name == *service)
    };
    let watched = pool.indices().into_iter().filter(is_watched);
    watched
        .filter_map(|ix| Some((ix, owner_rank(node, &pool.record(ix).instance)?)))
        .collect()
}

fn owner_rank(node: &Node, instance: &str) -> Option<OwnerRank> {
    let peers = node.peers.borrow();
    let mut owners = peers.owners(node.now(), OwnedKey::of_upstream(instance));
    match owners.position(|ip| ip == node.place.ip)? {
        0 => Some(OwnerRank::First),
        _ => Some(OwnerRank::Second),
    }
}

/// Queries an engine, again at once while it closes the connection, until that counts as a notice.
async fn query(node: &Rc<Node>, ix: UpstreamIx) {
    loop {
        let fetched = match fetch_report(node, ix).await {
            Ok(fetched) => fetched,
            Err(e) => return record_failure(node, ix, &e.to_string()),
        };
        node.metrics.record_departure_query("answered");
        let now = node.now();
        let closes = node
            .departure_watch
            .borrow_mut()
            .record_answer(now, ix, fetched.closes);
        apply_report(node, ix, &fetched.report, closes);
        if !(1..CLOSES_OF_LEAVING).contains(&closes) {
            return;
        }
    }
}

fn record_failure(node: &Node, ix: UpstreamIx, why: &str) {
    node.metrics.record_departure_query("failed");
    let instance = node.pool.borrow().record(ix).instance.clone();
    log::info!(event = "departure_query_failed", instance = &*instance, why = why; "");
}

/// Applies a report: a departure becomes a leave notice for all entries.
fn apply_report(node: &Node, ix: UpstreamIx, report: &EngineReport, closes: u32) {
    let now = node.now();
    let expected = node.pool.borrow().record(ix).incarnation;
    let meaning = judge_report(
        now,
        expected,
        report.incarnation,
        report.is_draining,
        report.leaves_in,
    );
    let (by, gone_at) = match meaning {
        ReportMeaning::Leaves(gone_at) => ("report", gone_at),
        ReportMeaning::Stays if closes >= CLOSES_OF_LEAVING => ("closes", None),
        ReportMeaning::Stays | ReportMeaning::OtherIncarnation => return,
    };
    let change = node.pool.borrow_mut().record_leave_notice(now, ix);
    if change.is_none() {
        return;
    }
    let leaves_in = gone_at.map(|at| at.since(now).as_millis());
    log::info!(
        event = "departure_found", instance = &*node.pool.borrow().record(ix).instance, by = by,
        leaves_in_ms = or_empty(leaves_in), runs = report.runs.len();
        ""
    );
    node.metrics.departures_found.with_label_values(&[by]).inc();
    if gone_at.is_some() {
        departures::record_departure(node, ix, report, gone_at);
    }
    node.apply_pool_changes(change, "report");
    node.announce_to_all_now();
}

impl Node {
    /// Returns whether departures may go unannounced, so that this entry watches for them.
    #[must_use]
    pub fn is_store_silent(&self) -> bool {
        self.departure_watch.borrow().is_active()
    }

    /// Returns whether the store answers this or another entry now.
    #[must_use]
    pub fn hears_store(&self) -> bool {
        let contact = store_contact(self);
        contact.answered_at.is_some() && !contact.is_silent(self.now())
    }
}

/// Records that an engine closes a connection, which one that leaves does; queries it at once.
pub fn record_close(node: &Rc<Node>, ix: UpstreamIx) {
    let now = node.now();
    let queries = node.policy.uses(Mechanism::DepartureWatch);
    if queries && node.departure_watch.borrow_mut().record_hint(now, ix) {
        log::info!(event = "departure_hint", instance = &*node.pool.borrow().record(ix).instance; "");
        let node = node.clone();
        tokio::task::spawn_local(async move { query(&node, ix).await });
    }
}
