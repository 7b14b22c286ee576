//! Entry processes whose engines keep the handle of a copy that is made again.

mod support;

use standins::site::{AnswerFault, Loss, ProxyFault, StoreMode};
use std::time::Duration;
use support::{KEY, Site, until, whole_stream};

/// Events of a stream.
const EVENTS: u64 = 500;

/// Events after which its rest is lost; a standby copy is made meanwhile.
const AFTER_COPY: u64 = 300;

/// Defines test cases with the time to the holder of the copy, and whether copies made again keep their handles.
macro_rules! cases {
    ($($name:ident($delay:literal, $keeps:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                lost(Duration::from_millis($delay), $keeps).await;
            }
        )+
    };
}

cases! {
    stream_of_a_stopped_run_goes_on_from_a_copy_with_its_former_handle(80, true);
    stream_of_a_stopped_run_goes_on_from_a_copy_with_its_former_handle_at_once(0, true);
    stream_of_a_stopped_run_goes_on_from_a_copy_with_a_new_handle(80, false);
}

async fn lost(delay: Duration, keeps: bool) {
    let mut site = Site::without_entries().await;
    site.use_proxies().await;
    site.publish(&[KEY]);
    site.add_entry(1).await;
    site.until_ready(0).await;
    for engine in &site.engines {
        engine.set_fault(AnswerFault::LoseRest(AFTER_COPY, Loss::Reset));
        if keeps {
            engine.moves().keep_handles();
        }
    }
    site.store.set_mode(StoreMode::Silent);
    until("the watch", || async {
        site.log(0).contains("event=departure_watch active=true")
    })
    .await;
    let id = site.id();
    let req = site.large_prompt(0, "/log/a", EVENTS, &id);
    let answer = req.send().await.unwrap();
    let first = site.engine_of(&id).await;
    site.engines[first].report_leaving(30_000);
    let other = site.engines[1 - first].instance();
    let reading = tokio::spawn(async move { answer.text().await });
    until("the copy", || async { site.log(0).contains("end=made") }).await;
    site.proxies[&other].set_fault(ProxyFault::Delay(delay));
    let body = reading.await.unwrap();
    let is_whole = body.is_ok_and(|body| body == whole_stream(&id, EVENTS));
    assert!(is_whole, "{}", site.log(0));
    site.check();
}
