//! Entry processes whose streams end by themselves, or are stopped, at drawn moments about that of the order.
//!
//! `FIREFLY_RACING_SEEDS` names the seeds (default: the short CI run). A seed always gives the same plays; what became of the
//! streams is counted and printed.

mod support;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{Play, Run, RunEnd};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::plays::{self, Played, faults, play_all};

/// Streams of a seed.
const STREAMS: usize = 14;

/// Events of streams that end some 400 ms before to 400 ms after the order.
const ABOUT_ORDER: std::ops::Range<u64> = 95..185;

/// Events of a stream that ends before the order, and is closed after it.
const BEFORE_ORDER: u64 = 60;

/// Time from the order to the latest close of a stream that ended before it.
const MAX_CLOSE_DELAY: u64 = 400;

/// Time from the order to an answer that comes in time, at most.
const MAX_ANSWER_DELAY: u64 = 600;

/// Times from the order to a late answer, about those at which copies are tried without it.
const LATE: std::ops::Range<u64> = 1_200..2_600;

/// Framings, with the ends in order that each allows.
const ENDS: &[(Framing, &[StoppedEnd])] = &[
    (
        Chunked,
        &[LastChunk, LastChunkAndClose, Trailers, Extension],
    ),
    (CodedChunks, &[LastChunk, LastChunkAndClose]),
    (ChunkedBesideLength, &[LastChunk, Trailers]),
    (UntilClose, &[Close, HalfClose]),
    (CodedUntilClose, &[Close]),
    (OldUntilClose, &[Close, HalfClose]),
];

/// What becomes of the orders.
#[derive(Clone, Copy)]
enum Orders {
    /// They are carried out and answered.
    Answered,
    /// They are carried out, and the answers are lost.
    Lost,
    /// They are carried out and answered late.
    Late,
    /// They are refused.
    Refused,
}

/// Defines test cases of streams on a path whose orders have one outcome.
macro_rules! cases {
    ($($name:ident($orders:ident, $path:literal, $seeds:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let seeds = std::env::var("FIREFLY_RACING_SEEDS").unwrap_or_else(|_| $seeds.to_owned());
                let mut counts = BTreeMap::new();
                let mut faults = String::new();
                for seed in seeds.split(',').filter_map(|s| s.trim().parse().ok()) {
                    faults += &race(seed, Orders::$orders, $path, &mut counts).await;
                }
                println!("{}: {counts:?}", stringify!($name));
                assert!(faults.is_empty(), "{faults}");
            }
        )+
    };
}

fn draw(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> u64 {
    range.start + rng.next_u64() % (range.end - range.start)
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, of: &[T]) -> T {
    let at = draw(rng, 0..of.len() as u64);
    of[usize::try_from(at).unwrap()]
}

/// Draws a play and the events of its stream.
fn drawn(rng: &mut ChaCha8Rng, orders: Orders) -> (Play, u64) {
    let (framing, ends) = pick(rng, ENDS);
    let answers: &[&'static [StopAnswer]] = match orders {
        Orders::Answered | Orders::Late => &[&[Copied]],
        Orders::Lost => &[&[AllLost, AllLost], &[AllLost, Copied], &[AllLost, Busy]],
        Orders::Refused => &[&[Busy], &[NotExecuted], &[TooMany]],
    };
    let after = match orders {
        Orders::Late => LATE,
        _ => 0..MAX_ANSWER_DELAY,
    };
    let holds_end = draw(rng, 0..2) == 0;
    let events = draw(rng, ABOUT_ORDER);
    let close_delay = draw(rng, 0..MAX_CLOSE_DELAY);
    let play = Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: pick(rng, ends),
        own_end: pick(rng, ends),
        holds_end,
        close_delay: Duration::from_millis(if holds_end { close_delay } else { 0 }),
        answers: pick(rng, answers),
        after: Duration::from_millis(draw(rng, after)),
    };
    (play, if holds_end { BEFORE_ORDER } else { events })
}

/// Plays the streams of a seed and counts what became of them; returns what was wrong.
async fn race(
    seed: u64,
    orders: Orders,
    path: &str,
    counts: &mut BTreeMap<(&'static str, &'static str), usize>,
) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plays: Vec<(Play, u64)> = (0..STREAMS).map(|_| drawn(&mut rng, orders)).collect();
    let mut site = plays::site().await;
    let played = play_all(&mut site, path, &plays).await;
    for (p, (_, events)) in played.iter().zip(&plays) {
        let runs = site.record.runs_of(&p.id);
        let became = became(p, &runs, *events);
        let first = ended(p, &runs, site.record.ordered_at(&p.id));
        *counts.entry((first, became)).or_default() += 1;
    }
    let faults = faults(&site, &played, |p, _| {
        let at = played.iter().position(|q| q.id == p.id).unwrap();
        p.is_whole(plays[at].1)
    });
    site.check();
    if faults.is_empty() {
        return faults;
    }
    format!("seed {seed}: {faults}\n{}\n", site.log(0))
}

/// Returns how the first run of a stream ended.
fn ended(played: &Played, runs: &[Run], ordered_at: Option<Instant>) -> &'static str {
    let (end, at) = runs[0].end;
    let was_before = !played.play.holds_end && ordered_at.is_none_or(|ordered| at < ordered);
    match end {
        RunEnd::Complete if was_before => "before the order",
        RunEnd::Complete => "by itself",
        RunEnd::Migrated => "stopped",
        _ => "otherwise",
    }
}

/// Returns what became of a stream.
fn became(played: &Played, runs: &[Run], events: u64) -> &'static str {
    match (&played.body, runs.get(1)) {
        (None, _) => "cut",
        (Some(_), _) if !played.is_whole(events) => "short or doubled",
        (_, None) => "whole",
        (_, Some(next)) if next.from_memory => "whole from a copy",
        _ => "whole run anew",
    }
}

cases! {
    ends_that_race_with_answered_orders_are_whole(Answered, "/log/a", "1,2,3");
    ends_that_race_with_lost_orders_are_whole(Lost, "/log/a", "1,2,3");
    ends_that_race_with_late_answers_are_whole(Late, "/log/a", "1,2,3");
    ends_that_race_with_refused_orders_are_whole(Refused, "/log/a", "1,2");
    resumable_ends_that_race_with_answered_orders_are_whole(Answered, "/grade/a", "1,2");
    resumable_ends_that_race_with_lost_orders_are_whole(Lost, "/grade/a", "1,2,3");
    resumable_ends_that_race_with_late_answers_are_whole(Late, "/grade/a", "1,2");
}
