//! Whether a caller was refused before, by this entry or another one.

use crate::job::Job;
use crate::questions;
use fireflycroft::{ArrivalKind, Mechanism, OwnedKey, OwnerQueryBody};

/// Whether the caller comes back, as far as is known here.
#[must_use]
pub fn coming(job: &Job) -> ArrivalKind {
    let waited = job.node.returns.borrow().waited(job.arrival, job.content);
    ArrivalKind::after(waited.filter(|_| is_on(job)), job.route.objective)
}

/// Asks the owners of the request whether its caller was refused; true if it was.
pub async fn learn(job: &Job) -> bool {
    if !is_on(job) || coming(job) != ArrivalKind::First {
        return false;
    }
    let key = OwnedKey::of_content(job.content);
    let owners: Vec<_> = job
        .node
        .peers
        .borrow()
        .other_owners(job.now(), key)
        .collect();
    let asks = owners
        .into_iter()
        .map(|o| (o, OwnerQueryBody::Refused(job.content)));
    questions::ask(&job.node, asks).await;
    coming(job) != ArrivalKind::First
}

fn is_on(job: &Job) -> bool {
    job.node.policy.uses(Mechanism::ReturningCallers)
}
