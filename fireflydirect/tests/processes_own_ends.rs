//! Entry processes whose streams end by themselves beside an order to stop their runs, in every way that a framing allows.

mod support;

use standins::site::Framing::{self, *};
use standins::site::Play;
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use std::time::Duration;
use support::plays::{self, Played, faults, play_all};
use support::{Site, until};

/// Events of a stream that ends before its run is ordered to stop.
const SHORT: u64 = 60;

/// Events of a stream that ends after its run is ordered to stop.
const LONG: u64 = 200;

/// Time of an answer that comes before the end of the body is judged.
const AT_ONCE: Duration = Duration::ZERO;

/// Time of an answer that comes after the end of a body that ends with the order.
const AFTER_END: Duration = Duration::from_millis(300);

/// Time of an answer that comes after the end of a body that ends long after the order.
const AFTER_LONG: Duration = Duration::from_millis(1_600);

/// Time of an answer that comes after copies are tried without it.
const AFTER_COPIES: Duration = Duration::from_millis(1_800);

/// Time of an answer for which nobody waits.
const TOO_LATE: Duration = Duration::from_secs(5);

/// Ends in order of streams whose length isn't stated.
const OPEN: &[(Framing, StoppedEnd)] = &[
    (Chunked, LastChunk),
    (Chunked, LastChunkAndClose),
    (Chunked, Trailers),
    (Chunked, Extension),
    (CodedChunks, LastChunk),
    (ChunkedBesideLength, LastChunk),
    (ChunkedBesideLength, Trailers),
    (UntilClose, Close),
    (UntilClose, HalfClose),
    (CodedUntilClose, Close),
    (OldUntilClose, Close),
    (OldUntilClose, HalfClose),
];

/// Ends in order of streams whose length is stated.
const STATED: &[(Framing, StoppedEnd)] = &[
    (Length, LastChunk),
    (Length, Close),
    (Length, HalfClose),
    (OldLength, LastChunk),
    (OldLength, Close),
];

/// Ends of streams that lack the end of their body, though not a piece.
const LACKING: &[(Framing, StoppedEnd)] = &[
    (Chunked, Close),
    (Chunked, HalfClose),
    (Chunked, WithinSize),
    (Chunked, WithinChunk),
    (Chunked, WithinLastChunk),
    (Chunked, WithinLastLine),
    (Chunked, WithinTrailers),
    (Chunked, LastChunkWithinEvent),
    (CodedChunks, Close),
    (ChunkedBesideLength, Close),
    (UntilClose, WithinEvent),
    (OldUntilClose, WithinEvent),
];

/// Runs that an order may cost a stream that ended by itself.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Runs {
    /// None, since the order's outcome tells that it ended.
    Own,
    /// One, since nothing tells.
    Another,
}

/// Defines test cases of streams that end by themselves, one in each of some ways, and whose orders are answered in a given
/// way.
macro_rules! cases {
    ($($name:ident($ends:ident, $events:ident, $answers:expr, $after:ident, $runs:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let held = $events == SHORT;
                let plays: Vec<(Play, u64)> = $ends.iter().map(|end| (ended(*end, held, $answers, $after), $events)).collect();
                let played = play_all(&mut site, "/log/a", &plays).await;
                all_ended_by_themselves(&site, &played, $events, Runs::$runs).await;
                site.check();
            }
        )+
    };
}

/// Defines test cases of a stream whose engine refuses connections before the order to stop its run.
macro_rules! unsent {
    ($($name:ident($framing:ident, $end:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                for engine in &site.engines {
                    engine.refuse_after_copies();
                }
                let play = ended(($framing, $end), false, &[], AT_ONCE);
                let played = play_all(&mut site, "/log/a", &[(play, LONG)]).await;
                all_ended_by_themselves(&site, &played, LONG, Runs::Own).await;
                site.check();
            }
        )+
    };
}

const fn ended(
    (framing, own_end): (Framing, StoppedEnd),
    holds_end: bool,
    answers: &'static [StopAnswer],
    after: Duration,
) -> Play {
    Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: Close,
        own_end,
        holds_end,
        close_delay: Duration::ZERO,
        answers,
        after,
    }
}

