//! When an entry reads and writes the refused suspects in the store.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::KeeperStep::{Read, Write};
use fireflycroft::{
    ContentId, CrashEvidence, KeeperContact, KeeperStep, KeeperView, KeptRefusal,
    MAX_KEPT_REFUSALS, RefusalKeeper, RefusedSuspect, Suspect, Time,
};
use std::time::Duration;

/// Time of the calendar at the start of the process, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

const RELIED_ON: KeeperView = KeeperView {
    contact: KeeperContact::Answers,
    era: 0,
    is_relied_on: true,
};

const ORDINARY: KeeperView = KeeperView {
    contact: KeeperContact::Unknown,
    is_relied_on: false,
    ..RELIED_ON
};

const SILENT: KeeperView = KeeperView {
    contact: KeeperContact::Silent,
    is_relied_on: false,
    ..RELIED_ON
};

cases! {
    entry_that_starts_reads_once => assert_eq!(steps(&mut RefusalKeeper::default(), ORDINARY, &[], 60), [Read]);
    entry_that_another_informs_makes_no_call => assert_eq!(steps(&mut informed(), RELIED_ON, &[], 60), []);
    entry_on_which_none_relies_writes_nothing => assert_eq!(steps(&mut informed(), ORDINARY, &[refused(1)], 60), []);
    refusal_is_read_then_written_once => written_once();
    refusal_is_written_only_after_a_pause => written_late();
    released_suspect_is_written => released_is_written();
    further_crash_is_written => further_crash();
    silent_store_gets_no_call => assert_eq!(steps(&mut RefusalKeeper::default(), SILENT, &[refused(1)], 60), []);
    store_that_answers_again_is_called_at_once => called_at_once();
    failed_calls_become_rarer => assert!(failed_calls() <= 12, "{} calls", failed_calls());
    object_that_changed_is_read_before_the_next_write => conflict();
    conflicts_without_end_become_rarer => assert!(conflicts() <= 26, "{} calls", conflicts());
    write_without_a_revision_is_read_back => unconfirmed();
    store_that_keeps_no_write_is_called_ever_more_rarely => assert!(lost_writes() <= 26, "{} calls", lost_writes());
    object_is_read_again_after_a_restore => restored_store();
    only_the_latest_suspects_are_kept => latest_kept();
    suspect_without_a_new_crash_keeps_its_time => keeps_its_time();
    old_suspect_is_not_adopted => assert_eq!(kept(1, 3_600_000).to_adopt(EPOCH), None);
    suspect_of_a_clock_ahead_is_adopted => ahead();
    trial_comes_no_sooner_after_a_restore => no_sooner();
    failed_trial_is_not_repeated_after_a_restore => not_repeated();
}

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

fn suspect(number: u64) -> Suspect {
    Suspect::Content(ContentId(number))
}

fn refused(number: u64) -> RefusedSuspect {
    RefusedSuspect {
        suspect: suspect(number),
        crashes: 3,
        age: Duration::from_millis(number),
    }
}

/// Returns a suspect whose last crash was so long before the start.
fn kept(number: u64, age_ms: u64) -> KeptRefusal {
    KeptRefusal {
        suspect: suspect(number),
        crashes: 3,
        last_crash: EPOCH - age_ms,
    }
}

fn informed() -> RefusalKeeper {
    let mut keeper = RefusalKeeper::default();
    keeper.record_informed();
    keeper
}

/// Returns a keeper of an entry that has read an object with this content.
fn keeper_of(kept: Vec<KeptRefusal>) -> RefusalKeeper {
    let mut keeper = RefusalKeeper::default();
    keeper.record_read(at(200), Some(7), kept);
    keeper
}

/// Returns the step at a time, when refusals have the ages that they had at the start.
fn step(
    keeper: &mut RefusalKeeper,
    ms: u64,
    view: KeeperView,
    refused: &[RefusedSuspect],
) -> Option<KeeperStep> {
    let aged = refused.iter().map(|r| RefusedSuspect {
        age: r.age + Duration::from_millis(ms),
        ..*r
    });
    let aged: Vec<_> = aged.collect();
    keeper.next_step(at(ms), EPOCH + ms, view, &aged)
}

