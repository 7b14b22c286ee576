//! Callers of the demo: concurrent long and short requests, live progress, a
//! table of the results, and the oracle's verdict.

mod callers;
mod table;

use std::path::PathBuf;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::caller::{Caller, RequestOutcome};
use crate::oracle::{Runs, find_breaches};

/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration of a demo.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Run logs of the stand-ins.
    pub run_logs: Vec<PathBuf>,
    /// Tokens of a long answer.
    pub long_tokens: u64,
    /// Time during which short requests are sent.
    pub duration: Duration,
    /// Time after which a request counts as hung.
    pub request_timeout: Duration,
}

/// Runs all callers and prints their results; returns whether every guarantee held.
///
/// # Errors
///
/// Fails when the HTTP client can't be built or a run log can't be read.
pub async fn run(cfg: &Config) -> anyhow::Result<bool> {
    let caller = Caller::new(cfg.entries.iter().cloned(), cfg.request_timeout)?;
    let mut tasks = JoinSet::new();
    callers::start(&mut tasks, &caller, cfg);
    let mut all = await_callers(&mut tasks, &caller).await;
    all.sort_by(|a, b| a.request.mark.cmp(&b.request.mark));
    print!("{}", table::table(&all));
    let runs = Runs::read(&cfg.run_logs)?;
    let violations = find_breaches(&runs, &all);
    for violation in &violations {
        println!("BROKEN {violation}");
    }
    print!("{}", table::summary(&runs, &all));
    println!(
        "guarantees {}",
        if violations.is_empty() {
            "held"
        } else {
            "BROKEN"
        }
    );
    Ok(violations.is_empty())
}

/// Waits for all callers, printing a progress line every [`PROGRESS_INTERVAL`].
async fn await_callers(
    tasks: &mut JoinSet<Vec<RequestOutcome>>,
    caller: &Caller,
) -> Vec<RequestOutcome> {
    let start = Instant::now();
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut all: Vec<RequestOutcome> = Vec::new();
    loop {
        tokio::select! {
            done = tasks.join_next() => match done {
                Some(Ok(got)) => all.extend(got),
                Some(Err(e)) => println!("caller task failed: {e}"),
                None => return all,
            },
            _ = ticks.tick() => println!(
                "{:>3} s  {:>2} callers active  {:>6} tokens",
                start.elapsed().as_secs(),
                tasks.len(),
                caller.tokens(),
            ),
        }
    }
}
