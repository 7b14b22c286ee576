//! Tries that overlap: when another begins, when one is dropped, and how many there are.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{MOST_TRIES, Overlap, OverlapStep, Time, TryId};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(450);
const LONGEST_GAP: Duration = Duration::from_millis(700);

cases! {
    first_try_begins_at_once => assert!(matches!(calls().next(at(0)), OverlapStep::Start(_)));
    silence_begins_another_beside_it => begins_another();
    bytes_that_come_begin_no_other => nothing_beside_progress();
    full_set_drops_its_oldest => drops_oldest();
    single_try_is_given_up => gives_up();
    failed_try_leaves_the_others => leaves_others();
    progress_shortens_the_gap_again => shortens_gap();
    minute_of_silence_takes_bounded_tries => bounded();
    back_store_is_asked_within_the_longest_gap => asked_soon();
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn calls() -> Overlap {
    Overlap::new(PATIENCE, LONGEST_GAP)
}

fn begin(overlap: &mut Overlap, now: Time) -> TryId {
    match overlap.next(now) {
        OverlapStep::Start(id) => id,
        other => panic!("{other:?}"),
    }
}

fn begins_another() {
    let mut overlap = calls();
    let first = begin(&mut overlap, at(0));
    assert_eq!(overlap.next(at(449)), OverlapStep::Wait(at(450)));
    let second = begin(&mut overlap, at(450));
    assert_ne!(first, second);
    // The first still runs: its failure alone ends nothing.
    assert!(!overlap.note_failed(first));
}

fn nothing_beside_progress() {
    let mut overlap = calls();
    let first = begin(&mut overlap, at(0));
    for tenth in 1..100 {
        let now = at(tenth * 400);
        overlap.note_progress(now, first);
        assert_eq!(overlap.next(now), OverlapStep::Wait(now + PATIENCE));
    }
    assert_eq!(overlap.started(), 1);
}

fn drops_oldest() {
    let mut overlap = calls();
    let first = begin(&mut overlap, at(0));
    begin(&mut overlap, at(1_000));
    begin(&mut overlap, at(2_000));
    assert_eq!(overlap.next(at(3_000)), OverlapStep::Abandon(first));
    begin(&mut overlap, at(3_000));
}

fn gives_up() {
    let mut overlap = Overlap::single(PATIENCE);
    let only = begin(&mut overlap, at(0));
    overlap.note_progress(at(400), only);
    assert_eq!(overlap.next(at(449)), OverlapStep::Wait(at(850)));
    assert_eq!(overlap.next(at(850)), OverlapStep::GiveUp);
}

fn leaves_others() {
    let mut overlap = calls();
    let first = begin(&mut overlap, at(0));
    let second = begin(&mut overlap, at(450));
    assert!(!overlap.note_failed(second));
    assert!(overlap.note_failed(first));
}

fn shortens_gap() {
    let mut overlap = calls();
    begin(&mut overlap, at(0));
    let second = begin(&mut overlap, at(450));
    assert_eq!(overlap.next(at(451)), OverlapStep::Wait(at(450 + 675)));
    overlap.note_progress(at(500), second);
    assert_eq!(overlap.next(at(501)), OverlapStep::Wait(at(950)));
}

/// Plays silence until `end`; gives the moments at which tries began.
fn silence(end: u64) -> Vec<Time> {
    let mut overlap = calls();
    let (mut now, mut begun) = (at(0), Vec::new());
    let mut running = 0;
    while now < at(end) {
        match overlap.next(now) {
            OverlapStep::Start(_) => {
                begun.push(now);
                running += 1;
            }
            OverlapStep::Abandon(_) => running -= 1,
            OverlapStep::Wait(until) => now = until,
            OverlapStep::GiveUp => panic!("gave up"),
        }
        assert!(running <= MOST_TRIES);
    }
    begun
}

fn bounded() {
    let tries = silence(60_000).len();
    assert!((80..=90).contains(&tries), "{tries} tries in a minute");
}

/// However long the silence lasts, a try begins within the longest gap after its end.
fn asked_soon() {
    let begun = silence(30_000);
    let gaps = begun.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.max().unwrap() <= LONGEST_GAP);
}
