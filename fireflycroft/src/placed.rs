//! Work placed on upstreams, and the needs of a request.

use crate::admission_limit::SHORT_TOKENS;
use crate::ids::{Incarnation, Name};
use crate::pace::Pace;
use crate::region::RegionSet;
use crate::software_version::VersionKey;
use crate::upstream::UpstreamIx;
use std::time::Duration;

/// Work placed on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    /// Running requests.
    pub running: u32,
    /// Tokens of memory that they are expected to need in all.
    pub tokens: u64,
    /// Tokens of memory taken by backups of runs elsewhere.
    pub copies: u64,
    /// Tokens of prompts not read yet.
    pub unread: u64,
    /// Running generations with long answers.
    pub long: u32,
    /// Answers whose last gap was so long that the upstream is slow now.
    pub slowed: u32,
}

impl Placed {
    /// Returns the memory of runs and backups.
    pub(crate) const fn memory(&self) -> u64 {
        self.tokens + self.copies
    }

    /// Returns the sum.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            tokens: self.tokens + other.tokens,
            copies: self.copies + other.copies,
            unread: self.unread + other.unread,
            long: self.long + other.long,
            slowed: self.slowed + other.slowed,
        }
    }

    /// Returns the larger value of each field.
    pub(crate) fn larger_of_each(self, other: Self) -> Self {
        Self {
            running: self.running.max(other.running),
            tokens: self.tokens.max(other.tokens),
            copies: self.copies.max(other.copies),
            unread: self.unread.max(other.unread),
            long: self.long.max(other.long),
            slowed: self.slowed.max(other.slowed),
        }
    }

    pub(crate) const fn with(self, need: &Need) -> Self {
        if need.is_copy {
            return Self {
                copies: self.copies + need.tokens,
                ..self
            };
        }
        Self {
            running: self.running + 1,
            tokens: self.tokens + need.tokens,
            unread: self.unread + need.unread,
            long: self.long + need.is_long() as u32,
            ..self
        }
    }

    pub(crate) const fn without(self, need: &Need) -> Self {
        if need.is_copy {
            return Self {
                copies: self.copies.saturating_sub(need.tokens),
                ..self
            };
        }
        Self {
            running: self.running.saturating_sub(1),
            tokens: self.tokens.saturating_sub(need.tokens),
            unread: self.unread.saturating_sub(need.unread),
            long: self.long.saturating_sub(need.is_long() as u32),
            ..self
        }
    }
}

/// Work that one entry has placed on one upstream, as announced to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedAt {
    /// The upstream.
    pub instance: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Work placed there.
    pub placed: Placed,
    /// Pace as observed by this entry.
    pub pace: Pace,
}

/// Needs of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Whether it is a backup of a run's memory, which takes no slot of the batch.
    pub is_copy: bool,
    /// Expected tokens of memory; zero for a plain call.
    pub tokens: u64,
    /// Tokens of its prompt, included in `tokens`.
    pub prompt: u64,
    /// Tokens of its prompt that the upstream hasn't read yet.
    pub unread: u64,
    /// Hash of the shareable parts of its prompt.
    pub shared: Option<u64>,
    /// Random number of the request that breaks near ties.
    pub draw: u64,
    /// Regions in which it may run; none for any.
    pub homes: Option<RegionSet>,
    /// Upstream from which its memory is copied; links are shorter within a data centre.
    pub copied_from: Option<UpstreamIx>,
    /// Software version that the upstream must have; `None` for any.
    pub version: Option<VersionKey>,
}

impl Need {
    /// Returns whether it is a generation with a long answer.
    #[must_use]
    pub const fn is_long(&self) -> bool {
        !self.is_copy && self.tokens > self.prompt + SHORT_TOKENS
    }
}

/// Load of an upstream at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Work of all entries.
    pub placed: Placed,
    /// Reserved share of its memory; zero for a plain service.
    pub memory: f64,
    /// Share of recent requests that failed there.
    pub failing: f64,
    /// Age of the owner's reply, or else of the oldest valid announcement.
    pub age: Duration,
    /// Usual time per token relative to the mean engine of its service.
    pub speed: f64,
    /// Expected late pauses of an answer there in a second of reading beside it.
    pub risk: f64,
}
