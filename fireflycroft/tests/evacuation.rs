//! Evacuated data centres.
//!
//! Guards against requests that reach engines of a data centre more than 5 s, the time allowed, after
//! its evacuation: without this support they did so for 5.0 to 8 s.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Evacuations, Name, Pool, UpstreamRecord};
use pools::{MEMORY, at, chosen, evacuated, ix, need, record};

cases! {
    evacuated_upstream_gets_nothing_new => nothing_new();
    evacuated_upstream_has_not_left => has_not_left();
    older_list_changes_nothing => older_list();
    list_of_the_same_data_centres_is_no_change => same_list();
    data_centre_that_is_taken_back_serves => taken_back();
    nothing_serves_when_all_are_evacuated => all_evacuated();
    unknown_data_centre_concerns_nobody => unknown();
    upstream_that_comes_later_is_evacuated_too => comes_later();
    memory_of_an_evacuated_data_centre_is_no_room => no_room_there();
}

fn in_place(instance: &str, data_centre: &str, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        data_centre: Name::from(data_centre),
        ..record(instance, revision)
    }
}

/// Returns a pool with one engine in each of two data centres; the first is the emptier.
fn two_places() -> Pool {
    let mut pool = Pool::new(Name::from("north"));
    pool.upsert(at(0), in_place("a", "north", 1));
    pool.upsert(at(0), in_place("b", "south", 2));
    pool.set_memory(&Name::from("models"), Some(MEMORY));
    let b = ix(&pool, "b");
    pool.place(at(0), b, &need(5_000));
    pool
}

fn nothing_new() {
    let mut pool = two_places();
    assert_eq!(chosen(&pool, at(0), &need(100)), "a");
    assert!(pool.apply_evacuations(at(0), evacuated(5, &["north"])));
    assert_eq!(chosen(&pool, at(0), &need(100)), "b");
    assert!(pool.is_evacuated(ix(&pool, "a")));
    assert_eq!(pool.count("models"), 1);
}

fn has_not_left() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    let a = ix(&pool, "a");
    assert!(pool.is_serving(a));
    assert_eq!(pool.left_at(a), None);
    assert!(pool.remove_missing(at(60_000)).is_empty());
}

fn older_list() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    assert!(!pool.apply_evacuations(at(0), evacuated(5, &[])));
    assert!(!pool.apply_evacuations(at(0), evacuated(4, &["south"])));
    assert_eq!(chosen(&pool, at(0), &need(100)), "b");
}

fn same_list() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    assert!(!pool.apply_evacuations(at(0), evacuated(6, &["north"])));
    assert_eq!(pool.evacuations().revision, 6);
}

fn taken_back() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    let list = pool.evacuations().clone().with(Name::from("north"), false);
    assert!(pool.apply_evacuations(
        at(0),
        Evacuations {
            revision: 6,
            ..list
        }
    ));
    assert_eq!(chosen(&pool, at(0), &need(100)), "a");
}

fn all_evacuated() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north", "south"]));
    assert_eq!(pool.choose(at(0), "models", &need(100), &[]), None);
}

fn unknown() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["nowhere"]));
    assert_eq!(chosen(&pool, at(0), &need(100)), "a");
    assert_eq!(pool.count("models"), 2);
}

fn comes_later() {
    let mut pool = two_places();
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    pool.upsert(at(0), in_place("c", "north", 7));
    assert_eq!(chosen(&pool, at(0), &need(100)), "b");
}

fn no_room_there() {
    let mut pool = two_places();
    let of_both = pool.service_run_memory_share(at(0), "models");
    pool.apply_evacuations(at(0), evacuated(5, &["north"]));
    let of_one = pool.service_run_memory_share(at(0), "models");
    assert!(of_one > of_both, "{of_one} after {of_both}");
}
