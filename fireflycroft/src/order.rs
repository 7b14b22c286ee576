//! Orders to an upstream: load or unload a model, under a fencing number.
//!
//! The agent is the door for orders too: it takes none with a number lower
//! than it has seen, whether or not its upstream looks at numbers. An agent
//! that was started anew has seen none, so it learns the number of the lease
//! from the platform first and takes no order until then. A model is not
//! unloaded while generations run on it.

use crate::code::Code;
use crate::ids::{Name, RequestId};

/// What an upstream is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Hold the model.
    Load,
    /// Give the model up.
    Unload,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Names the order; copies have the same.
    pub id: RequestId,
    /// Fencing number of the issuer's lease.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
    /// The model.
    pub model: Name,
}

/// What an agent does with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// Pass it on to the upstream.
    Pass,
    /// A copy of the one under way: say nothing yet.
    UnderWay,
    /// Answer with this code; it is not passed on.
    Answer(Code),
}

/// Orders as one agent sees them.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    highest: Option<u64>,
    under_way: Option<Order>,
    last: Option<(RequestId, Code)>,
}

impl Orders {
    /// Learns a fencing number from the platform.
    pub fn learn_fence(&mut self, fence: u64) {
        self.highest = Some(self.highest.map_or(fence, |h| h.max(fence)));
    }

    /// Highest fencing number known; `None` until one was learnt.
    #[must_use]
    pub const fn highest(&self) -> Option<u64> {
        self.highest
    }

    /// Decides on an order while `running` generations use its model.
    pub fn decide(&mut self, order: &Order, running: usize) -> OrderVerdict {
        if let Some((_, code)) = self.last.filter(|(id, _)| *id == order.id) {
            return OrderVerdict::Answer(code);
        }
        let Some(highest) = self.highest else {
            return OrderVerdict::Answer(Code::OrderTooEarly);
        };
        if order.fence < highest {
            return OrderVerdict::Answer(Code::OrderFenced);
        }
        self.highest = Some(order.fence);
        match &self.under_way {
            Some(current) if current.id == order.id => return OrderVerdict::UnderWay,
            Some(_) => return OrderVerdict::Answer(Code::OrderBusy),
            None => {}
        }
        if order.kind == OrderKind::Unload && running > 0 {
            return OrderVerdict::Answer(Code::OrderBusy);
        }
        self.under_way = Some(order.clone());
        OrderVerdict::Pass
    }

    /// Notes the upstream's answer; gives the order it was for.
    pub fn settle(&mut self, code: Code) -> Option<Order> {
        let order = self.under_way.take()?;
        self.last = Some((order.id, code));
        Some(order)
    }

    /// Model that is being loaded or unloaded.
    #[must_use]
    pub fn model_under_way(&self) -> Option<&Name> {
        self.under_way.as_ref().map(|o| &o.model)
    }
}
