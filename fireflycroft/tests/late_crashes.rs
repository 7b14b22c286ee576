//! Evidence about requests that crash upstreams at some point of their answers, and about sound ones beside them.

use fireflycroft::{
    ContentId, CrashEvidence, CrashId, CrashNews, CrashReport, PartId, Reach, Survivor, Suspect,
    Time,
};
use std::time::Duration;

const CONTENT: Suspect = Suspect::Content(ContentId(0xc0));

/// Time between two crashes of a request that comes again, in milliseconds.
const STEP_MS: u64 = 1_500;

/// Time between two events, in milliseconds.
const GAP_MS: u64 = 40;

macro_rules! cases {
    ($($name:ident($evidence:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $evidence = CrashEvidence::default();
                $body
            }
        )+
    };
}

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

/// Returns how far an answer gets in this number of events.
fn reach(events: u64) -> Reach {
    Reach {
        lasted: Duration::from_millis(events * GAP_MS),
        events,
    }
}

fn report(ended: u64, reach: Reach) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        suspects: vec![CONTENT],
        begun: true,
        reach,
        age: Duration::ZERO,
    }
}

fn survivor(upstream: u64, events: u64) -> Survivor {
    Survivor {
        content: CONTENT,
        at: CrashId(upstream),
        reach: reach(events),
    }
}

/// Records crashes after these events, a step apart; returns the time of the last.
fn crash(evidence: &mut CrashEvidence, step: u64, events: &[u64]) -> u64 {
    let mut now = 0;
    for (number, events) in (0..).zip(events) {
        now = number * step;
        evidence.record_crash(at(now), report(number, reach(*events)));
        evidence.judge(at(now));
    }
    now
}

fn is_refused(evidence: &mut CrashEvidence, now: u64) -> bool {
    evidence.judge(at(now + 1_000));
    !evidence.refused(at(now + 1_000)).is_empty()
}

/// Returns whether it is refused after crashes at these points, a step apart.
fn is_refused_after(evidence: &mut CrashEvidence, step: u64, events: &[u64]) -> bool {
    let now = crash(evidence, step, events);
    is_refused(evidence, now)
}

