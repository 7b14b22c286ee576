//! Records of the growth of the fleet's counters, with a line of JSON per interval.
//!
//! A record holds the growth over all nodes instead of each node's counters, so
//! that a record of days stays small at any size of the fleet. A new node counts
//! from its first scrape on, as its start time is unknown; the growth of a silent
//! node is added when it answers again.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use crate::scrape::{Goal, Tallies, Tally, parse_metrics};
use anyhow::Context;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// Growth in an interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Start of the interval, in milliseconds since 1970.
    pub from_ms: u64,
    /// End of the interval, in milliseconds since 1970.
    pub to_ms: u64,
    /// Number of nodes that answered at the end.
    pub nodes: usize,
    /// Number of nodes that didn't.
    pub silent: usize,
    /// Growth by goal.
    pub goals: Vec<GoalTally>,
}

/// Growth of a goal's counters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoalTally {
    /// The goal.
    #[serde(flatten)]
    pub goal: Goal,
    /// Growth.
    pub tally: Tally,
}

/// Converts scrapes of the nodes into intervals.
#[derive(Debug, Default)]
pub struct Recorder {
    last_scrape_ms: Option<u64>,
    nodes: BTreeMap<String, Tallies>,
}

impl Recorder {
    /// Adds a scrape of all nodes; returns the interval since the previous one,
    /// or `None` for the first.
    pub fn add_scrape(
        &mut self,
        scrape_ms: u64,
        answered: impl IntoIterator<Item = (String, Tallies)>,
        silent: usize,
    ) -> Option<Interval> {
        let mut total_growth = Tallies::new();
        let mut nodes = 0;
        for (node, tallies) in answered {
            nodes += 1;
            if let Some(before) = self.nodes.get(&node) {
                add_growth(&mut total_growth, before, &tallies);
            }
            self.nodes.insert(node, tallies);
        }
        let from_ms = self.last_scrape_ms.replace(scrape_ms)?;
        let goals = total_growth.into_iter();
        Some(Interval {
            from_ms,
            to_ms: scrape_ms,
            nodes,
            silent,
            goals: goals
                .map(|(goal, tally)| GoalTally { goal, tally })
                .collect(),
        })
    }
}

fn add_growth(total_growth: &mut Tallies, before: &Tallies, now: &Tallies) {
    let none = Tally::default();
    for (goal, tally) in now {
        let before = before.get(goal).unwrap_or(&none);
        let growth = tally.growth_since(before);
        total_growth.entry(goal.clone()).or_default().add(&growth);
    }
}

/// Scrapes the nodes at regular intervals and appends the growth to the file.
pub(crate) async fn record(
    fleet: &Fleet,
    path: &Path,
    scrape_interval: Duration,
    max_duration: Option<Duration>,
    console: &mut Console<'_>,
) -> Result<()> {
    fleet.require_nodes()?;
    let deadline = max_duration.map(|max_duration| Instant::now() + max_duration);
    let mut recorder = Recorder::default();
    loop {
        if let Some(interval) = scrape(fleet, &mut recorder, console).await? {
            append(path, &interval)?;
        }
        if deadline.is_some_and(|deadline| Instant::now() + scrape_interval > deadline) {
            return Ok(());
        }
        tokio::time::sleep(scrape_interval).await;
    }
}

/// Scrapes the nodes once.
pub(crate) async fn scrape(
    fleet: &Fleet,
    recorder: &mut Recorder,
    console: &mut Console<'_>,
) -> Result<Option<Interval>> {
    let mut answered = Vec::new();
    let mut silent = Vec::new();
    for (node, answer) in fleet.metrics().await {
        match answer {
            Ok(text) => answered.push((node, parse_metrics(&text))),
            Err(error) => {
                console.warn(format!("{node} didn't answer: {error}"))?;
                silent.push(node);
            }
        }
    }
    if answered.is_empty() {
        return Err(Failure::NoAnswer(silent));
    }
    Ok(recorder.add_scrape(unix_ms_now(), answered, silent.len()))
}

/// Reads a record, without a last line that was cut off.
pub(crate) fn read(path: &Path) -> Result<Vec<Interval>> {
    let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut intervals = Vec::new();
    for (i, line) in complete_lines.lines().enumerate() {
        let interval =
            serde_json::from_str(line).with_context(|| format!("{}:{}", path.display(), i + 1))?;
        intervals.push(interval);
    }
    Ok(intervals)
}

fn append(path: &Path, interval: &Interval) -> Result<()> {
    let mut line = serde_json::to_vec(interval).map_err(anyhow::Error::from)?;
    line.push(b'\n');
    let mut f = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("{}", path.display()))?;
    f.write_all(&line)?;
    Ok(())
}

/// Returns the current time, in milliseconds since 1970.
pub(crate) fn unix_ms_now() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
