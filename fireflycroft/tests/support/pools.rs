//! Pools of engines for tests of the choice of an upstream.

// Each test file uses a different part of it.
#![allow(dead_code)]

use fireflycroft::{
    Evacuations, Incarnation, Name, Need, Pace, Placed, PlacedAt, Pool, Time, UpstreamIx,
    UpstreamRecord, UpstreamState,
};
use std::time::Duration;

/// Memory of each engine in tokens.
pub(crate) const MEMORY: u64 = 10_000;

/// Returns the time `millis` after the start.
pub(crate) fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns the record of an engine of `models`.
pub(crate) fn record(instance: &str, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        instance: Name::from(instance),
        incarnation: Incarnation::default(),
        service: Name::from("models"),
        addr: "127.0.0.1:1".parse().unwrap(),
        data_centre: Name::from("dc"),
        software_version: Some(Name::from("v1")),
        slots: 16,
        state: UpstreamState::Serving,
        cold_for: Duration::ZERO,
        revision,
    }
}

/// Returns the record of a departing engine of `models`.
pub(crate) fn leaving(instance: &str, revision: u64) -> UpstreamRecord {
    UpstreamRecord {
        state: UpstreamState::Leaving,
        ..record(instance, revision)
    }
}

/// Returns a pool with these engines.
pub(crate) fn pool(instances: &[&str]) -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    for (i, instance) in instances.iter().enumerate() {
        pool.upsert(at(0), record(instance, 1 + i as u64));
    }
    pool.set_memory(&Name::from("models"), Some(MEMORY));
    pool
}

/// Returns the list of evacuated data centres as of a revision.
pub(crate) fn evacuated(revision: u64, data_centres: &[&str]) -> Evacuations {
    let names = data_centres.iter().map(|name| Name::from(*name));
    Evacuations {
        revision,
        data_centres: names.collect(),
    }
}

/// Returns a need of `tokens`.
pub(crate) fn need(tokens: u64) -> Need {
    Need {
        tokens,
        ..Need::default()
    }
}

/// Returns the instance of the chosen engine.
pub(crate) fn chosen(pool: &Pool, now: Time, need: &Need) -> String {
    let ix = pool.choose(now, "models", need, &[]).unwrap();
    pool.record(ix).instance.to_string()
}

/// Returns the index of an engine.
pub(crate) fn ix(pool: &Pool, instance: &str) -> UpstreamIx {
    pool.find(instance).unwrap()
}

/// Returns the work of another entry on an engine, as announced.
pub(crate) fn announced_work(instance: &str, tokens: u64) -> PlacedAt {
    PlacedAt {
        instance: Name::from(instance),
        incarnation: Incarnation::default(),
        placed: Placed {
            running: 1,
            tokens,
            copies: 0,
            unread: 0,
            ..Placed::default()
        },
        pace: Pace::default(),
    }
}
