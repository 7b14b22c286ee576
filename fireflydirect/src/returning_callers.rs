//! Detection of callers who were refused before, by this entry or another one.

use crate::hold;
use crate::job::Job;
use crate::owner_queries;
use fireflycroft::{ArrivalKind, Mechanism, OwnedKey, OwnerQueryBody, Time};
use std::time::Duration;

/// Returns whether the caller is a new or returning one, as far as is known here.
#[must_use]
pub fn arrival_kind(job: &Job) -> ArrivalKind {
    // It was admitted once, and a refusal would waste what it has received.
    if job.origin.is_some() {
        return ArrivalKind::AgainInTime;
    }
    let held = if hold::is_called_for(job) {
        job.age()
    } else {
        Duration::ZERO
    };
    ArrivalKind::after(waited(job).map(|w| w + held), job.route.objective)
}

/// Returns the arrival of the caller's first attempt, as far as is known here.
#[must_use]
pub fn first_arrival(job: &Job) -> Time {
    job.arrival - waited(job).unwrap_or_default()
}

/// Returns the time between the caller's first attempt and this one, if it was refused before.
fn waited(job: &Job) -> Option<Duration> {
    let returning = job.node.returning_callers.borrow();
    let waited = returning.waited(job.arrival, job.content);
    waited.filter(|_| is_enabled(job))
}

/// Queries the owners of the request for an earlier refusal of its caller; returns true if there
/// was one.
pub async fn query_owners(job: &Job) -> bool {
    if !is_enabled(job) || arrival_kind(job) != ArrivalKind::First {
        return false;
    }
    let key = OwnedKey::of_content(job.content);
    let owners: Vec<_> = job
        .node
        .peers
        .borrow()
        .other_owners(job.now(), key)
        .collect();
    let queries = owners
        .into_iter()
        .map(|o| (o, OwnerQueryBody::Refused(job.content)));
    owner_queries::query_owners(&job.node, queries).await;
    arrival_kind(job) != ArrivalKind::First
}

fn is_enabled(job: &Job) -> bool {
    job.node.policy.uses(Mechanism::ReturningCallers)
}
