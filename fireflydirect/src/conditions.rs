//! What upstreams say of the requests to come, in the heads of their answers or as other entries tell.

use crate::figure::or_empty;
use crate::job::Job;
use crate::node::Node;
use fireflycroft::{
    Life, RateChange, RateLimit, ResponseHead, RunClaim, Time, ToldRate, UpstreamIx,
};
use hyper::StatusCode;
use std::time::Duration;

/// Takes what the head of an answer to a request of `sent` says of the upstream.
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
    if conditions.leaving {
        let change = node.pool.borrow_mut().record_leave_notice(node.now(), ix);
        node.take_changes(change, "answer");
    }
    // A failure may have been answered before the upstream looked at its need.
    let states_rate = conditions.rate_limit.is_some() || (status.is_success() && head.sealed);
    if states_rate {
        apply_rate_limit(node, ix, sent_at, conditions.rate_limit);
    }
}

fn apply_rate_limit(node: &Node, ix: UpstreamIx, sent_at: Time, named: Option<RateLimit>) {
    let mut pool = node.pool.borrow_mut();
    let change = pool.record_rate_limit(node.now(), ix, sent_at, named);
    drop(pool);
    if let Some(change) = change {
        log_rate_change(node, ix, change, "answer");
        node.urgent.notify_one();
    }
}

/// Takes rates of upstreams that another entry told.
pub fn apply_announced_rates(node: &Node, rates: &[ToldRate]) {
    for announced in rates {
        let change = node.pool.borrow_mut().apply_rate(node.now(), announced);
        if let Some((ix, change)) = change {
            log_rate_change(node, ix, change, "peer");
        }
    }
}

/// Takes upstreams that leave, as another entry has heard from themselves.
pub fn apply_announced_leaving(node: &Node, lives: &[Life]) {
    for life in lives {
        let change = node.pool.borrow_mut().apply_leave_notice(node.now(), life);
        node.take_changes(change, "peer_answer");
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
