//! Obtains a reply to a request, with attempts at one upstream after another as far as allowed.

use crate::assignment::AssignmentGuard;
use crate::capacity_check::{capacity_refusal, check_capacity, refuse_for_capacity};
use crate::choice_log;
use crate::crash::{self, Progress};
use crate::exchange::{BodyError, ResponseStart, SendError, SendOptions, read_body, send};
use crate::hold::{self, HeldGuard};
use crate::incarnations::confirmed_version;
use crate::job::Job;
use crate::log_value::or_empty;
use crate::run_end::{self, BrokenRun};
use crate::runs::Run;
use crate::suspects;
use crate::{retries, standby_copies, stopping};
use bytes::Bytes;
use fireflycroft::{
    AttemptOutcome, Attempts, Code, CrashVerdict, MIN_BACKUP_TOKENS, Mechanism, Need, NextStep,
    RunClaim, UpstreamIx, VersionKey, pick_backup_holder,
};
use hyper::http::response::Parts;
use rand::RngExt;
use std::cell::RefCell;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay given while upstreams are full: about the time in which some of them complete one or
/// two requests.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry delay given while no upstream is known: about the interval between reads of the list.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Bounds of the retry delay given while upstreams are rate-limited for this entry; they may accept
/// requests of other entries.
const RATE_LIMITED_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(200)..=Duration::from_secs(1);

/// Time for which an unreachable upstream is avoided.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(1_500);

/// Time for which an upstream that rejected a request is avoided.
const AVOID_FULL: Duration = Duration::from_millis(250);

/// Time for which an address with a wrong instance is avoided, until the list is corrected.
const AVOID_WRONG_INSTANCE: Duration = Duration::from_secs(5);

/// Silence timeout of a retryable plain call, as a multiple of its latency objective.
const SILENCE_TIMEOUT_OBJECTIVES: u32 = 3;

/// A stream whose response head has arrived.
pub struct StartedStream {
    /// Response head and body of the upstream.
    pub response: ResponseStart,
    /// Assignment to the upstream.
    pub assignment: AssignmentGuard,
    /// Assignment of the memory backup to another upstream.
    pub backup: Option<AssignmentGuard>,
    /// Software version of the upstream, if it is known.
    pub version: Option<VersionKey>,
}

/// Reply to a request.
pub enum Reply {
    /// A complete response of an upstream.
    Whole(Parts, Bytes),
    /// A stream whose response head has arrived.
    Stream(Box<StartedStream>),
    /// The entry's own error code and retry delay.
    Error(Code, Option<Duration>),
}

/// Result of one attempt at an upstream.
struct AttemptResult {
    outcome: AttemptOutcome,
    why: String,
    reply: Option<Reply>,
}

impl AttemptResult {
    fn failed(outcome: AttemptOutcome, why: impl Into<String>) -> Self {
        Self {
            outcome,
            why: why.into(),
            reply: None,
        }
    }
}

/// Obtains a reply before the job's deadline.
pub async fn obtain(job: &Rc<Job>) -> Reply {
    let attempts = RefCell::new(Attempts::new(job.route.kind, job.route.max_attempts));
    let limit = job.node.clock.instant(job.deadline);
    let trying = tokio::time::timeout_at(limit, try_upstreams(job, &attempts));
    let tried = tokio::select! {
        biased;
        tried = trying => tried,
        () = stopping::until_last_answers(&job.node) => Ok(stopping::reply(&attempts.borrow())),
    };
    match tried {
        Ok(reply) => reply,
        Err(_) if attempts.borrow().may_have_run() => Reply::Error(Code::DeadlineExceeded, None),
        Err(_) => Reply::Error(Code::Overloaded, Some(FULL_RETRY_AFTER)),
    }
}

