//! Detects upstream crashes, counts them by request content and collects evidence about the parts of prompts.
//!
//! A request that breaks may have crashed its upstream, or only lost its connection. A new connection shows which: a
//! crashed upstream refuses it for some seconds. Each crash is counted for the content that ran there, and reported with
//! the shared parts of an answer that was beginning. All entries hear of it at once, since the next such request may come
//! to any of them.

use crate::job::Job;
use crate::links::open;
use crate::log_value::{list, or_empty};
use crate::node::Node;
use crate::parts;
use fireflycroft::{CrashId, CrashReport, Digest, Time, UpstreamIx, UpstreamRecord};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Crashes after which content is refused: enough to distinguish it from other content on a crashed
/// upstream, and no more than users allow.
const CRASH_LIMIT: u8 = 3;

/// Time for which a crashed upstream is avoided; it restarts within some seconds.
const AVOID_CRASHED: Duration = Duration::from_secs(3);

/// Reads with whole events after which an answer is past its beginning.
const BEGINNING_READS: u64 = 3;

/// Shortest time from the head of an answer to the end of its beginning; a part that crashes upstreams does so
/// within a tenth of a second.
const BEGINNING_TIME: Duration = Duration::from_millis(250);

/// Upstreams that one request may crash as its answer begins; the next one to crash tells which of its parts it was.
const MAX_CRASHED_BEGINNINGS: u32 = 2;

/// Returns whether a request has crashed so many upstreams, as its answer began, that it is tried no more.
#[must_use]
pub fn has_crashed_too_many(job: &Job) -> bool {
    job.crashed_beginnings.get() >= MAX_CRASHED_BEGINNINGS
}

/// Returns whether content is refused because of crashes.
#[must_use]
pub fn is_refused(node: &Node, content: Digest) -> bool {
    node.quarantine.borrow().crashes(content) >= CRASH_LIMIT
}

/// Logs that a request is not sent because of its content.
pub fn log_refusal(node: &Node, request_id: &str, content: Digest) {
    log::warn!(
        event = "refused_for_content", req = request_id, content = content.to_string(),
        crashes = node.quarantine.borrow().crashes(content);
        ""
    );
}

/// Progress of an answer at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Arrival of the response head; `None` before it.
    head_at: Option<Time>,
    /// Reads since then that brought whole events.
    reads: u64,
}

impl Progress {
    /// Returns the progress of an answer whose head has just arrived.
    #[must_use]
    pub const fn begun(now: Time) -> Self {
        Self {
            head_at: Some(now),
            reads: 0,
        }
    }

    /// Records a read that brought whole events.
    pub const fn record_read(&mut self) {
        self.reads += 1;
    }

    /// Returns whether a whole event has come.
    #[must_use]
    pub const fn has_data(&self) -> bool {
        self.reads > 0
    }

    /// Returns whether the answer has gone on past its beginning.
    #[must_use]
    pub fn is_past_beginning(&self, now: Time) -> bool {
        let lasted = self
            .head_at
            .is_some_and(|at| now.since(at) >= BEGINNING_TIME);
        lasted && self.reads >= BEGINNING_READS
    }
}

/// Checks whether the upstream of a broken request has crashed, and records it.
///
/// The next try of a request waits for it if a part of its prompt may be the cause; otherwise it is checked aside,
/// since an upstream that is cut off takes [`crate::links::CONNECT_TIMEOUT`] to tell.
pub async fn check_for_crash(job: &Rc<Job>, ix: UpstreamIx, progress: Progress) {
    if !job.head.shared_parts.is_empty() && !progress.is_past_beginning(job.now()) {
        return check(job, ix, progress).await;
    }
    let job = job.clone();
    tokio::task::spawn_local(async move { check(&job, ix, progress).await });
}

/// Opens a connection to the upstream, and records a crash if it can't; a departing upstream ended as planned.
async fn check(job: &Job, ix: UpstreamIx, progress: Progress) {
    let node = &job.node;
    if node.pool.borrow().left_at(ix).is_some() {
        return;
    }
    let record = node.pool.borrow().record(ix).clone();
    let Err(e) = open(record.addr).await else {
        return;
    };
    if node.pool.borrow().left_at(ix).is_some() {
        return;
    }
    let crashes = record_crash(node, ix, job.content);
    // A crashed upstream's VM still answers; one that is cut off or without power doesn't.
    if e.kind() == io::ErrorKind::ConnectionRefused && !progress.is_past_beginning(job.now()) {
        record_beginning(job, &record, progress);
    }
    let content = job.content.to_string();
    log::warn!(
        event = "upstream_crashed", req = &*job.request_id, addr = record.addr.to_string(),
        instance = &*record.instance, started_at = record.incarnation.0,
        content = content, crashes = crashes, parts = list(&job.head.shared_parts),
        head_age_ms = or_empty(progress.head_at.map(|at| job.now().since(at).as_millis())),
        reads = progress.reads, why = e.to_string();
        ""
    );
    node.announce_to_all_now();
}

/// Records that an upstream ended as the answer to a request was beginning there.
///
/// A whole answer shows no beginning, so it counts as one until it is complete.
fn record_beginning(job: &Job, record: &UpstreamRecord, progress: Progress) {
    let report = CrashReport {
        ended: CrashId::of(&record.upstream_incarnation()),
        parts: job.head.shared_parts.clone(),
        begun: progress.head_at.is_some() || !job.route.kind.is_stream(),
        age: Duration::ZERO,
    };
    if report.begun && !report.parts.is_empty() {
        let crashed = job.crashed_beginnings.get();
        job.crashed_beginnings.set(crashed + 1);
    }
    let mut evidence = job.node.crash_evidence.borrow_mut();
    evidence.record_crash(job.now(), report);
    drop(evidence);
    parts::judge(&job.node);
}

fn record_crash(node: &Rc<Node>, ix: UpstreamIx, content: Digest) -> u8 {
    let now = node.now();
    node.pool.borrow_mut().avoid(now, ix, AVOID_CRASHED);
    let mut quarantine = node.quarantine.borrow_mut();
    let crashes = quarantine.crashes(content).saturating_add(1);
    quarantine.record(now, content, crashes);
    node.peers.borrow_mut().add_crash(content, crashes);
    crashes
}
