//! What upstreams say of the requests to come, in the heads of their answers or as other entries tell.

use crate::figure::or_empty;
use crate::job::Job;
use crate::node::Node;
use fireflycroft::{
    RateChange, RateLimit, ResponseHead, RunClaim, Time, ToldRate, UpstreamIncarnation, UpstreamIx,
};
use hyper::StatusCode;
use std::time::Duration;

/// Takes what the head of an answer to a request of `sent` says of the upstream.
pub fn take(job: &Job, ix: UpstreamIx, sent: Time, status: StatusCode, head: &ResponseHead) {
    if head.claim == RunClaim::WrongInstance {
        return;
    }
    let node = &job.node;
    let said = &head.conditions;
    if let Some(span) = said.backoff {
        node.pool.borrow_mut().pause(node.now(), ix, span);
        say_paused(node, ix, span);
    }
    if said.leaving {
        let change = node.pool.borrow_mut().record_leave_notice(node.now(), ix);
        node.take_changes(change, "answer");
    }
    // A failure may have been answered before the upstream looked at its need.
    let tells_rate = said.rate_limit.is_some() || (status.is_success() && head.sealed);
    if tells_rate {
        apply_rate(node, ix, sent, said.rate_limit);
    }
}

fn apply_rate(node: &Node, ix: UpstreamIx, sent: Time, named: Option<RateLimit>) {
    let mut pool = node.pool.borrow_mut();
    let change = pool.record_rate_limit(node.now(), ix, sent, named);
    drop(pool);
    if let Some(change) = change {
        say_rate_changed(node, ix, change, "answer");
        node.urgent.notify_one();
    }
}

/// Takes rates of upstreams that another entry told.
pub fn take_told_rates(node: &Node, rates: &[ToldRate]) {
    for told in rates {
        let change = node.pool.borrow_mut().apply_rate(node.now(), told);
        if let Some((ix, change)) = change {
            say_rate_changed(node, ix, change, "peer");
        }
    }
}

/// Takes upstreams that leave, as another entry has heard from themselves.
pub fn take_told_leaving(node: &Node, lives: &[UpstreamIncarnation]) {
    for life in lives {
        let change = node.pool.borrow_mut().apply_leave_notice(node.now(), life);
        node.take_changes(change, "peer_answer");
    }
}

fn say_paused(node: &Node, ix: UpstreamIx, span: Duration) {
    let pool = node.pool.borrow();
    let record = pool.record(ix);
    log::info!(
        event = "upstream_paused", instance = &*record.instance, service = &*record.service,
        for_ms = span.as_millis();
        ""
    );
}

fn say_rate_changed(node: &Node, ix: UpstreamIx, change: RateChange, source: &str) {
    let pool = node.pool.borrow();
    let record = pool.record(ix);
    log::info!(
        event = "rate_limit_changed", instance = &*record.instance, service = &*record.service,
        per_second = or_empty(change.is), was = or_empty(change.was), source = source;
        ""
    );
}