async fn try_upstreams(job: &Rc<Job>, attempts: &RefCell<Attempts>) -> Reply {
    let need = job.need();
    let mut tried = Vec::new();
    let mut failure = None;
    let mut held: Option<HeldGuard> = None;
    loop {
        if let Some(verdict) = suspects::verdict_on(job) {
            if let Some(held) = held.take() {
                held.refuse();
            }
            return failure.unwrap_or_else(|| refuse_for_crashes(job, attempts, &verdict));
        }
        let Some(ix) = job.pick(&need, &tried).await else {
            if let Some(held) = held.take() {
                held.refuse();
            }
            return failure.unwrap_or_else(|| reply_without_upstream(job, &need, attempts));
        };
        let ix = match check_capacity(job, ix, &need, &tried, held.as_ref()).await {
            Ok(ix) => ix,
            Err(decision) => {
                let may_hold = failure.is_none() && !attempts.borrow().may_have_run();
                let waited = if may_hold {
                    hold::wait(job, &mut held, &need, &decision).await
                } else {
                    Err(Code::Overloaded)
                };
                let Err(code) = waited else { continue };
                return failure.unwrap_or_else(|| {
                    let refusal = capacity_refusal(job, held.as_ref(), &need, decision, code);
                    refuse_for_capacity(job, ix, attempts, &refusal)
                });
            }
        };
        // It may have been refused during the wait.
        if suspects::verdict_on(job).is_some() {
            continue;
        }
        if !stopping::leaves_time_for(job) {
            if let Some(held) = held.take() {
                held.refuse();
            }
            return failure.unwrap_or_else(|| stopping::reply(&attempts.borrow()));
        }
        if let Some(held) = held.take() {
            held.admit();
        }
        let result = attempt(job, ix, need, attempts).await;
        record_attempt(job, ix, &result);
        let retries = attempts.borrow().may_retry(result.outcome);
        let may_run =
            result.outcome == AttemptOutcome::Lost && !is_over_after_loss(job, ix, retries).await;
        tried.push(ix);
        if crash::has_crashed_too_many(job) {
            return failure.unwrap_or(Reply::Error(Code::OutcomeUnknown, None));
        }
        if may_run {
            return failure.unwrap_or(Reply::Error(Code::OutcomeUnknown, None));
        }
        if retries {
            retries::request_grant(job).await;
        }
        let next = attempts
            .borrow_mut()
            .next_step(result.outcome, || job.take_retry());
        match (next, result.reply) {
            (NextStep::Retry, reply) => failure = reply.or(failure),
            (NextStep::Relay, Some(reply)) => return reply,
            (NextStep::RefuseNotRun, _) => {
                return Reply::Error(Code::Overloaded, Some(FULL_RETRY_AFTER));
            }
            (NextStep::ReportUnknown | NextStep::Relay, _) => {
                return failure.unwrap_or(Reply::Error(Code::OutcomeUnknown, None));
            }
        }
    }
}

/// Checks a lost request's upstream for a crash; a generation that is to be sent elsewhere waits until nothing runs it
/// there. Returns false if something may.
async fn is_over_after_loss(job: &Rc<Job>, ix: UpstreamIx, retries: bool) -> bool {
    let contact = crash::check_for_crash(job, ix, Progress::default()).await;
    if job.engine.is_none() || !retries {
        return true;
    }
    let version = job.node.pool.borrow().version(ix);
    let run = Run::new(job, ix, None, version);
    let broken = BrokenRun {
        at: ix,
        contact,
        sent_by: job.now(),
        progress: Progress::default(),
    };
    let patience_end = job.arrival + job.route.abandoned_pause();
    let is_over = run_end::until_over(job, &run, broken, patience_end).await;
    // The request begins anew, without the memory of a run that was stopped.
    let unused = run.migration_copy.take();
    job.node.unused_copies.borrow_mut().extend(unused);
    is_over
}

