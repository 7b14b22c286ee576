//! `explain --logs`: timeline of a request, from the logs of the processes.
//!
//! The log lines of the request are sorted by time, together with events of its
//! upstreams and of the store shortly before and after. A final sentence names
//! the cause of the outcome.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::log_line::{LogLine, parse_line};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};
use std::fmt::Write as _;
use std::io::Read as _;
use std::path::{Path, PathBuf};

/// Maximum number of fleet events shown before the first and after the last line of the request.
const CONTEXT_LINES: usize = 12;

/// Fleet events that may explain the outcome of a request.
const FLEET_EVENTS: [&str; 11] = [
    "upstream_leaves",
    "upstream_removed",
    "upstream_missing",
    "upstream_back",
    "upstream_crashed",
    "store_lost",
    "store_regained",
    "config_adopted",
    "stopping",
    "stopped",
    "started",
];

/// Longest pause between a stream's events that isn't reported as late, in milliseconds.
const MAX_SMOOTH_PAUSE_MS: u64 = 180;

/// Timeline of a request, with the cause of its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub request: String,
    /// Events of the request and of the fleet, in order of time.
    pub lines: Vec<TimelineEvent>,
    /// Cause of the outcome.
    pub cause: String,
}

/// Event in a timeline.
#[derive(Clone, Debug, Serialize)]
pub struct TimelineEvent {
    /// Time as written in the log.
    pub time: String,
    /// Process that logged the event.
    pub process: String,
    /// Event name.
    pub event: String,
    /// Whether the event is about the request itself.
    pub own: bool,
    /// Other keys and values.
    pub pairs: BTreeMap<String, String>,
}

/// Prints the timeline of a request; `-` among the files is standard input.
pub(crate) fn explain_logs(
    files: &[PathBuf],
    id: &str,
    json: bool,
    console: &mut Console<'_>,
) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file)?;
        let name = process_name(file);
        lines.extend(text.lines().filter_map(|line| parse_line(&name, line)));
    }
    let Some(timeline) = build_timeline(lines, id) else {
        return Err(anyhow::anyhow!("no line of these logs is about request {id}").into());
    };
    if json {
        return console.print_json(&timeline);
    }
    for line in &timeline.lines {
        console.print(format_event(line))?;
    }
    console.print(format!("cause: {}", timeline.cause))
}

fn read_text(file: &Path) -> Result<String> {
    let bytes = if file == Path::new("-") {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes)?;
        bytes
    } else {
        let read = std::fs::read(file);
        read.map_err(|e| Failure::Usage(format!("{}: {e}", file.display())))?
    };
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn process_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn format_event(line: &TimelineEvent) -> String {
    let mark = if line.own { ' ' } else { '|' };
    let mut text = format!("{}  {}  {mark} {}", line.time, line.process, line.event);
    for (key, value) in &line.pairs {
        // Writing to a string can't fail.
        let _ = write!(text, "  {key}={value}");
    }
    text
}

/// Builds the timeline of request `id`; returns `None` without a line about it.
#[must_use]
pub fn build_timeline(mut lines: Vec<LogLine>, id: &str) -> Option<Timeline> {
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let is_own = |line: &LogLine| line.req.as_deref() == Some(id);
    let first = lines.iter().position(is_own)?;
    let last = lines.iter().rposition(is_own)?;
    let own: Vec<&LogLine> = lines.iter().filter(|l| is_own(l)).collect();
    let cause = cause_of(&own, &lines);
    let used_upstreams: HashSet<&str> = own.iter().flat_map(|l| upstreams_named(l)).collect();
    let process = own[0].process.as_str();
    let is_fleet_event = |line: &LogLine| {
        let concerns_used_upstream = line
            .get("instance")
            .is_none_or(|i| used_upstreams.contains(i));
        let of_process = line.process == process;
        FLEET_EVENTS.contains(&line.event.as_str()) && concerns_used_upstream && of_process
    };
    let mut before: Vec<&LogLine> = lines[..first]
        .iter()
        .filter(|l| is_fleet_event(l))
        .collect();
    let skipped = before.len().saturating_sub(CONTEXT_LINES);
    before.drain(..skipped);
    let within = lines[first..=last]
        .iter()
        .filter(|l| is_own(l) || is_fleet_event(l));
    let after = lines[last + 1..]
        .iter()
        .filter(|l| is_fleet_event(l))
        .take(CONTEXT_LINES);
    let shown = before.into_iter().chain(within).chain(after);
    Some(Timeline {
        request: id.to_owned(),
        lines: shown.map(|l| timeline_event(l, is_own(l))).collect(),
        cause,
    })
}

fn timeline_event(line: &LogLine, own: bool) -> TimelineEvent {
    TimelineEvent {
        time: line.time.clone(),
        process: line.process.clone(),
        event: line.event.clone(),
        own,
        pairs: line.pairs.iter().cloned().collect(),
    }
}

