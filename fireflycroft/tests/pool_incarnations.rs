//! Incarnations of upstreams in the pool, and records not written by the upstreams themselves.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    Incarnation, Name, Placed, PlacedAt, Pool, PoolChange, UpstreamIx, UpstreamRecord,
    UpstreamState,
};
use pools::{MEMORY, announced_work, at, chosen, ix, need, pool, record};
use std::time::Duration;

cases! {
    new_start_ends_the_old_incarnation => new_start_ends_old();
    new_start_inherits_no_work => new_start_is_fresh();
    new_start_holds_whatever_its_revision => new_start_holds();
    older_start_is_stale_whenever_written => older_start_is_stale();
    work_announced_for_another_incarnation_is_ignored => other_incarnation_is_ignored();
    removal_of_the_old_incarnation_keeps_the_new_one => removal_of_old();
    ended_incarnation_is_not_announced => ended_is_not_announced();
    slot_of_an_ended_incarnation_is_reused => ended_slot_is_free();
    unknown_start_is_recorded => start_is_recorded();
    upstream_with_an_unreadable_record_is_not_chosen => unreadable_is_not_chosen();
    unreadable_record_of_an_unknown_one_is_ignored => unreadable_unknown();
    upstream_with_a_readable_record_serves_again => readable_again();
    foreign_record_is_not_chosen => foreign_record();
    unreadable_record_is_announced => unreadable_is_announced();
    later_start_of_an_unknown_service_ends_no_incarnation => unknown_service();
    record_of_a_service_counts_once_a_configuration_names_it => service_named_later();
    upstream_that_goes_on_to_state_an_earlier_start_is_believed => set_back();
    old_record_with_an_earlier_start_says_nothing => old_start();
    upstream_that_leaves_after_its_clock_was_set_back_gets_no_work => set_back_and_leaving();
    leave_notice_of_an_unseen_earlier_start_is_taken_back => late_leave_notice();
    later_start_of_another_service_ends_no_incarnation => other_service();
    later_start_of_another_service_counts_once_it_goes_on => other_service_goes_on();
}

fn services(names: &[&str]) -> Vec<Name> {
    names.iter().copied().map(Name::from).collect()
}

fn of_service(service: &str, start: u64, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        service: Name::from(service),
        ..incarnation_record("a", start, revision)
    }
}

fn unknown_service() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.set_services(at(0), services(&["models"]));
    let change = pool.upsert(at(10), of_service("nowhere", 900, 5));
    assert_eq!(change, Some(PoolChange::Unreadable(a)));
    assert!(!pool.is_ended(a));
    let change = pool.upsert(at(20), incarnation_record("a", 100, 6));
    assert_eq!(change, Some(PoolChange::Available(a)));
    // A configuration that comes later doesn't bring the stranger's record back.
    assert_eq!(
        pool.set_services(at(30), services(&["models", "nowhere"])),
        []
    );
    assert_eq!(pool.count("models"), 1);
}

fn service_named_later() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.set_services(at(0), services(&["models"]));
    pool.upsert(at(10), of_service("records", 900, 5));
    let changes = pool.set_services(at(20), services(&["models", "records"]));
    let begun = ix(&pool, "a");
    assert_eq!(changes, [PoolChange::Restarted { ended: a, begun }]);
    assert_eq!((pool.count("models"), pool.count("records")), (0, 1));
}

fn set_back() {
    let (mut pool, a) = pool_of_one_incarnation();
    for heartbeat in 0..5 {
        let record = incarnation_record("a", 40, 5 + heartbeat);
        assert_eq!(pool.upsert(at(1_000 * heartbeat), record), None);
    }
    assert!(!pool.is_ended(a));
    let change = pool
        .upsert(at(5_000), incarnation_record("a", 40, 10))
        .unwrap();
    let begun = ix(&pool, "a");
    assert_eq!(change, PoolChange::Restarted { ended: a, begun });
    assert!(pool.is_serving(begun));
    // One of the held start in between says that the others were late.
    let (mut pool, a) = pool_of_one_incarnation();
    pool.upsert(at(0), incarnation_record("a", 40, 5));
    pool.upsert(at(2_000), incarnation_record("a", 100, 6));
    assert_eq!(pool.upsert(at(6_000), incarnation_record("a", 40, 7)), None);
    assert!(!pool.is_ended(a));
}

fn leaving_record(start: u64, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        state: UpstreamState::Leaving,
        ..incarnation_record("a", start, revision)
    }
}

fn set_back_and_leaving() {
    let (mut pool, a) = pool_of_one_incarnation();
    let change = pool.upsert(at(10), leaving_record(40, 5));
    assert_eq!(change, Some(PoolChange::Unreadable(a)));
    assert_eq!(pool.count("models"), 0);
    assert!(!pool.is_ended(a), "its runs continue");
}

