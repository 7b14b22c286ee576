//! The shared retry budget stays within its bound.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{Name, RetryLimits, SharedRetryBudget, Time};
use proptest::prelude::*;
use std::time::Duration;

cases! {
    slack_is_divided_among_entries => slack_is_divided();
    requests_earn_retries => requests_earn();
    retries_come_back_after_the_window => come_back();
    what_others_leave_may_be_used => others_leave();
    silent_entries_leave_nothing => silent_leave_nothing();
    new_limits_hold_at_once => new_limits();
    entry_with_exhausted_share_borrows_what_others_leave => borrows_what_all_leave();
    unused_grant_expires => grant_expires();
    nothing_is_granted_within_a_window_of_the_start => grants_nothing_at_first();
    retries_of_dead_entries_are_not_granted_again => dead_have_used();
}

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 56.0,
};

fn service() -> Name {
    Name::from("models")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn taken(budget: &mut SharedRetryBudget, now: Time, entries: usize) -> u32 {
    let mut count = 0;
    while budget.take(now, &service(), entries) {
        count += 1;
    }
    count
}

fn slack_is_divided() {
    let alone = taken(&mut SharedRetryBudget::new(LIMITS), at(0), 1);
    let of_four = taken(&mut SharedRetryBudget::new(LIMITS), at(0), 4);
    assert!(of_four * 4 <= alone + 4, "{of_four} of {alone}");
    assert!(f64::from(alone) < LIMITS.slack);
}

fn requests_earn() {
    let mut budget = SharedRetryBudget::new(LIMITS);
    let before = budget.remaining(at(0), &service(), 1);
    for _ in 0..100 {
        budget.record_request(at(0), &service());
    }
    let after = budget.remaining(at(0), &service(), 1);
    assert!(after > before + 10.0 && after <= before + 20.0);
}

fn come_back() {
    let mut budget = SharedRetryBudget::new(LIMITS);
    let first = taken(&mut budget, at(0), 1);
    assert_eq!(taken(&mut budget, at(9_000), 1), 0);
    assert_eq!(taken(&mut budget, at(11_000), 1), first);
}

fn others_leave() {
    let mut own = SharedRetryBudget::new(LIMITS);
    let own_share = taken(&mut own.clone(), at(0), 4);
    for other in ["a", "b", "c"] {
        let report = SharedRetryBudget::new(LIMITS).report(at(0));
        own.apply_report(at(0), &Name::from(other), report);
    }
    assert!(taken(&mut own, at(0), 4) > own_share);
}

fn silent_leave_nothing() {
    let mut own = SharedRetryBudget::new(LIMITS);
    let own_share = taken(&mut own.clone(), at(5_000), 4);
    for other in ["a", "b", "c"] {
        own.apply_report(at(0), &Name::from(other), Vec::new());
    }
    assert_eq!(taken(&mut own, at(5_000), 4), own_share);
}

/// Creates an owner that has run for longer than a window and has reports of `others` entries.
fn owner(others: usize) -> SharedRetryBudget {
    let mut owner = SharedRetryBudget::new(LIMITS);
    for other in 0..others {
        let report = SharedRetryBudget::new(LIMITS).report(at(20_000));
        owner.apply_report(at(20_000), &Name::from(other.to_string()), report);
    }
    owner
}

/// Returns the retries that one entry of a fleet sends when all its runs are interrupted, borrowing
/// from `owner`.
fn sent_by_one(owner: &mut SharedRetryBudget, entries: usize) -> u32 {
    let mut budget = SharedRetryBudget::new(LIMITS);
    let mut sent = 0;
    loop {
        if budget.remaining(at(20_000), &service(), entries) < 1.0
            && owner.grant(at(20_000), &service())
        {
            budget.record_grant(at(20_000), &service());
        }
        if !budget.take(at(20_000), &service(), entries) {
            return sent;
        }
        sent += 1;
    }
}

/// Guards against interrupted streams for lack of a retry. In a fleet of 68 entries, departing
/// upstreams interrupted some three runs per entry in ten seconds, where an entry's share is one or
/// two retries: 27 of 29 streams were cut, while the fleet used less than half of the bound.
fn borrows_what_all_leave() {
    let alone = taken(&mut SharedRetryBudget::new(LIMITS), at(0), 68);
    assert!(alone < 2, "{alone}");
    let sent = sent_by_one(&mut owner(67), 68);
    assert!(sent >= 30 && f64::from(sent) < LIMITS.slack, "{sent}");
}

fn grant_expires() {
    let mut budget = SharedRetryBudget::new(LIMITS);
    taken(&mut budget, at(0), 68);
    budget.record_grant(at(0), &service());
    assert!(!budget.take(at(2_000), &service(), 68));
    budget.record_grant(at(2_000), &service());
    assert!(budget.take(at(2_100), &service(), 68));
}

fn grants_nothing_at_first() {
    let mut owner = SharedRetryBudget::new(LIMITS);
    assert!(!owner.grant(at(9_999), &service()));
    assert!(owner.grant(at(10_000), &service()));
}

/// Retries used up by half of the entries, which then died, are not granted to the other half
/// again.
fn dead_have_used() {
    let mut owner = owner(3);
    let mut dead = SharedRetryBudget::new(LIMITS);
    let sent = taken(&mut dead, at(20_000), 1);
    owner.apply_report(at(20_000), &Name::from("dead"), dead.report(at(20_000)));
    assert!(sent >= 30 && !owner.grant(at(25_000), &service()));
    assert!(owner.grant(at(31_000), &service()));
}

fn new_limits() {
    let mut budget = SharedRetryBudget::new(LIMITS);
    budget.set_limits(RetryLimits {
        slack: 0.0,
        ..LIMITS
    });
    assert_eq!(taken(&mut budget, at(0), 1), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Entries that retry as often as they may, and report to each other now and then, stay
    /// together within the bound of every window.
    #[test]
    fn all_entries_stay_within_the_bound(
        demands in prop::collection::vec((0_usize..4, 0_u64..120, 0_u32..6, any::<bool>()), 1..200),
    ) {
        let mut entries: Vec<SharedRetryBudget> = (0..4).map(|_| SharedRetryBudget::new(LIMITS)).collect();
        let mut log: Vec<(u64, u32, u32)> = Vec::new();
        let mut now = 0;
        for (entry_ix, pause, wanted, reports) in demands {
            now += pause;
            entries[entry_ix].record_request(at(now), &service());
            let granted = (0..wanted).filter(|_| entries[entry_ix].take(at(now), &service(), 4)).count();
            log.push((now, 1, u32::try_from(granted).unwrap()));
            if reports {
                let report = entries[entry_ix].report(at(now));
                let name = Name::from(entry_ix.to_string());
                for (i, entry) in entries.iter_mut().enumerate() {
                    if i != entry_ix {
                        entry.apply_report(at(now), &name, report.clone());
                    }
                }
            }
        }
        for (end, ..) in &log {
            let window = log.iter().filter(|(t, ..)| t <= end && end - t < 10_000);
            let (requests, retries) = window.fold((0, 0), |s, (_, q, r)| (s.0 + q, s.1 + r));
            let bound = LIMITS.ratio * f64::from(requests) + LIMITS.slack;
            prop_assert!(f64::from(retries) <= bound, "{} of {}", retries, bound);
        }
    }
    /// Entries that borrow all they can from two owners with the same reports, over datagrams that
    /// are lost, duplicated or late, stay within the bound of every window.
    #[test]
    fn borrowers_stay_within_the_bound(
        demands in prop::collection::vec((0_usize..40, 0_u64..60, 0_u32..6, 0_u8..8), 1..400),
    ) {
        const ENTRIES: usize = 40;
        let mut entries: Vec<SharedRetryBudget> =
            (0..ENTRIES).map(|_| SharedRetryBudget::new(LIMITS)).collect();
        let mut log: Vec<(u64, u32, u32)> = Vec::new();
        let mut now = 20_000;
        for (entry_ix, pause, wanted, luck) in demands {
            now += pause;
            entries[entry_ix].record_request(at(now), &service());
            let mut granted = 0;
            for _ in 0..wanted {
                let owner = usize::from(luck & 1);
                let exhausted = entries[entry_ix].remaining(at(now), &service(), ENTRIES) < 1.0;
                if exhausted && entries[owner].grant(at(now), &service()) && luck != 2 {
                    entries[entry_ix].record_grant(at(now), &service());
                    // A reply that arrived twice.
                    if luck == 3 {
                        entries[owner].grant(at(now), &service());
                    }
                }
                granted += u32::from(entries[entry_ix].take(at(now), &service(), ENTRIES));
            }
            log.push((now, 1, granted));
            let report = entries[entry_ix].report(at(now));
            let name = Name::from(entry_ix.to_string());
            for (i, owner) in entries.iter_mut().take(2).enumerate() {
                if i != entry_ix {
                    owner.apply_report(at(now), &name, report.clone());
                }
            }
        }
        for (end, ..) in &log {
            let window = log.iter().filter(|(t, ..)| t <= end && end - t < 10_000);
            let (requests, retries) = window.fold((0, 0), |s, (_, q, r)| (s.0 + q, s.1 + r));
            let bound = LIMITS.ratio * f64::from(requests) + LIMITS.slack;
            prop_assert!(f64::from(retries) <= bound, "{} of {}", retries, bound);
        }
    }
}
