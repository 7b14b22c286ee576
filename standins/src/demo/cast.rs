//! Who calls in the demo, by the keys of the sample inventory.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::Config;
use crate::caller::{Caller, Request, RequestOutcome};

const COUNTER: &str = "demo-key-1";
const DOSSIERS: &str = "demo-key-2";
const LOGS: &str = "demo-key-4";
const GRADES: &str = "demo-key-5";

/// Tokens of a clerk's lookup.
const SHORT: u64 = 20;
/// Tokens of a grade.
const GRADE: u64 = 40;
/// Pause of a clerk between two lookups.
const PAUSE: Duration = Duration::from_millis(800);
/// Callers of each kind.
const LONG: usize = 4;
const CLERKS: usize = 2;
const PAIRS: usize = 2;

/// Starts all callers.
pub(super) fn start(tasks: &mut JoinSet<Vec<RequestOutcome>>, caller: &Caller, cfg: &Config) {
    for n in 0..LONG {
        let dossier = Request::stream(&format!("dossier{n}"), DOSSIERS, "model-a", cfg.long_tokens);
        start_one(tasks, caller, dossier, n);
        let log = Request::stream(&format!("log{n}"), LOGS, "model-b", cfg.long_tokens);
        start_one(tasks, caller, log, n);
    }
    let half = cfg.long_tokens / 2;
    for n in 0..PAIRS {
        let whole = Request::non_streaming(&format!("whole{n}"), DOSSIERS, "model-b", half);
        start_one(tasks, caller, whole, n);
        start_pair(tasks, caller, &grade(n));
        start_pair(tasks, caller, &filing(n));
    }
    for n in 0..CLERKS {
        tasks.spawn(clerk(caller.clone(), n, cfg.span));
    }
}

fn grade(n: usize) -> Request {
    Request::non_streaming(&format!("grade{n}"), GRADES, "model-b", GRADE)
        .with_idempotency_key(&format!("reel-{n}"))
}

fn filing(n: usize) -> Request {
    Request::call(&format!("filing{n}"), COUNTER, "records", "/file")
        .with_idempotency_key(&format!("claim-{n}"))
}

fn start_one(
    tasks: &mut JoinSet<Vec<RequestOutcome>>,
    caller: &Caller,
    request: Request,
    entry: usize,
) {
    let caller = caller.clone();
    tasks.spawn(async move { vec![caller.run(request, entry).await] });
}

/// Sends the same keyed request through two entries at once.
fn start_pair(tasks: &mut JoinSet<Vec<RequestOutcome>>, caller: &Caller, request: &Request) {
    for entry in 0..2 {
        start_one(tasks, caller, request.clone(), entry);
    }
}

/// Sends short requests one after another.
async fn clerk(caller: Caller, clerk: usize, span: Duration) -> Vec<RequestOutcome> {
    let end = Instant::now() + span;
    let mut all = Vec::new();
    while Instant::now() < end {
        let mark = format!("lookup{clerk}x{:02}", all.len());
        let request = Request::stream(&mark, COUNTER, "model-a", SHORT);
        all.push(caller.run(request, clerk).await);
        sleep(PAUSE).await;
    }
    all
}
