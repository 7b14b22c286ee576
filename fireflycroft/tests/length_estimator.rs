//! Length estimates from hints and earlier answers.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{LengthEstimator, Name};

cases! {
    unseen_kind_leans_on_its_bound => unseen_leans();
    true_hints_are_followed => follows_true_hints();
    empty_hints_are_ignored => ignores_empty_hints();
    guess_stays_within_the_bound => within_bound();
    kinds_are_apart => kinds_apart();
    longer_answer_has_more_to_come => more_to_come();
    bound_is_counted_with_its_share => bound_counts();
    without_a_hint_the_mean_is_taken => takes_the_mean();
}

const MOST: u32 = 2_000;

fn kind() -> Name {
    Name::from("log")
}

/// Returns an estimator after 400 answers of 0.4 to 2.5 times their hints.
fn learned() -> LengthEstimator {
    let mut estimator = LengthEstimator::default();
    for i in 0..400_u32 {
        let hint = 100 + i * 37 % 1_000;
        let spread = [4, 7, 10, 14, 25][i as usize % 5];
        let tokens = (hint * spread / 10).min(MOST);
        estimator.record(&kind(), Some(hint), MOST, u64::from(tokens));
    }
    estimator
}

fn more_to_come() {
    let estimator = learned();
    let at = |made| estimator.expect_beyond(&kind(), Some(400), MOST, made);
    assert_eq!(at(0), estimator.expect(&kind(), Some(400), MOST));
    assert!(at(400) > at(0) + 150, "{} {}", at(0), at(400));
    assert!(at(800) > 950, "{}", at(800));
    for made in (0..4_000).step_by(50) {
        assert!(
            at(made) >= made && at(made) >= at(made.saturating_sub(50)),
            "{made}"
        );
        assert!(at(made) <= made.max(u64::from(MOST)), "{made}");
    }
}

/// Longer answers end at the bound, so the mean is well below it.
fn bound_counts() {
    let expected = learned().expect(&kind(), Some(1_900), MOST);
    assert!((1_000..1_800).contains(&expected), "{expected}");
}

fn unseen_leans() {
    let estimator = LengthEstimator::default();
    let tokens = estimator.expect(&kind(), Some(500), MOST);
    assert!((300..1_200).contains(&tokens), "{tokens}");
}

fn follows_true_hints() {
    let mut estimator = LengthEstimator::default();
    for i in 1..400_u32 {
        let tokens = 10 + i * 37 % 1_900;
        estimator.record(&kind(), Some(tokens), MOST, u64::from(tokens));
    }
    let short = estimator.expect(&kind(), Some(50), MOST);
    let long = estimator.expect(&kind(), Some(1_500), MOST);
    assert!((35..80).contains(&short), "{short}");
    assert!((1_100..=2_000).contains(&long), "{long}");
}

fn ignores_empty_hints() {
    let mut estimator = LengthEstimator::default();
    for i in 1..400_u32 {
        let hint = if i % 2 == 0 { 20 } else { 1_900 };
        estimator.record(&kind(), Some(hint), MOST, u64::from(300 + i / 2 % 7));
    }
    let (low, high) = (
        estimator.expect(&kind(), Some(20), MOST),
        estimator.expect(&kind(), Some(1_900), MOST),
    );
    assert!(low.abs_diff(high) < 30, "{low} {high}");
    assert!((280..330).contains(&low), "{low}");
}

fn within_bound() {
    let estimator = LengthEstimator::default();
    assert!(estimator.expect(&kind(), Some(u32::MAX), MOST) <= u64::from(MOST));
    assert_eq!(estimator.expect(&kind(), None, 0), 0);
}

fn kinds_apart() {
    let mut estimator = LengthEstimator::default();
    for _ in 0..100 {
        estimator.record(&Name::from("grade"), Some(10), 72, 8);
    }
    assert!(estimator.expect(&kind(), Some(500), MOST) > 200);
    assert!(estimator.expect(&Name::from("grade"), Some(10), 72) < 20);
}

fn takes_the_mean() {
    let mut estimator = LengthEstimator::default();
    for _ in 0..400 {
        estimator.record(&kind(), Some(100), MOST, 400);
    }
    let tokens = estimator.expect(&kind(), None, MOST);
    assert!((350..450).contains(&tokens), "{tokens}");
}