/// Checks that no stream was cut, and that none lost a piece or got one twice.
async fn all_ended_by_themselves(site: &Site, played: &[Played], events: u64, allowed: Runs) {
    let faults = faults(site, played, |p, runs| {
        let most = if allowed == Runs::Own { 1 } else { 2 };
        p.is_whole(events) && runs.len() <= most
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
    until("the orders in the log", || async {
        site.log(0).matches("event=stop_ordered").count() >= played.len()
    })
    .await;
}

cases! {
    ended_streams_are_whole_without_such_a_run(OPEN, SHORT, &[Copied], AT_ONCE, Own);
    ended_streams_wait_for_the_answer_that_there_is_no_such_run(OPEN, SHORT, &[Copied], AFTER_END, Own);
    ended_streams_are_whole_beside_an_answer_after_their_copies(OPEN, SHORT, &[Copied], AFTER_COPIES, Another);
    ended_streams_are_whole_beside_an_answer_that_comes_too_late(OPEN, SHORT, &[Copied], TOO_LATE, Another);
    ended_streams_are_whole_after_a_busy_answer(OPEN, SHORT, &[Busy], AFTER_END, Own);
    ended_streams_are_whole_after_a_refusal(OPEN, SHORT, &[NotExecuted], AFTER_END, Own);
    ended_streams_are_whole_after_one_call_too_many(OPEN, SHORT, &[TooMany], AFTER_END, Own);
    ended_streams_are_whole_after_a_misdirected_order(OPEN, SHORT, &[Misdirected], AFTER_END, Own);
    ended_streams_are_whole_after_a_meaningless_order(OPEN, SHORT, &[Meaningless], AFTER_END, Own);
    ended_streams_are_whole_after_lost_orders(OPEN, SHORT, &[AllLost, AllLost], AT_ONCE, Another);
    ended_streams_are_whole_after_a_lost_order_whose_repeat_finds_none(OPEN, SHORT, &[AllLost, Copied], AFTER_END, Another);
    ended_streams_are_whole_after_a_lost_order_whose_repeat_is_refused(OPEN, SHORT, &[AllLost, NotExecuted], AFTER_END, Another);

    streams_beside_a_busy_answer_are_whole(OPEN, LONG, &[Busy], AT_ONCE, Own);
    streams_beside_a_refusal_are_whole(OPEN, LONG, &[NotExecuted], AT_ONCE, Own);
    streams_that_end_before_a_refusal_are_whole(OPEN, LONG, &[NotExecuted], AFTER_LONG, Own);
    streams_that_end_before_a_busy_answer_are_whole(OPEN, LONG, &[Busy], AFTER_LONG, Own);
    streams_beside_orders_that_never_arrive_are_whole(OPEN, LONG, &[NeverArrived, NeverArrived], AT_ONCE, Another);

    stated_streams_beside_a_busy_answer_are_whole(STATED, LONG, &[Busy], AT_ONCE, Own);
    stated_streams_beside_a_refusal_are_whole(STATED, LONG, &[NotExecuted], AFTER_LONG, Own);
    stated_streams_beside_orders_that_never_arrive_are_whole(STATED, LONG, &[NeverArrived, NeverArrived], AT_ONCE, Own);
    stated_streams_beside_orders_without_an_answer_are_whole(STATED, LONG, &[NeverArrived, NeverArrived], TOO_LATE, Own);

    ended_streams_without_the_end_of_their_body_are_whole(LACKING, SHORT, &[Copied], AT_ONCE, Another);
    ended_streams_without_the_end_of_their_body_are_whole_after_a_refusal(LACKING, SHORT, &[NotExecuted], AFTER_END, Another);
    ended_streams_without_the_end_of_their_body_are_whole_after_lost_orders(LACKING, SHORT, &[AllLost, AllLost], AFTER_END, Another);
}

unsent! {
    chunked_stream_whose_order_was_never_sent_is_whole(Chunked, LastChunk);
    stream_whose_order_was_never_sent_is_whole(UntilClose, Close);
    stated_stream_whose_order_was_never_sent_is_whole(Length, Close);
}
