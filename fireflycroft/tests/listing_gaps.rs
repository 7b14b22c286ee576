//! Lists with gaps: the newest changes are known, some older ones are not.
//!
//! Guards against repeated fetches of the whole list, which saturated the links between data centres:
//! of about 500 simultaneous changes a datagram carries the newest 16. An entry that received them
//! requested only later ones, found its list different at the same revision, and fetched all of it.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{ChangesSince, Name, Pool, UpstreamState};
use pools::{at, ix, leaving, record};

cases! {
    changes_older_than_those_received_are_fetched => gap_is_fetched();
    known_departing_upstream_is_sent_by_name => leaving_by_name();
    new_departing_upstream_is_sent_with_its_record => new_and_leaving();
    departure_of_an_unknown_upstream_is_ignored => unknown_leaving();
    list_read_from_the_store_is_complete => list_is_complete();
}

const UPSTREAMS: u64 = 300;

/// Returns a pool that has read the list from the store.
fn listed() -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    let records = (0..UPSTREAMS).map(|i| record(&format!("i-{i}"), 1 + i));
    pool.record_store_answer(at(0));
    pool.apply_list(at(0), records.collect(), UPSTREAMS);
    pool
}

/// Applies the changes that another entry sent.
fn apply(pool: &mut Pool, changes: ChangesSince, complete_to: u64) {
    for record in changes.listed {
        pool.upsert(at(2), record);
    }
    for (instance, revision) in changes.leaving {
        pool.mark_leaving(at(2), &instance, revision);
    }
    for (instance, revision) in changes.removed {
        pool.remove(at(2), &instance, revision);
    }
    pool.record_complete(complete_to);
}

fn gap_is_fetched() {
    let (mut watcher, mut other) = (listed(), listed());
    for i in 0..100 {
        watcher.upsert(at(1), leaving(&format!("i-{i}"), 1_000 + i));
    }
    watcher.record_complete(1_099);
    for change in watcher.list_changes(at(1)) {
        other.apply_change(at(1), change);
    }
    assert_eq!(other.revision(), watcher.revision());
    assert_ne!(other.digest(), watcher.digest());
    assert_eq!(other.complete_to(), UPSTREAMS);
    let changes = watcher.changes_since(other.complete_to());
    apply(&mut other, changes, watcher.complete_to());
    assert_eq!(other.digest(), watcher.digest());
    assert_eq!(other.complete_to(), 1_099);
}

fn leaving_by_name() {
    let mut watcher = listed();
    watcher.upsert(at(1), leaving("i-7", 1_000));
    let changes = watcher.changes_since(UPSTREAMS);
    assert_eq!(changes.leaving, [(Name::from("i-7"), 1_000)]);
    assert!(changes.listed.is_empty());
    let mut other = listed();
    apply(&mut other, changes, 1_000);
    assert!(!other.is_serving(ix(&other, "i-7")));
    assert_eq!(other.digest(), watcher.digest());
}

fn new_and_leaving() {
    let mut watcher = listed();
    watcher.upsert(at(1), record("new", 900));
    watcher.upsert(at(1), leaving("new", 1_000));
    let changes = watcher.changes_since(UPSTREAMS);
    assert_eq!(changes.listed.len(), 1);
    assert_eq!(changes.listed[0].state, UpstreamState::Leaving);
}

fn unknown_leaving() {
    let mut pool = listed();
    assert_eq!(pool.mark_leaving(at(1), "stranger", 1_000), None);
}

fn list_is_complete() {
    assert_eq!(listed().complete_to(), UPSTREAMS);
}
