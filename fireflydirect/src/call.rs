//! Getting an answer to a request: one upstream after another, as far as allowed.

use crate::crash;
use crate::exchange::{Extras, Opened, Unanswered, read_whole, send};
use crate::figure::or_empty;
use crate::job::Job;
use crate::placed::PlacedGuard;
use crate::{repeats, returns};
use bytes::Bytes;
use fireflycroft::{
    AdmissionRequest, AttemptOutcome, Attempts, Code, MIN_BACKUP_TOKENS, Mechanism, MemoryUsage,
    Need, NextStep, RunClaim, UpstreamIx, capacity_expected_after, is_admitted, pick_backup_holder,
};
use hyper::http::response::Parts;
use rand::RngExt;
use std::cell::RefCell;
use std::ops::RangeInclusive;
use std::time::Duration;

/// When to come back after upstreams were too full: about the time in which some of them end a
/// request or two.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// When to come back while no upstream is known: about the time between two looks at the list.
const NONE_RETRY: Duration = Duration::from_millis(800);

/// Bounds on when to come back while upstreams want nothing more of this entry: they may take
/// requests of others.
const FREE_RETRY: RangeInclusive<Duration> = Duration::from_millis(200)..=Duration::from_secs(1);

/// Time for which an upstream that couldn't be reached is left out.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(1_500);

/// Time for which an upstream that turned a request away is left out.
const AVOID_FULL: Duration = Duration::from_millis(250);

/// Time for which an address that belongs to another instance is left out: until the list
/// tells.
const AVOID_MISTAKEN: Duration = Duration::from_secs(5);

/// Objectives after which a plain call that may run again is asked for elsewhere.
const SILENT_OBJECTIVES: u32 = 3;

/// A stream that has begun.
pub struct Begun {
    /// The upstream's head and body.
    pub opened: Opened,
    /// Its place on the upstream.
    pub placed: PlacedGuard,
    /// Place of the copy that another upstream keeps.
    pub backup: Option<PlacedGuard>,
}

/// What a request came to.
pub enum Reply {
    /// A whole answer of an upstream.
    Whole(Parts, Bytes),
    /// A stream that has begun.
    Stream(Box<Begun>),
    /// No answer of an upstream: a code, and when to come back.
    Own(Code, Option<Duration>),
}

/// One try at an upstream.
struct Tried {
    outcome: AttemptOutcome,
    why: String,
    reply: Option<Reply>,
}

impl Tried {
    fn failed(outcome: AttemptOutcome, why: impl Into<String>) -> Self {
        Self {
            outcome,
            why: why.into(),
            reply: None,
        }
    }
}

/// Gets an answer before the job's time is up.
pub async fn obtain(job: &Job) -> Reply {
    let tries = RefCell::new(Attempts::new(job.route.kind, job.route.max_attempts));
    let limit = job.node.clock.instant(job.give_up_at);
    match tokio::time::timeout_at(limit, try_all(job, &tries)).await {
        Ok(reply) => reply,
        Err(_) if tries.borrow().may_have_run() => Reply::Own(Code::DeadlineExceeded, None),
        Err(_) => Reply::Own(Code::Overloaded, Some(FULL_RETRY)),
    }
}

async fn try_all(job: &Job, tries: &RefCell<Attempts>) -> Reply {
    let need = job.need();
    let mut asked = Vec::new();
    let mut failure = None;
    loop {
        let Some(ix) = job.pick(&need, &asked).await else {
            return failure.unwrap_or_else(|| nobody(job, &need, tries));
        };
        if let Some(wait) = no_room(job, ix, &need).await {
            return failure.unwrap_or_else(|| refuse_for_room(job, ix, tries, wait));
        }
        let one = try_one(job, ix, need, tries).await;
        note(job, ix, &one);
        if one.outcome == AttemptOutcome::Lost {
            crash::suspect(job, ix);
        }
        asked.push(ix);
        if tries.borrow().may_retry(one.outcome) {
            repeats::prepare(job).await;
        }
        let next = tries
            .borrow_mut()
            .next_step(one.outcome, || job.take_repeat());
        match (next, one.reply) {
            (NextStep::Retry, reply) => failure = reply.or(failure),
            (NextStep::Relay, Some(reply)) => return reply,
            (NextStep::RefuseNotRun, _) => return Reply::Own(Code::Overloaded, Some(FULL_RETRY)),
            (NextStep::ReportUnknown | NextStep::Relay, _) => {
                return failure.unwrap_or(Reply::Own(Code::OutcomeUnknown, None));
            }
        }
    }
}

