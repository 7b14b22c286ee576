//! Orders to an upstream: load or unload a model, under a fencing number.
//!
//! The agent checks fencing numbers itself, whether or not its upstream does:
//! it refuses an order with a number lower than the highest it knows. A newly
//! started agent knows none, so it refuses all orders until it has read the
//! number of the lease from the platform. A model is not unloaded while
//! generations run on it.

use crate::code::Code;
use crate::ids::{Name, RequestId};

/// Action that an order requests of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Identifies the order; duplicates share it.
    pub id: RequestId,
    /// Fencing number of the issuer's lease.
    pub fence: u64,
    /// Requested action.
    pub kind: OrderKind,
    /// The model.
    pub model: Name,
}

/// Decision of an agent on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// Forward it to the upstream.
    Forward,
    /// A duplicate of the order in progress: do not answer yet.
    InProgress,
    /// Answer with this code without forwarding it.
    Answer(Code),
}

/// Fencing number and order state of one agent.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    highest: Option<u64>,
    in_progress: Option<Order>,
    last_settled: Option<(RequestId, Code)>,
}

impl Orders {
    /// Raises the highest known fencing number to one read from the platform.
    pub fn observe_fence(&mut self, fence: u64) {
        self.highest = Some(self.highest.map_or(fence, |h| h.max(fence)));
    }

    /// Returns the highest known fencing number; `None` until one is known.
    #[must_use]
    pub const fn highest(&self) -> Option<u64> {
        self.highest
    }

    /// Decides on an order while `running` generations use its model.
    pub fn decide(&mut self, order: &Order, running: usize) -> OrderDecision {
        if let Some((_, code)) = self.last_settled.filter(|(id, _)| *id == order.id) {
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

    /// Records the upstream's answer and returns the order that it settles.
    pub fn settle(&mut self, code: Code) -> Option<Order> {
        let order = self.in_progress.take()?;
        self.last_settled = Some((order.id, code));
        Some(order)
    }

    /// Returns the model that is being loaded or unloaded.
    #[must_use]
    pub fn model_in_progress(&self) -> Option<&Name> {
        self.in_progress.as_ref().map(|o| &o.model)
    }
}
