//! What upstreams say of the requests to come, in the heads of their answers or as other entries tell.

use crate::figure::or_empty;
use crate::job::Job;
use crate::node::Node;
use fireflycroft::{AnswerHead, RateChange, RunClaim, Time, ToldRate, UpstreamIx};

/// Takes what the head of an answer to a request of `sent` says of the upstream.
pub fn take(job: &Job, ix: UpstreamIx, sent: Time, head: &AnswerHead) {
    if head.claim == RunClaim::WrongInstance {
        return;
    }
    let node = &job.node;
    let change = node
        .pool
        .borrow_mut()
        .note_rate_limit(node.now(), ix, sent, head.rate_limit);
    if let Some(change) = change {
        say_rate_changed(node, ix, change, "answer");
        node.urgent.notify_one();
    }
}

/// Takes rates of upstreams that another entry told.
pub fn take_told(node: &Node, rates: &[ToldRate]) {
    for told in rates {
        let change = node.pool.borrow_mut().take_rate(node.now(), told);
        if let Some((ix, change)) = change {
            say_rate_changed(node, ix, change, "peer");
        }
    }
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
