//! Ends of incarnations that only the list of upstreams shows: an upstream may have started again before anybody
//! found that it had crashed.

use crate::pool::Pool;
use crate::upstream::UpstreamIx;

impl Pool {
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
