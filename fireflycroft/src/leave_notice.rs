//! Upstreams that say in their answers that they leave.
//!
//! The platform's list says so too, but while its store is away nobody hears of
//! it; the answers reach whoever sends the upstream requests. A life that has
//! said so leaves, whatever record of it is read later: one that was written
//! before may come late.

use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Life, Upstream, UpstreamIx, least_recently_announced};

/// Upstreams told at a time; more take turns.
const MAX_ANNOUNCED: usize = 4;

/// That an upstream said that it leaves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaveNotice {
    is_received: bool,
    /// When it was told to other entries last.
    announced_at: Option<Time>,
}

impl Pool {
    /// Takes an upstream's word in an answer that it leaves; tells whether that is news.
    pub fn record_leave_notice(&mut self, now: Time, ix: UpstreamIx) -> Option<PoolChange> {
        let u = &mut self.upstreams[ix.0];
        if u.leave_notice.is_received {
            return None;
        }
        u.leave_notice.is_received = true;
        if u.left_at.is_some() {
            return None;
        }
        u.left_at = Some(now);
        Some(PoolChange::Leaves(ix))
    }

    /// Takes the same from another entry that has heard it.
    pub fn apply_leave_notice(&mut self, now: Time, life: &Life) -> Option<PoolChange> {
        let ix = self.find(&life.instance)?;
        if self.record(ix).incarnation != life.incarnation {
            return None;
        }
        self.record_leave_notice(now, ix)
    }

    /// Upstreams that said so and that the list has as serving, to tell the others; the longest untold
    /// first.
    pub fn leave_notices_to_announce(&mut self, now: Time) -> Vec<Life> {
        let noticed = self.upstreams.iter_mut();
        let noticed = noticed.filter(|u| u.leave_notice.is_received && u.is_listed_as_serving());
        let announced =
            least_recently_announced(noticed, |u| u.leave_notice.announced_at, MAX_ANNOUNCED);
        let announce = |u: &mut Upstream| {
            u.leave_notice.announced_at = Some(now);
            u.record.life()
        };
        announced.into_iter().map(announce).collect()
    }
}

impl Upstream {
    pub(crate) const fn has_sent_leave_notice(&self) -> bool {
        self.leave_notice.is_received
    }
}
