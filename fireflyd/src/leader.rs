//! Fleet-wide work of the entry that holds the lease.
//!
//! Only the entries of highest rank are candidates; the others send no lease
//! calls. The holder orders models onto engines, one order at a time.

use fireflycroft::{Code, MemberState};
use fireflycroft::{
    Config, EngineView, IdSource, Lease, LeaseAnswer, LeaseCall, LeaseOp, LeaseTimings, LogEvent,
    Message, Name, PlacementLimits, Placer, RequestId, Router, Time,
};

use crate::outbox::Outbox;

/// Lease and the model placement done under it.
pub struct Leader {
    lease: Lease,
    placer: Placer,
    ids: IdSource,
    held: Option<u64>,
}

impl Leader {
    /// Creates the state of a node that holds no lease.
    #[must_use]
    pub fn new(name: Name, seed: [u8; 32], timings: LeaseTimings, limits: PlacementLimits) -> Self {
        let mut ids = IdSource::new(seed);
        Self {
            lease: Lease::new(name, ids.draw(), timings),
            placer: Placer::new(limits),
            ids,
            held: None,
        }
    }

    /// Returns the fencing number of the lease, if it is held.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<u64> {
        self.lease.held(now)
    }

    /// Applies the platform's response to a lease call.
    pub fn on_answer(&mut self, now: Time, call: LeaseCall, answer: LeaseAnswer) {
        self.lease.on_answer(now, call, answer);
    }

    /// Applies an agent's response to an order.
    pub fn on_order_answer(&mut self, now: Time, id: RequestId, code: Code, fence: u64) {
        self.lease.record_fence(fence);
        self.placer.on_order_done(now, id, code == Code::OrderDone);
    }

    /// Renews or challenges the lease; returns the next call to the platform,
    /// and a log event when this node took or lost the lease.
    pub fn on_tick(
        &mut self,
        now: Time,
        candidate: bool,
    ) -> (Option<(LeaseCall, LeaseOp)>, Option<LogEvent>) {
        let call = self.lease.on_tick(now, candidate);
        let held = self.lease.held(now);
        let before = std::mem::replace(&mut self.held, held);
        let log_event = match (before, held) {
            (None, Some(fence)) => Some(LogEvent::new("lease_taken").count(fence)),
            (Some(fence), None) => Some(LogEvent::new("lease_lost").count(fence)),
            _ => None,
        };
        (call, log_event)
    }

    /// Issues the next order, if the lease is held.
    pub fn place(&mut self, now: Time, config: &Config, router: &Router, out: &mut Outbox) {
        let wanted: Vec<(Name, u32)> = config
            .models()
            .map(|(model, n)| (model.clone(), n))
            .collect();
        let engines = engines(config, router);
        // Checked again right before use: the lease may have expired during a pause.
        let fence = self.lease.held(now);
        let order = self
            .placer
            .on_tick(now, fence, &wanted, &engines, &mut self.ids);
        if let Some((agent, order)) = order {
            log::info!(event = "order_sent", req:% = order.id, peer = &*agent.name, model = &*order.model,
                kind:? = order.kind, fence = order.fence; "");
            out.push(agent.addr, Message::Order(order));
        }
    }
}

fn engines(config: &Config, router: &Router) -> Vec<EngineView> {
    let is_engine = |serves: &[Name]| !serves.iter().any(|target| config.is_service(target));
    router
        .agents()
        .filter(|a| a.state == MemberState::Alive && !a.load.leaving && is_engine(&a.serves))
        .map(|a| EngineView {
            agent: a.peer.clone(),
            loaded: a.serves.clone(),
            running: a.load.running,
        })
        .collect()
}
