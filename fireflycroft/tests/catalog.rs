//! Look-ups of routes, services and keys in a published configuration.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    CallerLimits, Catalog, CatalogParts, Name, RequestKind, RouteSpec, Target, WorkspaceSpec,
};
use proptest::prelude::*;
use std::time::Duration;

cases! {
    longest_prefix_wins => longest_wins();
    other_host_has_no_routes => assert!(route_name("other", "/a/x").is_none());
    prefix_must_begin_the_path => assert!(route_name("host", "/x/a/").is_none());
    prefix_ends_at_a_slash => assert!(route_name("host", "/ab").is_none());
    key_leads_to_its_workspace => assert_eq!(workspace("k2"), Some("w".to_owned()));
    unknown_key_leads_nowhere => assert_eq!(workspace("k3"), None);
    shares_follow_weights => follow_weights();
    no_weights_take_the_first => assert_eq!(target(&[("a", 0), ("b", 0)], 5), "a");
    configuration_without_workspaces_requires_no_keys => requires_no_keys();
    callers_of_quick_routes_bear_two_seconds => assert_eq!(abandoned_pause(300, None), 2_000);
    callers_bear_four_times_the_objective => assert_eq!(abandoned_pause(1_800, Some(180)), 7_200);
    callers_bear_eight_times_the_gap => assert_eq!(abandoned_pause(300, Some(1_000)), 8_000);
}

/// Returns the pause in milliseconds after which callers abandon a stream with these objectives.
fn abandoned_pause(objective: u64, gap: Option<u64>) -> u128 {
    let route = RouteSpec {
        objective: Duration::from_millis(objective),
        gap_objective: gap.map(Duration::from_millis),
        ..route("a", "/a/")
    };
    route.abandoned_pause().as_millis()
}

fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: Name::from(name),
        host: Name::from("host"),
        prefix: Name::from(prefix),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gap_objective: None,
        rank: 0,
        targets: Vec::new(),
        max_attempts: 1,
        open: false,
        allowed_regions: Vec::new(),
    }
}

fn parts() -> CatalogParts {
    CatalogParts {
        version: 3,
        routes: vec![route("a", "/a/"), route("ab", "/a/b/"), route("c", "/c/")],
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        workspaces: Some(vec![WorkspaceSpec {
            name: Name::from("w"),
            keys: vec![Name::from("k1"), Name::from("k2")],
            rank: None,
            allowed_regions: Vec::new(),
        }]),
    }
}

fn route_name(host: &str, path: &str) -> Option<String> {
    let catalog = Catalog::new(parts());
    catalog.route(host, path).map(|r| r.name.to_string())
}

fn workspace(key: &str) -> Option<String> {
    let catalog = Catalog::new(parts());
    catalog.workspace(key).map(|w| w.name.to_string())
}

fn target(weights: &[(&str, u32)], draw: u32) -> String {
    let mut spec = route("a", "/a/");
    let target = |(service, weight): &(&str, u32)| Target {
        service: Name::from(*service),
        weight: *weight,
    };
    spec.targets = weights.iter().map(target).collect();
    spec.target(draw).unwrap().to_string()
}

fn longest_wins() {
    assert_eq!(route_name("host", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(route_name("host", "/a/b").as_deref(), Some("a"));
    assert_eq!(route_name("host", "/a/").as_deref(), Some("a"));
}

fn follow_weights() {
    let weights = [("a", 3), ("b", 1)];
    let to_b = (0..400).filter(|d| target(&weights, *d) == "b").count();
    assert_eq!(to_b, 100);
}

fn requires_no_keys() {
    let catalog = Catalog::new(CatalogParts {
        workspaces: None,
        ..parts()
    });
    assert!(!catalog.requires_keys());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The look-up finds the same route as a search through all routes.
    #[test]
    fn route_is_the_longest_that_begins_the_path(path in "(/[ab]{0,2}){1,5}") {
        let all = parts().routes;
        let begins = all.iter().filter(|r| path.starts_with(&*r.prefix));
        let longest = begins.max_by_key(|r| r.prefix.len());
        prop_assert_eq!(route_name("host", &path), longest.map(|r| r.name.to_string()));
    }
}