/// Returns the steps of so many seconds, all of which succeed; the object is absent at first.
fn steps(
    keeper: &mut RefusalKeeper,
    view: KeeperView,
    refused: &[RefusedSuspect],
    seconds: u64,
) -> Vec<KeeperStep> {
    let mut taken = Vec::new();
    for ms in (0..seconds * 1_000).step_by(50) {
        let Some(step) = step(keeper, ms, view, refused) else {
            continue;
        };
        match &step {
            Read => keeper.record_read(at(ms), None, Vec::new()),
            Write { kept, .. } => keeper.record_written(at(ms), Some(8), kept.clone()),
        }
        taken.push(step);
    }
    taken
}

fn written_once() {
    let write = Write {
        revision: None,
        kept: vec![kept(1, 1)],
    };
    let taken = steps(&mut informed(), RELIED_ON, &[refused(1)], 60);
    assert_eq!(taken, [Read, write]);
}

fn written_late() {
    let mut keeper = keeper_of(Vec::new());
    assert_eq!(step(&mut keeper, 1_000, RELIED_ON, &[refused(1)]), None);
    assert_eq!(step(&mut keeper, 1_900, RELIED_ON, &[refused(1)]), None);
    assert!(step(&mut keeper, 2_000, RELIED_ON, &[refused(1)]).is_some());
}

fn released_is_written() {
    let mut keeper = keeper_of(vec![kept(1, 1), kept(2, 2)]);
    let write = Write {
        revision: Some(7),
        kept: vec![kept(2, 2)],
    };
    let taken = steps(&mut keeper, RELIED_ON, &[refused(2)], 60);
    assert_eq!(taken, [write]);
}

fn further_crash() {
    let mut keeper = keeper_of(vec![kept(1, 1)]);
    let further = RefusedSuspect {
        crashes: 4,
        ..refused(1)
    };
    let taken = steps(&mut keeper, RELIED_ON, &[further], 60);
    assert!(matches!(&taken[..], [Write { kept, .. }] if kept[0].crashes == 4));
}

fn called_at_once() {
    let mut keeper = RefusalKeeper::default();
    for ms in [200, 1_000, 3_000, 9_000] {
        keeper.record_failure(at(ms));
    }
    assert_eq!(step(&mut keeper, 9_100, SILENT, &[]), None);
    assert_eq!(step(&mut keeper, 9_200, RELIED_ON, &[]), Some(Read));
}

/// Returns how many calls are made in five minutes if all fail.
fn failed_calls() -> usize {
    let mut keeper = RefusalKeeper::default();
    let mut calls = 0;
    for ms in (0..300_000).step_by(50) {
        if step(&mut keeper, ms, ORDINARY, &[]).is_some() {
            keeper.record_failure(at(ms));
            calls += 1;
        }
    }
    calls
}

fn conflict() {
    let mut keeper = keeper_of(Vec::new());
    assert_eq!(step(&mut keeper, 1_000, RELIED_ON, &[refused(1)]), None);
    assert!(step(&mut keeper, 2_000, RELIED_ON, &[refused(1)]).is_some());
    keeper.record_conflict(at(2_000));
    assert_eq!(step(&mut keeper, 2_100, RELIED_ON, &[refused(1)]), None);
    assert_eq!(
        step(&mut keeper, 3_000, RELIED_ON, &[refused(1)]),
        Some(Read)
    );
    keeper.record_read(at(3_000), Some(9), vec![kept(2, 2)]);
    let write = Write {
        revision: Some(9),
        kept: vec![kept(1, 1), kept(2, 2)],
    };
    let both = [refused(1), refused(2)];
    assert_eq!(step(&mut keeper, 3_100, RELIED_ON, &both), Some(write));
}

