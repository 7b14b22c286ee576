//! Evidence about parts of prompts that crash upstreams: what is refused, cleared, tried again and told.

use fireflycroft::{
    CrashEvidence, CrashId, CrashReport, MAX_SHARED_PARTS, PART_CRASHES, PartId, PartVerdict,
    RefusedPart, Time, UNKNOWN_PART_CRASHES,
};
use proptest::prelude::*;
use std::time::Duration;

/// The part that crashes upstreams.
const BAD: u64 = 0xbad;

/// A part of the same prompts that doesn't.
const FIRST: u64 = 0xf1;

/// Time between two crashes, in milliseconds.
const STEP_MS: u64 = 400;

macro_rules! cases {
    ($($name:ident($evidence:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut)]
                let mut $evidence = CrashEvidence::default();
                $body
            }
        )+
    };
}

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn report(ended: u64, parts: &[u64]) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        parts: parts.iter().copied().map(PartId).collect(),
        begun: true,
        age: Duration::ZERO,
    }
}

fn queued(ended: u64, parts: &[u64]) -> CrashReport {
    CrashReport {
        begun: false,
        ..report(ended, parts)
    }
}

/// Records `count` crashes from `from` on, [`STEP_MS`] apart; returns the time of the last.
fn crash(evidence: &mut CrashEvidence, from: u64, count: usize, parts: &[u64]) -> u64 {
    let mut now = from;
    for number in 0..count {
        now = from + u64::try_from(number).unwrap() * STEP_MS;
        evidence.record_crash(at(now), report(now, parts));
        evidence.judge(at(now));
    }
    now
}

fn sound(evidence: &mut CrashEvidence, now: u64, parts: &[u64]) {
    let parts: Vec<PartId> = parts.iter().copied().map(PartId).collect();
    evidence.record_sound(at(now), &parts, Duration::ZERO);
}

/// Returns the parts that are refused once all suspensions are over.
fn refused(evidence: &mut CrashEvidence, now: u64) -> Vec<u64> {
    let now = at(now + 1_000);
    evidence.judge(now);
    let mut parts: Vec<u64> = evidence.refused(now).iter().map(|r| r.part.0).collect();
    parts.sort_unstable();
    parts
}

fn is_suspended(evidence: &CrashEvidence, now: u64, part: u64) -> bool {
    let verdict = evidence.verdict(at(now), &[PartId(part)]);
    matches!(verdict, Some(PartVerdict::Suspended { .. }))
}

