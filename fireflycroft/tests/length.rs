//! Tests of estimated answer lengths against known distributions.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{AnswerLengths, LengthKey, MAX_SKETCHES, Name, Priority, Survival};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Longest answer in these tests.
const LIMIT: u64 = 16_384;
/// Maximum error of a learned probability.
const TOLERANCE: f64 = 0.06;

cases! {
    nothing_seen_gives_a_prior => prior_is_a_distribution();
    learns_a_fixed_length => learns(&[300; 400], 300);
    learns_two_lengths => learns(&[[40, 900]; 200].concat(), 900);
    learns_a_long_tail => learns(&[10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120].repeat(60), 5_120);
    long_so_far_means_longer_to_come => remainder_grows_with_length();
    running_answers_count_as_far_as_they_came => running_answers_count();
    new_workspace_leans_on_the_model => new_workspace_leans_on_model();
    old_lengths_fade => old_lengths_fade_away();
    sketches_are_bounded => sketches_stay_bounded();
    any_lengths_are_learned => any_lengths();
    quantiles_agree_with_survival => quantiles_agree();
}

fn key(workspace: &str) -> LengthKey {
    LengthKey {
        workspace: Name::from(workspace),
        target: Name::from("model"),
        priority: Priority::Batch,
    }
}

/// Records one complete answer, seven tokens at a time.
fn feed(lengths: &mut AnswerLengths, key: &LengthKey, total: u64) {
    let mut at = 0;
    while at < total {
        let next = (at + 7).min(total);
        lengths.record_progress(key, at, next);
        at = next;
    }
    lengths.record_end(key, total);
}

fn learned(totals: &[u64]) -> Survival {
    let mut lengths = AnswerLengths::default();
    for total in totals {
        feed(&mut lengths, &key("a"), *total);
    }
    lengths.survival(&key("a"))
}

fn prior_is_a_distribution() {
    let survival = AnswerLengths::default().survival(&key("a"));
    assert!((survival.beyond(0, 0) - 1.0).abs() < 1e-6);
    let mean = survival.mean(0, LIMIT);
    assert!((50.0..5_000.0).contains(&mean), "{mean}");
}

/// Compares learned survival with the share of `totals`, at powers of two.
fn learns(totals: &[u64], longest: u64) {
    let survival = learned(totals);
    let mut at = 2;
    while at <= longest {
        let above = totals.iter().filter(|t| **t >= at).count();
        #[allow(clippy::cast_precision_loss)]
        let share = above as f64 / totals.len() as f64;
        let got = survival.beyond(0, at);
        assert!((got - share).abs() <= TOLERANCE, "{at}: {got} for {share}");
        at *= 2;
    }
    assert!(survival.beyond(0, longest * 4) <= TOLERANCE);
}

fn remainder_grows_with_length() {
    let survival = learned(&[20, 20, 20, 20, 2_000].repeat(100));
    let early = survival.mean(0, LIMIT);
    let late = survival.mean(100, LIMIT);
    assert!((300.0..700.0).contains(&early), "{early}");
    assert!((1_400.0..2_600.0).contains(&late), "{late}");
}

/// Answers that still run must count; otherwise only short ones are observed.
fn running_answers_count() {
    let mut lengths = AnswerLengths::default();
    for _ in 0..200 {
        feed(&mut lengths, &key("a"), 30);
        lengths.record_progress(&key("a"), 0, 1_000);
    }
    let beyond = lengths.survival(&key("a")).beyond(0, 900);
    assert!((beyond - 0.5).abs() < TOLERANCE, "{beyond}");
}

fn new_workspace_leans_on_model() {
    let mut lengths = AnswerLengths::default();
    for _ in 0..300 {
        feed(&mut lengths, &key("old"), 500);
    }
    let near = lengths.survival(&key("new")).beyond(0, 400);
    assert!(near > 0.9, "{near}");
    for _ in 0..200 {
        feed(&mut lengths, &key("new"), 50);
    }
    let own = lengths.survival(&key("new")).beyond(0, 400);
    assert!(own < 0.1, "{own}");
}

fn old_lengths_fade_away() {
    let mut lengths = AnswerLengths::default();
    for total in [vec![2_000; 1_000], vec![50; 3_000]].concat() {
        feed(&mut lengths, &key("a"), total);
    }
    let beyond = lengths.survival(&key("a")).beyond(0, 200);
    assert!(beyond < 0.05, "{beyond}");
}

fn sketches_stay_bounded() {
    let mut lengths = AnswerLengths::default();
    for i in 0..2 * MAX_SKETCHES {
        feed(&mut lengths, &key(&format!("w{i}")), 10);
    }
    assert!(lengths.sketches() <= MAX_SKETCHES);
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config::with_cases(64), rng)
}

fn any_lengths() {
    let totals = prop::collection::vec(1_u64..6_000, 1..12);
    runner()
        .run(&totals, |totals| {
            learns(&totals.repeat(600 / totals.len()), 6_000);
            Ok(())
        })
        .unwrap();
}

fn quantiles_agree() {
    let survival = learned(&[10, 100, 200, 400, 3_000].repeat(80));
    let args = (0_u64..4_000, 1_u64..99);
    runner()
        .run(&args, |(produced, percent)| {
            #[allow(clippy::cast_precision_loss)]
            let q = percent as f64 / 100.0;
            let tokens = survival.quantile(produced, LIMIT, q);
            prop_assert!(produced + tokens <= LIMIT);
            if produced + tokens < LIMIT {
                prop_assert!(survival.beyond(produced, tokens) <= 1.0 - q + 1e-6);
            }
            if tokens > 0 {
                prop_assert!(survival.beyond(produced, tokens - 1) > 1.0 - q - 1e-6);
            }
            Ok(())
        })
        .unwrap();
}
