//! What a stopping process still passes on, and the last answers before its end.
//!
//! An answer at the end of the grace period that says that the outcome is unknown lets a caller act at once; a
//! connection that closes without one says no more, and may be taken for one whose request was never read.

use crate::call::Reply;
use crate::job::Job;
use crate::node::{Node, Stage};
use fireflycroft::{Attempts, Code, RequestKind, RouteSpec, STARTUP_RETRY_AFTER, Time};
use std::future::pending;
use std::time::Duration;

/// Returns the reply to a request that gets no other before the process ends.
#[must_use]
pub fn reply(attempts: &Attempts) -> Reply {
    if attempts.may_have_run() {
        Reply::Error(Code::OutcomeUnknown, None)
    } else {
        Reply::Error(Code::Leaving, Some(STARTUP_RETRY_AFTER))
    }
}

/// Records the time that a whole answer of success took since `sent_at`.
///
/// Failures and time on hold don't tell how long the next request takes.
pub fn record_run_time(job: &Job, sent_at: Time) {
    let took = job.now().since(sent_at);
    let mut run_times = job.node.run_times.borrow_mut();
    run_times.record(&job.route.name, took);
}

/// Returns whether a request that is sent now is expected to end before the process does.
///
/// A resumable stream that is cut goes on at another entry from where it is, so it is passed on in any case.
#[must_use]
pub fn leaves_time_for(job: &Job) -> bool {
    let Some(planned) = job.node.planned_stop.get() else {
        return true;
    };
    if is_resumable(&job.route) {
        return true;
    }
    let expected = expected_time(job);
    let leaves_time = planned.leaves_time_for(job.now(), expected);
    if !leaves_time {
        log::info!(
            event = "ends_too_late", req = &*job.request_id, route = &*job.route.name,
            expected_ms = expected.as_millis(),
            left_ms = planned.last_answers_at.since(job.now()).as_millis();
            ""
        );
    }
    leaves_time
}

/// Waits until a request whose body is arriving can't be answered before the process ends.
pub async fn until_too_late(node: &Node, route: &RouteSpec) {
    until_stop(node).await;
    let Some(planned) = node.planned_stop.get() else {
        return pending().await;
    };
    let expected = if is_resumable(route) {
        Duration::ZERO
    } else {
        usual_time(node, route)
    };
    let latest = planned.must_begin_by(expected);
    tokio::time::sleep_until(node.clock.instant(latest)).await;
}

/// Waits until requests without an answer get one, since the process ends.
pub async fn until_last_answers(node: &Node) {
    until_stop(node).await;
    let Some(planned) = node.planned_stop.get() else {
        return pending().await;
    };
    tokio::time::sleep_until(node.clock.instant(planned.last_answers_at)).await;
}

async fn until_stop(node: &Node) {
    let mut stage = node.subscribe_stage();
    // Can't fail, since the node owns the sender.
    let _ = stage.wait_for(|s| *s != Stage::Serving).await;
}

fn is_resumable(route: &RouteSpec) -> bool {
    route.kind == RequestKind::ResumableStream
}

/// Returns the time that requests of a route take; its objective, while none has ended.
fn usual_time(node: &Node, route: &RouteSpec) -> Duration {
    let known = node.run_times.borrow().expected(&route.name);
    known.unwrap_or(route.objective)
}

/// Returns the time that a request is expected to take at an upstream.
fn expected_time(job: &Job) -> Duration {
    let pool = job.node.pool.borrow();
    let generation = pool.generation_time(&job.service, job.expected_tokens());
    match generation.filter(|_| job.head.size.is_some()) {
        Some(time) => job.node.hold_times.borrow().first_event(&job.service) + time,
        None => usual_time(&job.node, &job.route),
    }
}
