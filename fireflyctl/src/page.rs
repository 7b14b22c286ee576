//! The burn report as a self-contained HTML page with plots.

use crate::burn::{GoalReport, Report, burn_rate};
use crate::record::Interval;
use crate::report::{budget_phrase, burn_phrase, window_phrase};
use crate::scrape::{Goal, Tally};
use anyhow::{Result, anyhow};
use fireflycroft::{Objective, Priority};
use plotters::prelude::*;
use std::collections::VecDeque;
use std::fmt::Write;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 240);
/// Target for the number of points in a line; longer records are sampled.
const MAX_POINTS_PER_LINE: usize = 600;
/// Windows plotted, with their lengths in seconds.
const PLOTTED_WINDOWS: [(&str, u64); 2] = [("5m", 300), ("1h", 3_600)];
/// Minimum upper end of the burn rate axis.
const MIN_AXIS_MAX: f64 = 2.0;
/// Maximum burn rate in a plot; higher rates are drawn at this value.
const MAX_PLOTTED_BURN_RATE: f64 = 100.0;

const STYLE: &str = "body{font:15px sans-serif;max-width:900px;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:.6em 0}\
td,th{border-bottom:1px solid #ccc;padding:.2em .8em;text-align:left}\
.page{color:#b00;font-weight:bold}.ticket{color:#a60;font-weight:bold}svg{display:block}";

/// Renders the page.
pub(crate) fn render(report: &Report, record: &[Interval]) -> Result<String> {
    let mut html = String::new();
    write!(
        html,
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Burn report</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
         <h1>Burn report</h1>\n<p>{} nodes answered, {} did not. A burn rate of 1 uses up the error \
         budget exactly over its period.</p>\n",
        report.nodes, report.silent
    )?;
    for goal in &report.goals {
        write_goal(&mut html, goal, record)?;
    }
    html.push_str("</body>\n</html>\n");
    Ok(html)
}

fn write_goal(html: &mut String, goal: &GoalReport, record: &[Interval]) -> Result<()> {
    let brand = escape(&goal.goal.brand);
    let priority = priority_name(goal.goal.priority);
    let alert = goal.alert.name();
    writeln!(
        html,
        "<h2>{brand}, {priority} <span class=\"{alert}\">{alert}</span></h2>"
    )?;
    writeln!(html, "<p>{}</p>", escape(&budget_phrase(goal)))?;
    html.push_str(
        "<table>\n<tr><th>window</th><th>requests</th><th>missed</th><th>burn</th></tr>\n",
    );
    for window in &goal.windows {
        writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            window_phrase(window),
            window.requests,
            window.missed,
            burn_phrase(window.burn)
        )?;
    }
    html.push_str("</table>\n");
    if let Some(objective) = &goal.objective {
        html.push_str(&render_plot(&goal.goal, objective, record)?);
    }
    write_causes(html, goal)
}

fn write_causes(html: &mut String, goal: &GoalReport) -> Result<()> {
    if goal.causes.is_empty() && goal.late == 0 {
        return Ok(());
    }
    html.push_str("<table>\n<tr><th>cause</th><th>requests</th></tr>\n");
    for cause in &goal.causes {
        writeln!(
            html,
            "<tr><td>{} {}</td><td>{}</td></tr>",
            cause.code,
            escape(cause.phrase),
            cause.count
        )?;
    }
    if goal.late > 0 {
        writeln!(
            html,
            "<tr><td>answered, but late</td><td>{}</td></tr>",
            goal.late
        )?;
    }
    html.push_str("</table>\n");
    Ok(())
}

/// Renders the burn rate over time, as SVG.
fn render_plot(goal: &Goal, objective: &Objective, record: &[Interval]) -> Result<String> {
    let end = record.last().map_or(0, |i| i.to_ms);
    let lines = PLOTTED_WINDOWS
        .map(|(name, seconds)| (name, burn_points(goal, objective, record, seconds, end)));
    let points = lines.iter().flat_map(|(_, points)| points);
    let (mut from, mut axis_max) = (-1.0 / 60.0, MIN_AXIS_MAX);
    for (x, y) in points {
        from = f64::min(from, *x);
        axis_max = f64::max(axis_max, *y);
    }
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(from..0.0, 0.0..axis_max * 1.1)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("hours")
            .y_desc("burn rate")
            .draw()
            .map_err(plot_error)?;
        chart
            .draw_series(LineSeries::new([(from, 1.0), (0.0, 1.0)], RED.mix(0.5)))
            .map_err(plot_error)?;
        for (i, (name, points)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points, &color))
                .map_err(plot_error)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot_error)?;
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Returns points of hours relative to `end` and the burn rate of the window
/// that ends there.
fn burn_points(
    goal: &Goal,
    objective: &Objective,
    record: &[Interval],
    seconds: u64,
    end: u64,
) -> Vec<(f64, f64)> {
    let mut window: VecDeque<(u64, Tally)> = VecDeque::new();
    let mut points = Vec::new();
    let step = record.len().div_ceil(MAX_POINTS_PER_LINE).max(1);
    for (i, interval) in record.iter().enumerate() {
        window.push_back((interval.to_ms, tally_in(goal, interval)));
        let from = interval.to_ms.saturating_sub(seconds * 1_000);
        while window.front().is_some_and(|(to, _)| *to <= from) {
            window.pop_front();
        }
        if i % step != 0 && i + 1 != record.len() {
            continue;
        }
        let mut sum = Tally::default();
        for (_, tally) in &window {
            sum.add(tally);
        }
        if let Some(burn) = burn_rate(&sum, objective) {
            points.push((
                -hours(end - interval.to_ms),
                burn.min(MAX_PLOTTED_BURN_RATE),
            ));
        }
    }
    points
}

fn tally_in(goal: &Goal, interval: &Interval) -> Tally {
    let found = interval.goals.iter().find(|g| g.goal == *goal);
    found.map_or_else(Tally::default, |g| g.tally.clone())
}

#[allow(clippy::cast_precision_loss, reason = "a place on an axis")]
fn hours(ms: u64) -> f64 {
    ms as f64 / 3_600_000.0
}

pub(crate) const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Converts an error of the plotting library, which may hold borrowed data.
fn plot_error(e: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("plot: {e}")
}
