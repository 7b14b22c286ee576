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
pub enum OrderDecision {
    /// Pass it on to the upstream.
    Forward,
    /// A copy of the one under way: say nothing yet.
    InProgress,
    /// Answer with this code; it is not passed on.
    Answer(Code),
}

/// Orders as one agent sees them.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    highest: Option<u64>,
    in_progress: Option<Order>,
    last: Option<(RequestId, Code)>,
}

impl Orders {
    /// Learns a fencing number from the platform.
    pub fn observe_fence(&mut self, fence: u64) {
        self.highest = Some(self.highest.map_or(fence, |h| h.max(fence)));
    }

    /// Highest fencing number known; `None` until one was learnt.
    #[must_use]
    pub const fn highest(&self) -> Option<u64> {
        self.highest
    }

    /// Decides on an order while `running` generations use its model.
    pub fn decide(&mut self, order: &Order, running: usize) -> OrderDecision {
        if let Some((_, code)) = self.last.filter(|(id, _)| *id == order.id) {
            return OrderDecision::Answer(code);
        }
        let Some(highest) = self.highest else {
            return OrderDecision::Answer(Code::OrderTooEarly);
        };
        if order.fence < highest {
            return OrderDecision::Answer(Code::OrderFenced);
        }
        self.highest = Some(order.fence);
        match &self.in_progress {
            Some(current) if current.id == order.id => return OrderDecision::InProgress,
            Some(_) => return OrderDecision::Answer(Code::OrderBusy),
            None => {}
        }
        if order.kind == OrderKind::Unload && running > 0 {
            return OrderDecision::Answer(Code::OrderBusy);
        }
        self.in_progress = Some(order.clone());
        OrderDecision::Forward
    }

    /// Notes the upstream's answer; gives the order it was for.
    pub fn settle(&mut self, code: Code) -> Option<Order> {
        let order = self.in_progress.take()?;
        self.last = Some((order.id, code));
        Some(order)
    }

    /// Model that is being loaded or unloaded.
    #[must_use]
    pub fn model_in_progress(&self) -> Option<&Name> {
        self.in_progress.as_ref().map(|o| &o.model)
    }
}
