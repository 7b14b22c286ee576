//! Tests of quotas as token buckets, with simulated time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{Name, Quotas, Time};
use std::time::Duration;

const SHARE: u64 = 6_000;

cases! {
    full_bucket_gives_a_minute => gives_a_minute();
    told_time_is_when_it_holds_enough => reports_retry_time();
    what_was_not_used_comes_back => gives_back();
    answers_are_charged_afterwards => charges_below_zero();
    workspaces_do_not_share => workspaces_are_apart();
    more_than_a_minute_passes_a_full_bucket => large_passes_when_full();
    shares_of_two_entries_make_one_quota => two_entries_make_one();
}

fn name() -> Name {
    Name::from("w")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn gives_a_minute() {
    let mut quotas = Quotas::default();
    assert_eq!(quotas.take(at(1), &name(), SHARE, SHARE), Ok(()));
    assert!(quotas.take(at(1), &name(), 1, SHARE).is_err());
}

fn reports_retry_time() {
    let mut quotas = Quotas::default();
    quotas.take(at(0), &name(), SHARE, SHARE).unwrap();
    let wait = quotas.take(at(0), &name(), 100, SHARE).unwrap_err();
    assert_eq!(wait, Duration::from_secs(1));
    assert!(quotas.take(at(990), &name(), 100, SHARE).is_err());
    assert_eq!(quotas.take(at(1_000), &name(), 100, SHARE), Ok(()));
}

fn gives_back() {
    let mut quotas = Quotas::default();
    quotas.take(at(0), &name(), SHARE, SHARE).unwrap();
    quotas.refund(&name(), 500);
    assert_eq!(quotas.take(at(0), &name(), 500, SHARE), Ok(()));
}

fn charges_below_zero() {
    let mut quotas = Quotas::default();
    quotas.take(at(0), &name(), 100, SHARE).unwrap();
    quotas.charge(&name(), SHARE);
    let wait = quotas.take(at(0), &name(), 100, SHARE).unwrap_err();
    assert_eq!(wait, Duration::from_secs(2));
}

fn workspaces_are_apart() {
    let mut quotas = Quotas::default();
    quotas.take(at(0), &name(), SHARE, SHARE).unwrap();
    let other = Name::from("other");
    assert_eq!(quotas.take(at(0), &other, SHARE, SHARE), Ok(()));
}

fn large_passes_when_full() {
    let mut quotas = Quotas::default();
    assert_eq!(quotas.take(at(0), &name(), 2 * SHARE, SHARE), Ok(()));
    assert!(quotas.take(at(60_000), &name(), 1, SHARE).is_err());
}

/// Callers on two entries together get exactly one quota.
fn two_entries_make_one() {
    let mut entries = [Quotas::default(), Quotas::default()];
    let mut taken = 0;
    for second in 0..120_u64 {
        for quotas in &mut entries {
            while quotas
                .take(at(second * 1_000), &name(), 10, SHARE / 2)
                .is_ok()
            {
                taken += 10;
            }
        }
    }
    let most = SHARE + SHARE * 119 / 60;
    assert!((most - 100..=most).contains(&taken), "{taken} of {most}");
}
