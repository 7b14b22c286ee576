//! Entry processes whose engines stop runs and end their streams in every way that a framing allows, and answer the orders
//! in every way.

mod support;

use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{Play, RunEnd};
use std::time::Duration;
use support::Site;
use support::plays::{self, Played, faults, play_all};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Time to the head of a run that goes on, within which it is stopped again.
const LATE_HEAD: Duration = Duration::from_millis(400);

/// Time of an answer that comes before the end of the body is judged.
const AT_ONCE: Duration = Duration::ZERO;

/// Time of an answer that comes after the end of the body.
const AFTER_END: Duration = Duration::from_millis(300);

/// Time of an answer that comes after copies are tried without it.
const AFTER_COPIES: Duration = Duration::from_millis(1_800);

/// Time of an answer for which nobody waits.
const TOO_LATE: Duration = Duration::from_secs(5);

/// Ends of stopped streams in chunks.
const IN_CHUNKS: &[(Framing, StoppedEnd)] = &[
    (Chunked, LastChunk),
    (Chunked, LastChunkAndClose),
    (Chunked, Trailers),
    (Chunked, Extension),
    (Chunked, LastChunkWithinEvent),
    (Chunked, Close),
    (Chunked, HalfClose),
    (Chunked, Reset),
    (Chunked, WithinEvent),
    (Chunked, WithinSize),
    (Chunked, WithinChunk),
    (Chunked, WithinLastChunk),
    (Chunked, WithinLastLine),
    (Chunked, WithinTrailers),
];

/// Ends of stopped streams with other framings.
const OTHERS: &[(Framing, StoppedEnd)] = &[
    (CodedChunks, LastChunk),
    (CodedChunks, Close),
    (ChunkedBesideLength, LastChunk),
    (ChunkedBesideLength, Close),
    (Length, Close),
    (Length, HalfClose),
    (Length, Reset),
    (Length, WithinEvent),
    (OldLength, Close),
    (UntilClose, Close),
    (UntilClose, HalfClose),
    (UntilClose, Reset),
    (UntilClose, WithinEvent),
    (CodedUntilClose, Close),
    (OldUntilClose, Close),
    (OldUntilClose, HalfClose),
];

/// Defines test cases of stopped streams, one with each of some ends, whose orders are answered in a given way.
macro_rules! cases {
    ($($name:ident($ends:ident, $answers:expr, $after:ident, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let plays: Vec<(Play, u64)> = $ends.iter().map(|end| (stopped(*end, $answers, $after), LONG)).collect();
                let played = play_all(&mut site, $path, &plays).await;
                all_went_on(&site, &played);
                site.check();
            }
        )+
    };
}

/// Defines test cases of runs that go on at their source with late heads, whose orders are answered in a given way; the
/// first of them to go on there has them all stopped again.
macro_rules! again {
    ($($name:ident($ends:expr, $answers:expr, $after:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let heads = [AT_ONCE, LATE_HEAD, LATE_HEAD, AT_ONCE];
                let plays = $ends.iter().flat_map(|end| {
                    heads.map(|head_delay| (Play { head_delay, ..stopped(*end, $answers, $after) }, LONG))
                });
                let plays: Vec<(Play, u64)> = plays.collect();
                let played = play_all(&mut site, "/log/a", &plays).await;
                all_went_on(&site, &played);
                site.check();
            }
        )+
    };
}

/// Defines test cases of streams with a stated length that go on with comments of another size, so that the caller's
/// stream has another length.
macro_rules! other_lengths {
    ($($name:ident($framing:ident, $padding:expr);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                let play = stopped(($framing, Close), &[Copied], AT_ONCE);
                let play = Play { padding: $padding, ..play };
                let played = play_all(&mut site, "/log/a", &[(play, LONG), (play, LONG)]).await;
                all_went_on(&site, &played);
                site.check();
            }
        )+
    };
}

const fn stopped(
    (framing, stopped_end): (Framing, StoppedEnd),
    answers: &'static [StopAnswer],
    after: Duration,
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
        after,
    }
}

