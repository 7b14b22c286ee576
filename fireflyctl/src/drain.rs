//! `drain`: begins a planned stop of one node.
//!
//! The node refuses new work at once and ends when its streams have ended,
//! which may take as long as they do.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use std::time::{Duration, Instant};

/// Time between two looks at the node.
const POLL_EVERY: Duration = Duration::from_millis(500);

/// Tells the node to drain; with a wait, until it holds no work or has gone.
pub(crate) async fn drain(
    fleet: &Fleet,
    node: &str,
    wait: Option<Duration>,
    console: &mut Console<'_>,
) -> Result<()> {
    fleet.drain(node).await?;
    console.say(format!("{node} drains"))?;
    let Some(wait) = wait else { return Ok(()) };
    let until = Instant::now() + wait;
    let mut shown = None;
    loop {
        let Ok(status) = fleet.status(node).await else {
            return console.say(format!("{node} has gone"));
        };
        if status.leaving && status.streams == 0 && status.queue == 0 {
            return console.say(format!("{node} holds no work"));
        }
        let left = (status.streams, status.queue);
        if shown != Some(left) {
            let (streams, queue) = left;
            console.say(format!("{node} has {streams} streams, {queue} waiting"))?;
            shown = Some(left);
        }
        if Instant::now() >= until {
            return Err(Failure::StillDraining(node.to_owned()));
        }
        tokio::time::sleep(POLL_EVERY).await;
    }
}
