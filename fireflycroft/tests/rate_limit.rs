//! Rate limits of upstreams, and the requests that a fleet sends within them.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    FleetView, Incarnation, Name, Need, Pool, RateChange, RateLimit, ToldRate, UpstreamIncarnation,
};
use pools::{at, chosen, ix, need, pool};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::Ipv4Addr;
use std::time::Duration;

cases! {
    rate_is_known_from_the_answer_that_names_it => rate_is_known();
    rate_is_lifted_by_an_answer_to_a_later_request => rate_is_lifted();
    told_rate_is_known => told_is_known();
    older_word_changes_nothing => older_is_stale();
    rate_of_another_life_counts_for_nothing => other_life();
    lifted_rate_is_told_for_a_while => lifted_is_told();
    many_rates_take_turns => rates_take_turns();
    share_of_a_rate_is_spent_and_comes_back => share_is_spent();
    choice_leaves_out_an_upstream_whose_share_is_spent => choice_goes_elsewhere();
    copies_go_to_upstreams_that_name_no_rate => copies_go_elsewhere();
    copy_goes_to_a_limited_upstream_where_there_is_no_other => copy_goes_to_the_only_one();
    upstream_without_a_rate_gets_any_number => no_rate();
    entry_that_has_just_started_has_no_share => starting_entry();
    wait_for_a_share_ends_when_the_oldest_request_leaves_the_span => wait_ends();
    rate_of_no_whole_number_in_a_span_is_used_as_well => uneven_rate_is_used();
    fleet_uses_the_whole_rate => whole_rate_is_used();
    rate_too_low_for_all_leaves_two_entries_that_hear_of_its_end => low_rate_is_probed();
    rate_of_nothing_is_probed_seldom => zero_rate_is_probed();
    fleet_of_hundreds_keeps_a_low_rate_at_once => first_burst_is_bounded();
    callers_of_a_limited_service_get_most_of_its_rate => uneven_callers_are_served();
    answer_to_a_request_sent_before_the_limit_does_not_lift_it => old_answer_lifts_nothing();
}

fn rate(per_second: f64) -> Option<RateLimit> {
    RateLimit::new(per_second)
}

/// Records the response received at `came` to the request sent at `sent`.
fn answer(pool: &mut Pool, sent: u64, came: u64, named: Option<RateLimit>) -> Option<RateChange> {
    let a = ix(pool, "a");
    pool.record_rate_limit(at(came), a, at(sent), named)
}

fn rate_is_known() {
    let mut pool = pool(&["a", "b"]);
    let change = answer(&mut pool, 100, 110, rate(2.5));
    assert_eq!(
        change,
        Some(RateChange {
            was: None,
            is: rate(2.5)
        })
    );
    assert_eq!(answer(&mut pool, 200, 210, rate(2.5)), None);
    let change = answer(&mut pool, 300, 310, rate(1.0));
    assert_eq!(
        change,
        Some(RateChange {
            was: rate(2.5),
            is: rate(1.0)
        })
    );
    assert_eq!(pool.rate_limit(ix(&pool, "a")), rate(1.0));
    assert_eq!(pool.rate_limit(ix(&pool, "b")), None);
}

/// Announces the rates of one pool to another; returns the number of changes.
fn tell(from: &mut Pool, to: &mut Pool, millis: u64) -> usize {
    let told = from.rates_to_announce(at(millis));
    let taken = told.iter().filter_map(|t| to.apply_rate(at(millis), t));
    taken.count()
}

fn told_is_known() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    assert_eq!(tell(&mut first, &mut second, 120), 1);
    assert_eq!(second.rate_limit(ix(&second, "a")), rate(2.5));
    assert_eq!(tell(&mut second, &mut first, 130), 0);
}

fn older_is_stale() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    answer(&mut second, 100, 115, rate(1.0));
    assert_eq!(tell(&mut first, &mut second, 120), 0);
    assert_eq!(tell(&mut second, &mut first, 130), 1);
    assert_eq!(first.rate_limit(ix(&first, "a")), rate(1.0));
}

fn other_life() {
    let mut pool = pool(&["a"]);
    let told = ToldRate {
        upstream: UpstreamIncarnation {
            instance: Name::from("a"),
            incarnation: Incarnation(7),
        },
        limit: rate(1.0),
        age: Duration::ZERO,
    };
    assert_eq!(pool.apply_rate(at(50), &told), None);
    assert_eq!(pool.rate_limit(ix(&pool, "a")), None);
}

fn lifted_is_told() {
    let (mut first, mut second) = (pool(&["a"]), pool(&["a"]));
    answer(&mut first, 100, 110, rate(2.5));
    tell(&mut first, &mut second, 120);
    answer(&mut first, 1_000, 1_010, None);
    assert_eq!(tell(&mut first, &mut second, 1_020), 1);
    assert_eq!(second.rate_limit(ix(&second, "a")), None);
    assert_eq!(first.rates_to_announce(at(9_000)).len(), 1);
    answer(&mut first, 10_900, 10_910, None);
    assert!(first.rates_to_announce(at(11_100)).is_empty());
}

