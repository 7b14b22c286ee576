//! `drain`: begins a planned stop of one node.
//!
//! The node refuses new work at once and ends when its streams have ended,
//! which may take as long as they do.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use std::time::{Duration, Instant};

/// Time between two looks at the node.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Tells the node to drain; with a wait, until it holds no work or has gone.
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
            return console.print(format!("{node} has gone"));
        };
        if status.leaving && status.streams == 0 && status.queue == 0 {
            return console.print(format!("{node} holds no work"));
        }
        let remaining = (status.streams, status.queue);
        if last_shown != Some(remaining) {
            let (streams, queue) = remaining;
            console.print(format!("{node} has {streams} streams, {queue} waiting"))?;
            last_shown = Some(remaining);
        }
        if Instant::now() >= deadline {
            return Err(Failure::StillDraining(node.to_owned()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
