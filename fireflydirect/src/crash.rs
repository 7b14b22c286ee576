//! Detects upstream crashes and counts them by request content.
//!
//! A request that breaks may have crashed its upstream, or only lost its
//! connection. A new connection shows which: a crashed upstream is unreachable
//! for some seconds. Each crash is counted for the content that ran there and
//! announced to all entries at once, since the caller may send the same content
//! to any of them again.

use crate::job::Job;
use crate::links::open;
use crate::log_value::{list, or_empty};
use crate::node::Node;
use fireflycroft::{Digest, Time, UpstreamIx};
use std::rc::Rc;
use std::time::Duration;

/// Crashes after which content is refused: enough to distinguish it from other content on a crashed
/// upstream, and no more than users allow.
const CRASH_LIMIT: u8 = 3;

/// Time for which a crashed upstream is avoided; it restarts within some seconds.
const AVOID_CRASHED: Duration = Duration::from_secs(3);

/// Returns whether content is refused because of crashes.
#[must_use]
pub fn is_refused(node: &Node, content: Digest) -> bool {
    node.quarantine.borrow().crashes(content) >= CRASH_LIMIT
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
    pub const fn record_data(&mut self) {
        self.reads += 1;
    }
}

/// Checks whether the upstream of a broken request has crashed.
///
/// A departing upstream ended as planned.
pub fn check_for_crash(job: &Job, ix: UpstreamIx, progress: Progress) {
    let node = job.node.clone();
    if node.pool.borrow().left_at(ix).is_some() {
        return;
    }
    let content = job.content;
    let request_id = job.request_id.clone();
    let parts = list(&job.head.shared_parts);
    tokio::task::spawn_local(async move {
        let record = node.pool.borrow().record(ix).clone();
        let addr = record.addr;
        let Err(e) = open(addr).await else {
            return;
        };
        if node.pool.borrow().left_at(ix).is_some() {
            return;
        }
        let crashes = record_crash(&node, ix, content);
        let content = content.to_string();
        log::warn!(
            event = "upstream_crashed", req = &*request_id, addr = addr.to_string(),
            instance = &*record.instance, started_at = record.incarnation.0,
            content = content, crashes = crashes, parts = parts,
            head_age_ms = or_empty(progress.head_at.map(|at| node.now().since(at).as_millis())),
            reads = progress.reads, why = e.to_string();
            ""
        );
    });
}

fn record_crash(node: &Rc<Node>, ix: UpstreamIx, content: Digest) -> u8 {
    let now = node.now();
    node.pool.borrow_mut().avoid(now, ix, AVOID_CRASHED);
    let mut quarantine = node.quarantine.borrow_mut();
    let crashes = quarantine.crashes(content).saturating_add(1);
    quarantine.record(now, content, crashes);
    node.peers.borrow_mut().add_crash(content, crashes);
    node.announce_to_all_now();
    crashes
}
