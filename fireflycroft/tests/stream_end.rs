//! Meaning of the end of a body, by its framing and the orders to stop its run.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::BodyEnd::{self, BrokenOff, Undecided, Whole};
use fireflycroft::BodyFraming::{Chunks, Length, UntilClose};
use fireflycroft::StopOrder::{
    self, Busy, Lost, NoSuchRun, NotSent, Out, Refused, Stopped, StoppedByRepeat,
};
use fireflycroft::{StopOrderLog, body_end};

const ALL: [StopOrder; 8] = [
    NotSent,
    Refused,
    NoSuchRun,
    Busy,
    Out,
    Stopped,
    Lost,
    StoppedByRepeat,
];

cases! {
    length_decides_beside_any_order => assert!(ALL.iter().all(|o| body_end(Length, *o) == Whole));
    last_chunk_means_what_a_close_does => assert!(ALL.iter().all(|o| body_end(Chunks, *o) == body_end(UntilClose, *o)));
    last_chunk_is_the_end_without_an_order => assert_eq!(body_end(Chunks, NotSent), Whole);
    last_chunk_beside_an_order_that_is_out_waits => assert_eq!(body_end(Chunks, Out), Undecided);
    last_chunk_after_a_stop_is_a_break => assert_eq!(body_end(Chunks, Stopped), BrokenOff);
    last_chunk_after_a_lost_order_is_a_break => assert_eq!(body_end(Chunks, Lost), BrokenOff);
    last_chunk_after_orders_that_stopped_nothing_is_the_end => assert!([Refused, NoSuchRun, Busy].iter().all(|o| body_end(Chunks, *o) == Whole));
    close_is_the_end_without_an_order => assert_eq!(end_after(&[]), Whole);
    close_beside_an_order_that_is_out_waits => assert_eq!(body_end(UntilClose, Out), Undecided);
    close_after_no_such_run_is_the_end => assert_eq!(end_after(&[NoSuchRun]), Whole);
    close_after_an_order_that_was_not_carried_out_is_the_end => assert_eq!(end_after(&[Refused]), Whole);
    refusal_after_a_stop_is_a_break => assert_eq!(end_after(&[Stopped, Refused]), BrokenOff);
    close_after_a_refusal_is_the_end => assert_eq!(end_after(&[Busy]), Whole);
    close_after_an_order_that_never_left_is_the_end => assert_eq!(end_after(&[NotSent]), Whole);
    close_after_a_stop_is_a_break => assert_eq!(end_after(&[Stopped]), BrokenOff);
    close_after_a_lost_order_is_a_break => assert_eq!(end_after(&[Lost]), BrokenOff);
    no_such_run_after_a_stop_is_a_break => assert_eq!(end_after(&[Stopped, NoSuchRun]), BrokenOff);
    no_such_run_after_a_lost_order_is_a_break => assert_eq!(end_after(&[Lost, NoSuchRun]), BrokenOff);
    refusal_after_a_lost_order_is_a_break => assert_eq!(end_after(&[Busy, Lost, Busy, NotSent]), BrokenOff);
    stop_after_refusals_is_a_break => assert_eq!(end_after(&[Busy, NoSuchRun, Stopped]), BrokenOff);
    order_that_is_out_after_a_stop_is_not_waited_for => assert_eq!(with_another_out(Stopped), BrokenOff);
    order_that_is_out_after_a_refusal_is_waited_for => assert_eq!(with_another_out(Busy), Undecided);
    new_run_forgets_a_stop => assert_eq!(end_of_next_run(Stopped), Whole);
    new_run_may_be_stopped_by_a_lost_order => assert_eq!(end_of_next_run(Lost), BrokenOff);
    close_after_a_stop_by_a_repeat_is_a_break => assert_eq!(end_after(&[StoppedByRepeat]), BrokenOff);
    new_run_may_be_stopped_by_the_first_of_two_calls => assert_eq!(end_of_next_run(StoppedByRepeat), BrokenOff);
    run_that_the_first_of_two_calls_may_stop_stays_so => assert_eq!(end_after(&[StoppedByRepeat, Stopped]), BrokenOff);
    order_that_is_out_as_the_next_run_begins_is_waited_for => assert_eq!(end_beside_the_next_run(None), Undecided);
    order_that_is_out_as_the_next_run_begins_may_stop_it => assert_eq!(end_beside_the_next_run(Some(Stopped)), BrokenOff);
    order_that_finds_no_run_as_the_next_one_begins_is_none => assert_eq!(end_beside_the_next_run(Some(NoSuchRun)), Whole);
    outcome_of_one_order_leaves_another_out => assert_eq!(end_after_one_of_two(NoSuchRun), Undecided);
    stop_by_one_order_is_a_break_beside_another => assert_eq!(end_after_one_of_two(Stopped), BrokenOff);
    outcomes_never_unsay_a_stop => never_unsaid();
}

fn after(outcomes: &[StopOrder]) -> StopOrderLog {
    let mut orders = StopOrderLog::default();
    for outcome in outcomes {
        orders.send();
        orders.settle(*outcome);
    }
    orders
}

fn end_after(outcomes: &[StopOrder]) -> BodyEnd {
    body_end(UntilClose, after(outcomes).known())
}

fn with_another_out(first: StopOrder) -> BodyEnd {
    let mut orders = after(&[first]);
    orders.send();
    body_end(UntilClose, orders.known())
}

fn end_of_next_run(outcome: StopOrder) -> BodyEnd {
    let mut orders = after(&[outcome]);
    orders.begin_run();
    body_end(UntilClose, orders.known())
}

/// Returns what an end means after a run was stopped, and the next one began beside an order that is out, or settled so.
fn end_beside_the_next_run(settled: Option<StopOrder>) -> BodyEnd {
    let mut orders = after(&[Stopped]);
    orders.send();
    orders.begin_run();
    if let Some(outcome) = settled {
        orders.settle(outcome);
    }
    body_end(UntilClose, orders.known())
}

fn end_after_one_of_two(outcome: StopOrder) -> BodyEnd {
    let mut orders = StopOrderLog::default();
    orders.send();
    orders.send();
    orders.settle(outcome);
    body_end(UntilClose, orders.known())
}

fn never_unsaid() {
    let settled = [
        NotSent,
        Refused,
        NoSuchRun,
        Busy,
        Stopped,
        Lost,
        StoppedByRepeat,
    ];
    for a in settled {
        for b in settled {
            for c in settled {
                let outcomes = [a, b, c];
                let has_stopped = outcomes.iter().any(|o| o.may_have_stopped());
                let expected = if has_stopped { BrokenOff } else { Whole };
                assert_eq!(end_after(&outcomes), expected, "{outcomes:?}");
            }
        }
    }
}
