//! Evidence about parts of prompts that crash upstreams: what is refused, cleared, tried again and told.

use fireflycroft::{
    ContentId, CrashEvidence, CrashId, CrashReport, CrashVerdict, MAX_SHARED_PARTS, PART_CRASHES,
    PartId, Reach, RefusedSuspect, Suspect, Time, UNKNOWN_PART_CRASHES,
};
use proptest::prelude::*;
use std::collections::HashSet;
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

fn part(id: u64) -> Suspect {
    Suspect::Part(PartId(id))
}

fn report(ended: u64, parts: &[u64]) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        suspects: parts.iter().copied().map(part).collect(),
        begun: true,
        reach: Reach::default(),
        age: Duration::ZERO,
    }
}

/// A request that comes again.
const CONTENT: Suspect = Suspect::Content(ContentId(0xc0));

/// Returns a crash under these suspects.
fn report_of(ended: u64, suspects: &[Suspect]) -> CrashReport {
    CrashReport {
        suspects: suspects.to_vec(),
        ..report(ended, &[])
    }
}

/// Returns whether a suspect is refused once all suspensions are over.
fn is_refused(evidence: &mut CrashEvidence, now: u64, suspect: Suspect) -> bool {
    refused(evidence, now);
    let all = evidence.refused(at(now + 1_000));
    all.iter().any(|r| r.suspect == suspect)
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
    let parts: Vec<Suspect> = parts.iter().copied().map(part).collect();
    evidence.record_sound(at(now), &parts, Duration::ZERO);
}

/// Returns the parts that are refused once all suspensions are over.
fn refused(evidence: &mut CrashEvidence, now: u64) -> Vec<u64> {
    let now = at(now + 1_000);
    evidence.judge(now);
    let mut parts: Vec<u64> = evidence
        .refused(now)
        .iter()
        .map(|r| r.suspect.id())
        .collect();
    parts.sort_unstable();
    parts
}

/// Returns whether a request with these parts is sent.
fn may_begin(evidence: &mut CrashEvidence, now: u64, parts: &[u64]) -> bool {
    let parts: Vec<Suspect> = parts.iter().copied().map(part).collect();
    evidence.judge(at(now));
    match evidence.verdict(at(now), &parts) {
        None => true,
        Some(CrashVerdict::Suspended { .. }) => false,
        Some(_) => evidence.take_probe(at(now), &parts),
    }
}

