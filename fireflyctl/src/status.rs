//! `status`: table with the state of every node.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Fleet, NodeStatus};
use crate::table::Table;

/// Placeholder for a value that a node doesn't report.
const UNKNOWN: &str = "-";

/// Prints the table; fails when a node didn't answer.
pub(crate) async fn status(fleet: &Fleet, console: &mut Console<'_>) -> Result<()> {
    fleet.require_nodes()?;
    let mut table = Table::new(&[
        "node",
        "name",
        "role",
        "data centre",
        "ready",
        "config",
        "streams",
        "queue",
        "leaving",
    ]);
    let mut silent = Vec::new();
    let readiness = fleet.readiness().await;
    for ((node, answer), ready) in fleet.statuses().await.into_iter().zip(readiness) {
        match answer {
            Ok(status) => table.row(cells(node, &status, ready)),
            Err(error) => {
                table.row([node.as_str(), UNKNOWN, UNKNOWN, UNKNOWN, &error]);
                silent.push(node);
            }
        }
    }
    console.print(table)?;
    if silent.is_empty() {
        return Ok(());
    }
    Err(Failure::NoAnswer(silent))
}

fn cells(node: String, status: &NodeStatus, ready: String) -> [String; 9] {
    let or_unknown = |text: &str| if text.is_empty() { UNKNOWN } else { text }.to_owned();
    [
        node,
        or_unknown(&status.name),
        or_unknown(&status.role),
        or_unknown(&status.data_centre),
        ready,
        status.config_version.to_string(),
        status.streams.to_string(),
        status.queue.to_string(),
        if status.leaving { "yes" } else { "no" }.to_owned(),
    ]
}
