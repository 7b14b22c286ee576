//! Tests of orders at the agent: fencing, duplicates and busy upstreams.

use fireflycroft::{Code, Name, Order, OrderDecision, OrderKind, Orders, RequestId};

fn order(id: u128, fence: u64, kind: OrderKind) -> Order {
    Order {
        id: RequestId(id),
        fence,
        kind,
        model: Name::from("model-a"),
    }
}

fn load(id: u128, fence: u64) -> Order {
    order(id, fence, OrderKind::Load)
}

fn orders_with_fence(fence: u64) -> Orders {
    let mut orders = Orders::default();
    orders.observe_fence(fence);
    orders
}

macro_rules! cases {
    ($($name:ident: $body:block)+) => {
        $(#[test]
        fn $name() $body)+
    };
}

cases! {
    an_agent_that_knows_no_number_takes_no_order: {
        let decision = Orders::default().decide(&load(1, 7), 0);
        assert_eq!(decision, OrderDecision::Answer(Code::OrderTooEarly));
    }

    the_number_in_force_is_taken: {
        assert_eq!(orders_with_fence(7).decide(&load(1, 7), 0), OrderDecision::Forward);
    }

    an_order_of_a_former_issuer_is_refused: {
        let mut orders = orders_with_fence(7);
        assert_eq!(orders.decide(&load(1, 8), 0), OrderDecision::Forward);
        orders.settle(Code::OrderDone);
        assert_eq!(orders.decide(&load(2, 7), 0), OrderDecision::Answer(Code::OrderFenced));
    }

    a_number_from_the_platform_fences_too: {
        let mut orders = orders_with_fence(7);
        orders.observe_fence(9);
        assert_eq!(orders.decide(&load(1, 8), 0), OrderDecision::Answer(Code::OrderFenced));
    }

    a_copy_is_not_passed_on_twice: {
        let mut orders = orders_with_fence(7);
        assert_eq!(orders.decide(&load(1, 7), 0), OrderDecision::Forward);
        assert_eq!(orders.decide(&load(1, 7), 0), OrderDecision::InProgress);
        orders.settle(Code::OrderDone);
        assert_eq!(orders.decide(&load(1, 7), 0), OrderDecision::Answer(Code::OrderDone));
    }

    one_order_at_a_time: {
        let mut orders = orders_with_fence(7);
        assert_eq!(orders.decide(&load(1, 7), 0), OrderDecision::Forward);
        assert_eq!(orders.decide(&load(2, 7), 0), OrderDecision::Answer(Code::OrderBusy));
    }

    a_model_in_use_is_not_unloaded: {
        let unload = order(1, 7, OrderKind::Unload);
        assert_eq!(orders_with_fence(7).decide(&unload, 1), OrderDecision::Answer(Code::OrderBusy));
        assert_eq!(orders_with_fence(7).decide(&unload, 0), OrderDecision::Forward);
    }
}
