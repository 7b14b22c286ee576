//! Upstreams that say in their answers that they leave.
//!
//! The platform's list says so too, but while its store is away nobody hears of
//! it; the answers reach whoever sends the upstream requests. A life that has
//! said so leaves, whatever record of it is read later: one that was written
//! before may come late.

use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Life, Upstream, UpstreamIx, longest_untold};

/// Upstreams told at a time; more take turns.
const MAX_TOLD: usize = 4;

/// That an upstream said that it leaves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SaidLeaving {
    has_said: bool,
    /// When it was told to other entries last.
    told_at: Option<Time>,
}

impl Pool {
    /// Takes an upstream's word in an answer that it leaves; tells whether that is news.
    pub fn note_said_leaving(&mut self, now: Time, ix: UpstreamIx) -> Option<PoolChange> {
        let u = &mut self.upstreams[ix.0];
        if u.said_leaving.has_said {
            return None;
        }
        u.said_leaving.has_said = true;
        if u.left_at.is_some() {
            return None;
        }
        u.left_at = Some(now);
        Some(PoolChange::Leaves(ix))
    }

    /// Takes the same from another entry that has heard it.
    pub fn take_said_leaving(&mut self, now: Time, life: &Life) -> Option<PoolChange> {
        let ix = self.find(&life.instance)?;
        if self.record(ix).incarnation != life.incarnation {
            return None;
        }
        self.note_said_leaving(now, ix)
    }

    /// Upstreams that said so and that the list has as serving, to tell the others; the longest untold
    /// first.
    pub fn tell_said_leaving(&mut self, now: Time) -> Vec<Life> {
        let said = self.upstreams.iter_mut();
        let said = said.filter(|u| u.said_leaving.has_said && u.is_listed_as_serving());
        let told = longest_untold(said, |u| u.said_leaving.told_at, MAX_TOLD);
        let tell = |u: &mut Upstream| {
            u.said_leaving.told_at = Some(now);
            u.record.life()
        };
        told.into_iter().map(tell).collect()
    }
}

impl Upstream {
    pub(crate) const fn has_said_leaving(&self) -> bool {
        self.said_leaving.has_said
    }
}
