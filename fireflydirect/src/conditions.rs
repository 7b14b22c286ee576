//! Applies upstreams' pauses, rate limits and leave notices, from response heads or other entries.

use crate::departure_watch;
use crate::job::Job;
use crate::log_value::or_empty;
use crate::node::Node;
use fireflycroft::{
    RateChange, RateLimit, ResponseHead, RunClaim, Time, ToldRate, UpstreamIncarnation, UpstreamIx,
};
use hyper::StatusCode;
use std::time::Duration;

/// Applies the conditions in the response head of a request sent at `sent_at`.
pub fn apply_head(
    job: &Job,
    ix: UpstreamIx,
    sent_at: Time,
    status: StatusCode,
    head: &ResponseHead,
) {
    if head.claim == RunClaim::WrongInstance {
        return;
    }
    let node = &job.node;
    let conditions = &head.conditions;
    if let Some(pause) = conditions.backoff {
        node.pool.borrow_mut().pause(node.now(), ix, pause);
        log_paused(node, ix, pause);
    }
    if head.closes && job.engine.is_some() {
        departure_watch::record_close(node, ix);
    }
    if conditions.leaving {
        let change = node.pool.borrow_mut().record_leave_notice(node.now(), ix);
        node.apply_pool_changes(change, "answer");
    }
    // A failed response may lack the limit, as the upstream may not have determined it yet.
    let states_rate = conditions.rate_limit.is_some() || (status.is_success() && head.sealed);
    if states_rate {
        apply_rate_limit(node, ix, sent_at, conditions.rate_limit);
    }
}

fn apply_rate_limit(node: &Node, ix: UpstreamIx, sent_at: Time, stated: Option<RateLimit>) {
    let mut pool = node.pool.borrow_mut();
    let change = pool.record_rate_limit(node.now(), ix, sent_at, stated);
    drop(pool);
    if let Some(change) = change {
        log_rate_change(node, ix, change, "answer");
        node.announce_now.notify_one();
    }
}

/// Applies rate limits announced by another entry.
pub fn apply_announced_rates(node: &Node, rates: &[ToldRate]) {
    for announced in rates {
        let change = node.pool.borrow_mut().apply_rate(node.now(), announced);
        if let Some((ix, change)) = change {
            log_rate_change(node, ix, change, "peer");
        }
    }
}

/// Applies leave notices that another entry received from the upstreams themselves.
pub fn apply_announced_leaving(node: &Node, incarnations: &[UpstreamIncarnation]) {
    for incarnation in incarnations {
        let change = node
            .pool
            .borrow_mut()
            .apply_leave_notice(node.now(), incarnation);
        node.apply_pool_changes(change, "peer_answer");
    }
}

fn log_paused(node: &Node, ix: UpstreamIx, pause: Duration) {
    let pool = node.pool.borrow();
    let record = pool.record(ix);
    log::info!(
        event = "upstream_paused", instance = &*record.instance, service = &*record.service,
        for_ms = pause.as_millis();
        ""
    );
}

fn log_rate_change(node: &Node, ix: UpstreamIx, change: RateChange, source: &str) {
    let pool = node.pool.borrow();
    let record = pool.record(ix);
    log::info!(
        event = "rate_limit_changed", instance = &*record.instance, service = &*record.service,
        per_second = or_empty(change.is), was = or_empty(change.was), source = source;
        ""
    );
}
