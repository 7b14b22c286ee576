//! `explain`: what happened to a request, from the journals of the nodes.
//!
//! Each node keeps recent events with the time of its own clock, so that the order
//! of events of different nodes is only as exact as their clocks.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Event in a node's journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct JournalEvent {
    /// Time by the node's clock, in milliseconds since 1970.
    at_ms: u64,
    /// Name of the node.
    #[serde(default)]
    node: String,
    /// Event name.
    event: String,
    /// Other fields of the event.
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Prints the events of all nodes in order of time.
pub(crate) async fn explain(
    fleet: &Fleet,
    id: &str,
    json: bool,
    console: &mut Console<'_>,
) -> Result<()> {
    fleet.require_nodes()?;
    if fireflycroft::parse_request_id(id).is_none() {
        return Err(Failure::Usage(format!("{id:?} is not a request id")));
    }
    let mut events: Vec<JournalEvent> = Vec::new();
    let mut silent = Vec::new();
    for (node, answer) in fleet.query_all(&format!("/explain/{id}")).await {
        match answer {
            Ok(more) => events.extend::<Vec<JournalEvent>>(more),
            Err(error) => {
                console.warn(format!("{node} didn't answer: {error}"))?;
                silent.push(node);
            }
        }
    }
    events.sort_by_key(|event| event.at_ms);
    if json {
        console.print_json(&events)?;
    } else {
        print_events(&events, console)?;
    }
    match (events.is_empty(), silent.is_empty()) {
        (_, false) => Err(Failure::NoAnswer(silent)),
        (true, true) => Err(anyhow::anyhow!("no node knows of request {id}").into()),
        (false, true) => Ok(()),
    }
}

fn print_events(events: &[JournalEvent], console: &mut Console<'_>) -> Result<()> {
    let start = events.first().map_or(0, |event| event.at_ms);
    for event in events {
        let offset_ms = event.at_ms - start;
        let JournalEvent {
            node,
            event,
            fields,
            ..
        } = event;
        console.print(format!(
            "+{offset_ms} ms  {node}  {event}{}",
            Fields(fields)
        ))?;
    }
    Ok(())
}

/// Formats the fields of an event as `key=value`.
struct Fields<'a>(&'a Map<String, Value>);

impl std::fmt::Display for Fields<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let shown = self.0.iter().filter(|(_, value)| !value.is_null());
        for (key, value) in shown {
            write!(f, "  {key}={value}")?;
        }
        Ok(())
    }
}
