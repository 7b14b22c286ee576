//! Checks that upstreams have capacity for a generation before it is sent.

use crate::call::Reply;
use crate::hold::{self, HeldGuard};
use crate::job::Job;
use crate::log_value::or_empty;
use crate::returning_callers;
use fireflycroft::{
    AdmissionDecision, AdmissionRequest, ArrivalKind, Attempts, Code, Mechanism, MemoryUsage, Need,
    SHORT_TOKENS, UpstreamIx, capacity_expected_after, decide_admission, decide_held_admission,
};
use std::cell::RefCell;
use std::time::Duration;

/// Refusal of a generation for which the engines lack capacity.
pub(crate) struct CapacityRefusal {
    decision: AdmissionDecision,
    code: Code,
    forecast: Option<Duration>,
    retry_after: Duration,
}

/// Returns the upstream that has capacity for a generation: the best one, or else some other one.
///
/// A returning caller is admitted sooner than a new one, and one that has been held sooner than one
/// that has not. Owners are queried about earlier refusals only if a new caller would be refused.
pub(crate) async fn check_capacity(
    job: &Job,
    ix: UpstreamIx,
    need: &Need,
    tried: &[UpstreamIx],
    held: Option<&HeldGuard>,
) -> Result<UpstreamIx, AdmissionDecision> {
    if job.engine.is_none() || !job.node.policy.uses(Mechanism::AdmissionLimits) {
        return Ok(ix);
    }
    let mut decision = decide(job, ix, need, held);
    let is_new = !decision.is_admitted() && held.is_none();
    if is_new && returning_callers::query_owners(job).await {
        decision = decide(job, ix, need, held);
    }
    if decision.is_admitted() {
        return Ok(ix);
    }
    another_with_capacity(job, need, tried, &decision).ok_or(decision)
}

/// Records a refusal, and derives the retry delay from the forecast where callers can wait for it.
pub(crate) fn capacity_refusal(
    job: &Job,
    held: Option<&HeldGuard>,
    need: &Need,
    decision: AdmissionDecision,
    code: Code,
) -> CapacityRefusal {
    let least = capacity_expected_after(decision.usage.service);
    let forecast = hold::forecast(job, held, need, &decision);
    let retry_after = match forecast {
        Some(forecast) if hold::is_called_for(job) => hold::retry_after(job, forecast, least),
        _ => least,
    };
    hold::record_refusal(job, need, retry_after);
    CapacityRefusal {
        decision,
        code,
        forecast,
        retry_after,
    }
}

/// Returns an upstream that has capacity for a generation that can be held where the best one lacks it.
///
/// Others are refused by the best one: more of them fill all engines, and all end later.
fn another_with_capacity(
    job: &Job,
    need: &Need,
    tried: &[UpstreamIx],
    best: &AdmissionDecision,
) -> Option<UpstreamIx> {
    if !hold::can_hold(job) || !best.is_service_within() {
        return None;
    }
    let pool = job.node.pool.borrow();
    pool.choose_within(job.now(), &job.service, need, tried, best.limit)
}

fn decide(job: &Job, ix: UpstreamIx, need: &Need, held: Option<&HeldGuard>) -> AdmissionDecision {
    let arrival = returning_callers::arrival_kind(job);
    let is_newcomer = arrival == ArrivalKind::First && held.is_none();
    let pool = job.node.pool.borrow();
    let now = job.now();
    let can_hold = hold::can_hold(job);
    let service = if can_hold {
        let mut memory = pool.service_memory(now, &job.service);
        if is_newcomer && job.expected_tokens() > SHORT_TOKENS {
            memory.reserved += hold::waiting_before_newcomer(job);
        }
        memory.reserved_share()
    } else {
        pool.service_run_memory_share(now, &job.service)
    };
    let usage = MemoryUsage {
        engine: pool.memory_share_with(now, ix, need),
        service,
    };
    let request = AdmissionRequest {
        expected_tokens: job.expected_tokens(),
        value_density: job.value_density,
        arrival,
        rank: job.rank,
    };
    if can_hold {
        let waited_share = held.map_or(0.0, HeldGuard::waited_share);
        return decide_held_admission(&request, usage, waited_share);
    }
    decide_admission(&request, usage)
}

/// Replies to a generation for which no upstream has capacity.
pub(crate) fn refuse_for_capacity(
    job: &Job,
    ix: UpstreamIx,
    attempts: &RefCell<Attempts>,
    refusal: &CapacityRefusal,
) -> Reply {
    let CapacityRefusal {
        decision,
        code,
        forecast,
        retry_after,
    } = refusal;
    let pool = job.node.pool.borrow();
    let view = pool.view(job.now(), ix);
    log::warn!(
        event = "no_room", req = &*job.request_id, route = &*job.route.name,
        instance = &*pool.record(ix).instance, expected = job.expected_tokens(),
        yields = format!("{:.2}", job.value_density), coming = format!("{:?}", decision.arrival),
        memory = format!("{:.2}", decision.usage.engine),
        service_memory = format!("{:.2}", decision.usage.service),
        limit = format!("{:.2}", decision.limit), told_age_ms = view.age.as_millis(),
        retry_after_ms = retry_after.as_millis(),
        forecast_ms = or_empty(forecast.map(|f| f.as_millis()));
        ""
    );
    if attempts.borrow().may_have_run() {
        Reply::Error(Code::OutcomeUnknown, None)
    } else {
        Reply::Error(*code, Some(*retry_after))
    }
}