fn late_leave_notice() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.upsert(at(10), leaving_record(40, 5));
    let change = pool.upsert(at(1_000), incarnation_record("a", 100, 6));
    assert_eq!(change, Some(PoolChange::Available(a)));
}

fn other_service() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.set_services(at(0), services(&["models", "records"]));
    let change = pool.upsert(at(10), of_service("records", 900, 5));
    assert_eq!(change, Some(PoolChange::Unreadable(a)));
    assert!(!pool.is_ended(a));
    let change = pool.upsert(at(1_200), incarnation_record("a", 100, 6));
    assert_eq!(change, Some(PoolChange::Available(a)));
    assert_eq!((pool.count("models"), pool.count("records")), (1, 0));
    pool.upsert(at(2_000), of_service("records", 900, 7));
    // The same record is read again.
    assert_eq!(pool.upsert(at(9_000), of_service("records", 900, 7)), None);
    assert!(!pool.is_ended(a));
}

fn other_service_goes_on() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.set_services(at(0), services(&["models", "records"]));
    for heartbeat in 0..5 {
        pool.upsert(
            at(1_000 * heartbeat),
            of_service("records", 900, 5 + heartbeat),
        );
        assert!(!pool.is_ended(a));
    }
    let change = pool.upsert(at(5_000), of_service("records", 900, 10));
    let begun = ix(&pool, "a");
    assert_eq!(change, Some(PoolChange::Restarted { ended: a, begun }));
    assert_eq!((pool.count("models"), pool.count("records")), (0, 1));
}

fn old_start() {
    let (mut pool, a) = pool_of_one_incarnation();
    pool.upsert(at(5), incarnation_record("a", 200, 9));
    let begun = ix(&pool, "a");
    for revision in 2..9 {
        assert_eq!(
            pool.upsert(at(10), incarnation_record("a", 100, revision)),
            None
        );
    }
    assert!(pool.is_ended(a) && pool.is_serving(begun));
}

fn incarnation_record(instance: &str, start: u64, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        incarnation: Incarnation(start),
        ..record(instance, revision)
    }
}

/// Returns a pool with one incarnation of `a`, with 5,000 tokens placed there, and its index.
fn pool_of_one_incarnation() -> (Pool, UpstreamIx) {
    let mut pool = Pool::new(Name::from("dc"));
    pool.upsert(at(0), incarnation_record("a", 100, 1));
    pool.set_memory(&Name::from("models"), Some(MEMORY));
    let a = ix(&pool, "a");
    pool.place(at(0), a, &need(5_000));
    (pool, a)
}

fn new_start_ends_old() {
    let (mut pool, old) = pool_of_one_incarnation();
    let change = pool
        .upsert(at(10), incarnation_record("a", 200, 5))
        .unwrap();
    let begun = ix(&pool, "a");
    assert_eq!(change, PoolChange::Restarted { ended: old, begun });
    assert_ne!(old, begun);
    assert!(pool.is_ended(old) && !pool.is_serving(old));
    assert!(pool.is_serving(begun) && !pool.is_ended(begun));
    assert_eq!(pool.count("models"), 1);
}

fn new_start_is_fresh() {
    let (mut pool, old) = pool_of_one_incarnation();
    pool.record_outcome(old, true);
    pool.avoid(at(0), old, Duration::from_mins(1));
    pool.apply_placed(
        at(5),
        &Name::from("other"),
        &[PlacedAt {
            incarnation: Incarnation(100),
            ..announced_work("a", 3_000)
        }],
        false,
    );
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    let view = pool.view(at(10), ix(&pool, "a"));
    assert_eq!(view.placed, Placed::default());
    assert!(view.failing.abs() < f64::EPSILON);
    assert!(pool.service_run_memory_share(at(10), "models").abs() < f64::EPSILON);
    // The run is released on the old incarnation, not on the new one.
    pool.release(old, &need(5_000));
    assert_eq!(pool.view(at(10), ix(&pool, "a")).placed, Placed::default());
}

fn new_start_holds() {
    let (mut pool, _) = pool_of_one_incarnation();
    pool.upsert(at(5), incarnation_record("a", 100, 9));
    let change = pool.upsert(at(10), incarnation_record("a", 200, 8));
    assert!(
        matches!(change, Some(PoolChange::Restarted { .. })),
        "{change:?}"
    );
}