cases! {
    request_that_crashes_late_is_refused_at_the_third_crash(evidence) {
        assert!(!is_refused_after(&mut evidence, STEP_MS, &[9, 9]));
        let now = 2 * STEP_MS;
        evidence.record_crash(at(now), report(2, reach(9)));
        assert!(is_refused(&mut evidence, now));
    }

    request_that_crashes_near_its_end_is_refused(evidence) {
        assert!(is_refused_after(&mut evidence, STEP_MS, &[250, 250, 250]));
    }

    request_that_crashes_at_one_event_of_faster_and_slower_upstreams_is_refused(evidence) {
        for (number, lasted) in [(0, 400), (1, 1_200), (2, 700)] {
            let reach = Reach { lasted: Duration::from_millis(lasted), events: 9 };
            evidence.record_crash(at(number * STEP_MS), report(number, reach));
        }
        assert!(is_refused(&mut evidence, 2 * STEP_MS));
    }

    request_that_crashes_at_one_time_of_faster_and_slower_upstreams_is_refused(evidence) {
        for (number, events) in [(0, 10), (1, 40), (2, 25)] {
            let reach = Reach { lasted: Duration::from_millis(400), events };
            evidence.record_crash(at(number * STEP_MS), report(number, reach));
        }
        assert!(is_refused(&mut evidence, 2 * STEP_MS));
    }

    request_that_crashes_at_varying_points_is_refused(evidence) {
        assert!(is_refused_after(&mut evidence, STEP_MS, &[9, 60, 2, 120, 30]));
    }

    crashes_in_one_moment_are_those_of_a_lost_rack(evidence) {
        assert!(!is_refused_after(&mut evidence, 50, &[40; 8]));
    }

    complete_answer_clears_late_crashes(evidence) {
        let now = crash(&mut evidence, STEP_MS, &[9, 9]);
        evidence.record_sound(at(now + 100), &[CONTENT], Duration::ZERO);
        evidence.record_crash(at(now + STEP_MS), report(7, reach(9)));
        assert!(!is_refused(&mut evidence, now + STEP_MS));
    }

    answers_past_their_beginning_clear_no_later_crash(evidence) {
        for number in 0..3 {
            evidence.record_survivor(at(number * STEP_MS), survivor(number, 8));
            evidence.record_crash(at(number * STEP_MS + 50), report(number, reach(9)));
        }
        assert!(is_refused(&mut evidence, 3 * STEP_MS));
    }

    answer_that_got_past_the_crashes_speaks_for_its_content(evidence) {
        crash(&mut evidence, STEP_MS, &[9, 12]);
        assert!(evidence.record_survivor(at(2 * STEP_MS), survivor(100, 40)));
        evidence.record_crash(at(2 * STEP_MS), report(2, reach(10)));
        assert!(!is_refused(&mut evidence, 2 * STEP_MS));
    }

    answer_that_got_hardly_further_says_nothing(evidence) {
        crash(&mut evidence, STEP_MS, &[9, 9]);
        assert!(!evidence.record_survivor(at(2 * STEP_MS), survivor(100, 11)));
    }

    survivor_whose_upstream_ends_under_it_says_nothing(evidence) {
        crash(&mut evidence, STEP_MS, &[9, 9, 9]);
        evidence.record_survivor(at(4_000), survivor(3, 90));
        evidence.record_crash(at(4_100), report(3, reach(91)));
        evidence.record_crash(at(5_600), report(4, reach(9)));
        assert!(is_refused(&mut evidence, 5_600));
    }

    survivor_releases_a_content_that_was_refused_early(evidence) {
        assert!(is_refused_after(&mut evidence, STEP_MS, &[9, 9, 9]));
        evidence.record_survivor(at(6_000), survivor(100, 40));
        assert!(!is_refused(&mut evidence, 6_000));
    }

    long_answer_under_which_three_upstreams_ended_at_other_points_goes_on(evidence) {
        assert!(!is_refused_after(&mut evidence, STEP_MS, &[50, 20, 90]));
    }

    popular_content_is_served_while_upstreams_end_in_turn(evidence) {
        for number in 0..10 {
            let now = number * 200;
            evidence.record_crash(at(now), report(number, reach(30 + 5 * number)));
            evidence.record_survivor(at(now + 100), survivor(100, 33 + 5 * number));
            evidence.judge(at(now + 100));
            assert!(evidence.refused(at(now + 100)).is_empty(), "after {number}");
        }
        evidence.record_survivor(at(3_000), survivor(100, 90));
        assert!(!is_refused(&mut evidence, 3_000));
    }

    survivors_are_told(evidence) {
        crash(&mut evidence, STEP_MS, &[9, 9]);
        evidence.record_survivor(at(2 * STEP_MS), survivor(100, 40));
        assert!(evidence.take_news());
        let told = evidence.news_to_tell(at(2 * STEP_MS)).survivors;
        assert_eq!(told, [survivor(100, 40)]);
        let mut other = CrashEvidence::default();
        crash(&mut other, STEP_MS, &[9, 9, 9]);
        other.apply(at(3 * STEP_MS), &CrashNews { survivors: told, ..CrashNews::default() });
        assert!(!is_refused(&mut other, 3 * STEP_MS));
    }

    parts_are_blamed_for_beginnings_alone(evidence) {
        let part = Suspect::Part(PartId(0xf1));
        for number in 0..6 {
            evidence.record_crash(at(number * STEP_MS), report(number, reach(60)));
            evidence.record_sound(at(number * STEP_MS), &[part], Duration::ZERO);
        }
        assert_eq!(evidence.verdict(at(9_000), &[part]), None);
    }
}
