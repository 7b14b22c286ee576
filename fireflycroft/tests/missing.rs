//! Upstreams missing from the list: removed at once, or only at the end of the grace period.
//!
//! Guards against requests that reach an upstream 2.0 to 2.8 s after the removal of its record, where
//! two seconds are allowed. This happened 2.5 to 3 s after the end of a store outage: entries counted
//! the grace period of 2.5 s from the removal and not from the store's return, though every live
//! upstream was listed again within 1.65 s. The last cases cover the same cause elsewhere: an entry
//! that begins to watch, a list read again, an old record received again.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Incarnation, PoolChange, SETTLE_TIME, Time, UpstreamRecord};
use pools::{at, chosen, ix, need, pool, record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Milliseconds between answers of a watch without changes.
const WATCH_TIMEOUT: u64 = 800;

/// Milliseconds for which a departed upstream may get work.
const DRAIN_TIMEOUT: u64 = 2_000;

/// Milliseconds after the store's return from which removals count.
const REMOVALS_COUNT_AFTER: u64 = 3_000;

/// Milliseconds of silence of the store after which a record may expire: two heartbeats.
const MIN_SILENCE_TO_EXPIRE: u64 = 2_400;

cases! {
    missing_upstream_serves_on_for_a_while => missing_serves_on();
    missing_upstream_that_is_listed_again_stays => missing_comes_back();
    missing_upstream_with_its_old_record_received_stays_missing => old_record_stays_missing();
    removal_after_the_grace_period_is_confirmed_at_once => removal_after_grace_period();
    removal_within_the_grace_period_is_confirmed_at_its_end => removal_in_grace_period();
    removal_after_a_short_silence_is_confirmed_at_once => short_silence();
    no_upstream_is_removed_while_the_store_is_silent => silent_store();
    list_without_an_outage_is_confirmed_at_once => list_without_outage();
    first_list_is_unconfirmed => first_list();
    first_removal_is_confirmed => first_removal();
    first_removal_after_a_silence_is_unconfirmed => first_removal_after_silence();
    store_answers_to_others_count => answers_to_others();
    old_record_of_an_unlisted_upstream_is_ignored => unlisted_record();
    old_record_within_the_grace_period_is_missing_too => unlisted_record_in_grace_period();
    later_incarnation_that_is_unlisted_too_is_missing => missing_incarnation();
    departed_upstream_gets_requests_in_flight_for_a_while => left_recently();
    missing_upstream_gets_requests_in_flight => missing_gets_requests();
}

/// Records answers of the store from one time to another, in milliseconds.
fn store_answers(pool: &mut fireflycroft::Pool, from: u64, to: u64) {
    let mut millis = from;
    while millis < to {
        pool.record_store_answer(at(millis));
        millis += WATCH_TIMEOUT;
    }
    pool.record_store_answer(at(to));
}

/// Returns the end of a grace period that began at `since`.
fn grace_period_end(since: u64) -> Time {
    at(since) + SETTLE_TIME
}

fn serves(pool: &fireflycroft::Pool, instance: &str) -> bool {
    pool.is_serving(ix(pool, instance))
}

fn missing_serves_on() {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 0, 0);
    pool.apply_list(at(0), vec![record("b", 2)], 5);
    assert_eq!(pool.count("models"), 2);
    assert!(pool.remove_missing(at(100)).is_empty());
    store_answers(&mut pool, 0, 2_500);
    assert_eq!(pool.remove_missing(grace_period_end(0)).len(), 1);
    assert_eq!(pool.count("models"), 1);
}

fn missing_comes_back() {
    let mut pool = pool(&["a"]);
    pool.record_store_failure();
    store_answers(&mut pool, 0, 0);
    pool.apply_removal(at(0), "a", 4);
    let a = ix(&pool, "a");
    let missing_for = Duration::from_secs(1);
    let back = PoolChange::Relisted { ix: a, missing_for };
    assert_eq!(pool.upsert(at(1_000), record("a", 5)), Some(back));
    store_answers(&mut pool, 0, 9_000);
    assert!(pool.remove_missing(at(9_000)).is_empty());
    assert_eq!(pool.count("models"), 1);
}

