//! What each caller got, for people.

use std::fmt::Write;

use crate::caller::{Attempt, End, RequestOutcome, Work};
use crate::oracle::Runs;

/// A line for each request.
pub(super) fn table(all: &[RequestOutcome]) -> String {
    let mut text = String::from(
        "\nrequest      kind    sent  came back  tokens            ended\n\
         -----------  ------  ----  ---------  ----------------  -----\n",
    );
    for got in all {
        let reconnects: u32 = got.attempts.iter().map(|a| a.reconnects).sum();
        let _ = writeln!(
            text,
            "{:<11}  {:<6}  {:>4}  {:>9}  {:<16}  {}",
            got.request.mark,
            kind(got),
            got.attempts.len(),
            reconnects,
            tokens(got),
            ended(got.last()),
        );
    }
    text
}

/// Lines that sum up what happened.
pub(super) fn summary(runs: &Runs, all: &[RequestOutcome]) -> String {
    let whole = all.iter().filter(|g| g.is_complete()).count();
    let reconnects: u32 = all
        .iter()
        .flat_map(|g| &g.attempts)
        .map(|a| a.reconnects)
        .sum();
    format!(
        "\n{} requests, {whole} answered whole, {} ended with a code; \
         callers came back to a stream {reconnects} times\n\
         {} generations began on engines, {} calls ran on plain services\n",
        all.len(),
        all.len() - whole,
        runs.generations.len(),
        runs.calls.len(),
    )
}

const fn kind(got: &RequestOutcome) -> &'static str {
    match &got.request.work {
        Work::Generate { stream: true, .. } => "stream",
        Work::Generate { stream: false, .. } => "whole",
        Work::Call { .. } => "call",
    }
}

fn tokens(got: &RequestOutcome) -> String {
    match got.request.tokens() {
        Some(all) => format!("{} of {all}", got.last().tokens),
        None => "-".to_owned(),
    }
}

fn ended(attempt: &Attempt) -> String {
    match &attempt.end {
        End::Complete => "whole".to_owned(),
        End::Code(code) => format!("code {code}"),
        End::Disconnected => "cut".to_owned(),
        End::TimedOut => "hung".to_owned(),
        End::InProgress => "open".to_owned(),
    }
}
