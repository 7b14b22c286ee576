//! Tests of the arrivals, token checks and meters of the load tool, without sockets.

use std::time::Duration;

use standins::load::{Goal, Meter, Mix, TokenCheck, Violation, arrivals};
use tokio::time::Instant;

/// Generates a test for each case from its name and the call that checks it.
macro_rules! cases {
    ($($name:ident => $check:ident($($arg:expr),* $(,)?);)*) => {
        mod cases {
            use super::*;

            $(
                #[test]
                fn $name() {
                    super::$check($($arg),*);
                }
            )*
        }
    };
}

cases! {
    arrivals_repeat_by_seed => arrivals_repeat("celje");
    arrivals_have_the_rate => arrivals_have_the_rate("kerlann");
    whole_answer => check(&["a.m.0 a.m.1 ", "a.m.2 "], 3, None);
    empty_answer => check(&[], 1, Some(Violation::WrongLength));
    short_answer => check(&["a.m.0 "], 2, Some(Violation::WrongLength));
    two_generations => check(&["a.m.0 ", "b.m.1 "], 2, Some(Violation::OtherGeneration));
    someone_elses_token => check(&["a.m.0 ", "a.n.1 "], 2, Some(Violation::OtherRequest));
    token_twice => check(&["a.m.0 ", "a.m.0 "], 1, Some(Violation::Repeated));
    token_missing => check(&["a.m.0 ", "a.m.2 "], 3, Some(Violation::Gap));
    token_unreadable => check(&["hello "], 1, Some(Violation::Malformed));
    meter_within_goal => meter(&[100, 110, 120], 0.0, true);
    meter_late_first_token => meter(&[130, 140], 30.0, false);
    meter_late_token => meter(&[100, 150], 40.0, false);
    meter_sums_stalls => meter(&[110, 130, 160], 10.0 + 10.0 + 20.0, false);
    meter_scales_time => meter_scales_time(10.0);
    meter_counts_the_wait_before_a_cut => meter_counts_cut();
}

const GOAL: Goal = Goal {
    first_token_ms: 100.0,
    gap_ms: 10.0,
};

fn arrivals_repeat(mix: &str) {
    let mix = Mix::built_in(mix).unwrap();
    let draw = |seed| arrivals(&mix, 5.0, Duration::from_mins(1), seed).collect::<Vec<_>>();
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

fn arrivals_have_the_rate(mix: &str) {
    let mix = Mix::built_in(mix).unwrap();
    let found = arrivals(&mix, 10.0, Duration::from_secs(1_000), 1).count();
    assert!((9_500..10_500).contains(&found), "{found}");
}

fn check(texts: &[&str], expected: u64, violation: Option<Violation>) {
    let mut check = TokenCheck::new("m");
    for text in texts {
        check.push_text(text);
    }
    check.complete(expected);
    assert_eq!(check.violation(), violation);
}

/// Checks the stall time and the goal of tokens at these milliseconds after the
/// arrival.
fn meter(tokens: &[u64], stall_ms: f64, met_goal: bool) {
    let arrival = Instant::now();
    let mut meter = Meter::new(GOAL, 1.0, arrival);
    for token in tokens {
        meter.record_token(arrival + Duration::from_millis(*token));
    }
    assert!((meter.stall_ms() - stall_ms).abs() < 1e-6);
    assert_eq!(meter.met_goal(), met_goal);
    assert_eq!(meter.gaps_ms().len(), tokens.len() - 1);
}

fn meter_scales_time(scale: f64) {
    let arrival = Instant::now();
    let mut meter = Meter::new(GOAL, scale, arrival);
    meter.record_token(arrival + Duration::from_millis(9));
    let first = meter.first_token_ms().unwrap();
    assert!((first - 90.0).abs() < 1e-6);
}

fn meter_counts_cut() {
    let arrival = Instant::now();
    let mut meter = Meter::new(GOAL, 1.0, arrival);
    meter.record_cut(arrival + Duration::from_millis(300));
    assert!((meter.stall_ms() - 200.0).abs() < 1e-6);
    assert_eq!(meter.first_token_ms(), None);
}