fn rates_take_turns() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut first = pool(&names);
    for name in names {
        let upstream = ix(&first, name);
        first.record_rate_limit(at(110), upstream, at(100), rate(2.5));
    }
    let mut second = pool(&names);
    tell(&mut first, &mut second, 200);
    tell(&mut first, &mut second, 450);
    assert!(
        names
            .iter()
            .all(|name| second.rate_limit(ix(&second, name)) == rate(2.5))
    );
}

fn rate_is_lifted() {
    let mut pool = pool(&["a"]);
    answer(&mut pool, 100, 110, rate(2.5));
    let change = answer(&mut pool, 111, 120, None);
    assert_eq!(
        change,
        Some(RateChange {
            was: rate(2.5),
            is: None
        })
    );
}

fn old_answer_lifts_nothing() {
    let mut pool = pool(&["a"]);
    answer(&mut pool, 100, 200, rate(2.5));
    assert_eq!(answer(&mut pool, 90, 5_000, None), None);
    assert_eq!(pool.rate_limit(ix(&pool, "a")), rate(2.5));
}

/// Returns the addresses of a fleet of `entries`.
fn addrs(entries: usize) -> Vec<Ipv4Addr> {
    let last = u32::try_from(entries).unwrap();
    (1..=last)
        .map(|i| Ipv4Addr::from_bits(0x0a01_0000 + i))
        .collect()
}

/// Returns the pools of such a fleet, all of which know the rate limit of `a`.
fn fleet(entries: usize, per_second: f64) -> Vec<Pool> {
    let all = addrs(entries);
    let of_entry = |me: &Ipv4Addr| {
        let mut pool = pool(&["a"]);
        let others = all.iter().copied().filter(|ip| ip != me);
        pool.set_fleet(FleetView::new(*me, others));
        answer(&mut pool, 0, 1, rate(per_second));
        pool
    };
    all.iter().map(of_entry).collect()
}

/// Sends as many requests as an entry may send at once.
fn send_all(pool: &mut Pool, millis: u64) -> usize {
    let a = ix(pool, "a");
    let mut sent = 0;
    while sent < 10_000 && pool.withheld(at(millis), a).is_none() {
        pool.record_sending(at(millis), a);
        sent += 1;
    }
    sent
}

fn share_is_spent() {
    let mut fleet = fleet(1, 2.5);
    assert_eq!(send_all(&mut fleet[0], 10), 10);
    assert_eq!(send_all(&mut fleet[0], 4_009), 0);
    assert_eq!(send_all(&mut fleet[0], 4_010), 10);
}

fn choice_goes_elsewhere() {
    let mut pool = pool(&["a", "b"]);
    pool.set_memory(&Name::from("models"), Some(10_000));
    let b = ix(&pool, "b");
    pool.place(at(0), b, &need(9_000));
    answer(&mut pool, 0, 1, rate(1.0));
    assert_eq!(chosen(&pool, at(2), &need(100)), "a");
    send_all(&mut pool, 2);
    assert_eq!(chosen(&pool, at(3), &need(100)), "b");
}

/// Returns the need of a backup of a run on `source`.
fn copy_of(pool: &Pool, source: &str) -> Need {
    Need {
        copied_from: Some(ix(pool, source)),
        ..need(1_000)
    }
}

fn copies_go_elsewhere() {
    let mut pool = pool(&["source", "a", "b"]);
    let b = ix(&pool, "b");
    pool.place(at(0), b, &need(8_000));
    let (copy, source) = (copy_of(&pool, "source"), [ix(&pool, "source")]);
    let keeper = |pool: &Pool| pool.choose(at(5), "models", &copy, &source);
    assert_eq!(keeper(&pool), Some(ix(&pool, "a")));
    answer(&mut pool, 0, 1, rate(1.0));
    assert_eq!(keeper(&pool), Some(b));
}

fn copy_goes_to_the_only_one() {
    let mut pool = pool(&["source", "a"]);
    answer(&mut pool, 0, 1, rate(1.0));
    let (copy, source) = (copy_of(&pool, "source"), [ix(&pool, "source")]);
    let keeper = pool.choose(at(5), "models", &copy, &source);
    assert_eq!(keeper, Some(ix(&pool, "a")));
}

fn no_rate() {
    let mut pool = pool(&["a"]);
    assert_eq!(send_all(&mut pool, 0), 10_000);
    answer(&mut pool, 0, 1, rate(1.0));
    send_all(&mut pool, 2);
    answer(&mut pool, 3, 4, None);
    assert_eq!(send_all(&mut pool, 5), 10_000);
}

fn starting_entry() {
    let mut pool = pool(&["a"]);
    let others = addrs(5);
    pool.set_fleet(FleetView::new(Ipv4Addr::new(10, 9, 9, 9), others).at_least(512));
    answer(&mut pool, 0, 1, rate(20.0));
    assert_eq!(send_all(&mut pool, 2), 0);
}

