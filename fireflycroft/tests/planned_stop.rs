//! What a process that stops still passes on.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{Name, PlannedStop, RunTimes, Time};
use std::time::Duration;

cases! {
    long_grace_leaves_the_balancer_its_time => assert_eq!(planned(8_000).accepts_until, at(2_600));
    half_of_a_short_grace_is_left_for_what_was_accepted => assert_eq!(planned(3_000).accepts_until, at(1_500));
    callers_are_refused_until_the_balancer_has_sent_them_elsewhere => assert_eq!(planned(4_000).refuses_until, at(2_600));
    last_answers_come_before_the_exit => in_order();
    no_grace_at_all_ends_at_once => assert_eq!(planned(0).ends_at, at(0));
    work_that_ends_just_in_time_may_begin => assert!(planned(8_000).leaves_time_for(at(2_500), ms(5_150)));
    work_that_ends_a_little_later_may_not => assert!(!planned(8_000).leaves_time_for(at(2_501), ms(5_150)));
    nothing_begins_after_the_last_answers => assert!(!planned(8_000).leaves_time_for(at(7_651), ms(0)));
    work_longer_than_the_grace_may_not_begin => assert!(!planned(2_000).leaves_time_for(at(1), ms(60_000)));
    first_request_of_a_route_is_unknown => assert_eq!(RunTimes::default().expected(&"r".into()), None);
    like_requests_are_expected_to_take_as_long => assert_eq!(expected(&[300, 300, 300]), ms(300));
    requests_that_vary_are_expected_to_take_longer_than_the_mean => assert!(expected(&[100, 900, 100, 900]) > ms(500));
    routes_are_forgotten_beyond_a_bound => bounded();
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

fn expected(took: &[u64]) -> Duration {
    let route = Name::from("r");
    let mut run_times = RunTimes::default();
    for took in took {
        run_times.record(&route, ms(*took));
    }
    run_times.expected(&route).unwrap()
}

fn bounded() {
    let mut run_times = RunTimes::default();
    let names: Vec<Name> = (0..5_000).map(|n| n.to_string().into()).collect();
    for name in &names {
        run_times.record(name, ms(1));
    }
    let known = names.iter().filter(|n| run_times.expected(n).is_some());
    assert!(known.count() <= 1_024);
}
