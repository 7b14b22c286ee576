//! Formats records as a table.

use std::fmt::Write;

use super::mix::Class;
use super::record::{ClassRecord, Quantiles, Record};

/// Columns and their widths.
const COLUMNS: [(&str, usize); 19] = [
    ("record", 20),
    ("class", 11),
    ("sent", 7),
    ("whole", 7),
    ("refused", 7),
    ("failed", 6),
    ("broken", 6),
    ("open", 5),
    ("wrong", 5),
    ("stall", 9),
    ("stall99", 9),
    ("preempt", 7),
    ("first50", 8),
    ("first99", 8),
    ("gap50", 7),
    ("gap95", 7),
    ("gap99", 8),
    ("gap99.9", 8),
    ("goodput", 8),
];

/// Returns a table with a line for each class of each named record.
///
/// Times are in milliseconds, `stall` is the mean over requests, `goodput` is in
/// tokens per second and `wrong` counts answers with a violation.
#[must_use]
pub fn table(records: &[(String, Record)]) -> String {
    let mut buf = String::new();
    write_line(&mut buf, &COLUMNS.map(|(name, _)| name.to_owned()));
    for (name, record) in records {
        for (class, measured) in &record.classes {
            write_line(&mut buf, &row(name, *class, measured));
        }
    }
    buf
}

fn write_line(buf: &mut String, cells: &[String; COLUMNS.len()]) {
    for (cell, (_, width)) in cells.iter().zip(COLUMNS) {
        let _ = write!(buf, "{cell:>width$} ");
    }
    buf.truncate(buf.trim_end().len());
    buf.push('\n');
}

fn row(name: &str, class: Class, measured: &ClassRecord) -> [String; COLUMNS.len()] {
    let Quantiles {
        p50,
        p95,
        p99,
        p999,
        ..
    } = measured.gap_ms;
    [
        name.to_owned(),
        class.name().to_owned(),
        measured.sent.to_string(),
        measured.complete.to_string(),
        ClassRecord::total(&measured.refused).to_string(),
        ClassRecord::total(&measured.failed).to_string(),
        ClassRecord::total(&measured.broken).to_string(),
        measured.unfinished.to_string(),
        ClassRecord::total(&measured.violations).to_string(),
        format_number(measured.stall_ms.mean),
        format_number(measured.stall_ms.p99),
        measured.preemptions.to_string(),
        format_number(measured.first_token_ms.p50),
        format_number(measured.first_token_ms.p99),
        format_number(p50),
        format_number(p95),
        format_number(p99),
        format_number(p999),
        format_number(measured.goodput_tokens_per_s),
    ]
}

fn format_number(number: f64) -> String {
    format!("{number:.1}")
}
