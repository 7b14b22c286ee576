//! Reservations and answers that an agent keeps, within bounds.
//!
//! What goes leaves a short trace, so that a claim or a reader that names it
//! later is still told whether it ran. When the bytes kept are too many,
//! ended answers that nobody reads go first, then tokens that all readers
//! have, then the oldest tokens of the largest answers; who asks for those
//! is told that the part is gone.

use crate::agent::AgentLimits;
use crate::code::Class;
use crate::generation::{Generation, Stage};
use crate::ids::{Name, RequestId};
use crate::message::Standing;
use crate::time::Time;
use std::collections::BTreeMap;

/// Traces kept at once; the oldest goes when more come.
const MAX_TRACES: usize = 16_384;

/// This part of the bound is freed at once, not a little at each token.
const FREED_PART: usize = 8;

/// What is known of a generation that is no longer kept.
#[derive(Clone, Debug)]
struct Trace {
    request: RequestId,
    workspace: Name,
    ran: bool,
}

/// Generations by serial number, and traces of those that went.
#[derive(Clone, Debug, Default)]
pub(crate) struct GenerationStore {
    held: BTreeMap<u64, Generation>,
    traces: BTreeMap<u64, Trace>,
    /// Bytes held, or more.
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

    /// Bytes of answers held.
    pub(crate) fn bytes(&self) -> usize {
        self.held.values().map(|g| g.log.bytes()).sum()
    }

    /// How a generation stands that is not held; `None` asks for any workspace.
    pub(crate) fn standing(
        &self,
        serial: u64,
        request: RequestId,
        workspace: Option<&Name>,
    ) -> Standing {
        let own = |t: &&Trace| {
            t.request == request && workspace.is_none_or(|workspace| t.workspace == *workspace)
        };
        match self.traces.get(&serial).filter(own) {
            Some(trace) if trace.ran => Standing::PartGone,
            Some(_) => Standing::NeverStarted,
            None => Standing::Unknown,
        }
    }

    /// Forgets what lapsed or ended long enough ago.
    pub(crate) fn forget(&mut self, now: Time, limits: &AgentLimits) {
        let old = |g: &&Generation| match g.stage {
            Stage::Lapsed(at) => now.since(at) >= limits.remember,
            Stage::Finished(at) => now.since(at) >= limits.keep_finished,
            Stage::Reserved(_) | Stage::Running => false,
        };
        let serials: Vec<u64> = self.held.values().filter(old).map(serial_of).collect();
        for serial in serials {
            self.drop(serial);
        }
    }

    /// Notes that so many bytes of tokens were added, and keeps the bound.
    pub(crate) fn grow(&mut self, added: usize, max: usize) {
        self.bytes += added;
        if self.bytes > max {
            self.make_room(max);
        }
    }

    fn make_room(&mut self, max: usize) {
        self.bytes = self.bytes();
        if self.bytes <= max {
            return;
        }
        let target = max - max / FREED_PART;
        self.drop_ended(target);
        self.release_taken(target);
        while self.bytes > target && self.release_oldest(target) {}
    }

    /// Drops ended answers that nobody reads, oldest first.
    fn drop_ended(&mut self, target: usize) {
        let ended = |g: &&Generation| matches!(g.stage, Stage::Finished(_)) && g.readers.is_empty();
        while self.bytes > target {
            let Some(serial) = self.held.values().find(ended).map(serial_of) else {
                return;
            };
            self.drop(serial);
        }
    }

    /// Releases tokens that every reader has handed on.
    fn release_taken(&mut self, target: usize) {
        for g in self.held.values_mut() {
            if self.bytes <= target {
                return;
            }
            let taken = g.readers.iter().map(|r| r.acked).min();
            let before = g.log.bytes();
            g.log.release_below(taken.unwrap_or(0));
            self.bytes -= before - g.log.bytes();
        }
    }

    /// Releases the oldest tokens of the largest answer; false if there are none.
    fn release_oldest(&mut self, target: usize) -> bool {
        let Some(g) = self.held.values_mut().max_by_key(|g| g.log.bytes()) else {
            return false;
        };
        let before = g.log.bytes();
        g.log.release_bytes(self.bytes - target);
        self.bytes -= before - g.log.bytes();
        before > g.log.bytes()
    }

    fn drop(&mut self, serial: u64) {
        let Some(g) = self.held.remove(&serial) else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(g.log.bytes());
        let trace = Trace {
            request: g.offer.request,
            ran: has_run(&g),
            workspace: g.demand.workspace,
        };
        self.traces.insert(serial, trace);
        if self.traces.len() > MAX_TRACES {
            self.traces.pop_first();
        }
    }
}

fn serial_of(g: &Generation) -> u64 {
    g.id.serial
}

fn has_run(g: &Generation) -> bool {
    let refused = |code: crate::code::Code| code.class() == Class::NotRun;
    match g.stage {
        Stage::Reserved(_) | Stage::Lapsed(_) => false,
        Stage::Running => true,
        Stage::Finished(_) => !g.finish.as_ref().is_some_and(|f| refused(f.code)),
    }
}
