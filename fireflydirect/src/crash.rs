//! Detects upstream crashes, and reports them with what the answers in progress there have in common.
//!
//! A request that breaks may have crashed its upstream, or only lost its connection. A new connection shows which: a
//! crashed upstream refuses it for some seconds. One that ends may close its connections before its port, so an upstream
//! that accepts the connection is checked again for a short time. Where the check comes later than the next start, the
//! list of upstreams tells. All entries hear of a crash at once, since the next such request may come to any of them.

use crate::job::Job;
use crate::links::open;
use crate::log_value::{list, or_empty};
use crate::suspects;
use fireflycroft::{CrashId, CrashReport, Reach, Suspect, Time, UpstreamIx, UpstreamRecord};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Time for which a crashed upstream is avoided; it restarts within some seconds.
const AVOID_CRASHED: Duration = Duration::from_secs(3);

/// Reads with whole events after which an answer is past its beginning.
const BEGINNING_READS: u64 = 3;

/// Shortest time from the head of an answer to the end of its beginning; a part that crashes upstreams does so
/// within a tenth of a second.
const BEGINNING_TIME: Duration = Duration::from_millis(250);

/// Pauses before the further checks of an upstream that accepted a connection.
const RECHECK_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(250)];

/// Time in which an upstream that has crashed and started again is listed.
const LISTING_TIME: Duration = Duration::from_secs(5);

/// Upstreams that one request may crash as its answer begins; the next one to crash tells which of its parts it was.
const MAX_CRASHED_BEGINNINGS: u32 = 2;

/// Returns whether a request has crashed so many upstreams, as its answer began, that it is tried no more.
#[must_use]
pub fn has_crashed_too_many(job: &Job) -> bool {
    job.crashed_beginnings.get() >= MAX_CRASHED_BEGINNINGS
}

/// What a new connection to the upstream of a broken request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Its incarnation has ended, and all its runs with it.
    Ended,
    /// Nothing answers there: it is cut off, or its VM is without power.
    Silent,
    /// It accepts connections, so that it may work on the request.
    Answers,
}

impl Contact {
    /// Returns its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Silent => "silent",
            Self::Answers => "answers",
        }
    }
}

/// Progress of an answer at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Arrival of the response head; `None` before it.
    head_at: Option<Time>,
    /// Reads since then that brought whole events.
    reads: u64,
    /// How far it has got.
    reach: Reach,
    /// Whether it went on past its beginning at an upstream before.
    was_sound: bool,
}

impl Progress {
    /// Returns the progress of an answer whose head has just arrived.
    #[must_use]
    pub const fn begun(now: Time) -> Self {
        Self {
            head_at: Some(now),
            reads: 0,
            reach: Reach {
                lasted: Duration::ZERO,
                events: 0,
            },
            was_sound: false,
        }
    }

    /// Returns the progress of this answer where its stream goes on at another upstream.
    #[must_use]
    pub fn resumed(&self, now: Time) -> Self {
        Self {
            was_sound: self.is_past_beginning(),
            ..Self::begun(now)
        }
    }

    /// Records a read that brought whole events.
    pub fn record_read(&mut self, now: Time, events: u64) {
        self.reads += 1;
        self.reach.events += events;
        self.reach.lasted = self.head_at.map_or(Duration::ZERO, |at| now.since(at));
    }

    /// Returns how far the answer has got at the upstream.
    #[must_use]
    pub const fn reach(&self) -> Reach {
        self.reach
    }

    /// Returns whether a whole event has come.
    #[must_use]
    pub const fn has_data(&self) -> bool {
        self.reads > 0
    }

    /// Returns whether the answer has gone on past its beginning, here or at an upstream before.
    #[must_use]
    pub const fn is_past_beginning(&self) -> bool {
        let lasted = self.reach.lasted.as_nanos() >= BEGINNING_TIME.as_nanos();
        self.was_sound || lasted && self.reads >= BEGINNING_READS
    }
}

/// Checks whether the upstream of a broken request has crashed, and records it.
pub async fn check_for_crash(job: &Rc<Job>, ix: UpstreamIx, progress: Progress) -> Contact {
    let job = job.clone();
    // A task of its own, since a crash is recorded also if nobody waits for it any more.
    let checking = tokio::task::spawn_local(async move { check(&job, ix, progress).await });
    checking.await.unwrap_or_else(|e| {
        log::error!(event = "crash_check_failed", why = e.to_string(); "");
        Contact::Answers
    })
}

/// Records a crash if a later incarnation of the upstream is known, or it accepts no connection.
async fn check(job: &Rc<Job>, ix: UpstreamIx, progress: Progress) -> Contact {
    let contact = check_again(job, ix, progress).await;
    if has_left(job, ix) {
        return contact;
    }
    match contact {
        Contact::Ended => {}
        Contact::Silent => record_silent(job, ix),
        Contact::Answers => watch(job, ix, progress),
    }
    contact
}

