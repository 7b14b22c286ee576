//! Sound answers that another process told, in messages that were on their way for an unknown time.

use fireflycroft::{
    CrashEvidence, CrashId, CrashReport, PartId, Reach, SoundSuspect, Suspect, Time,
    UNKNOWN_PART_CRASHES,
};
use std::time::Duration;

/// A part of prompts.
const PART: Suspect = Suspect::Part(PartId(7));

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

/// Returns the time `ms` after the start.
fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

/// Records as many crashes as refuse the part, the last one at 2 s.
fn refuse(evidence: &mut CrashEvidence) {
    for number in 0..UNKNOWN_PART_CRASHES as u64 {
        let now = at(2_000 - number);
        let report = CrashReport {
            ended: CrashId(number),
            suspects: vec![PART],
            begun: true,
            reach: Reach::default(),
            age: Duration::ZERO,
        };
        evidence.record_crash(now, report);
    }
    evidence.judge(at(2_500));
}

/// Tells that the part was sound `age` ms ago, in a message on its way for `on_way` ms at most; returns whether that
/// clears it.
fn tell(evidence: &mut CrashEvidence, now: u64, age: u64, on_way: u64) -> bool {
    let told = SoundSuspect {
        suspect: PART,
        age: Duration::from_millis(age),
    };
    let on_way = Duration::from_millis(on_way);
    evidence.record_told_sound(at(now), told, on_way).is_some()
}

cases! {
    answer_that_may_be_older_clears_no_crash(evidence) {
        let report = CrashReport { ended: CrashId(1), suspects: vec![PART], begun: true, reach: Reach::default(), age: Duration::ZERO };
        evidence.record_crash(at(1_000), report);
        assert!(!tell(&mut evidence, 1_500, 50, 500));
        assert!(tell(&mut evidence, 1_500, 50, 400));
    }

    answer_that_may_be_older_releases_nothing_until_it_is_told_again(evidence) {
        refuse(&mut evidence);
        assert_eq!(evidence.refused(at(2_600)).len(), 1);
        assert!(!tell(&mut evidence, 2_600, 500, 150));
        assert_eq!(evidence.refused(at(2_600)).len(), 1);
        assert!(tell(&mut evidence, 2_640, 540, 20));
        assert!(evidence.refused(at(2_640)).is_empty());
    }
}
