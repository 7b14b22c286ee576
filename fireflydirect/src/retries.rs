//! Requesting retries from the owners of a service when this entry's part of the budget is
//! exhausted.

use crate::job::Job;
use crate::owner_queries;
use fireflycroft::{OwnedKey, OwnerQueryBody};

/// Takes one retry from the shared budget, after requesting a grant if needed.
pub async fn take(job: &Job) -> bool {
    request_grant(job).await;
    job.take_retry()
}

/// Requests a grant of one retry if this entry's part is exhausted; owners are queried one after
/// the other, since each of them may grant one.
pub async fn request_grant(job: &Job) {
    if has_retry(job) {
        return;
    }
    let node = &job.node;
    let key = OwnedKey::of_retries(&job.service);
    let owners: Vec<_> = node.peers.borrow().owners(node.now(), key).collect();
    for owner in owners {
        if owner == node.place.ip {
            let mut budget = node.retry_budget.borrow_mut();
            if budget.grant(job.now(), &job.service) {
                budget.record_grant(job.now(), &job.service);
                return;
            }
            continue;
        }
        let body = OwnerQueryBody::Retry(job.service.clone());
        // An owner's reply is final, also if it refuses.
        if owner_queries::query_owners(node, [(owner, body)].into_iter()).await {
            return;
        }
    }
}

fn has_retry(job: &Job) -> bool {
    let entries = job.node.entries();
    let mut budget = job.node.retry_budget.borrow_mut();
    budget.remaining(job.now(), &job.service, entries) >= 1.0
}