/// Checks that all runs were stopped and went on from memory, and that no piece was lost or given twice.
fn all_went_on(site: &Site, played: &[Played]) {
    let faults = faults(site, played, |p, runs| {
        let was_stopped = runs[0].end.0 == RunEnd::Migrated;
        let went_on = runs.len() > 1 && runs[1..].iter().all(|r| r.from_memory);
        p.is_whole(LONG) && was_stopped && went_on
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
}

cases! {
    stopped_chunks_go_on_from_their_copies(IN_CHUNKS, &[Copied], AT_ONCE, "/log/a");
    stopped_chunks_wait_for_their_copies(IN_CHUNKS, &[Copied], AFTER_END, "/log/a");
    stopped_chunks_go_on_beside_late_answers(IN_CHUNKS, &[Copied], AFTER_COPIES, "/log/a");
    stopped_chunks_go_on_beside_answers_that_come_too_late(IN_CHUNKS, &[Copied], TOO_LATE, "/log/a");
    stopped_chunks_go_on_at_their_source(IN_CHUNKS, &[Kept], AFTER_END, "/log/a");
    stopped_chunks_go_on_without_a_handle(IN_CHUNKS, &[KeptUnnamed], AFTER_END, "/log/a");
    stopped_chunks_go_on_without_a_usable_handle(IN_CHUNKS, &[KeptUnusable], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_an_answer_that_names_no_copy(IN_CHUNKS, &[CopiedUnnamed], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_lost_answers(IN_CHUNKS, &[AllLost, AllLost], AT_ONCE, "/log/a");
    stopped_chunks_go_on_after_a_lost_answer_and_no_such_run(IN_CHUNKS, &[AllLost, Copied], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_a_lost_answer_and_a_busy_one(IN_CHUNKS, &[AllLost, Busy], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_a_lost_answer_and_a_refusal(IN_CHUNKS, &[AllLost, NotExecuted], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_a_lost_answer_and_one_too_many(IN_CHUNKS, &[AllLost, TooMany], AFTER_END, "/log/a");
    stopped_chunks_go_on_after_an_answer_cut_in_chunks(IN_CHUNKS, &[CutChunks, CutChunks], AFTER_END, "/log/a");
    resumable_stopped_chunks_go_on(IN_CHUNKS, &[AllLost, AllLost], AFTER_END, "/grade/a");

    stopped_streams_go_on_from_their_copies(OTHERS, &[Copied], AT_ONCE, "/log/a");
    stopped_streams_wait_for_their_copies(OTHERS, &[Copied], AFTER_END, "/log/a");
    stopped_streams_go_on_beside_late_answers(OTHERS, &[Copied], AFTER_COPIES, "/log/a");
    stopped_streams_go_on_beside_answers_that_come_too_late(OTHERS, &[Copied], TOO_LATE, "/log/a");
    stopped_streams_go_on_at_their_source(OTHERS, &[Kept], AFTER_END, "/log/a");
    stopped_streams_go_on_without_a_handle(OTHERS, &[KeptUnnamed], AFTER_END, "/log/a");
    stopped_streams_go_on_without_a_usable_handle(OTHERS, &[KeptUnusable], AFTER_END, "/log/a");
    stopped_streams_go_on_after_an_answer_that_names_no_copy(OTHERS, &[CopiedUnnamed], AFTER_END, "/log/a");
    stopped_streams_go_on_after_lost_answers(OTHERS, &[AllLost, AllLost], AT_ONCE, "/log/a");
    stopped_streams_go_on_after_a_lost_answer_and_no_such_run(OTHERS, &[AllLost, Copied], AFTER_END, "/log/a");
    stopped_streams_go_on_after_a_lost_answer_and_a_busy_one(OTHERS, &[AllLost, Busy], AFTER_END, "/log/a");
    stopped_streams_go_on_after_a_lost_answer_and_a_refusal(OTHERS, &[AllLost, NotExecuted], AFTER_END, "/log/a");
    stopped_streams_go_on_after_a_lost_answer_and_one_too_many(OTHERS, &[AllLost, TooMany], AFTER_END, "/log/a");
    stopped_streams_go_on_after_an_answer_cut_before_its_length(OTHERS, &[CutLength, CutLength], AFTER_END, "/log/a");
    stopped_streams_go_on_after_an_answer_cut_with_its_connection(OTHERS, &[CutUntilClose], AFTER_END, "/log/a");
    stopped_streams_go_on_after_a_cut_answer_that_names_no_handle(OTHERS, &[KeptCut], AFTER_END, "/log/a");
    resumable_stopped_streams_go_on(OTHERS, &[AllLost, AllLost], AFTER_END, "/grade/a");
}

again! {
    chunks_stopped_again_before_their_heads_go_on([(Chunked, LastChunk), (Chunked, Trailers)], &[Kept], AT_ONCE);
    streams_stopped_again_before_their_heads_go_on([(UntilClose, Close), (OldUntilClose, Close)], &[Kept], AT_ONCE);
}

other_lengths! {
    stated_stream_that_goes_on_with_more_bytes_is_whole(Length, [0, 20]);
    stated_stream_that_goes_on_with_fewer_bytes_is_whole(Length, [20, 0]);
    stated_stream_of_an_old_engine_that_goes_on_with_more_bytes_is_whole(OldLength, [0, 20]);
    chunks_beside_a_length_that_go_on_with_more_bytes_are_whole(ChunkedBesideLength, [0, 20]);
}
