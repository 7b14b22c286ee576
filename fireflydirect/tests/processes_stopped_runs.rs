//! Entry processes whose streams are stopped for a move, or end by themselves beside it.

mod support;

use standins::site::{RunEnd, StopAnswer};
use std::time::Duration;
use support::{Site, check_runs, until, whole_stream};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Events of a stream that ends before its run is ordered to stop.
const SHORT: u64 = 60;

/// Time of an answer that comes after the close of the stream.
const AFTER_CLOSE: Duration = Duration::from_millis(300);

/// Time of an answer for which nobody waits.
const TOO_LATE: Duration = Duration::from_secs(5);

/// How the bodies of engines end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    Chunks,
    UntilClose,
}

/// What becomes of a stream whose engine leaves.
struct Played {
    /// The body; `None` if it was broken off.
    body: Option<String>,
    id: String,
    /// Engine that left.
    left: String,
}

/// Defines test cases on a site whose engines answer the last move of a run in a given way.
macro_rules! cases {
    ($($name:ident($framing:ident, $answer:ident, $after:expr, $path:literal, $events:expr) $check:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = Site::start(1).await;
                for engine in &site.engines {
                    engine.moves().answer_stops(StopAnswer::$answer, $after);
                    if Framing::$framing == Framing::UntilClose {
                        engine.end_answers_with_connection();
                    }
                    if $events == SHORT {
                        engine.moves().hold_ends();
                    }
                }
                let played = play(&site, $path, $events).await;
                $check(&site, &played);
                site.check();
            }
        )+
    };
}

/// Reads a stream whose engine says that it leaves, until its run has been ordered to stop.
async fn play(site: &Site, path: &str, events: u64) -> Played {
    let id = site.id();
    let stream = async {
        let answer = site.large_prompt(0, path, events, &id).send().await;
        answer.unwrap().text().await.ok()
    };
    let leave = async {
        let engine = &site.engines[site.engine_of(&id).await];
        let record = engine.registration("models", "draining");
        site.store.put("servers", &engine.instance(), &record);
        until("the order", || async {
            site.log(0)
                .contains(&format!("event=stop_ordered req={id}"))
        })
        .await;
        engine.instance()
    };
    let (body, left) = futures_util::future::join(stream, leave).await;
    Played { body, id, left }
}

/// Checks that a stream is whole and that no piece was lost or given twice.
fn is_whole(site: &Site, played: &Played, events: u64) {
    let body = played.body.as_deref().unwrap_or("broken off");
    let whole = whole_stream(&played.id, events);
    assert!(body == whole, "{body}\n{}", site.log(0));
}

/// Checks that a stopped run went on elsewhere, from memory.
fn moved(site: &Site, played: &Played) {
    is_whole(site, played, LONG);
    check_runs(site, &played.id);
    let runs = site.record.runs_of(&played.id);
    assert_eq!(runs[0].end.0, RunEnd::Migrated);
    assert!(runs[1].from_memory && runs[1].instance != played.left);
}

/// Checks that a stopped run went on where it was, from the memory kept there.
fn went_on_at_its_source(site: &Site, played: &Played) {
    is_whole(site, played, LONG);
    check_runs(site, &played.id);
    let runs = site.record.runs_of(&played.id);
    assert!(runs[1].from_memory && runs[1].instance == played.left);
}

/// Checks that a stopped run went on as a new one.
fn began_anew(site: &Site, played: &Played) {
    is_whole(site, played, LONG);
    assert_eq!(site.record.runs_of(&played.id).len(), 2);
}

/// Checks that a part wasn't given out as a whole answer.
fn broken_off(site: &Site, played: &Played) {
    assert_eq!(played.body, None, "{}", site.log(0));
}

/// Checks that the order stopped nothing.
fn untouched(site: &Site, played: &Played, events: u64) {
    is_whole(site, played, events);
    assert_eq!(site.record.runs_of(&played.id).len(), 1);
}

fn ended_by_itself(site: &Site, played: &Played) {
    untouched(site, played, SHORT);
}

fn went_on(site: &Site, played: &Played) {
    untouched(site, played, LONG);
}

cases! {
    moved_stream_goes_on_from_its_copy(UntilClose, Copied, Duration::ZERO, "/log/a", LONG) moved;
    moved_stream_waits_for_its_copy(UntilClose, Copied, AFTER_CLOSE, "/log/a", LONG) moved;
    stopped_stream_goes_on_at_its_source(UntilClose, Kept, Duration::ZERO, "/log/a", LONG) went_on_at_its_source;
    stopped_stream_waits_for_the_memory_at_its_source(UntilClose, Kept, AFTER_CLOSE, "/log/a", LONG) went_on_at_its_source;
    stream_whose_memory_has_no_handle_goes_on_from_the_copy_before(UntilClose, KeptUnnamed, AFTER_CLOSE, "/log/a", LONG) moved;
    stream_whose_handle_fits_in_no_header_goes_on_from_the_copy_before(UntilClose, KeptUnusable, AFTER_CLOSE, "/log/a", LONG) moved;
    stream_whose_order_got_no_answer_goes_on_from_the_copy_before(UntilClose, AllLost, Duration::ZERO, "/log/a", LONG) moved;
    stream_whose_order_got_no_answer_after_the_close_goes_on(UntilClose, AllLost, AFTER_CLOSE, "/log/a", LONG) moved;
    stream_stopped_by_an_order_that_was_sent_twice_goes_on(UntilClose, Lost, Duration::ZERO, "/log/a", LONG) moved;
    stream_whose_order_is_answered_too_late_is_no_whole_one(UntilClose, Copied, TOO_LATE, "/log/a", LONG) broken_off;
    resumable_stream_whose_order_is_answered_too_late_begins_anew(UntilClose, Copied, TOO_LATE, "/grade/a", LONG) began_anew;
    stream_that_ends_by_itself_beside_an_order_is_whole(UntilClose, Copied, Duration::ZERO, "/log/a", SHORT) ended_by_itself;
    stream_that_ends_by_itself_before_the_order_is_answered_is_whole(UntilClose, Copied, AFTER_CLOSE, "/log/a", SHORT) ended_by_itself;
    stream_whose_order_was_refused_is_whole(UntilClose, Busy, AFTER_CLOSE, "/log/a", LONG) went_on;

    chunked_stream_goes_on_from_its_copy(Chunks, Copied, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_goes_on_at_its_source(Chunks, Kept, AFTER_CLOSE, "/log/a", LONG) went_on_at_its_source;
    chunked_stream_whose_memory_has_no_handle_goes_on(Chunks, KeptUnnamed, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_whose_order_got_no_answer_goes_on(Chunks, AllLost, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_stopped_by_an_order_that_was_sent_twice_goes_on(Chunks, Lost, Duration::ZERO, "/log/a", LONG) moved;
    chunked_stream_whose_order_is_answered_too_late_is_no_whole_one(Chunks, Copied, TOO_LATE, "/log/a", LONG) broken_off;
    chunked_stream_that_ends_by_itself_beside_an_order_is_whole(Chunks, Lost, AFTER_CLOSE, "/log/a", SHORT) ended_by_itself;
    chunked_stream_whose_order_was_refused_is_whole(Chunks, Busy, AFTER_CLOSE, "/log/a", LONG) went_on;
}
