//! Who owns what is known of an upstream, and choices by what owners reply.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    Digest, Incarnation, Life, Name, Need, OWNERS, OwnedKey, OwnedLoad, Pace, Placed, Pool,
    QueryBudget, Time, UpstreamIx, owners_of,
};
use pools::{announced_work, at, chosen, ix, leaving, need, pool};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

cases! {
    entries_share_the_upstreams_evenly => shared_evenly();
    one_entry_alone_owns_all => assert_eq!(owners(&entries(1), "a"), entries(1));
    keys_of_one_name_have_owners_of_their_own => keys_differ();
    owner_replies_the_work_of_the_others => replies_of_others();
    owner_says_nothing_of_another_life => silent_of_another_life();
    choice_goes_by_fresh_replies => goes_by_replies();
    owner_that_knows_of_more_is_believed => more_is_believed();
    upstream_that_an_owner_knows_to_leave_is_left_out => leaving_is_left_out();
    upstream_that_two_entries_could_not_reach_is_left_out => unreachable_is_left_out();
    few_replies_leave_the_choice_to_what_is_believed => few_replies();
    old_reply_no_longer_counts => old_reply();
    what_an_owner_was_told_goes_before_an_old_reply => told_before_old();
    upstreams_unheard_of_are_taken_to_be_like_the_others => unheard_are_like_others();
    all_of_few_upstreams_are_asked_about => asks_about_all();
    of_many_upstreams_the_best_are_asked_about => asks_about_best();
    upstreams_that_leave_are_asked_about => asks_about_leaving();
    entry_that_chooses_often_asks_about_fewer => asks_about_fewer();
    choices_of_many_entries_spread => choices_spread();
}

fn entries(count: u32) -> Vec<Ipv4Addr> {
    (1..=count)
        .map(|n| Ipv4Addr::from_bits(0x0a01_0000 + n))
        .collect()
}

fn owners(entries: &[Ipv4Addr], instance: &str) -> Vec<Ipv4Addr> {
    let key = OwnedKey::of_upstream(instance);
    owners_of(key, entries.iter().copied()).collect()
}

fn shared_evenly() {
    let entries = entries(68);
    let mut owned: HashMap<Ipv4Addr, usize> = HashMap::new();
    for n in 0..6_800 {
        let of_one = owners(&entries, &format!("i-{n}"));
        assert_eq!(of_one.len(), OWNERS);
        assert_ne!(of_one[0], of_one[1]);
        for owner in of_one {
            *owned.entry(owner).or_default() += 1;
        }
    }
    assert_eq!(owned.len(), 68);
    assert!(owned.values().all(|n| (120..=290).contains(n)), "{owned:?}");
}

fn keys_differ() {
    let all = entries(68);
    let of = |key| owners_of(key, all.iter().copied()).collect::<Vec<_>>();
    assert_ne!(
        of(OwnedKey::of_upstream("s")),
        of(OwnedKey::of_repeats("s"))
    );
    assert_eq!(
        of(OwnedKey::of_content(Digest(7))),
        of(OwnedKey::of_content(Digest(7)))
    );
}

fn life(instance: &str) -> Life {
    Life {
        instance: Name::from(instance),
        incarnation: Incarnation::default(),
    }
}

fn load(instance: &str, tokens: u64) -> OwnedLoad {
    OwnedLoad {
        life: life(instance),
        serves: true,
        placed: Placed {
            running: 1,
            tokens,
            ..Placed::default()
        },
        pace: Pace::default(),
    }
}

/// Takes a reply of an owner at time zero.
fn reply(pool: &mut Pool, loads: &[(&str, u64)]) {
    let loads: Vec<OwnedLoad> = loads.iter().map(|(i, tokens)| load(i, *tokens)).collect();
    pool.apply_reply(at(0), &Name::from("owner"), &loads);
}

fn replies_of_others() {
    let mut owner = pool(&["a", "b"]);
    owner.apply_placed(at(0), &Name::from("x"), &[announced_work("a", 1_000)], true);
    owner.apply_placed(at(0), &Name::from("y"), &[announced_work("a", 500)], true);
    let a = ix(&owner, "a");
    owner.place(at(0), a, &need(40));
    let loads = owner.loads_for(at(10), &Name::from("x"), &[life("a"), life("unknown")]);
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].placed.tokens, 540);
    let of_long_ago = owner.loads_for(at(9_000), &Name::from("x"), &[life("a")]);
    assert_eq!(of_long_ago[0].placed.tokens, 40);
}

fn silent_of_another_life() {
    let owner = pool(&["a"]);
    let later = Life {
        incarnation: Incarnation(9),
        ..life("a")
    };
    assert!(
        owner
            .loads_for(at(0), &Name::from("x"), &[later])
            .is_empty()
    );
}

fn goes_by_replies() {
    let mut pool = pool(&["a", "b", "c", "d"]);
    reply(&mut pool, &[("a", 6_000), ("b", 2_000), ("c", 4_000)]);
    // Nothing is known of the fourth one, which may be full.
    assert_eq!(chosen(&pool, at(5), &need(100)), "b");
}

