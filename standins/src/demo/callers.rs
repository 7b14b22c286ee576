//! Callers of the demo, with the keys of the sample inventory.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::Config;
use crate::caller::{Caller, Request, RequestOutcome};

const COUNTER_KEY: &str = "demo-key-1";
const DOSSIER_KEY: &str = "demo-key-2";
const LOG_KEY: &str = "demo-key-4";
const GRADE_KEY: &str = "demo-key-5";

/// Tokens of the answer to a lookup.
const LOOKUP_TOKENS: u64 = 20;
/// Tokens of the answer to a grading request.
const GRADE_TOKENS: u64 = 40;
/// Pause of a caller between two lookups.
const LOOKUP_PAUSE: Duration = Duration::from_millis(800);
/// Number of long streams to each of the two models.
const LONG_STREAMS: usize = 4;
/// Number of callers that send short lookups one after another.
const LOOKUP_CALLERS: usize = 2;
/// Number each of unstreamed requests, grading pairs and filing pairs.
const REQUEST_PAIRS: usize = 2;

/// Starts all callers.
pub(super) fn start(tasks: &mut JoinSet<Vec<RequestOutcome>>, caller: &Caller, cfg: &Config) {
    for n in 0..LONG_STREAMS {
        let dossier = Request::stream(
            &format!("dossier{n}"),
            DOSSIER_KEY,
            "model-a",
            cfg.long_tokens,
        );
        start_one(tasks, caller, dossier, n);
        let log = Request::stream(&format!("log{n}"), LOG_KEY, "model-b", cfg.long_tokens);
        start_one(tasks, caller, log, n);
    }
    let half = cfg.long_tokens / 2;
    for n in 0..REQUEST_PAIRS {
        let whole = Request::non_streaming(&format!("whole{n}"), DOSSIER_KEY, "model-b", half);
        start_one(tasks, caller, whole, n);
        start_pair(tasks, caller, &grade_request(n));
        start_pair(tasks, caller, &filing_request(n));
    }
    for n in 0..LOOKUP_CALLERS {
        tasks.spawn(send_lookups(caller.clone(), n, cfg.duration));
    }
}

fn grade_request(n: usize) -> Request {
    Request::non_streaming(&format!("grade{n}"), GRADE_KEY, "model-b", GRADE_TOKENS)
        .with_idempotency_key(&format!("reel-{n}"))
}

fn filing_request(n: usize) -> Request {
    Request::call(&format!("filing{n}"), COUNTER_KEY, "records", "/file")
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

/// Sends the same request, with its idempotency key, through two entries at once.
fn start_pair(tasks: &mut JoinSet<Vec<RequestOutcome>>, caller: &Caller, request: &Request) {
    for entry in 0..2 {
        start_one(tasks, caller, request.clone(), entry);
    }
}

/// Sends short requests one after another for `duration`.
async fn send_lookups(caller: Caller, entry: usize, duration: Duration) -> Vec<RequestOutcome> {
    let end = Instant::now() + duration;
    let mut all = Vec::new();
    while Instant::now() < end {
        let mark = format!("lookup{entry}x{:02}", all.len());
        let request = Request::stream(&mark, COUNTER_KEY, "model-a", LOOKUP_TOKENS);
        all.push(caller.run(request, entry).await);
        sleep(LOOKUP_PAUSE).await;
    }
    all
}