cases! {
    part_is_refused_at_the_limit(evidence) {
        let now = crash(&mut evidence, 0, UNKNOWN_PART_CRASHES - 1, &[BAD]);
        assert!(refused(&mut evidence, now).is_empty());
        let now = crash(&mut evidence, now + STEP_MS, 1, &[BAD]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
    }

    one_crash_counts_once_whoever_saw_it(evidence) {
        for seen in 0..10 {
            evidence.record_crash(at(seen), report(7, &[BAD]));
            evidence.record_crash(at(seen), report(7, &[FIRST, BAD]));
        }
        assert!(refused(&mut evidence, 5_000).is_empty());
    }

    part_seen_sound_is_cleared_of_earlier_crashes(evidence) {
        let mut now = 0;
        for _ in 0..5 {
            now = crash(&mut evidence, now, 2, &[FIRST]);
            sound(&mut evidence, now + 10, &[FIRST]);
            now += STEP_MS;
        }
        assert!(refused(&mut evidence, now).is_empty());
    }

    part_never_seen_sound_explains_the_crashes_of_one_that_was(evidence) {
        sound(&mut evidence, 0, &[FIRST]);
        let now = crash(&mut evidence, 100, PART_CRASHES, &[BAD, FIRST]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
    }

    later_one_of_two_unknown_parts_is_refused(evidence) {
        let now = crash(&mut evidence, 0, PART_CRASHES, &[FIRST, BAD]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
    }

    first_part_is_refused_where_the_later_ones_differ(evidence) {
        for number in 0..3 {
            crash(&mut evidence, number * STEP_MS, 1, &[BAD, 0xc0 + number]);
        }
        assert_eq!(refused(&mut evidence, 3 * STEP_MS), [BAD]);
    }

    part_that_was_sound_before_is_refused_after_more_crashes(evidence) {
        sound(&mut evidence, 0, &[BAD]);
        let now = crash(&mut evidence, 100, PART_CRASHES - 1, &[BAD]);
        assert!(refused(&mut evidence, now).is_empty());
        let now = crash(&mut evidence, now + STEP_MS, 1, &[BAD]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
    }

    queued_requests_are_weak_suspects(evidence) {
        for number in 0..4 {
            evidence.record_crash(at(number * STEP_MS), queued(number, &[BAD]));
        }
        assert!(refused(&mut evidence, 4 * STEP_MS).is_empty());
        evidence.record_crash(at(4 * STEP_MS), queued(4, &[BAD]));
        assert_eq!(refused(&mut evidence, 4 * STEP_MS), [BAD]);
    }

    rack_of_upstreams_that_ends_at_once_blames_no_popular_part(evidence) {
        sound(&mut evidence, 0, &[FIRST]);
        for ended in 0..20 {
            evidence.record_crash(at(100), report(ended, &[FIRST]));
        }
        evidence.judge(at(100));
        assert!(is_suspended(&evidence, 100, FIRST));
        // Answers on upstreams that are left go on.
        sound(&mut evidence, 300, &[FIRST]);
        evidence.judge(at(300));
        assert_eq!(evidence.verdict(at(300), &[PartId(FIRST)]), None);
        assert!(refused(&mut evidence, 300).is_empty());
    }

    part_is_put_off_while_answers_may_clear_it(evidence) {
        for ended in 0..3 {
            evidence.record_crash(at(ended), report(ended, &[FIRST, BAD]));
        }
        evidence.judge(at(3));
        assert!(is_suspended(&evidence, 3, BAD));
        assert!(!is_suspended(&evidence, 3, FIRST), "the crashes are explained");
        assert_eq!(refused(&mut evidence, 3), [BAD]);
    }

    neighbour_of_crashes_that_a_refused_part_explains_is_not_refused(evidence) {
        for ended in 0..5 {
            let now = at(ended * STEP_MS);
            evidence.record_crash(now, report(ended, &[0xe1]));
            evidence.record_crash(now, report(ended, &[FIRST, BAD]));
            evidence.judge(now);
        }
        // Which of them it was can't be told while both were under every crash.
        assert_eq!(refused(&mut evidence, 5 * STEP_MS).len(), 1);
    }

    answer_that_goes_on_releases_a_refused_part(evidence) {
        let now = crash(&mut evidence, 0, 3, &[FIRST, BAD]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
        sound(&mut evidence, now + 2_000, &[BAD]);
        assert!(refused(&mut evidence, now + 2_000).is_empty());
    }

    refused_part_is_tried_again_at_growing_intervals(evidence) {
        let now = crash(&mut evidence, 0, 3, &[BAD]);
        assert_eq!(refused(&mut evidence, now), [BAD]);
        assert!(!evidence.take_probe(at(now + 5_000), &[PartId(FIRST), PartId(BAD)]));
        let mut probes = 0;
        for second in 0..200 {
            let now = now + 1_000 + second * 1_000;
            if evidence.take_probe(at(now), &[PartId(FIRST), PartId(BAD)]) {
                probes += 1;
                evidence.record_crash(at(now + 100), report(now, &[BAD]));
                evidence.judge(at(now + 100));
            }
        }
        assert_eq!(probes, 2);
    }

    entry_that_adopts_a_refusal_tries_the_part_no_sooner_than_others(evidence) {
        let told = RefusedPart { part: PartId(BAD), crashes: 4, age: Duration::ZERO };
        evidence.adopt(at(0), told);
        assert!(!evidence.take_probe(at(40_000), &[PartId(FIRST), PartId(BAD)]));
        assert!(evidence.take_probe(at(130_000), &[PartId(FIRST), PartId(BAD)]));
    }

    request_with_two_refused_parts_tries_them_when_both_are_due(evidence) {
        crash(&mut evidence, 0, 3, &[BAD]);
        let now = crash(&mut evidence, 20_000, 3, &[0xbad2]);
        assert_eq!(refused(&mut evidence, now), [BAD, 0xbad2]);
        let both = [PartId(BAD), PartId(0xbad2)];
        assert!(!evidence.take_probe(at(40_000), &both));
        assert!(evidence.take_probe(at(60_000), &both));
        assert!(!evidence.take_probe(at(60_000), &both[..1]));
    }

    refusal_is_adopted_and_told_on(evidence) {
        let told = RefusedPart { part: PartId(BAD), crashes: 4, age: Duration::from_secs(9) };
        assert!(evidence.adopt(at(0), told));
        assert!(!evidence.adopt(at(1), told));
        assert_eq!(refused(&mut evidence, 0), [BAD]);
        assert_eq!(evidence.to_tell(at(0)).refused, [told]);
    }

    refusal_older_than_a_sound_answer_is_contradicted(evidence) {
        sound(&mut evidence, 0, &[BAD]);
        let told = RefusedPart { part: PartId(BAD), crashes: 3, age: Duration::from_secs(9) };
        assert!(!evidence.adopt(at(10), told));
        assert!(evidence.take_news());
        assert_eq!(evidence.to_tell(at(10)).sound[0].part, PartId(BAD));
    }

    part_known_to_be_sound_is_told_when_a_crash_is(evidence) {
        sound(&mut evidence, 0, &[FIRST]);
        assert!(evidence.to_tell(at(0)).sound.is_empty());
        evidence.record_crash(at(2_000), report(1, &[FIRST, BAD]));
        let told = evidence.to_tell(at(2_000)).sound;
        assert_eq!((told[0].part, told[0].age), (PartId(FIRST), Duration::from_secs(2)));
        assert!(evidence.to_tell(at(9_000)).sound.is_empty());
    }

    crashes_are_told_for_some_seconds(evidence) {
        evidence.record_crash(at(0), report(1, &[BAD]));
        assert_eq!(evidence.to_tell(at(1_000)).crashes[0].age, Duration::from_secs(1));
        assert!(evidence.to_tell(at(6_000)).crashes.is_empty());
    }

    crash_that_was_told_late_hides_no_other_one(evidence) {
        evidence.record_crash(at(9_000), report(1, &[BAD]));
        let late = CrashReport { age: Duration::from_secs(8), ..report(2, &[BAD]) };
        evidence.record_told_crash(at(9_000), late);
        assert_eq!(evidence.to_tell(at(9_100)).crashes.len(), 2);
        // What others told is told on for a shorter time.
        let told = evidence.to_tell(at(11_000)).crashes;
        assert_eq!(told.iter().map(|c| c.ended).collect::<Vec<_>>(), [CrashId(1)]);
    }

    request_without_shared_parts_is_no_evidence(evidence) {
        assert!(!evidence.record_crash(at(0), report(1, &[])));
        assert_eq!(evidence.verdict(at(0), &[]), None);
    }

    made_up_parts_grow_neither_memory_nor_messages(evidence) {
        for number in 0..5_000 {
            let parts: Vec<u64> = (0..100).map(|n| number * 100 + n).collect();
            evidence.record_crash(at(number), report(number, &parts));
            sound(&mut evidence, number, &[number]);
        }
        let told = evidence.to_tell(at(5_000));
        assert!(told.crashes.len() <= 8);
        assert!(told.crashes.iter().all(|c| c.parts.len() <= MAX_SHARED_PARTS));
        assert!(told.sound.len() <= 8);
        assert!(told.refused.len() <= 16);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order in which several processes hear of crashes, they refuse the part that was under all of them.
    #[test]
    fn order_of_reports_does_not_matter(mut order in Just((0..6_u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut evidence = CrashEvidence::default();
        for ended in order.drain(..) {
            let other = 0xc0 + ended;
            evidence.record_crash(at(0), report(ended, &[other, BAD]));
        }
        prop_assert_eq!(refused(&mut evidence, 0), vec![BAD]);
    }
}
