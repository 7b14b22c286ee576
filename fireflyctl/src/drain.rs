//! `drain`: starts a planned stop of a node.
//!
//! The node refuses new work at once and stops when its streams have ended.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use std::time::{Duration, Instant};

/// Interval of polling the node.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Tells the node to drain; with `wait`, also waits until it holds no work or
/// has stopped.
pub(crate) async fn drain(
    fleet: &Fleet,
    node: &str,
    wait: Option<Duration>,
    console: &mut Console<'_>,
) -> Result<()> {
    fleet.drain(node).await?;
    console.print(format!("{node} drains"))?;
    let Some(wait) = wait else { return Ok(()) };
    let deadline = Instant::now() + wait;
    let mut last_shown = None;
    loop {
        let Ok(status) = fleet.status(node).await else {
            return console.print(format!("{node} has stopped"));
        };
        if status.leaving && status.streams == 0 && status.queue == 0 {
            return console.print(format!("{node} holds no work"));
        }
        let remaining = (status.streams, status.queue);
        if last_shown != Some(remaining) {
            let (streams, queue) = remaining;
            console.print(format!(
                "{node} has {streams} streams, {queue} queued requests"
            ))?;
            last_shown = Some(remaining);
        }
        if Instant::now() >= deadline {
            return Err(Failure::StillDraining(node.to_owned()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
