//! Rates that upstreams in need name, and what a fleet then sends them.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Pool, RateChange, RateLimit};
use pools::{at, ix, pool};

cases! {
    rate_is_known_from_the_answer_that_names_it => rate_is_known();
    rate_is_lifted_by_an_answer_to_a_later_request => rate_is_lifted();
    answer_to_a_request_sent_before_the_limit_does_not_lift_it => old_answer_lifts_nothing();
}

fn rate(per_second: f64) -> Option<RateLimit> {
    RateLimit::new(per_second)
}

/// Takes an answer that came at one moment to a request of another.
fn answer(pool: &mut Pool, sent: u64, came: u64, named: Option<RateLimit>) -> Option<RateChange> {
    let a = ix(pool, "a");
    pool.note_rate_limit(at(came), a, at(sent), named)
}

fn rate_is_known() {
    let mut pool = pool(&["a", "b"]);
    let change = answer(&mut pool, 100, 110, rate(2.5));
    assert_eq!(
        change,
        Some(RateChange {
            was: None,
            is: rate(2.5)
        })
    );
    assert_eq!(answer(&mut pool, 200, 210, rate(2.5)), None);
    let change = answer(&mut pool, 300, 310, rate(1.0));
    assert_eq!(
        change,
        Some(RateChange {
            was: rate(2.5),
            is: rate(1.0)
        })
    );
    assert_eq!(pool.rate_limit(ix(&pool, "a")), rate(1.0));
    assert_eq!(pool.rate_limit(ix(&pool, "b")), None);
}

fn rate_is_lifted() {
    let mut pool = pool(&["a"]);
    answer(&mut pool, 100, 110, rate(2.5));
    let change = answer(&mut pool, 111, 120, None);
    assert_eq!(
        change,
        Some(RateChange {
            was: rate(2.5),
            is: None
        })
    );
}

fn old_answer_lifts_nothing() {
    let mut pool = pool(&["a"]);
    answer(&mut pool, 100, 200, rate(2.5));
    assert_eq!(answer(&mut pool, 90, 5_000, None), None);
    assert_eq!(pool.rate_limit(ix(&pool, "a")), rate(2.5));
}
