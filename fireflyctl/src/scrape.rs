//! Parser of the counters for burn reports in a node's metrics.
//!
//! The metrics are text in the Prometheus format. Two counters are read: requests
//! by result code, and requests by whether they met their objective.

use fireflycroft::Priority;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counter of requests by brand, priority and result code.
const REQUESTS_COUNTER: &str = "firefly_requests_total";
/// Counter of requests by brand, priority and whether they met the objective.
const OBJECTIVE_COUNTER: &str = "firefly_objective_total";

/// Brand and priority whose requests are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Goal {
    /// Brand.
    pub brand: String,
    /// Priority.
    pub priority: Priority,
}

/// Request counts of a goal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of requests that met the objective.
    pub met: u64,
    /// Number of requests that missed it.
    pub missed: u64,
    /// Number of requests by result code.
    pub by_code: BTreeMap<u32, u64>,
}

/// Request counts by goal.
pub type Tallies = BTreeMap<Goal, Tally>;

/// Parses the counters of a node; ignores all other lines.
#[must_use]
pub fn parse_metrics(text: &str) -> Tallies {
    let mut tallies = Tallies::new();
    for sample in text.lines().filter_map(parse_sample) {
        add_sample(&mut tallies, &sample);
    }
    tallies
}

impl Tally {
    /// Returns the number of requests that met or missed the objective.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.met + self.missed
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.met += other.met;
        self.missed += other.missed;
        for (code, count) in &other.by_code {
            *self.by_code.entry(*code).or_default() += count;
        }
    }

    /// Returns the growth since `before`; a counter that fell was reset to zero.
    #[must_use]
    pub fn growth_since(&self, before: &Self) -> Self {
        let code = |(code, count): (&u32, &u64)| {
            let old = before.by_code.get(code).copied().unwrap_or(0);
            (*code, counter_growth(*count, old))
        };
        Self {
            met: counter_growth(self.met, before.met),
            missed: counter_growth(self.missed, before.missed),
            by_code: self.by_code.iter().map(code).collect(),
        }
    }
}

const fn counter_growth(now: u64, before: u64) -> u64 {
    if now < before { now } else { now - before }
}

/// Sample of a counter.
struct Sample<'a> {
    name: &'a str,
    labels: BTreeMap<&'a str, String>,
    value: u64,
}

fn add_sample(tallies: &mut Tallies, sample: &Sample<'_>) -> Option<()> {
    let priority = match sample.labels.get("priority")?.as_str() {
        "interactive" => Priority::Interactive,
        "batch" => Priority::Batch,
        _ => return None,
    };
    let goal = Goal {
        brand: sample.labels.get("brand")?.clone(),
        priority,
    };
    match sample.name {
        OBJECTIVE_COUNTER => {
            let met = sample.labels.get("met")? == "true";
            let tally = tallies.entry(goal).or_default();
            let count = if met {
                &mut tally.met
            } else {
                &mut tally.missed
            };
            *count += sample.value;
        }
        REQUESTS_COUNTER => {
            let code = sample.labels.get("code")?.parse().ok()?;
            let tally = tallies.entry(goal).or_default();
            *tally.by_code.entry(code).or_default() += sample.value;
        }
        _ => {}
    }
    Some(())
}

/// Parses `name{label="value",…} value`, optionally followed by a time.
fn parse_sample(line: &str) -> Option<Sample<'_>> {
    let (name, rest) = line.split_once('{')?;
    if name != REQUESTS_COUNTER && name != OBJECTIVE_COUNTER {
        return None;
    }
    let (labels, rest) = parse_labels(rest)?;
    let value: f64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample {
        name,
        labels,
        value: to_count(value)?,
    })
}

/// Parses labels up to the closing brace; returns them with the rest.
fn parse_labels(mut rest: &str) -> Option<(BTreeMap<&str, String>, &str)> {
    let mut labels = BTreeMap::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(rest) = rest.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, value) = rest.split_once("=\"")?;
        let (text, after) = parse_label_value(value)?;
        labels.insert(name.trim(), text);
        rest = after;
    }
}

/// Parses a label value up to its closing quote, resolving escapes.
fn parse_label_value(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(match chars.next()?.1 {
                'n' => '\n',
                other => other,
            }),
            _ => value.push(c),
        }
    }
    None
}

/// Converts a counter's value, which is an integer.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be in range"
)]
fn to_count(value: f64) -> Option<u64> {
    const MAX_EXACT_COUNT: f64 = 9_007_199_254_740_992.0;
    (0.0..=MAX_EXACT_COUNT)
        .contains(&value)
        .then_some(value as u64)
}
