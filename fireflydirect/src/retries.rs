//! Borrowing a repeat from the owners of a service when this entry's part is spent.

use crate::job::Job;
use crate::owner_queries;
use fireflycroft::{OwnedKey, OwnerQueryBody};

/// Takes one repeat from the shared budget, borrowing it if need be.
pub async fn take(job: &Job) -> bool {
    request_grant(job).await;
    job.take_repeat()
}

/// Borrows one repeat if this entry's part is spent; owners are asked one after another, since each
/// one lends.
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
        // An owner that replied has said all there is to say.
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
