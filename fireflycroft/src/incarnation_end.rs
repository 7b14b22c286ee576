//! Departures and ends of incarnations, as the list of upstreams shows them: an upstream may have started again before
//! anybody found that it had crashed.

use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::UpstreamIx;

impl Pool {
    /// Returns the time at which an upstream was first known to leave.
    #[must_use]
    pub fn left_at(&self, ix: UpstreamIx) -> Option<Time> {
        self.upstreams[ix.0].left_at
    }

    /// Returns whether a later incarnation of its id is known, so that its runs and memory are lost.
    #[must_use]
    pub fn is_ended(&self, ix: UpstreamIx) -> bool {
        self.upstreams[ix.0].ended
    }

    /// Returns whether a later incarnation has taken an upstream's id while the upstream was serving.
    #[must_use]
    pub fn has_crashed(&self, ix: UpstreamIx) -> bool {
        self.upstreams[ix.0].crashed
    }

    /// Returns whether a later upstream is listed at an upstream's address.
    #[must_use]
    pub fn is_address_taken(&self, ix: UpstreamIx) -> bool {
        let old = &self.upstreams[ix.0];
        let mut others = self.upstreams.iter().filter(|u| !u.removed);
        others.any(|u| {
            let is_other = u.record.instance != old.record.instance;
            let is_later = u.first_revision > old.first_revision;
            is_other && is_later && u.record.addr == old.record.addr
        })
    }
}
