//! Retry delays for callers of an entry without a configuration, and their effect.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{STARTUP_RETRY_AFTER, STARTUP_TIME, unconfigured_retry_after};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::time::Duration;

cases! {
    entry_that_may_only_be_starting_is_tried_again_soon => assert_eq!(unconfigured_retry_after(Duration::ZERO, 0.5), STARTUP_RETRY_AFTER);
    wait_has_bounds => has_bounds();
    callers_are_spread => spreads();
    more_callers_are_served_after_short_and_long_outages => serves_more();
}

fn has_bounds() {
    for draw in [-3.0, 0.0, 1.0, 70.0] {
        assert!(unconfigured_retry_after(STARTUP_TIME, draw) >= millis(800));
        assert!(unconfigured_retry_after(Duration::from_hours(9), draw) <= millis(1_200));
    }
}

fn spreads() {
    let age = millis(2_000);
    assert!(unconfigured_retry_after(age, 1.0) >= unconfigured_retry_after(age, 0.0) + millis(250));
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Kinds of callers: total time that a caller waits, and objective of its answer.
const KINDS: [(Duration, Duration); 3] = [
    (Duration::from_millis(1_500), Duration::from_millis(100)),
    (Duration::from_secs(6), Duration::from_millis(1_500)),
    (Duration::from_secs(39), Duration::from_millis(1_800)),
];

/// Simulates callers of an outage that retry once, after the given time but at most a third of
/// their own; returns how many are served after the outage, and how many of those in time.
fn simulate(outage: Duration, wait: impl Fn(Duration, f64) -> Duration) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut served, mut in_time) = (0, 0);
    for n in 0..3_000_u32 {
        let arrival = outage.mul_f64(f64::from(n) / 3_000.0);
        let (wait_limit, objective) = KINDS[(rng.next_u32() % 3) as usize];
        let draw = f64::from(rng.next_u32()) / f64::from(u32::MAX);
        let waited = wait(arrival, draw).min(wait_limit / 3);
        if arrival + waited >= outage {
            served += 1;
            in_time += usize::from(waited < objective);
        }
    }
    (served, in_time)
}

/// With 0.1 s for all callers, 166 of 3,000 callers of an outage of 1.8 s were served, 113 of them
/// in time; with the present times 1,383 are, 1,119 in time.
fn serves_more() {
    for outage in [millis(900), millis(1_800), millis(5_000), millis(20_000)] {
        let before = simulate(outage, |_, _| millis(100));
        let now = simulate(outage, unconfigured_retry_after);
        assert!(now.0 > 2 * before.0, "{outage:?}: {before:?}, then {now:?}");
        assert!(now.1 > 2 * before.1, "{outage:?}: {before:?}, then {now:?}");
    }
    assert_eq!(simulate(millis(1_800), |_, _| millis(100)), (166, 113));
    assert_eq!(
        simulate(millis(1_800), unconfigured_retry_after),
        (1_383, 1_119)
    );
}
