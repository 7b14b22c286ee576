//! Entry processes whose streams are stopped for a move, or end by themselves beside it.

mod support;

use standins::site::{AnswerFault, Loss, RunEnd, StopAnswer, StoppedEnd, StoreMode, last_event};
use std::time::Duration;
use support::{Site, check_runs, until, whole_stream};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Events of a stream that ends before its run is ordered to stop.
const SHORT: u64 = 60;

/// Time of an answer that comes after the close of the stream.
const AFTER_CLOSE: Duration = Duration::from_millis(300);

/// Time of an answer that comes after copies are tried without it, and while the caller still waits.
const AFTER_COPIES: Duration = Duration::from_millis(1_800);

/// Time to read a prompt after which the run is past the time at which those of its leaving engine are stopped.
const PAST_STOP: Duration = Duration::from_millis(1_400);

/// Time of an answer that comes after the stream has gone on without it.
const LATE: Duration = Duration::from_millis(2_500);

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
                }
                if Framing::$framing == Framing::UntilClose {
                    end_with_connection(&site);
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
        let engine = site.engine_of(&id).await;
        if events == SHORT {
            site.engines[engine].moves().hold_ends();
        }
        drain(site, engine);
        until("the order", || async {
            site.log(0)
                .contains(&format!("event=stop_ordered req={id}"))
        })
        .await;
        site.engines[engine].instance()
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

/// Checks that a run that went on where it was, and was stopped there again, went on elsewhere.
fn stopped_twice(site: &Site, played: &Played) {
    is_whole(site, played, LONG);
    check_runs(site, &played.id);
    let runs = site.record.runs_of(&played.id);
    assert!(runs[1].instance == played.left && runs[2].instance != played.left);
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

fn whole_after_all(site: &Site, played: &Played) {
    is_whole(site, played, SHORT);
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
    stream_whose_order_is_answered_too_late_goes_on_from_the_copy_before(UntilClose, Copied, TOO_LATE, "/log/a", LONG) moved;
    resumable_stream_whose_order_is_answered_too_late_goes_on_from_the_copy_before(UntilClose, Copied, TOO_LATE, "/grade/a", LONG) moved;
    stream_that_ends_by_itself_beside_an_order_is_whole(UntilClose, Copied, Duration::ZERO, "/log/a", SHORT) ended_by_itself;
    stream_that_ends_by_itself_before_the_order_is_answered_is_whole(UntilClose, Copied, AFTER_CLOSE, "/log/a", SHORT) ended_by_itself;
    stream_that_ends_by_itself_beside_a_lost_order_is_whole(UntilClose, AllLost, AFTER_CLOSE, "/log/a", SHORT) whole_after_all;
    stream_whose_order_was_refused_is_whole(UntilClose, Busy, AFTER_CLOSE, "/log/a", LONG) went_on;
    stream_whose_order_was_not_executed_is_whole(UntilClose, NotExecuted, AFTER_CLOSE, "/log/a", LONG) went_on;
    stream_whose_order_was_one_too_many_is_whole(UntilClose, TooMany, AFTER_CLOSE, "/log/a", LONG) went_on;
    stream_stopped_once_more_at_its_source_goes_on_from_the_copy_before(UntilClose, KeptThenLost, AFTER_CLOSE, "/log/a", LONG) stopped_twice;

    chunked_stream_goes_on_from_its_copy(Chunks, Copied, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_goes_on_at_its_source(Chunks, Kept, AFTER_CLOSE, "/log/a", LONG) went_on_at_its_source;
    chunked_stream_whose_memory_has_no_handle_goes_on(Chunks, KeptUnnamed, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_whose_order_got_no_answer_goes_on(Chunks, AllLost, AFTER_CLOSE, "/log/a", LONG) moved;
    chunked_stream_stopped_by_an_order_that_was_sent_twice_goes_on(Chunks, Lost, Duration::ZERO, "/log/a", LONG) moved;
    chunked_stream_whose_order_is_answered_too_late_goes_on_from_the_copy_before(Chunks, Copied, TOO_LATE, "/log/a", LONG) moved;
    chunked_stream_that_ends_by_itself_beside_an_order_is_whole(Chunks, Lost, AFTER_CLOSE, "/log/a", SHORT) ended_by_itself;
    chunked_stream_whose_order_was_refused_is_whole(Chunks, Busy, AFTER_CLOSE, "/log/a", LONG) went_on;
}

/// Returns how many runs an entry has ordered to stop.
fn orders(site: &Site, entry: usize) -> usize {
    site.log(entry).matches("event=stop_ordered").count()
}

/// Makes an engine say that it leaves.
fn drain(site: &Site, engine: usize) {
    let engine = &site.engines[engine];
    let record = engine.registration("models", "draining");
    site.store.put("servers", &engine.instance(), &record);
}

/// Checks that a stream is cut at its deadline, while its order has no answer, and isn't sent again.
async fn is_cut_at_its_deadline(site: &Site) {
    for engine in &site.engines {
        engine.moves().answer_stops(StopAnswer::Copied, TOO_LATE);
    }
    let id = site.id();
    let deadline = [("x-deadline-ms".parse().unwrap(), "1600".parse().unwrap())];
    let req = site.large_prompt(0, "/log/a", LONG, &id);
    let req = req.headers(deadline.into_iter().collect());
    let stream = async { req.send().await.unwrap().text().await.ok() };
    let leave = async { drain(site, site.engine_of(&id).await) };
    let (body, ()) = futures_util::future::join(stream, leave).await;
    assert_eq!(body, None, "{}", site.log(0));
    until("the cut", || async {
        site.log(0).contains("deadline exceeded")
    })
    .await;
    assert_eq!(orders(site, 0), 1, "{}", site.log(0));
    assert_eq!(site.record.runs_of(&id).len(), 1, "{}", site.log(0));
}

/// Checks that a stream goes on whose stopped run was reset before the order was answered.
async fn plays_a_reset(site: &Site) {
    for engine in &site.engines {
        engine.moves().end_stopped(StoppedEnd::Reset);
        engine.moves().answer_stops(StopAnswer::Copied, AFTER_CLOSE);
    }
    let played = play(site, "/log/a", LONG).await;
    moved(site, &played);
    assert!(
        site.log(0).contains("error reading a body"),
        "no reset was seen"
    );
}

/// Checks that a stream that ended by itself is whole, though its order is refused late and its copy's holder is gone.
async fn is_whole_without_its_copy(site: &Site) {
    for engine in &site.engines {
        let moves = engine.moves();
        moves.answer_stops(StopAnswer::Copied, AFTER_COPIES);
    }
    let holder_dies = async {
        until("the order", || async { orders(site, 0) > 0 }).await;
        let engine = site.engine_of("r0").await;
        site.engines[1 - engine].kill();
    };
    let playing = play(site, "/log/a", SHORT);
    let played = futures_util::future::join(playing, holder_dies).await.0;
    ended_by_itself(site, &played);
}

/// Checks that a stream without a copy, which begins so late that it is stopped at once, waits for the copy of its order.
async fn waits_for_its_only_copy(site: &Site) {
    for engine in &site.engines {
        engine.set_fault(AnswerFault::SlowBy(PAST_STOP));
        let moves = engine.moves();
        moves.answer_stops(StopAnswer::Copied, AFTER_COPIES);
    }
    let others_are_fast = async {
        let engine = site.engine_of("r0").await;
        site.engines[1 - engine].set_fault(AnswerFault::None);
    };
    let playing = play(site, "/log/a", LONG);
    let played = futures_util::future::join(playing, others_are_fast).await.0;
    moved(site, &played);
}

fn end_with_connection(site: &Site) {
    for engine in &site.engines {
        engine.end_answers_with_connection();
    }
}

support::cases! {
    copy_that_comes_too_late_is_freed(site: 1) {
        for engine in &site.engines {
            engine.moves().answer_stops(StopAnswer::Copied, LATE);
        }
        let played = play(&site, "/log/a", LONG).await;
        moved(&site, &played);
        until("the late copy", || async { site.log(0).contains("outcome=moved") }).await;
        until("its end", || async { site.record.copy_count() == 0 }).await;
    }

    stream_whose_connection_is_reset_beside_its_order_goes_on(site: 1) {
        end_with_connection(&site);
        plays_a_reset(&site).await;
    }

    chunked_stream_whose_connection_is_reset_beside_its_order_goes_on(site: 1) {
        plays_a_reset(&site).await;
    }

    stream_whose_order_has_no_answer_is_cut_at_its_deadline(site: 1) {
        end_with_connection(&site);
        is_cut_at_its_deadline(&site).await;
    }

    chunked_stream_whose_order_has_no_answer_is_cut_at_its_deadline(site: 1) {
        is_cut_at_its_deadline(&site).await;
    }

    stream_whose_engine_dies_beside_its_order_goes_on(site: 1) {
        end_with_connection(&site);
        for engine in &site.engines {
            engine.moves().answer_stops(StopAnswer::Copied, TOO_LATE);
        }
        let dies = async {
            until("the order", || async { orders(&site, 0) > 0 }).await;
            let engine = site.engine_of("r0").await;
            site.engines[engine].kill();
        };
        let (played, ()) = futures_util::future::join(play(&site, "/log/a", LONG), dies).await;
        moved(&site, &played);
    }

    stream_whose_engine_started_again_beside_its_order_is_no_whole_one(site: 1) {
        end_with_connection(&site);
        for engine in &site.engines {
            engine.moves().answer_stops(StopAnswer::Copied, TOO_LATE);
        }
        let starts_again = async {
            until("the order", || async { orders(&site, 0) > 0 }).await;
            let engine = &site.engines[site.engine_of("r0").await];
            let mut record = engine.registration("models", "ready");
            record["born"] = (engine.born() + 1).into();
            site.store.put("servers", &engine.instance(), &record);
            until("the new start", || async { site.log(0).contains("event=upstream_restarted") }).await;
        };
        let (played, ()) = futures_util::future::join(play(&site, "/log/a", LONG), starts_again).await;
        broken_off(&site, &played);
    }

    stopped_stream_without_a_copy_is_no_whole_one(site: 1) {
        end_with_connection(&site);
        for engine in &site.engines {
            engine.moves().answer_stops(StopAnswer::KeptUnnamed, AFTER_CLOSE);
        }
        let holder_dies = async {
            until("the order", || async { orders(&site, 0) > 0 }).await;
            let engine = site.engine_of("r0").await;
            site.engines[1 - engine].kill();
        };
        let (played, ()) = futures_util::future::join(play(&site, "/log/a", LONG), holder_dies).await;
        broken_off(&site, &played);
    }

    stream_that_ended_by_itself_is_whole_without_its_copy(site: 1) {
        end_with_connection(&site);
        is_whole_without_its_copy(&site).await;
    }

    chunked_stream_that_ended_by_itself_is_whole_without_its_copy(site: 1) {
        is_whole_without_its_copy(&site).await;
    }

    stopped_stream_waits_for_its_only_copy(site: 1) {
        end_with_connection(&site);
        waits_for_its_only_copy(&site).await;
    }

    chunked_stopped_stream_waits_for_its_only_copy(site: 1) {
        for engine in &site.engines {
            engine.moves().end_stopped(StoppedEnd::LastChunk);
        }
        waits_for_its_only_copy(&site).await;
    }

    run_that_goes_on_unheard_at_its_source_is_stopped_before_the_next(site: 1) {
        for engine in &site.engines {
            engine.moves().answer_stops(StopAnswer::Kept, Duration::ZERO);
        }
        let loses = async {
            let engine = site.engine_of("r0").await;
            site.engines[engine].set_fault(AnswerFault::LoseResumed(Loss::Reset));
        };
        let playing = play(&site, "/log/a", LONG);
        let played = futures_util::future::join(playing, loses).await.0;
        is_whole(&site, &played, LONG);
        let ends: Vec<RunEnd> = site.record.runs_of(&played.id).iter().map(|run| run.end.0).collect();
        assert_eq!(ends, [RunEnd::Migrated, RunEnd::Migrated, RunEnd::Complete], "{}", site.log(0));
    }

    stream_with_a_backup_ends_by_itself_at_its_leaving_engine(site: 1) {
        end_with_connection(&site);
        let id = site.id();
        let stream = async {
            let answer = site.generation(0, "/log/a", LONG, &id).send().await.unwrap();
            answer.text().await.ok()
        };
        let leave = async { drain(&site, site.engine_of(&id).await) };
        let (body, ()) = futures_util::future::join(stream, leave).await;
        untouched(&site, &Played { body, id, left: String::new() }, LONG);
        assert_eq!(orders(&site, 0), 0);
    }

    standby_copies_stop_no_run(site: 1) {
        end_with_connection(&site);
        site.store.set_mode(StoreMode::Silent);
        until("the watch", || async { site.log(0).contains("event=departure_watch active=true") }).await;
        let id = site.id();
        let stream = async {
            let answer = site.large_prompt(0, "/log/a", LONG, &id).send().await.unwrap();
            answer.text().await.ok()
        };
        let leave = async { site.engines[site.engine_of(&id).await].report_leaving(9_000) };
        let (body, ()) = futures_util::future::join(stream, leave).await;
        untouched(&site, &Played { body, id, left: String::new() }, LONG);
        assert!(site.log(0).contains("event=standby_copy "));
        assert_eq!(orders(&site, 0), 0);
    }

    stream_taken_up_elsewhere_is_not_stopped_by_the_order_of_its_first_entry(site: 2) {
        end_with_connection(&site);
        let first = site.id();
        let mut answer = site.large_prompt(0, "/grade/a", LONG, &first).send().await.unwrap();
        let mut begun = String::new();
        while last_event(&begun).unwrap_or(0) < 5 {
            begun.push_str(&String::from_utf8_lossy(&answer.chunk().await.unwrap().unwrap()));
        }
        let engine = site.engine_of(&first).await;
        let second = site.id();
        let last = last_event(&begun).unwrap().to_string();
        let rest = async {
            let req = site.large_prompt(1, "/grade/a", LONG, &second);
            let answer = req.header("Last-Event-Id", last).header("Resumes", &first).send().await;
            answer.unwrap().text().await.ok()
        };
        let leave = async {
            site.engine_of(&second).await;
            drain(&site, engine);
            until("the order", || async { orders(&site, 0) > 0 }).await;
            drop(answer);
        };
        let (rest, ()) = futures_util::future::join(rest, leave).await;
        assert_eq!(last_event(&rest.expect("broken off")), Some(LONG), "{}", site.log(1));
    }
}
