//! Entry processes whose streams go on elsewhere while the order to their former engine is out.

mod support;

use standins::site::StopAnswer;
use std::time::Duration;
use support::plays::{self, add_target};
use support::streams::list;
use support::{until, whole_stream};

/// Events of a stream that outlasts the notices of two engines, one after the other.
const LONG: u64 = 900;

/// Time of an answer that comes after the notice of the second engine.
const LATE: Duration = Duration::from_secs(6);

/// Time from a notice to the end of an engine, in milliseconds.
const NOTICE_MS: u32 = 4_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_moved_from_its_second_engine_while_the_first_order_is_out() {
    let mut site = plays::site().await;
    add_target(&mut site, 2).await;
    let id = site.id();
    let req = site.large_prompt(0, "/log/a", LONG, &id);
    let answer = req.send().await.unwrap();
    let reading = tokio::spawn(async move { answer.text().await });
    let first = site.engine_of(&id).await;
    let moves = site.engines[first].moves();
    moves.answer_stops(StopAnswer::Copied, LATE);
    list(&site, first, "draining");
    until("the second engine", || async {
        site.log(0).contains("event=stream_goes_on")
    })
    .await;
    let second = site.engine_of(&id).await;
    assert_ne!(first, second);
    site.engines[second].report_leaving(NOTICE_MS);
    list(&site, second, "draining");
    let left = format!("event=run_moved req={id} from=m-{second} ");
    until("the second move", || async { site.log(0).contains(&left) }).await;
    site.engines[second].kill();
    let body = reading.await.unwrap().unwrap_or_default();
    assert!(body == whole_stream(&id, LONG), "{body}\n{}", site.log(0));
    site.check();
}