/// Checks the upstream of a broken request once more, and records its crash unless that has been done.
pub async fn check_again(job: &Job, ix: UpstreamIx, progress: Progress) -> Contact {
    let contact = contact(job, ix).await;
    if contact != Contact::Answers {
        job.attempted.borrow_mut().record_lost(ix);
    }
    if contact == Contact::Ended {
        job.is_in_parts.set(true);
        if !has_left(job, ix) {
            record_crash(job, ix, progress);
        }
    }
    contact
}

/// Opens a connection to an upstream, unless a later incarnation of it is known.
async fn contact(job: &Job, ix: UpstreamIx) -> Contact {
    if has_started_again(job, ix) {
        return Contact::Ended;
    }
    let addr = job.node.pool.borrow().record(ix).addr;
    match open(addr).await.map_err(|e| e.kind()) {
        // A crashed upstream's VM still answers; one that is cut off or without power doesn't.
        Err(ErrorKind::ConnectionRefused) => Contact::Ended,
        Err(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable) => {
            Contact::Silent
        }
        // One at its limit of connections resets new ones and works on.
        Ok(_) | Err(_) => Contact::Answers,
    }
}

/// Returns whether an upstream left so long ago that its end was planned.
fn has_left(job: &Job, ix: UpstreamIx) -> bool {
    let pool = job.node.pool.borrow();
    let left_at = pool.left_at(ix).filter(|_| !pool.has_crashed(ix));
    left_at.is_some_and(|at| job.now().since(at) >= job.node.place.bounds.drain_timeout)
}

/// Returns whether the list has a later incarnation of an upstream, under its id or at its address.
fn has_started_again(job: &Job, ix: UpstreamIx) -> bool {
    let pool = job.node.pool.borrow();
    pool.has_crashed(ix) || pool.is_address_taken(ix)
}

/// Records a crash once an upstream that accepted a connection turns out to have ended.
fn watch(job: &Rc<Job>, ix: UpstreamIx, progress: Progress) {
    let job = job.clone();
    tokio::task::spawn_local(async move {
        let until = job.node.clock.instant(job.now() + LISTING_TIME);
        for pause in RECHECK_PAUSES {
            tokio::time::sleep(pause).await;
            if check_again(&job, ix, progress).await == Contact::Ended {
                return;
            }
        }
        loop {
            let changed = job.node.routing_changed.notified();
            if has_started_again(&job, ix) {
                return record_crash(&job, ix, progress);
            }
            if timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    });
}

/// Avoids an upstream that is cut off or without power: no request is to blame.
fn record_silent(job: &Job, ix: UpstreamIx) {
    let mut pool = job.node.pool.borrow_mut();
    pool.avoid(job.now(), ix, AVOID_CRASHED);
    log::warn!(
        event = "upstream_silent", req = &*job.request_id, addr = pool.record(ix).addr.to_string(),
        instance = &*pool.record(ix).instance, why = "it accepts no connection in time";
        ""
    );
}

/// Records a crash, once for each upstream of a request.
fn record_crash(job: &Job, ix: UpstreamIx, progress: Progress) {
    if !job.crashed_under.borrow_mut().insert(ix) {
        return;
    }
    job.is_in_parts.set(true);
    let node = &job.node;
    let why = if has_started_again(job, ix) {
        "it has started again"
    } else {
        "it refuses connections"
    };
    let record = node.pool.borrow().record(ix).clone();
    node.pool.borrow_mut().avoid(job.now(), ix, AVOID_CRASHED);
    record_evidence(job, &record, progress);
    let content = Suspect::of_content(job.content);
    let crashes = node.crash_evidence.borrow().crashes_under(content);
    log::warn!(
        event = "upstream_crashed", req = &*job.request_id, addr = record.addr.to_string(),
        instance = &*record.instance, started_at = record.incarnation.0,
        content = content.to_string(), crashes = crashes, parts = list(&job.head.shared_parts),
        head_age_ms = or_empty(progress.head_at.map(|at| job.now().since(at).as_millis())),
        reads = progress.reads, events = progress.reach.events,
        lasted_ms = progress.reach.lasted.as_millis(), why = why;
        ""
    );
    node.announce_to_all_now();
}

/// Records that an upstream ended under the answer to a request, as evidence against its content and, at its
/// beginning, against the parts of its prompt.
///
/// A whole answer shows no beginning, so it counts as one until it is complete.
fn record_evidence(job: &Job, record: &UpstreamRecord, progress: Progress) {
    let is_beginning = !progress.is_past_beginning();
    let mut suspects = job.suspects.clone();
    suspects.retain(|s| is_beginning || s.is_content());
    let report = CrashReport {
        ended: CrashId::of(&record.upstream_incarnation()),
        suspects,
        begun: progress.head_at.is_some() || !job.route.kind.is_stream(),
        reach: progress.reach,
        age: Duration::ZERO,
    };
    if report.begun && is_beginning && !job.head.shared_parts.is_empty() {
        let crashed = job.crashed_beginnings.get();
        job.crashed_beginnings.set(crashed + 1);
    }
    let mut evidence = job.node.crash_evidence.borrow_mut();
    evidence.record_crash(job.now(), report);
    drop(evidence);
    suspects::judge(&job.node);
}
