//! Upstreams to which one request was sent to begin a run.
//!
//! A route bounds their number. Those that ended or were cut off meanwhile don't count, and neither does a run that goes
//! on from a copy of its memory, which is the same run.

use crate::upstream::UpstreamIx;

/// Upstreams that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct AttemptedUpstreams {
    sent: Vec<UpstreamIx>,
}

impl AttemptedUpstreams {
    /// Records that the request is sent to an upstream.
    pub fn record_sent(&mut self, ix: UpstreamIx) {
        if !self.sent.contains(&ix) {
            self.sent.push(ix);
        }
    }

    /// Records that an upstream has ended or is cut off.
    pub fn record_lost(&mut self, ix: UpstreamIx) {
        self.sent.retain(|sent| *sent != ix);
    }

    /// Returns whether the request may be sent to one more upstream of `most`.
    #[must_use]
    pub fn allows_another(&self, most: u32) -> bool {
        u32::try_from(self.sent.len()).is_ok_and(|sent| sent < most)
    }
}
