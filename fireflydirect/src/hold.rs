//! Holds a generation until an engine has memory for it, or until that is known to be too late.
//!
//! A held request has not been sent to anyone: when its guard is dropped, nothing is left of it.

use crate::job::Job;
use crate::node::{Node, Stage};
use crate::{returning_callers, serve, suspects};
use fireflycroft::{
    AdmissionDecision, ArrivalKind, Code, Mechanism, MemoryUsage, Name, Need, Refusal,
    ServiceDemand, Shortage, Time, WaitClaim, WaitId, leaves_time_to_wait, must_begin_by,
};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Mean interval between two looks for memory: a service with dozens of engines ends several runs in it.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time between two looks while the service has no memory as far as is known.
const MAX_LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two looks, so that runs that end together cause one look.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// Multiple of the time left that a forecast must exceed for a held generation to be refused: forecasts
/// vary with each run that ends.
const FORECAST_TOLERANCE: f64 = 1.5;

/// Divisor of a caller's time left that gives the longest retry delay.
const RETRY_DIVISOR: u32 = 3;

/// How a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldEnd {
    Admitted,
    Refused,
    CallerLeft,
    Stopped,
}

impl HoldEnd {
    const fn label(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Refused => "refused",
            Self::CallerLeft => "left",
            Self::Stopped => "stopped",
        }
    }
}

/// A held request; leaves the queue when dropped.
pub struct HeldGuard {
    node: Rc<Node>,
    id: WaitId,
    request_id: Name,
    since: Time,
    end: HoldEnd,
}

impl HeldGuard {
    /// Returns the share of the allowed wait that has passed.
    #[must_use]
    pub fn waited_share(&self) -> f64 {
        let queue = self.node.wait_queue.borrow();
        let claim = queue.claim(self.id);
        claim.map_or(0.0, |c| c.waited_share(self.node.now()))
    }

    /// Ends the hold since capacity was found.
    pub fn admit(mut self) {
        self.end = HoldEnd::Admitted;
    }

    /// Ends the hold since no upstream is left.
    pub fn refuse(mut self) {
        self.end = HoldEnd::Refused;
    }

    fn time_left(&self) -> Duration {
        let queue = self.node.wait_queue.borrow();
        let claim = queue.claim(self.id);
        claim.map_or(Duration::ZERO, |c| c.begin_by.since(self.node.now()))
    }

    fn is_next(&self) -> bool {
        let queue = self.node.wait_queue.borrow();
        queue.is_next(self.node.now(), self.id)
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.node.wait_queue.borrow_mut().leave(self.id);
        let waited = self.node.now().since(self.since);
        self.node.metrics.record_hold(self.end.label(), waited);
        log::info!(
            event = "hold_ended", req = &*self.request_id, end = self.end.label(),
            waited_ms = waited.as_millis();
            ""
        );
        self.node.capacity_released.notify_waiters();
    }
}

/// Returns whether the objective of a generation's route leaves the time to hold it.
#[must_use]
pub fn is_called_for(job: &Job) -> bool {
    job.node.policy.uses(Mechanism::Waiting) && leaves_time_to_wait(job.route.objective)
}

/// Returns whether a generation can be held: its route calls for it, the process serves, and a run of
/// the service has ended, without which there is no forecast.
#[must_use]
pub fn can_hold(job: &Job) -> bool {
    let node = &job.node;
    let is_forecast = node.hold_times.borrow().mean(&job.service).is_some();
    is_called_for(job) && is_forecast && node.stage() == Stage::Serving
}

/// Returns the tokens of waiting generations that go before one that has just arrived: those held here
/// and at other entries, and those of callers expected back about now.
#[must_use]
pub fn waiting_before_newcomer(job: &Job) -> u64 {
    if !job.node.policy.uses(Mechanism::Waiting) {
        return 0;
    }
    let now = job.now();
    let demand = job.node.waiting_demand.borrow();
    let others = job.node.entries() - 1;
    let elsewhere =
        demand.of_others(now, &job.service, others) + demand.expected(now, &job.service);
    elsewhere + job.node.wait_queue.borrow().tokens(&job.service)
}

/// Returns the demand of this entry's waiting and expected callers, to announce to the others.
#[must_use]
pub fn demands(node: &Node) -> Vec<ServiceDemand> {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let (queue, demand) = (node.wait_queue.borrow(), node.waiting_demand.borrow());
    let services = catalog.iter().flat_map(|c| c.services());
    let of_service = services
        .filter(|s| s.engine.is_some())
        .map(|s| ServiceDemand {
            service: s.name.clone(),
            tokens: queue.tokens(&s.name) + demand.expected(now, &s.name),
        });
    of_service.filter(|d| d.tokens > 0).collect()
}

/// Returns the forecast for a generation that was refused by `decision`, held or not; none before the
/// first run of the service has ended.
#[must_use]
pub fn forecast(
    job: &Job,
    held: Option<&HeldGuard>,
    need: &Need,
    decision: &AdmissionDecision,
) -> Option<Duration> {
    let now = job.now();
    let waiting_ahead = match held {
        Some(held) => job.node.wait_queue.borrow().tokens_ahead(now, held.id),
        None => waiting_before_newcomer(job),
    };
    let shortage = Shortage {
        memory: job.node.pool.borrow().service_memory(now, &job.service),
        waiting_ahead,
        needed: need.tokens,
        limit: decision.last_limit,
    };
    let mean_hold = job.node.hold_times.borrow().mean(&job.service)?;
    Some(shortage.ends_in(mean_hold))
}

