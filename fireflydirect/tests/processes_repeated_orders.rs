//! Entry processes whose orders to stop a run are sent twice, the first time over a connection that breaks.

mod support;

use standins::site::{RunEnd, StopAnswer, StoppedEnd};
use std::time::Duration;
use support::{Site, until, whole_stream};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Time after which the first call breaks.
const BREAKS_AFTER: Duration = Duration::from_millis(300);

/// Defines test cases: the engine carries the first of two calls out on the next run, and refuses the next order.
macro_rules! cases {
    ($($name:ident($refusal:ident, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = Site::start(1).await;
                for engine in &site.engines {
                    engine.moves().end_stopped(StoppedEnd::LastChunk);
                    engine.moves().answer_stops(StopAnswer::CarriedOutLate, BREAKS_AFTER);
                }
                is_whole(&site, StopAnswer::$refusal, $path).await;
                site.check();
            }
        )+
    };
}

cases! {
    next_run_that_the_first_of_two_calls_stops_is_no_whole_one(NeverExecuted, "/log/a");
    next_resumable_run_that_the_first_of_two_calls_stops_is_no_whole_one(NeverExecuted, "/grade/a");
}

async fn is_whole(site: &Site, refusal: StopAnswer, path: &str) {
    let id = site.id();
    let stream = async {
        let answer = site.large_prompt(0, path, LONG, &id).send().await;
        answer
            .unwrap()
            .text()
            .await
            .unwrap_or_else(|e| format!("{e}"))
    };
    let orders = async {
        let engine = &site.engines[site.engine_of(&id).await];
        let record = engine.registration("models", "draining");
        site.store.put("servers", &engine.instance(), &record);
        until("the order", || async {
            site.log(0).contains("event=stop_ordered")
        })
        .await;
        engine
            .moves()
            .answer_stops(StopAnswer::Kept, Duration::ZERO);
        until("the stop", || async {
            site.record.runs_of(&id)[0].end.0 == RunEnd::Migrated
        })
        .await;
        engine.moves().answer_stops(refusal, Duration::ZERO);
        until("the second stop", || async {
            site.record
                .runs_of(&id)
                .get(1)
                .is_some_and(|r| r.end.0 == RunEnd::Migrated)
        })
        .await;
    };
    let (body, ()) = futures_util::future::join(stream, orders).await;
    assert!(body == whole_stream(&id, LONG), "{body}\n{}", site.log(0));
}
