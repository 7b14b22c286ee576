//! Burn rate of each goal's error budget.
//!
//! An objective allows a number of requests in a thousand to miss it: the error
//! budget. The burn rate of a window is the share of requests that missed the
//! objective, divided by the allowed share: at 1 the budget lasts exactly its
//! period, at 10 a tenth of it. A short and a long window together distinguish
//! a continuing fast burn from one that is over.

use crate::record::Interval;
use crate::scrape::{Goal, Tally};
use fireflycroft::{Code, Objective, Rules};
use serde::Serialize;
use std::collections::BTreeMap;

/// Windows of a report: name and length in seconds, shortest first.
pub const WINDOWS: [(&str, u64); 4] = [("5m", 300), ("1h", 3_600), ("6h", 21_600), ("3d", 259_200)];
/// Burn rate over 5 minutes and an hour that requires immediate attention: it
/// uses up a month's budget in two days.
pub const PAGE_BURN_RATE: f64 = 14.4;
/// Burn rate over 6 hours and 3 days that requires attention, but not at once.
pub const TICKET_BURN_RATE: f64 = 1.0;
/// Maximum number of causes in the report of a goal.
const MAX_CAUSES_SHOWN: usize = 5;

/// Report on a record.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Start of the record, in milliseconds since 1970.
    pub from_ms: u64,
    /// End of the record, in milliseconds since 1970.
    pub to_ms: u64,
    /// Number of nodes that answered the last scrape.
    pub nodes: usize,
    /// Number of nodes that didn't.
    pub silent: usize,
    /// Reports by brand and priority.
    pub goals: Vec<GoalReport>,
}

/// Report on a goal.
#[derive(Clone, Debug, Serialize)]
pub struct GoalReport {
    /// The goal.
    #[serde(flatten)]
    pub goal: Goal,
    /// Objective; `None` when the rules hold none.
    pub objective: Option<Objective>,
    /// Windows that the record reaches into, shortest first.
    pub windows: Vec<WindowReport>,
    /// Remaining share of the longest window's budget, negative when it is
    /// overspent; `None` without objective, requests or budget.
    pub budget_left: Option<f64>,
    /// Urgency of the burn.
    pub alert: Alert,
    /// Result codes of failed requests in the longest window, most frequent first.
    pub causes: Vec<Cause>,
    /// Lower bound of the requests in the longest window that were answered in
    /// full but missed the objective.
    pub late: u64,
}

/// Report on a window of a goal.
#[derive(Clone, Debug, Serialize)]
pub struct WindowReport {
    /// Name of the window.
    pub window: &'static str,
    /// Length in seconds.
    pub seconds: u64,
    /// Seconds covered by the record.
    pub covered_seconds: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that missed the objective.
    pub missed: u64,
    /// Burn rate; `None` without objective or requests. Infinite, and `null` in
    /// JSON, when requests missed an objective that allows no miss.
    pub burn: Option<f64>,
}

/// Failed requests with the same result code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// Result code.
    pub code: u32,
    /// Meaning of the code.
    pub phrase: &'static str,
    /// Number of requests.
    pub count: u64,
}

/// Urgency of a burn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Needs no attention.
    None,
    /// Needs attention, but not at once.
    Ticket,
    /// Needs immediate attention.
    Page,
}

