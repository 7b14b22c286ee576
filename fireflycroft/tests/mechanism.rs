//! Mechanisms that can be switched off: their names, and the effect of each on a choice.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    Incarnation, Mechanism, Name, Need, Policy, Pool, Time, UpstreamIx, UpstreamRecord,
    UpstreamState,
};
use std::time::Duration;

cases! {
    all_are_on_by_default => assert!(Mechanism::ALL.iter().all(|m| Policy::default().uses(*m)));
    only_what_is_named_is_off => only_named();
    words_come_back => words();
    unknown_word_is_named_with_those_there_are => unknown();
    unread_prompts_count_only_with_reading => changes(Mechanism::Reading, unread_at_first);
    failures_count_only_with_failing => changes(Mechanism::Failing, failing_first);
    shared_parts_count_only_with_shared => changes(Mechanism::Shared, part_at_second);
    paces_count_only_with_pace => changes(Mechanism::Pace, fast_second);
}

fn only_named() {
    for off in Mechanism::ALL {
        let policy = Policy::without([off]);
        for m in Mechanism::ALL {
            assert_eq!(policy.uses(m), m != off, "{m:?} without {off:?}");
        }
    }
}

fn words() {
    for m in Mechanism::ALL {
        assert_eq!(m.name().parse(), Ok(m));
    }
}

fn unknown() {
    let fault = "gravity".parse::<Mechanism>().unwrap_err().to_string();
    assert!(
        fault.contains("gravity") && fault.contains("copies"),
        "{fault}"
    );
}

const NOW: Time = Time(0);

/// Returns a pool of two engines, of which the second is slightly fuller.
fn two_engines(policy: Policy) -> (Pool, UpstreamIx, UpstreamIx) {
    let mut pool = Pool::new(Name::from("dc"));
    pool.set_policy(policy);
    for (instance, revision) in [("first", 1), ("second", 2)] {
        let record = UpstreamRecord {
            instance: Name::from(instance),
            incarnation: Incarnation(7),
            service: Name::from("models"),
            addr: "127.0.0.1:1".parse().unwrap(),
            data_centre: Name::from("dc"),
            software_version: Some(Name::from("v1")),
            slots: 32,
            state: UpstreamState::Serving,
            cold_for: Duration::ZERO,
            revision,
        };
        pool.upsert(NOW, record);
    }
    pool.set_memory(&Name::from("models"), Some(100_000));
    let (first, second) = (pool.find("first").unwrap(), pool.find("second").unwrap());
    // More than the random tie-break outweighs, less than any mechanism.
    let need = Need {
        tokens: 1_000,
        is_copy: true,
        ..Need::default()
    };
    pool.place(NOW, second, &need);
    (pool, first, second)
}

/// Need of a long answer whose prompt has a shared part.
const LONG_SHARED: Need = Need {
    is_copy: false,
    tokens: 2_000,
    prompt: 1_000,
    unread: 1_000,
    shared: Some(5),
    draw: 0,
    homes: None,
    copied_from: None,
    version: None,
};

/// Checks that for some draws the second engine is chosen only with the mechanism, and for none
/// only without it.
fn changes(mechanism: Mechanism, prepare: fn(&mut Pool, UpstreamIx, UpstreamIx)) {
    let chosen = |policy, draw| {
        let (mut pool, first, second) = two_engines(policy);
        prepare(&mut pool, first, second);
        let need = Need {
            draw,
            ..LONG_SHARED
        };
        pool.choose(NOW, "models", &need, &[]) == Some(second)
    };
    let draws = 0..200;
    let pairs = draws.map(|d| {
        let with = chosen(Policy::default(), d);
        (with, chosen(Policy::without([mechanism]), d))
    });
    let (mut only_with, mut only_without) = (0, 0);
    for (with, without) in pairs {
        only_with += usize::from(with && !without);
        only_without += usize::from(without && !with);
    }
    assert!(only_with > 0, "{mechanism:?} changes nothing");
    assert_eq!(only_without, 0, "{mechanism:?} works against itself");
}

fn unread_at_first(pool: &mut Pool, first: UpstreamIx, _: UpstreamIx) {
    let reading = Need {
        unread: 12_000,
        ..Need::default()
    };
    pool.place(NOW, first, &reading);
}

fn failing_first(pool: &mut Pool, first: UpstreamIx, _: UpstreamIx) {
    pool.record_outcome(first, true);
}

fn part_at_second(pool: &mut Pool, _: UpstreamIx, second: UpstreamIx) {
    let same_part = Need {
        shared: LONG_SHARED.shared,
        ..Need::default()
    };
    pool.place(NOW, second, &same_part);
    pool.release(second, &same_part);
}

fn fast_second(pool: &mut Pool, first: UpstreamIx, second: UpstreamIx) {
    pool.record_pace(first, 10_000, Duration::from_secs(100));
    pool.record_pace(second, 10_000, Duration::from_secs(50));
}
