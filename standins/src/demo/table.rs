//! Formats the results of the demo as text.

use std::fmt::Write;

use crate::caller::{Attempt, End, RequestOutcome, Work};
use crate::oracle::Runs;

/// Returns a table with a line for each request.
pub(super) fn table(all: &[RequestOutcome]) -> String {
    let mut text = String::from(
        "\nrequest      kind    sent    resumed  tokens            ended\n\
         -----------  ------  ----  ---------  ----------------  -----\n",
    );
    for got in all {
        let reattachments: u32 = got.attempts.iter().map(|a| a.reconnects).sum();
        let _ = writeln!(
            text,
            "{:<11}  {:<6}  {:>4}  {:>9}  {:<16}  {}",
            got.request.mark,
            request_kind(got),
            got.attempts.len(),
            reattachments,
            format_tokens(got),
            format_end(got.last()),
        );
    }
    text
}

/// Returns a summary of all requests.
pub(super) fn summary(runs: &Runs, all: &[RequestOutcome]) -> String {
    let whole = all.iter().filter(|g| g.is_complete()).count();
    let reattachments: u32 = all
        .iter()
        .flat_map(|g| &g.attempts)
        .map(|a| a.reconnects)
        .sum();
    format!(
        "\n{} requests, {whole} answered completely, {} not; \
         callers resumed a stream {reattachments} times\n\
         {} generations started on engines, {} calls ran on plain services\n",
        all.len(),
        all.len() - whole,
        runs.generations.len(),
        runs.calls.len(),
    )
}

const fn request_kind(got: &RequestOutcome) -> &'static str {
    match &got.request.work {
        Work::Generate { stream: true, .. } => "stream",
        Work::Generate { stream: false, .. } => "whole",
        Work::Call { .. } => "call",
    }
}

fn format_tokens(got: &RequestOutcome) -> String {
    match got.request.tokens() {
        Some(all) => format!("{} of {all}", got.last().tokens),
        None => "-".to_owned(),
    }
}

fn format_end(attempt: &Attempt) -> String {
    match &attempt.end {
        End::Complete => "whole".to_owned(),
        End::Code(code) => format!("code {code}"),
        End::Disconnected => "cut".to_owned(),
        End::TimedOut => "hung".to_owned(),
        End::InProgress => "open".to_owned(),
    }
}
