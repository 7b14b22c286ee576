//! What is known of the orders to stop a run, by the upstream that they went to.

use fireflycroft::StopOrder::{self, Lost, NotSent, Out, Stopped};
use fireflycroft::{Incarnation, Time, UpstreamIncarnation};
use fireflydirect::stop_orders::StopOrders;

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
