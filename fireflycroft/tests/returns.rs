//! Callers who were refused for lack of room: how they are known when they come back.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{ArrivalKind, Digest, Refusal, Returns, Time};
use proptest::prelude::*;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(1_800);

cases! {
    first_caller_is_no_returning_one => assert_eq!(coming(&Returns::default(), 0, 1), ArrivalKind::First);
    refused_caller_is_known_when_it_comes_back => assert_eq!(coming(&refused(1), 350, 1), ArrivalKind::AgainInTime);
    another_caller_of_the_kind_is_not => assert_eq!(coming(&refused(1), 350, 2), ArrivalKind::First);
    caller_that_comes_back_late_is_told_apart => assert_eq!(coming(&refused(1), 1_500, 1), ArrivalKind::AgainLate);
    refusal_is_forgotten => assert_eq!(coming(&refused(1), 60_000, 1), ArrivalKind::First);
    second_refusal_counts_from_the_first => counts_from_first();
    refusal_told_by_another_entry_counts => told_counts();
    age_of_a_told_refusal_counts => assert_eq!(coming(&told(1_500), 5_100, 1), ArrivalKind::AgainLate);
    refusal_long_after_another_counts_anew => counts_anew();
    own_refusals_alone_are_told => tells_own();
    refusals_told_are_bounded => bounds_told();
    refusals_remembered_are_bounded => bounds_remembered();
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A caller with that content was refused at time zero.
fn refused(content: u128) -> Returns {
    let mut returns = Returns::default();
    returns.note_refused(at(0), Digest(content));
    returns
}

/// Another entry refused the caller 1 that long before time 5,000.
fn told(age: u64) -> Returns {
    let mut returns = Returns::default();
    returns.learn(
        at(5_000),
        &Refusal {
            content: Digest(1),
            age: Duration::from_millis(age),
        },
    );
    returns
}

fn coming(returns: &Returns, now: u64, content: u128) -> ArrivalKind {
    ArrivalKind::after(returns.waited(at(now), Digest(content)), OBJECTIVE)
}

fn counts_from_first() {
    let mut returns = refused(1);
    returns.note_refused(at(1_400), Digest(1));
    let waited = returns.waited(at(1_500), Digest(1));
    assert_eq!(waited, Some(Duration::from_millis(1_500)));
}

fn counts_anew() {
    let mut returns = refused(1);
    returns.note_refused(at(60_000), Digest(1));
    assert_eq!(coming(&returns, 60_300, 1), ArrivalKind::AgainInTime);
}

fn told_counts() {
    let returns = told(50);
    assert_eq!(coming(&returns, 5_300, 1), ArrivalKind::AgainInTime);
}

fn tells_own() {
    let mut returns = told(0);
    returns.note_refused(at(5_000), Digest(2));
    let contents = |now| -> Vec<Digest> {
        let told = returns.tell(at(now)).into_iter();
        told.map(|r| r.content).collect()
    };
    assert_eq!(contents(5_100), [Digest(2)]);
    assert_eq!(contents(9_000), []);
}

fn bounds_told() {
    let mut returns = Returns::default();
    for n in 0..500 {
        returns.note_refused(at(n), Digest(n.into()));
    }
    let told = returns.tell(at(500));
    assert!(told.len() <= 24);
    assert_eq!(told[0].content, Digest(499), "the newest first");
}

/// A caller who asks for something new each time pushes nobody out.
fn bounds_remembered() {
    let mut returns = refused(1);
    for n in 2..100_000_u128 {
        returns.note_refused(at(10), Digest(n));
    }
    assert_eq!(coming(&returns, 300, 1), ArrivalKind::AgainInTime);
    // And there is place again when they are forgotten.
    returns.note_refused(at(60_000), Digest(7_777_777));
    assert_eq!(
        coming(&returns, 60_100, 7_777_777),
        ArrivalKind::AgainInTime
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever others tell, nobody is known for longer than stated, and nothing is told on.
    #[test]
    fn any_telling_is_borne(age in any::<u32>(), now in 0_u64..1 << 40) {
        let mut returns = Returns::default();
        let age = Duration::from_millis(u64::from(age));
        for n in 0..20 {
            returns.learn(at(now), &Refusal { content: Digest(n), age });
        }
        prop_assert!(returns.tell(at(now)).is_empty());
        prop_assert!(returns.waited(at(now + 10_000), Digest(1)).is_none());
    }
}
