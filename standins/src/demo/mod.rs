//! The demo's callers: long and short requests at once, live progress, a table
//! of what each got, and the oracle's judgement.

mod cast;
mod table;

use std::path::PathBuf;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::caller::{Caller, RequestOutcome};
use crate::oracle::{Runs, find_breaches};

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// What a demo is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Run logs of the stand-ins.
    pub run_logs: Vec<PathBuf>,
    /// Tokens of a long answer.
    pub long_tokens: u64,
    /// For how long clerks send short requests.
    pub span: Duration,
    /// Time after which a request counts as hung.
    pub patience: Duration,
}

/// Runs all callers and prints what they got; true when every promise held.
///
/// # Errors
///
/// When a run log can't be read.
pub async fn run(cfg: &Config) -> anyhow::Result<bool> {
    let caller = Caller::new(cfg.entries.iter().cloned(), cfg.patience)?;
    let mut tasks = JoinSet::new();
    cast::start(&mut tasks, &caller, cfg);
    let mut all = watch(&mut tasks, &caller).await;
    all.sort_by(|a, b| a.request.mark.cmp(&b.request.mark));
    print!("{}", table::table(&all));
    let runs = Runs::read(&cfg.run_logs)?;
    let breaches = find_breaches(&runs, &all);
    for breach in &breaches {
        println!("BROKEN {breach}");
    }
    print!("{}", table::summary(&runs, &all));
    println!(
        "promises {}",
        if breaches.is_empty() {
            "held"
        } else {
            "BROKEN"
        }
    );
    Ok(breaches.is_empty())
}

/// Waits for all callers and prints a line of progress now and then.
async fn watch(tasks: &mut JoinSet<Vec<RequestOutcome>>, caller: &Caller) -> Vec<RequestOutcome> {
    let start = Instant::now();
    let mut ticks = interval(PROGRESS);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut all: Vec<RequestOutcome> = Vec::new();
    loop {
        tokio::select! {
            done = tasks.join_next() => match done {
                Some(Ok(got)) => all.extend(got),
                Some(Err(e)) => println!("a caller failed: {e}"),
                None => return all,
            },
            _ = ticks.tick() => println!(
                "{:>3} s  {:>2} callers at work  {:>6} tokens",
                start.elapsed().as_secs(),
                tasks.len(),
                caller.tokens(),
            ),
        }
    }
}
