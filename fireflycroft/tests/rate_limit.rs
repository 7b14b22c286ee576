//! Rates that upstreams in need name, and what a fleet then sends them.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Incarnation, Life, Name, Pool, RateChange, RateLimit, ToldRate};
use pools::{at, ix, pool};
use std::time::Duration;

cases! {
    rate_is_known_from_the_answer_that_names_it => rate_is_known();
    rate_is_lifted_by_an_answer_to_a_later_request => rate_is_lifted();
    told_rate_is_known => told_is_known();
    older_word_changes_nothing => older_is_stale();
    rate_of_another_life_counts_for_nothing => other_life();
    lifted_rate_is_told_for_a_while => lifted_is_told();
    many_rates_take_turns => rates_take_turns();
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

/// Tells one pool all that another one has to tell.
fn tell(from: &mut Pool, to: &mut Pool, millis: u64) -> usize {
    let told = from.tell_rates(at(millis));
    let taken = told.iter().filter_map(|t| to.take_rate(at(millis), t));
    taken.count()
}

fn told_is_known() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    assert_eq!(tell(&mut first, &mut second, 120), 1);
    assert_eq!(second.rate_limit(ix(&second, "a")), rate(2.5));
    assert_eq!(tell(&mut second, &mut first, 130), 0);
}

fn older_is_stale() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    answer(&mut second, 100, 115, rate(1.0));
    assert_eq!(tell(&mut first, &mut second, 120), 0);
    assert_eq!(tell(&mut second, &mut first, 130), 1);
    assert_eq!(first.rate_limit(ix(&first, "a")), rate(1.0));
}

fn other_life() {
    let mut pool = pool(&["a"]);
    let told = ToldRate {
        life: Life {
            instance: Name::from("a"),
            incarnation: Incarnation(7),
        },
        limit: rate(1.0),
        age: Duration::ZERO,
    };
    assert_eq!(pool.take_rate(at(50), &told), None);
    assert_eq!(pool.rate_limit(ix(&pool, "a")), None);
}

fn lifted_is_told() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    tell(&mut first, &mut second, 120);
    answer(&mut first, 1_000, 1_010, None);
    assert_eq!(tell(&mut first, &mut second, 1_020), 1);
    assert_eq!(second.rate_limit(ix(&second, "a")), None);
    assert_eq!(first.tell_rates(at(9_000)).len(), 1);
    answer(&mut first, 10_900, 10_910, None);
    assert!(first.tell_rates(at(11_100)).is_empty());
}

fn rates_take_turns() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut first = pool(&names);
    for name in names {
        let upstream = ix(&first, name);
        first.note_rate_limit(at(110), upstream, at(100), rate(2.5));
    }
    let mut second = pool(&names);
    tell(&mut first, &mut second, 200);
    tell(&mut first, &mut second, 450);
    assert!(
        names
            .iter()
            .all(|name| second.rate_limit(ix(&second, name)) == rate(2.5))
    );
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
