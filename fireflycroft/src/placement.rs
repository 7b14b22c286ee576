//! Which model goes on which engine: one order at a time, by the lease holder.
//!
//! What is wanted comes from the inventory, what is there from the members'
//! records, so nothing needs to be kept: the next holder goes on from what it
//! sees. The weight store's rate is kept by a gap between two loads, which a
//! new holder waits out too before its first.

use crate::ids::{IdSource, Name, Peer, RequestId};
use crate::order::{Order, OrderKind};
use crate::time::Time;
use std::time::Duration;

/// One engine as the placer sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Its agent.
    pub agent: Peer,
    /// Models it holds.
    pub loaded: Vec<Name>,
    /// Generations that run on it.
    pub running: u32,
}

/// Bounds of the placer.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLimits {
    /// Least time between two loads, by the weight store's rate.
    pub load_gap: Duration,
    /// Wait before an unanswered order is sent again.
    pub resend_after: Duration,
    /// Wait after which an unanswered order is given up.
    pub give_up_after: Duration,
    /// Most models on one engine.
    pub models_per_engine: usize,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            load_gap: Duration::from_secs(5),
            resend_after: Duration::from_secs(2),
            give_up_after: Duration::from_mins(2),
            models_per_engine: 2,
        }
    }
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: Order,
    agent: Peer,
    sent: Time,
    first_sent: Time,
}

/// The placer of the node that holds the lease.
#[derive(Clone, Debug)]
pub struct Placer {
    limits: PlacementLimits,
    fence: Option<u64>,
    pending: Option<PendingOrder>,
    next_load: Time,
    /// Agents that answered of late, and until when they are left out.
    excluded: Vec<(Name, Time)>,
}

/// Rest of an agent that refused.
const REFUSAL_EXCLUSION: Duration = Duration::from_secs(10);
/// Rest of an agent that did as ordered, until its record has spread.
const RECORD_SPREAD_TIME: Duration = Duration::from_secs(5);

impl Placer {
    /// A placer that holds no lease yet.
    #[must_use]
    pub const fn new(limits: PlacementLimits) -> Self {
        Self {
            limits,
            fence: None,
            pending: None,
            next_load: Time(0),
            excluded: Vec::new(),
        }
    }

    /// Decides what to order now; `fence` is that of the lease, if it is held.
    pub fn on_tick(
        &mut self,
        now: Time,
        fence: Option<u64>,
        wanted: &[(Name, u32)],
        engines: &[EngineView],
        ids: &mut IdSource,
    ) -> Option<(Peer, Order)> {
        self.apply_fence(now, fence);
        let fence = fence?;
        self.excluded.retain(|(_, until)| *until > now);
        if self.pending.is_some() {
            return self.resend_or_give_up(now);
        }
        let (at, kind, model) = self.choose(now, wanted, engines)?;
        if kind == OrderKind::Load {
            self.next_load = now + self.limits.load_gap;
        }
        let agent = engines[at].agent.clone();
        let order = Order {
            id: ids.draw(),
            fence,
            kind,
            model,
        };
        self.pending = Some(PendingOrder {
            order: order.clone(),
            agent: agent.clone(),
            sent: now,
            first_sent: now,
        });
        Some((agent, order))
    }

    /// Takes an agent's answer; true when it was for the order under way.
    pub fn on_order_done(&mut self, now: Time, id: RequestId, done: bool) -> bool {
        let Some(pending) = self.pending.take_if(|u| u.order.id == id) else {
            return false;
        };
        // Its record still shows what was there before; look again later.
        let exclusion = if done {
            RECORD_SPREAD_TIME
        } else {
            REFUSAL_EXCLUSION
        };
        self.excluded.push((pending.agent.name, now + exclusion));
        true
    }

    fn apply_fence(&mut self, now: Time, fence: Option<u64>) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        self.pending = None;
        // The former holder may have begun a load just now.
        self.next_load = now + self.limits.load_gap;
    }

    fn resend_or_give_up(&mut self, now: Time) -> Option<(Peer, Order)> {
        let limits = self.limits;
        let overdue = |u: &mut PendingOrder| now.since(u.first_sent) >= limits.give_up_after;
        if let Some(abandoned) = self.pending.take_if(overdue) {
            self.excluded
                .push((abandoned.agent.name, now + REFUSAL_EXCLUSION));
            return None;
        }
        let pending = self.pending.as_mut()?;
        if now.since(pending.sent) < limits.resend_after {
            return None;
        }
        pending.sent = now;
        Some((pending.agent.clone(), pending.order.clone()))
    }

    fn choose(
        &self,
        now: Time,
        wanted: &[(Name, u32)],
        engines: &[EngineView],
    ) -> Option<(usize, OrderKind, Name)> {
        let load = most_missing(wanted, engines).and_then(|model| {
            let at = self.engine_for(&model, engines)?;
            Some((at, OrderKind::Load, model))
        });
        match load {
            Some(load) if now >= self.next_load => Some(load),
            Some(_) => None,
            None => self.surplus_model(wanted, engines),
        }
    }

    /// The engine with room for the model that is least busy.
    fn engine_for(&self, model: &Name, engines: &[EngineView]) -> Option<usize> {
        let has_capacity = |e: &EngineView| {
            !e.loaded.contains(model)
                && e.loaded.len() < self.limits.models_per_engine
                && !self.is_excluded(&e.agent.name)
        };
        (0..engines.len())
            .filter(|i| has_capacity(&engines[*i]))
            .min_by_key(|i| {
                (
                    engines[*i].loaded.len(),
                    engines[*i].running,
                    engines[*i].agent.name.clone(),
                )
            })
    }

    /// An idle engine that holds more than is wanted while others lack room.
    fn surplus_model(
        &self,
        wanted: &[(Name, u32)],
        engines: &[EngineView],
    ) -> Option<(usize, OrderKind, Name)> {
        let has_surplus = |model: &Name| {
            let want = wanted
                .iter()
                .find(|(m, _)| m == model)
                .map_or(0, |(_, n)| u64::from(*n));
            replicas_of(model, engines) > want
        };
        let any_missing = most_missing(wanted, engines).is_some();
        engines.iter().enumerate().find_map(|(at, engine)| {
            if self.is_excluded(&engine.agent.name) || engine.running > 0 {
                return None;
            }
            let unlisted = |m: &&Name| !wanted.iter().any(|(w, _)| w == *m);
            let model = engine
                .loaded
                .iter()
                .find(|m| has_surplus(m) && (any_missing || unlisted(m)))?;
            Some((at, OrderKind::Unload, model.clone()))
        })
    }

    fn is_excluded(&self, agent: &Name) -> bool {
        self.excluded.iter().any(|(name, _)| name == agent)
    }
}

/// The model of which the largest share is missing.
fn most_missing(wanted: &[(Name, u32)], engines: &[EngineView]) -> Option<Name> {
    let missing =
        |(model, want): &&(Name, u32)| u64::from(*want).saturating_sub(replicas_of(model, engines));
    wanted
        .iter()
        .filter(|w| missing(w) > 0)
        .max_by_key(|w| (missing(w) * 1_000 / u64::from(w.1.max(1)), w.0.clone()))
        .map(|(model, _)| model.clone())
}

fn replicas_of(model: &Name, engines: &[EngineView]) -> u64 {
    engines.iter().filter(|e| e.loaded.contains(model)).count() as u64
}
