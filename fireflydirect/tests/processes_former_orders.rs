//! Entry processes whose orders to stop a run reach the next incarnation of its engine.

mod support;

use standins::site::{EngineKind, ProxyFault, RunEnd, StoppedEnd};
use support::{KEY, Site, until, whole_stream};

/// Events of a stream that outlasts its engine's notice and start.
const LONG: u64 = 400;

/// Defines test cases of a stream whose second run would be stopped, with the end that it would have.
macro_rules! cases {
    ($($name:ident($end:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                order_to_the_former(StoppedEnd::$end).await;
            }
        )+
    };
}

cases! {
    run_that_an_order_to_the_former_incarnation_stops_is_no_whole_one(LastChunk);
    run_that_an_order_to_the_former_incarnation_stops_and_closes_is_no_whole_one(LastChunkAndClose);
}

async fn order_to_the_former(end: StoppedEnd) {
    let mut site = Site::without_entries().await;
    site.use_proxies().await;
    site.publish(&[KEY]);
    site.add_entry(1).await;
    site.until_ready(0).await;
    let id = site.id();
    let req = site.large_prompt(0, "/grade/a", LONG, &id);
    let reading = tokio::spawn(async move { req.send().await.unwrap().text().await });
    let first = site.engine_of(&id).await;
    let instance = site.engines[first].instance();
    let other = site.engines[1 - first].instance();
    site.engines[first].report_leaving(4_000);
    site.register(EngineKind::Model, first, "draining").await;
    until("the first copy", || async { site.record.copy_count() > 0 }).await;
    until("the end time", || async {
        site.log(0).contains("event=departure_known")
    })
    .await;
    site.proxies[&instance].set_fault(ProxyFault::HoldOld);
    until("the order", || async {
        site.log(0).contains("event=stop_ordered")
    })
    .await;
    assert_eq!(
        site.record.runs_of(&id)[0].end.0,
        RunEnd::Running,
        "stopped already\n{}",
        site.log(0)
    );
    site.store.remove("servers", &other);
    site.engines[first].restart().await.unwrap();
    site.engines[first].moves().end_stopped(end);
    site.register(EngineKind::Model, first, "ready").await;
    until("the second run", || async {
        site.record.runs_of(&id).len() > 1
    })
    .await;
    site.proxies[&instance].set_fault(ProxyFault::None);
    let body = reading.await.unwrap();
    let runs = site.record.runs_of(&id);
    let is_whole = body.is_ok_and(|body| body == whole_stream(&id, LONG));
    assert!(is_whole, "{runs:#?}\n{}", site.log(0));
    assert_eq!(runs.last().map(|r| r.end.0), Some(RunEnd::Complete));
    site.check();
}