fn more_is_believed() {
    let mut pool = pool(&["a", "b", "c"]);
    reply(&mut pool, &[("a", 9_000), ("b", 3_000), ("c", 5_000)]);
    reply(&mut pool, &[("a", 0), ("b", 0), ("c", 0)]);
    assert_eq!(chosen(&pool, at(5), &need(100)), "b");
}

fn leaving_is_left_out() {
    let mut pool = pool(&["a", "b", "c"]);
    let leaves = OwnedLoad {
        serves: false,
        ..load("a", 0)
    };
    let loads = [leaves, load("b", 3_000), load("c", 5_000)];
    pool.apply_reply(at(0), &Name::from("owner"), &loads);
    assert_eq!(chosen(&pool, at(5), &need(100)), "b");
    let mut owner = pools::pool(&["a"]);
    owner.learn(at(0), leaving("a", 9));
    assert!(!owner.loads_for(at(1), &Name::from("x"), &[life("a")])[0].serves);
}

/// In an outage of the store 325 callers of a day were refused, each because three upstreams in a row
/// were gone; they stay on the list and look emptier than the others.
fn unreachable_is_left_out() {
    let mut owner = pool(&["a"]);
    let serves =
        |owner: &Pool, now| owner.loads_for(at(now), &Name::from("x"), &[life("a")])[0].serves;
    owner.record_unreachable(at(0), &Name::from("y"), &life("a"));
    owner.record_unreachable(at(10), &Name::from("y"), &life("a"));
    assert!(serves(&owner, 20), "one entry alone may be cut off from it");
    owner.record_unreachable(at(20), &Name::from("z"), &life("a"));
    assert!(!serves(&owner, 30));
    assert!(serves(&owner, 3_000), "somebody tries again");
    let later = Life {
        incarnation: Incarnation(9),
        ..life("a")
    };
    owner.record_unreachable(at(4_000), &Name::from("y"), &later);
    owner.record_unreachable(at(4_000), &Name::from("z"), &later);
    assert!(serves(&owner, 4_010), "that was another life");
}

fn few_replies() {
    let mut pool = pool(&["a", "b", "c", "d"]);
    reply(&mut pool, &[("a", 9_000)]);
    assert_ne!(chosen(&pool, at(5), &need(100)), "a");
}

fn old_reply() {
    let mut pool = pool(&["a"]);
    reply(&mut pool, &[("a", 9_000)]);
    let a = ix(&pool, "a");
    assert_eq!(pool.view(at(1_000), a).placed.tokens, 9_000);
    assert_eq!(pool.view(at(1_000), a).age, at(1_000).since(at(0)));
    assert_eq!(pool.view(at(60_000), a).placed.tokens, 0);
}

fn told_before_old() {
    let mut pool = pool(&["a"]);
    reply(&mut pool, &[("a", 9_000)]);
    pool.apply_placed(at(500), &Name::from("x"), &[announced_work("a", 300)], true);
    assert_eq!(pool.view(at(600), ix(&pool, "a")).placed.tokens, 300);
}

fn unheard_are_like_others() {
    let mut pool = pool(&["a", "b", "c", "d"]);
    assert!(pool.runs_fill_of(at(5), "models") < 0.01);
    reply(&mut pool, &[("a", 9_000), ("b", 7_000)]);
    let fill = pool.runs_fill_of(at(5), "models");
    assert!((fill - 0.8).abs() < 0.01, "{fill}");
}

