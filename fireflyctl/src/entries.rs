//! `entries`: state of the direct entries, and their views of upstreams and of each other.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Answer, Fleet};
use crate::table::Table;
use fireflycroft::{EntryOverview, PeerOverview, UpstreamOverview};

/// Path of an entry's overview on its admin port.
const OVERVIEW_PATH: &str = "/fleet/overview";

/// Placeholder for an unknown value.
const UNKNOWN: &str = "-";

/// Table to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// One row per entry.
    Status,
    /// One row per upstream known to an entry.
    Upstreams,
    /// One row per other entry known to an entry.
    Peers,
}

/// Prints the view of all entries; fails when an entry didn't answer.
pub(crate) async fn show(
    view: View,
    fleet: &Fleet,
    as_json: bool,
    console: &mut Console<'_>,
) -> Result<()> {
    fleet.require_nodes()?;
    let answers: Vec<Answer<EntryOverview>> = fleet.query_all(OVERVIEW_PATH).await;
    if as_json {
        console.print(to_json(view, &answers))?;
    } else {
        console.print(table(view, &answers))?;
    }
    let silent = answers.into_iter().filter(|(_, answer)| answer.is_err());
    let silent: Vec<String> = silent.map(|(node, _)| node).collect();
    if silent.is_empty() {
        return Ok(());
    }
    Err(Failure::NoAnswer(silent))
}

/// Releases a refused part of prompts at all entries given; each tells the others.
pub(crate) async fn release(part: u64, fleet: &Fleet, console: &mut Console<'_>) -> Result<()> {
    fleet.require_nodes()?;
    let mut table = Table::new(&["node", "part", "result"]);
    for node in fleet.nodes() {
        let released = fleet.release_part(node, part).await?;
        let result = if released { "released" } else { "not refused" };
        table.row([node.as_str(), &format!("{part:x}"), result]);
    }
    console.print(table)
}

fn to_json(view: View, answers: &[Answer<EntryOverview>]) -> serde_json::Value {
    let row_json = |(node, answer): &Answer<EntryOverview>| match (answer, view) {
        (Err(error), _) => serde_json::json!({"node": node, "error": error}),
        (Ok(entry), View::Status) => {
            let without_lists = EntryOverview {
                upstreams: Vec::new(),
                peers: Vec::new(),
                ..entry.clone()
            };
            serde_json::json!({"node": node, "entry": without_lists})
        }
        (Ok(entry), View::Upstreams) => {
            serde_json::json!({"node": node, "upstreams": entry.upstreams})
        }
        (Ok(entry), View::Peers) => serde_json::json!({"node": node, "peers": entry.peers}),
    };
    answers.iter().map(row_json).collect()
}

fn table(view: View, answers: &[Answer<EntryOverview>]) -> Table {
    let mut table = Table::new(column_titles(view));
    for (node, answer) in answers {
        match (answer, view) {
            (Err(error), _) => table.row([node.as_str(), UNKNOWN, error]),
            (Ok(entry), View::Status) => table.row(entry_cells(node, entry)),
            (Ok(entry), View::Upstreams) => {
                for upstream in &entry.upstreams {
                    table.row(upstream_cells(node, upstream));
                }
            }
            (Ok(entry), View::Peers) => {
                for peer in &entry.peers {
                    table.row(peer_cells(node, peer));
                }
            }
        }
    }
    table
}

const fn column_titles(view: View) -> &'static [&'static str] {
    match view {
        View::Status => &[
            "node",
            "name",
            "data centre",
            "stage",
            "ready",
            "config",
            "config age s",
            "store",
            "store era",
            "evacuated",
            "calls",
            "streams",
            "upstreams",
            "peers",
        ],
        View::Upstreams => &[
            "node",
            "instance",
            "service",
            "address",
            "data centre",
            "state",
            "running",
            "memory",
            "unread",
            "failing",
            "pace",
            "reported ms ago",
            "owners",
        ],
        View::Peers => &[
            "node",
            "name",
            "address",
            "received ms ago",
            "store",
            "state",
        ],
    }
}

fn entry_cells(node: &str, entry: &EntryOverview) -> [String; 14] {
    let age = entry.config_age_ms.map(|ms| ms / 1_000);
    let serving = entry.upstreams.iter().filter(|u| u.serves).count();
    let peers_seen = entry.peers.iter().filter(|p| p.heard_ms.is_some()).count();
    [
        node.to_owned(),
        entry.name.to_string(),
        entry.data_centre.to_string(),
        entry.stage.clone(),
        yes_or_no(entry.ready),
        entry.config.to_string(),
        or_unknown(age),
        store_phrase(entry.watches, entry.store_answers).to_owned(),
        entry.store_era.to_string(),
        entry.evacuated.join(" "),
        entry.calls.to_string(),
        entry.streams.to_string(),
        serving.to_string(),
        peers_seen.to_string(),
    ]
}

const fn store_phrase(watches: bool, answers: bool) -> &'static str {
    match (watches, answers) {
        (true, true) => "watches",
        (true, false) => "lost",
        (false, _) => "via other entries",
    }
}

fn upstream_cells(node: &str, upstream: &UpstreamOverview) -> [String; 13] {
    let owners = upstream.owners.iter().map(ToString::to_string);
    let owners: Vec<String> = owners.collect();
    [
        node.to_owned(),
        upstream.instance.to_string(),
        upstream.service.to_string(),
        upstream.addr.to_string(),
        upstream.data_centre.to_string(),
        state_name(upstream).to_owned(),
        upstream.running.to_string(),
        format!("{:.2}", upstream.memory),
        upstream.unread.to_string(),
        format!("{:.2}", upstream.failing),
        format!("{:.2}", upstream.pace),
        upstream.told_age_ms.to_string(),
        owners.join(" "),
    ]
}

const fn state_name(upstream: &UpstreamOverview) -> &'static str {
    match upstream {
        u if !u.serves => "leaving",
        u if u.evacuated => "evacuated",
        u if u.cold_ms > 0 => "cold",
        u if u.rate_limit.is_some() => "limited",
        _ => "serving",
    }
}

fn peer_cells(node: &str, peer: &PeerOverview) -> [String; 6] {
    let name = if peer.name.is_empty() {
        UNKNOWN.to_owned()
    } else {
        peer.name.to_string()
    };
    [
        node.to_owned(),
        name,
        peer.ip.to_string(),
        or_unknown(peer.heard_ms),
        if peer.watches { "watches" } else { UNKNOWN }.to_owned(),
        if peer.leaving { "leaving" } else { "serving" }.to_owned(),
    ]
}

fn or_unknown(number: Option<u64>) -> String {
    number.map_or_else(|| UNKNOWN.to_owned(), |f| f.to_string())
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
