//! Signs and doubts that an entry's list of upstreams is current.

use fireflycroft::{ListCurrency, Time};
use std::time::Duration;

const MAX_AGE: Duration = Duration::from_secs(1);

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Returns the list's state after a sign as of `confirmed` and a doubt at `doubted`, in milliseconds.
fn after(confirmed: Option<u64>, doubted: Option<u64>) -> ListCurrency {
    let mut list = ListCurrency::default();
    if let Some(millis) = confirmed {
        list.confirm(at(millis));
    }
    if let Some(millis) = doubted {
        list.doubt(at(millis));
    }
    list
}

/// Returns the list's state after two turns of the process and a sign shortly after the second one.
fn after_turns(clock: u64, time_of_day: u64, sign_after: u64) -> (Option<Duration>, bool) {
    let mut list = ListCurrency::default();
    let day = Duration::from_hours(480_000);
    list.record_turn(at(1_000), day);
    list.confirm(at(1_000));
    let second = at(1_000 + clock);
    let stood_still = list.record_turn(second, day + Duration::from_millis(time_of_day));
    let sign = second + Duration::from_millis(sign_after);
    list.confirm(sign);
    (stood_still, list.is_current(sign, MAX_AGE))
}

macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

cases! {
    list_without_a_sign_is_not_current => assert!(!after(None, None).is_current(at(1), MAX_AGE));
    list_is_current_after_a_sign => assert!(after(Some(500), None).is_current(at(600), MAX_AGE));
    sign_is_valid_for_a_time => assert!(!after(Some(500), None).is_current(at(1_500), MAX_AGE));
    doubt_outweighs_earlier_signs => assert!(!after(Some(499), Some(500)).is_current(at(600), MAX_AGE));
    sign_from_a_doubt_on_counts => assert!(after(Some(500), Some(500)).is_current(at(600), MAX_AGE));
    older_sign_changes_nothing => {
        let mut list = after(Some(500), None);
        list.confirm(at(100));
        assert!(list.is_current(at(1_200), MAX_AGE));
    };
    turns_in_time_cast_no_doubt => assert_eq!(after_turns(450, 450, 1), (None, true));
    signs_right_after_a_standstill_may_have_waited => {
        assert_eq!(after_turns(3_000, 3_000, 50), (Some(Duration::from_secs(3)), false));
    };
    later_sign_ends_the_doubt_of_a_standstill => {
        assert_eq!(after_turns(3_000, 3_000, 150), (Some(Duration::from_secs(3)), true));
    };
    suspended_vm_stands_still_by_the_time_of_day => {
        assert_eq!(after_turns(50, 4_000, 50), (Some(Duration::from_secs(4)), false));
    };
    time_of_day_set_back_is_no_standstill => assert_eq!(after_turns(50, 0, 1), (None, true));
}