fn is_suspended(evidence: &CrashEvidence, now: u64, part: u64) -> bool {
    let verdict = evidence.verdict(at(now), &[self::part(part)]);
    matches!(verdict, Some(CrashVerdict::Suspended { .. }))
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
        assert_eq!(evidence.verdict(at(300), &[part(FIRST)]), None);
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
        assert!(!evidence.take_probe(at(now + 5_000), &[part(FIRST), part(BAD)]));
        let mut probes = 0;
        for second in 0..200 {
            let now = now + 1_000 + second * 1_000;
            if evidence.take_probe(at(now), &[part(FIRST), part(BAD)]) {
                probes += 1;
                evidence.record_crash(at(now + 100), report(now, &[BAD]));
                evidence.judge(at(now + 100));
            }
        }
        assert_eq!(probes, 2);
    }

    entry_that_adopts_a_refusal_tries_the_part_no_sooner_than_others(evidence) {
        let told = RefusedSuspect { suspect: part(BAD), crashes: 4, age: Duration::ZERO };
        evidence.adopt(at(0), told);
        assert!(!evidence.take_probe(at(40_000), &[part(FIRST), part(BAD)]));
        assert!(evidence.take_probe(at(130_000), &[part(FIRST), part(BAD)]));
    }

    request_with_two_refused_parts_tries_them_when_both_are_due(evidence) {
        crash(&mut evidence, 0, 3, &[BAD]);
        let now = crash(&mut evidence, 20_000, 3, &[0xbad2]);
        assert_eq!(refused(&mut evidence, now), [BAD, 0xbad2]);
        let both = [part(BAD), part(0xbad2)];
        assert!(!evidence.take_probe(at(40_000), &both));
        assert!(evidence.take_probe(at(60_000), &both));
        assert!(!evidence.take_probe(at(60_000), &both[..1]));
    }

    refusal_is_adopted_and_told_on(evidence) {
        let told = RefusedSuspect { suspect: part(BAD), crashes: 4, age: Duration::from_secs(9) };
        assert!(evidence.adopt(at(0), told));
        assert!(!evidence.adopt(at(1), told));
        assert_eq!(refused(&mut evidence, 0), [BAD]);
        assert_eq!(evidence.news_to_tell(at(0)).refused, [told]);
    }

    refusal_older_than_a_sound_answer_is_contradicted(evidence) {
        sound(&mut evidence, 0, &[BAD]);
        let told = RefusedSuspect { suspect: part(BAD), crashes: 3, age: Duration::from_secs(9) };
        assert!(!evidence.adopt(at(10), told));
        assert!(evidence.take_news());
        assert_eq!(evidence.news_to_tell(at(10)).sound[0].suspect, part(BAD));
    }

    part_known_to_be_sound_is_told_when_a_crash_is(evidence) {
        sound(&mut evidence, 0, &[FIRST]);
        assert!(evidence.news_to_tell(at(0)).sound.is_empty());
        evidence.record_crash(at(2_000), report(1, &[FIRST, BAD]));
        let told = evidence.news_to_tell(at(2_000)).sound;
        assert_eq!((told[0].suspect, told[0].age), (part(FIRST), Duration::from_secs(2)));
        assert!(evidence.news_to_tell(at(9_000)).sound.is_empty());
    }

    crashes_are_told_for_some_seconds(evidence) {
        evidence.record_crash(at(0), report(1, &[BAD]));
        assert_eq!(evidence.news_to_tell(at(1_000)).crashes[0].age, Duration::from_secs(1));
        assert!(evidence.news_to_tell(at(6_000)).crashes.is_empty());
    }

    crash_that_was_told_late_hides_no_other_one(evidence) {
        evidence.record_crash(at(9_000), report(1, &[BAD]));
        let late = CrashReport { age: Duration::from_secs(8), ..report(2, &[BAD]) };
        evidence.record_told_crash(at(9_000), late);
        assert_eq!(evidence.news_to_tell(at(9_100)).crashes.len(), 2);
        // What others told is told on for a shorter time.
        let told = evidence.news_to_tell(at(11_000)).crashes;
        assert_eq!(told.iter().map(|c| c.ended).collect::<Vec<_>>(), [CrashId(1)]);
    }

    request_without_shared_parts_is_no_evidence(evidence) {
        assert!(!evidence.record_crash(at(0), report(1, &[])));
        assert_eq!(evidence.verdict(at(0), &[]), None);
    }

    content_is_refused_at_three_crashes_however_far_its_answers_got(evidence) {
        for ended in 0..3 {
            assert!(!is_refused(&mut evidence, 0, CONTENT));
            let report = CrashReport { begun: ended == 1, ..report_of(ended, &[CONTENT]) };
            evidence.record_told_crash(at(0), report);
        }
        assert!(is_refused(&mut evidence, 0, CONTENT));
        assert_eq!(evidence.verdict(at(2_000), &[part(FIRST)]), None);
    }

    crashes_that_several_processes_saw_at_one_moment_all_count(evidence) {
        evidence.record_crash(at(0), report_of(1, &[CONTENT]));
        for ended in [1, 2, 3, 1, 2] {
            evidence.record_told_crash(at(0), report_of(ended, &[CONTENT]));
        }
        assert_eq!(evidence.crashes_under(CONTENT), 3);
        assert!(is_refused(&mut evidence, 0, CONTENT));
    }

    content_is_blamed_before_the_parts_that_it_shares(evidence) {
        for ended in 0..3 {
            evidence.record_crash(at(ended), report_of(ended, &[part(FIRST), part(BAD), CONTENT]));
        }
        assert!(is_refused(&mut evidence, 3, CONTENT));
        assert_eq!(evidence.refused(at(1_003)).len(), 1);
    }

    content_seen_sound_is_refused_only_if_it_crashes_upstreams_for_long(evidence) {
        evidence.record_sound(at(0), &[CONTENT], Duration::ZERO);
        for ended in 0..20 {
            evidence.record_crash(at(100 + ended), report_of(ended, &[CONTENT]));
        }
        evidence.judge(at(200));
        assert_eq!(evidence.verdict(at(200), &[CONTENT]), None);
        assert!(!is_refused(&mut evidence, 500, CONTENT));
        evidence.record_crash(at(1_600), report_of(20, &[CONTENT]));
        assert!(is_refused(&mut evidence, 1_600, CONTENT));
    }

    answer_elsewhere_clears_a_content_that_is_put_off(evidence) {
        for ended in 0..5 {
            evidence.record_crash(at(ended), report_of(ended, &[CONTENT]));
        }
        evidence.judge(at(5));
        assert!(evidence.verdict(at(5), &[CONTENT]).is_some());
        evidence.record_sound(at(60), &[CONTENT], Duration::ZERO);
        evidence.judge(at(60));
        assert_eq!(evidence.verdict(at(60), &[CONTENT]), None);
        assert!(!is_refused(&mut evidence, 5_000, CONTENT));
    }

    refused_content_is_tried_again_once(evidence) {
        for ended in 0..3 {
            evidence.record_crash(at(0), report_of(ended, &[CONTENT]));
        }
        assert!(is_refused(&mut evidence, 0, CONTENT));
        let mut probes = 0;
        for second in 0..1_000 {
            let now = 1_000 + second * 1_000;
            if evidence.take_probe(at(now), &[part(FIRST), CONTENT]) {
                probes += 1;
                evidence.record_crash(at(now + 100), report_of(now, &[CONTENT]));
                evidence.judge(at(now + 100));
            }
        }
        assert_eq!(probes, 1);
    }

    first_crash_without_its_companion_settles_which_of_two_it_was(evidence) {
        // The later part is blamed while both are under every crash.
        let now = crash(&mut evidence, 0, 3, &[FIRST, BAD, 0xf4]);
        assert_eq!(refused(&mut evidence, now), [0xf4]);
        evidence.record_crash(at(now + 2_000), report(90, &[FIRST, BAD]));
        assert_eq!(refused(&mut evidence, now + 2_000), [BAD]);
        assert_eq!(evidence.verdict(at(now + 3_000), &[part(FIRST), part(0xf4)]), None);
        // Nor is it refused again because of others who haven't heard of it yet.
        let told = RefusedSuspect { suspect: part(0xf4), crashes: 3, age: Duration::from_secs(2) };
        assert!(!evidence.adopt(at(now + 3_000), told));
    }

    sound_parts_beside_two_bad_ones_are_served_soon(evidence) {
        let kinds: [&[u64]; 3] = [&[FIRST, BAD, 0xf4], &[FIRST, 0xf4, 0xbad2, 0xf5], &[FIRST, BAD, 0xbad2, 0xf5]];
        let (mut crashes, mut last) = ([0, 0], 0);
        sound(&mut evidence, 0, &[FIRST]);
        for number in 0..40 {
            let now = 100 + number * 250;
            let parts = kinds[usize::try_from(number).unwrap() % 3];
            if may_begin(&mut evidence, now, parts) {
                evidence.record_crash(at(now + 40), report(now, parts));
                crashes = [crashes[0] + usize::from(parts.contains(&BAD)), crashes[1] + usize::from(parts.contains(&0xbad2))];
                last = now + 40;
            }
            sound(&mut evidence, now + 60, &[FIRST]);
        }
        assert!(crashes.iter().all(|c| *c <= PART_CRASHES), "{crashes:?}");
        let mut served = Vec::new();
        for step in 0..8 {
            for part in [0xf4, 0xf5] {
                let now = last + step * 250;
                if may_begin(&mut evidence, now, &[FIRST, part]) {
                    sound(&mut evidence, now + 10, &[FIRST, part]);
                    served.push(part);
                }
            }
        }
        assert!(served.contains(&0xf4) && served.contains(&0xf5), "{served:x?}");
        assert!(!may_begin(&mut evidence, last + 2_500, &[FIRST, BAD]));
    }

    newcomer_that_is_told_all_refuses_what_the_teller_does(evidence) {
        for ended in 0..3 {
            evidence.record_crash(at(0), report_of(ended, &[CONTENT]));
        }
        assert!(is_refused(&mut evidence, 0, CONTENT));
        evidence.record_crash(at(3_000), report(9, &[BAD]));
        let mut newcomer = CrashEvidence::default();
        newcomer.apply(at(60_000), &evidence.all_to_tell(at(60_000)));
        assert!(is_refused(&mut newcomer, 60_000, CONTENT));
        // What isn't enough to refuse anything is passed on as well.
        assert_eq!(newcomer.crashes_under(part(BAD)), 1);
        assert!(!newcomer.take_probe(at(61_000), &[CONTENT]));
    }

    bystanders_don_t_drive_out_the_content_under_most_crashes(evidence) {
        for ended in 0..2 {
            evidence.record_crash(at(ended), report_of(ended, &[CONTENT]));
        }
        for other in 0..5_000 {
            let bystander = Suspect::Content(ContentId(1_000 + other));
            evidence.record_told_crash(at(other), report_of(1_000 + other / 32, &[bystander]));
        }
        assert_eq!(evidence.crashes_under(CONTENT), 2);
    }

    each_crash_of_a_storm_is_told_within_a_second(evidence) {
        for other in 0..64 {
            let bystander = Suspect::Content(ContentId(other));
            evidence.record_crash(at(0), report_of(other / 32, &[bystander]));
        }
        evidence.record_crash(at(0), report_of(7, &[CONTENT]));
        let told: usize = (0..9).map(|_| evidence.news_to_tell(at(10)).crashes.len()).sum();
        assert!(told >= 65);
        assert!(!evidence.has_untold(at(10)));
    }

    more_refusals_than_are_told_at_a_time_are_told_in_turn(evidence) {
        for id in 0..64 {
            let suspect = Suspect::Content(ContentId(id));
            evidence.adopt(at(0), RefusedSuspect { suspect, crashes: 3, age: Duration::ZERO });
        }
        let told = (0..20).flat_map(|_| evidence.news_to_tell(at(0)).refused);
        let told: HashSet<Suspect> = told.map(|r| r.suspect).collect();
        assert_eq!(told.len(), 64);
    }

    made_up_parts_grow_neither_memory_nor_messages(evidence) {
        for number in 0..5_000 {
            let parts: Vec<u64> = (0..100).map(|n| number * 100 + n).collect();
            evidence.record_crash(at(number), report(number, &parts));
            sound(&mut evidence, number, &[number]);
        }
        let told = evidence.news_to_tell(at(5_000));
        assert!(told.crashes.len() <= 8);
        assert!(told.crashes.iter().all(|c| c.suspects.len() <= MAX_SHARED_PARTS));
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
