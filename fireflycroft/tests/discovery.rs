//! When an entry makes itself known in the store, and looks there for others.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::DiscoveryStep::{List, ListReplica, Register, Withdraw};
use fireflycroft::{Discovery, DiscoveryStep, EntryDuty, Surroundings, Time};
use std::time::Duration;

/// An entry that hears from others and is relied on by none.
const SETTLED: Surroundings = Surroundings {
    is_seed: false,
    hears_others: true,
    duty: EntryDuty::Ordinary,
    is_store_silent: false,
};

const ALONE: Surroundings = Surroundings {
    hears_others: false,
    ..SETTLED
};

const SEED_ALONE: Surroundings = Surroundings {
    is_seed: true,
    ..ALONE
};

const RELIED_ON: Surroundings = Surroundings {
    duty: EntryDuty::ReliedOn,
    ..SETTLED
};

/// The same while the store is silent.
const fn in_silence(around: Surroundings) -> Surroundings {
    Surroundings {
        is_store_silent: true,
        ..around
    }
}

cases! {
    entry_that_hears_others_makes_no_call => assert_eq!(steps(SETTLED, 60_000), []);
    seed_that_hears_nobody_makes_no_call => assert_eq!(steps(SEED_ALONE, 60_000), []);
    entry_waits_for_its_seeds_first => assert_eq!(steps(ALONE, 500), []);
    lone_entry_registers_before_it_lists => assert_eq!(steps(ALONE, 1_000), [Register, List]);
    lists_become_rarer => assert!(steps(ALONE, 60_000).len() <= 14);
    entry_that_is_relied_on_makes_itself_known => assert_eq!(steps(RELIED_ON, 20_000), [Register, List]);
    entry_that_is_relied_on_lists_again => assert_eq!(steps(RELIED_ON, 45_000), [Register, List, ListReplica]);
    entry_that_is_relied_on_briefly_makes_no_call => assert_eq!(steps(RELIED_ON, 1_500), []);
    object_that_is_lost_is_written_again => written_again();
    entry_that_stops_removes_its_object => removed_at_a_stop();
    object_is_removed_once_others_are_heard => removed_later();
    watcher_of_a_silent_store_makes_no_call => assert_eq!(steps(in_silence(RELIED_ON), 60_000), []);
    lone_entry_makes_no_call_to_a_silent_store => assert_eq!(steps(in_silence(ALONE), 60_000), []);
    entry_registers_once_the_store_answers => registered_after_silence();
    object_that_is_not_needed_outlasts_a_silence => removed_after_silence();
    failed_calls_pause => assert_eq!(failing_calls_at(ALONE, 5_500), [600, 1_600, 3_600]);
    failing_calls_become_rarer => assert!(failing_calls_at(RELIED_ON, 60_000).len() <= 10);
    failed_calls_are_made_again_before_long => assert_eq!(longest_pause(&failing_calls_at(ALONE, 60_000)), 8_000);
    answered_call_ends_the_pauses => assert_eq!(pause_after_an_answer(), 1_000);
    lone_entry_knows_no_fleet_until_it_sees_itself => pending_until_visible();
    entry_that_is_never_answered_is_alone_in_the_end => assert!(!Discovery::default().is_pending(at(31_000), ALONE));
    seed_is_alone_at_once => assert!(!Discovery::default().is_pending(at(1_000), SEED_ALONE));
}

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

/// Returns the steps up to an age in milliseconds, all of which succeed.
fn steps(around: Surroundings, age_ms: u64) -> Vec<DiscoveryStep> {
    let mut discovery = Discovery::default();
    let mut taken = Vec::new();
    for ms in (0..=age_ms).step_by(100) {
        if let Some(step) = discovery.next_step(at(ms), around) {
            taken.push(step);
            record(&mut discovery, at(ms), step);
        }
    }
    taken
}

fn record(discovery: &mut Discovery, now: Time, step: DiscoveryStep) {
    match step {
        Register => discovery.record_registered(),
        List | ListReplica => discovery.record_listed(now, true),
        Withdraw => discovery.record_withdrawn(),
    }
}

fn removed_later() {
    let mut discovery = Discovery::default();
    discovery.record_registered();
    assert_eq!(discovery.next_step(at(2_000), SETTLED), None);
    assert_eq!(discovery.next_step(at(8_000), SETTLED), Some(Withdraw));
    discovery.record_withdrawn();
    assert_eq!(discovery.next_step(at(20_000), SETTLED), None);
}

/// Returns the ages in milliseconds at which an entry makes calls, all of which fail.
fn failing_calls_at(around: Surroundings, age_ms: u64) -> Vec<u64> {
    let mut discovery = Discovery::default();
    let mut calls_at = Vec::new();
    for ms in (0..=age_ms).step_by(100) {
        if discovery.next_step(at(ms), around).is_some() {
            calls_at.push(ms);
            discovery.record_failure(at(ms));
        }
    }
    calls_at
}

fn longest_pause(calls_at: &[u64]) -> u64 {
    calls_at.windows(2).map(|w| w[1] - w[0]).max().unwrap()
}

/// Returns the pause after a call that fails, in milliseconds, when others have failed before one was answered.
fn pause_after_an_answer() -> u64 {
    let mut discovery = Discovery::default();
    for ms in [1_000, 20_000, 40_000] {
        discovery.record_failure(at(ms));
    }
    discovery.record_registered();
    discovery.record_failure(at(60_000));
    let is_due = |ms: &u64| discovery.next_step(at(60_000 + ms), ALONE).is_some();
    (0..=10_000).step_by(100).find(is_due).unwrap()
}

fn pending_until_visible() {
    let mut discovery = Discovery::default();
    assert!(discovery.is_pending(at(3_000), ALONE));
    assert!(!discovery.is_pending(at(3_000), SETTLED));
    discovery.record_listed(at(3_000), false);
    assert!(discovery.is_pending(at(3_100), ALONE));
    discovery.record_listed(at(4_000), true);
    assert!(!discovery.is_pending(at(4_100), ALONE));
}

fn written_again() {
    let mut discovery = Discovery::default();
    discovery.record_registered();
    discovery.record_listed(at(1_000), false);
    assert_eq!(discovery.next_step(at(1_100), ALONE), Some(Register));
}

fn removed_at_a_stop() {
    let mut discovery = Discovery::default();
    discovery.record_registered();
    let around = Surroundings {
        duty: EntryDuty::Stopping,
        ..RELIED_ON
    };
    assert_eq!(discovery.next_step(at(1_000), around), Some(Withdraw));
}

fn registered_after_silence() {
    for around in [ALONE, RELIED_ON] {
        let mut discovery = Discovery::default();
        let next = |d: &mut Discovery, ms, around| d.next_step(at(ms), around);
        assert_eq!(
            next(&mut discovery, 1_000, around).is_some(),
            around == ALONE
        );
        assert_eq!(next(&mut discovery, 60_000, in_silence(around)), None);
        assert_eq!(next(&mut discovery, 60_100, around), Some(Register));
    }
}

fn removed_after_silence() {
    let mut discovery = Discovery::default();
    discovery.record_registered();
    assert_eq!(discovery.next_step(at(2_000), SETTLED), None);
    for duty in [EntryDuty::Ordinary, EntryDuty::Stopping] {
        let around = in_silence(Surroundings { duty, ..SETTLED });
        assert_eq!(discovery.next_step(at(60_000), around), None);
    }
    assert_eq!(discovery.next_step(at(60_100), SETTLED), Some(Withdraw));
}