/// Returns how many calls are made in five minutes if the object changes before each write.
fn conflicts() -> usize {
    let mut keeper = keeper_of(Vec::new());
    let mut calls = 0;
    for ms in (1_000..300_000).step_by(50) {
        match step(&mut keeper, ms, RELIED_ON, &[refused(1)]) {
            Some(Read) => keeper.record_read(at(ms), Some(ms), Vec::new()),
            Some(Write { .. }) => keeper.record_conflict(at(ms)),
            None => continue,
        }
        calls += 1;
    }
    calls
}

fn unconfirmed() {
    let mut keeper = keeper_of(Vec::new());
    assert_eq!(step(&mut keeper, 1_000, RELIED_ON, &[refused(1)]), None);
    assert!(step(&mut keeper, 2_000, RELIED_ON, &[refused(1)]).is_some());
    keeper.record_written(at(2_000), None, vec![kept(1, 1)]);
    assert_eq!(
        step(&mut keeper, 3_000, RELIED_ON, &[refused(1)]),
        Some(Read)
    );
    keeper.record_read(at(3_000), Some(8), vec![kept(1, 1)]);
    assert_eq!(step(&mut keeper, 60_000, RELIED_ON, &[refused(1)]), None);
}

/// Returns how many calls are made in five minutes if the store takes all writes and keeps none.
fn lost_writes() -> usize {
    let mut keeper = keeper_of(Vec::new());
    let mut calls = 0;
    for ms in (1_000..300_000).step_by(50) {
        match step(&mut keeper, ms, RELIED_ON, &[refused(1)]) {
            Some(Read) => keeper.record_read(at(ms), None, Vec::new()),
            Some(Write { kept, .. }) => keeper.record_written(at(ms), None, kept),
            None => continue,
        }
        calls += 1;
    }
    calls
}

fn restored_store() {
    let mut keeper = keeper_of(vec![kept(1, 1)]);
    let restored = KeeperView {
        era: 1,
        ..RELIED_ON
    };
    assert_eq!(steps(&mut keeper, RELIED_ON, &[refused(1)], 5), []);
    let taken = steps(&mut keeper, restored, &[refused(1)], 60);
    assert!(
        matches!(&taken[..], [Read, Write { revision: None, .. }]),
        "{taken:?}"
    );
}

fn latest_kept() {
    let refused: Vec<_> = (1..=200).map(refused).collect();
    let taken = steps(&mut keeper_of(Vec::new()), RELIED_ON, &refused, 60);
    let latest: Vec<_> = (1..=MAX_KEPT_REFUSALS as u64).map(|n| kept(n, n)).collect();
    assert!(matches!(&taken[..], [Write { kept, .. }] if *kept == latest));
}

fn keeps_its_time() {
    let mut keeper = keeper_of(vec![kept(1, 900_000)]);
    let taken = steps(&mut keeper, RELIED_ON, &[refused(1), refused(2)], 60);
    let expected = [kept(1, 900_000), kept(2, 2)];
    assert!(matches!(&taken[..], [Write { kept, .. }] if kept[..] == expected));
}

fn ahead() {
    let adopted = kept(1, 0).to_adopt(EPOCH - 5_000).unwrap();
    assert_eq!(adopted.age, Duration::ZERO);
}

/// Returns evidence that adopted a suspect from the store at its start.
fn restored(crashes: u32) -> CrashEvidence {
    let kept = KeptRefusal {
        crashes,
        ..kept(1, 29_000)
    };
    let mut evidence = CrashEvidence::default();
    assert!(evidence.adopt(at(0), kept.to_adopt(EPOCH).unwrap()));
    evidence
}

fn no_sooner() {
    let mut evidence = restored(3);
    assert!(!evidence.take_probe(at(29_000), &[suspect(1)]));
    assert!(evidence.take_probe(at(30_000), &[suspect(1)]));
    assert!(!evidence.take_probe(at(31_000), &[suspect(1)]));
}

fn not_repeated() {
    let mut evidence = restored(4);
    assert!(!evidence.take_probe(at(3_500_000), &[suspect(1)]));
}
