//! Waits until nodes have a version in force.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Answer, Fleet, NodeStatus};
use fireflycroft::{Digest, Head};
use std::time::{Duration, Instant};

/// Time between two looks at the nodes.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// Waits until every node has `head` or a later version in force, and says
/// which do.
pub(crate) async fn in_force(
    head: &Head,
    wait: Duration,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    let until = Instant::now() + wait;
    let mut seen = fleet.statuses().await;
    while !late(&seen, head).is_empty() && Instant::now() < until {
        tokio::time::sleep(POLL_EVERY).await;
        seen = fleet.statuses().await;
    }
    for (node, answer) in &seen {
        let phrase = phrase(answer, head.version, head.digest);
        console.say(format!("{node} {phrase}"))?;
    }
    let late = late(&seen, head);
    if late.is_empty() {
        return Ok(());
    }
    Err(Failure::NotInForce {
        version: head.version,
        nodes: late,
    })
}

fn late(seen: &[Answer<NodeStatus>], head: &Head) -> Vec<String> {
    let is_late = |(_, answer): &&Answer<NodeStatus>| !has(answer, head.version, head.digest);
    let late = seen.iter().filter(is_late);
    late.map(|(node, _)| node.clone()).collect()
}

/// Whether a node has the version or a later one in force, and no rival of
/// the same version.
fn has(answer: &std::result::Result<NodeStatus, String>, version: u64, digest: Digest) -> bool {
    answer.as_ref().is_ok_and(|s| {
        s.config_version > version || (s.config_version == version && !s.is_rival(digest))
    })
}

fn phrase(
    answer: &std::result::Result<NodeStatus, String>,
    version: u64,
    digest: Digest,
) -> String {
    match answer {
        Ok(s) if s.config_version == version && s.is_rival(digest) => {
            format!("{} other content as version {version}", s.name)
        }
        Ok(s) if s.config_version < version => {
            format!("{} still at version {}", s.name, s.config_version)
        }
        Ok(s) => format!("{} version {} in force", s.name, s.config_version),
        Err(why) => format!("no answer: {why}"),
    }
}
