//! A simulated platform for claims, with outages, lost answers and stale reads.

use super::link::MS;
use super::rng::Rng;
use fireflycroft::{ClaimAnswer, ClaimOp, ClaimRecord, Digest};
use std::collections::BTreeMap;

/// Behaviour of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlatformMode {
    /// Answers in milliseconds.
    #[default]
    Up,
    /// Answers immediately that it is unavailable.
    Unavailable,
    /// Takes up to 3 s to apply a call and up to 500 ms more to answer.
    Slow,
    /// Calls take effect, but half of the answers are lost.
    LosesAnswers,
    /// Answers are lost, and calls take effect up to 5 s later.
    DelayedWrites,
    /// Reads show the state before the last write.
    StaleReads,
    /// Never answers; the client times out.
    Hung,
}

/// Delays of the effect and the answer of one call, in microseconds.
pub(crate) struct Plan {
    pub(crate) effect: Option<u64>,
    pub(crate) answer: u64,
    pub(crate) lost: bool,
}

/// Simulated platform.
#[derive(Clone, Debug, Default)]
pub(crate) struct Platform {
    pub(crate) mode: PlatformMode,
    history: BTreeMap<Digest, Vec<ClaimRecord>>,
}

impl Platform {
    pub(crate) fn plan(&self, rng: &mut Rng) -> Plan {
        let quick = 2 * MS + rng.below(8 * MS);
        let (effect, answer, lost) = match self.mode {
            PlatformMode::Up | PlatformMode::StaleReads => (Some(quick), quick, false),
            PlatformMode::Unavailable => (None, MS, false),
            PlatformMode::Slow => {
                let at = rng.below(3_000 * MS);
                (Some(at), at + rng.below(500 * MS), false)
            }
            PlatformMode::LosesAnswers => (Some(quick), quick + 100 * MS, rng.per_mille(500)),
            PlatformMode::DelayedWrites => (Some(rng.below(5_000 * MS)), 200 * MS, true),
            PlatformMode::Hung => (None, 1_000 * MS, true),
        };
        Plan {
            effect,
            answer,
            lost,
        }
    }

    /// Applies a call.
    pub(crate) fn apply(&mut self, key: Digest, op: ClaimOp) -> ClaimAnswer {
        let stale = self.mode == PlatformMode::StaleReads;
        let records = self.history.entry(key).or_default();
        let version = records.len() as u64;
        match op {
            ClaimOp::Create(record) if records.is_empty() => {
                records.push(record);
                ClaimAnswer::Written
            }
            ClaimOp::Replace(over, record) if over == version && over > 0 => {
                records.push(record);
                ClaimAnswer::Written
            }
            ClaimOp::Create(_) | ClaimOp::Replace(..) => ClaimAnswer::Conflict,
            ClaimOp::Read => {
                let seen = version - u64::from(stale && version > 0);
                match usize::try_from(seen).unwrap().checked_sub(1) {
                    Some(at) => ClaimAnswer::Found(records[at].clone(), seen),
                    None => ClaimAnswer::Absent,
                }
            }
        }
    }
}
