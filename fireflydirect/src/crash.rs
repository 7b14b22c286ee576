//! Telling a crash of an upstream from a lost connection, and remembering whose request it was.
//!
//! A request that breaks off may have crashed its upstream, or only lost its
//! connection. The difference shows when the upstream is connected to again: a
//! crashed one can't be reached for some seconds. Each such crash counts for
//! the content that ran there, and all entries are told at once, since the
//! caller sends the same content again to any of them.

use crate::job::Job;
use crate::links::open;
use crate::node::Node;
use fireflycroft::{Digest, UpstreamIx};
use std::rc::Rc;
use std::time::Duration;

/// Crashes at which content is refused: enough to tell it from a neighbour of one that crashes
/// upstreams, and no more than the users allow.
const CRASH_LIMIT: u8 = 3;

/// Time for which a crashed upstream is left out; it is back after some seconds.
const AVOID_CRASHED: Duration = Duration::from_secs(3);

/// Whether content is refused for the upstreams that it crashed.
#[must_use]
pub fn is_refused(node: &Node, content: Digest) -> bool {
    node.quarantine.borrow().crashes(content) >= CRASH_LIMIT
}

/// Finds out whether the upstream on which a request broke off has crashed.
///
/// One that had announced its leaving ended as planned.
pub fn suspect(job: &Job, ix: UpstreamIx) {
    let node = job.node.clone();
    if node.pool.borrow().left_at(ix).is_some() {
        return;
    }
    let content = job.content;
    let request_id = job.request_id.clone();
    tokio::task::spawn_local(async move {
        let addr = node.pool.borrow().record(ix).addr;
        let Err(e) = open(addr).await else {
            return;
        };
        if node.pool.borrow().left_at(ix).is_some() {
            return;
        }
        let crashes = count(&node, ix, content);
        let content = content.to_string();
        log::warn!(
            event = "upstream_crashed", req = &*request_id, addr = addr.to_string(),
            content = content, crashes = crashes, why = e.to_string();
            ""
        );
    });
}

fn count(node: &Rc<Node>, ix: UpstreamIx, content: Digest) -> u8 {
    let now = node.now();
    node.pool.borrow_mut().avoid(now, ix, AVOID_CRASHED);
    let mut quarantine = node.quarantine.borrow_mut();
    let crashes = quarantine.crashes(content).saturating_add(1);
    quarantine.record(now, content, crashes);
    node.peers.borrow_mut().add_crash(content, crashes);
    node.announce_to_all_now();
    crashes
}
