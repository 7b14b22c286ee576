//! Software versions of upstreams: where a stream may go on.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    Incarnation, Name, Need, Pool, PoolChange, UpstreamRecord, UpstreamState, VersionKey,
};
use pools::{at, leaving, pool, record};
use std::net::SocketAddr;
use std::time::Duration;

cases! {
    stream_goes_on_at_its_version_only => goes_on_at_its_version();
    unknown_version_matches_no_other => unknown_matches_none();
    last_upstreams_of_a_version_continue_streams_while_they_leave => continues_at_a_leaving_one();
    new_streams_and_copies_stay_off_upstreams_that_leave => assert_eq!(leaving_pool().choose(at(0), "models", &need("v1"), &[]), None);
    upstream_that_has_left_for_long_continues_nothing => assert_eq!(chosen_after(2_000), None);
    version_of_an_incarnation_never_changes => keeps_version();
    removed_id_that_comes_back_at_another_version_is_a_new_incarnation => restarts();
    record_without_a_version_keeps_the_known_one => keeps_known();
    version_is_learnt_from_an_older_record_of_the_same_incarnation => learns(record("i", 4).addr, Some("v1"));
    version_is_not_learnt_from_a_record_with_another_address => learns("127.0.0.1:2".parse().unwrap(), None);
}

fn of_version(instance: &str, revision: u64, version: Option<&str>) -> UpstreamRecord {
    UpstreamRecord {
        software_version: version.map(Name::from),
        ..record(instance, revision)
    }
}

fn need(version: &str) -> Need {
    Need {
        tokens: 100,
        version: Some(VersionKey::of(version)),
        ..Need::default()
    }
}

/// Returns a pool with an idle engine of `v2`, a busy one of `v1` and one of unknown version.
fn mixed_pool() -> Pool {
    let mut pool = pool(&["old"]);
    pool.upsert(at(0), of_version("new", 2, Some("v2")));
    pool.upsert(at(0), of_version("unknown", 3, None));
    let old = pool.find("old").unwrap();
    let work = Need {
        tokens: 5_000,
        ..Need::default()
    };
    pool.place(at(0), old, &work);
    pool
}

fn goes_on_at_its_version() {
    let pool = mixed_pool();
    let chosen = |version| pool.choose(at(0), "models", &need(version), &[]);
    assert_eq!(chosen("v1"), pool.find("old"));
    assert_eq!(chosen("v2"), pool.find("new"));
    assert_eq!(chosen("v3"), None);
}

fn unknown_matches_none() {
    let pool = mixed_pool();
    let unknown = pool.find("unknown").unwrap();
    assert_eq!(pool.version(unknown), None);
    let known = [pool.find("old").unwrap(), pool.find("new").unwrap()];
    for version in ["v1", "v2", ""] {
        assert_eq!(pool.choose(at(0), "models", &need(version), &known), None);
    }
}

/// Returns a pool whose only engine of `v1` announced at time zero that it leaves.
fn leaving_pool() -> Pool {
    let mut pool = pool(&["old"]);
    pool.set_drain_timeout(Duration::from_secs(2));
    pool.upsert(at(0), of_version("new", 2, Some("v2")));
    pool.upsert(at(0), leaving("old", 3));
    pool
}

fn chosen_after(millis: u64) -> Option<fireflycroft::UpstreamIx> {
    leaving_pool().choose_to_continue(at(millis), "models", &need("v1"), &[])
}

fn continues_at_a_leaving_one() {
    let pool = leaving_pool();
    assert_eq!(chosen_after(1_000), pool.find("old"));
    let new = pool.choose_to_continue(at(0), "models", &need("v2"), &[]);
    assert_eq!(new, pool.find("new"));
}

fn keeps_version() {
    let mut pool = pool(&["i"]);
    let change = pool.upsert(at(0), of_version("i", 5, Some("v2")));
    let ix = pool.find("i").unwrap();
    assert_eq!(change, Some(PoolChange::Unreadable(ix)));
    assert_eq!(pool.version(ix), Some(VersionKey::of("v1")));
    assert_eq!(pool.record(ix).state, UpstreamState::Unreadable);
    let restarted = UpstreamRecord {
        incarnation: Incarnation(7),
        ..of_version("i", 6, Some("v2"))
    };
    pool.upsert(at(0), restarted);
    assert!(pool.is_ended(ix));
    let begun = pool.find("i").unwrap();
    assert_eq!(pool.version(begun), Some(VersionKey::of("v2")));
}

fn restarts() {
    let mut pool = pool(&["i"]);
    let old = pool.find("i").unwrap();
    pool.remove(at(0), "i", 4);
    pool.upsert(at(0), of_version("i", 5, Some("v2")));
    assert!(pool.is_ended(old));
    assert!(pool.is_serving(pool.find("i").unwrap()));
}

fn keeps_known() {
    let mut pool = pool(&["i"]);
    pool.upsert(at(0), of_version("i", 5, None));
    let ix = pool.find("i").unwrap();
    assert_eq!(pool.version(ix), Some(VersionKey::of("v1")));
    assert_eq!(pool.record(ix).software_version.as_deref(), Some("v1"));
}

/// Checks what an upstream of unknown version learns from an older record of `v1` with its id.
fn learns(addr: SocketAddr, learnt: Option<&str>) {
    let mut pool = pool(&[]);
    pool.upsert(at(0), of_version("i", 5, None));
    let ix = pool.find("i").unwrap();
    assert_eq!(pool.version(ix), None);
    let older = UpstreamRecord {
        addr,
        ..of_version("i", 4, Some("v1"))
    };
    pool.upsert(at(0), older);
    assert_eq!(pool.version(ix), learnt.map(VersionKey::of));
}
