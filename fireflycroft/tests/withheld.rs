//! Upstreams that get no request of this entry for now, and the time until they do.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Pool, RateLimit, Withheld};
use pools::{at, chosen, ix, need, pool};
use std::time::Duration;

cases! {
    paused_upstream_gets_nothing_until_its_pause_ends => pause_ends();
    shorter_pause_does_not_end_a_longer_one => longer_holds();
    choice_leaves_out_a_paused_upstream => left_out();
    no_upstream_is_chosen_where_all_are_paused => none_left();
    wait_is_that_of_the_first_to_be_free => first_is_free();
    pause_and_rate_both_have_to_end => both_end();
}

fn pause(pool: &mut Pool, now: u64, instance: &str, millis: u64) {
    let upstream = ix(pool, instance);
    pool.pause(at(now), upstream, Duration::from_millis(millis));
}

fn until_free(pool: &Pool, now: u64) -> Option<Duration> {
    pool.until_any_is_free(at(now), "models", &need(1))
}

fn pause_ends() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    pause(&mut pool, 100, "a", 2_000);
    assert_eq!(pool.withheld(at(2_099), a), Some(Withheld::Paused));
    assert_eq!(pool.withheld(at(2_100), a), None);
}

fn longer_holds() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    pause(&mut pool, 100, "a", 2_000);
    pause(&mut pool, 200, "a", 500);
    assert_eq!(pool.withheld(at(2_000), a), Some(Withheld::Paused));
}

fn left_out() {
    let mut pool = pool(&["a", "b"]);
    let b = ix(&pool, "b");
    pool.place(at(0), b, &need(9_000));
    assert_eq!(chosen(&pool, at(1), &need(100)), "a");
    pause(&mut pool, 100, "a", 2_000);
    assert_eq!(chosen(&pool, at(101), &need(100)), "b");
}

fn none_left() {
    let mut pool = pool(&["a", "b"]);
    pause(&mut pool, 100, "a", 2_000);
    pause(&mut pool, 100, "b", 2_000);
    assert_eq!(pool.choose(at(101), "models", &need(1), &[]), None);
    assert!(pool.choose(at(2_100), "models", &need(1), &[]).is_some());
}

fn first_is_free() {
    let mut pool = pool(&["a", "b"]);
    assert_eq!(until_free(&pool, 100), None);
    pause(&mut pool, 100, "a", 2_000);
    pause(&mut pool, 100, "b", 700);
    assert_eq!(until_free(&pool, 200), Some(Duration::from_millis(600)));
}

fn both_end() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    pool.record_rate_limit(at(10), a, at(5), RateLimit::new(0.5));
    pool.record_sending(at(20), a);
    pool.record_sending(at(20), a);
    pause(&mut pool, 100, "a", 2_000);
    assert_eq!(until_free(&pool, 100), Some(Duration::from_millis(3_920)));
    pause(&mut pool, 100, "a", 6_000);
    assert_eq!(until_free(&pool, 100), Some(Duration::from_secs(6)));
}