/// Returns the retry delay where a rate-limited upstream accepts a request after `wait`, spread at
/// random so that callers who were refused together don't return together.
fn rate_limited_retry_after(wait: Duration) -> Duration {
    let latest = wait.clamp(
        *RATE_LIMITED_RETRY_AFTER.start(),
        *RATE_LIMITED_RETRY_AFTER.end(),
    );
    latest.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Refuses a request that may crash upstreams before it is sent, or sent once more.
fn refuse_for_crashes(job: &Job, attempts: &RefCell<Attempts>, verdict: &CrashVerdict) -> Reply {
    suspects::log_refusal(&job.request_id, verdict);
    if attempts.borrow().may_have_run() {
        Reply::Error(Code::OutcomeUnknown, None)
    } else {
        let retry_after = suspects::retry_after(verdict);
        Reply::Error(suspects::code(verdict), Some(retry_after))
    }
}

fn reply_without_upstream(job: &Job, need: &Need, attempts: &RefCell<Attempts>) -> Reply {
    let free_in = job.time_until_available(need);
    log::warn!(
        event = "no_upstream", req = &*job.request_id, service = &*job.service,
        free_in_ms = or_empty(free_in.map(|wait| wait.as_millis()));
        ""
    );
    if attempts.borrow().may_have_run() {
        return Reply::Error(Code::OutcomeUnknown, None);
    }
    match free_in {
        Some(wait) => Reply::Error(Code::Overloaded, Some(rate_limited_retry_after(wait))),
        None => Reply::Error(Code::NoUpstream, Some(NO_UPSTREAM_RETRY_AFTER)),
    }
}

async fn attempt(
    job: &Job,
    ix: UpstreamIx,
    need: Need,
    attempts: &RefCell<Attempts>,
) -> AttemptResult {
    choice_log::record(job, ix);
    let assignment = job.node.assign(ix, need);
    let backup = assign_backup(job, ix, need);
    let backup_holder = backup
        .as_ref()
        .map(|b| job.node.pool.borrow().record(b.ix).addr);
    let options = SendOptions {
        backup: backup_holder,
        memory: None,
        last_event_id: job.head.last_event_id,
        is_sound: false,
    };
    let sending = send(job, ix, &options, || attempts.borrow_mut().record_sent());
    let sent = match silence_timeout(job) {
        Some(limit) => match tokio::time::timeout(limit, sending).await {
            Ok(sent) => sent,
            Err(_) => Err(SendError::Lost("no answer in time".to_owned())),
        },
        None => sending.await,
    };
    match sent {
        Ok(response) => interpret_head(job, ix, response, assignment, backup).await,
        Err(SendError::NeverSent(why)) => AttemptResult::failed(AttemptOutcome::NeverSent, why),
        Err(SendError::Withheld(why)) => AttemptResult::failed(AttemptOutcome::Withheld, why),
        Err(SendError::Lost(why)) => AttemptResult::failed(AttemptOutcome::Lost, why),
    }
}

/// Returns the timeout for a response head if another upstream may be tried instead.
fn silence_timeout(job: &Job) -> Option<Duration> {
    let plain = job.engine.is_none() && job.route.kind.is_retryable();
    plain.then(|| job.route.objective * SILENCE_TIMEOUT_OBJECTIVES)
}

/// Assigns the memory backup of a long stream to an upstream of the same software version, if memory is
/// plentiful.
pub fn assign_backup(job: &Job, at: UpstreamIx, need: Need) -> Option<AssignmentGuard> {
    let can_back_up_stream =
        job.engine.is_some_and(|e| e.can_back_up) && job.route.kind.is_stream();
    let is_enabled = can_back_up_stream && job.node.policy.uses(Mechanism::Backups);
    if !is_enabled || job.expected_tokens() < MIN_BACKUP_TOKENS {
        return None;
    }
    let version = job.node.pool.borrow().version(at)?;
    let copy = Need {
        is_copy: true,
        unread: 0,
        copied_from: Some(at),
        version: Some(version),
        ..need
    };
    let risk = standby_copies::risk_at_start(job, at, &need);
    let pool = job.node.pool.borrow();
    let backup_holder = pick_backup_holder(&pool, job.now(), &job.service, &copy, at, risk)?;
    drop(pool);
    Some(job.node.assign(backup_holder, copy))
}

/// Derives the attempt's result from the response head, reading the body unless it is a stream.
async fn interpret_head(
    job: &Job,
    ix: UpstreamIx,
    mut response: ResponseStart,
    assignment: AssignmentGuard,
    backup: Option<AssignmentGuard>,
) -> AttemptResult {
    let status = response.parts.status;
    let head = response.head;
    match head.claim {
        RunClaim::MayHaveRun => {}
        RunClaim::NotRun => {
            return AttemptResult::failed(
                AttemptOutcome::NotRun,
                format!("rejected with {status}"),
            );
        }
        RunClaim::WrongInstance => {
            return AttemptResult::failed(
                AttemptOutcome::WrongInstance,
                "the address belongs to another instance",
            );
        }
    }
    if status.is_success() && !head.sealed {
        return AttemptResult::failed(AttemptOutcome::Lost, "response without a seal");
    }
    if status.is_success() && job.route.kind.is_stream() {
        let version = confirmed_version(&job.node, ix, &mut response.link).await;
        if job.origin.is_some() && version.is_none() {
            return AttemptResult::failed(AttemptOutcome::Lost, "its version is uncertain");
        }
        let stream = StartedStream {
            response,
            assignment,
            backup,
            version,
        };
        return AttemptResult {
            outcome: AttemptOutcome::Answered,
            why: String::new(),
            reply: Some(Reply::Stream(Box::new(stream))),
        };
    }
    match read_body(job, ix, response).await {
        Ok((head, bytes)) => {
            if status.is_success() {
                suspects::record_complete(job);
            }
            AttemptResult {
                outcome: if status.is_server_error() {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered
                },
                why: status.to_string(),
                reply: Some(Reply::Whole(head, bytes)),
            }
        }
        // Another attempt would find no more memory for its answer.
        Err(BodyError::NoMemory) => AttemptResult {
            outcome: AttemptOutcome::Answered,
            why: "no memory for the answer".to_owned(),
            reply: Some(Reply::Error(Code::AnswerTooLarge, None)),
        },
        Err(BodyError::Broken(why)) => AttemptResult::failed(AttemptOutcome::Lost, why),
    }
}

/// Records an attempt's outcome in pool and metrics, and logs a failure.
fn record_attempt(job: &Job, ix: UpstreamIx, result: &AttemptResult) {
    let now = job.now();
    let outcome = format!("{:?}", result.outcome);
    if result.outcome == AttemptOutcome::NeverSent {
        job.node.record_unreachable(ix);
    }
    job.node
        .metrics
        .attempts
        .with_label_values(&[&outcome])
        .inc();
    let mut pool = job.node.pool.borrow_mut();
    if result.outcome != AttemptOutcome::Withheld {
        pool.record_outcome(ix, result.outcome != AttemptOutcome::Answered);
    }
    match result.outcome {
        AttemptOutcome::NeverSent | AttemptOutcome::Lost => pool.avoid(now, ix, AVOID_UNREACHABLE),
        AttemptOutcome::NotRun => pool.avoid(now, ix, AVOID_FULL),
        AttemptOutcome::WrongInstance => pool.avoid(now, ix, AVOID_WRONG_INSTANCE),
        AttemptOutcome::Withheld | AttemptOutcome::Failed | AttemptOutcome::Answered => {}
    }
    if result.outcome != AttemptOutcome::Answered {
        log::warn!(
            event = "try_failed", req = &*job.request_id, route = &*job.route.name,
            instance = &*pool.record(ix).instance, outcome = outcome,
            why = &*result.why, age_ms = job.age().as_millis();
            ""
        );
    }
}
