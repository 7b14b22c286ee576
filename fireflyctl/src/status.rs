//! `status`: how every node stands, in one table.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Fleet, NodeStatus};
use crate::table::Table;

/// What stands for something that a node doesn't tell.
const UNTOLD: &str = "-";

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
            Err(why) => {
                table.row([node.as_str(), UNTOLD, UNTOLD, UNTOLD, &why]);
                silent.push(node);
            }
        }
    }
    console.say(table)?;
    if silent.is_empty() {
        return Ok(());
    }
    Err(Failure::NoAnswer(silent))
}

fn cells(node: String, status: &NodeStatus, ready: String) -> [String; 9] {
    let told = |text: &str| if text.is_empty() { UNTOLD } else { text }.to_owned();
    [
        node,
        told(&status.name),
        told(&status.role),
        told(&status.data_centre),
        ready,
        status.config_version.to_string(),
        status.streams.to_string(),
        status.queue.to_string(),
        if status.leaving { "yes" } else { "no" }.to_owned(),
    ]
}
