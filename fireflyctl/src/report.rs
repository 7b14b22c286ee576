//! `report burn`: burn rates and error budgets, as text, JSON or HTML.

use crate::burn::{self, GoalReport, Report, WindowReport};
use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use crate::page::{self, priority_name};
use crate::publish;
use crate::record::{self, Interval, Recorder};
use crate::store::Store;
use crate::table::Table;
use anyhow::Context;
use fireflycroft::Rules;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Source and output of a report.
#[derive(Clone, Debug)]
pub(crate) struct BurnJob {
    /// Record to report on; two scrapes if absent.
    pub(crate) record: Option<PathBuf>,
    /// Time between the two scrapes.
    pub(crate) interval: Duration,
    /// Whether to print the report as JSON.
    pub(crate) json: bool,
    /// HTML file to write.
    pub(crate) html: Option<PathBuf>,
}

/// Prints the report and writes its page.
pub(crate) async fn burn(
    job: &BurnJob,
    rules: &Rules,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    let record = match &job.record {
        Some(path) => record::read(path)?,
        None => scrape_twice(fleet, job.interval, console).await?,
    };
    let report = burn::report(&record, rules).context("the record is empty")?;
    if let Some(path) = &job.html {
        let html = page::render(&report, &record)?;
        std::fs::write(path, html).with_context(|| format!("{}", path.display()))?;
    }
    if job.json {
        return console.print_json(&report);
    }
    print_report(&report, console)
}

/// Reads the rules from a file, or else from the platform.
pub(crate) async fn rules(file: Option<&Path>, store: Option<&impl Store>) -> Result<Rules> {
    match (file, store) {
        (Some(path), _) => {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path).context(name.clone())?;
            Ok(serde_json::from_str(&text).context(name)?)
        }
        (None, Some(store)) => Ok(publish::read_stored_config(store)
            .await?
            .document()?
            .rules
            .clone()),
        (None, None) => Err(Failure::Usage(
            "--platform URL or --rules FILE is needed for the objectives".to_owned(),
        )),
    }
}

async fn scrape_twice(
    fleet: &Fleet,
    interval: Duration,
    console: &mut Console<'_>,
) -> Result<Vec<Interval>> {
    fleet.require_nodes()?;
    let mut recorder = Recorder::default();
    record::scrape(fleet, &mut recorder, console).await?;
    tokio::time::sleep(interval).await;
    let interval = record::scrape(fleet, &mut recorder, console).await?;
    Ok(interval.into_iter().collect())
}

fn print_report(report: &Report, console: &mut Console<'_>) -> Result<()> {
    let seconds = report.to_ms.saturating_sub(report.from_ms) / 1_000;
    console.print(format!(
        "{} recorded, {} nodes answered, {} did not",
        duration_phrase(seconds),
        report.nodes,
        report.silent
    ))?;
    let mut table = Table::new(&[
        "brand", "priority", "state", "window", "requests", "missed", "burn",
    ]);
    for goal in &report.goals {
        for window in &goal.windows {
            table.row([
                goal.goal.brand.clone(),
                priority_name(goal.goal.priority).to_owned(),
                goal.alert.name().to_owned(),
                window_phrase(window),
                window.requests.to_string(),
                window.missed.to_string(),
                burn_phrase(window.burn),
            ]);
        }
    }
    console.print(table)?;
    report
        .goals
        .iter()
        .try_for_each(|goal| print_goal(goal, console))
}

fn print_goal(goal: &GoalReport, console: &mut Console<'_>) -> Result<()> {
    let priority = priority_name(goal.goal.priority);
    let brand = &goal.goal.brand;
    console.print(format!("{brand} {priority}: {}", budget_phrase(goal)))?;
    for cause in &goal.causes {
        console.print(format!(
            "  {} × {} {}",
            cause.count, cause.code, cause.phrase
        ))?;
    }
    if goal.late > 0 {
        console.print(format!("  {} × answered, but late", goal.late))?;
    }
    Ok(())
}

/// Describes the objective and the remaining budget.
pub(crate) fn budget_phrase(goal: &GoalReport) -> String {
    let Some(objective) = &goal.objective else {
        return "no objective".to_owned();
    };
    let goal_phrase = format!(
        "{} of 1000 within {} ms to the first token and {} ms between tokens",
        objective.per_mille, objective.first_token_ms, objective.between_tokens_ms
    );
    match goal.budget_left {
        Some(left) => {
            let window = goal.windows.last().map_or_else(String::new, window_phrase);
            format!(
                "{goal_phrase}; {:.0} % of the budget of {window} left",
                left * 100.0
            )
        }
        None => goal_phrase,
    }
}

/// Describes the window, with the recorded time if it is shorter.
pub(crate) fn window_phrase(window: &WindowReport) -> String {
    if window.covered_seconds >= window.seconds {
        return window.window.to_owned();
    }
    format!(
        "{} ({} recorded)",
        window.window,
        duration_phrase(window.covered_seconds)
    )
}

/// Formats a burn rate with two decimals.
pub(crate) fn burn_phrase(burn: Option<f64>) -> String {
    match burn {
        Some(burn) if burn.is_finite() => format!("{burn:.2}"),
        Some(_) => "∞".to_owned(),
        None => "-".to_owned(),
    }
}

fn duration_phrase(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds}s"),
        60..3_600 => format!("{}m", seconds / 60),
        3_600..86_400 => format!("{}h{:02}m", seconds / 3_600, seconds % 3_600 / 60),
        _ => format!("{}d{:02}h", seconds / 86_400, seconds % 86_400 / 3_600),
    }
}
