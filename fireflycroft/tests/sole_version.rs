//! Services that had one software version for longer than any stream lasts, and paths that led to one service.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    CallerLimits, Catalog, CatalogParts, Incarnation, Name, Pool, RequestKind, RouteChanges,
    RouteSpec, Target, Time, UpstreamRecord,
};
use pools::{at, pool, record};
use std::time::Duration;

cases! {
    only_version_of_a_service_is_the_sole_one => assert_eq!(sole(&[Some("v1"), Some("v1")]).as_deref(), Some("v1"));
    second_version_leaves_no_sole_one => assert_eq!(sole(&[Some("v1"), Some("v2")]), None);
    unknown_version_leaves_no_sole_one => assert_eq!(sole(&[Some("v1"), None]), None);
    service_without_upstreams_has_no_sole_version => assert_eq!(sole(&[]), None);
    removed_upstream_counts_for_as_long_as_streams_last => removed_counts();
    removed_upstream_counts_whoever_takes_its_place => replaced_counts();
    former_incarnation_counts => former_counts();
    sole_version_is_kept_while_all_upstreams_start_again => assert_eq!(restarting().as_deref(), Some("v1"));
    removed_upstream_of_another_service_does_not_count => others_do_not_count();
    versions_without_number_leave_no_sole_one => bounds_versions();
    path_is_unchanged_by_another_timeout => assert_eq!(changed(&[A], &[RouteSpecOf { timeout: 2, ..A }]), at(0));
    path_is_changed_by_another_service => assert_eq!(changed(&[A], &[RouteSpecOf { service: "y", ..A }]), at(7));
    path_is_changed_by_a_timeout_that_was_long => assert_eq!(changed(&[RouteSpecOf { timeout: 61, ..A }], &[A]), at(7));
    path_is_changed_by_a_route_before_it => assert_eq!(changed(&[A], &[A, AB]), at(7));
    path_is_changed_by_the_end_of_a_route_before_it => assert_eq!(changed(&[A, AB], &[A]), at(7));
    path_is_unchanged_by_other_routes => assert_eq!(changed(&[A], &[A, RouteSpecOf { prefix: "/c/", ..A }]), at(0));
    changes_beyond_number_change_all_paths => bounds_changes();
}

/// Parts of a route that tests vary.
#[derive(Clone, Copy)]
struct RouteSpecOf {
    prefix: &'static str,
    service: &'static str,
    timeout: u64,
}

const A: RouteSpecOf = RouteSpecOf {
    prefix: "/a/",
    service: "x",
    timeout: 60,
};

const AB: RouteSpecOf = RouteSpecOf {
    prefix: "/a/b/",
    ..A
};

fn of_version(instance: &str, revision: u64, version: Option<&str>) -> UpstreamRecord {
    UpstreamRecord {
        software_version: version.map(Name::from),
        ..record(instance, revision)
    }
}

fn sole(versions: &[Option<&str>]) -> Option<Name> {
    let mut pool = pool(&[]);
    for (i, version) in versions.iter().enumerate() {
        pool.upsert(at(0), of_version(&format!("i{i}"), i as u64 + 1, *version));
    }
    pool.sole_version(at(0), "models")
}

/// Returns a pool whose only upstream, of `v1`, was removed at time zero.
fn removed() -> Pool {
    let mut pool = pool(&["i"]);
    pool.remove(at(0), "i", 2);
    pool
}

fn removed_counts() {
    let mut pool = removed();
    pool.upsert(at(59_000), of_version("j", 3, Some("v2")));
    assert_eq!(pool.sole_version(at(119_999), "models"), None);
    let sole = pool.sole_version(at(120_000), "models");
    assert_eq!(sole.as_deref(), Some("v2"));
}

fn replaced_counts() {
    let mut pool = removed();
    pool.upsert(at(61_000), of_version("j", 3, Some("v2")));
    assert_eq!(pool.sole_version(at(119_999), "models"), None);
}

fn former_counts() {
    let mut pool = pool(&[]);
    let started = |revision, incarnation, version| UpstreamRecord {
        incarnation: Incarnation(incarnation),
        ..of_version("i", revision, Some(version))
    };
    pool.upsert(at(0), started(1, 1, "v1"));
    pool.upsert(at(1_000), started(2, 2, "v2"));
    assert_eq!(pool.sole_version(at(120_999), "models"), None);
    let sole = pool.sole_version(at(121_000), "models");
    assert_eq!(sole.as_deref(), Some("v2"));
}

fn restarting() -> Option<Name> {
    removed().sole_version(at(5_000), "models")
}

fn others_do_not_count() {
    let mut pool = removed();
    let other = UpstreamRecord {
        service: Name::from("others"),
        ..of_version("j", 3, Some("v2"))
    };
    pool.upsert(at(0), other);
    assert_eq!(pool.sole_version(at(0), "models").as_deref(), Some("v1"));
}

fn bounds_versions() {
    let mut pool = pool(&[]);
    for i in 1..200 {
        let version = format!("v{i}");
        pool.upsert(at(i), of_version("i", 2 * i, Some(&version)));
        pool.remove(at(i), "i", 2 * i + 1);
    }
    assert_eq!(pool.sole_version(at(200), "models"), None);
}

fn catalog(routes: &[RouteSpecOf]) -> Catalog {
    let route = |of: &RouteSpecOf| RouteSpec {
        name: Name::from("r"),
        host: Name::from("host"),
        prefix: Name::from(of.prefix),
        kind: RequestKind::ResumableStream,
        timeout: Duration::from_secs(of.timeout),
        objective: Duration::from_secs(1),
        gap_objective: None,
        rank: 0,
        targets: vec![Target {
            service: Name::from(of.service),
            weight: 1,
        }],
        max_attempts: 1,
        open: false,
        allowed_regions: Vec::new(),
    };
    Catalog::new(CatalogParts {
        version: 1,
        routes: routes.iter().map(route).collect(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        workspaces: None,
    })
}

/// Returns since when a path is unchanged if the configuration changes 7 ms after the start.
fn changed(old: &[RouteSpecOf], new: &[RouteSpecOf]) -> Time {
    let mut changes = RouteChanges::default();
    changes.record(at(7), &catalog(old), &catalog(new));
    changes.unchanged_since("host", "/a/b/c")
}

fn bounds_changes() {
    let mut changes = RouteChanges::default();
    let other = |service| RouteSpecOf {
        prefix: "/c/",
        service,
        ..A
    };
    for i in 1..3_000 {
        changes.record(at(i), &catalog(&[other("x")]), &catalog(&[other("y")]));
    }
    assert!(changes.unchanged_since("host", "/a/b/c") > at(0));
}