fn older_start_is_stale() {
    let (mut pool, _) = pool_of_one_incarnation();
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    let digest = pool.digest();
    assert_eq!(pool.upsert(at(20), incarnation_record("a", 100, 7)), None);
    let leaving_record = UpstreamRecord {
        state: UpstreamState::Leaving,
        ..incarnation_record("a", 100, 8)
    };
    assert_eq!(pool.upsert(at(20), leaving_record), None);
    assert!(pool.is_serving(ix(&pool, "a")));
    assert_eq!(pool.digest(), digest);
}

fn other_incarnation_is_ignored() {
    let (mut pool, _) = pool_of_one_incarnation();
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    let of_old = PlacedAt {
        incarnation: Incarnation(100),
        ..announced_work("a", 7_000)
    };
    pool.apply_placed(at(20), &Name::from("other"), &[of_old], false);
    assert_eq!(pool.view(at(20), ix(&pool, "a")).placed, Placed::default());
}

fn removal_of_old() {
    let (mut pool, _) = pool_of_one_incarnation();
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    assert_eq!(pool.remove(at(20), "a", 4), None);
    assert!(pool.is_serving(ix(&pool, "a")));
}

fn ended_is_not_announced() {
    let (mut pool, old) = pool_of_one_incarnation();
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    assert!(pool.placed().is_empty());
    assert!(pool.placed_at([old]).is_empty());
    let changes = pool.changes_since(0);
    let (listed, removed) = (changes.listed, changes.removed);
    assert_eq!(listed, [incarnation_record("a", 200, 5)]);
    assert!(removed.is_empty());
}

fn ended_slot_is_free() {
    let (mut pool, old) = pool_of_one_incarnation();
    pool.upsert(at(10), incarnation_record("a", 200, 5));
    pool.release(old, &need(5_000));
    pool.upsert(at(120_000), record("b", 6));
    assert_eq!(ix(&pool, "b"), old);
    assert_eq!(chosen(&pool, at(120_000), &need(1)).len(), 1);
    assert_eq!(pool.record(ix(&pool, "a")).incarnation, Incarnation(200));
}

fn start_is_recorded() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    assert_eq!(pool.upsert(at(10), incarnation_record("a", 200, 5)), None);
    assert_eq!(ix(&pool, "a"), a);
    assert_eq!(pool.record(a).incarnation, Incarnation(200));
}

/// Makes the record of `a` unreadable as of `revision`.
fn mark_unreadable(pool: &mut Pool, revision: u64) -> Option<PoolChange> {
    let lost = pool.unreadable("a", revision).unwrap();
    pool.upsert(at(10), lost)
}

fn unreadable_is_not_chosen() {
    let mut pool = pool(&["a", "b"]);
    let a = ix(&pool, "a");
    let change = mark_unreadable(&mut pool, 7);
    assert_eq!(change, Some(PoolChange::Unreadable(a)));
    assert_eq!(chosen(&pool, at(10), &need(1)), "b");
    assert_eq!(pool.left_at(a), None, "its runs continue");
    assert_eq!(
        mark_unreadable(&mut pool, 7),
        None,
        "one change, one log line"
    );
}

fn unreadable_unknown() {
    assert_eq!(pool(&["a"]).unreadable("x", 7), None);
}

fn readable_again() {
    let mut pool = pool(&["a"]);
    let a = ix(&pool, "a");
    mark_unreadable(&mut pool, 7);
    assert_eq!(pool.count("models"), 0);
    assert_eq!(
        pool.upsert(at(20), record("a", 8)),
        Some(PoolChange::Available(a))
    );
    assert_eq!(pool.count("models"), 1);
}

/// A record with another service, another address, or no start after one was stated is foreign.
fn foreign_record() {
    let of_service = UpstreamRecord {
        service: Name::from("records"),
        ..incarnation_record("a", 100, 5)
    };
    let elsewhere = UpstreamRecord {
        addr: "127.0.0.9:9".parse().unwrap(),
        ..incarnation_record("a", 100, 5)
    };
    for foreign in [of_service, elsewhere, record("a", 5)] {
        let (mut pool, a) = pool_of_one_incarnation();
        let change = pool.upsert(at(10), foreign);
        assert_eq!(change, Some(PoolChange::Unreadable(a)));
        assert_eq!((pool.count("models"), pool.count("records")), (0, 0));
        pool.upsert(at(20), incarnation_record("a", 100, 6));
        assert_eq!(pool.count("models"), 1);
    }
}

fn unreadable_is_announced() {
    let (mut one, _) = pool_of_one_incarnation();
    let (mut other, _) = pool_of_one_incarnation();
    mark_unreadable(&mut one, 7);
    for change in one.list_changes(at(10)) {
        other.apply_change(at(15), change);
    }
    assert_eq!(other.count("models"), 0);
    assert_eq!(one.digest(), other.digest());
}
