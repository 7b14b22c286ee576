//! Draws latency quantiles as an SVG chart.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::coord::Shift;
use plotters::prelude::*;

use super::record::{ClassRecord, Quantiles, Record};

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (1_200, 520);

/// Smallest latency shown, in milliseconds.
const MIN_MS: f64 = 0.1;

/// Range of the quantile axis, in nines: 0.3 is the median, 3 is 99.9 %.
const NINES_RANGE: std::ops::Range<f64> = 0.2..3.2;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws the latency between tokens and to the first token into an SVG at `path`.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(records: &[(String, Record)], path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(chart_error)?;
    let (left, right) = root.split_horizontally(SIZE_PX.0 / 2);
    draw_panel(&left, records, "Between tokens", |class| class.gap_ms)?;
    draw_panel(&right, records, "To the first token", |class| {
        class.first_token_ms
    })?;
    root.present().map_err(chart_error)
}

fn draw_panel(
    area: &Area<'_>,
    records: &[(String, Record)],
    title: &str,
    quantiles: fn(&ClassRecord) -> Quantiles,
) -> Result<()> {
    let series = build_series(records, quantiles);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(NINES_RANGE, (MIN_MS..axis_max_ms(&series)).log_scale())
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("ms")
        .x_label_formatter(&|nines| format!("{:.3}", 1.0 - 10_f64.powf(-nines)))
        .draw()
        .map_err(chart_error)?;
    for (index, (name, points)) in series.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(chart_error)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(chart_error)
}

type Series = (String, Vec<(f64, f64)>);

/// Returns a labelled line for each class with values in each record.
fn build_series(
    records: &[(String, Record)],
    quantiles: fn(&ClassRecord) -> Quantiles,
) -> Vec<Series> {
    let mut series = Vec::new();
    for (name, record) in records {
        for (class, measured) in &record.classes {
            let quantiles = quantiles(measured);
            if quantiles.count > 0 {
                let label = format!("{name} {}", class.name());
                series.push((label, chart_points(&quantiles)));
            }
        }
    }
    series
}

fn chart_points(quantiles: &Quantiles) -> Vec<(f64, f64)> {
    let point = |(quantile, ms): (f64, f64)| (-(1.0 - quantile).log10(), ms.max(MIN_MS));
    quantiles.points().map(point).to_vec()
}

/// Returns the upper end of the latency axis, in milliseconds.
fn axis_max_ms(series: &[Series]) -> f64 {
    let times = series
        .iter()
        .flat_map(|(_, points)| points)
        .map(|point| point.1);
    times.fold(MIN_MS * 10.0, f64::max) * 2.0
}

/// Converts an error of the chart library, which borrows from the chart, into an
/// owned one.
fn chart_error(err: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("chart failed: {err}")
}
