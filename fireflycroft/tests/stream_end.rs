//! Meaning of the end of a body, by its framing and the orders to stop its run.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::BodyEnd::{self, BrokenOff, Undecided, Whole};
use fireflycroft::BodyFraming::{Chunks, Length, UntilClose};
use fireflycroft::StopOrder::{
    self, Busy, Lost, NoSuchRun, NotSent, Out, Refused, Stopped, StoppedByRepeat,
};
use fireflycroft::{RunNumber, StopOrderLog, Time, body_end};

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
    stop_of_a_run_is_known_once_the_next_began => assert_eq!(end_of_run_before(Stopped), BrokenOff);
    end_of_a_run_stays_whole_once_the_next_began => assert_eq!(end_of_run_before(NoSuchRun), Whole);
    stop_answered_during_the_next_run_may_be_of_the_run_before => assert_eq!(end_settled_during_the_next_run(Stopped), BrokenOff);
    refusal_during_the_next_run_leaves_the_run_before_whole => assert_eq!(end_settled_during_the_next_run(Busy), Whole);
    stop_of_one_run_by_the_order_to_another_is_no_proof => assert_eq!(known_of_own_order(NoSuchRun, Some(Stopped)), Lost);
    stop_by_its_own_order_beside_one_that_is_out_is_known => assert_eq!(known_of_own_order(Stopped, None), Stopped);
    outcome_of_its_own_order_leaves_the_one_before_out => assert_eq!(known_of_own_order(NoSuchRun, None), Out);
    stop_by_its_own_order_beside_a_lost_one_is_a_break => assert!(stop_beside_a_lost_order().may_have_stopped());
    outcomes_never_unsay_a_stop => never_unsaid();
}

fn after(outcomes: &[StopOrder]) -> StopOrderLog {
    let mut orders = StopOrderLog::default();
    for outcome in outcomes {
        let order = orders.send(Time::default());
        orders.settle(order, *outcome);
    }
    orders
}

/// Returns what an end means of the run that began last.
fn end_now(orders: &StopOrderLog) -> BodyEnd {
    end_of(orders, orders.run())
}

fn end_of(orders: &StopOrderLog, run: RunNumber) -> BodyEnd {
    body_end(UntilClose, orders.known(run))
}

fn end_after(outcomes: &[StopOrder]) -> BodyEnd {
    end_now(&after(outcomes))
}

fn with_another_out(first: StopOrder) -> BodyEnd {
    let mut orders = after(&[first]);
    orders.send(Time::default());
    end_now(&orders)
}

fn end_of_next_run(outcome: StopOrder) -> BodyEnd {
    let mut orders = after(&[outcome]);
    orders.begin_run();
    end_now(&orders)
}

/// Returns what an end means of a run that was ordered to stop, once the next one has begun.
fn end_of_run_before(outcome: StopOrder) -> BodyEnd {
    let mut orders = after(&[outcome]);
    let ended = orders.run();
    orders.begin_run();
    end_of(&orders, ended)
}

/// Returns what an end means of a run whose order was settled only after the next one had begun.
fn end_settled_during_the_next_run(outcome: StopOrder) -> BodyEnd {
    let mut orders = StopOrderLog::default();
    let order = orders.send(Time::default());
    let ended = orders.run();
    orders.begin_run();
    orders.settle(order, outcome);
    end_of(&orders, ended)
}

/// Returns what is known of a run, stopped by an order of its own, beside an order to the run before that was lost.
fn stop_beside_a_lost_order() -> StopOrder {
    let mut orders = after(&[Lost]);
    orders.begin_run();
    let order = orders.send(Time::default());
    orders.settle(order, Stopped);
    orders.known(orders.run())
}

/// Returns what an end means after a run was stopped, and the next one began beside an order that is out, or settled so.
fn end_beside_the_next_run(settled: Option<StopOrder>) -> BodyEnd {
    let mut orders = after(&[Stopped]);
    let order = orders.send(Time::default());
    orders.begin_run();
    if let Some(outcome) = settled {
        orders.settle(order, outcome);
    }
    end_now(&orders)
}

/// Returns what is known of a run that ends as two orders are out: one to the run before, one to itself, settled so.
fn known_of_own_order(outcome: StopOrder, before: Option<StopOrder>) -> StopOrder {
    let mut orders = StopOrderLog::default();
    let earlier = orders.send(Time::default());
    orders.begin_run();
    let own = orders.send(Time::default());
    orders.settle(own, outcome);
    if let Some(before) = before {
        orders.settle(earlier, before);
    }
    orders.known(orders.run())
}

fn end_after_one_of_two(outcome: StopOrder) -> BodyEnd {
    let mut orders = StopOrderLog::default();
    let first = orders.send(Time::default());
    orders.send(Time::default());
    orders.settle(first, outcome);
    end_now(&orders)
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
