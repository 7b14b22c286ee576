//! Tries of one call that overlap, so that one that hangs holds nothing up.
//!
//! A connection may go silent for good while its peer serves others, and a peer
//! that is away may be back long before a call to it runs into its time limit.
//! A short limit is no answer either: a long page takes its time when a whole
//! fleet reads it. So a try is judged by its progress. While bytes come, nothing
//! else is started; when none have come for a while, another try begins beside
//! it, and whichever is whole first wins.
//!
//! With a limit of 5 s on each try, a fleet that started anew in an outage of the
//! store served nobody for 3.2 s after the store was back.

use crate::time::Time;
use std::time::Duration;

/// Tries of one call at a time: two may hang beside one that is answered, and a page of a megabyte
/// is held no more than three times.
pub const MOST_TRIES: usize = 3;

/// Factor by which each further try waits longer than the one before.
const GAP_GROWTH: f64 = 1.5;

/// One of the tries of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TryId(u64);

/// What is to be done about a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverlapStep {
    /// Begin another try.
    Start(TryId),
    /// Drop a try that hangs, to make room for another.
    Abandon(TryId),
    /// Wait for an answer until then.
    Wait(Time),
    /// Nothing came for too long, and no further try is allowed.
    GiveUp,
}

/// The tries of one call.
#[derive(Clone, Debug)]
pub struct Overlap {
    patience: Duration,
    longest_gap: Duration,
    gap: Duration,
    most: usize,
    running: Vec<(TryId, Time)>,
    started: u64,
}

impl Overlap {
    /// Tries that begin `patience` after the last sign of progress, further ones later, up to
    /// `longest_gap`.
    #[must_use]
    pub fn new(patience: Duration, longest_gap: Duration) -> Self {
        Self {
            patience,
            longest_gap: longest_gap.max(patience),
            gap: patience,
            most: MOST_TRIES,
            running: Vec::new(),
            started: 0,
        }
    }

    /// A single try, given up after `patience` without progress.
    #[must_use]
    pub fn single(patience: Duration) -> Self {
        Self {
            most: 1,
            ..Self::new(patience, patience)
        }
    }

    /// Decides what to do now.
    pub fn next(&mut self, now: Time) -> OverlapStep {
        let Some(moved_at) = self.running.iter().map(|(_, at)| *at).max() else {
            return self.start(now);
        };
        if now.since(moved_at) < self.gap {
            return OverlapStep::Wait(moved_at + self.gap);
        }
        if self.most == 1 {
            return OverlapStep::GiveUp;
        }
        if self.running.len() < self.most {
            return self.start(now);
        }
        let (oldest, _) = self.running.remove(0);
        OverlapStep::Abandon(oldest)
    }

    fn start(&mut self, now: Time) -> OverlapStep {
        if self.started > 0 {
            self.gap = self.gap.mul_f64(GAP_GROWTH).min(self.longest_gap);
        }
        self.started += 1;
        let id = TryId(self.started);
        self.running.push((id, now));
        OverlapStep::Start(id)
    }

    /// Notes that bytes came for a try.
    pub fn note_progress(&mut self, now: Time, id: TryId) {
        self.gap = self.patience;
        if let Some((_, at)) = self.running.iter_mut().find(|(i, _)| *i == id) {
            *at = now;
        }
    }

    /// Notes that a try has failed; true when it was the last one running.
    pub fn note_failed(&mut self, id: TryId) -> bool {
        self.running.retain(|(i, _)| *i != id);
        self.running.is_empty()
    }

    /// Tries begun so far.
    #[must_use]
    pub const fn started(&self) -> u64 {
        self.started
    }
}
