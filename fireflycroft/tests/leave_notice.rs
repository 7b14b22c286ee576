//! Leave notices in the responses of upstreams.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Incarnation, Name, Pool, PoolChange, UpstreamRecord};
use pools::{at, chosen, ix, leaving, need, pool, record};
use std::time::Duration;

cases! {
    upstream_that_says_that_it_leaves_is_not_chosen => not_chosen();
    leaving_is_news_once => news_once();
    record_of_before_does_not_bring_it_back => old_record();
    later_record_of_its_leaving_extends_nothing => list_says_it_later();
    chosen_before_it_may_get_requests_for_a_while => gets_chosen_ones();
    life_that_begins_anew_serves => new_life();
    told_leaving_is_known_and_told_on => told_on();
    leaving_of_another_life_counts_for_nothing => other_life();
    what_the_list_says_is_told_no_more => list_knows();
    upstream_that_had_left_already_is_no_news => had_left();
}

fn says_so(pool: &mut Pool, millis: u64, instance: &str) -> Option<PoolChange> {
    let upstream = ix(pool, instance);
    pool.record_leave_notice(at(millis), upstream)
}

fn not_chosen() {
    let mut pool = pool(&["a", "b"]);
    says_so(&mut pool, 5, "a");
    assert_eq!(chosen(&pool, at(6), &need(100)), "b");
    says_so(&mut pool, 7, "b");
    assert_eq!(pool.choose(at(8), "models", &need(100), &[]), None);
}

fn news_once() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    assert_eq!(says_so(&mut pool, 5, "a"), Some(PoolChange::Leaves(a)));
    assert_eq!(says_so(&mut pool, 9, "a"), None);
    assert_eq!(pool.left_at(a), Some(at(5)));
}

fn old_record() {
    let mut pool = pool(&["a"]);
    says_so(&mut pool, 5, "a");
    let a = ix(&pool, "a");
    assert_eq!(pool.upsert(at(400), record("a", 9)), None);
    assert!(!pool.is_serving(a));
    assert_eq!(pool.left_at(a), Some(at(5)));
}

fn list_says_it_later() {
    let mut pool = pool(&["a"]);
    pool.set_drain_timeout(Duration::from_secs(2));
    says_so(&mut pool, 5, "a");
    let a = ix(&pool, "a");
    assert_eq!(pool.upsert(at(1_500), leaving("a", 9)), None);
    assert_eq!(pool.remove(at(1_600), "a", 10), None);
    assert!(!pool.may_get_requests(at(2_005), a));
}

fn gets_chosen_ones() {
    let mut pool = pool(&["a"]);
    pool.set_drain_timeout(Duration::from_secs(2));
    says_so(&mut pool, 5, "a");
    let a = ix(&pool, "a");
    assert!(pool.may_get_requests(at(1_000), a));
    assert!(!pool.may_get_requests(at(2_005), a));
}

fn born(instance: &str, revision: u64, millis: u64) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: Incarnation(millis),
        ..record(instance, revision)
    }
}

fn new_life() {
    let mut pool = Pool::new(Name::from("dc"));
    pool.upsert(at(0), born("a", 1, 100));
    says_so(&mut pool, 5, "a");
    pool.upsert(at(900), born("a", 2, 200));
    assert!(pool.is_serving(ix(&pool, "a")));
}

fn told_on() {
    let mut pools = [pool(&["a"]), pool(&["a"]), pool(&["a"])];
    says_so(&mut pools[0], 5, "a");
    for to in 1..3 {
        let told = pools[to - 1].leave_notices_to_announce(at(10));
        assert_eq!(told.len(), 1);
        assert!(pools[to].apply_leave_notice(at(11), &told[0]).is_some());
        assert!(!pools[to].is_serving(ix(&pools[to], "a")));
    }
}

fn other_life() {
    let mut first = pool(&["a"]);
    says_so(&mut first, 5, "a");
    let told = first.leave_notices_to_announce(at(10));
    let mut second = Pool::new(Name::from("dc"));
    second.upsert(at(0), born("a", 1, 100));
    assert_eq!(second.apply_leave_notice(at(11), &told[0]), None);
    assert!(second.is_serving(ix(&second, "a")));
}

fn list_knows() {
    let mut pool = pool(&["a"]);
    says_so(&mut pool, 5, "a");
    pool.upsert(at(10), leaving("a", 9));
    assert!(pool.leave_notices_to_announce(at(11)).is_empty());
}

fn had_left() {
    let mut pool = pool(&["a"]);
    pool.upsert(at(3), leaving("a", 9));
    assert_eq!(says_so(&mut pool, 5, "a"), None);
    assert_eq!(pool.left_at(ix(&pool, "a")), Some(at(3)));
}
