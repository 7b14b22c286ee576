//! Requests that come while an entry that has just started reads what it needs to serve them.
//!
//! Configuration and list of upstreams are on their way then, from the store or
//! from other entries. A caller who is refused meanwhile has one try less and
//! comes back later than the entry is there; one that waits for a moment is
//! served.

use crate::node::Node;
use fireflycroft::Time;
use std::time::Duration;
use tokio::time::timeout;

/// Age of a process up to which requests wait.
const BEGINS_WITHIN: Duration = Duration::from_secs(1);

/// Part of a caller's time, as a divisor, for which its request may wait.
const PATIENCE_PART: u32 = 4;

/// Longest time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Waits until a process that has just started knows configuration and upstreams, if that may be soon
/// enough for a caller with so much time.
pub(crate) async fn until_begun(node: &Node, caller_time: Option<Duration>) {
    let patience = caller_time.map_or(BEGINS_WITHIN, |time| time / PATIENCE_PART);
    let begins_by = Time::default() + BEGINS_WITHIN;
    let end = begins_by.min(node.now() + patience);
    while !has_begun(node) && node.now() < end {
        // What rings may still lack the other part.
        let _ = timeout(LOOK_EVERY, node.routing_changed.notified()).await;
    }
}

fn has_begun(node: &Node) -> bool {
    node.catalog.borrow().is_some() && node.has_complete_list.get()
}
