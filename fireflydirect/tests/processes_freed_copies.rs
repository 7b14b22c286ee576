//! Entry processes that free the copies of runs whose streams have ended.

mod support;

use standins::site::Framing::Chunked;
use standins::site::Play;
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{Close, LastChunk};
use std::time::Duration;
use support::plays::{self, begin, play_all};
use support::{Site, until};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Events of a stream that ends before its run is ordered to stop.
const SHORT: u64 = 60;

/// Streams of each case.
const STREAMS: usize = 3;

/// Time of an answer that comes before the end of the body is judged.
const AT_ONCE: Duration = Duration::ZERO;

/// Time of an answer that comes after its caller has left.
const AFTER_LEAVING: Duration = Duration::from_secs(1);

/// Defines test cases of streams that are read to the end, and whose orders are answered in a given way.
macro_rules! read_to_the_end {
    ($($name:ident($answers:expr, $events:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let play = played($answers, AT_ONCE, $events == SHORT);
                for played in play_all(&mut site, "/log/a", &[(play, $events); STREAMS]).await {
                    assert!(played.is_whole($events), "{:?}\n{}", played.body, site.log(0));
                }
                has_freed_all(&site).await;
                site.check();
            }
        )+
    };
}

/// Defines test cases of streams whose callers leave once something is in the log, and whose orders are answered in a given
/// way.
macro_rules! left {
    ($($name:ident($once:expr, $answers:expr, $after:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let plays = [(played($answers, $after, false), LONG); STREAMS];
                let reading = begin(&mut site, "/log/a", &plays).await;
                until("the callers' leaving", || async { $once(&site) }).await;
                for reading in &reading {
                    reading.abort();
                }
                for reading in reading {
                    assert!(reading.await.is_err_and(|e| e.is_cancelled()));
                }
                until("the answers", || async { has_settled(&site) }).await;
                has_freed_all(&site).await;
                site.check();
            }
        )+
    };
}

const fn played(answers: &'static [StopAnswer], after: Duration, holds_end: bool) -> Play {
    Play {
        framing: Chunked,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: Close,
        own_end: LastChunk,
        holds_end,
        close_delay: Duration::ZERO,
        answers,
        after,
    }
}

/// Returns whether all runs were copied while they went on.
fn are_copied(site: &Site) -> bool {
    site.record.copied().len() >= STREAMS
}

/// Returns whether all runs were ordered to stop.
fn are_ordered(site: &Site) -> bool {
    site.log(0).matches("event=stop_ordered").count() >= STREAMS
}

/// Returns whether what became of all moves is known.
fn has_settled(site: &Site) -> bool {
    site.log(0).matches("event=run_moved").count() >= STREAMS
}

/// Checks that copies were made, and that none is left.
async fn has_freed_all(site: &Site) {
    assert!(are_copied(site), "{}", site.log(0));
    until("the end of all copies", || async {
        site.record.copy_count() == 0
    })
    .await;
}

read_to_the_end! {
    copies_of_moved_streams_are_freed(&[Copied], LONG);
    copies_of_streams_kept_at_their_source_are_freed(&[Kept], LONG);
    copies_of_streams_whose_moves_are_refused_are_freed(&[NotExecuted], LONG);
    copies_of_streams_whose_moves_are_refused_as_busy_are_freed(&[Busy], LONG);
    copies_of_streams_that_end_before_their_moves_are_freed(&[Copied], SHORT);
}

left! {
    copies_of_streams_that_are_left_before_their_moves_are_freed(are_copied, &[Copied], AT_ONCE);
    copies_that_come_after_their_streams_are_left_are_freed(are_ordered, &[Copied], AFTER_LEAVING);
    memory_that_is_kept_after_its_stream_is_left_is_freed(are_ordered, &[Kept], AFTER_LEAVING);
}
