//! How fast each goal burns its error budget.
//!
//! An objective allows some requests in a thousand to miss it; those are its
//! error budget. The burn rate of a window is the share of requests that
//! missed, over the share that may: at 1 the budget lasts just as long as it
//! should, at 10 a tenth of that. A short and a long window together tell a
//! fast burn that goes on from one that is over.

use crate::record::Interval;
use crate::scrape::{Goal, Tally};
use fireflycroft::{Code, Objective, Rules};
use serde::Serialize;
use std::collections::BTreeMap;

/// Windows of a report, shortest first: name and length in seconds.
pub const WINDOWS: [(&str, u64); 4] = [("5m", 300), ("1h", 3_600), ("6h", 21_600), ("3d", 259_200)];
/// Burn over 5 minutes and an hour at which somebody should look at once: a
/// month's budget would be gone in two days.
pub const PAGE_BURN_RATE: f64 = 14.4;
/// Burn over 6 hours and 3 days at which somebody should look some time.
pub const TICKET_BURN_RATE: f64 = 1.0;
/// Causes shown of each goal.
const MAX_CAUSES_SHOWN: usize = 5;

/// A report over a record.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Beginning of the record, in milliseconds since 1970.
    pub from_ms: u64,
    /// Its end, in milliseconds since 1970.
    pub to_ms: u64,
    /// Nodes that answered last.
    pub nodes: usize,
    /// Nodes that didn't.
    pub silent: usize,
    /// The goals, by brand and priority.
    pub goals: Vec<GoalReport>,
}

/// How one goal stands.
#[derive(Clone, Debug, Serialize)]
pub struct GoalReport {
    /// The goal.
    #[serde(flatten)]
    pub goal: Goal,
    /// Its objective; `None` when the rules hold none.
    pub objective: Option<Objective>,
    /// The windows, shortest first, as far as the record goes.
    pub windows: Vec<WindowReport>,
    /// Share of the longest window's budget that is left, below zero when it
    /// is overspent; `None` without objective, requests or budget.
    pub budget_left: Option<f64>,
    /// Whether somebody should look.
    pub alert: Alert,
    /// Result codes of failed requests in the longest window, worst first.
    pub causes: Vec<Cause>,
    /// Requests that were answered in full and missed the objective all the
    /// same: at least so many in the longest window.
    pub late: u64,
}

/// One window of a goal.
#[derive(Clone, Debug, Serialize)]
pub struct WindowReport {
    /// Name of the window.
    pub window: &'static str,
    /// Its length in seconds.
    pub seconds: u64,
    /// Seconds of it that the record covers.
    pub covered_seconds: u64,
    /// Requests.
    pub requests: u64,
    /// Requests that missed the objective.
    pub missed: u64,
    /// Burn rate; `None` without objective or requests. Beyond all bounds,
    /// and `null` in JSON, when some missed where none may.
    pub burn: Option<f64>,
}

/// Failed requests of one result code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// Number of the code.
    pub code: u32,
    /// What it means.
    pub phrase: &'static str,
    /// Requests.
    pub count: u64,
}

/// Whether somebody should look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No.
    None,
    /// Some time.
    Ticket,
    /// At once.
    Page,
}

impl Alert {
    /// The alert as a word.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// Reports on all goals of a record; `None` when it is empty.
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

/// Burn rate of a tally under an objective; `None` without requests.
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

/// Goals that the record or the rules name.
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

/// The windows, until one covers all of the record.
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

/// Requests of a goal in the last `seconds`; an interval that lies across the
/// beginning counts whole.
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

/// Share of requests that may miss the objective.
fn allowed_miss_share(objective: &Objective) -> f64 {
    f64::from(1_000_u32.saturating_sub(objective.per_mille)) / 1_000.0
}

#[allow(clippy::cast_precision_loss, reason = "counts of requests")]
fn share(part: u64, total: u64) -> f64 {
    part as f64 / total as f64
}
