//! Entry processes that read answers of model engines in full: a run is lost, an order to stop it may be carried out on the
//! next one at the same engine, and that one's body ends in order.

mod support;

use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{AnswerFault, Loss, Play, RunEnd};
use std::time::Duration;
use support::streams::list;
use support::{Site, outcome, until, whole_stream};

/// Events of an answer that outlasts an order to stop its run.
const EVENTS: u64 = 100;

/// Events after which the rest of the first answer is lost.
const LOST_AFTER: u64 = 5;

/// Answers to the two calls of an order that is carried out later.
const LATE: &[StopAnswer] = &[CarriedOutLate, CarriedOutLate];

/// Defines test cases of an answer with a framing and an end, whose lost run is ordered to stop.
macro_rules! cases {
    ($($name:ident($framing:ident, $end:ident, $answers:expr) => $check:ident;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $check(($framing, $end), $answers).await;
            }
        )+
    };
}

/// Starts a site whose `grade` route answers calls that may be repeated, from model engines.
async fn site() -> Site {
    let mut site = Site::without_entries().await;
    site.grade_kind = "safe";
    site.without = "standby_copies";
    site.start_entries(1).await;
    site
}

const fn play((framing, end): (Framing, StoppedEnd), answers: &'static [StopAnswer]) -> Play {
    Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: end,
        own_end: end,
        holds_end: false,
        close_delay: Duration::ZERO,
        answers,
        after: Duration::ZERO,
    }
}

/// Calls an engine that loses the rest of its first answer, and has the entry repeat the call there; returns status, code
/// and body of the answer, and how the runs ended.
async fn repeat(site: &Site, play: Play) -> ((u16, Option<u32>), Option<String>, Vec<RunEnd>) {
    for engine in &site.engines {
        engine.set_fault(AnswerFault::LoseRest(LOST_AFTER, Loss::Reset));
    }
    let id = site.id();
    site.record.play(&id, play);
    let req = site.stream(0, "/grade/a", EVENTS, &id);
    let leave = async {
        let lost = site.engine_of(&id).await;
        until("the order", || async {
            site.log(0).contains("event=stop_ordered")
        })
        .await;
        // The entry has no other engine to repeat the call at.
        list(site, 1 - lost, "draining");
        lost
    };
    let (answer, lost) = futures_util::future::join(req.send(), leave).await;
    let answer = answer.unwrap();
    let seen = outcome(&answer);
    let body = answer.text().await.ok();
    let runs = site.record.runs_of(&id);
    let instance = site.engines[lost].instance();
    assert!(runs.len() > 1, "{runs:#?}\n{}", site.log(0));
    assert!(
        runs.iter().all(|r| r.instance == instance),
        "{runs:#?}\n{}",
        site.log(0)
    );
    let body = body.map(|body| body.replace(&id, "ID"));
    (seen, body, runs.iter().map(|r| r.end.0).collect())
}

/// Checks that a part isn't given out as a whole answer.
async fn is_none(end: (Framing, StoppedEnd), answers: &'static [StopAnswer]) {
    let site = site().await;
    let (seen, body, ends) = repeat(&site, play(end, answers)).await;
    assert_eq!(ends[1], RunEnd::Migrated, "{}", site.log(0));
    assert_eq!(seen, (502, Some(4001)), "{body:?}\n{}", site.log(0));
    site.check();
}

/// Checks that an answer that ended by itself is whole.
async fn is_whole(end: (Framing, StoppedEnd), answers: &'static [StopAnswer]) {
    let site = site().await;
    let (seen, body, ends) = repeat(&site, play(end, answers)).await;
    assert_eq!(seen.0, 200, "{body:?}\n{}", site.log(0));
    assert_eq!(body, Some(whole_stream("ID", EVENTS)), "{}", site.log(0));
    assert_eq!(ends.len(), 2);
    site.check();
}

cases! {
    stopped_chunks_are_no_answer(Chunked, LastChunk, LATE) => is_none;
    stopped_chunks_whose_connection_closes_are_no_answer(Chunked, LastChunkAndClose, LATE) => is_none;
    stopped_chunks_with_trailers_are_no_answer(Chunked, Trailers, LATE) => is_none;
    stopped_coded_chunks_are_no_answer(CodedChunks, LastChunk, LATE) => is_none;
    stopped_chunks_beside_a_length_are_no_answer(ChunkedBesideLength, LastChunk, LATE) => is_none;
    stopped_body_until_the_close_is_no_answer(UntilClose, Close, LATE) => is_none;
    stopped_body_until_half_a_close_is_no_answer(UntilClose, HalfClose, LATE) => is_none;
    stopped_body_of_an_old_engine_is_no_answer(OldUntilClose, Close, LATE) => is_none;
    stopped_body_with_a_length_is_no_answer(Length, Close, LATE) => is_none;

    chunks_after_a_refused_order_are_whole(Chunked, LastChunk, &[NeverExecuted, NeverExecuted]) => is_whole;
    body_until_the_close_after_a_refused_order_is_whole(UntilClose, Close, &[NeverExecuted, NeverExecuted]) => is_whole;
    body_with_a_length_after_a_lost_order_is_whole(Length, Close, &[NeverArrived, NeverArrived]) => is_whole;
    old_body_with_a_length_after_a_lost_order_is_whole(OldLength, Close, &[NeverArrived, NeverArrived]) => is_whole;
}
