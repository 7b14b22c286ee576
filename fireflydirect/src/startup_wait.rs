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
const STARTUP_PERIOD: Duration = Duration::from_secs(1);

/// Part of a caller's time, as a divisor, for which its request may wait.
const WAIT_DIVISOR: u32 = 4;

/// Longest time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until a process that has just started knows configuration and upstreams, if that may be soon
/// enough for a caller with so much time.
pub(crate) async fn until_loaded(node: &Node, caller_time: Option<Duration>) {
    let max_wait = caller_time.map_or(STARTUP_PERIOD, |time| time / WAIT_DIVISOR);
    let startup_ends = Time::default() + STARTUP_PERIOD;
    let end = startup_ends.min(node.now() + max_wait);
    while !is_loaded(node) && node.now() < end {
        // What rings may still lack the other part.
        let _ = timeout(CHECK_INTERVAL, node.routing_changed.notified()).await;
    }
}

fn is_loaded(node: &Node) -> bool {
    node.catalog.borrow().is_some() && node.has_complete_list.get()
}
