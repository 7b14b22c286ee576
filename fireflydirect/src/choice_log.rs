//! Log line of the choice of an upstream.

use crate::job::Job;
use crate::log_value::{list, or_empty};
use fireflycroft::{Suspect, UpstreamIx};

/// Logs the chosen upstream and the state that the choice was based on.
pub fn record(job: &Job, ix: UpstreamIx) {
    let pool = job.node.pool.borrow();
    let view = pool.view(job.now(), ix);
    let of_service = pool.service_memory_share(job.now(), &job.service);
    log::info!(
        event = "sent", req = &*job.request_id, route = &*job.route.name,
        instance = &*pool.record(ix).instance, running = view.placed.running,
        memory = format!("{:.2}", view.memory), unread = view.placed.unread,
        failing = format!("{:.2}", view.failing), told_age_ms = view.age.as_millis(),
        service_memory = format!("{of_service:.2}"), rate_limit = or_empty(pool.rate_limit(ix)),
        speed = format!("{:.2}", view.speed), risk = format!("{:.3}", view.risk),
        software_version = or_empty(pool.record(ix).software_version.as_ref()),
        after = or_empty(job.head.last_event_id), resumes = or_empty(job.head.resumes.as_ref()),
        parts = list(&job.head.shared_parts), content = Suspect::of_content(job.content).to_string(),
        age_ms = job.age().as_millis();
        ""
    );
}
