//! What is known of the orders to stop a run, by the upstream that they went to.

use fireflycroft::StopOrder::{
    self, Busy, Lost, NoSuchRun, NotSent, Out, Refused, Stopped, StoppedByRepeat,
};
use fireflycroft::{Incarnation, MemoryCopy, Time, UpstreamIncarnation};
use fireflycroft_platform::MigrationOutcome;
use fireflydirect::stop_orders::{CopyAnswer, StopOrders};

/// Defines test cases: an order to an upstream and its outcome, and what is then known at another one.
macro_rules! cases {
    ($($name:ident: $ordered:expr, $outcome:expr, $at:expr => $known:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(known_at(&$ordered, $outcome, &$at), $known);
            }
        )+
    };
}

/// Defines test cases: an answer to an order, whether it says that nothing was done and whether the order was sent twice, and
/// what is then known.
macro_rules! answers {
    ($($name:ident: $status:literal, $outcome:expr, $is_refused:literal, $is_repeat:literal => $known:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let answer = CopyAnswer {
                    status: $status,
                    outcome: $outcome,
                    is_refused: $is_refused,
                    is_repeat: $is_repeat,
                };
                assert_eq!(answer.stop_order(), $known);
            }
        )+
    };
}

fn copy() -> MemoryCopy {
    MemoryCopy {
        issued_by: "127.0.0.1:80".parse().unwrap(),
        handle: "h1".into(),
    }
}

fn upstream(instance: &str, start: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        instance: instance.into(),
        incarnation: Incarnation(start),
    }
}

fn known_at(
    ordered: &UpstreamIncarnation,
    outcome: Option<StopOrder>,
    at: &UpstreamIncarnation,
) -> StopOrder {
    let orders = StopOrders::default();
    let order = orders.send(ordered, Time::default());
    if let Some(outcome) = outcome {
        orders.settle(order, outcome);
    }
    orders.at(at)
}

cases! {
    lost_order_stays_at_its_upstream: upstream("m-0", 1), Some(Lost), upstream("m-0", 1) => Lost;
    lost_order_is_not_another_upstreams: upstream("m-0", 1), Some(Lost), upstream("m-1", 1) => NotSent;
    lost_order_is_not_a_later_starts: upstream("m-0", 1), Some(Lost), upstream("m-0", 2) => NotSent;
    order_is_kept_when_the_start_becomes_known: upstream("m-0", 0), Some(Stopped), upstream("m-0", 2) => Stopped;
    order_that_is_out_is_its_upstreams: upstream("m-0", 1), None, upstream("m-0", 1) => Out;
}

answers! {
    copy_says_that_the_run_was_stopped: 200, MigrationOutcome::Copied(copy()), false, false => Stopped;
    kept_memory_says_that_the_run_was_stopped: 503, MigrationOutcome::NoCapacity(Some(copy())), false, false => Stopped;
    refusal_without_memory_does_not_say_what_became_of_the_run: 503, MigrationOutcome::NoCapacity(None), false, false => Lost;
    refusal_that_says_that_nothing_was_done_stopped_nothing: 503, MigrationOutcome::NoCapacity(None), true, false => Refused;
    success_without_a_handle_does_not_say_what_became_of_the_run: 200, MigrationOutcome::Malformed, false, false => Lost;
    error_that_says_that_nothing_was_done_stopped_nothing: 500, MigrationOutcome::Malformed, true, false => Refused;
    unknown_run_was_not_stopped: 404, MigrationOutcome::NoSuchRun, false, false => NoSuchRun;
    busy_run_was_not_stopped: 409, MigrationOutcome::Busy, false, false => Busy;
    copy_of_a_repeat_leaves_the_first_call_open: 200, MigrationOutcome::Copied(copy()), false, true => StoppedByRepeat;
    kept_memory_of_a_repeat_leaves_the_first_call_open: 503, MigrationOutcome::NoCapacity(Some(copy())), false, true => StoppedByRepeat;
    refusal_of_a_repeat_without_memory_proves_nothing: 503, MigrationOutcome::NoCapacity(None), false, true => Lost;
    refusal_of_a_repeat_proves_nothing: 503, MigrationOutcome::NoCapacity(None), true, true => Lost;
}
