//! Requests beside others that crash upstreams, which they lose with them.

use fireflycroft::{
    ContentId, CrashEvidence, CrashId, CrashReport, PartId, Reach, RefusedSuspect, Suspect, Time,
};
use std::time::Duration;

/// The request or part that crashes upstreams.
const BAD: Suspect = Suspect::Content(ContentId(0xbad));
const BAD_PART: Suspect = Suspect::Part(PartId(0xbad));

/// A request in progress beside it.
const BESIDE: Suspect = Suspect::Content(ContentId(0xc1));

/// Time between two crashes, in milliseconds.
const STEP_MS: u64 = 400;

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

fn report(ended: u64, suspect: Suspect) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        suspects: vec![suspect],
        begun: true,
        reach: Reach::default(),
        age: Duration::ZERO,
    }
}

/// Records that upstreams 0, 1 and so on end at the beginnings of answers with a suspect, a step apart; returns the time
/// of the last.
fn crash_in_turn(evidence: &mut CrashEvidence, count: u64, suspect: Suspect) -> u64 {
    for ended in 0..count {
        evidence.record_crash(at(ended * STEP_MS), report(ended, suspect));
        evidence.judge(at(ended * STEP_MS));
    }
    (count - 1) * STEP_MS
}

/// Records that upstreams ended with a suspect at a time.
fn lose(evidence: &mut CrashEvidence, now: u64, ended: &[u64], suspect: Suspect) {
    for ended in ended {
        evidence.record_crash(at(now), report(*ended, suspect));
    }
    evidence.judge(at(now));
}

/// Returns whether a suspect is refused once all suspensions are over.
fn is_refused(evidence: &mut CrashEvidence, now: u64, suspect: Suspect) -> bool {
    let now = at(now + 1_000);
    evidence.judge(now);
    evidence.refused(now).iter().any(|r| r.suspect == suspect)
}

cases! {
    request_beside_one_that_is_refused_isn_t_refused_for_its_crashes(evidence) {
        let now = crash_in_turn(&mut evidence, 5, BAD);
        lose(&mut evidence, now, &[3, 4, 90], BESIDE);
        assert!(!is_refused(&mut evidence, now, BESIDE));
        assert!(is_refused(&mut evidence, now, BAD));
    }

    request_beside_one_that_is_refused_isn_t_put_off(evidence) {
        let now = crash_in_turn(&mut evidence, 5, BAD);
        lose(&mut evidence, now, &[3, 4, 90], BESIDE);
        assert_eq!(evidence.verdict(at(now), &[BESIDE]), None);
    }

    request_beside_one_that_is_refused_soon_isn_t_refused_for_its_crashes(evidence) {
        for ended in 0..4 {
            evidence.record_crash(at(ended), report(ended, BAD));
        }
        lose(&mut evidence, 4, &[2, 3, 90], BESIDE);
        assert!(!is_refused(&mut evidence, 4, BESIDE));
        assert!(is_refused(&mut evidence, 4, BAD));
    }

    request_under_as_many_crashes_as_a_refused_one_isn_t_refused_for_shared_ones(evidence) {
        let now = crash_in_turn(&mut evidence, 3, BAD);
        assert!(is_refused(&mut evidence, now, BAD));
        lose(&mut evidence, 2_000, &[1, 2, 90], BESIDE);
        assert!(!is_refused(&mut evidence, 2_000, BESIDE));
        assert!(is_refused(&mut evidence, 2_000, BAD));
    }

    request_under_more_crashes_than_one_refused_by_mistake_is_refused(evidence) {
        lose(&mut evidence, 0, &[1, 2, 90], BESIDE);
        assert!(is_refused(&mut evidence, 0, BESIDE));
        lose(&mut evidence, 2_000, &[1, 2, 3], BAD);
        assert!(!is_refused(&mut evidence, 2_000, BAD));
        lose(&mut evidence, 3_000, &[4], BAD);
        assert!(is_refused(&mut evidence, 3_000, BAD));
    }

    request_beside_a_refused_part_isn_t_refused_for_its_crashes(evidence) {
        let now = crash_in_turn(&mut evidence, 4, BAD_PART);
        lose(&mut evidence, now, &[2, 3, 90], BESIDE);
        assert!(!is_refused(&mut evidence, now, BESIDE));
        assert!(is_refused(&mut evidence, now, BAD_PART));
    }

    request_beside_one_that_others_refuse_isn_t_refused_for_its_crashes(evidence) {
        evidence.adopt(at(0), RefusedSuspect { suspect: BAD, crashes: 3, age: Duration::ZERO });
        lose(&mut evidence, 100, &[1, 2], BAD);
        lose(&mut evidence, 100, &[1, 2, 90], BESIDE);
        assert!(!is_refused(&mut evidence, 100, BESIDE));
    }

    request_that_ends_three_upstreams_without_the_refused_one_is_refused(evidence) {
        let now = crash_in_turn(&mut evidence, 5, BAD);
        lose(&mut evidence, now, &[3, 4, 90, 91, 92], BESIDE);
        assert!(is_refused(&mut evidence, now, BESIDE));
        assert!(is_refused(&mut evidence, now, BAD));
    }

    requests_that_as_many_upstreams_end_under_are_refused_both(evidence) {
        lose(&mut evidence, 0, &[1, 2, 3], BAD);
        lose(&mut evidence, 0, &[2, 3, 4], BESIDE);
        assert!(is_refused(&mut evidence, 0, BAD));
        assert!(is_refused(&mut evidence, 0, BESIDE));
    }

    two_requests_that_crash_upstreams_side_by_side_end_five_each_at_most(evidence) {
        let both = [BAD, BESIDE];
        let mut crashes = [0, 0];
        for number in 0..20 {
            let now = number * STEP_MS;
            let run_together = number % 3 > 0;
            evidence.judge(at(now));
            let may_run = both.map(|s| evidence.verdict(at(now), &[s]).is_none());
            for (n, suspect) in both.into_iter().enumerate() {
                let comes = n == 0 || run_together || !may_run[0];
                if may_run[n] && comes {
                    evidence.record_crash(at(now + 40), report(number, suspect));
                    crashes[n] += 1;
                }
            }
        }
        assert!(crashes.iter().all(|c| (3..=5).contains(c)), "{crashes:?}");
        assert!(both.iter().all(|s| is_refused(&mut evidence, 9_000, *s)));
    }
}
