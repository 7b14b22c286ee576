//! Placement of models on engines: one order at a time, given by the lease holder.
//!
//! The wanted replicas come from the inventory and the loaded models from the
//! members' records, so no state is stored: the next holder continues from
//! what it observes. A gap between two loads keeps to the weight store's rate;
//! a new holder also waits for this gap before its first load.

use crate::ids::{IdSource, Name, Peer, RequestId};
use crate::order::{Order, OrderKind};
use crate::time::Time;
use std::time::Duration;

/// The placer's view of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Its agent.
    pub agent: Peer,
    /// Loaded models.
    pub loaded: Vec<Name>,
    /// Running generations.
    pub running: u32,
}

/// Limits and timeouts of the placer.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLimits {
    /// Shortest time between two loads, given by the weight store's rate.
    pub load_gap: Duration,
    /// Time after which an unanswered order is resent.
    pub resend_after: Duration,
    /// Time after which an unanswered order is abandoned.
    pub give_up_after: Duration,
    /// Largest number of models on one engine.
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
    /// Agents excluded after a recent answer or timeout, and the end of the exclusion.
    excluded: Vec<(Name, Time)>,
}

/// Exclusion of an agent that refused an order or didn't answer.
const REFUSAL_EXCLUSION: Duration = Duration::from_secs(10);
/// Exclusion of an agent that carried out an order, until its new record has spread.
const RECORD_SPREAD_TIME: Duration = Duration::from_secs(5);

impl Placer {
    /// Creates a placer without a lease.
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

    /// Returns the next order and its agent; `fence` is the lease's fencing number, if held.
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

    /// Handles an agent's answer; returns whether it belongs to the pending order.
    pub fn on_order_done(&mut self, now: Time, id: RequestId, done: bool) -> bool {
        let Some(pending) = self.pending.take_if(|u| u.order.id == id) else {
            return false;
        };
        // Its record still shows the state before the order.
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
        // The previous holder may just have started a load.
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

    /// Returns the least busy engine that can load the model.
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

    /// Returns an idle engine and a model to unload from it: one that is not in
    /// the inventory, or a surplus replica while another model is missing.
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

/// Returns the model with the largest share of missing replicas.
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
