//! Requests that arrive while a new process reads the configuration, the list of upstreams and what is known of crashes.
//!
//! All are on their way then, from the store or from other entries. A caller refused meanwhile
//! has used up one attempt and returns later than the entry is ready; one that waits briefly is
//! served.

use crate::node::Node;
use fireflycroft::Time;
use std::time::Duration;
use tokio::time::timeout;

/// Age of a process up to which requests wait.
const STARTUP_PERIOD: Duration = Duration::from_secs(1);

/// Fraction of a caller's time, as a divisor, for which its request may wait.
const WAIT_DIVISOR: u32 = 4;

/// Longest interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until a new process knows the configuration, the upstreams and what crashes them, within the
/// start-up period and a fraction of the caller's time.
pub(crate) async fn until_loaded(node: &Node, caller_time: Option<Duration>) {
    let max_wait = caller_time.map_or(STARTUP_PERIOD, |time| time / WAIT_DIVISOR);
    let startup_ends = Time::default() + STARTUP_PERIOD;
    let end = startup_ends.min(node.now() + max_wait);
    while !is_loaded(node) && node.now() < end {
        // The notification may be about one of them only.
        let _ = timeout(CHECK_INTERVAL, node.routing_changed.notified()).await;
    }
}

fn is_loaded(node: &Node) -> bool {
    let is_listed = node.catalog.borrow().is_some() && node.has_complete_list();
    is_listed && node.has_crash_knowledge()
}
