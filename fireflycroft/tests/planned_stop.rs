//! Schedule of a planned stop.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{PlannedStop, Time};
use std::time::Duration;

cases! {
    long_grace_leaves_the_balancer_its_time => assert_eq!(planned(8_000).accepts_until, at(2_600));
    half_of_a_short_grace_is_left_for_what_was_accepted => assert_eq!(planned(3_000).accepts_until, at(1_500));
    callers_are_refused_until_the_balancer_has_sent_them_elsewhere => assert_eq!(planned(4_000).refuses_until, at(2_600));
    last_answers_come_before_the_exit => in_order();
    no_grace_at_all_ends_at_once => assert_eq!(planned(0).ends_at, at(0));
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn planned(grace: u64) -> PlannedStop {
    PlannedStop::new(at(0), ms(grace))
}

fn in_order() {
    for grace in [1_000, 2_000, 3_000, 5_000, 8_000, 30_000] {
        let planned = planned(grace);
        assert!(
            planned.accepts_until <= planned.refuses_until,
            "{planned:?}"
        );
        assert!(
            planned.accepts_until < planned.last_answers_at,
            "{planned:?}"
        );
        assert!(planned.last_answers_at < planned.ends_at, "{planned:?}");
        assert!(planned.ends_at < at(grace), "{planned:?}");
    }
}
