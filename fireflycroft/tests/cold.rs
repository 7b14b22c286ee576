//! Bound on the requests of a fleet to a cold upstream.
//!
//! Without it an engine that restarts cold and empty is the best choice of all entries at once.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{ColdLimits, FleetView, Name, Pool, UpstreamIx, UpstreamRecord, Withheld};
use pools::{at, chosen, ix, need, record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::Ipv4Addr;
use std::time::Duration;

cases! {
    share_of_a_cold_upstream_is_spent => share_is_spent();
    share_comes_back_after_a_second => share_comes_back();
    warm_upstream_gets_any_number => warm_gets_all();
    upstream_that_bears_any_rate_gets_any_number => no_rate();
    upstream_that_becomes_cold_again_is_spared => cold_again();
    choice_leaves_out_a_spent_share => choice_goes_elsewhere();
    all_cold_upstreams_serve_a_small_fleet => small_fleet_serves();
    fleet_that_starts_as_a_whole_keeps_the_bound => starting_fleet();
    fleet_of_any_size_keeps_the_bound_and_serves => fleet_of_any_size();
    halves_that_are_cut_off_keep_the_bound => halves();
}

const LIMITS: ColdLimits = ColdLimits {
    overshoot: 1.5,
    slack: 5.0,
};

fn cold(instance: &str, revision: u64, millis: u64) -> UpstreamRecord {
    UpstreamRecord {
        cold_for: Duration::from_millis(millis),
        ..record(instance, revision)
    }
}

/// Returns the view of a fleet of `entries`.
fn fleet_of(entries: usize) -> FleetView {
    FleetView::default().at_least(entries)
}

/// Returns the pool of one of `entries`, with cold engines that take `per_second` requests each.
fn pool_of(entry: usize, entries: usize, per_second: f64, engines: &[&str]) -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    let models = Name::from("models");
    pool.set_cold_limits(&Name::from(format!("entry-{entry}")), LIMITS);
    pool.set_fleet(fleet_of(entries));
    pool.set_cold_rate(&models, Some(per_second));
    for (i, instance) in engines.iter().enumerate() {
        pool.upsert(at(0), cold(instance, 1 + i as u64, 60_000));
    }
    pool
}

/// Sends as many requests as an entry may send at once.
fn send_all(pool: &mut Pool, millis: u64, engine: UpstreamIx) -> usize {
    let mut sent = 0;
    while sent < 10_000 && pool.withheld(at(millis), engine).is_none() {
        pool.record_sending(at(millis), engine);
        sent += 1;
    }
    sent
}

fn share_is_spent() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    let a = ix(&pool, "a");
    let sent = send_all(&mut pool, 0, a);
    assert!((20..=50).contains(&sent), "{sent}");
    assert_eq!(send_all(&mut pool, 999, a), 0);
}

fn share_comes_back() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    let a = ix(&pool, "a");
    let sent = send_all(&mut pool, 0, a);
    assert_eq!(send_all(&mut pool, 1_000, a), sent);
}

fn warm_gets_all() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    let a = ix(&pool, "a");
    assert_eq!(send_all(&mut pool, 60_000, a), 10_000);
}

fn no_rate() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    pool.set_cold_rate(&Name::from("models"), None);
    let a = ix(&pool, "a");
    assert_eq!(send_all(&mut pool, 0, a), 10_000);
}

fn cold_again() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    let a = ix(&pool, "a");
    assert_eq!(pool.withheld(at(70_000), a), None);
    pool.upsert(at(70_000), cold("a", 9, 2_000));
    send_all(&mut pool, 70_000, a);
    assert_eq!(
        pool.withheld(at(70_500), a),
        Some(Withheld::ColdShareExhausted)
    );
    assert_eq!(pool.withheld(at(72_000), a), None);
}

fn choice_goes_elsewhere() {
    let mut pool = pool_of(0, 1, 30.0, &["a"]);
    pool.upsert(at(0), record("b", 5));
    let b = ix(&pool, "b");
    pool.place(at(0), b, &need(9_000));
    pool.set_memory(&Name::from("models"), Some(10_000));
    assert_eq!(chosen(&pool, at(0), &need(100)), "a");
    let a = ix(&pool, "a");
    send_all(&mut pool, 0, a);
    assert_eq!(chosen(&pool, at(0), &need(100)), "b");
}

/// A fleet with only cold engines serves at their cold rate.
fn small_fleet_serves() {
    let sent: usize = (0..5)
        .map(|entry| {
            let mut pool = pool_of(entry, 5, 30.0, &["a", "b"]);
            let (a, b) = (ix(&pool, "a"), ix(&pool, "b"));
            send_all(&mut pool, 0, a) + send_all(&mut pool, 0, b)
        })
        .sum();
    assert!(sent >= 40, "{sent}");
}

fn starting_fleet() {
    for entries in [5, 350, 1_000, 2_000] {
        let sent: usize = (0..entries)
            .map(|entry| {
                let mut pool = pool_of(entry, 1, 30.0, &["a"]);
                pool.set_fleet(FleetView::unknown(Ipv4Addr::LOCALHOST));
                let a = ix(&pool, "a");
                send_all(&mut pool, 0, a)
            })
            .sum();
        assert!(sent <= 50, "{entries} entries: {sent}");
    }
}

fn fleet_of_any_size() {
    for entries in [5, 412, 1_000, 2_000] {
        let sent: usize = (0..entries)
            .map(|entry| {
                let mut pool = pool_of(entry, entries, 30.0, &["a"]);
                let a = ix(&pool, "a");
                send_all(&mut pool, 0, a)
            })
            .sum();
        assert!((1..=50).contains(&sent), "{entries} entries: {sent}");
    }
}

/// Each half of a partition still counts the unreachable entries.
fn halves() {
    let sent: usize = (0..68)
        .map(|entry| {
            let mut pool = pool_of(entry, 68, 30.0, &["a"]);
            let a = ix(&pool, "a");
            send_all(&mut pool, 0, a)
        })
        .sum();
    assert!(sent <= 50, "{sent}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(62), cases: 24, ..ProptestConfig::default()
    })]

    /// No second exceeds the bound, whenever entries send and however much of their share.
    #[test]
    fn no_second_has_more_than_the_bound(
        entries in prop::sample::select(vec![5_usize, 23, 68, 350]),
        per_second in prop::sample::select(vec![1.0_f64, 5.0, 30.0, 200.0]),
        instance in "[a-z]{1,12}",
        starts in prop::collection::vec(0_u64..1_000, 350),
    ) {
        let mut sent: Vec<u64> = Vec::new();
        for (entry, start) in starts.iter().take(entries).enumerate() {
            let mut pool = pool_of(entry, entries, per_second, &[&instance]);
            let engine = ix(&pool, &instance);
            for millis in (*start..3_000).step_by(170) {
                let count = send_all(&mut pool, millis, engine);
                sent.extend(std::iter::repeat_n(millis, count));
            }
        }
        sent.sort_unstable();
        let bound = per_second * LIMITS.overshoot + LIMITS.slack;
        for (i, from) in sent.iter().enumerate() {
            let within = sent[i..].iter().take_while(|t| **t < from + 1_000).count();
            let within = u32::try_from(within).unwrap();
            prop_assert!(f64::from(within) <= bound, "{} in a second, {} allowed", within, bound);
        }
    }
}
