//! The shared budget of repeats stays within its bound.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{Name, RepeatBudget, RepeatLimits, Time};
use proptest::prelude::*;
use std::time::Duration;

cases! {
    slack_is_divided_among_entries => slack_is_divided();
    requests_earn_repeats => requests_earn();
    repeats_come_back_after_the_window => come_back();
    what_others_leave_may_be_used => others_leave();
    silent_entries_leave_nothing => silent_leave_nothing();
    new_limits_hold_at_once => new_limits();
}

const LIMITS: RepeatLimits = RepeatLimits {
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

fn taken(budget: &mut RepeatBudget, now: Time, entries: usize) -> u32 {
    let mut count = 0;
    while budget.take(now, &service(), entries) {
        count += 1;
    }
    count
}

fn slack_is_divided() {
    let alone = taken(&mut RepeatBudget::new(LIMITS), at(0), 1);
    let of_four = taken(&mut RepeatBudget::new(LIMITS), at(0), 4);
    assert!(of_four * 4 <= alone + 4, "{of_four} of {alone}");
    assert!(f64::from(alone) < LIMITS.slack);
}

fn requests_earn() {
    let mut budget = RepeatBudget::new(LIMITS);
    let before = budget.left(at(0), &service(), 1);
    for _ in 0..100 {
        budget.note_request(at(0), &service());
    }
    let after = budget.left(at(0), &service(), 1);
    assert!(after > before + 10.0 && after <= before + 20.0);
}

fn come_back() {
    let mut budget = RepeatBudget::new(LIMITS);
    let first = taken(&mut budget, at(0), 1);
    assert_eq!(taken(&mut budget, at(9_000), 1), 0);
    assert_eq!(taken(&mut budget, at(11_000), 1), first);
}

fn others_leave() {
    let mut mine = RepeatBudget::new(LIMITS);
    let part = taken(&mut mine.clone(), at(0), 4);
    for other in ["a", "b", "c"] {
        let told = RepeatBudget::new(LIMITS).tell(at(0));
        mine.note_others(at(0), &Name::from(other), told);
    }
    assert!(taken(&mut mine, at(0), 4) > part);
}

fn silent_leave_nothing() {
    let mut mine = RepeatBudget::new(LIMITS);
    let part = taken(&mut mine.clone(), at(5_000), 4);
    for other in ["a", "b", "c"] {
        mine.note_others(at(0), &Name::from(other), Vec::new());
    }
    assert_eq!(taken(&mut mine, at(5_000), 4), part);
}

fn new_limits() {
    let mut budget = RepeatBudget::new(LIMITS);
    budget.set_limits(RepeatLimits {
        slack: 0.0,
        ..LIMITS
    });
    assert_eq!(taken(&mut budget, at(0), 1), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Entries that repeat as much as they may, and tell each other now and then, stay together
    /// within the bound of every window.
    #[test]
    fn all_entries_stay_within_the_bound(
        greed in prop::collection::vec((0_usize..4, 0_u64..120, 0_u32..6, any::<bool>()), 1..200),
    ) {
        let mut entries: Vec<RepeatBudget> = (0..4).map(|_| RepeatBudget::new(LIMITS)).collect();
        let mut log: Vec<(u64, u32, u32)> = Vec::new();
        let mut now = 0;
        for (who, pause, wanted, tells) in greed {
            now += pause;
            entries[who].note_request(at(now), &service());
            let granted = (0..wanted).filter(|_| entries[who].take(at(now), &service(), 4)).count();
            log.push((now, 1, u32::try_from(granted).unwrap()));
            if tells {
                let told = entries[who].tell(at(now));
                let name = Name::from(who.to_string());
                for (i, entry) in entries.iter_mut().enumerate() {
                    if i != who {
                        entry.note_others(at(now), &name, told.clone());
                    }
                }
            }
        }
        for (end, ..) in &log {
            let window = log.iter().filter(|(t, ..)| t <= end && end - t < 10_000);
            let (requests, repeats) = window.fold((0, 0), |s, (_, q, r)| (s.0 + q, s.1 + r));
            let most = LIMITS.ratio * f64::from(requests) + LIMITS.slack;
            prop_assert!(f64::from(repeats) <= most, "{} of {}", repeats, most);
        }
    }
}
