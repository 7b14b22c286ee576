//! Makes sure that a run has ended before its request goes on elsewhere.
//!
//! A connection that breaks shows nothing about the run behind it: most upstreams drop a request whose connection closes,
//! but one may lose an answer on its way and work on. So the run is ordered to stop, as for a move. An upstream that has
//! no such run says so at once, and one that works on stops and gives its memory, from which the stream goes on. Where
//! the order isn't carried out, the upstream's report tells whether it still lists the run. An upstream that ends every
//! connection without an answer counts as ended, behind something that accepts connections for it. It doesn't while other
//! runs there go on: one at its limit resets new connections.

use crate::crash::{self, Contact, Progress};
use crate::departures::fetch_report;
use crate::job::Job;
use crate::memory_copy::stop_and_copy;
use crate::own_calls::is_connection_end;
use crate::runs::{MigrationCopy, Run};
use fireflycroft::{MAX_REPORT_AGE, MemoryCopy, Need, StopOrder, Time, UpstreamIx};
use fireflycroft_platform::MigrationOutcome;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Pause after the first check that leaves it open whether a run has ended; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two checks.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Shortest time in which a run is given the chance to be over; longer than one check.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Checks in a row in which the upstream ends its connections without an answer, until it is taken for ended.
const MAX_UNANSWERED: u32 = 4;

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// It has ended, or its upstream can't be reached; with the reason in logs.
    Over(&'static str),
    /// Its upstream has ended.
    UpstreamEnded(&'static str),
    /// It may go on; with what was found last.
    Open(&'static str),
    /// It may go on; its upstream ended the connection without an answer.
    Unanswered,
}

/// A run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenRun {
    /// Upstream of the run.
    pub(crate) at: UpstreamIx,
    /// What a connection to it has shown since.
    pub(crate) contact: Contact,
    /// Time at which its request was sent at the latest.
    pub(crate) sent_by: Time,
    /// Progress of its answer.
    pub(crate) progress: Progress,
}

/// Waits until a run is over; false if it may still go on at `patience_end`.
///
/// A copy of the memory of a run that was stopped is stored in `run`.
pub(crate) async fn until_over(
    job: &Rc<Job>,
    run: &Run,
    broken: BrokenRun,
    patience_end: Time,
) -> bool {
    let at = broken.at;
    let broke_at = job.now();
    let until = patience_end.max(broke_at + MIN_WAIT);
    let deadline = job.node.clock.instant(until);
    let mut broken = broken;
    let mut pause = FIRST_PAUSE;
    let mut unanswered = 0;
    let mut checked_at = broke_at;
    loop {
        let checking = timeout_at(deadline, check(job, run, broken));
        let state = checking
            .await
            .unwrap_or(RunState::Open("no answer in time"));
        let is_alive = job.node.runs.is_heard(at, checked_at);
        checked_at = job.now();
        unanswered = if state == RunState::Unanswered && !is_alive {
            unanswered + 1
        } else {
            0
        };
        match resolve(state, unanswered) {
            RunState::Over(why) => {
                log(job, at, broke_at, "run_over", why);
                return true;
            }
            RunState::UpstreamEnded(why) => {
                job.is_in_parts.set(true);
                log(job, at, broke_at, "run_over", why);
                return true;
            }
            RunState::Open(why) if job.now() + pause >= until => {
                log(job, at, broke_at, "run_may_go_on", why);
                return false;
            }
            RunState::Open(_) | RunState::Unanswered => tokio::time::sleep(pause).await,
        }
        pause = (pause * 2).min(MAX_PAUSE);
        broken.contact = crash::check_again(job, at, broken.progress).await;
    }
}

/// Returns what is known after a number of checks in a row without an answer.
const fn resolve(state: RunState, unanswered: u32) -> RunState {
    match state {
        RunState::Unanswered if unanswered >= MAX_UNANSWERED => {
            RunState::UpstreamEnded("its upstream answers on no connection")
        }
        RunState::Unanswered => RunState::Open("its upstream ends connections without an answer"),
        RunState::Over(_) | RunState::UpstreamEnded(_) | RunState::Open(_) => state,
    }
}

async fn check(job: &Rc<Job>, run: &Run, broken: BrokenRun) -> RunState {
    match broken.contact {
        Contact::Ended => return RunState::UpstreamEnded("its upstream has ended"),
        Contact::Silent => return RunState::Over("its upstream can't be reached"),
        Contact::Answers => {}
    }
    let at = broken.at;
    let upstream = job.node.pool.borrow().record(at).upstream_incarnation();
    let orders = &run.stop_orders;
    let known = orders.at(&upstream);
    if matches!(known, StopOrder::Stopped | StopOrder::StoppedByRepeat) {
        return RunState::Over("it was stopped before");
    }
    // A second order couldn't tell what becomes of the first.
    if !orders.is_being_stopped(&upstream)
        && let Some(why) = stop(job, run, at).await
    {
        return RunState::Over(why);
    }
    check_report(job, run, broken).await
}

/// Orders a run to stop and stores a copy of its memory; returns how it is over, if it is.
async fn stop(job: &Rc<Job>, run: &Run, at: UpstreamIx) -> Option<&'static str> {
    if !run.can_migrate {
        return None;
    }
    let node = &job.node;
    let need = Need {
        copied_from: Some(at),
        draw: rand::rng().next_u64(),
        ..run.need.get()
    };
    let to = choose_holder(job, run, at, &need)?;
    let assignment = node.assign(to, need);
    let store = |assignment, memory: MemoryCopy| {
        let copy = MigrationCopy {
            assignment,
            memory,
            source: at,
            stands_by: false,
        };
        run.replace_copy(copy);
    };
    match stop_and_copy(node, at, to, run).await {
        (MigrationOutcome::NoSuchRun, _) => Some("there is no such run"),
        (MigrationOutcome::Copied(memory), _) => {
            store(assignment, memory);
            Some("it was stopped and copied")
        }
        (MigrationOutcome::NoCapacity(Some(memory)), _) => {
            store(node.assign(at, run.need.get()), memory);
            Some("it was stopped, its memory is kept there")
        }
        (_, StopOrder::Stopped | StopOrder::StoppedByRepeat) => Some("it was stopped"),
        _ => None,
    }
}

