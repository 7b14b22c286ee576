//! A store restored from a backup: the order of revisions across its eras, and the grace period.
//!
//! Guards against two failures: an engine that gives its leave notice again, at a revision below
//! its last one, keeps receiving requests; engines started after the backup was made are considered
//! gone, and their runs are migrated.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    Incarnation, Name, Pool, SETTLE_TIME, UpstreamRecord, UpstreamState, era_of, number_of,
    revision_in,
};
use pools::{at, evacuated, ix, record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

cases! {
    record_of_a_later_era_goes_before_a_higher_number => later_era_is_newer();
    record_of_a_former_era_that_comes_late_changes_nothing => former_era_is_stale();
    removal_of_a_former_era_that_comes_late_changes_nothing => former_removal_is_stale();
    upstream_that_the_copy_lacks_is_missing_at_first => lacked_is_missing();
    upstream_that_is_not_written_again_is_gone => not_written_again();
    upstream_that_left_before_does_not_serve_by_the_copy => left_before();
    upstream_that_is_gone_does_not_serve_by_the_copy => gone_before();
    upstream_that_writes_its_record_anew_serves => writes_anew();
    upstream_that_states_no_start_and_left_does_not_serve_by_the_copy => left_without_start();
    upstream_that_states_no_start_and_is_gone_does_not_serve_by_the_copy => gone_without_start();
    upstream_that_states_no_start_and_writes_its_record_anew_serves => anew_without_start();
    upstream_that_states_its_start_after_the_restore_serves => start_stated_later();
    another_incarnation_of_one_that_left_serves => another_incarnation();
    evacuation_that_the_copy_lacks_holds_for_a_while => evacuation_is_unconfirmed();
    evacuation_ended_without_outage_is_over => evacuation_ends();
    restore_after_a_restore_restarts_the_grace_period => twice();
}

fn record_of(instance: &str, revision: u64, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: Incarnation(7),
        state,
        ..record(instance, revision)
    }
}

fn serving(instance: &str, revision: u64) -> UpstreamRecord {
    record_of(instance, revision, UpstreamState::Serving)
}

fn leaving(instance: &str, revision: u64) -> UpstreamRecord {
    record_of(instance, revision, UpstreamState::Leaving)
}

/// Creates a pool of two engines that has observed an undisturbed store for a while.
fn settled_pool() -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    pool.upsert(at(0), serving("a", revision_in(1, 900)));
    pool.upsert(at(0), serving("b", revision_in(1, 901)));
    for tick in 0..10 {
        pool.record_store_answer(at(tick * 1_000));
    }
    assert!(pool.is_settled(at(9_000)));
    pool
}

fn serves(pool: &Pool, instance: &str) -> bool {
    pool.is_serving(ix(pool, instance))
}

fn later_era_is_newer() {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), leaving("a", revision_in(2, 12)));
    assert!(!serves(&pool, "a"));
}

fn former_era_is_stale() {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), leaving("a", revision_in(2, 12)));
    pool.upsert(at(9_001), serving("a", revision_in(1, 2_000)));
    assert!(!serves(&pool, "a"));
}

fn former_removal_is_stale() {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), serving("a", revision_in(2, 12)));
    pool.apply_removal(at(9_001), "a", revision_in(1, 2_000));
    assert!(serves(&pool, "a"));
}

/// Restores the store from a backup that has only the first engine.
fn restore_without_b(pool: &mut Pool) {
    pool.record_store_restored(at(9_000));
    let copied = vec![serving("a", revision_in(2, 900))];
    pool.apply_list(at(9_000), copied, revision_in(2, 950));
}

fn lacked_is_missing() {
    let mut pool = settled_pool();
    restore_without_b(&mut pool);
    assert!(serves(&pool, "b"));
    assert!(pool.any_missing());
    pool.upsert(at(10_500), serving("b", revision_in(2, 951)));
    pool.record_store_answer(at(10_500));
    pool.record_store_answer(at(9_000) + SETTLE_TIME);
    assert!(pool.remove_missing(at(9_000) + SETTLE_TIME).is_empty());
    assert!(serves(&pool, "b"));
}

fn not_written_again() {
    let mut pool = settled_pool();
    restore_without_b(&mut pool);
    pool.record_store_answer(at(10_000));
    let settled = at(9_000) + SETTLE_TIME;
    assert_eq!(pool.remove_missing(settled).len(), 1);
    assert!(!serves(&pool, "b"));
}