impl Alert {
    /// Returns the name of the alert.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// Reports on all goals of a record; returns `None` when it is empty.
#[must_use]
pub fn report(record: &[Interval], rules: &Rules) -> Option<Report> {
    let (first, last) = (record.first()?, record.last()?);
    let goals = goals(record, rules);
    let goals = goals
        .into_iter()
        .map(|goal| goal_report(goal, record, rules));
    Some(Report {
        from_ms: first.from_ms,
        to_ms: last.to_ms,
        nodes: last.nodes,
        silent: last.silent,
        goals: goals.collect(),
    })
}

/// Returns the burn rate of a tally under an objective; `None` without requests.
#[must_use]
pub fn burn_rate(tally: &Tally, objective: &Objective) -> Option<f64> {
    let total = tally.total();
    if total == 0 {
        return None;
    }
    if tally.missed == 0 {
        return Some(0.0);
    }
    Some(share(tally.missed, total) / allowed_miss_share(objective))
}

/// Returns the goals named in the record or the rules, sorted and unique.
fn goals(record: &[Interval], rules: &Rules) -> Vec<Goal> {
    let seen = record
        .iter()
        .flat_map(|i| i.goals.iter().map(|g| g.goal.clone()));
    let named = rules.objectives.iter().filter_map(|o| {
        let brand = o.brand.as_ref()?.to_string();
        Some(Goal {
            brand,
            priority: o.priority,
        })
    });
    let mut goals: Vec<Goal> = seen.chain(named).collect();
    goals.sort();
    goals.dedup();
    goals
}

fn goal_report(goal: Goal, record: &[Interval], rules: &Rules) -> GoalReport {
    let objective = rules.objective(&goal.brand, goal.priority).cloned();
    let windows = window_reports(&goal, record, objective.as_ref());
    let longest = windows.last().map_or(0, |w| w.seconds);
    let total_tally = window_tally(&goal, record, longest);
    let causes = causes(&total_tally.by_code);
    let failed: u64 = failed_by_code(&total_tally.by_code)
        .map(|(_, count)| count)
        .sum();
    GoalReport {
        budget_left: objective
            .as_ref()
            .and_then(|o| budget_left(&total_tally, o)),
        alert: alert(&windows),
        late: total_tally.missed.saturating_sub(failed),
        goal,
        objective,
        windows,
        causes,
    }
}

/// Reports on the windows, up to the first that covers the whole record.
fn window_reports(
    goal: &Goal,
    record: &[Interval],
    objective: Option<&Objective>,
) -> Vec<WindowReport> {
    let recorded = recorded_seconds(record);
    let mut reports = Vec::new();
    for (window, seconds) in WINDOWS {
        let tally = window_tally(goal, record, seconds);
        reports.push(WindowReport {
            window,
            seconds,
            covered_seconds: recorded.min(seconds),
            requests: tally.total(),
            missed: tally.missed,
            burn: objective.and_then(|o| burn_rate(&tally, o)),
        });
        if seconds >= recorded {
            break;
        }
    }
    reports
}

fn recorded_seconds(record: &[Interval]) -> u64 {
    let from = record.first().map_or(0, |i| i.from_ms);
    let to = record.last().map_or(0, |i| i.to_ms);
    to.saturating_sub(from) / 1_000
}

/// Sums the requests of a goal in the last `seconds`; an interval across the
/// start of the window counts in full.
pub(crate) fn window_tally(goal: &Goal, record: &[Interval], seconds: u64) -> Tally {
    let to = record.last().map_or(0, |i| i.to_ms);
    let from = to.saturating_sub(seconds * 1_000);
    let inside = record.iter().rev().take_while(|i| i.to_ms > from);
    let mut sum = Tally::default();
    for growth in inside.flat_map(|i| &i.goals).filter(|g| g.goal == *goal) {
        sum.add(&growth.tally);
    }
    sum
}

fn budget_left(tally: &Tally, objective: &Objective) -> Option<f64> {
    if allowed_miss_share(objective) == 0.0 {
        return None;
    }
    burn_rate(tally, objective).map(|burn| 1.0 - burn)
}

fn alert(windows: &[WindowReport]) -> Alert {
    let burns_at = |name: &str, threshold: f64| {
        let window = windows.iter().find(|w| w.window == name);
        window.is_some_and(|w| w.burn.is_some_and(|burn| burn >= threshold))
    };
    if burns_at("5m", PAGE_BURN_RATE) && burns_at("1h", PAGE_BURN_RATE) {
        Alert::Page
    } else if burns_at("6h", TICKET_BURN_RATE) && burns_at("3d", TICKET_BURN_RATE) {
        Alert::Ticket
    } else {
        Alert::None
    }
}

fn causes(by_code: &BTreeMap<u32, u64>) -> Vec<Cause> {
    let mut causes: Vec<Cause> = failed_by_code(by_code)
        .map(|(code, count)| Cause {
            code,
            phrase: Code::from_number(code).map_or("unknown code", Code::phrase),
            count,
        })
        .collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.count));
    causes.truncate(MAX_CAUSES_SHOWN);
    causes
}

fn failed_by_code(by_code: &BTreeMap<u32, u64>) -> impl Iterator<Item = (u32, u64)> {
    let ok = Code::Ok.number();
    let all = by_code.iter().map(|(code, count)| (*code, *count));
    all.filter(move |(code, count)| *code != ok && *count > 0)
}

/// Returns the share of requests that may miss the objective.
fn allowed_miss_share(objective: &Objective) -> f64 {
    f64::from(1_000_u32.saturating_sub(objective.per_mille)) / 1_000.0
}

#[allow(clippy::cast_precision_loss, reason = "counts of requests")]
fn share(part: u64, total: u64) -> f64 {
    part as f64 / total as f64
}
