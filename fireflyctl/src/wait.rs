//! Waits until a version is active on the nodes.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Answer, Fleet, NodeStatus};
use fireflycroft::{Digest, Head};
use std::time::{Duration, Instant};

/// Interval of polling the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until `head` or a later version is active on every node, and prints
/// the state of each.
pub(crate) async fn until_active(
    head: &Head,
    wait: Duration,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    let deadline = Instant::now() + wait;
    let mut answers = fleet.statuses().await;
    while !lagging_nodes(&answers, head).is_empty() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        answers = fleet.statuses().await;
    }
    for (node, answer) in &answers {
        let phrase = status_phrase(answer, head.version, head.digest);
        console.print(format!("{node} {phrase}"))?;
    }
    let lagging = lagging_nodes(&answers, head);
    if lagging.is_empty() {
        return Ok(());
    }
    Err(Failure::NotActive {
        version: head.version,
        nodes: lagging,
    })
}

fn lagging_nodes(answers: &[Answer<NodeStatus>], head: &Head) -> Vec<String> {
    let is_lagging =
        |(_, answer): &&Answer<NodeStatus>| !is_up_to_date(answer, head.version, head.digest);
    let lagging = answers.iter().filter(is_lagging);
    lagging.map(|(node, _)| node.clone()).collect()
}

/// Returns whether the version, with this content, or a later one is active on
/// the node.
fn is_up_to_date(
    answer: &std::result::Result<NodeStatus, String>,
    version: u64,
    digest: Digest,
) -> bool {
    answer.as_ref().is_ok_and(|s| {
        s.config_version > version || (s.config_version == version && !s.conflicts_with(digest))
    })
}

fn status_phrase(
    answer: &std::result::Result<NodeStatus, String>,
    version: u64,
    digest: Digest,
) -> String {
    match answer {
        Ok(s) if s.config_version == version && s.conflicts_with(digest) => {
            format!("{} other content as version {version}", s.name)
        }
        Ok(s) if s.config_version < version => {
            format!("{} still at version {}", s.name, s.config_version)
        }
        Ok(s) => format!("{} version {} active", s.name, s.config_version),
        Err(error) => format!("no answer: {error}"),
    }
}