/// So many engines, `i-0` to the last.
fn many(count: usize) -> Pool {
    let names: Vec<String> = (0..count).map(|n| format!("i-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    pool(&names)
}

fn asked(pool: &Pool, draw: u64, most: usize) -> Vec<UpstreamIx> {
    let need = Need { draw, ..need(100) };
    pool.upstreams_to_query(at(5), "models", &need, &[], most)
}

fn asks_about_all() {
    assert_eq!(asked(&many(16), 1, 16).len(), 16);
}

fn asks_about_best() {
    let mut pool = many(50);
    let loads: Vec<OwnedLoad> = (0..50)
        .map(|n| load(&format!("i-{n}"), 9_000 - n * 100))
        .collect();
    pool.apply_reply(at(0), &Name::from("owner"), &loads);
    let best = ix(&pool, "i-49");
    let mut drawn = HashMap::new();
    for draw in 0..200 {
        let asked = asked(&pool, draw, 16);
        assert!(asked.len() <= 16 && asked.len() >= 8);
        assert!(asked.contains(&best));
        for ix in asked {
            *drawn.entry(ix).or_insert(0) += 1;
        }
    }
    assert_eq!(drawn.len(), 50, "others get their turn too");
}

fn asks_about_leaving() {
    let mut pool = many(4);
    pool.learn(at(0), leaving("i-2", 90));
    let asked = asked(&pool, 1, 16);
    assert!(asked.contains(&ix(&pool, "i-2")));
    let long_after = pool.upstreams_to_query(at(9_000), "models", &need(1), &[], 16);
    assert_eq!(long_after.len(), 3);
}

fn asks_about_fewer() {
    let mut breadth = QueryBudget::default();
    let first = breadth.candidate_count(at(0));
    for n in 0..100 {
        let asked = breadth.candidate_count(at(n * 10));
        breadth.record_sent(asked * OWNERS);
    }
    let busy = breadth.candidate_count(at(1_000));
    assert!(busy < first && busy > 1, "{first} {busy}");
    assert_eq!(breadth.candidate_count(at(9_000)), first);
}

/// Entries that each know their own placements and ask owners leave no engine much fuller than the
/// others, in a fleet of any size. With what a sample of eight entries told a second ago, engines of a
/// fleet of 68 were overbooked while others stood empty. None is to be overbooked before two thirds of
/// all memory are spoken for.
fn choices_spread() {
    for (entries, engines, per_second) in
        [(1, 12, 20), (5, 18, 17), (68, 60, 55), (350, 650, 3_300)]
    {
        let fullest = fullest(entries, engines, per_second);
        assert!(fullest <= 1.5, "{entries} entries: {fullest}");
    }
}

/// Memory of the fullest engine against the mean, when entries have placed eight runs an engine.
fn fullest(entries: u32, engines: usize, per_second: usize) -> f64 {
    let ips = self::entries(entries);
    let mut pools: HashMap<Ipv4Addr, Pool> = ips.iter().map(|ip| (*ip, many(engines))).collect();
    let mut breadths: HashMap<Ipv4Addr, QueryBudget> = HashMap::new();
    let mut on_each: HashMap<UpstreamIx, u64> = HashMap::new();
    let mut told_at = at(0);
    for run in 0..engines * 8 {
        let now = at((run * 1_000 / per_second) as u64);
        // Every entry tells again what it has placed before it would lapse.
        if now.since(told_at) >= TELL_EVERY {
            told_at = now;
            for ip in &ips {
                tell(&mut pools, &ips, *ip, now, None);
            }
        }
        let ip = ips[run * 7 % ips.len()];
        let need = Need {
            draw: (run as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..need(500)
        };
        ask(
            &mut pools,
            &ips,
            ip,
            now,
            &need,
            breadths.entry(ip).or_default(),
        );
        let pool = pools.get_mut(&ip).unwrap();
        let ix = pool.choose(now, "models", &need, &[]).unwrap();
        pool.place(now, ix, &need);
        *on_each.entry(ix).or_default() += need.tokens;
        tell(&mut pools, &ips, ip, now, Some(ix));
    }
    let most = *on_each.values().max().unwrap();
    let all: u64 = on_each.values().sum();
    #[allow(clippy::cast_precision_loss)]
    {
        most as f64 * engines as f64 / all as f64
    }
}

const TELL_EVERY: Duration = Duration::from_millis(500);

/// One entry asks the owners of the engines that a choice looks at.
fn ask(
    pools: &mut HashMap<Ipv4Addr, Pool>,
    ips: &[Ipv4Addr],
    ip: Ipv4Addr,
    now: Time,
    need: &Need,
    breadth: &mut QueryBudget,
) {
    let asked =
        pools[&ip].upstreams_to_query(now, "models", need, &[], breadth.candidate_count(now));
    for ix in asked {
        let life = pools[&ip].record(ix).life();
        let owners = owners(ips, &life.instance).into_iter().filter(|o| *o != ip);
        for owner in owners {
            breadth.record_sent(1);
            let loads = pools[&owner].loads_for(now, &name(ip), std::slice::from_ref(&life));
            pools
                .get_mut(&ip)
                .unwrap()
                .apply_reply(now, &name(owner), &loads);
        }
    }
}

/// One entry tells the owners of an engine, or of all, what it has placed there.
fn tell(
    pools: &mut HashMap<Ipv4Addr, Pool>,
    ips: &[Ipv4Addr],
    ip: Ipv4Addr,
    now: Time,
    only: Option<UpstreamIx>,
) {
    let placed = only.map_or_else(|| pools[&ip].placed(), |ix| pools[&ip].placed_at([ix]));
    for at in placed {
        for owner in owners(ips, &at.instance).into_iter().filter(|o| *o != ip) {
            let pool = pools.get_mut(&owner).unwrap();
            pool.apply_placed(now, &name(ip), std::slice::from_ref(&at), true);
        }
    }
}

fn name(ip: Ipv4Addr) -> Name {
    Name::from(ip.to_string())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// An entry that goes changes the owners of what it owned alone, in whatever order the others
    /// are known.
    #[test]
    fn entry_that_goes_leaves_other_keys_alone(count in 3_u32..120, gone in 0_usize..120, key: u64) {
        let all = entries(count);
        let gone = all[gone % all.len()];
        let left: Vec<Ipv4Addr> = all.iter().rev().filter(|ip| **ip != gone).copied().collect();
        let before = owners(&all, &key.to_string());
        let after = owners(&left, &key.to_string());
        prop_assert_eq!(after.len(), OWNERS);
        let stays: Vec<Ipv4Addr> = before.iter().filter(|ip| **ip != gone).copied().collect();
        prop_assert_eq!(&after[..stays.len()], &stays[..]);
    }
}