fn old_record_stays_missing() {
    let mut pool = pool(&["a", "b"]);
    pool.record_store_failure();
    store_answers(&mut pool, 0, 0);
    pool.apply_removal(at(0), "a", 4);
    pool.upsert(at(10), record("a", 1));
    // Written after the held record and before the removal.
    pool.upsert(at(20), record("a", 3));
    store_answers(&mut pool, 0, 9_000);
    assert_eq!(pool.remove_missing(at(9_000)).len(), 1);
    assert_eq!(pool.count("models"), 1);
}

/// Returns a pool after a store outage from 4 s to 8 s.
fn after_outage() -> fireflycroft::Pool {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 0, 4_000);
    store_answers(&mut pool, 8_000, 8_000);
    pool
}

fn removal_after_grace_period() {
    let mut pool = after_outage();
    store_answers(&mut pool, 8_000, 10_600);
    let a = ix(&pool, "a");
    let change = pool.apply_removal(at(10_600), "a", 9);
    assert_eq!(change, Some(PoolChange::Leaves(a)));
    assert_eq!(chosen(&pool, at(10_600), &need(1)), "b");
}

fn removal_in_grace_period() {
    let mut pool = after_outage();
    store_answers(&mut pool, 8_000, 10_400);
    let a = ix(&pool, "a");
    let change = pool.apply_removal(at(10_400), "a", 9);
    assert_eq!(change, Some(PoolChange::Missing(a)));
    assert!(serves(&pool, "a"));
    assert_eq!(
        pool.store_connectivity().settles_at(),
        Some(grace_period_end(8_000))
    );
    let gone = pool.remove_missing(grace_period_end(8_000));
    assert_eq!(gone, vec![PoolChange::Leaves(a)]);
    assert_eq!(pool.record(a).revision, 9, "this removal is announced");
}

/// A watch hung on a dead connection for 1.4 s; no heartbeat was missed.
fn short_silence() {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 0, 8_000);
    store_answers(&mut pool, 9_400, 9_400);
    pool.apply_removal(at(9_400), "a", 9);
    assert!(!serves(&pool, "a"));
}

fn silent_store() {
    let mut pool = after_outage();
    pool.apply_removal(at(8_000), "a", 9);
    // The next outage begins before the grace period has ended.
    assert!(pool.remove_missing(at(12_000)).is_empty());
    store_answers(&mut pool, 14_000, 14_000);
    assert!(pool.remove_missing(at(14_000)).is_empty());
    store_answers(&mut pool, 14_000, 16_500);
    assert_eq!(pool.remove_missing(at(16_500)).len(), 1);
}

/// The store dropped its history, and an upstream left before the list was read again.
fn list_without_outage() {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 0, 5_000);
    pool.apply_list(at(5_000), vec![record("b", 2)], 9);
    assert!(!serves(&pool, "a"));
}

/// A newly started entry knows upstreams from other entries, but not the time of the store's last
/// return.
fn first_list() {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 300, 300);
    pool.apply_list(at(300), Vec::new(), 9);
    assert_eq!(pool.count("models"), 2);
}

/// A newly started entry reads the removal of an upstream that it has just listed.
fn first_removal() {
    let mut pool = pool(&["a", "b"]);
    store_answers(&mut pool, 300, 1_100);
    pool.apply_removal(at(1_100), "a", 9);
    assert!(!serves(&pool, "a"));
}

/// An entry starts during a store outage.
fn first_removal_after_silence() {
    let mut pool = pool(&["a", "b"]);
    pool.record_store_failure();
    store_answers(&mut pool, 300, 1_100);
    pool.apply_removal(at(1_100), "a", 9);
    assert!(serves(&pool, "a"));
    store_answers(&mut pool, 1_100, 2_800);
    assert_eq!(pool.remove_missing(grace_period_end(300)).len(), 1);
}

/// All watching entries are lost, and another one takes over a second later.
fn answers_to_others() {
    let mut pool = pool(&["a", "b"]);
    // Announced with its age, as the store answered the others then.
    store_answers(&mut pool, 0, 4_000);
    let announced_at = at(5_000);
    pool.record_store_answer(announced_at - Duration::from_millis(200));
    store_answers(&mut pool, 6_200, 6_200);
    pool.apply_list(at(6_200), vec![record("b", 2)], 9);
    assert!(!serves(&pool, "a"));
}

