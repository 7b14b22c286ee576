//! Where a stream that broke off may go on: the copies of its run's memory, in order, then a new run; and the request that
//! sends it there.

use crate::assignment::AssignmentGuard;
use crate::crash::{self, Contact, Progress};
use crate::exchange::{ResponseStart, SendError, SendOptions, send};
use crate::incarnations::confirmed_version;
use crate::job::Job;
use crate::runs::{MigrationCopy, Run};
use fireflycroft::{MemoryCopy, Need, RunClaim, UpstreamIx, VersionKey};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for the response head of a resumed stream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Upstream on which a stream may resume, and the memory to resume from.
pub(crate) struct Continuation {
    /// Name of the way in logs and metrics.
    pub(crate) method: &'static str,
    pub(crate) at: UpstreamIx,
    /// Copy of the run's memory; none for a new run.
    pub(crate) memory: Option<MemoryCopy>,
    pub(crate) assignment: Option<AssignmentGuard>,
}

/// Result of an attempt to resume a stream at an upstream.
pub(crate) enum Resumption {
    /// The stream goes on there.
    GoesOn,
    /// It doesn't, and nothing runs there.
    NotRun,
    /// It doesn't, but its request may run there.
    MayRun(Contact),
}

/// Why a stream that broke off doesn't go on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Halt {
    /// Its run is over, and nothing is left to go on from.
    NothingLeft,
    /// Its run, or another of its request, may go on, or it may not go on itself.
    Barred,
}

/// The copies of a run's memory.
pub(crate) struct Copies<'a> {
    pub(crate) job: &'a Job,
    pub(crate) run: &'a Run,
    pub(crate) backup: &'a mut Option<AssignmentGuard>,
    /// Software version that began the stream.
    pub(crate) version: VersionKey,
}

impl Copies<'_> {
    /// Returns the next usable copy; each is used once.
    pub(crate) fn take_next(&mut self) -> Option<Continuation> {
        let migration_copy = self.run.migration_copy.take();
        self.run
            .take(migration_copy.as_ref().map(MigrationCopy::place));
        if let Some(copy) = migration_copy.filter(|c| self.is_usable(c.assignment.ix, c.source)) {
            // A standby copy is counted as one; the run that goes on from it is counted anew.
            let stands_by = copy.stands_by;
            return Some(Continuation {
                method: if stands_by { "standby" } else { "moved" },
                at: copy.assignment.ix,
                memory: Some(copy.memory),
                assignment: (!stands_by).then_some(copy.assignment),
            });
        }
        let earlier = self.run.earlier_copy.take();
        self.run.take(earlier.clone());
        if let Some(earlier) = earlier.filter(|c| self.is_usable(c.at, c.source)) {
            return Some(Continuation {
                method: "moved",
                at: earlier.at,
                memory: Some(earlier.memory),
                assignment: None,
            });
        }
        self.run.take(None);
        self.run.backup.set(None);
        let backup = self.backup.take();
        let backup = backup.filter(|b| self.is_usable(b.ix, b.ix))?;
        let issued_by = self.job.node.pool.borrow().record(backup.ix).addr;
        Some(Continuation {
            method: "copy",
            at: backup.ix,
            memory: Some(MemoryCopy {
                issued_by,
                handle: self.job.request_id.clone(),
            }),
            assignment: None,
        })
    }

    /// Returns whether a copy at `holder` that `source` made may be used.
    ///
    /// Both must still be in the incarnation in which it was made, since a handle of another one may
    /// name the memory of another request. The holder must still accept requests, not be evacuated and have
    /// the software version that began the stream.
    fn is_usable(&self, holder: UpstreamIx, source: UpstreamIx) -> bool {
        let pool = self.job.node.pool.borrow();
        let may_get = pool.may_get_requests(self.job.now(), holder)
            && !pool.is_evacuated(holder)
            && pool.version(holder) == Some(self.version);
        may_get && !pool.is_ended(source)
    }
}

/// Returns an upstream for a new run, other than those tried, if the request may run anew.
pub(crate) fn anew(job: &Job, need: &Need, tried: &[UpstreamIx]) -> Option<Continuation> {
    let route = &job.route;
    let attempted = job.attempted.borrow();
    if !route.kind.is_retryable() || !attempted.allows_another(route.max_attempts) {
        return None;
    }
    let pool = job.node.pool.borrow();
    let at = pool.choose_to_continue(job.now(), &job.service, need, tried)?;
    Some(Continuation {
        method: "anew",
        at,
        memory: None,
        assignment: None,
    })
}

/// Sends a stream's request to an upstream, to go on there.
///
/// # Errors
///
/// What is known of its run there, if the stream doesn't go on.
pub(crate) async fn send_on(
    job: &Rc<Job>,
    at: UpstreamIx,
    options: &SendOptions,
) -> Result<ResponseStart, Resumption> {
    match timeout(RESUME_TIMEOUT, send(job, at, options, || ())).await {
        Ok(Ok(mut response)) if is_stream(&response) => {
            let version = confirmed_version(&job.node, at, &mut response.link).await;
            if version.is_none() {
                log_refusal(job, at, "its version is uncertain");
                return Err(Resumption::MayRun(Contact::Answers));
            }
            Ok(response)
        }
        Ok(Ok(response)) => {
            log_refusal(job, at, &response.parts.status.to_string());
            Err(match response.head.claim {
                RunClaim::MayHaveRun => Resumption::MayRun(Contact::Answers),
                RunClaim::NotRun | RunClaim::WrongInstance => Resumption::NotRun,
            })
        }
        Ok(Err(e)) => {
            log_refusal(job, at, &e.to_string());
            if !matches!(e, SendError::Lost(_)) {
                return Err(Resumption::NotRun);
            }
            let contact = crash::check_for_crash(job, at, Progress::default()).await;
            Err(Resumption::MayRun(contact))
        }
        Err(_) => {
            log_refusal(job, at, "no answer in time");
            let contact = crash::check_for_crash(job, at, Progress::default()).await;
            Err(Resumption::MayRun(contact))
        }
    }
}

fn is_stream(response: &ResponseStart) -> bool {
    response.parts.status.is_success() && response.head.sealed
}

fn log_refusal(job: &Job, at: UpstreamIx, why: &str) {
    let instance = job.node.pool.borrow().record(at).instance.clone();
    log::warn!(event = "go_on_refused", req = &*job.request_id, instance = &*instance, why = why; "");
}