fn wait_ends() {
    let mut fleet = fleet(1, 0.5);
    let wait = |pool: &Pool, now| pool.until_any_is_free(at(now), "models", &need(1));
    assert_eq!(wait(&fleet[0], 9), None);
    let a = ix(&fleet[0], "a");
    fleet[0].record_sending(at(10), a);
    assert_eq!(wait(&fleet[0], 10), None);
    fleet[0].record_sending(at(500), a);
    assert_eq!(wait(&fleet[0], 1_000), Some(Duration::from_millis(3_010)));
    assert_eq!(wait(&fleet[0], 4_010), None);
}

/// Counts the requests of a fleet whose demand exceeds the rate.
fn sent_in(entries: usize, per_second: f64, millis: u64) -> usize {
    let mut fleet = fleet(entries, per_second);
    let times = (10..millis).step_by(50);
    let at_once = |now| {
        fleet
            .iter_mut()
            .map(|pool| send_all(pool, now))
            .sum::<usize>()
    };
    times.map(at_once).sum()
}

fn whole_rate_is_used() {
    for entries in [1, 5, 23, 350] {
        for per_second in [1.25, 2.5, 100.0] {
            let sent = sent_in(entries, per_second, 12_000);
            let named = per_second * 12.0;
            let share = f64::from(u32::try_from(sent).unwrap()) / named;
            assert!(
                (0.98..=1.02).contains(&share),
                "{entries} at {per_second}: {share}"
            );
        }
    }
}

fn uneven_rate_is_used() {
    for entries in [1, 5, 68] {
        for per_second in [0.7, 1.2, 2.9] {
            let sent = sent_in(entries, per_second, 60_000);
            let share = f64::from(u32::try_from(sent).unwrap()) / (per_second * 60.0);
            assert!(
                (0.95..=1.1).contains(&share),
                "{entries} at {per_second}: {share}"
            );
        }
    }
}

/// Percentage of callers at each of five entries: the imbalance of a load balancer that hashes few
/// callers.
const CALLERS_AT: [u64; 5] = [38, 27, 18, 11, 6];

/// A service with three upstreams limited to 2.9 each gets forty calls a second.
fn uneven_callers_are_served() {
    let names = ["a", "b", "c"];
    let mut fleet = fleet(5, 2.9);
    for (i, pool) in fleet.iter_mut().enumerate() {
        for (revision, name) in (2..).zip(&names[1..]) {
            pool.upsert(at(0), pools::record(name, revision));
            let upstream = ix(pool, name);
            pool.record_rate_limit(at(1), upstream, at(0), rate(2.9));
        }
        assert_eq!(pool.count("models"), 3, "entry {i}");
    }
    let mut served = 0_u32;
    for call in 0..1_600_u64 {
        let now = at(10 + call * 25);
        let drawn = call * 61 % 100;
        let mut below = 0;
        let entry = CALLERS_AT.iter().position(|share| {
            below += share;
            drawn < below
        });
        let pool = &mut fleet[entry.unwrap()];
        if let Some(chosen) = pool.choose(now, "models", &need(0), &[]) {
            pool.record_sending(now, chosen);
            served += 1;
        }
    }
    let of_rate = f64::from(served) / (3.0 * 2.9 * 40.0);
    assert!((0.8..=1.1).contains(&of_rate), "{of_rate}");
}

fn low_rate_is_probed() {
    for entries in [2, 5, 68, 350] {
        let mut fleet = fleet(entries, 0.2);
        let able = fleet.iter_mut().map(|pool| send_all(pool, 10));
        let able: Vec<usize> = able.filter(|sent| *sent > 0).collect();
        assert_eq!(able, [1, 1], "{entries}");
    }
}

fn zero_rate_is_probed() {
    assert_eq!(sent_in(5, 0.0, 60_000), 6);
}

fn first_burst_is_bounded() {
    let mut fleet = fleet(350, 1.2);
    let sent: usize = fleet.iter_mut().map(|pool| send_all(pool, 10)).sum();
    assert_eq!(sent, 5);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(71), cases: 24, ..ProptestConfig::default()
    })]

    /// No span exceeds the users' bound, whenever entries send and however much of their share.
    #[test]
    fn no_span_has_more_than_the_bound(
        entries in prop::sample::select(vec![1_usize, 5, 23, 68, 350]),
        per_second in 0.0_f64..20.0,
        starts in prop::collection::vec(10_u64..4_000, 350),
    ) {
        let mut sent: Vec<u64> = Vec::new();
        for (pool, start) in fleet(entries, per_second).iter_mut().zip(&starts) {
            for millis in (*start..13_000).step_by(190) {
                let count = send_all(pool, millis);
                sent.extend(std::iter::repeat_n(millis, count));
            }
        }
        sent.sort_unstable();
        let bound = per_second * 4.0 * 1.5 + 5.0;
        for (i, from) in sent.iter().enumerate() {
            let within = sent[i..].iter().take_while(|t| **t < from + 4_000).count();
            let within = f64::from(u32::try_from(within).unwrap());
            prop_assert!(within <= bound, "{} within 4 s, {} allowed", within, bound);
        }
    }
}