/// Records a refusal, and that the caller is expected back.
pub fn record_refusal(job: &Job, need: &Need, retry_after: Duration) {
    let now = job.now();
    // Elsewhere refusals follow within milliseconds, and a wait counts from the refusal.
    let waited = if is_called_for(job) {
        now.since(returning_callers::first_arrival(job))
    } else {
        Duration::ZERO
    };
    let refusal = Refusal {
        content: job.content,
        age: Duration::ZERO,
        waited,
        expected_in: retry_after,
    };
    job.node.record_refusal(refusal);
    if is_called_for(job) {
        let demand = ServiceDemand {
            service: job.service.clone(),
            tokens: need.tokens,
        };
        let mut waiting = job.node.waiting_demand.borrow_mut();
        waiting.expect_return(now, now + retry_after, demand);
    }
}

/// Waits until the generation may look for memory again.
///
/// # Errors
///
/// Returns the code of the refusal of a generation that isn't held, or no longer.
pub async fn wait(
    job: &Job,
    held: &mut Option<HeldGuard>,
    need: &Need,
    decision: &AdmissionDecision,
) -> Result<(), Code> {
    let Some(forecast) = forecast(job, held.as_ref(), need, decision) else {
        return Err(Code::Overloaded);
    };
    if held.is_none() {
        *held = begin(job, need, decision, forecast);
    }
    let Some(guard) = held.as_mut() else {
        return Err(Code::Overloaded);
    };
    let left = guard.time_left();
    if left.is_zero() || forecast > left.mul_f64(FORECAST_TOLERANCE) {
        guard.end = HoldEnd::Refused;
        return Err(Code::Overloaded);
    }
    if !until_next_look(job, guard, decision).await {
        guard.end = HoldEnd::Stopped;
        return Err(Code::Leaving);
    }
    if serve::is_still_allowed(job) {
        return Ok(());
    }
    guard.end = HoldEnd::Refused;
    Err(Code::Overloaded)
}

/// Begins to hold a generation if its route leaves the time and the forecast says that it suffices.
fn begin(
    job: &Job,
    need: &Need,
    decision: &AdmissionDecision,
    forecast: Duration,
) -> Option<HeldGuard> {
    let now = job.now();
    if !can_hold(job) {
        return None;
    }
    let first_arrival = returning_callers::first_arrival(job);
    let first_event = job.node.hold_times.borrow().first_event(&job.service);
    let objective = job.route.objective;
    let begin_by = must_begin_by(now, first_arrival, objective, first_event, job.deadline);
    if now + forecast > begin_by {
        return None;
    }
    let claim = WaitClaim {
        service: job.service.clone(),
        workspace: job.workspace.clone(),
        tokens: need.tokens,
        body_bytes: job.body.len(),
        value_density: job.value_density,
        is_last_chance: decision.arrival != ArrivalKind::First,
        since: now,
        begin_by,
    };
    let id = job.node.wait_queue.borrow_mut().enter(claim)?;
    log::info!(
        event = "held", req = &*job.request_id, route = &*job.route.name,
        coming = format!("{:?}", decision.arrival), expected = job.expected_tokens(),
        memory = format!("{:.2}", decision.usage.engine),
        service_memory = format!("{:.2}", decision.usage.service),
        limit = format!("{:.2}", decision.limit), forecast_ms = forecast.as_millis(),
        allowed_ms = begin_by.since(now).as_millis();
        ""
    );
    Some(HeldGuard {
        node: job.node.clone(),
        id,
        request_id: job.request_id.clone(),
        since: now,
        end: HoldEnd::CallerLeft,
    })
}

/// Waits until the generation is the next to look for memory and there may be some; returns false if the
/// process stops.
async fn until_next_look(job: &Job, held: &HeldGuard, last: &AdmissionDecision) -> bool {
    let node = &held.node;
    let mut stage = node.subscribe_stage();
    let look_at = node.now() + MAX_LOOK_INTERVAL;
    loop {
        tokio::time::sleep(MIN_LOOK_INTERVAL).await;
        let interval = LOOK_INTERVAL.mul_f64(rand::rng().random_range(0.5..=1.5));
        let rest = interval.saturating_sub(MIN_LOOK_INTERVAL);
        tokio::select! {
            // Can't fail, since the node owns the sender.
            _ = stage.wait_for(|s| *s != Stage::Serving) => return false,
            () = node.capacity_released.notified() => {}
            () = tokio::time::sleep(rest.min(held.time_left())) => {}
        }
        if suspects::verdict_on(job).is_some() {
            return true;
        }
        let is_due = node.now() >= look_at || may_have_memory(job, last);
        if held.time_left().is_zero() || (is_due && held.is_next()) {
            return true;
        }
    }
}

/// Returns whether the service as a whole may have memory, as far as is known without queries.
///
/// Each look spends from the budget of queries, with which all choices of this entry compare engines.
fn may_have_memory(job: &Job, last: &AdmissionDecision) -> bool {
    let memory = job
        .node
        .pool
        .borrow()
        .service_memory(job.now(), &job.service);
    let usage = MemoryUsage {
        service: memory.reserved_share(),
        ..last.usage
    };
    AdmissionDecision { usage, ..*last }.is_service_within()
}

/// Returns the retry delay of a refused generation: when memory is expected, spread so that callers
/// who were refused together don't return together, and at most what callers wait for.
#[must_use]
pub fn retry_after(job: &Job, forecast: Duration, least: Duration) -> Duration {
    let spread = forecast.mul_f64(rand::rng().random_range(1.0..=1.25));
    spread
        .max(least)
        .min(job.time_left() / RETRY_DIVISOR)
        .max(least)
}