/// Returns the upstreams named in a line.
fn upstreams_named(line: &LogLine) -> impl Iterator<Item = &str> {
    ["instance", "from", "to"]
        .into_iter()
        .filter_map(|key| line.get(key))
}

/// Describes the cause of the outcome, looking backwards from the request's last line.
fn cause_of(own: &[&LogLine], all: &[LogLine]) -> String {
    let last_of = |event: &str| own.iter().rev().find(|l| l.event == event);
    if let Some(line) = last_of("refused_for_part") {
        let of = |key| line.get(key).unwrap_or("?");
        return format!(
            "part {} of its prompt crashes upstreams: {} ended, the last {} ms before",
            of("part"),
            of("crashes"),
            of("age_ms")
        );
    }
    if let Some(line) = last_of("refused") {
        return format!("refused before it was sent: {}", code_of(line));
    }
    if let Some(line) = last_of("stream_cut") {
        return cut_cause(line, own, all);
    }
    if let Some(line) = last_of("no_room") {
        let memory = line.get("memory").unwrap_or("?");
        return format!("refused as not run: the best engine's memory was reserved to {memory}");
    }
    let answered = last_of("answered");
    if let Some(line) = answered.filter(|l| l.get("code") != Some("3000")) {
        let last_attempt = own.iter().rev().find(|l| l.event == "try_failed");
        let attempt_phrase = last_attempt.map_or(String::new(), |t| {
            let instance = t.get("instance").unwrap_or("?");
            let outcome = t.get("outcome").unwrap_or("?");
            format!(
                "; last attempt at {instance}: {outcome}, {}",
                t.get("why").unwrap_or("")
            )
        });
        return format!("{}{attempt_phrase}", code_of(line));
    }
    if let Some(line) = last_of("stream_ended") {
        return ended_cause(line);
    }
    match answered {
        Some(line) if line.get("status").is_some_and(|s| s.starts_with('5')) => {
            format!(
                "the upstream answered {}",
                line.get("status").unwrap_or("?")
            )
        }
        Some(line) => format!("served after {} ms", line.get("age_ms").unwrap_or("?")),
        None => "no final line: the process was killed, or its log is missing".to_owned(),
    }
}

fn code_of(line: &LogLine) -> String {
    let number = line.get("code").and_then(|c| c.parse().ok());
    let code = number.and_then(fireflycroft::Code::from_number);
    code.map_or_else(
        || "without a code".to_owned(),
        |code| format!("{} {}", code.number(), code.phrase()),
    )
}

/// Describes why a stream was cut: how its upstream ended, and why it wasn't resumed elsewhere.
fn cut_cause(line: &LogLine, own: &[&LogLine], all: &[LogLine]) -> String {
    let instance = line.get("instance").unwrap_or("?");
    let has_upstream_event = |event: &str| {
        let mut of_event = all.iter().filter(|l| l.event == event);
        of_event.any(|l| l.get("instance") == Some(instance))
    };
    let end = if has_upstream_event("upstream_leaves") {
        "which had announced its departure"
    } else if has_upstream_event("upstream_crashed") || has_upstream_event("upstream_removed") {
        "which crashed"
    } else {
        "whose connection was lost"
    };
    let has_own_event = |event: &str| own.iter().any(|l| l.event == event);
    let refused = own.iter().rev().find(|l| l.event == "go_on_refused");
    let next = if has_own_event("budget_spent") {
        "the retry budget was exhausted".to_owned()
    } else if let Some(refused) = refused {
        let holder = refused.get("instance").unwrap_or("?");
        format!(
            "its memory backup at {holder} could not be used: {}",
            refused.get("why").unwrap_or("?")
        )
    } else if let Some(copy) = own
        .iter()
        .rev()
        .find(|l| l.event.starts_with("standby_copy"))
    {
        let end = copy.get("end").or_else(|| copy.get("reason"));
        format!("its standby copy was of no use: {}", end.unwrap_or("?"))
    } else if let Some(migration) = own.iter().rev().find(|l| l.event == "run_moved") {
        format!(
            "it was not migrated: {}",
            migration.get("outcome").unwrap_or("?")
        )
    } else {
        "there was no copy of its memory".to_owned()
    };
    let events = line.get("events").unwrap_or("?");
    format!("cut after {events} events by the end of {instance}, {end}; {next}")
}

fn ended_cause(line: &LogLine) -> String {
    let number = |key: &str| line.get(key).and_then(|v| v.parse::<u64>().ok());
    let first = number("first_ms").unwrap_or(0);
    let pause = number("longest_pause_ms").unwrap_or(0);
    let breaks = number("breaks").unwrap_or(0);
    let resumed = if breaks > 0 {
        format!(", after resuming elsewhere {breaks} times")
    } else {
        String::new()
    };
    if pause > MAX_SMOOTH_PAUSE_MS {
        return format!("served in full, late by a pause of {pause} ms{resumed}");
    }
    format!("served in full, first event after {first} ms{resumed}")
}
