//! Queries to owners, and replies to the queries of other entries.
//!
//! See [`fireflycroft::owners_of`] for the assignment of owners. A query ends when all queried
//! owners have replied, or after `REPLY_TIMEOUT`; replies until then are applied, and the
//! requester uses its own state for the rest.

use crate::node::Node;
use crate::stream_origins;
use fireflycroft::{
    EntryMessage, OwnerQuery, OwnerQueryBody, OwnerReply, OwnerReplyBody, OwnerReport, Refusal,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for replies: several round trips between data centres, and far less than any
/// objective.
const REPLY_TIMEOUT: Duration = Duration::from_millis(20);

/// Queries that wait for replies.
#[derive(Default)]
pub struct OwnerQueries {
    last: Cell<u64>,
    waiting: RefCell<HashMap<u64, PendingQuery>>,
}

/// One query, sent to one or more owners.
struct PendingQuery {
    replies_left: usize,
    all_replied: Option<oneshot::Sender<()>>,
}

/// Registration of a query, removed on drop.
struct QueryGuard<'a> {
    queries: &'a OwnerQueries,
    id: u64,
    all_replied: oneshot::Receiver<()>,
}

impl OwnerQueries {
    fn begin(&self, owners: usize) -> QueryGuard<'_> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let (tx, rx) = oneshot::channel();
        let waiting = PendingQuery {
            replies_left: owners,
            all_replied: Some(tx),
        };
        self.waiting.borrow_mut().insert(id, waiting);
        QueryGuard {
            queries: self,
            id,
            all_replied: rx,
        }
    }

    /// Records a reply; the last one ends the wait.
    fn record_reply(&self, id: u64) {
        let mut all = self.waiting.borrow_mut();
        let Some(waiting) = all.get_mut(&id) else {
            return;
        };
        waiting.replies_left = waiting.replies_left.saturating_sub(1);
        let all_replied = waiting.all_replied.take_if(|_| waiting.replies_left == 0);
        if let Some(tx) = all_replied {
            // The requester may have stopped waiting.
            let _ = tx.send(());
        }
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.queries.waiting.borrow_mut().remove(&self.id);
    }
}

/// Queries owners; returns true once all have replied, or false after the timeout.
pub async fn query_owners(
    node: &Node,
    queries: impl ExactSizeIterator<Item = (Ipv4Addr, OwnerQueryBody)>,
) -> bool {
    if queries.len() == 0 {
        return true;
    }
    let mut pending = node.owner_queries.begin(queries.len());
    for (owner, body) in queries {
        node.peers.borrow_mut().record_query(node.now(), owner);
        let query = OwnerQuery {
            entry: node.place.vm.clone(),
            id: pending.id,
            body,
        };
        let message = EntryMessage::Query(query);
        node.datagrams.send_all([owner], &message).await;
    }
    let replied = tokio::time::timeout(REPLY_TIMEOUT, &mut pending.all_replied).await;
    node.metrics.record_owner_query(replied.is_ok());
    replied.is_ok()
}

/// Replies to a query of another entry.
pub async fn reply(node: &Node, to: Ipv4Addr, query: OwnerQuery) {
    let reply = OwnerReply {
        entry: node.place.vm.clone(),
        id: query.id,
        body: reply_body(node, query),
    };
    let message = EntryMessage::Reply(reply);
    node.datagrams.send_all([to], &message).await;
}

fn reply_body(node: &Node, query: OwnerQuery) -> OwnerReplyBody {
    let now = node.now();
    match query.body {
        OwnerQueryBody::Loads(incarnations) => {
            let pool = node.pool.borrow();
            OwnerReplyBody::Loads(pool.loads_for(now, &query.entry, &incarnations))
        }
        OwnerQueryBody::Retry(service) => {
            let granted = node.retry_budget.borrow_mut().grant(now, &service);
            log::info!(
                event = "repeat_asked", by = &*query.entry, service = &*service, lent = granted;
                ""
            );
            OwnerReplyBody::Retry { service, granted }
        }
        OwnerQueryBody::Refused(content) => {
            let refusal = node.returning_callers.borrow().refusal(now, content);
            OwnerReplyBody::Refused {
                content,
                age: refusal.as_ref().map(|r| r.age),
                waited: refusal.as_ref().map(|r| r.waited).unwrap_or_default(),
                expected_in: refusal.map(|r| r.expected_in).unwrap_or_default(),
            }
        }
        OwnerQueryBody::Stream(stream) => {
            OwnerReplyBody::Stream(node.stream_origins.borrow().start(now, stream))
        }
    }
}

/// Applies an owner's reply.
pub fn apply_reply(node: &Node, reply: OwnerReply) {
    let now = node.now();
    match reply.body {
        OwnerReplyBody::Loads(loads) => {
            let mut pool = node.pool.borrow_mut();
            pool.apply_reply(now, &reply.entry, &loads);
        }
        OwnerReplyBody::Retry { service, granted } => {
            if granted {
                node.retry_budget.borrow_mut().record_grant(now, &service);
            }
        }
        OwnerReplyBody::Refused {
            content,
            age,
            waited,
            expected_in,
        } => {
            if let Some(age) = age {
                let refusal = Refusal {
                    content,
                    age,
                    waited,
                    expected_in,
                };
                let mut returns = node.returning_callers.borrow_mut();
                returns.apply_refusal(now, &refusal);
            }
        }
        OwnerReplyBody::Stream(start) => stream_origins::apply(node, now, start),
    }
    node.owner_queries.record_reply(reply.id);
}

/// Applies another entry's report to this one as an owner.
pub fn apply_report(node: &Node, report: &OwnerReport) {
    let now = node.now();
    let mut pool = node.pool.borrow_mut();
    pool.apply_placed(now, &report.entry, &report.placed, !report.is_whole);
    for incarnation in &report.unreachable {
        pool.record_unreachable(now, &report.entry, incarnation);
    }
    drop(pool);
    for refusal in &report.refused {
        node.returning_callers
            .borrow_mut()
            .apply_refusal(now, refusal);
    }
    stream_origins::apply(node, now, report.streams.iter().cloned());
}
