//! Work that is placed on upstreams, and what a request needs of one.

use crate::ids::{Incarnation, Name};
use crate::pace::Pace;
use crate::region::RegionSet;
use crate::upstream::UpstreamIx;
use std::time::Duration;

/// Work placed on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    /// Requests under way.
    pub running: u32,
    /// Tokens of memory that they are expected to need.
    pub tokens: u64,
    /// Tokens of memory that copies of runs elsewhere take.
    pub copies: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

impl Placed {
    /// Memory in all.
    pub(crate) const fn memory(&self) -> u64 {
        self.tokens + self.copies
    }

    /// This work and that.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            tokens: self.tokens + other.tokens,
            copies: self.copies + other.copies,
            unread: self.unread + other.unread,
        }
    }

    /// The more of each.
    pub(crate) fn larger_of_each(self, other: Self) -> Self {
        Self {
            running: self.running.max(other.running),
            tokens: self.tokens.max(other.tokens),
            copies: self.copies.max(other.copies),
            unread: self.unread.max(other.unread),
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
            ..self
        }
    }
}

/// Work that one entry has placed on one upstream, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedAt {
    /// The upstream.
    pub instance: Name,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// What is placed there.
    pub placed: Placed,
    /// How fast it made tokens for this entry.
    pub pace: Pace,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Whether it is a copy of a run's memory, which takes no place in the batch.
    pub is_copy: bool,
    /// Tokens of memory that it is expected to need; zero for a plain call.
    pub tokens: u64,
    /// Tokens of its prompt, which are part of `tokens`.
    pub prompt: u64,
    /// Tokens of its prompt that the upstream has to read first.
    pub unread: u64,
    /// Parts of its prompt that others may share, folded into one number.
    pub shared: Option<u64>,
    /// Random number that tells near ties apart, another one for each request.
    pub draw: u64,
    /// Regions in which it may run; none where any will do.
    pub homes: Option<RegionSet>,
    /// Upstream that its memory is copied from, over links that are shorter within a data centre.
    pub copied_from: Option<UpstreamIx>,
}

/// Load of an upstream, as a choice saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Work of all entries.
    pub placed: Placed,
    /// Share of its memory that is spoken for; zero for a plain service.
    pub memory: f64,
    /// Share of the newest requests that failed there.
    pub failing: f64,
    /// Age of what an owner replied, or else of the oldest telling that counts.
    pub age: Duration,
}
