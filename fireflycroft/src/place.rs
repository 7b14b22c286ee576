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
    pub holds: Vec<Name>,
    /// Generations that run on it.
    pub running: u32,
}

/// Bounds of the placer.
#[derive(Clone, Copy, Debug)]
pub struct PlaceLimits {
    /// Least time between two loads, by the weight store's rate.
    pub load_gap: Duration,
    /// Wait before an unanswered order is sent again.
    pub resend: Duration,
    /// Wait after which an unanswered order is given up.
    pub give_up: Duration,
    /// Most models on one engine.
    pub models_per_engine: usize,
}

impl Default for PlaceLimits {
    fn default() -> Self {
        Self {
            load_gap: Duration::from_secs(5),
            resend: Duration::from_secs(2),
            give_up: Duration::from_mins(2),
            models_per_engine: 2,
        }
    }
}

#[derive(Clone, Debug)]
struct UnderWay {
    order: Order,
    agent: Peer,
    sent: Time,
    first_sent: Time,
}

/// The placer of the node that holds the lease.
#[derive(Clone, Debug)]
pub struct Placer {
    limits: PlaceLimits,
    fence: Option<u64>,
    under_way: Option<UnderWay>,
    next_load: Time,
    /// Agents that answered of late, and until when they are left out.
    resting: Vec<(Name, Time)>,
}

/// Rest of an agent that refused.
const REFUSED_FOR: Duration = Duration::from_secs(10);
/// Rest of an agent that did as ordered, until its record has spread.
const SETTLE: Duration = Duration::from_secs(5);

impl Placer {
    /// A placer that holds no lease yet.
    #[must_use]
    pub const fn new(limits: PlaceLimits) -> Self {
        Self {
            limits,
            fence: None,
            under_way: None,
            next_load: Time(0),
            resting: Vec::new(),
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
        self.note_fence(now, fence);
        let fence = fence?;
        self.resting.retain(|(_, until)| *until > now);
        if self.under_way.is_some() {
            return self.repeat(now);
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
        self.under_way = Some(UnderWay {
            order: order.clone(),
            agent: agent.clone(),
            sent: now,
            first_sent: now,
        });
        Some((agent, order))
    }

    /// Takes an agent's answer; true when it was for the order under way.
    pub fn on_done(&mut self, now: Time, id: RequestId, done: bool) -> bool {
        let Some(under_way) = self.under_way.take_if(|u| u.order.id == id) else {
            return false;
        };
        // Its record still shows what was there before; look again later.
        let rest = if done { SETTLE } else { REFUSED_FOR };
        self.resting.push((under_way.agent.name, now + rest));
        true
    }

    fn note_fence(&mut self, now: Time, fence: Option<u64>) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        self.under_way = None;
        // The former holder may have begun a load just now.
        self.next_load = now + self.limits.load_gap;
    }

    fn repeat(&mut self, now: Time) -> Option<(Peer, Order)> {
        let limits = self.limits;
        let late = |u: &mut UnderWay| now.since(u.first_sent) >= limits.give_up;
        if let Some(gone) = self.under_way.take_if(late) {
            self.resting.push((gone.agent.name, now + REFUSED_FOR));
            return None;
        }
        let under_way = self.under_way.as_mut()?;
        if now.since(under_way.sent) < limits.resend {
            return None;
        }
        under_way.sent = now;
        Some((under_way.agent.clone(), under_way.order.clone()))
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
            None => self.surplus(wanted, engines),
        }
    }

    /// The engine with room for the model that is least busy.
    fn engine_for(&self, model: &Name, engines: &[EngineView]) -> Option<usize> {
        let open = |e: &EngineView| {
            !e.holds.contains(model)
                && e.holds.len() < self.limits.models_per_engine
                && !self.is_resting(&e.agent.name)
        };
        (0..engines.len())
            .filter(|i| open(&engines[*i]))
            .min_by_key(|i| {
                (
                    engines[*i].holds.len(),
                    engines[*i].running,
                    engines[*i].agent.name.clone(),
                )
            })
    }

    /// An idle engine that holds more than is wanted while others lack room.
    fn surplus(
        &self,
        wanted: &[(Name, u32)],
        engines: &[EngineView],
    ) -> Option<(usize, OrderKind, Name)> {
        let over = |model: &Name| {
            let want = wanted
                .iter()
                .find(|(m, _)| m == model)
                .map_or(0, |(_, n)| u64::from(*n));
            held_by(model, engines) > want
        };
        let lacking = most_missing(wanted, engines).is_some();
        engines.iter().enumerate().find_map(|(at, engine)| {
            if self.is_resting(&engine.agent.name) || engine.running > 0 {
                return None;
            }
            let unlisted = |m: &&Name| !wanted.iter().any(|(w, _)| w == *m);
            let model = engine
                .holds
                .iter()
                .find(|m| over(m) && (lacking || unlisted(m)))?;
            Some((at, OrderKind::Unload, model.clone()))
        })
    }

    fn is_resting(&self, agent: &Name) -> bool {
        self.resting.iter().any(|(name, _)| name == agent)
    }
}

/// The model of which the largest share is missing.
fn most_missing(wanted: &[(Name, u32)], engines: &[EngineView]) -> Option<Name> {
    let missing =
        |(model, want): &&(Name, u32)| u64::from(*want).saturating_sub(held_by(model, engines));
    wanted
        .iter()
        .filter(|w| missing(w) > 0)
        .max_by_key(|w| (missing(w) * 1_000 / u64::from(w.1.max(1)), w.0.clone()))
        .map(|(model, _)| model.clone())
}

fn held_by(model: &Name, engines: &[EngineView]) -> u64 {
    engines.iter().filter(|e| e.holds.contains(model)).count() as u64
}
