//! Which connections give way as memory or descriptors run short.

use fireflycroft::{
    CONNECTION_BYTES, ConnectionId, ConnectionLimits, ConnectionTable, Phase, Purpose, SMALL_BYTES,
    Time,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MB: u64 = 1 << 20;

/// Limits of a VM of 64 MB with 1,000 descriptors.
fn limits() -> ConnectionLimits {
    ConnectionLimits::for_callers(Some(64 * MB), Some(1_000))
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Opens a connection whose body is arriving and holds `bytes`.
fn receiving(table: &mut ConnectionTable, now: Time, bytes: u64) -> ConnectionId {
    let id = table.open(now).id.unwrap();
    table.set_phase(now, id, Phase::Body);
    assert!(table.reserve(now, id, bytes, Purpose::Input).is_granted);
    id
}

macro_rules! cases {
    ($($name:ident($table:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $table = ConnectionTable::new(limits());
                $body
            }
        )+
    };
}

cases! {
    body_that_has_stood_still_longest_gives_way_to_a_new_one(table) {
        let first = receiving(&mut table, at(0), 4 * MB);
        let second = receiving(&mut table, at(1_000), 4 * MB);
        receiving(&mut table, at(2_000), 4 * MB);
        let id = table.open(at(3_000)).id.unwrap();
        table.set_phase(at(3_000), id, Phase::Body);
        let reserved = table.reserve(at(3_100), id, 8 * MB, Purpose::Input);
        assert!(reserved.is_granted);
        let evicted: Vec<_> = reserved.evictions.iter().map(|e| e.id).collect();
        assert_eq!(evicted, [first, second]);
    }

    request_that_is_served_never_gives_way(table) {
        for _ in 0..3 {
            let id = receiving(&mut table, at(0), 5 * MB);
            table.set_phase(at(0), id, Phase::Busy);
        }
        let id = table.open(at(60_000)).id.unwrap();
        let reserved = table.reserve(at(60_000), id, 4 * MB, Purpose::Input);
        assert!(!reserved.is_granted);
        assert!(reserved.evictions.is_empty());
    }

    small_body_finds_room_beside_large_ones(table) {
        for _ in 0..3 {
            let id = receiving(&mut table, at(0), 5 * MB);
            table.set_phase(at(0), id, Phase::Busy);
        }
        let id = table.open(at(1)).id.unwrap();
        assert!(table.reserve(at(1), id, SMALL_BYTES, Purpose::Input).is_granted);
    }

    answer_finds_room_where_bodies_find_none(table) {
        let mut served = Vec::new();
        loop {
            let id = table.open(at(0)).id.unwrap();
            table.set_phase(at(0), id, Phase::Busy);
            if !table.reserve(at(0), id, SMALL_BYTES, Purpose::Input).is_granted {
                break;
            }
            served.push(id);
        }
        assert!(table.reserve(at(1), served[0], 2 * MB, Purpose::Answer).is_granted);
    }

    answer_that_is_not_read_gives_way(table) {
        let id = table.open(at(0)).id.unwrap();
        let other = table.open(at(0)).id.unwrap();
        for id in [id, other] {
            table.set_phase(at(0), id, Phase::Busy);
        }
        assert!(table.reserve(at(0), id, 25 * MB, Purpose::Answer).is_granted);
        assert!(!table.reserve(at(1), other, 25 * MB, Purpose::Answer).is_granted);
        table.set_blocked(at(10), id, true);
        let reserved = table.reserve(at(5_000), other, 25 * MB, Purpose::Answer);
        assert!(reserved.is_granted);
        assert_eq!(reserved.evictions[0].id, id);
    }

    longest_idle_connection_closes_for_a_new_one(table) {
        let most = limits().connections;
        let ids: Vec<_> = (0..most).map(|n| table.open(at(n as u64)).id.unwrap()).collect();
        table.set_phase(at(most as u64), ids[0], Phase::Head);
        let opening = table.open(at(10_000));
        assert!(opening.id.is_some());
        assert_eq!(opening.evictions[0].id, ids[1]);
    }

    newcomer_is_turned_away_where_all_are_served(table) {
        for _ in 0..limits().connections {
            let id = table.open(at(0)).id.unwrap();
            table.set_phase(at(0), id, Phase::Busy);
        }
        assert_eq!(table.open(at(1)).id, None);
        assert_eq!(table.count(), limits().connections);
    }

    refused_connection_counts_again(table) {
        let id = receiving(&mut table, at(0), 10 * MB);
        receiving(&mut table, at(100), 10 * MB);
        let held = table.held();
        table.release(id, 10 * MB);
        table.readmit(id);
        assert_eq!(table.held(), held + CONNECTION_BYTES);
        table.close(id);
        assert_eq!(table.held(), held);
    }
}

/// One step of a crowd.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Close(usize),
    Phase(usize, Phase),
    Blocked(usize, bool),
    Reserve(usize, u64, Purpose),
    Release(usize),
    Readmit(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let phase = prop::sample::select(vec![Phase::Idle, Phase::Head, Phase::Body, Phase::Busy]);
    let purpose = prop::sample::select(vec![Purpose::Input, Purpose::Answer]);
    let index = 0..40_usize;
    prop_oneof![
        3 => Just(Step::Open),
        1 => index.clone().prop_map(Step::Close),
        3 => (index.clone(), phase).prop_map(|(i, p)| Step::Phase(i, p)),
        1 => (index.clone(), any::<bool>()).prop_map(|(i, b)| Step::Blocked(i, b)),
        4 => (index.clone(), 1..6 * MB, purpose).prop_map(|(i, b, p)| Step::Reserve(i, b, p)),
        2 => index.clone().prop_map(Step::Release),
        1 => index.prop_map(Step::Readmit),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(63), ..ProptestConfig::default() })]

    #[test]
    fn what_is_held_stays_within_the_limits(steps in prop::collection::vec(step(), 1..200)) {
        let limits = ConnectionLimits { memory: 16 * MB, connections: 20 };
        let mut table = ConnectionTable::new(limits);
        let mut reserved: BTreeMap<ConnectionId, Vec<u64>> = BTreeMap::new();
        let mut evicted = std::collections::BTreeSet::new();
        for (time, step) in (0..).zip(steps) {
            let now = at(time * 10);
            let nth = |i: usize| reserved.keys().nth(i % reserved.len().max(1)).copied();
            match step {
                Step::Open => {
                    let opening = table.open(now);
                    evicted.extend(opening.evictions.iter().map(|e| e.id));
                    if let Some(id) = opening.id {
                        reserved.insert(id, vec![]);
                    }
                }
                Step::Close(i) => if let Some(id) = nth(i) {
                    table.close(id);
                    reserved.remove(&id);
                    evicted.remove(&id);
                },
                Step::Phase(i, phase) => if let Some(id) = nth(i) {
                    table.set_phase(now, id, phase);
                },
                Step::Blocked(i, is_blocked) => if let Some(id) = nth(i) {
                    table.set_blocked(now, id, is_blocked);
                },
                Step::Reserve(i, bytes, purpose) => if let Some(id) = nth(i) {
                    let got = table.reserve(now, id, bytes, purpose);
                    prop_assert!(got.evictions.iter().all(|e| e.id != id), "a connection gave way to itself");
                    evicted.extend(got.evictions.iter().map(|e| e.id));
                    if got.is_granted {
                        prop_assert!(!evicted.contains(&id), "an evicted connection got more");
                        reserved.get_mut(&id).unwrap().push(bytes);
                    }
                },
                Step::Release(i) => if let Some(id) = nth(i)
                    && let Some(bytes) = reserved.get_mut(&id).unwrap().pop() {
                    table.release(id, bytes);
                },
                Step::Readmit(i) => if let Some(id) = nth(i) {
                    // Only a connection whose memory was released is counted again.
                    if evicted.contains(&id) && reserved[&id].is_empty() {
                        table.readmit(id);
                        evicted.remove(&id);
                    }
                },
            }
            let counted = reserved.iter().filter(|(id, _)| !evicted.contains(id));
            let sum: u64 = counted.clone().map(|(_, b)| CONNECTION_BYTES + b.iter().sum::<u64>()).sum();
            prop_assert_eq!(table.held(), sum);
            let readmitted = CONNECTION_BYTES * 40;
            prop_assert!(sum <= limits.memory + readmitted, "{} bytes", sum);
            prop_assert!(counted.count() <= limits.connections + 40);
            prop_assert_eq!(table.count(), reserved.len());
        }
    }
}