fn unlisted_record() {
    let mut pool = pool(&["b"]);
    store_answers(&mut pool, 0, 5_000);
    pool.apply_list(at(5_000), vec![record("b", 1)], 9);
    assert_eq!(pool.upsert(at(5_010), record("a", 8)), None);
    assert_eq!(pool.count("models"), 1);
    assert!(pool.upsert(at(5_020), record("a", 10)).is_some());
    assert_eq!(pool.count("models"), 2);
}

fn unlisted_record_in_grace_period() {
    let mut pool = pool(&["b"]);
    store_answers(&mut pool, 300, 300);
    pool.apply_list(at(300), vec![record("b", 1)], 9);
    assert!(pool.upsert(at(310), record("a", 8)).is_some());
    assert!(serves(&pool, "a"));
    store_answers(&mut pool, 300, 2_800);
    assert_eq!(pool.remove_missing(grace_period_end(300)).len(), 1);
}

/// An entry reads the removal of an id before it receives the record of the id's later incarnation.
fn missing_incarnation() {
    let incarnation = |started, revision| UpstreamRecord {
        incarnation: Incarnation(started),
        ..record("a", revision)
    };
    let mut pool = pool(&["b"]);
    pool.upsert(at(0), incarnation(100, 2));
    pool.record_store_failure();
    store_answers(&mut pool, 300, 300);
    pool.apply_removal(at(300), "a", 6);
    let change = pool.upsert(at(310), incarnation(200, 5)).unwrap();
    assert!(matches!(change, PoolChange::Restarted { .. }), "{change:?}");
    store_answers(&mut pool, 300, 2_800);
    assert_eq!(pool.remove_missing(grace_period_end(300)).len(), 1);
    assert_eq!(pool.count("models"), 1);
}

fn left_recently() {
    let mut pool = pool(&["a"]);
    pool.set_drain_timeout(Duration::from_millis(DRAIN_TIMEOUT));
    let a = ix(&pool, "a");
    assert!(pool.may_get_requests(at(0), a));
    pool.remove(at(1_000), "a", 5);
    // A request assigned before, or resumed from a memory backup there.
    assert!(pool.may_get_requests(at(1_500), a));
    assert!(!pool.may_get_requests(at(1_000 + DRAIN_TIMEOUT), a));
    pool.upsert(at(9_000), record("a", 6));
    assert!(pool.may_get_requests(at(9_000), a));
}

fn missing_gets_requests() {
    let mut pool = after_outage();
    pool.set_drain_timeout(Duration::from_millis(DRAIN_TIMEOUT));
    let a = ix(&pool, "a");
    pool.apply_removal(at(8_000), "a", 9);
    assert!(pool.may_get_requests(at(10_400), a));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Whatever the length of the store outage and the delay until an entry notices its end, an upstream
    /// whose removal counts gets no work after the time allowed, and one that is listed again within the
    /// platform's time serves throughout.
    #[test]
    fn removals_that_count_are_confirmed_in_time(
        outage in 100_u64..20_000,
        notice_delay in 0_u64..1_500,
        removed in REMOVALS_COUNT_AFTER..12_000,
        back in 0_u64..2_000,
    ) {
        let mut pool = pool(&["lapses", "leaves"]);
        let returned_at = 10_000 + outage;
        let noticed_at = returned_at + notice_delay;
        store_answers(&mut pool, 0, 10_000);
        store_answers(&mut pool, noticed_at, noticed_at);
        pool.apply_removal(at(noticed_at), "lapses", 8);
        let may_expire = outage >= MIN_SILENCE_TO_EXPIRE;
        let back = (returned_at + back).max(noticed_at);
        store_answers(&mut pool, noticed_at, back);
        pool.remove_missing(at(back));
        prop_assert!(serves(&pool, "lapses") || !may_expire);
        pool.upsert(at(back), record("lapses", 9));
        let removed = returned_at + removed;
        store_answers(&mut pool, back, removed);
        pool.remove_missing(at(removed));
        pool.apply_removal(at(removed), "leaves", 10);
        store_answers(&mut pool, removed, removed + DRAIN_TIMEOUT);
        pool.remove_missing(at(removed + DRAIN_TIMEOUT));
        prop_assert!(!serves(&pool, "leaves"));
        prop_assert!(serves(&pool, "lapses"));
    }
}
