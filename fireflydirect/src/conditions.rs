//! What upstreams say in the heads of their answers of the requests to come.

use crate::figure::or_empty;
use crate::job::Job;
use crate::node::Node;
use fireflycroft::{AnswerHead, RateChange, RunClaim, Time, UpstreamIx};

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
