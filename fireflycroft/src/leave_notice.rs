//! Leave notices in the responses of upstreams.
//!
//! The platform's list shows them too, but not while its store is unavailable;
//! responses reach every sender of requests. A leave notice holds for the whole
//! incarnation, whatever record is read later: an older record may arrive late.

use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIncarnation, UpstreamIx, least_recently_announced};

/// Upstreams in one announcement; more take turns.
const MAX_ANNOUNCED: usize = 4;

/// State of an upstream's leave notice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaveNotice {
    is_received: bool,
    /// Time of the last announcement to other entries.
    announced_at: Option<Time>,
}

impl Pool {
    /// Records a leave notice in a response; returns a change if the upstream wasn't known to leave.
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

    /// Applies a leave notice that another entry announced.
    pub fn apply_leave_notice(
        &mut self,
        now: Time,
        upstream: &UpstreamIncarnation,
    ) -> Option<PoolChange> {
        let ix = self.find(&upstream.instance)?;
        if self.record(ix).incarnation != upstream.incarnation {
            return None;
        }
        self.record_leave_notice(now, ix)
    }

    /// Returns the upstreams with a leave notice that the list still has as serving, for announcement;
    /// the least recently announced first.
    pub fn leave_notices_to_announce(&mut self, now: Time) -> Vec<UpstreamIncarnation> {
        let noticed = self.upstreams.iter_mut();
        let noticed = noticed.filter(|u| u.leave_notice.is_received && u.is_listed_as_serving());
        let announced =
            least_recently_announced(noticed, |u| u.leave_notice.announced_at, MAX_ANNOUNCED);
        let announce = |u: &mut Upstream| {
            u.leave_notice.announced_at = Some(now);
            u.record.upstream_incarnation()
        };
        announced.into_iter().map(announce).collect()
    }
}

impl Upstream {
    pub(crate) const fn has_sent_leave_notice(&self) -> bool {
        self.leave_notice.is_received
    }
}
