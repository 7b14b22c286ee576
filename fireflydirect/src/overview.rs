//! Overview page for operators: the entry, its upstreams and the other entries.

use crate::node::{Node, Stage};
use fireflycroft::{
    EntryOverview, OwnedKey, Pool, RateLimit, RefusedContentOverview, RefusedPartOverview, Time,
    UpstreamIx, UpstreamOverview, whole_millis,
};

/// Path of the page.
pub const OVERVIEW_PATH: &str = "/fleet/overview";

/// Returns the current overview.
#[must_use]
pub fn overview(node: &Node) -> EntryOverview {
    let now = node.now();
    let pool = node.pool.borrow();
    let known = pool.indices().into_iter();
    EntryOverview {
        name: node.place.vm.clone(),
        data_centre: node.place.data_centre.clone(),
        ready: node.is_ready(),
        stage: stage_label(node.stage()).to_owned(),
        config: node.config_version(),
        config_age_ms: node
            .config_adopted_at
            .get()
            .map(|at| whole_millis(now.since(at))),
        watches: node.watcher_role.borrow().is_watching(),
        store_answers: node.store_responding.get(),
        evacuated: pool.evacuations().data_centres.iter().cloned().collect(),
        store_era: node.store_era(),
        calls: node.calls_in_flight.get(),
        streams: node.runs.count(),
        refused_parts: refused_parts(node, now),
        refused_contents: refused_contents(node, now),
        upstreams: known.map(|ix| upstream(node, &pool, now, ix)).collect(),
        peers: node.peers.borrow().overview(now),
    }
}

fn refused_parts(node: &Node, now: Time) -> Vec<RefusedPartOverview> {
    let refused = node.crash_evidence.borrow().refused(now);
    let parts = refused.iter().filter(|r| !r.suspect.is_content());
    let shown = parts.map(|r| RefusedPartOverview {
        part: r.suspect.to_string().into(),
        crashes: r.crashes,
        crash_age_ms: whole_millis(r.age),
    });
    shown.collect()
}

fn refused_contents(node: &Node, now: Time) -> Vec<RefusedContentOverview> {
    let refused = node.crash_evidence.borrow().refused(now);
    let contents = refused.iter().filter(|r| r.suspect.is_content());
    let shown = contents.map(|r| RefusedContentOverview {
        content: r.suspect.to_string().into(),
        crashes: r.crashes,
        crash_age_ms: whole_millis(r.age),
    });
    shown.collect()
}

fn upstream(node: &Node, pool: &Pool, now: Time, ix: UpstreamIx) -> UpstreamOverview {
    let record = pool.record(ix);
    let view = pool.view(now, ix);
    let key = OwnedKey::of_upstream(&record.instance);
    let peers = node.peers.borrow();
    UpstreamOverview {
        instance: record.instance.clone(),
        service: record.service.clone(),
        addr: record.addr,
        data_centre: record.data_centre.clone(),
        serves: pool.is_serving(ix),
        evacuated: pool.is_evacuated(ix),
        cold_ms: whole_millis(pool.cold_for(now, ix)),
        rate_limit: pool.rate_limit(ix).map(RateLimit::per_second),
        running: view.placed.running,
        memory: view.memory,
        unread: view.placed.unread,
        failing: view.failing,
        pace: pool.relative_pace(ix),
        told_age_ms: whole_millis(view.age),
        owners: peers.owners(now, key).collect(),
    }
}

const fn stage_label(stage: Stage) -> &'static str {
    match stage {
        Stage::Serving => "serving",
        Stage::Draining => "draining",
        Stage::Closing => "closing",
    }
}
