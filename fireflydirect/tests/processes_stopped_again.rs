//! Entry processes whose streams go on from a copy of any kind, and are stopped once more where they went on.

mod support;

use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{Play, RunEnd, StoreMode};
use std::time::Duration;
use support::plays::{self, Played, add_target, begin, faults, finish};
use support::streams::list;
use support::{Site, check_runs, until, whole_stream};

/// Events of a stream that outlasts the notices of two engines, one after the other.
const LONG: u64 = 450;

/// Time for which the watch of departures stays as it is, once the store answers again.
const WATCH_SETTLES: Duration = Duration::from_millis(500);

/// Ends of stopped streams.
const ENDS: &[(Framing, StoppedEnd)] = &[
    (Chunked, LastChunk),
    (Chunked, Trailers),
    (CodedChunks, LastChunkAndClose),
    (ChunkedBesideLength, LastChunk),
    (Length, Close),
    (UntilClose, Close),
    (UntilClose, HalfClose),
    (OldUntilClose, Close),
];

/// Defines test cases of streams that are moved, and whose orders are answered in a given way, that to move them again too.
macro_rules! moved {
    ($($name:ident($answers:expr, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let plays: Vec<(Play, u64)> = ENDS.iter().map(|end| (stopped(*end, $answers), LONG)).collect();
                let reading = begin(&mut site, $path, &plays).await;
                until("the copies", || async { times_gone_on(&site) >= plays.len() }).await;
                list(&site, 2, "draining");
                let played = finish(reading).await;
                all_went_on(&site, &played);
                site.check();
            }
        )+
    };
}

/// Defines test cases of a stream that goes on from a copy made before its engine ended, each with the way in logs and with
/// the end of its stream once it is stopped.
macro_rules! kept {
    ($($name:ident($way:literal, $framing:ident, $end:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = match $way {
                    "standby" => Site::start(1).await,
                    _ => plays::site().await,
                };
                goes_on_twice(&mut site, $way, stopped(($framing, $end), &[Copied])).await;
                site.check();
            }
        )+
    };
}

const fn stopped(
    (framing, stopped_end): (Framing, StoppedEnd),
    answers: &'static [StopAnswer],
) -> Play {
    Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end,
        own_end: LastChunk,
        holds_end: false,
        close_delay: Duration::ZERO,
        answers,
        after: Duration::ZERO,
    }
}

fn times_gone_on(site: &Site) -> usize {
    site.log(0).matches("event=stream_goes_on").count()
}

/// Checks that all streams went on, some of them twice, and that no piece was lost or given twice.
fn all_went_on(site: &Site, played: &[Played]) {
    let faults = faults(site, played, |p, runs| {
        p.is_whole(LONG) && runs.len() > 1 && runs[1..].iter().all(|r| r.from_memory)
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
    let was_again = |p: &Played| site.record.runs_of(&p.id).len() > 2;
    assert!(played.iter().any(was_again), "none was stopped again");
}

/// Returns whether moves are made again instead of standby copies, for a while.
async fn watch_has_ended(site: &Site) -> bool {
    let last = || {
        let log = site.log(0);
        let mut of_watch = log.lines().filter(|l| l.contains("event=departure_watch "));
        of_watch.next_back().map(ToOwned::to_owned)
    };
    let before = last();
    tokio::time::sleep(WATCH_SETTLES).await;
    let is_off = before.as_ref().is_none_or(|l| l.contains("active=false"));
    is_off && last() == before
}

/// Checks a stream that goes on from a backup or a standby copy when its engine ends, and from another copy when the next
/// one leaves.
async fn goes_on_twice(site: &mut Site, way: &str, play: Play) {
    if way == "standby" {
        site.store.set_mode(StoreMode::Silent);
        until("the watch", || async {
            site.log(0).contains("event=departure_watch active=true")
        })
        .await;
    }
    let id = site.id();
    site.record.play(&id, play);
    let req = if way == "standby" {
        site.large_prompt(0, "/log/a", LONG, &id)
    } else {
        site.generation(0, "/log/a", LONG, &id)
    };
    let reading = tokio::spawn(async move { req.send().await.unwrap().text().await.ok() });
    let first = site.engine_of(&id).await;
    if way == "standby" {
        site.engines[first].report_leaving(9_000);
        until("the copy", || async { site.log(0).contains("end=made") }).await;
    } else {
        until("events", || async { site.record.copy_count() > 0 }).await;
    }
    site.engines[first].kill();
    until("the first copy", || async { times_gone_on(site) > 0 }).await;
    let log = site.log(0);
    assert!(log.contains(&format!("why={way} ")), "{log}");
    site.store.set_mode(StoreMode::Up);
    let ended = site.engines[first].instance();
    site.store.remove("servers", &ended);
    until("the end of the watch", || watch_has_ended(site)).await;
    let gone = format!("event=upstream_leaves instance={ended} ");
    until("the removal", || async { site.log(0).contains(&gone) }).await;
    add_target(site, 2).await;
    list(site, 1 - first, "draining");
    let body = reading.await.unwrap();
    let body = body.unwrap_or_else(|| "broken off".to_owned());
    assert!(body == whole_stream(&id, LONG), "{body}\n{}", site.log(0));
    check_runs(site, &id);
    let runs = site.record.runs_of(&id);
    let was_again = runs.len() > 2 && runs[1].end.0 == RunEnd::Migrated;
    assert!(was_again, "{runs:#?}\n{}", site.log(0));
}

moved! {
    moved_streams_that_are_stopped_again_go_on(&[Copied, Copied], "/log/a");
    moved_streams_whose_second_order_is_lost_go_on(&[Copied, AllLost, AllLost], "/log/a");
    moved_streams_whose_second_memory_has_no_handle_go_on(&[Copied, KeptUnnamed], "/log/a");
    moved_streams_that_are_kept_at_their_second_engine_go_on(&[Copied, Kept], "/log/a");
    moved_resumable_streams_whose_second_order_is_lost_go_on(&[Copied, AllLost, AllLost], "/grade/a");
}

kept! {
    chunks_from_a_backup_that_are_stopped_go_on("copy", Chunked, LastChunk);
    coded_chunks_from_a_backup_that_are_stopped_go_on("copy", CodedChunks, LastChunkAndClose);
    chunks_from_a_standby_copy_that_are_stopped_go_on("standby", Chunked, Trailers);
    chunks_beside_a_length_from_a_standby_copy_that_are_stopped_go_on("standby", ChunkedBesideLength, LastChunk);
}