fn left_before() {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), leaving("a", revision_in(1, 990)));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), serving("a", revision_in(2, 900)));
    assert!(!serves(&pool, "a"));
}

fn gone_before() {
    let mut pool = settled_pool();
    pool.apply_removal(at(9_000), "a", revision_in(1, 990));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), serving("a", revision_in(2, 900)));
    assert!(!serves(&pool, "a"));
}

fn writes_anew() {
    let mut pool = settled_pool();
    pool.apply_removal(at(9_000), "a", revision_in(1, 990));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), serving("a", revision_in(2, 900)));
    pool.upsert(at(10_000), serving("a", revision_in(2, 951)));
    assert!(serves(&pool, "a"));
}

/// Returns a record without a start, as of a deployment on which none is stated.
fn without_start(of: UpstreamRecord) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: Incarnation::default(),
        ..of
    }
}

/// Creates a pool with an upstream that states no start.
fn pool_without_starts() -> Pool {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), without_start(serving("c", revision_in(1, 902))));
    assert!(serves(&pool, "c"));
    pool
}

fn left_without_start() {
    let mut pool = pool_without_starts();
    pool.upsert(at(9_000), without_start(leaving("c", revision_in(1, 990))));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), without_start(serving("c", revision_in(2, 902))));
    assert!(!serves(&pool, "c"));
}

fn gone_without_start() {
    let mut pool = pool_without_starts();
    pool.apply_removal(at(9_000), "c", revision_in(1, 990));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), without_start(serving("c", revision_in(2, 902))));
    assert!(!serves(&pool, "c"));
}

fn anew_without_start() {
    let mut pool = pool_without_starts();
    pool.apply_removal(at(9_000), "c", revision_in(1, 990));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), without_start(serving("c", revision_in(2, 902))));
    pool.upsert(at(10_000), without_start(serving("c", revision_in(2, 951))));
    assert!(serves(&pool, "c"));
}

fn start_stated_later() {
    let mut pool = pool_without_starts();
    pool.upsert(at(9_000), without_start(leaving("c", revision_in(1, 990))));
    pool.record_store_restored(at(9_100));
    pool.upsert(at(9_100), serving("c", revision_in(2, 951)));
    assert!(serves(&pool, "c"));
}

fn another_incarnation() {
    let mut pool = settled_pool();
    pool.upsert(at(9_000), leaving("a", revision_in(1, 990)));
    pool.record_store_restored(at(9_100));
    let restarted = UpstreamRecord {
        incarnation: Incarnation(8),
        ..serving("a", revision_in(2, 900))
    };
    pool.upsert(at(9_100), restarted);
    assert!(serves(&pool, "a"));
}

fn evacuation_is_unconfirmed() {
    let mut pool = settled_pool();
    pool.apply_evacuations(at(9_000), evacuated(revision_in(1, 990), &["dc"]));
    pool.record_store_restored(at(9_100));
    pool.apply_evacuations(at(9_100), evacuated(revision_in(2, 950), &[]));
    assert_eq!(pool.count("models"), 0);
    pool.record_store_answer(at(10_000));
    let settled = at(9_100) + SETTLE_TIME;
    pool.record_store_answer(settled);
    pool.remove_missing(settled);
    assert_eq!(pool.count("models"), 2);
}

fn evacuation_ends() {
    let mut pool = settled_pool();
    pool.apply_evacuations(at(9_000), evacuated(revision_in(1, 990), &["dc"]));
    pool.apply_evacuations(at(9_100), evacuated(revision_in(1, 991), &[]));
    assert_eq!(pool.count("models"), 2);
}

fn twice() {
    let mut pool = settled_pool();
    pool.record_store_restored(at(9_000));
    pool.record_store_answer(at(10_000));
    pool.record_store_restored(at(11_000));
    assert!(!pool.is_settled(at(9_000) + SETTLE_TIME));
    pool.record_store_answer(at(12_000));
    pool.record_store_answer(at(13_000));
    assert!(pool.is_settled(at(11_000) + SETTLE_TIME));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(61), ..ProptestConfig::default() })]

    #[test]
    fn revisions_are_ordered_by_era_then_number(
        a in (0_u64..1 << 19, 0_u64..1 << 43), b in (0_u64..1 << 19, 0_u64..1 << 43),
    ) {
        let (one, other) = (revision_in(a.0, a.1), revision_in(b.0, b.1));
        prop_assert_eq!(one.cmp(&other), a.cmp(&b));
        prop_assert_eq!((era_of(one), number_of(one)), a);
    }
}
