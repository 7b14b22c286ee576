//! Hedged attempts: when another one starts, when one is abandoned, and how many there are.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{AttemptId, HedgeStep, HedgedCall, MAX_HEDGED_ATTEMPTS, Time};
use std::time::Duration;

const PROGRESS_TIMEOUT: Duration = Duration::from_millis(450);
const MAX_DELAY: Duration = Duration::from_millis(700);
const FIRST_TIME: Duration = Duration::from_secs(10);

cases! {
    first_attempt_starts_at_once => assert!(matches!(hedged_call().next(at(0)), HedgeStep::Start(_)));
    silence_starts_another_attempt => starts_another();
    progress_starts_no_other_attempt => no_other_with_progress();
    full_set_abandons_its_oldest => abandons_oldest();
    single_attempt_fails => gives_up();
    failed_attempt_leaves_the_others => leaves_others();
    progress_shortens_the_delay_again => shortens_delay();
    minute_of_silence_takes_bounded_attempts => bounded();
    answer_without_end_is_abandoned_after_a_minute => abandons_endless();
    answer_without_end_is_abandoned_after_the_first_time => abandons_early();
    attempts_after_one_without_end_last_longer => lasts_longer();
    single_answer_without_end_fails => gives_up_on_endless();
    returned_peer_is_called_within_the_longest_delay => called_soon();
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn hedged_call() -> HedgedCall {
    HedgedCall::new(PROGRESS_TIMEOUT, MAX_DELAY)
}

fn start(call: &mut HedgedCall, now: Time) -> AttemptId {
    match call.next(now) {
        HedgeStep::Start(id) => id,
        other => panic!("{other:?}"),
    }
}

fn starts_another() {
    let mut call = hedged_call();
    let first = start(&mut call, at(0));
    assert_eq!(call.next(at(449)), HedgeStep::Wait(at(450)));
    let second = start(&mut call, at(450));
    assert_ne!(first, second);
    // The first attempt still runs, so its failure alone doesn't end the call.
    assert!(!call.record_failure(first));
}

fn no_other_with_progress() {
    let mut call = hedged_call();
    let first = start(&mut call, at(0));
    for tenth in 1..100 {
        let now = at(tenth * 400);
        call.record_progress(now, first);
        assert_eq!(call.next(now), HedgeStep::Wait(now + PROGRESS_TIMEOUT));
    }
    assert_eq!(call.started(), 1);
}

fn abandons_oldest() {
    let mut call = hedged_call();
    let first = start(&mut call, at(0));
    start(&mut call, at(1_000));
    start(&mut call, at(2_000));
    assert_eq!(call.next(at(3_000)), HedgeStep::Abandon(first));
    start(&mut call, at(3_000));
}

fn gives_up() {
    let mut call = HedgedCall::single(PROGRESS_TIMEOUT);
    let only = start(&mut call, at(0));
    call.record_progress(at(400), only);
    assert_eq!(call.next(at(449)), HedgeStep::Wait(at(850)));
    assert_eq!(call.next(at(850)), HedgeStep::GiveUp);
}

/// Lets an attempt make progress until it is abandoned; returns when that is.
fn abandoned_at(call: &mut HedgedCall, id: AttemptId) -> Time {
    let mut now = at(0);
    loop {
        match call.next(now) {
            HedgeStep::Wait(until) => now = until.min(now + PROGRESS_TIMEOUT / 2),
            HedgeStep::Abandon(abandoned) => {
                assert_eq!(abandoned, id);
                return now;
            }
            other => panic!("{other:?}"),
        }
        assert!(now < at(120_000), "it goes on without end");
        call.record_progress(now, id);
    }
}

fn abandons_endless() {
    let mut call = hedged_call();
    let endless = start(&mut call, at(0));
    let now = abandoned_at(&mut call, endless);
    assert_eq!(now, at(60_000));
    assert_ne!(start(&mut call, now), endless);
}

fn abandons_early() {
    let mut call = hedged_call().with_first_time(FIRST_TIME);
    let endless = start(&mut call, at(0));
    let now = abandoned_at(&mut call, endless);
    assert_eq!(now, at(0) + FIRST_TIME);
    assert_ne!(start(&mut call, now), endless);
}

/// A long answer that a slow link carries comes to its end.
fn lasts_longer() {
    let mut call = hedged_call().with_first_time(FIRST_TIME);
    let mut times = Vec::new();
    let mut now = at(0);
    for _ in 0..5 {
        let (since, id) = (now, start(&mut call, now));
        while call.next(now) != HedgeStep::Abandon(id) {
            now = now + PROGRESS_TIMEOUT / 9;
            call.record_progress(now, id);
        }
        times.push(now.since(since).as_secs());
    }
    assert_eq!(times, [10, 20, 40, 60, 60]);
}

fn gives_up_on_endless() {
    let mut call = HedgedCall::single(PROGRESS_TIMEOUT);
    let endless = start(&mut call, at(0));
    let now = abandoned_at(&mut call, endless);
    assert_eq!(call.next(now), HedgeStep::GiveUp);
}

fn leaves_others() {
    let mut call = hedged_call();
    let first = start(&mut call, at(0));
    let second = start(&mut call, at(450));
    assert!(!call.record_failure(second));
    assert!(call.record_failure(first));
}

fn shortens_delay() {
    let mut call = hedged_call();
    start(&mut call, at(0));
    let second = start(&mut call, at(450));
    assert_eq!(call.next(at(451)), HedgeStep::Wait(at(450 + 675)));
    call.record_progress(at(500), second);
    assert_eq!(call.next(at(501)), HedgeStep::Wait(at(950)));
}

/// Simulates a call without any response until `end`; returns the start times of its attempts.
fn attempts_in_silence(end: u64) -> Vec<Time> {
    let mut call = hedged_call();
    let (mut now, mut started_at) = (at(0), Vec::new());
    let mut running = 0;
    while now < at(end) {
        match call.next(now) {
            HedgeStep::Start(_) => {
                started_at.push(now);
                running += 1;
            }
            HedgeStep::Abandon(_) => running -= 1,
            HedgeStep::Wait(until) => now = until,
            HedgeStep::GiveUp => panic!("gave up"),
        }
        assert!(running <= MAX_HEDGED_ATTEMPTS);
    }
    started_at
}

fn bounded() {
    let attempts = attempts_in_silence(60_000).len();
    assert!(
        (80..=90).contains(&attempts),
        "{attempts} attempts in a minute"
    );
}

/// However long the peer was silent, an attempt starts within the longest delay after its return.
fn called_soon() {
    let started_at = attempts_in_silence(30_000);
    let delays = started_at.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(delays.max().unwrap() <= MAX_DELAY);
}
