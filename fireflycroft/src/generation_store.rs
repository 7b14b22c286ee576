//! Bounded store of an agent's reservations and answers.
//!
//! Each dropped generation leaves a short record, so that a later start or
//! reader that names it still learns whether it ran. Above the byte limit,
//! finished answers without readers are dropped first, then tokens that all
//! readers have acknowledged, then the oldest tokens of the largest answers;
//! a reader that requests dropped tokens gets `PartGone`.

use crate::agent::AgentLimits;
use crate::code::Class;
use crate::generation::{Generation, Stage};
use crate::ids::{Name, RequestId};
use crate::message::Standing;
use crate::time::Time;
use std::collections::BTreeMap;

/// Maximum number of records of dropped generations; above it, the one with the
/// lowest serial number is removed.
const MAX_DROPPED: usize = 16_384;

/// 1/8 of the limit is freed at a time, rather than a little at each token.
const FREED_FRACTION_DIVISOR: usize = 8;

/// Record of a generation that is no longer held.
#[derive(Clone, Debug)]
struct DroppedGeneration {
    request: RequestId,
    workspace: Name,
    ran: bool,
}

/// Generations by serial number, and records of dropped ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct GenerationStore {
    held: BTreeMap<u64, Generation>,
    dropped: BTreeMap<u64, DroppedGeneration>,
    /// Upper bound of the bytes held.
    bytes: usize,
}

impl GenerationStore {
    pub(crate) fn insert(&mut self, g: Generation) {
        self.held.insert(g.id.serial, g);
    }

    pub(crate) fn get(&self, serial: u64) -> Option<&Generation> {
        self.held.get(&serial)
    }

    pub(crate) fn get_mut(&mut self, serial: u64) -> Option<&mut Generation> {
        self.held.get_mut(&serial)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Generation> {
        self.held.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Generation> {
        self.held.values_mut()
    }

    /// Returns the bytes of answers held.
    pub(crate) fn bytes(&self) -> usize {
        self.held.values().map(|g| g.log.bytes()).sum()
    }

    /// Returns the standing of a generation that is not held; `None` matches any
    /// workspace.
    pub(crate) fn standing(
        &self,
        serial: u64,
        request: RequestId,
        workspace: Option<&Name>,
    ) -> Standing {
        let matches_reader = |t: &&DroppedGeneration| {
            t.request == request && workspace.is_none_or(|workspace| t.workspace == *workspace)
        };
        match self.dropped.get(&serial).filter(matches_reader) {
            Some(dropped_generation) if dropped_generation.ran => Standing::PartGone,
            Some(_) => Standing::NeverStarted,
            None => Standing::Unknown,
        }
    }

    /// Drops expired and finished generations past their retention.
    pub(crate) fn remove_old(&mut self, now: Time, limits: &AgentLimits) {
        let old = |g: &&Generation| match g.stage {
            Stage::Expired(at) => now.since(at) >= limits.offer_retention,
            Stage::Finished(at) => now.since(at) >= limits.finished_retention,
            Stage::Reserved(_) | Stage::Running => false,
        };
        let serials: Vec<u64> = self.held.values().filter(old).map(serial_of).collect();
        for serial in serials {
            self.drop_generation(serial);
        }
    }

    /// Adds to the byte count and enforces the limit.
    pub(crate) fn record_added_bytes(&mut self, added: usize, max: usize) {
        self.bytes += added;
        if self.bytes > max {
            self.enforce_byte_limit(max);
        }
    }

    fn enforce_byte_limit(&mut self, max: usize) {
        self.bytes = self.bytes();
        if self.bytes <= max {
            return;
        }
        let target = max - max / FREED_FRACTION_DIVISOR;
        self.drop_finished(target);
        self.release_acknowledged(target);
        while self.bytes > target && self.release_oldest(target) {}
    }

    /// Drops finished answers without readers, oldest first.
    fn drop_finished(&mut self, target: usize) {
        let ended = |g: &&Generation| matches!(g.stage, Stage::Finished(_)) && g.readers.is_empty();
        while self.bytes > target {
            let Some(serial) = self.held.values().find(ended).map(serial_of) else {
                return;
            };
            self.drop_generation(serial);
        }
    }

    /// Releases tokens that every reader has acknowledged.
    fn release_acknowledged(&mut self, target: usize) {
        for g in self.held.values_mut() {
            if self.bytes <= target {
                return;
            }
            let lowest_acked = g.readers.iter().map(|r| r.acked).min();
            let before = g.log.bytes();
            g.log.release_below(lowest_acked.unwrap_or(0));
            self.bytes -= before - g.log.bytes();
        }
    }

    /// Releases the oldest tokens of the largest answer; returns false if nothing
    /// was released.
    fn release_oldest(&mut self, target: usize) -> bool {
        let Some(g) = self.held.values_mut().max_by_key(|g| g.log.bytes()) else {
            return false;
        };
        let before = g.log.bytes();
        g.log.release_bytes(self.bytes - target);
        self.bytes -= before - g.log.bytes();
        before > g.log.bytes()
    }

    fn drop_generation(&mut self, serial: u64) {
        let Some(g) = self.held.remove(&serial) else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(g.log.bytes());
        let dropped_generation = DroppedGeneration {
            request: g.offer.request,
            ran: has_run(&g),
            workspace: g.demand.workspace,
        };
        self.dropped.insert(serial, dropped_generation);
        if self.dropped.len() > MAX_DROPPED {
            self.dropped.pop_first();
        }
    }
}

fn serial_of(g: &Generation) -> u64 {
    g.id.serial
}

fn has_run(g: &Generation) -> bool {
    let refused = |code: crate::code::Code| code.class() == Class::NotRun;
    match g.stage {
        Stage::Reserved(_) | Stage::Expired(_) => false,
        Stage::Running => true,
        Stage::Finished(_) => !g.finish.as_ref().is_some_and(|f| refused(f.code)),
    }
}
