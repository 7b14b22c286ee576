//! `explain`: what happened to one request, from every node that knows of it.
//!
//! Each node keeps notes of late with its own clock, so that the order of
//! notes of different nodes is only as good as their clocks.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One note of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct JournalNote {
    /// When, in milliseconds since 1970, by the node's clock.
    at_ms: u64,
    /// The node.
    #[serde(default)]
    node: String,
    /// What happened.
    event: String,
    /// What goes with it.
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// Prints the notes of all nodes in order of time.
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
    let mut events: Vec<JournalNote> = Vec::new();
    let mut silent = Vec::new();
    for (node, answer) in fleet.query_all(&format!("/explain/{id}")).await {
        match answer {
            Ok(more) => events.extend::<Vec<JournalNote>>(more),
            Err(why) => {
                console.warn(format!("{node} didn't answer: {why}"))?;
                silent.push(node);
            }
        }
    }
    events.sort_by_key(|event| event.at_ms);
    if json {
        console.json(&events)?;
    } else {
        print(&events, console)?;
    }
    match (events.is_empty(), silent.is_empty()) {
        (_, false) => Err(Failure::NoAnswer(silent)),
        (true, true) => Err(anyhow::anyhow!("no node knows of request {id}").into()),
        (false, true) => Ok(()),
    }
}

fn print(events: &[JournalNote], console: &mut Console<'_>) -> Result<()> {
    let start = events.first().map_or(0, |event| event.at_ms);
    for event in events {
        let after = event.at_ms - start;
        let JournalNote {
            node, event, rest, ..
        } = event;
        console.say(format!("+{after} ms  {node}  {event}{}", Rest(rest)))?;
    }
    Ok(())
}

/// What goes with an event, as `key=value`.
struct Rest<'a>(&'a Map<String, Value>);

impl std::fmt::Display for Rest<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let told = self.0.iter().filter(|(_, value)| !value.is_null());
        for (key, value) in told {
            write!(f, "  {key}={value}")?;
        }
        Ok(())
    }
}