/// Returns the upstream that is to hold the copy of a run: one that has a part of it, or else another one.
fn choose_holder(job: &Job, run: &Run, at: UpstreamIx, need: &Need) -> Option<UpstreamIx> {
    let pool = job.node.pool.borrow();
    let now = job.now();
    let is_usable = |holder: &UpstreamIx| *holder != at && pool.may_get_requests(now, *holder);
    let mut holders = [run.standby_holder(), run.backup.get()]
        .into_iter()
        .flatten();
    let holder = holders.find(is_usable);
    holder.or_else(|| pool.choose(now, &job.service, need, &[at]))
}

/// Looks for a run in the report of its upstream, which is some hundred milliseconds old.
async fn check_report(job: &Job, run: &Run, broken: BrokenRun) -> RunState {
    let node = &job.node;
    let at = broken.at;
    let report = match fetch_report(node, at).await {
        Ok(fetched) => fetched.report,
        Err(e) if is_connection_end(&e) => return RunState::Unanswered,
        Err(_) => return RunState::Open("its upstream gives no report"),
    };
    let expected = node.pool.borrow().record(at).incarnation;
    if expected.is_known() && report.incarnation != expected {
        return RunState::UpstreamEnded("its upstream has started again");
    }
    match report.has_run(&run.request_id) {
        Some(true) => RunState::Open("its upstream lists it"),
        Some(false) if job.now().since(broken.sent_by) <= MAX_REPORT_AGE => {
            RunState::Open("the report may be older than the run")
        }
        Some(false) => RunState::Over("its upstream doesn't list it"),
        None => RunState::Open("its upstream lists no runs"),
    }
}

fn log(job: &Job, at: UpstreamIx, broke_at: Time, event: &str, why: &str) {
    let instance = job.node.pool.borrow().record(at).instance.clone();
    log::info!(
        event = event, req = &*job.request_id, instance = &*instance, why = why,
        waited_ms = job.now().since(broke_at).as_millis();
        ""
    );
}
