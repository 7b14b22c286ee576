//! Entry processes whose engines stop runs of which there is no copy yet, and end their streams in every way.

mod support;

use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{AnswerFault, Play, RunEnd};
use std::time::Duration;
use support::Site;
use support::plays::{self, Played, faults, play_all};

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Time of an answer that comes before the end of the body is judged.
const AT_ONCE: Duration = Duration::ZERO;

/// Time of an answer that comes after the end of the body.
const AFTER_END: Duration = Duration::from_millis(300);

/// Time of an answer that comes after copies are tried without it.
const AFTER_COPIES: Duration = Duration::from_millis(1_800);

/// Ends of stopped streams.
const ENDS: &[(Framing, StoppedEnd)] = &[
    (Chunked, LastChunk),
    (Chunked, LastChunkAndClose),
    (Chunked, Trailers),
    (Chunked, Extension),
    (Chunked, LastChunkWithinEvent),
    (Chunked, Close),
    (CodedChunks, LastChunk),
    (ChunkedBesideLength, LastChunk),
    (Length, Close),
    (OldLength, Close),
    (UntilClose, Close),
    (UntilClose, HalfClose),
    (UntilClose, Reset),
    (CodedUntilClose, Close),
    (OldUntilClose, Close),
];

/// Defines test cases of stopped streams, one with each end, whose orders are answered in a given way.
macro_rules! cases {
    ($($name:ident($answers:expr, $after:ident, $path:literal) $check:ident;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let mut site = plays::site().await;
                for engine in &site.engines {
                    engine.set_fault(AnswerFault::HoldHead);
                }
                let plays: Vec<(Play, u64)> = ENDS.iter().map(|end| (stopped(*end, $answers, $after), LONG)).collect();
                let played = play_all(&mut site, $path, &plays).await;
                $check(&site, &played);
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

/// Checks that all streams went on, and that no piece was lost or given twice.
fn all_went_on(site: &Site, played: &[Played]) {
    let faults = faults(site, played, |p, runs| {
        p.is_whole(LONG) && runs[0].end.0 == RunEnd::Migrated
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
}

/// Checks that no part of a stream was given out as a whole answer, and that none was run anew.
fn all_were_cut(site: &Site, played: &[Played]) {
    let faults = faults(site, played, |p, runs| {
        p.body.is_none() && runs.len() == 1 && runs[0].end.0 == RunEnd::Migrated
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
}

/// Checks that each stream is whole or was cut.
fn none_is_a_part(site: &Site, played: &[Played]) {
    let faults = faults(site, played, |p, _| p.body.is_none() || p.is_whole(LONG));
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
}

cases! {
    lone_streams_go_on_from_their_copy(&[Copied], AT_ONCE, "/log/a") all_went_on;
    lone_streams_wait_for_their_copy(&[Copied], AFTER_END, "/log/a") all_went_on;
    lone_streams_wait_long_for_their_copy(&[Copied], AFTER_COPIES, "/log/a") all_went_on;
    lone_streams_kept_at_their_source_are_no_parts(&[Kept], AFTER_END, "/log/a") none_is_a_part;
    lone_streams_without_a_handle_are_cut(&[KeptUnnamed], AFTER_END, "/log/a") all_were_cut;
    lone_streams_without_a_usable_handle_are_cut(&[KeptUnusable], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answer_names_no_copy_are_cut(&[CopiedUnnamed], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answer_names_no_copy_and_says_that_nothing_was_done_are_cut(&[CopiedMarked], AFTER_END, "/log/a") all_were_cut;
    lone_streams_without_a_usable_handle_whose_answer_says_that_nothing_was_done_are_cut(&[KeptMarked], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answer_is_cut_before_its_length_are_cut(&[CutLength, Copied], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answer_is_cut_in_chunks_are_cut(&[CutChunks, Busy], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answer_is_cut_with_its_connection_are_cut(&[CutUntilClose], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_handle_is_cut_are_cut(&[KeptCut], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_answers_are_lost_are_cut(&[AllLost, AllLost], AT_ONCE, "/log/a") all_were_cut;
    lone_streams_whose_repeat_finds_no_run_are_cut(&[AllLost, Copied], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_repeat_is_busy_are_cut(&[AllLost, Busy], AFTER_END, "/log/a") all_were_cut;
    lone_streams_whose_repeat_is_refused_are_cut(&[AllLost, NotExecuted], AFTER_END, "/log/a") all_were_cut;
    lone_resumable_streams_without_a_handle_go_on(&[KeptUnnamed], AFTER_END, "/grade/a") all_went_on;
    lone_resumable_streams_whose_answers_are_lost_go_on(&[AllLost, AllLost], AT_ONCE, "/grade/a") all_went_on;
}