/// When to come back where an upstream takes a request of this entry after `wait`, spread so that
/// callers who were refused together don't return together.
fn free_back_after(wait: Duration) -> Duration {
    let latest = wait.clamp(*FREE_RETRY.start(), *FREE_RETRY.end());
    latest.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// When to come back with a generation for which the best engine has no room.
///
/// A caller who was refused before is let in sooner than one who comes first. That is asked only
/// when the first one would be refused.
async fn no_room(job: &Job, ix: UpstreamIx, need: &Need) -> Option<Duration> {
    job.engine?;
    if !job.node.policy.uses(Mechanism::AdmissionLimits) || has_room(job, ix, need) {
        return None;
    }
    if returns::learn(job).await && has_room(job, ix, need) {
        return None;
    }
    job.node.note_refused(job.content);
    let pool = job.node.pool.borrow();
    Some(capacity_expected_after(
        pool.service_run_memory_share(job.now(), &job.service),
    ))
}

fn has_room(job: &Job, ix: UpstreamIx, need: &Need) -> bool {
    let pool = job.node.pool.borrow();
    let now = job.now();
    let fill = MemoryUsage {
        engine: pool.memory_share_with(now, ix, need),
        service: pool.service_run_memory_share(now, &job.service),
    };
    let asking = AdmissionRequest {
        expected_tokens: job.expected_tokens(),
        value_density: job.yields,
        arrival: returns::coming(job),
        rank: job.rank,
    };
    is_admitted(&asking, &fill)
}

fn refuse_for_room(job: &Job, ix: UpstreamIx, tries: &RefCell<Attempts>, wait: Duration) -> Reply {
    let pool = job.node.pool.borrow();
    let view = pool.view(job.now(), ix);
    let of_service = pool.service_run_memory_share(job.now(), &job.service);
    log::warn!(
        event = "no_room", req = &*job.request_id, route = &*job.route.name,
        expected = job.expected_tokens(), yields = format!("{:.2}", job.yields),
        coming = format!("{:?}", returns::coming(job)), memory = format!("{:.2}", view.memory),
        service_memory = format!("{of_service:.2}"),
        told_age_ms = view.age.as_millis(), retry_after_ms = wait.as_millis();
        ""
    );
    if tries.borrow().may_have_run() {
        Reply::Own(Code::OutcomeUnknown, None)
    } else {
        Reply::Own(Code::Overloaded, Some(wait))
    }
}

fn nobody(job: &Job, need: &Need, tries: &RefCell<Attempts>) -> Reply {
    let free_in = job.until_any_is_free(need);
    log::warn!(
        event = "no_upstream", req = &*job.request_id, service = &*job.service,
        free_in_ms = or_empty(free_in.map(|wait| wait.as_millis()));
        ""
    );
    if tries.borrow().may_have_run() {
        return Reply::Own(Code::OutcomeUnknown, None);
    }
    match free_in {
        Some(wait) => Reply::Own(Code::Overloaded, Some(free_back_after(wait))),
        None => Reply::Own(Code::NoUpstream, Some(NONE_RETRY)),
    }
}

async fn try_one(job: &Job, ix: UpstreamIx, need: Need, tries: &RefCell<Attempts>) -> Tried {
    note_choice(job, ix);
    let placed = job.node.place(ix, need);
    let backup = place_backup(job, ix, need);
    let keeper = backup
        .as_ref()
        .map(|b| job.node.pool.borrow().record(b.ix).addr);
    let extras = Extras {
        backup: keeper,
        memory: None,
        last_event_id: job.ask.last_event_id,
    };
    let sending = send(job, ix, &extras, || tries.borrow_mut().record_sent());
    let sent = match silence_limit(job) {
        Some(limit) => match tokio::time::timeout(limit, sending).await {
            Ok(sent) => sent,
            Err(_) => Err(Unanswered::Lost("no answer in time".to_owned())),
        },
        None => sending.await,
    };
    match sent {
        Ok(opened) => judge(job, ix, opened, placed, backup).await,
        Err(Unanswered::NeverSent(why)) => Tried::failed(AttemptOutcome::NeverSent, why),
        Err(Unanswered::Withheld(why)) => Tried::failed(AttemptOutcome::Withheld, why),
        Err(Unanswered::Lost(why)) => Tried::failed(AttemptOutcome::Lost, why),
    }
}

/// Says where a request goes, and what the choice saw.
fn note_choice(job: &Job, ix: UpstreamIx) {
    let pool = job.node.pool.borrow();
    let view = pool.view(job.now(), ix);
    let of_service = pool.service_memory_share(job.now(), &job.service);
    log::info!(
        event = "sent", req = &*job.request_id, route = &*job.route.name,
        instance = &*pool.record(ix).instance, running = view.placed.running,
        memory = format!("{:.2}", view.memory), unread = view.placed.unread,
        failing = format!("{:.2}", view.failing), told_age_ms = view.age.as_millis(),
        service_memory = format!("{of_service:.2}"), rate_limit = or_empty(pool.rate_limit(ix)),
        age_ms = job.age().as_millis();
        ""
    );
}

/// Longest wait for a head when another upstream may be asked instead.
fn silence_limit(job: &Job) -> Option<Duration> {
    let plain = job.engine.is_none() && job.route.kind.is_retryable();
    plain.then(|| job.route.objective * SILENT_OBJECTIVES)
}

/// Place for a copy of a long stream, if memory is plentiful.
pub fn place_backup(job: &Job, at: UpstreamIx, need: Need) -> Option<PlacedGuard> {
    let can_keep = job.engine.is_some_and(|e| e.can_back_up) && job.route.kind.is_stream();
    let keeps = can_keep && job.node.policy.uses(Mechanism::Backups);
    if !keeps || job.expected_tokens() < MIN_BACKUP_TOKENS {
        return None;
    }
    let copy = Need {
        is_copy: true,
        unread: 0,
        copied_from: Some(at),
        ..need
    };
    let keeper = pick_backup_holder(&job.node.pool.borrow(), job.now(), &job.service, &copy, at)?;
    Some(job.node.place(keeper, copy))
}

/// What the head of an answer means for the request.
async fn judge(
    job: &Job,
    ix: UpstreamIx,
    opened: Opened,
    placed: PlacedGuard,
    backup: Option<PlacedGuard>,
) -> Tried {
    let status = opened.parts.status;
    let head = opened.head;
    match head.claim {
        RunClaim::MayHaveRun => {}
        RunClaim::NotRun => {
            return Tried::failed(AttemptOutcome::NotRun, format!("turned away with {status}"));
        }
        RunClaim::WrongInstance => {
            return Tried::failed(AttemptOutcome::WrongInstance, "another instance is there");
        }
    }
    if status.is_success() && !head.sealed {
        return Tried::failed(AttemptOutcome::Lost, "an answer without a seal");
    }
    if status.is_success() && job.route.kind.is_stream() {
        let begun = Begun {
            opened,
            placed,
            backup,
        };
        return Tried {
            outcome: AttemptOutcome::Answered,
            why: String::new(),
            reply: Some(Reply::Stream(Box::new(begun))),
        };
    }
    match read_whole(job, ix, opened).await {
        Ok((parts, bytes)) => Tried {
            outcome: if status.is_server_error() {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered
            },
            why: status.to_string(),
            reply: Some(Reply::Whole(parts, bytes)),
        },
        Err(why) => Tried::failed(AttemptOutcome::Lost, why),
    }
}

/// Lets the pool learn from a try, and says what came of it.
fn note(job: &Job, ix: UpstreamIx, tried: &Tried) {
    let now = job.now();
    let outcome = format!("{:?}", tried.outcome);
    if tried.outcome == AttemptOutcome::NeverSent {
        job.node.note_unreachable(ix);
    }
    job.node.metrics.tries.with_label_values(&[&outcome]).inc();
    let mut pool = job.node.pool.borrow_mut();
    if tried.outcome != AttemptOutcome::Withheld {
        pool.record_outcome(ix, tried.outcome != AttemptOutcome::Answered);
    }
    match tried.outcome {
        AttemptOutcome::NeverSent | AttemptOutcome::Lost => pool.avoid(now, ix, AVOID_UNREACHABLE),
        AttemptOutcome::NotRun => pool.avoid(now, ix, AVOID_FULL),
        AttemptOutcome::WrongInstance => pool.avoid(now, ix, AVOID_MISTAKEN),
        AttemptOutcome::Withheld | AttemptOutcome::Failed | AttemptOutcome::Answered => {}
    }
    if tried.outcome != AttemptOutcome::Answered {
        log::warn!(
            event = "try_failed", req = &*job.request_id, route = &*job.route.name,
            instance = &*pool.record(ix).instance, outcome = outcome,
            why = &*tried.why, age_ms = job.age().as_millis();
            ""
        );
    }
}
